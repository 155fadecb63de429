"""The keeper: holds turns and token charges on its disk, in agreement with other keepers."""

"""The keeper: stores turns and token charges durably, replicated across keepers by quorum."""

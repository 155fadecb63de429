"""Scheduling core: synchronous decisions over typed values, without I/O."""

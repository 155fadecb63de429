"""Benchmark of the scheduling policy against simple baselines, in simulated time."""

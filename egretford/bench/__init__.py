"""Measurement of the scheduling policy in modelled time, against simple baselines."""

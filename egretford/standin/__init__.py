"""Simulated platform, model engine and tool service for tests and local deployments."""

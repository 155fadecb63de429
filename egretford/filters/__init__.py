"""Filters that each call passes on its owner, from limits to dispatch."""

"""Clients and codecs for the platform: object API, store, settings and header fields."""

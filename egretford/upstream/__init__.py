"""Clients for upstreams: model engines and plain services."""

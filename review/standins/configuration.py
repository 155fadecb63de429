"""The configuration of the operator, like that of the small site files."""

from __future__ import annotations

from typing import Any


def make_route(name: str, prefix: str, kind: str, upstream: str, **more: Any) -> dict[str, Any]:
    """Return a route."""
    return {
        "name": name,
        "hostname": "farm.example",
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 300,
        "priority": 1,
        "backend": upstream,
        **more,
    }


def make_configuration(**chat: Any) -> dict[str, Any]:
    """Return a configuration with one route whose turns are kept; `chat` changes its fields."""
    kept = {"attempts": 1, "retain": True, "retention_s": 60.0, "resumable": False}
    kept |= {"session_affinity": True, "gap_aim_ms": 300} | chat
    engine = {"slots": 12, "kv_capacity": 418_135, "kv_token_bytes": 163_840}
    engine["tokens_per_event"] = 32
    return {
        "version": 7,
        "routes": [
            make_route("chat", "/chat/", "streaming", "models", **kept),
            make_route("ping", "/ping/", "safe", "booking", attempts=3),
            make_route("book", "/book/", "unsafe", "booking", attempts=1),
        ],
        "services": [
            {
                "name": "models",
                "health_path": "/healthz",
                "max_connections": 160,
                "protocol": "h1",
                "tls": False,
                "engine": engine,
            },
            {
                "name": "booking",
                "health_path": "/healthz",
                "max_connections": 110,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    }

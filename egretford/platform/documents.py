"""Decoders for the configuration and the worker list, and the names of stored objects."""

from __future__ import annotations

from typing import Any

from egretford.entry.models import (
    EngineProfile,
    Route,
    RouteKind,
    RoutingTable,
    Upstream,
    WeightedUpstream,
    Worker,
)
from egretford.errors import InputError, Problem
from egretford.http.limits import RequestLimits
from egretford.numbers import parse_whole_number

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
WORKERS_KIND = "servers"
# The kinds that entries read.
ENTRY_KINDS = frozenset({CONFIGURATION_KIND, WORKERS_KIND})
EVACUATIONS_KIND = "retirements"
EVACUATION_RUNNING = "running"
EVACUATION_DONE = "completed"

# Accepted phases of a worker, and whether it is leaving; an entry with another phase is malformed.
_PHASES = {"ready": False, "draining": True}
_DEFAULT_ATTEMPTS = 3
# Workers have some tens of slots; an entry with more than this is malformed.
_MAX_SLOTS = 100_000
_MAX_PORT = 65_535
_MAX_BYTE = 255
_DEFAULT_RETENTION_SECONDS = 60.0


def decode_configuration(document: Any) -> RoutingTable:
    """Decode a configuration; raises InputError with the cause if a field is malformed."""
    try:
        return RoutingTable(
            version=_read_version(document["version"]),
            routes=tuple(_decode_route(item) for item in document["routes"]),
            upstreams={item["name"]: _decode_upstream(item) for item in document["services"]},
            limits=_decode_limits(document["limits"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        problem = Problem(
            "config/main", f"cannot be read: {error!r}", "the previous version stays in force"
        )
        raise InputError([problem]) from error


def _read_version(value: Any) -> int:
    if type(value) is not int:
        raise TypeError(f"version is {value!r}, not a whole number")
    return value


def _decode_route(item: dict[str, Any]) -> Route:
    split = item.get("traffic_split")
    if split:
        targets = tuple(WeightedUpstream(t["backend"], float(t["weight"])) for t in split)
    else:
        targets = (WeightedUpstream(item["backend"], 1.0),)
    return Route(
        name=item["name"],
        host=item["hostname"].lower(),
        prefix=item["path_prefix"],
        kind=_decode_kind(item["route_type"]),
        targets=targets,
        timeout=item["timeout_ms"] / 1_000,
        latency_target=item.get("target_latency_ms", item["timeout_ms"]) / 1_000,
        priority=int(item.get("priority", 0)),
        attempts=int(item.get("attempts", _DEFAULT_ATTEMPTS)),
        keeps_turns=bool(item.get("retain", False)),
        retention=float(item.get("retention_s", _DEFAULT_RETENTION_SECONDS)),
        resumable=bool(item.get("resumable", False)),
    )


def _decode_kind(value: Any) -> RouteKind:
    try:
        return RouteKind(value)
    except ValueError:
        # An unknown kind may have side effects: a request that may have run is not sent again.
        return RouteKind.UNSAFE


def _decode_upstream(item: dict[str, Any]) -> Upstream:
    return Upstream(item["name"], int(item["max_connections"]), _decode_engine(item.get("engine")))


def _decode_engine(item: dict[str, Any] | None) -> EngineProfile | None:
    if not item:
        return None
    return EngineProfile(
        slots=int(item["slots"]),
        cache_tokens=int(item["kv_capacity"]),
        event_tokens=int(item.get("tokens_per_event", 1)),
    )


def _decode_limits(item: dict[str, Any]) -> RequestLimits:
    return RequestLimits(
        header_bytes=int(item["max_header_bytes"]),
        body_bytes=int(item["max_body_bytes"]),
        header_timeout=item["header_timeout_ms"] / 1_000,
        idle_timeout=item["idle_timeout_ms"] / 1_000,
    )


def decode_worker(worker_id: str, document: Any) -> Worker | None:
    """Decode an entry of the worker list; returns None if it is malformed."""
    if not isinstance(document, dict):
        return None
    texts = [document.get(key) for key in ("backend", "address", "zone", "version")]
    slots = document.get("slots")
    phase = document.get("phase")
    if not all(isinstance(text, str) and text for text in texts):
        return None
    if (
        type(slots) is not int
        or not 0 < slots <= _MAX_SLOTS
        or not isinstance(phase, str)
        or phase not in _PHASES
    ):
        return None
    if not _is_address(texts[1]):
        return None
    born = document.get("born", 0)
    return Worker(
        id=worker_id,
        upstream=texts[0],
        address=texts[1],
        failure_domain=texts[2],
        slots=slots,
        leaving=_PHASES[phase],
        born=born if type(born) is int else 0,
        software_version=texts[3],
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    return (
        bool(parse_whole_number(port, _MAX_PORT))
        and len(parts) == 4
        and all(parse_whole_number(part, _MAX_BYTE) is not None for part in parts)
    )

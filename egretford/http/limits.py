"""Limits on callers' requests."""

from __future__ import annotations

import resource

from attrs import Factory, field, frozen

# Connections of a server without a limit on descriptors.
MAX_CONNECTIONS = 16_384


@frozen
class RequestLimits:
    """Limits on one request and its connection; sizes in bytes, times in seconds.

    `header_timeout` starts with the first byte of a request; if the head is complete by then, the
    body gets `idle_timeout` on top. `idle_timeout` also limits the time between requests.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


def _count_connections() -> int:
    """Return half of the descriptors of this process; the rest is for workers and peers."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return MAX_CONNECTIONS
    return min(descriptors // 2, MAX_CONNECTIONS)


@frozen
class ServerCapacity:
    """Limits on all connections of a server together.

    `held_bytes` bounds the memory of requests that are read, wait or are handled, `unread_bytes`
    that of responses which callers have not read.
    """

    connections: int = field(default=Factory(_count_connections))
    held_bytes: int = 50_331_648
    unread_bytes: int = 16_777_216


# For servers that only the platform and operators ask.
SMALL_CAPACITY = ServerCapacity(connections=64, held_bytes=1_048_576, unread_bytes=4_194_304)

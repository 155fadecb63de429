"""Limits on callers' requests."""

from __future__ import annotations

from attrs import frozen


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

"""What a caller may send, and how long it may take."""

from __future__ import annotations

from attrs import frozen


@frozen
class RequestLimits:
    """Bounds of one request and its connection; sizes in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0

"""Limit on framing: bytes outside of bodies, such as heads, chunk sizes and trailers."""

from __future__ import annotations

from attrs import define

# Framing bytes allowed per body byte in addition; chunks of one byte need five.
FRAMING_PER_BODY_BYTE = 16


@define
class FramingCounter:
    """Counts the framing of one message as received minus body bytes; `limit` is in bytes."""

    limit: int
    _count: int = 0

    def reset(self) -> None:
        """Start to count for another message."""
        self._count = 0

    def exceeds_limit(self, received: int, body: int) -> bool:
        """Count received bytes, `body` of which belong to the body."""
        allowed = body * (1 + FRAMING_PER_BODY_BYTE)
        self._count = max(0, self._count + received - allowed)
        return self._count > self.limit

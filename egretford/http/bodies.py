"""Reads whole responses, and bounds the memory that their bodies share meanwhile."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define

from egretford.http.client import (
    BodyEnd,
    BodyPart,
    ClientConnection,
    ResponseEvent,
    ResponseTooLargeError,
)
from egretford.http.messages import ResponseHead
from egretford.timeouts import ReplyTimeout

# Bytes of each body that count as nothing, so that large bodies leave room for the usual ones.
UNCOUNTED_BODY_BYTES = 65_536


@define
class BodyBudget:
    """Bounds the bytes of the bodies that are being read; `limit` is in bytes."""

    limit: int
    used: int = 0

    @contextmanager
    def reserve(self) -> Iterator[BodyReservation]:
        """Yield the part of one body, and give it back at the end."""
        reservation = BodyReservation(self)
        try:
            yield reservation
        finally:
            self.used -= reservation.size


@define
class BodyReservation:
    """The counted bytes of one body."""

    budget: BodyBudget
    size: int = 0

    def extend(self, body_bytes: int) -> bool:
        """Reserve room for a body of so many bytes; returns False if there is none."""
        more = max(0, body_bytes - UNCOUNTED_BODY_BYTES) - self.size
        if self.budget.used + more > self.budget.limit:
            return False
        self.size += more
        self.budget.used += more
        return True


async def read_response(connection: ClientConnection, limit: int) -> tuple[ResponseHead, bytes]:
    """Read one response with a body of at most `limit` bytes; raises BrokenResponseError."""
    head = await connection.read()
    return head, await read_body(connection, limit)


async def read_body(
    connection: ClientConnection,
    limit: int,
    *,
    idle_seconds: float | None = None,
    budget: BodyBudget | None = None,
) -> bytes:
    """Read the body of a response whose head has been read.

    Raises BrokenResponseError, and TimeoutError if no part of the body arrives for `idle_seconds`.
    A body over `limit` bytes, or over what is left of `budget`, closes the connection and raises
    ResponseTooLargeError.
    """
    body = bytearray()
    try:
        with (budget or BodyBudget(limit)).reserve() as reservation:
            while not isinstance(event := await _read_within(connection, idle_seconds), BodyEnd):
                if isinstance(event, BodyPart):
                    body += event.data
                if len(body) > limit or not reservation.extend(len(body)):
                    connection.close()
                    reason = f"a body over {limit} bytes, or {reservation.budget.limit} with others"
                    raise ResponseTooLargeError(f"{connection.address}: {reason}", received=True)
    except BaseException:
        # The error refers to this frame, for as long as anything refers to the error.
        body.clear()
        raise
    return bytes(body)


async def _read_within(connection: ClientConnection, seconds: float | None) -> ResponseEvent:
    async with ReplyTimeout(seconds):
        return await connection.read()

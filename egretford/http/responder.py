"""Writes the response to one request on its caller's connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from egretford.http.messages import (
    LAST_CHUNK,
    Headers,
    encode_chunk,
    encode_head,
    encode_status_line,
)

if TYPE_CHECKING:
    from egretford.http.server import ServerConnection


# Bodies of so many bytes are written by themselves, without a copy of what is left to send.
MIN_SEPARATE_BYTES = 65_536


class CallerGoneError(ConnectionError):
    """The caller closed its connection."""


class Responder:
    """Writes one response on a caller's connection, in one piece or as a stream.

    `started` is set once the head was sent, `finished` once the response ended or was aborted.
    """

    def __init__(self, connection: ServerConnection, keep_alive: bool) -> None:
        self._connection = connection
        self._keep_alive = keep_alive
        self.started = False
        self.finished = False

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller closed its connection."""
        return self._connection.closed

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response; adds Content-Length."""
        fields = [*headers, (b"Content-Length", b"%d" % len(body)), *self._connection_fields()]
        self.started = True
        head = encode_head(encode_status_line(status), fields)
        if len(body) < MIN_SEPARATE_BYTES:
            self._connection.write(head + body)
        else:
            self._connection.write(head)
            self._connection.write(memoryview(body))
        self._finish()

    def start_stream(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed (chunked) response."""
        fields = [*headers, (b"Transfer-Encoding", b"chunked"), *self._connection_fields()]
        self.started = True
        self._connection.write(encode_head(encode_status_line(status), fields))

    async def write(self, data: bytes) -> None:
        """Send a part of a streamed response, and wait while the write buffer is full.

        Raises CallerGoneError.
        """
        if self._connection.closed:
            raise CallerGoneError("the caller closed its connection")
        self._connection.write(encode_chunk(data))
        await self._connection.drain()

    def finish_stream(self) -> None:
        """End a streamed response as complete."""
        self._connection.write(LAST_CHUNK)
        self._finish()

    def abort(self) -> None:
        """Close the connection, so that the response is not taken for complete."""
        self.finished = True
        self._connection.abort()

    def _connection_fields(self) -> list[tuple[bytes, bytes]]:
        if not self._keep_alive or self._connection.closing:
            self._keep_alive = False
            return [(b"Connection", b"close")]
        return []

    def _finish(self) -> None:
        self.finished = True
        if not self._keep_alive:
            self._connection.close_after_response = True

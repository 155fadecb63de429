"""Client connections: one request at a time, and nothing trusted beyond the framing.

A connection is reused only if its response was complete, allowed it, and left no byte over.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque

import httptools
from attrs import frozen

from egretford.errors import EgretfordError
from egretford.http.messages import Headers, ResponseHead

# Unacknowledged data closes a connection to a peer behind a partition after this long.
TCP_USER_TIMEOUT_MILLISECONDS = 3_000
# Unread response bytes at which reading from the socket pauses.
HIGH_WATER_BYTES = 262_144
# What an unread event takes beside its body bytes, about; a flood of small ones adds up.
EVENT_BYTES = 128
# Bytes that are no body (heads, chunk sizes, trailers) beyond this answer no request; workers
# send some hundred.
MAX_FRAMING_BYTES = 65_536
# How many such bytes each byte of a body may bring along; chunks of one byte take five.
FRAMING_PER_BODY_BYTE = 16


class ConnectError(EgretfordError):
    """No connection could be opened; nothing was sent."""


class BrokenResponseError(EgretfordError):
    """The connection ended, or sent what is no response, before the response was complete."""

    def __init__(self, message: str, *, received: bool) -> None:
        super().__init__(message)
        self.received = received


class ResponseTooLargeError(BrokenResponseError):
    """The peer sent more than a response may hold; it is alive and may send on without end."""


@frozen
class BodyPart:
    """Some bytes of a response body."""

    data: bytes


@frozen
class BodyEnd:
    """The end of a complete response."""


ResponseEvent = ResponseHead | BodyPart | BodyEnd


class ClientConnection(asyncio.Protocol):
    """One connection to a server."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reusable = True
        self.idle_since = 0.0
        self.idle_limit: float | None = None
        self._transport: asyncio.Transport | None = None
        self._events: deque[ResponseEvent] = deque()
        self._buffered = 0
        self._waiter: asyncio.Future[None] | None = None
        self._failure: str | None = None
        self._failure_type = BrokenResponseError
        self._received = False
        self._expecting = False
        self._closed = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers = Headers()
        self._begun = False
        self._in_body = False
        self._until_close = False
        self._framing_bytes = 0
        self._body_bytes = 0
        self._chunks: list[bytes] = []

    @classmethod
    async def open(cls, address: str, timeout: float) -> ClientConnection:
        """Connect to `address` (IP:PORT) within `timeout` seconds; raises ConnectError."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(lambda: cls(address), host, int(port))
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            raise ConnectError(f"{address}: {error!r}") from error
        return connection

    def send(self, data: bytes) -> None:
        """Send a whole request; its response may be read from then on."""
        self._expecting = True
        self._received = False
        self._framing_bytes = 0
        self._transport.write(data)

    async def read(self) -> ResponseEvent:
        """Return the next event of the response; raises BrokenResponseError."""
        while not self._events:
            if self._failure is not None:
                raise self._failure_type(
                    f"{self.address}: {self._failure}", received=self._received
                )
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        event = self._events.popleft()
        self._buffered -= _measure(event)
        if self._buffered < HIGH_WATER_BYTES and not self._closed:
            self._transport.resume_reading()
        return event

    def finish(self, now: float) -> None:
        """Note that the response to the last request was read to its end."""
        self._expecting = False
        self.idle_since = now
        if self._events or self._begun:
            self.reusable = False

    def is_usable(self, now: float) -> bool:
        """Whether another request may be sent on this connection."""
        if not self.reusable or self._closed or self._failure is not None or self._events:
            return False
        return self.idle_limit is None or now - self.idle_since < self.idle_limit

    def close(self) -> None:
        """Close at once, dropping what is not sent yet."""
        self.reusable = False
        if self._transport is not None and not self._closed:
            self._closed = True
            self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set socket options."""
        self._transport = transport
        set_socket_options(transport)

    def data_received(self, data: bytes) -> None:
        """Parse; bytes that belong to no request make the connection unusable."""
        if self._failure is not None:
            return
        if not self._expecting:
            self._fail("bytes that belong to no request")
            self.close()
            return
        self._received = True
        body_before = self._body_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self._chunks:
                self._emit_body()
            self._fail(f"malformed response: {error}")
            self.close()
            return
        if self._chunks:
            self._emit_body()
        self._count_framing(len(data), self._body_bytes - body_before)
        if self._buffered > HIGH_WATER_BYTES and not self._closed:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool | None:
        """End a response without a length, or note that one was cut."""
        if self._in_body and self._until_close:
            self._emit(BodyEnd())
            self._in_body = False
        self.reusable = False
        self._fail("the connection was closed")
        return None

    def connection_lost(self, error: Exception | None) -> None:
        """Note the end of the connection."""
        self._closed = True
        self._fail("the connection was closed" if error is None else repr(error))

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a response."""
        self._begun = True
        self._headers = Headers()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field; trailers come this way too, and count for nothing."""
        if not self._in_body:
            self._headers.add(name, value)

    def on_headers_complete(self) -> None:
        """Emit the head."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        headers = self._headers
        chunked = b"chunked" in headers.list_tokens(b"transfer-encoding")
        empty = status in (204, 304)
        self._until_close = not (chunked or empty or headers.get(b"content-length") is not None)
        self._in_body = True
        if self._until_close or not self._parser.should_keep_alive():
            self.reusable = False
        self._emit(ResponseHead(status, headers))

    def on_body(self, data: bytes) -> None:
        """Take a part of the body; what arrives together is one event, whatever its chunks."""
        self._body_bytes += len(data)
        self._chunks.append(data)

    def on_message_complete(self) -> None:
        """Emit the end, unless the message was only informational."""
        if self._parser.get_status_code() < 200:
            return
        self._begun = False
        self._in_body = False
        if self._chunks:
            self._emit_body()
        self._emit(BodyEnd())

    def _emit_body(self) -> None:
        self._emit(BodyPart(b"".join(self._chunks)))
        self._chunks.clear()

    def _emit(self, event: ResponseEvent) -> None:
        self._buffered += _measure(event)
        self._events.append(event)

    def _count_framing(self, received: int, body: int) -> None:
        """Count bytes that were no body; the parser tells of some of them only, or of none."""
        paid = body * (1 + FRAMING_PER_BODY_BYTE)
        self._framing_bytes = max(0, self._framing_bytes + received - paid)
        if self._framing_bytes > MAX_FRAMING_BYTES:
            reason = f"over {MAX_FRAMING_BYTES} bytes that are no body"
            self._fail(reason, ResponseTooLargeError)
            self.close()

    def _fail(
        self, reason: str, failure_type: type[BrokenResponseError] = BrokenResponseError
    ) -> None:
        if self._failure is None:
            self._failure = reason
            self._failure_type = failure_type
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _measure(event: ResponseEvent) -> int:
    return EVENT_BYTES + len(event.data) if isinstance(event, BodyPart) else EVENT_BYTES


def set_socket_options(transport: asyncio.Transport) -> None:
    """Send small writes at once, and give up on peers that acknowledge nothing."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MILLISECONDS)


async def read_whole(connection: ClientConnection, limit: int) -> tuple[ResponseHead, bytes]:
    """Read one response of at most `limit` body bytes; raises BrokenResponseError."""
    head = await connection.read()
    return head, await read_body(connection, limit)


async def read_body(connection: ClientConnection, limit: int) -> bytes:
    """Read the rest of a response; beyond `limit` bytes the connection is closed.

    Raises BrokenResponseError.
    """
    body = bytearray()
    while not isinstance(event := await connection.read(), BodyEnd):
        if isinstance(event, BodyPart):
            body += event.data
        if len(body) > limit:
            connection.close()
            raise ResponseTooLargeError(
                f"{connection.address}: the body exceeds {limit} bytes", received=True
            )
    return bytes(body)

"""Client connections that run one request at a time.

A connection is reused only if its response was complete, permitted reuse, and was not followed by
further bytes.
"""

from __future__ import annotations

import asyncio
import re
import select
import socket
from collections import deque

import httptools
from attrs import frozen

from egretford.errors import EgretfordError
from egretford.http.framing import FramingCounter
from egretford.http.messages import Headers, ResponseHead, encode_head
from egretford.timeouts import ReplyTimeout

# A connection is closed if sent data stays unacknowledged this long, as behind a network partition.
TCP_USER_TIMEOUT_MILLISECONDS = 3_000
# Idle connections are probed this often, in seconds, so that a silent one is closed as well; the
# user timeout also limits how long probes may stay unacknowledged.
KEEP_ALIVE_SECONDS = 1
# Status with which a tunnel server reports that it cannot connect to the target.
TARGET_UNREACHABLE_STATUS = 502
# Status with which it reports that it carries as many tunnels as it may at the moment.
TUNNELS_EXHAUSTED_STATUS = 429
# Unread response bytes above which reading from the socket pauses.
HIGH_WATER_BYTES = 262_144
# Approximate memory of an unread event besides its body, so that many small events count too.
EVENT_BYTES = 128
# Limit on the framing of a response, in bytes. Workers send some hundred.
MAX_FRAMING_BYTES = 65_536
# A status line, which within a head shows that two of them run into each other.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9]")


class ConnectError(EgretfordError):
    """The connection could not be opened, so nothing was sent."""


class ConnectionRefusedByPeerError(ConnectError):
    """Nothing listens at the address, so the process that did has ended."""


class TargetUnreachableError(ConnectError):
    """A tunnel server could not connect to the target either."""


class TunnelsExhaustedError(ConnectError):
    """A tunnel server carries as many tunnels as it may at the moment."""


class BrokenResponseError(EgretfordError):
    """The connection was closed, or the response was malformed, before the response was complete.

    `received` tells whether any byte of the response had arrived.
    """

    def __init__(self, message: str, *, received: bool) -> None:
        super().__init__(message)
        self.received = received


class ResponseTooLargeError(BrokenResponseError):
    """The response exceeded a size limit; the peer is alive and may still be sending."""


@frozen
class BodyPart:
    """A piece of a response body; chunk boundaries are not preserved."""

    data: bytes


@frozen
class BodyEnd:
    """The end of a response that was received completely.

    `is_framed` is False if only the end of the connection marked it.
    """

    is_framed: bool = True


ResponseEvent = ResponseHead | BodyPart | BodyEnd


class ClientConnection(asyncio.Protocol):
    """One connection to a server at `address` (IP:PORT).

    Usage: `send`, then `read` until BodyEnd, then `finish`. `idle_limit` is the server's keep-alive
    time in seconds, if it announced one; `forwarded_requests` counts callers' requests sent on it.
    `unnamed_statuses` has the statuses of its responses so far that named no request.
    `ended_unframed` is set once only the end of the connection marked that of a response.
    `is_process_known` is set once the process at its other end has shown to be the expected one.
    `opened_at` is when it was opened, in monotonic seconds, set by whoever opened it.
    `tunnel_server` is the address of the instance through which it leads, empty if it is direct.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.reusable = True
        self.idle_since = 0.0
        self.idle_limit: float | None = None
        self.forwarded_requests = 0
        self.unnamed_statuses: set[int] = set()
        self.is_process_known = False
        self.ended_unframed = False
        self.tunnel_server = ""
        self.opened_at = 0.0
        self._active_at = 0.0
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._events: deque[ResponseEvent] = deque()
        self._buffered_bytes = 0
        self._waiter: asyncio.Future[None] | None = None
        self._failure: str | None = None
        self._failure_type = BrokenResponseError
        self._received_any = False
        self._awaiting_response = False
        self._closed = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers = Headers()
        self._message_started = False
        self._in_body = False
        self._ends_with_connection = False
        self._framing = FramingCounter(MAX_FRAMING_BYTES)
        self._body_bytes = 0
        self._chunks: list[bytes] = []

    @classmethod
    async def open(cls, address: str, timeout: float) -> ClientConnection:
        """Connect to `address` (IP:PORT) within `timeout` seconds; raises ConnectError."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with ReplyTimeout(timeout):
                _, connection = await loop.create_connection(lambda: cls(address), host, int(port))
        except ConnectionRefusedError as error:
            raise ConnectionRefusedByPeerError(f"{address}: {error!r}") from error
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            raise ConnectError(f"{address}: {error!r}") from error
        return connection

    @classmethod
    async def open_tunnel(cls, server: str, address: str, timeout: float) -> ClientConnection:
        """Connect to `address` through the tunnel server at `server`, within `timeout` seconds.

        Raises TargetUnreachableError if that server cannot connect, TunnelsExhaustedError if it
        has too many tunnels, else ConnectError.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        connection = await cls.open(server, timeout)
        try:
            async with ReplyTimeout(deadline - loop.time()):
                await connection._connect_tunnel(address)
        except (BrokenResponseError, TimeoutError) as error:
            connection.close()
            raise ConnectError(f"{server}: {error!r}") from error
        except BaseException:
            connection.close()
            raise
        return connection

    async def _connect_tunnel(self, address: str) -> None:
        target = address.encode("latin-1")
        self.send(encode_head(b"CONNECT %s HTTP/1.1" % target, [(b"Host", target)]))
        head = await self.read()
        if head.status == TARGET_UNREACHABLE_STATUS:
            raise TargetUnreachableError(f"{self.address}: no connection to {address}")
        if head.status == TUNNELS_EXHAUSTED_STATUS:
            raise TunnelsExhaustedError(f"{self.address}: no further tunnel to {address}")
        if head.status != 200:
            raise ConnectError(f"{self.address}: status {head.status} for a tunnel to {address}")
        if self._events:
            raise ConnectError(f"{self.address}: bytes before the request to {address}")
        # The tunnel follows the head directly, while the parser expects a body.
        self.tunnel_server, self.address = self.address, address
        self.reusable = True
        self._parser = httptools.HttpResponseParser(self)
        self._message_started = self._in_body = self._ends_with_connection = False
        self._awaiting_response = False

    @property
    def tunnelled(self) -> bool:
        """Whether the connection leads through another instance."""
        return bool(self.tunnel_server)

    @property
    def silent_seconds(self) -> float:
        """For how long nothing was sent or received."""
        return self._loop.time() - self._active_at

    def send(self, data: bytes) -> None:
        """Send a complete, encoded request; its response can be read from then on."""
        self._awaiting_response = True
        self._active_at = self._loop.time()
        self._received_any = False
        self._framing.reset()
        self._transport.write(data)

    async def read(self) -> ResponseEvent:
        """Return the next event of the response; raises BrokenResponseError."""
        while not self._events:
            if self._failure is not None:
                raise self._failure_type(
                    f"{self.address}: {self._failure}", received=self._received_any
                )
            self._waiter = self._loop.create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        event = self._events.popleft()
        self._buffered_bytes -= _estimate_size(event)
        if self._buffered_bytes < HIGH_WATER_BYTES and not self._closed:
            self._transport.resume_reading()
        return event

    def finish(self, now: float) -> None:
        """End the exchange at time `now`; bytes that arrive later close the connection."""
        self._awaiting_response = False
        self.idle_since = now
        if self._events or self._message_started:
            self.reusable = False

    def is_usable(self, now: float) -> bool:
        """Whether another request may be sent on this connection at time `now`."""
        if not self.reusable or self._closed or self._failure is not None or self._events:
            return False
        if self.idle_limit is not None and now - self.idle_since >= self.idle_limit:
            return False
        return not self._has_unread_input()

    def _has_unread_input(self) -> bool:
        """Whether bytes, or the end of the connection, have arrived and were not received yet.

        An event loop that is late would receive them only after the next request was sent.
        """
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def close(self) -> None:
        """Close immediately; data that is not sent yet is discarded."""
        self.reusable = False
        if self._transport is not None and not self._closed:
            self._closed = True
            self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and set socket options."""
        self._transport = transport
        set_socket_options(transport)
        set_keep_alive(transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; bytes that arrive outside of an exchange close the connection."""
        self._active_at = self._loop.time()
        if self._failure is not None:
            return
        if not self._awaiting_response:
            self._fail("bytes that belong to no request")
            self.close()
            return
        self._received_any = True
        body_before = self._body_bytes
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._chunks:
                self._emit_body()
            self._fail(f"malformed response: {error}")
            self.close()
            return
        if self._chunks:
            self._emit_body()
        if self._framing.exceeds_limit(len(data), self._body_bytes - body_before):
            reason = f"over {MAX_FRAMING_BYTES} bytes that are no body"
            self._fail(reason, ResponseTooLargeError)
            self.close()
        if self._buffered_bytes > HIGH_WATER_BYTES and not self._closed:
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool | None:
        """Complete a response that ends with its connection; any other one has been truncated.

        The end of a tunnel does not show whether the server ended the response or the tunnel broke.
        """
        if self._in_body and self._ends_with_connection and not self.tunnelled:
            self.ended_unframed = True
            self._emit(BodyEnd(is_framed=False))
            self._in_body = False
        self.reusable = False
        self._fail("the connection was closed")
        return None

    def connection_lost(self, error: Exception | None) -> None:
        """Fail pending and later reads."""
        self._closed = True
        self._fail("the connection was closed" if error is None else repr(error))

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a response; informational ones start here too."""
        self._message_started = True
        self._headers = Headers()

    def on_status(self, reason: bytes) -> None:
        """Check the reason phrase."""
        _check_single_head(reason)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; the parser also reports trailers here, which are ignored."""
        _check_single_head(value)
        if not self._in_body:
            self._headers.add(name, value)

    def on_headers_complete(self) -> None:
        """Emit the head, unless the response is informational (1xx)."""
        status = self._parser.get_status_code()
        if not 100 <= status <= 599:
            raise ValueError(f"no valid status: {status}")
        if status < 200:
            return
        headers = self._headers
        chunked = b"chunked" in headers.list_tokens(b"transfer-encoding")
        empty = status in (204, 304)
        self._ends_with_connection = not (
            chunked or empty or headers.get(b"content-length") is not None
        )
        self._in_body = True
        if self._ends_with_connection or not self._parser.should_keep_alive():
            self.reusable = False
        self._emit(ResponseHead(status, headers))

    def on_body(self, data: bytes) -> None:
        """Collect body data; each `data_received` call gives one event, whatever its chunks."""
        self._body_bytes += len(data)
        self._chunks.append(data)

    def on_message_complete(self) -> None:
        """Emit the end, unless the response is informational (1xx)."""
        if self._parser.get_status_code() < 200:
            return
        self._message_started = False
        self._in_body = False
        if self._chunks:
            self._emit_body()
        self._emit(BodyEnd())

    def _emit_body(self) -> None:
        self._emit(BodyPart(b"".join(self._chunks)))
        self._chunks.clear()

    def _emit(self, event: ResponseEvent) -> None:
        self._buffered_bytes += _estimate_size(event)
        self._events.append(event)

    def _fail(
        self, reason: str, failure_type: type[BrokenResponseError] = BrokenResponseError
    ) -> None:
        if self._failure is None:
            self._failure = reason
            self._failure_type = failure_type
        self._wake_reader()

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _check_single_head(text: bytes) -> None:
    """Raise ValueError if a head that was cut off continues with the one of the next response."""
    if _STATUS_LINE.search(text) is not None:
        raise ValueError(f"a status line within a head: {text[:80]!r}")


def _estimate_size(event: ResponseEvent) -> int:
    return EVENT_BYTES + len(event.data) if isinstance(event, BodyPart) else EVENT_BYTES


def set_socket_options(transport: asyncio.Transport) -> None:
    """Disable Nagle's algorithm, and close connections to peers that acknowledge nothing."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MILLISECONDS)


def set_keep_alive(transport: asyncio.Transport) -> None:
    """Probe an idle connection, so that it is closed if its peer acknowledges nothing."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_SECONDS)

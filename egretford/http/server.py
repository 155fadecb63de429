"""HTTP server: its connections read complete requests and respond to them in order."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import httptools

from egretford.clock import Clock
from egretford.http.client import set_socket_options
from egretford.http.framing import FramingCounter
from egretford.http.limits import RequestLimits, ServerCapacity
from egretford.http.listening import start_listening
from egretford.http.messages import (
    Headers,
    HttpRequest,
    encode_head,
    encode_status_line,
)
from egretford.http.occupancy import Occupancy
from egretford.http.responder import CallerGoneError, Responder

# Connections waiting to be accepted; if the queue is full, connecting takes callers seconds.
BACKLOG = 1_024
# Requests that one connection may send without waiting for the responses.
MAX_PIPELINED = 16
# Approximate memory of a header field or a request besides its bytes.
FIELD_BYTES = 128
REQUEST_BYTES = 2_048
# Limit on the framing of a request after its head, such as chunk sizes and trailers, in bytes.
MAX_FRAMING_BYTES = 65_536
# Seconds for which the bytes of a caller are read and dropped after the end of the last response.
LINGER_SECONDS = 1.0
# Limit on these bytes, after which the connection is reset.
MAX_DROPPED_BYTES = 4_194_304

Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


class HttpServer:
    """Listens for connections and passes complete requests to a handler.

    While `draining` is set, responses announce that their connection will be closed.
    """

    def __init__(
        self,
        handle: Handler,
        limits: RequestLimits,
        clock: Clock,
        log: Any,
        capacity: ServerCapacity | None = None,
    ) -> None:
        self.handle = handle
        self.limits = limits
        self.clock = clock
        self.log = log
        self.draining = False
        self.connections = Occupancy(capacity or ServerCapacity(), log)
        self._server: asyncio.Server | None = None

    @property
    def active(self) -> int:
        """Number of connections with a request that is being read or handled."""
        return sum(connection.is_busy for connection in self.connections)

    @property
    def port(self) -> int:
        """The port listened on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self, address: str) -> None:
        """Listen on `address` (IP:PORT); port 0 selects a free port."""
        self._server = await start_listening(lambda: ServerConnection(self), address, BACKLOG)

    @property
    def is_listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._server is not None and self._server.is_serving()

    def stop_listening(self) -> None:
        """Accept no more connections; those that are open go on."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close connections without a request in progress."""
        for connection in list(self.connections):
            if not connection.is_busy:
                connection.close()

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.abort()


class ServerConnection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, server: HttpServer) -> None:
        self._loop = asyncio.get_running_loop()
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._requests: deque[HttpRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._drain_waiter: asyncio.Future[None] | None = None
        self._write_paused = False
        self._read_paused = False
        self._refusal: tuple[int, str] | None = None
        self._lingering = False
        self._dropped_bytes = 0
        self._handled_bytes = 0
        self._written_bytes = 0
        self.closed = False
        self.close_after_response = False
        self.peer = ""
        self._reset_request()

    @property
    def closing(self) -> bool:
        """Whether responses must ask the caller not to reuse the connection.

        Not while further requests were read from it, as only the last response may say so.
        """
        return self._server.draining and not self._requests and self._refusal is None

    @property
    def is_handling(self) -> bool:
        """Whether a request is being handled, or its response not all sent."""
        return self._task is not None or self.unread_bytes > 0

    @property
    def pending_bytes(self) -> int:
        """The memory of the requests that are read or wait."""
        waiting = sum(_measure(len(r.body), r.headers) for r in self._requests)
        reading = _measure(len(self._body) + self._field_bytes, self._headers)
        return waiting + (reading if self._reading else 0)

    @property
    def unread_bytes(self) -> int:
        """The bytes of responses that wait until the caller reads."""
        return self._transport.get_write_buffer_size()

    @property
    def sent_bytes(self) -> int:
        """The bytes of responses that were sent."""
        return self._written_bytes - self.unread_bytes

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read, queued or handled."""
        return self._task is not None or self._reading or bool(self._requests)

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set socket options and start the idle timer."""
        self._transport = transport
        self.peer = str((transport.get_extra_info("peername") or ("",))[0])
        set_socket_options(transport)
        self._server.connections.add(self)
        if self.closed or transport.is_closing():
            return
        self._set_timer(self._server.limits.idle_timeout, self._handle_idle_timeout)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the handler of the current request, as nobody waits for its response."""
        self.closed = True
        self._server.connections.discard(self)
        self._cancel_timer()
        self._wake_writer()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; refuse malformed requests and those over the limits."""
        if self._lingering:
            self._drop(len(data))
            return
        if self._refusal is not None:
            return
        if not self._reading and not self._requests and self._task is None:
            self._begin_reading()
        if not self._head_done:
            self._head_bytes += len(data)
        framing = self._framing if self._head_done else None
        body_before = self._body_size
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "protocol upgrades are not supported")
        except httptools.HttpParserError as error:
            self._refuse(400, f"malformed request: {error}")
        if not self._head_done and self._head_bytes > self._server.limits.header_bytes:
            self._refuse(431, f"the header exceeds {self._server.limits.header_bytes} bytes")
        # A request that began with these bytes has a counter of its own.
        if framing is self._framing and framing.exceeds_limit(
            len(data), self._body_size - body_before
        ):
            self._refuse(431, f"over {MAX_FRAMING_BYTES} bytes after the head that are no body")
        self._update_reading()
        self._account()

    def pause_writing(self) -> None:
        """Make `drain` wait: the write buffer is full."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Release `drain`: the write buffer has room again."""
        self._write_paused = False
        self._wake_writer()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start reading a request."""
        self._begin_reading()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        if self._refusal is None:
            self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; the parser also reports trailers here, which are ignored."""
        if self._head_done or self._refusal is not None:
            return
        self._headers.add(name, value)
        self._field_bytes += len(name) + len(value)
        if self._field_bytes > self._server.limits.header_bytes:
            self._refuse(431, f"the header exceeds {self._server.limits.header_bytes} bytes")

    def on_headers_complete(self) -> None:
        """Check Host, framing and size; ambiguous lengths would allow request smuggling."""
        self._head_done = True
        if self._refusal is not None:
            return
        headers = self._headers
        lengths = headers.list_all(b"content-length")
        if lengths and headers.get(b"transfer-encoding") is not None:
            self._refuse(400, "both Content-Length and Transfer-Encoding are set")
        elif len(lengths) > 1 or len(headers.list_all(b"host")) != 1:
            self._refuse(400, "Host and Content-Length may occur once only")
        elif lengths and int(lengths[0]) > self._server.limits.body_bytes:
            self._refuse(413, f"the body exceeds {self._server.limits.body_bytes} bytes")
        elif b"100-continue" in headers.list_tokens(b"expect"):
            self._expects_continue = True
            self._answer_expectation()

    def on_body(self, data: bytes) -> None:
        """Append a part of the body; refuses a body over the limit."""
        if self._refusal is not None:
            return
        self._body_size += len(data)
        if self._body_size > self._server.limits.body_bytes:
            self._refuse(413, f"the body exceeds {self._server.limits.body_bytes} bytes")
            return
        self._body += data

    def on_message_complete(self) -> None:
        """Queue the complete request; requests on one connection are handled in order."""
        if self._refusal is not None:
            return
        self._requests.append(
            HttpRequest(
                self._parser.get_method(),
                bytes(self._target),
                self._headers,
                bytes(self._body),
                self._parser.should_keep_alive(),
                self._server.clock.monotonic(),
                self.peer,
            )
        )
        self._reading = False
        self._reset_request()
        self._cancel_timer()
        if len(self._requests) > MAX_PIPELINED:
            self._refuse(400, f"over {MAX_PIPELINED} requests were sent ahead")
        elif self._task is None:
            self._serve_next()

    # Serving

    def _serve_next(self) -> None:
        if self.closed:
            return
        if self._requests:
            request = self._requests.popleft()
            self._handled_bytes = _measure(len(request.body), request.headers)
            self._server.connections.record_use(self)
            self._update_reading()
            self._task = self._loop.create_task(self._serve(request))
        elif self._refusal is not None:
            self._send_refusal(*self._refusal)
        elif self._reading:
            self._answer_expectation()
        else:
            self._set_timer(self._server.limits.idle_timeout, self._handle_idle_timeout)

    def _answer_expectation(self) -> None:
        """Let the caller send the body, once the responses to earlier requests have ended."""
        if self._expects_continue and self._task is None and not self._requests:
            self._expects_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def _serve(self, request: HttpRequest) -> None:
        responder = Responder(self, request.keep_alive)
        try:
            await self._server.handle(request, responder)
            await self._wait_until_read()
        except CallerGoneError:
            self._server.log.info("caller disconnected during the response", peer=self.peer)
        except asyncio.CancelledError:
            if not self.closed:
                raise
        except Exception as error:
            self._server.log.error("request handler failed", error=repr(error))
            self._send_internal_error(responder)
        finally:
            self._task = None
            self._handled_bytes = 0
            self._account()
        if not responder.finished:
            self.abort()
        elif self.close_after_response:
            self.close()
        else:
            self._serve_next()

    def _send_internal_error(self, responder: Responder) -> None:
        if responder.started:
            responder.abort()
        else:
            # The request may have reached a worker, so no field says that it has not run.
            responder.send_response(500, Headers(), b"internal error\n")

    def _refuse(self, status: int, reason: str) -> None:
        """Take no further request; the refusal follows the responses to those read before."""
        if self._refusal is not None:
            return
        self._refusal = status, reason
        self._reset_request()
        self._cancel_timer()
        self._server.log.info("refused a request", status=status, reason=reason, peer=self.peer)
        if self._task is None and not self.closed:
            self._send_refusal(status, reason)

    def shed(self) -> None:
        """Give up the requests that are read or wait, and answer that they have not run."""
        self._requests.clear()
        self._refuse(503, "too many requests are being read")
        self._account()

    def _account(self) -> None:
        self._server.connections.update(self, self.pending_bytes + self._handled_bytes)

    def _send_refusal(self, status: int, reason: str) -> None:
        body = reason.encode() + b"\n"
        fields = [
            (b"Content-Type", b"text/plain"),
            (b"Content-Length", b"%d" % len(body)),
            (b"Connection", b"close"),
        ]
        self.write(encode_head(encode_status_line(status), fields) + body)
        self.close()

    def _update_reading(self) -> None:
        """Read no further while requests sent ahead have larger bodies than one request may have.

        The end of the connection is not noticed meanwhile.
        """
        waiting = sum(len(request.body) for request in self._requests)
        paused = waiting > 0 and waiting + self._body_size > self._server.limits.body_bytes
        if paused == self._read_paused or self.closed or self._refusal is not None:
            return
        self._read_paused = paused
        if paused:
            self._transport.pause_reading()
            self._cancel_timer()
            return
        self._transport.resume_reading()
        if self._reading:
            self._set_timer(self._server.limits.header_timeout, self._handle_read_timeout)

    # Timers and writing

    def _reset_request(self) -> None:
        self._target = bytearray()
        self._headers = Headers()
        self._body = bytearray()
        self._framing = FramingCounter(MAX_FRAMING_BYTES)
        self._body_size = 0
        self._field_bytes = 0
        self._head_bytes = 0
        self._head_done = False
        self._expects_continue = False
        self._reading = False

    def _begin_reading(self) -> None:
        if not self._reading and self._refusal is None:
            self._reading = True
            self._set_timer(self._server.limits.header_timeout, self._handle_read_timeout)

    def _set_timer(self, seconds: float, action: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(seconds, action)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_idle_timeout(self) -> None:
        if not self.is_busy:
            self.close()

    def _handle_read_timeout(self) -> None:
        limits = self._server.limits
        if self._head_done:
            self._set_timer(limits.idle_timeout, lambda: self._refuse(408, "the body is late"))
        else:
            self._refuse(408, f"the header took over {limits.header_timeout} s")

    def write(self, data: bytes | memoryview) -> None:
        """Write, unless the connection is closed."""
        if self.closed or self._lingering:
            return
        self._written_bytes += len(data)
        self._transport.write(data)
        if self.unread_bytes:
            self._server.connections.record_unread(self)

    async def drain(self) -> None:
        """Wait until the write buffer has room; raises CallerGoneError."""
        while self._write_paused and not self.closed:
            await self._wait_for_change()
        if self.closed:
            raise CallerGoneError("the caller closed its connection")

    async def _wait_until_read(self) -> None:
        """Wait until the write buffer has room for another response, if one may follow."""
        while self._write_paused and not self.closed and not self.close_after_response:
            await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        self._drain_waiter = self._loop.create_future()
        await self._drain_waiter

    def _wake_writer(self) -> None:
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_result(None)

    def close(self) -> None:
        """Close after all buffered data has been sent.

        Bytes that the caller sends meanwhile are read until it closes as well: unread, they would
        reset the connection, and the caller might lose the end of a response.
        """
        if self.closed or self._lingering:
            return
        self._lingering = True
        self._reading = False
        self._requests.clear()
        if self._read_paused:
            self._transport.resume_reading()
        try:
            self._transport.write_eof()
        except OSError:
            self._transport.abort()
        self._set_timer(LINGER_SECONDS, self._handle_linger_timeout)

    def _drop(self, size: int) -> None:
        """Drop bytes after the last response; abort if they seem to have no end."""
        self._dropped_bytes += size
        if self._dropped_bytes > MAX_DROPPED_BYTES:
            self._transport.abort()

    def _handle_linger_timeout(self) -> None:
        if self._transport.get_write_buffer_size():
            self._set_timer(LINGER_SECONDS, self._handle_linger_timeout)
        else:
            self._transport.close()

    def abort(self) -> None:
        """Close immediately; buffered data is discarded."""
        if not self.closed:
            self._transport.abort()


def _measure(size: int, headers: Headers) -> int:
    """Return the approximate memory of a request with a body of `size` bytes."""
    return size + FIELD_BYTES * len(headers.fields) + REQUEST_BYTES

"""Server of tunnels to upstreams, opened with the method CONNECT (RFC 9110, section 9.3.6).

It passes bytes on unchanged, so requests, responses and their framing stay between the two ends.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import httptools

from egretford.controllers.loops import TaskGroup
from egretford.errors import EgretfordError
from egretford.http.client import TARGET_UNREACHABLE_STATUS, set_keep_alive, set_socket_options
from egretford.http.listening import start_listening
from egretford.http.messages import encode_head, encode_status_line
from egretford.timeouts import ReplyTimeout

# Seconds in which the request for a tunnel must arrive; it is one packet.
HEAD_TIMEOUT_SECONDS = 2.0
# Limit on the bytes of a request for a tunnel.
MAX_HEAD_BYTES = 4_096
# Connections on which no tunnel was admitted yet; any further ones are reset.
MAX_UNADMITTED = 256
# Bytes read at once; with as many as a transport buffers before it pauses, they may wait at an end.
READ_BYTES = 65_536
# Connections waiting to be accepted.
BACKLOG = 512
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class TunnelRefusedError(EgretfordError):
    """A tunnel is refused with an HTTP status."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


# Checks the IP address that asks for a tunnel and its target; raises TunnelRefusedError.
Admit = Callable[[str, str], Awaitable[None]]


class TunnelServer:
    """Listens for requests for tunnels, and connects them to their targets.

    `connect_timeout` is the time for a connection to a target, in seconds. `tunnels` has the
    admitted ones.
    """

    def __init__(self, admit: Admit, connect_timeout: float, log: Any) -> None:
        self._admit = admit
        self._connect_timeout = connect_timeout
        self._log = log
        self._tasks = TaskGroup()
        self._server: asyncio.Server | None = None
        # Shared, as received bytes are passed on before any others are received.
        self.read_buffer = bytearray(READ_BYTES)
        self._connections: set[_CallerEnd] = set()
        self.tunnels: set[_CallerEnd] = set()

    async def start(self, address: str) -> None:
        """Listen on `address` (IP:PORT)."""
        self._server = await start_listening(lambda: _CallerEnd(self), address, BACKLOG)

    async def close(self) -> None:
        """Stop listening and reset all tunnels."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.reset()
        await self._tasks.close()

    def add(self, connection: _CallerEnd) -> bool:
        """Count a connection; returns whether there is room for it."""
        self._connections.add(connection)
        return len(self._connections) - len(self.tunnels) <= MAX_UNADMITTED

    def remove(self, connection: _CallerEnd) -> None:
        """Forget a connection that was closed."""
        self._connections.discard(connection)
        self.tunnels.discard(connection)

    def open(self, caller: _CallerEnd, target: str) -> None:
        """Connect a tunnel in the background."""
        self._tasks.spawn(self._open(caller, target))

    async def _open(self, caller: _CallerEnd, target: str) -> None:
        try:
            await self._admit(caller.peer, target)
            if not caller.closed:
                self.tunnels.add(caller)
            upstream = await self._connect(caller, target)
        except TunnelRefusedError as error:
            self._log.info(
                "refused a tunnel",
                peer=caller.peer,
                target=target,
                status=error.status,
                reason=str(error),
            )
            caller.refuse(error.status)
        else:
            self._log.info("opened a tunnel", peer=caller.peer, target=target)
            caller.connect(upstream)

    async def _connect(self, caller: _CallerEnd, target: str) -> _TunnelEnd:
        host, _, port = target.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with ReplyTimeout(self._connect_timeout):
                _, upstream = await loop.create_connection(
                    lambda: _TunnelEnd(self.read_buffer, caller), host, int(port)
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            raise TunnelRefusedError(TARGET_UNREACHABLE_STATUS, repr(error)) from error
        return upstream


class _TunnelEnd(asyncio.BufferedProtocol):
    """One of the two connections of a tunnel; `other` is set once both are open."""

    def __init__(self, read_buffer: bytearray, other: _TunnelEnd | None = None) -> None:
        self._read_buffer = read_buffer
        self.other = other
        self.closed = False
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and set socket options."""
        self._transport = transport
        set_socket_options(transport)
        set_keep_alive(transport)
        if self.other is not None and self.other.closed:
            self.reset()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for received bytes, which limits how many are read at once."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle received bytes."""
        self.data_received(bytes(memoryview(self._read_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Pass data on."""
        self.other.write(data)

    def eof_received(self) -> bool | None:
        """Close the other end once it has sent all data."""
        if self.other is not None:
            self.other.close()
        return None

    def connection_lost(self, error: Exception | None) -> None:
        """Close the other end, by a reset if this one was reset."""
        self.closed = True
        if self.other is None:
            return
        if error is None:
            self.other.close()
        else:
            self.other.reset()

    def pause_writing(self) -> None:
        """Stop reading at the other end, as the write buffer is full."""
        self.other.set_reading(False)

    def resume_writing(self) -> None:
        """Read at the other end again."""
        self.other.set_reading(True)

    def set_reading(self, reading: bool) -> None:
        """Pause or resume reading."""
        if self.closed:
            return
        if reading:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def write(self, data: bytes) -> None:
        """Write, unless the connection is closed."""
        if not self.closed:
            self._transport.write(data)

    def close(self) -> None:
        """Close after all buffered data has been sent."""
        if not self.closed:
            self._transport.close()

    def reset(self) -> None:
        """Close by a reset, which no peer takes for the end of a response."""
        if self.closed or self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._transport.abort()


class _CallerEnd(_TunnelEnd):
    """The connection of the instance that asks for a tunnel; `peer` is its IP address."""

    def __init__(self, server: TunnelServer) -> None:
        super().__init__(server.read_buffer)
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._target = bytearray()
        self._head_bytes = 0
        self._asked = False
        self._timer: asyncio.TimerHandle | None = None
        self.peer = ""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the timer of the request."""
        super().connection_made(transport)
        self.peer = str((transport.get_extra_info("peername") or ("",))[0])
        if not self._server.add(self):
            self.reset()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(HEAD_TIMEOUT_SECONDS, self._handle_timeout)

    def connection_lost(self, error: Exception | None) -> None:
        """Forget the tunnel."""
        self._server.remove(self)
        self._timer.cancel()
        super().connection_lost(error)

    def data_received(self, data: bytes) -> None:
        """Read the request for a tunnel, or pass data on."""
        if self.other is not None:
            super().data_received(data)
            return
        self._head_bytes += len(data)
        if self._asked or self._head_bytes > MAX_HEAD_BYTES:
            # The other end sends nothing before the tunnel is open.
            self.reset()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            (head_end,) = upgrade.args
            if head_end < len(data):
                self.reset()
            else:
                self._handle_request()
        except httptools.HttpParserError:
            self.refuse(400)

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self._target += url

    def on_message_complete(self) -> None:
        """Refuse requests with other methods."""
        if self._parser.get_method() != b"CONNECT":
            self.refuse(405)

    def _handle_request(self) -> None:
        if self._parser.get_method() != b"CONNECT":
            self.refuse(405)
            return
        self._asked = True
        self._timer.cancel()
        self._server.open(self, self._target.decode("latin-1"))

    def _handle_timeout(self) -> None:
        self.reset()

    def connect(self, upstream: _TunnelEnd) -> None:
        """Start to pass data on."""
        if self.closed:
            upstream.reset()
            return
        self.other = upstream
        self.write(encode_head(encode_status_line(200), []))
        if upstream.closed:
            self.reset()

    def refuse(self, status: int) -> None:
        """Answer with an error status, and close."""
        self.write(encode_head(encode_status_line(status), [(b"Content-Length", b"0")]))
        self.close()

"""Request and reply between instances over TCP, many at once on one connection.

Serves where pynng's threads cost too much: a keeper answers some hundred requests a second
on a share of a core. A reply that does not come in time makes the client replace the
connection, as an open one that has gone silent is never waited for twice.

A frame is its length (4 bytes, big-endian) and a MessagePack array of a number and a message;
a reply has its request's number.
"""

from __future__ import annotations

import asyncio
import itertools
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import msgpack
from attrs import Factory, define, field

from egretford.codec import decode_bytes, encode_bytes
from egretford.controllers.loops import TaskGroup
from egretford.errors import ErrorKind, PeerUnreachableError, RequestError, Verdict
from egretford.http.client import set_socket_options
from egretford.models import ErrorReply

LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 16_000_000
CONNECT_SECONDS = 0.5

Handler = Callable[[Any], Awaitable[Any]]


class _FrameProtocol(asyncio.Protocol):
    """Cuts a connection's bytes into frames."""

    def __init__(self, on_frame: Callable[[_FrameProtocol, int, bytes], None]) -> None:
        self._on_frame = on_frame
        self._buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self.on_lost: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set socket options."""
        self.transport = transport
        set_socket_options(transport)

    def data_received(self, data: bytes) -> None:
        """Hand on whole frames; a frame that cannot be one ends the connection."""
        buffer = self._buffer
        buffer += data
        while len(buffer) >= LENGTH.size:
            (size,) = LENGTH.unpack_from(buffer)
            if size > MAX_FRAME_BYTES:
                self.close()
                return
            if len(buffer) < LENGTH.size + size:
                return
            frame = bytes(buffer[LENGTH.size : LENGTH.size + size])
            del buffer[: LENGTH.size + size]
            try:
                number, payload = msgpack.unpackb(frame)
            except (ValueError, TypeError):
                self.close()
                return
            self._on_frame(self, number, payload)

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the owner."""
        self.closed = True
        if self.on_lost is not None:
            self.on_lost()

    def send(self, number: int, payload: bytes) -> None:
        """Send one frame."""
        frame = msgpack.packb((number, payload))
        self.transport.write(LENGTH.pack(len(frame)) + frame)

    def close(self) -> None:
        """Close at once."""
        if self.transport is not None and not self.closed:
            self.closed = True
            self.transport.abort()


@define(eq=False)
class _Link:
    """A connection to one peer, and the requests that wait for replies on it.

    One that is replaced takes no new requests, and is closed once none waits on it.
    """

    opening: asyncio.Task[_FrameProtocol] = field(init=False)
    waiting: dict[int, asyncio.Future[bytes]] = Factory(dict)
    replaced: bool = False

    @property
    def protocol(self) -> _FrameProtocol | None:
        """The open connection, if there is one."""
        opened = self.opening.done() and not self.opening.cancelled()
        return self.opening.result() if opened and self.opening.exception() is None else None

    def take_reply(self, number: int, payload: bytes) -> None:
        """Hand a reply to the request that waits for it, if any does."""
        future = self.waiting.get(number)
        if future is not None and not future.done():
            future.set_result(payload)

    def replace(self) -> None:
        """Take no new requests."""
        self.replaced = True
        self.close_if_done()

    def close_if_done(self) -> None:
        """Close a replaced connection that nobody waits on."""
        if self.replaced and not self.waiting:
            self.close()

    def fail(self, reason: str) -> None:
        """Fail all that wait, and close."""
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(ConnectionResetError(reason))
        self.close()

    def close(self) -> None:
        """Close at once."""
        if self.protocol is not None:
            self.protocol.close()
        self.opening.cancel()


class StreamPeerClient:
    """Asks peers by address (tcp://IP:PORT); one connection an address."""

    def __init__(self, requests: Any, replies: Any) -> None:
        self._requests = requests
        self._replies = replies
        self._links: dict[str, _Link] = {}
        self._open_links: set[_Link] = set()
        self._numbers = itertools.count(1)

    async def close(self) -> None:
        """Close all connections."""
        for link in {*self._links.values(), *self._open_links}:
            self._drop(link)

    def keep_only(self, addresses: set[str]) -> None:
        """Close connections to peers that are gone."""
        for address in set(self._links) - addresses:
            self._drop(self._links[address])

    def _drop(self, link: _Link) -> None:
        """Close a connection; whoever waits on it fails."""
        self._forget(link)
        link.fail("the connection was replaced")

    def _replace(self, link: _Link) -> None:
        """Use another connection from now on; who waits on this one may still be answered."""
        self._forget(link)
        link.replace()

    def _forget(self, link: _Link) -> None:
        for address, current in list(self._links.items()):
            if current is link:
                del self._links[address]

    async def ask(self, address: str, message: Any, seconds: float) -> Any:
        """Send a request and return the reply.

        Raises the RequestError that the peer answered, or PeerUnreachableError when no reply
        came; the peer may then have taken the request.
        """
        data = encode_bytes(message, self._requests)
        link = self._find_link(address)
        try:
            async with asyncio.timeout(seconds):
                answer = await self._exchange(link, data)
        except TimeoutError as error:
            self._replace(link)
            raise PeerUnreachableError(f"{address}: {error!r}") from error
        except OSError as error:
            self._drop(link)
            raise PeerUnreachableError(f"{address}: {error!r}") from error
        try:
            reply = decode_bytes(answer, self._replies)
        except Exception as error:
            raise PeerUnreachableError(f"{address}: malformed reply: {error!r}") from error
        if isinstance(reply, ErrorReply):
            raise reply.to_error()
        return reply

    def _find_link(self, address: str) -> _Link:
        link = self._links.get(address)
        if link is None:
            link = _Link()
            link.opening = asyncio.create_task(self._open(address, link))
            # An error is raised where the link is used, or nobody uses it any more.
            link.opening.add_done_callback(lambda task: task.cancelled() or task.exception())
            self._links[address] = link
        return link

    async def _open(self, address: str, link: _Link) -> _FrameProtocol:
        host, _, port = address.removeprefix("tcp://").rpartition(":")
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_SECONDS):
            _, protocol = await loop.create_connection(
                lambda: _FrameProtocol(lambda _, number, payload: link.take_reply(number, payload)),
                host,
                int(port),
            )
        protocol.on_lost = lambda: self._note_lost(link)
        if not protocol.closed:
            self._open_links.add(link)
        return protocol

    def _note_lost(self, link: _Link) -> None:
        self._open_links.discard(link)
        self._drop(link)

    async def _exchange(self, link: _Link, data: bytes) -> bytes:
        try:
            protocol = await asyncio.shield(link.opening)
        except asyncio.CancelledError:
            if link.opening.cancelled():
                raise ConnectionResetError("the connection was replaced") from None
            raise
        if protocol.closed:
            raise ConnectionResetError("the connection was closed")
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        link.waiting[number] = future
        try:
            protocol.send(number, data)
            return await future
        finally:
            del link.waiting[number]
            link.close_if_done()


class StreamPeerServer:
    """Answers peers; any number of requests at once."""

    def __init__(
        self, address: str, handle: Handler, log: Any, requests: Any, replies: Any
    ) -> None:
        self._address = address
        self._handle = handle
        self._log = log
        self._requests = requests
        self._replies = replies
        self._tasks = TaskGroup()
        self._server: asyncio.Server | None = None
        self._connections: set[_FrameProtocol] = set()

    async def start(self) -> None:
        """Listen."""
        host, _, port = self._address.removeprefix("tcp://").rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, int(port), backlog=512)

    async def close(self) -> None:
        """Stop listening, and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()
        await self._tasks.close()

    def _accept(self) -> _FrameProtocol:
        connection = _FrameProtocol(self._take_request)
        connection.on_lost = lambda: self._connections.discard(connection)
        self._connections.add(connection)
        return connection

    def _take_request(self, connection: _FrameProtocol, number: int, payload: bytes) -> None:
        self._tasks.spawn(self._answer(connection, number, payload))

    async def _answer(self, connection: _FrameProtocol, number: int, payload: bytes) -> None:
        try:
            reply = await self._handle(decode_bytes(payload, self._requests))
        except RequestError as error:
            reply = ErrorReply.from_error(error)
        except Exception as error:
            self._log.error("a peer's request failed", error=repr(error))
            reply = ErrorReply(ErrorKind.INTERNAL, repr(error), Verdict.MAY_HAVE_RUN)
        if not connection.closed:
            connection.send(number, encode_bytes(reply, self._replies))

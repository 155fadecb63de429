"""Request and reply between instances over plain TCP, with concurrent requests on a connection.

Used where the threads of pynng cost too much: a keeper answers some hundred requests per second
on a fraction of a core. After a request times out, the client opens a new connection for later
requests, as an open connection may have stopped delivering data.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

from attrs import Factory, define, field

from egretford.codec import decode_bytes, encode_bytes
from egretford.controllers.loops import TaskGroup
from egretford.errors import ErrorKind, PeerDownError, PeerUnreachableError, RequestError, Verdict
from egretford.metrics import Metrics
from egretford.models import ErrorReply
from egretford.peer.frames import FrameProtocol, ServedConnection
from egretford.timeouts import ReplyTimeout

CONNECT_TIMEOUT_SECONDS = 0.5

Handler = Callable[[Any], Awaitable[Any]]


@define(eq=False)
class _Link:
    """A client connection to one peer, with its pending requests by number.

    Once replaced, it gets no new requests, and is closed when no request is pending. `due` is the
    number of replies that the peer still may send, including late ones.
    """

    connect_task: asyncio.Task[FrameProtocol] = field(init=False)
    waiting: dict[int, asyncio.Future[bytes]] = Factory(dict)
    due: int = 0
    replaced: bool = False

    @property
    def protocol(self) -> FrameProtocol | None:
        """The connection, or None while it is connecting or if that failed."""
        connected = self.connect_task.done() and not self.connect_task.cancelled()
        return (
            self.connect_task.result()
            if connected and self.connect_task.exception() is None
            else None
        )

    def deliver_reply(self, protocol: FrameProtocol, number: int, payload: bytes) -> None:
        """Resolve the pending request with this number; a late reply is ignored.

        A peer that sends more replies than it got requests loses its connection.
        """
        self.due -= 1
        if self.due < 0:
            protocol.reject("more replies than requests")
            return
        future = self.waiting.get(number)
        if future is not None and not future.done():
            future.set_result(payload)

    def replace(self) -> None:
        """Mark the connection as replaced, and close it if no request is pending."""
        self.replaced = True
        self.close_if_done()

    def close_if_done(self) -> None:
        """Close a replaced connection that has no pending requests."""
        if self.replaced and not self.waiting:
            self.close()

    def fail(self, reason: str) -> None:
        """Fail all pending requests with ConnectionResetError, and close the connection."""
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(ConnectionResetError(reason))
        self.close()

    def close(self) -> None:
        """Abort the connection, or the attempt to connect."""
        if self.protocol is not None:
            self.protocol.close()
        self.connect_task.cancel()


class StreamPeerClient:
    """Sends requests to peers by address (tcp://IP:PORT), over one connection per address.

    `requests` and `replies` are the tagged unions used to encode and decode the messages.
    """

    def __init__(
        self, requests: Any, replies: Any, log: Any, metrics: Metrics | None = None
    ) -> None:
        self._requests = requests
        self._replies = replies
        self._log = log
        self._metrics = metrics
        self._newest: tuple[Any, bytes] = (None, b"")
        self._links: dict[str, _Link] = {}
        self._open_links: set[_Link] = set()
        self._request_numbers = itertools.count(1)

    async def close(self) -> None:
        """Close all connections; pending requests fail."""
        for link in {*self._links.values(), *self._open_links}:
            self._drop(link)

    def keep_only(self, addresses: set[str]) -> None:
        """Close the connections to all other addresses."""
        for address in set(self._links) - addresses:
            self._drop(self._links[address])

    def _drop(self, link: _Link) -> None:
        """Close a connection and fail its pending requests."""
        self._remove(link)
        link.fail("the connection was replaced")

    def _replace(self, link: _Link) -> None:
        """Use a new connection for later requests; pending ones may still get their replies."""
        self._remove(link)
        link.replace()

    def _remove(self, link: _Link) -> None:
        for address, current in list(self._links.items()):
            if current is link:
                del self._links[address]

    async def ask(self, address: str, message: Any, seconds: float) -> Any:
        """Send a request and return the reply, with a timeout in `seconds`.

        Raises the RequestError that the peer replied with, or PeerUnreachableError if there was
        no valid reply; the peer may have processed the request even so, unless it is down.
        """
        data = self._encode(message)
        link = self._find_link(address)
        try:
            async with ReplyTimeout(seconds):
                answer = await self._exchange(link, data)
        except TimeoutError as error:
            self._replace(link)
            raise PeerUnreachableError(f"{address}: {error!r}") from error
        except ConnectionRefusedError as error:
            self._drop(link)
            raise PeerDownError(f"{address}: {error!r}") from error
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

    def _encode(self, message: Any) -> bytes:
        """Encode a message, once if it is sent to several peers in a row."""
        if self._newest[0] is not message:
            self._newest = message, encode_bytes(message, self._requests)
        data = self._newest[1]
        if self._metrics is not None:
            kind = type(message).__name__
            self._metrics.count(f"sent.{kind}")
            self._metrics.count(f"sent_bytes.{kind}", len(data))
        return data

    def _find_link(self, address: str) -> _Link:
        link = self._links.get(address)
        if link is None:
            link = _Link()
            link.connect_task = asyncio.create_task(self._connect(address, link))
            # Mark the exception as retrieved, so that asyncio does not log it: `_exchange` raises
            # it, unless no request uses the connection any more.
            link.connect_task.add_done_callback(lambda task: task.cancelled() or task.exception())
            self._links[address] = link
        return link

    async def _connect(self, address: str, link: _Link) -> FrameProtocol:
        host, _, port = address.removeprefix("tcp://").rpartition(":")
        loop = asyncio.get_running_loop()
        async with ReplyTimeout(CONNECT_TIMEOUT_SECONDS):
            _, protocol = await loop.create_connection(
                lambda: FrameProtocol(link.deliver_reply, self._log),
                host,
                int(port),
            )
        protocol.on_disconnect = lambda: self._handle_disconnect(link)
        if not protocol.closed:
            self._open_links.add(link)
        return protocol

    def _handle_disconnect(self, link: _Link) -> None:
        self._open_links.discard(link)
        self._drop(link)

    async def _exchange(self, link: _Link, data: bytes) -> bytes:
        try:
            protocol = await asyncio.shield(link.connect_task)
        except asyncio.CancelledError:
            if link.connect_task.cancelled():
                raise ConnectionResetError("the connection was replaced") from None
            raise
        if protocol.closed:
            raise ConnectionResetError("the connection was closed")
        number = next(self._request_numbers)
        future = link.connect_task.get_loop().create_future()
        link.waiting[number] = future
        try:
            protocol.send(number, data)
            link.due += 1
            return await future
        finally:
            del link.waiting[number]
            link.close_if_done()


class StreamPeerServer:
    """Serves requests of peers concurrently, without a limit on their number.

    `requests` and `replies` are the tagged unions used to decode and encode the messages.
    """

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
        self._connections: set[FrameProtocol] = set()

    async def start(self) -> None:
        """Listen on the address (tcp://IP:PORT)."""
        host, _, port = self._address.removeprefix("tcp://").rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, int(port), backlog=512)

    async def close(self) -> None:
        """Stop listening, close all connections and cancel the running requests."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()
        await self._tasks.close()

    def _accept(self) -> ServedConnection:
        connection = ServedConnection(self._start_request, self._log)
        connection.on_disconnect = lambda: self._connections.discard(connection)
        self._connections.add(connection)
        return connection

    def _start_request(self, connection: ServedConnection, number: int, payload: bytes) -> None:
        self._tasks.spawn(self._answer(connection, number, payload))

    async def _answer(self, connection: ServedConnection, number: int, payload: bytes) -> None:
        with connection.count_pending(len(payload)):
            await self._send_reply(connection, number, payload)

    async def _send_reply(self, connection: ServedConnection, number: int, payload: bytes) -> None:
        try:
            reply = await self._handle(decode_bytes(payload, self._requests))
        except RequestError as error:
            reply = ErrorReply.from_error(error)
        except Exception as error:
            self._log.error("a peer's request failed", error=repr(error))
            reply = ErrorReply(ErrorKind.INTERNAL, repr(error), Verdict.MAY_HAVE_RUN)
        if not connection.closed:
            connection.send(number, encode_bytes(reply, self._replies))

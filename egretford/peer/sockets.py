"""Request and reply between entries over pynng.

After a request times out, the client opens a new connection, as an open one may have stopped
delivering data.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pynng

from egretford.codec import decode_bytes, encode_bytes
from egretford.controllers.loops import TaskGroup
from egretford.errors import ErrorKind, PeerUnreachableError, RequestError, Verdict
from egretford.models import ErrorReply
from egretford.peer.messages import Reply, Request

# An interval longer than any request timeout, so that pynng never resends a request.
NO_RESEND_MILLISECONDS = 3_600_000
MAX_MESSAGE_BYTES = 8_000_000
# The server keeps at least and at most this many contexts waiting for a request.
MIN_IDLE_CONTEXTS = 4
MAX_IDLE_CONTEXTS = 16

Handler = Callable[[Any], Awaitable[Any]]


class PeerClient:
    """Sends requests to peers by address, over one socket per address.

    `requests` and `replies` are the tagged unions used to encode and decode the messages.
    """

    def __init__(self, requests: Any = Request, replies: Any = Reply) -> None:
        self._requests = requests
        self._replies = replies
        self._sockets: dict[str, pynng.Req0] = {}

    async def close(self) -> None:
        """Close all sockets; pending requests fail."""
        for address in list(self._sockets):
            self._drop(address)

    def keep_only(self, addresses: set[str]) -> None:
        """Close the sockets to all other addresses."""
        for address in set(self._sockets) - addresses:
            self._drop(address)

    def _drop(self, address: str) -> None:
        socket = self._sockets.pop(address, None)
        if socket is not None:
            socket.close()

    async def ask(self, address: str, message: Any, seconds: float) -> Any:
        """Send a request and return the reply, with a timeout in `seconds`.

        Raises the RequestError that the peer replied with, or PeerUnreachableError if there was
        no valid reply; the peer may have processed the request even so.
        """
        data = encode_bytes(message, self._requests)
        try:
            async with asyncio.timeout(seconds):
                answer = await self._exchange(address, data)
        except (TimeoutError, pynng.NNGException) as error:
            self._drop(address)
            raise PeerUnreachableError(f"{address}: {error!r}") from error
        reply = self._decode(address, answer)
        if isinstance(reply, ErrorReply):
            raise reply.to_error()
        return reply

    async def _exchange(self, address: str, data: bytes) -> bytes:
        socket = self._sockets.get(address)
        if socket is None:
            socket = pynng.Req0(resend_time=NO_RESEND_MILLISECONDS)
            socket.recv_max_size = MAX_MESSAGE_BYTES
            self._sockets[address] = socket
            socket.dial(address, block=False)
        with socket.new_context() as context:
            await context.asend(data)
            return await context.arecv()

    def _decode(self, address: str, data: bytes) -> Any:
        try:
            return decode_bytes(data, self._replies)
        except Exception as error:
            raise PeerUnreachableError(f"{address}: malformed reply: {error!r}") from error


class PeerServer:
    """Serves requests of peers concurrently, without a limit on their number.

    `requests` and `replies` are the tagged unions used to decode and encode the messages.
    """

    def __init__(
        self,
        address: str,
        handle: Handler,
        log: Any,
        requests: Any = Request,
        replies: Any = Reply,
    ) -> None:
        self._requests = requests
        self._replies = replies
        self._address = address
        self._handle = handle
        self._log = log
        self._socket: pynng.Rep0 | None = None
        self._tasks = TaskGroup()
        self._idle = 0

    @property
    def address(self) -> str:
        """The listening address; port 0 is replaced by the port that was assigned."""
        return str(self._socket.listeners[0].url)

    async def start(self) -> None:
        """Listen on the address and start the idle contexts."""
        self._socket = pynng.Rep0()
        self._socket.recv_max_size = MAX_MESSAGE_BYTES
        self._socket.listen(self._address)
        for _ in range(MIN_IDLE_CONTEXTS):
            self._tasks.spawn(self._serve())

    async def close(self) -> None:
        """Cancel the running requests, and close the socket."""
        await self._tasks.close()
        if self._socket is not None:
            self._socket.close()

    async def _serve(self) -> None:
        """Serve requests on one context; starts another one if too few are idle."""
        with self._socket.new_context() as context:
            while self._idle < MAX_IDLE_CONTEXTS:
                self._idle += 1
                try:
                    data = await context.arecv()
                finally:
                    self._idle -= 1
                if self._idle < MIN_IDLE_CONTEXTS:
                    self._tasks.spawn(self._serve())
                await context.asend(await self._answer(data))

    async def _answer(self, data: bytes) -> bytes:
        try:
            reply = await self._handle(decode_bytes(data, self._requests))
        except RequestError as error:
            reply = ErrorReply.from_error(error)
        except Exception as error:
            self._log.error("a peer's request failed", error=repr(error))
            reply = ErrorReply(ErrorKind.INTERNAL, repr(error), Verdict.MAY_HAVE_RUN)
        return encode_bytes(reply, self._replies)

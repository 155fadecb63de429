"""A server whose bytes do not end until it is cut off."""

from __future__ import annotations

import asyncio
import contextlib
import tracemalloc
from collections.abc import Callable

from attrs import Factory, define

# Far beyond every bound and the socket buffers; a flood that gets here was never stopped.
FLOOD_BYTES = 64_000_000
BLOCK_BYTES = 65_536


@define
class EndlessServer:
    """Answers each request with a beginning, then the same bytes again and again.

    `answer` makes both from the request's head; an empty unit ends the response there.
    `pause` lies between two units, which else come as fast as they are taken.
    """

    answer: Callable[[bytes], tuple[bytes, bytes]]
    pause: float = 0.0
    requests: list[bytes] = Factory(list)
    sent: int = 0
    cut: asyncio.Event = Factory(asyncio.Event)
    _server: asyncio.Server | None = None
    _writer: asyncio.StreamWriter | None = None
    _tasks: set[asyncio.Task[None]] = Factory(set)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def wait_cut(self) -> None:
        await asyncio.wait_for(self.cut.wait(), 1.0)

    def flood_idle(self, unit: bytes) -> None:
        """Send without being asked, on the connection of the last request."""
        self._tasks.add(asyncio.create_task(self._flood(self._writer, unit)))

    async def _serve(self, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        # The streams of asyncio log a traceback for a handler that ends as cancelled.
        ends = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ends):
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                self._writer = writer
                self.requests.append(request)
                begin, unit = self.answer(request)
                writer.write(begin)
                if unit:
                    await self._flood(writer, unit)
        self.cut.set()
        writer.close()

    async def _flood(self, writer, unit: bytes) -> None:
        block = unit if self.pause else unit * max(1, BLOCK_BYTES // len(unit))
        while self.sent < FLOOD_BYTES:
            writer.write(block)
            self.sent += len(block)
            await writer.drain()
            await asyncio.sleep(self.pause)


@contextlib.asynccontextmanager
async def run_endless(begin: bytes, unit: bytes, pause: float = 0.0):
    server = EndlessServer(lambda _: (begin, unit), pause)
    await server.start()
    try:
        yield server
    finally:
        await server.close()


@contextlib.contextmanager
def bound_memory(limit: int):
    """Check that no more than `limit` bytes are taken at any time meanwhile."""
    tracemalloc.start()
    try:
        yield
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < limit

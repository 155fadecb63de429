"""A TCP proxy on the loopback address that can delay, block or refuse traffic."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from enum import StrEnum

READ_BYTES = 65_536
POLL_SECONDS = 0.02
# With this value of SO_LINGER, closing a socket sends a reset and drops unsent data.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Mode(StrEnum):
    """How the proxy treats traffic; `up` is the direction from the client to the target."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    UP_CUT = "up_cut"
    DOWN_CUT = "down_cut"
    REFUSE = "refuse"


class Proxy:
    """Forwards connections to `target`; bytes held back are sent when the mode changes.

    `kill` and `restart` make it look from outside like a process killed by SIGKILL, and another one
    started at its address.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.mode = Mode.PASS
        self.delay = 0.1
        self.passed = 0
        self._server: asyncio.Server | None = None
        self._address = ""
        self._next_socket: socket.socket | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        return self._address

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0, backlog=512)
        self._address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def kill(self) -> None:
        """Close the listener and all connections as the kernel does for a killed process.

        Its peers get a FIN, or a reset where unread bytes wait; what was not sent yet is lost. The
        port is held without listening, so that connections to it are refused.
        """
        self._server.close()
        self._next_socket = socket.socket()
        self._next_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        host, _, port = self._address.rpartition(":")
        self._next_socket.bind((host, int(port)))
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def restart(self) -> None:
        """Listen at the same address again."""
        self._server = await asyncio.start_server(self._accept, sock=self._next_socket, backlog=512)
        self._next_socket = None

    async def close(self) -> None:
        self._server.close()
        if self._next_socket is not None:
            self._next_socket.close()
        for task in self._tasks:
            task.cancel()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError, AttributeError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            if self.mode is Mode.REFUSE:
                return
            await self._wait_while_blocked(up=True)
            host, _, port = self.target.rpartition(":")
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
            self._writers.add(target_writer)
            forwarders = [
                asyncio.create_task(self._forward(reader, target_writer, up=True)),
                asyncio.create_task(self._forward(target_reader, writer, up=False)),
            ]
            try:
                await asyncio.wait(forwarders)
            finally:
                for forwarder in forwarders:
                    forwarder.cancel()
                target_writer.transport.abort()
                self._writers.discard(target_writer)
        except (OSError, asyncio.CancelledError):
            return
        finally:
            writer.transport.abort()
            self._writers.discard(writer)
            self._tasks.discard(task)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, up: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(self.delay)
                await self._wait_while_blocked(up=up)
                writer.write(data)
                await writer.drain()
                self.passed += len(data)
            await self._wait_while_blocked(up=up)
            # Only one direction is closed: the other side may still send its answer.
            if writer.can_write_eof():
                writer.write_eof()

    async def _wait_while_blocked(self, *, up: bool) -> None:
        cut = {Mode.SILENT, Mode.UP_CUT if up else Mode.DOWN_CUT}
        while self.mode in cut:
            await asyncio.sleep(POLL_SECONDS)

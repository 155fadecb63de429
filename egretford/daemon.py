"""Entry daemon: connects the controllers to the HTTP server, peer sockets and signals."""

from __future__ import annotations

import asyncio
import signal

import uvicorn
from blacksheep import Application

from egretford.api.application import RequestCounter, build_application
from egretford.api.chat import ChatRoutes
from egretford.api.programs import ProgramRoutes
from egretford.api.status import StatusRoutes
from egretford.context import Context
from egretford.controllers.instance import Instance
from egretford.peer.sockets import PeerClient, PeerServer
from egretford.platform.http import HttpPlatform
from egretford.upstream.http import HttpUpstream

# Connections waiting to be accepted.
BACKLOG = 2_048
KEEP_ALIVE_SECONDS = 30


class Entry:
    """An entry process, which serves callers over HTTP and other entries over peer sockets."""

    def __init__(self, context: Context) -> None:
        settings = context.settings
        self._context = context
        self._platform = HttpPlatform(settings.platform.url, settings.platform.timeout)
        self._upstream = HttpUpstream(settings.upstream)
        self._peers = PeerClient()
        self.instance = Instance(context, self._platform, self._upstream, self._peers)
        address = f"tcp://{settings.peer.host}:{settings.peer.port}"
        self._server = PeerServer(address, self.instance.answer_peer, context.make_logger("peer"))
        self._counter = RequestCounter()
        self.application = self._build_application()

    def _build_application(self) -> Application:
        context, instance = self._context, self.instance
        limit = context.settings.limits.body_bytes
        programs = ProgramRoutes(instance.gateway, context.metrics, context.clock, limit)
        chat = ChatRoutes(instance.gateway, programs, instance.configuration, limit)
        status = StatusRoutes(instance, context.metrics)
        return build_application(programs, chat, status, self._counter)

    async def start(self) -> None:
        """Start all components except the HTTP server, which `serve_entry` starts."""
        await self._platform.start()
        await self._upstream.start()
        await self.instance.start()
        await self._server.start()

    async def drain(self) -> None:
        """Refuse new calls, finish running ones, hand the programs over and answer all requests.

        Stops waiting after `drain_seconds`, so that requests in flight are normally not cut off.
        """
        await self.instance.drain(lambda: not self._counter.inflight)

    async def close(self) -> None:
        """Close all components and their connections."""
        await self.instance.close()
        await self._server.close()
        await self._peers.close()
        await self._upstream.close()
        await self._platform.close()


async def serve_entry(context: Context) -> None:
    """Run an entry until SIGTERM or SIGINT, then drain and close it."""
    entry = Entry(context)
    server = _build_server(entry, context)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await entry.start()
    serving = asyncio.create_task(server._serve())
    stop_waiter = asyncio.create_task(stop_requested.wait())
    try:
        await asyncio.wait([serving, stop_waiter], return_when=asyncio.FIRST_COMPLETED)
        if stop_requested.is_set():
            await entry.drain()
    finally:
        server.should_exit = True
        await serving
        await entry.close()


def _build_server(entry: Entry, context: Context) -> uvicorn.Server:
    http = context.settings.http
    return uvicorn.Server(
        uvicorn.Config(
            entry.application,
            host=http.host,
            port=http.port,
            log_config=None,
            access_log=False,
            lifespan="on",
            backlog=BACKLOG,
            timeout_keep_alive=KEEP_ALIVE_SECONDS,
        )
    )

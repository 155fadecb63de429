"""The daemon of an entry: joins the controllers to HTTP, sockets and signals."""

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

BACKLOG = 2_048
KEEP_ALIVE_SECONDS = 30


class Entry:
    """One process: serves callers and peers."""

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
        """Start all parts; the HTTP server is started by the caller."""
        await self._platform.start()
        await self._upstream.start()
        await self.instance.start()
        await self._server.start()

    async def drain(self) -> None:
        """Leave without cutting off a request in flight."""
        await self.instance.drain(lambda: not self._counter.inflight)

    async def close(self) -> None:
        """Stop all parts."""
        await self.instance.close()
        await self._server.close()
        await self._peers.close()
        await self._upstream.close()
        await self._platform.close()


async def serve_entry(context: Context) -> None:
    """Run an entry until SIGTERM or SIGINT."""
    entry = Entry(context)
    server = _build_server(entry, context)
    leaving = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, leaving.set)
    await entry.start()
    serving = asyncio.create_task(server._serve())
    told = asyncio.create_task(leaving.wait())
    try:
        await asyncio.wait([serving, told], return_when=asyncio.FIRST_COMPLETED)
        if leaving.is_set():
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

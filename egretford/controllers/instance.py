"""All controllers of one entry, on top of its platform, upstream and peer interfaces."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from egretford.context import Context
from egretford.controllers.configuration import ConfigurationController
from egretford.controllers.crashes import CrashController
from egretford.controllers.gateway import Gateway
from egretford.controllers.loops import TaskGroup, run_every
from egretford.controllers.node import Node
from egretford.controllers.scheduling import SchedulingController
from egretford.errors import (
    ErrorKind,
    JournalSealedError,
    PeerUnreachableError,
    RequestError,
    StoreUnavailableError,
)
from egretford.models import Member
from egretford.peer.interface import Peers
from egretford.peer.messages import (
    AcquireSlot,
    Adopted,
    AdoptPrograms,
    FinishSlot,
    Ping,
    Pong,
    PullTables,
)
from egretford.platform.objects import Platform
from egretford.upstream.interface import Upstream

FENCE_CHECK_SECONDS = 0.2
DRAIN_CHECK_SECONDS = 0.05
# How long a drained entry keeps answering requests with NOT_READY before it stops listening.
LINGER_SECONDS = 1.5
ADOPT_TIMEOUT_SECONDS = 10.0


class Instance:
    """Runs the current incarnation, and replaces it by a new one after a takeover."""

    def __init__(
        self, context: Context, platform: Platform, upstream: Upstream, peers: Peers
    ) -> None:
        self.configuration = ConfigurationController(context, platform)
        self.crashes = CrashController(context, platform)
        self.scheduling = SchedulingController(
            context, platform, upstream, peers, self.configuration
        )
        self.scheduling.find_home = self._find_home
        self.gateway = Gateway(context, peers)
        self.draining = False
        self._context = context
        self._platform = platform
        self._upstream = upstream
        self._peers = peers
        self._log = context.make_logger("instance")
        self._tasks = TaskGroup()

    def _build_node(self) -> Node:
        return Node(
            self._context,
            self._platform,
            self._upstream,
            self._peers,
            self.configuration,
            self.crashes,
            self.scheduling,
        )

    def _find_home(self, pool: str) -> Member | None:
        """Return the home of a pool; None if that is this entry."""
        node = self.gateway.node
        if node is None:
            return None
        home = node.members.membership.find_home(pool, self._context.clock.monotonic())
        return None if home.incarnation == node.incarnation else home

    @property
    def node(self) -> Node:
        """The controllers of the current incarnation."""
        return self.gateway.node

    async def start(self) -> None:
        """Start all controllers and serve as a new incarnation."""
        await self.configuration.start()
        await self.crashes.start()
        await self.scheduling.start()
        self.gateway.node = self._build_node()
        await self.node.start()
        self._tasks.spawn(
            run_every(self._context.clock, FENCE_CHECK_SECONDS, self._check_fence, self._log)
        )
        self._log.info("serving", incarnation=self.node.incarnation)

    async def close(self) -> None:
        """Stop all controllers without draining."""
        await self._tasks.close()
        await self.node.close()
        await self.scheduling.close()
        await self.crashes.close()
        await self.configuration.close()

    @property
    def is_ready(self) -> bool:
        """Whether new requests are accepted: tables are known, and it is not draining or fenced."""
        return (
            not self.draining
            and self.configuration.is_known
            and self.gateway.node is not None
            and not self.node.is_fenced
        )

    async def _check_fence(self) -> None:
        """Switch to a new incarnation after another entry has taken over the current one."""
        if not self.node.is_fenced or self.draining:
            return
        former, replacement = self.node, self._build_node()
        await replacement.start()
        self.gateway.node = replacement
        self._log.warning(
            "taken over by another entry; switched to a new incarnation",
            former=former.incarnation,
            incarnation=replacement.incarnation,
        )
        await former.close()

    async def answer_peer(self, message: Any) -> Any:
        """Handle a request of another entry; raises RequestError."""
        node = self.node
        match message:
            case Ping(member):
                node.members.record_heartbeat(member)
                return Pong(node.members.me, self.configuration.current.revision)
            case PullTables():
                return self.configuration.export()
            case AdoptPrograms() if self.draining:
                raise RequestError(ErrorKind.NOT_READY, "this entry is leaving too")
            case AdoptPrograms(incarnation):
                return Adopted(await node.takeover.take_over(incarnation))
            case AcquireSlot() | FinishSlot():
                return await self.scheduling.answer_peer(message)
        return await self.gateway.answer_peer(message)

    async def drain(self, is_idle: Callable[[], bool]) -> None:
        """Finish running calls, hand the programs over, then wait until `is_idle()`.

        Waits at most `drain_seconds` of the settings, plus LINGER_SECONDS.
        """
        node = self.node
        self._log.info("leaving", programs=len(node.table.programs))
        self.draining = True
        node.owner.accepts_calls = False
        deadline = self._context.clock.monotonic() + self._context.settings.drain_seconds
        await self._wait_until(lambda: not node.owner.running_calls, deadline)
        try:
            async with asyncio.timeout(max(0.0, deadline - self._context.clock.monotonic())):
                await self._hand_over(node)
        except (TimeoutError, StoreUnavailableError, JournalSealedError) as error:
            self._log.warning(
                "handover failed; leaving the programs to a takeover", error=repr(error)
            )
        # Callers that reuse an idle connection get an error response instead of a reset.
        await self._context.clock.sleep(LINGER_SECONDS)
        await self._wait_until(lambda: is_idle() and not self.gateway.inflight, deadline)

    async def _wait_until(self, condition: Callable[[], bool], deadline: float) -> None:
        while not condition() and self._context.clock.monotonic() < deadline:
            await self._context.clock.sleep(DRAIN_CHECK_SECONDS)

    async def _hand_over(self, node: Node) -> None:
        await node.orders.close()
        await node.janitor.close()
        await node.takeover.close()
        await node.journal.close_cleanly()
        await node.members.announce_state("leaving")
        await node.members.close()
        for member in node.members.rank_successors():
            try:
                request = AdoptPrograms(node.incarnation)
                await self._peers.ask(member.address, request, ADOPT_TIMEOUT_SECONDS)
                self._log.info("handed programs over", successor=member.incarnation)
                return
            except (PeerUnreachableError, RequestError) as error:
                self._log.warning(
                    "peer did not adopt the programs; trying the next", error=str(error)
                )

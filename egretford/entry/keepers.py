"""Asks the keepers: writes to all, waits for a quorum, and learns newer views on the way."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from attrs import Factory, define, evolve

from egretford.clock import Clock
from egretford.controllers.loops import TaskGroup, run_every
from egretford.errors import (
    EgretfordError,
    RequestError,
    StoreUnavailableError,
)
from egretford.keeper.messages import (
    AdoptView,
    Keep,
    KeeperReply,
    KeeperRequest,
    Kept,
    NotReady,
    OutdatedView,
    UnknownView,
)
from egretford.peer.interface import Peers
from egretford.policy.copies import rank_copies
from egretford.policy.groups import GroupCache, count_group_quorum, list_active
from egretford.policy.views import Member, View

# A keeper answers within some milliseconds, and within some tens from another region.
ASK_SECONDS = 1.0
# How often the store is asked for the view while none is known or no quorum answers.
VIEW_SECONDS = 1.0
# The same for requests that find no quorum; each call to the store has its price.
MIN_VIEW_SECONDS = 0.4
# Views change one member at a time; more changes than this during one call are not expected.
MAX_VIEW_CHANGES = 4
# A keeper that keeps failing, as with a disk that refuses writes, is told of this often.
FAILURE_LOG_SECONDS = 1.0
# A keeper that did not answer is not counted on for this long.
DOWN_SECONDS = 0.7


class KeepersUnavailableError(EgretfordError):
    """Too few keepers answered; some may have taken the request."""


@define
class Round:
    """One request to some members of a view; it needs `needed` replies of type `kind`."""

    view: View
    kind: type
    needed: int
    tasks: dict[Member, asyncio.Task[KeeperReply]] = Factory(dict)

    @property
    def replies(self) -> dict[Member, Any]:
        """The replies of the wanted type that have come."""
        answered = {
            member: task.result()
            for member, task in self.tasks.items()
            if task.done() and not task.cancelled() and task.exception() is None
        }
        return {m: reply for m, reply in answered.items() if isinstance(reply, self.kind)}

    @property
    def has_enough(self) -> bool:
        """Whether as many replies have come as are needed."""
        return len(self.replies) >= self.needed

    @property
    def pending(self) -> list[asyncio.Task[KeeperReply]]:
        """The requests that were not answered yet."""
        return [task for task in self.tasks.values() if not task.done()]

    def is_decided(self) -> bool:
        """Whether enough replies have come, or too few can still come."""
        hopeless = len(self.pending) + len(self.replies) < self.needed
        return self.has_enough or hopeless


def describe_outcome(task: asyncio.Future[KeeperReply]) -> str:
    """Return what came of a request to a keeper, for the log."""
    if not task.done():
        return "no answer yet"
    if task.cancelled():
        return "cancelled"
    error = task.exception()
    return type(task.result()).__name__ if error is None else repr(error)


class KeeperGroup:
    """The keepers as an entry sees them."""

    def __init__(
        self,
        peers: Peers,
        read_view: Callable[[], Awaitable[tuple[View, int | None]]],
        tolerated_losses: int,
        failure_domain: str,
        regions: dict[str, str],
        clock: Clock,
        log: Any,
    ) -> None:
        self._peers = peers
        self._read_view = read_view
        self._tolerated = tolerated_losses
        self._domain = failure_domain
        self._regions = regions
        self._clock = clock
        self._log = log
        self._groups = GroupCache(tolerated_losses)
        self._tasks = TaskGroup()
        self._down_until: dict[str, float] = {}
        self._failure_log_due: dict[str, float] = {}
        self._copying: set[str] = set()
        self._needs_view = True
        self._reading: asyncio.Task[None] | None = None
        self._read_at: float | None = None
        self.view = View()

    async def start(self) -> None:
        """Learn the view in the background."""
        self._tasks.spawn(run_every(self._clock, VIEW_SECONDS, self._refresh_view, self._log))

    async def close(self) -> None:
        """Stop; requests under way are dropped."""
        await self._tasks.close()

    async def _refresh_view(self) -> None:
        if self._needs_view or self._is_view_small():
            await self._read_newer_view()

    def _is_view_small(self) -> bool:
        return len(self.view.active) <= self._tolerated

    @property
    def is_complete(self) -> bool:
        """Whether the view has enough members to keep anything."""
        return not self._is_view_small()

    async def _read_newer_view(self) -> None:
        """Ask the store for the view, once for all who want it and not too often."""
        if self._reading is None:
            now = self._clock.monotonic()
            if self._read_at is not None and now - self._read_at < MIN_VIEW_SECONDS:
                return
            self._read_at = now
            self._reading = self._tasks.spawn(self._read_stored_view())
        await asyncio.shield(self._reading)

    async def _read_stored_view(self) -> None:
        try:
            view, _ = await self._read_view()
        except StoreUnavailableError as error:
            self._log.info("the view of keepers cannot be read", error=str(error))
        else:
            self.learn_view(view)
            self._needs_view = view.number == 0
        finally:
            self._reading = None

    def learn_view(self, view: View) -> None:
        """Take a newer view."""
        if view.number <= self.view.number:
            return
        self._log.info(
            "learnt of a view",
            view=view.number,
            before=self.view.number,
            members=[member.name for member in view.members],
        )
        self.view = view
        self._peers.keep_only({member.address for member in view.members})

    @property
    def copies(self) -> int:
        """How many keepers hold a turn."""
        return self._tolerated + 1

    def rank_copies(self, program: str) -> list[Member]:
        """Order the members that are thought to answer by where a program's turns belong.

        Those that took no turn when asked last come after all others.
        """
        ranked = rank_copies(self.list_answering(), program, self._domain, self._regions)
        return sorted(ranked, key=lambda member: member.disk in self._copying)

    def rank_by_distance(self, members: list[Member]) -> list[Member]:
        """Order members: own failure domain, own region, others."""
        region = self._regions.get(self._domain)

        def distance(member: Member) -> int:
            if member.failure_domain == self._domain:
                return 0
            return 1 if self._regions.get(member.failure_domain) == region else 2

        return sorted(members, key=distance)

    def find_group(self, program: str) -> list[Member]:
        """Return the members that hold a program's charges."""
        disks = self._groups.find(list_active(self.view), program)
        return [member for member in self.view.active if member.disk in disks]

    def is_view_whole(self) -> bool:
        """Whether all that was ever kept is held by some member.

        What was kept has more copies than members may be lost, and has been copied to
        those that came since. Without a view nothing is known.
        """
        return self.is_complete and len(self.view.dropped) <= self._tolerated

    def list_answering(self) -> list[Member]:
        """Return the active members that are thought to answer."""
        return [member for member in self.view.active if self.is_answering(member)]

    def is_answering(self, member: Member) -> bool:
        """Whether a member has not failed lately."""
        return self._down_until.get(member.disk, 0.0) <= self._clock.monotonic()

    async def ask_group(
        self, program: str, build: Callable[[Member], KeeperRequest], kind: type
    ) -> Round:
        """Send a request to a program's group; returns once a quorum answered with `kind`.

        The others are still waited for in the background. Raises KeepersUnavailableError.
        """
        for _ in range(MAX_VIEW_CHANGES):
            if self._is_view_small():
                # Learnt while the keepers were still joining; any of them knows better.
                await self._read_newer_view()
            view, group = self.view, self.find_group(program)
            quorum = count_group_quorum(len(group), self._tolerated)
            if sum(self.is_answering(member) for member in group) < quorum:
                break
            round_ = self._send_round(Round(view, kind, quorum), group, build)
            await self._wait_round(round_)
            if round_.has_enough:
                return round_
            if self.view.number == view.number:
                # Those that did not answer may have been replaced meanwhile.
                await self._read_newer_view()
            if self.view.number == view.number:
                break
        self.note_shortage()
        raise KeepersUnavailableError(f"no quorum answered under view {self.view.number}")

    def _send_round(
        self, round_: Round, members: list[Member], build: Callable[[Member], KeeperRequest]
    ) -> Round:
        for member in members:
            round_.tasks[member] = self.start_asking(member, build(member))
        return round_

    async def _wait_round(self, round_: Round) -> None:
        """Wait until a round is decided, or its view outdated."""
        while not round_.is_decided():
            await asyncio.wait(round_.pending, return_when=asyncio.FIRST_COMPLETED)
            if self.view.number > round_.view.number:
                return

    def start_asking(self, member: Member, message: KeeperRequest) -> asyncio.Task[KeeperReply]:
        """Ask one member in the background; what becomes of it is noted also if nobody waits."""
        message = evolve(message, view=self.view.number)
        task = self._tasks.spawn(self._ask(member, message))
        # Failures are logged where they are met, also those that come after a quorum.
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        return task

    def note_shortage(self) -> None:
        """Note that too few members answer; the store may know of others."""
        self._needs_view = True

    async def ask_one(self, member: Member, message: KeeperRequest) -> KeeperReply:
        """Ask one member; raises EgretfordError."""
        return await self._ask(member, evolve(message, view=self.view.number))

    async def _ask(self, member: Member, message: KeeperRequest) -> KeeperReply:
        view = self.view
        try:
            reply = await self._peers.ask(member.address, message, ASK_SECONDS)
            if isinstance(reply, UnknownView):
                await self._peers.ask(member.address, AdoptView(view), ASK_SECONDS)
                reply = await self._peers.ask(member.address, message, ASK_SECONDS)
        except RequestError as error:
            self._log_failure(member, error)
            raise
        except EgretfordError as error:
            if member.disk not in self._down_until:
                self._log.warning("lost a keeper", keeper=member.name, error=str(error))
            self._down_until[member.disk] = self._clock.monotonic() + DOWN_SECONDS
            raise
        if self._down_until.pop(member.disk, None) is not None:
            self._log.info("a keeper answers again", keeper=member.name)
        if isinstance(reply, OutdatedView):
            self.learn_view(reply.view)
        is_about_turn = isinstance(message, Keep) and message.turn is not None
        if is_about_turn and isinstance(reply, NotReady | Kept):
            self._note_readiness(member, isinstance(reply, NotReady))
        return reply

    def _log_failure(self, member: Member, error: RequestError) -> None:
        now = self._clock.monotonic()
        if self._failure_log_due.get(member.disk, 0.0) <= now:
            self._failure_log_due[member.disk] = now + FAILURE_LOG_SECONDS
            self._log.warning("a keeper failed", keeper=member.name, error=str(error))

    def _note_readiness(self, member: Member, copying: bool) -> None:
        if copying == (member.disk in self._copying):
            return
        if copying:
            self._copying.add(member.disk)
            self._log.info("a keeper takes no turns yet", keeper=member.name)
        else:
            self._copying.discard(member.disk)
            self._log.info("a keeper takes turns", keeper=member.name)

    def run_in_background(self, work: Any) -> None:
        """Run a coroutine that outlives the request it belongs to."""
        self._tasks.spawn(work)

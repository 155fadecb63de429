"""Client of the keepers: sends requests to quorums or single keepers and tracks their view."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

from attrs import Factory, define, evolve

from egretford.clock import Clock
from egretford.controllers.loops import TaskGroup, run_every
from egretford.errors import (
    EgretfordError,
    PeerDownError,
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
from egretford.policy.groups import GroupCache, count_group_quorum, list_active
from egretford.policy.relays import rank_relays
from egretford.policy.turn_replicas import rank_turn_keepers
from egretford.policy.views import Member, View

# Timeout of a request to a keeper, in seconds. Replies take some milliseconds, and some tens of
# milliseconds from another region.
REPLY_TIMEOUT_SECONDS = 1.0
# Interval, in seconds, of reading the view from the store while none is known or no quorum
# answers.
VIEW_REFRESH_SECONDS = 1.0
# Least interval, in seconds, between reads of the view, including those for requests that found
# no quorum. Each call to the store has a price.
MIN_VIEW_READ_SECONDS = 0.4
# Attempts at a group request, one per view. Views change by one member at a time, and more
# changes than this are not expected during one request.
MAX_GROUP_ATTEMPTS = 4
# Least interval, in seconds, between log lines about a keeper that keeps failing, for example
# because its disk refuses writes.
FAILURE_LOG_INTERVAL_SECONDS = 1.0
# Seconds for which a keeper that did not answer is treated as unavailable, and one that delayed a
# quorum is asked after others.
UNAVAILABLE_SECONDS = 0.7
# Seconds without a quorum after which the rest of a group is asked as well. A reply from another
# region takes some tens of milliseconds.
HEDGE_DELAY_SECONDS = 0.05
# The same for requests that nobody waits for.
BACKGROUND_HEDGE_DELAY_SECONDS = 0.25
# Seconds for which it counts that a keeper was down, or that the store had a view.
EVIDENCE_SECONDS = 1.5


class KeepersUnavailableError(EgretfordError):
    """Too few keepers answered; some may have executed the request if it was `sent`."""

    def __init__(self, message: str, *, sent: bool = True) -> None:
        super().__init__(message)
        self.sent = sent


@define(eq=False)
class QuorumRequest:
    """A request to a group of members of a view that needs `needed` replies of type `kind`.

    As many members are asked as are needed, those in front first. Each one that fails is made up
    for by the next at once, and all others are asked if there is no quorum after the hedge delay:
    a member that was not asked costs nothing, and copies the record from those that were.
    """

    view: View
    kind: type
    needed: int
    unasked: deque[Member]
    _ask: Callable[[Member], asyncio.Task[KeeperReply]]
    _is_outdated: Callable[[], bool]
    tasks: dict[Member, asyncio.Task[KeeperReply]] = Factory(dict)
    replies: dict[Member, Any] = Factory(dict)
    _failures: int = 0
    _decided: asyncio.Future[None] = Factory(lambda: asyncio.get_running_loop().create_future())

    @property
    def has_enough(self) -> bool:
        """Whether at least `needed` replies of type `kind` were received."""
        return len(self.replies) >= self.needed

    @property
    def pending(self) -> list[asyncio.Task[KeeperReply]]:
        """The tasks of members that were asked and have not answered yet."""
        return [task for task in self.tasks.values() if not task.done()]

    async def run(self, hedge_delay: float) -> None:
        """Ask until a quorum is reached or impossible, or a newer view is known.

        `hedge_delay` is in seconds.
        """
        self._ask_more(self.needed)
        self._check()
        await asyncio.wait([self._decided], timeout=hedge_delay)
        if not self._decided.done():
            self.ask_all()
            await self._decided

    def ask_all(self) -> None:
        """Ask the members that were not asked yet."""
        self._ask_more(len(self.unasked))

    def _ask_more(self, count: int) -> None:
        for _ in range(min(count, len(self.unasked))):
            member = self.unasked.popleft()
            self.tasks[member] = task = self._ask(member)
            task.add_done_callback(lambda done, member=member: self._handle_done(member, done))

    def _handle_done(self, member: Member, task: asyncio.Task[KeeperReply]) -> None:
        if not task.cancelled() and task.exception() is None and type(task.result()) is self.kind:
            self.replies[member] = task.result()
        else:
            self._failures += 1
            # Requests are cancelled when the client closes.
            if not (task.cancelled() or self._decided.done() or self._is_outdated()):
                self._ask_more(1)
        self._check()

    def _check(self) -> None:
        if self._decided.done():
            return
        possible = len(self.tasks) - self._failures + len(self.unasked)
        if self.has_enough or possible < self.needed or self._is_outdated():
            self._decided.set_result(None)


def describe_outcome(task: asyncio.Future[KeeperReply]) -> str:
    """Return the outcome of a request to a keeper as text for the log."""
    if not task.done():
        return "no answer yet"
    if task.cancelled():
        return "cancelled"
    error = task.exception()
    return type(task.result()).__name__ if error is None else repr(error)


def describe_refusal(task: asyncio.Future[KeeperReply]) -> str:
    """Return the outcome of a request as text for the log, with the reason if it was refused."""
    outcome = describe_outcome(task)
    answered = task.done() and not task.cancelled() and task.exception() is None
    if answered and isinstance(task.result(), NotReady):
        return f"{outcome}: {task.result().reason}"
    return outcome


class KeeperClient:
    """An entry's client of the keepers; keeps their newest known view and their availability."""

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
        self._tolerated_losses = tolerated_losses
        self._failure_domain = failure_domain
        self._regions = regions
        self._clock = clock
        self._log = log
        self._groups = GroupCache(tolerated_losses)
        self._tasks = TaskGroup()
        self._unavailable_until: dict[str, float] = {}
        self._slow_until: dict[str, float] = {}
        self._failure_log_due: dict[str, float] = {}
        self._not_ready: set[str] = set()
        self._needs_view_refresh = True
        self._view_read: asyncio.Task[None] | None = None
        self._view_read_at: float | None = None
        # When the newest successful read of the view began, and when its generation was learnt.
        self._view_confirmed_at: float | None = None
        self._generation_known_at: float | None = None
        # By disk, when a member was last seen to be down.
        self._down_at: dict[str, float] = {}
        self.view = View()

    async def start(self) -> None:
        """Start to read the view from the store in the background, whenever that is needed."""
        self._tasks.spawn(
            run_every(self._clock, VIEW_REFRESH_SECONDS, self._refresh_view, self._log)
        )

    async def close(self) -> None:
        """Cancel background work and all pending requests."""
        await self._tasks.close()

    async def _refresh_view(self) -> None:
        if self._needs_view_refresh or self._is_view_too_small():
            await self._read_newer_view()

    def _is_view_too_small(self) -> bool:
        return len(self.view.active) <= self._tolerated_losses

    @property
    def has_enough_members(self) -> bool:
        """Whether the view has enough active members for the required number of copies."""
        return not self._is_view_too_small()

    @property
    def reaches_quorum(self) -> bool:
        """Whether the last requests to more keepers than may be lost were answered.

        A keeper that was not asked yet counts as one that answers.
        """
        failing = sum(member.disk in self._unavailable_until for member in self.view.active)
        return len(self.view.active) - failing > self._tolerated_losses

    async def _read_newer_view(self) -> None:
        """Read the view from the store; concurrent calls share one read, with a rate limit."""
        if self._view_read is None:
            now = self._clock.monotonic()
            if self._view_read_at is not None and now - self._view_read_at < MIN_VIEW_READ_SECONDS:
                return
            self._view_read_at = now
            self._view_read = self._tasks.spawn(self._read_stored_view())
        await asyncio.shield(self._view_read)

    async def _read_stored_view(self) -> None:
        started = self._clock.monotonic()
        try:
            view, _ = await self._read_view()
        except StoreUnavailableError as error:
            self._log.info("could not read the view of keepers", error=str(error))
        else:
            self._view_confirmed_at = started
            self.update_view(view)
            self._needs_view_refresh = view.number == 0
        finally:
            self._view_read = None

    def update_view(self, view: View) -> None:
        """Adopt a newer view, and close connections to keepers that it does not list."""
        if view.number <= self.view.number:
            return
        self._log.info(
            "learnt of a view",
            view=view.number,
            before=self.view.number,
            members=[member.name for member in view.members],
        )
        if view.generation != self.view.generation:
            self._generation_known_at = self._clock.monotonic()
        self.view = view
        self._peers.keep_only({member.address for member in view.members})

    def list_relays(self) -> list[Member] | None:
        """Return the active keepers of the own region that relay objects; None without a view.

        Returns none if a region has too few. See `rank_relays` for the order.
        """
        if self.view.number == 0:
            return None
        return rank_relays(self.view.active, self._failure_domain, self._regions)

    @property
    def copies(self) -> int:
        """The number of keepers that must hold a turn: one more than may be lost."""
        return self._tolerated_losses + 1

    def rank_copies(self, program: str) -> list[Member]:
        """Return the available members, in the order in which a program's turns prefer them.

        Members that were not ready for turns at the last request come last.
        """
        ranked = rank_turn_keepers(
            self.list_available(), program, self._failure_domain, self._regions
        )
        return sorted(ranked, key=lambda member: member.disk in self._not_ready)

    def rank_by_distance(self, members: list[Member]) -> list[Member]:
        """Sort members by distance: own failure domain, own region, then others."""
        region = self._regions.get(self._failure_domain)

        def distance(member: Member) -> int:
            if member.failure_domain == self._failure_domain:
                return 0
            return 1 if self._regions.get(member.failure_domain) == region else 2

        return sorted(members, key=distance)

    def find_group(self, program: str) -> list[Member]:
        """Return the members that hold a program's charges."""
        disks = self._groups.find(list_active(self.view), program)
        members = {member.disk: member for member in self.view.active}
        return [members[disk] for disk in disks]

    def has_all_records(self) -> bool:
        """Whether each stored record is sure to be held by some member.

        A record has more copies than members may be lost, and new members copy the records.
        So this holds unless more members were dropped than may be lost. Without a view that
        has enough members, it is unknown and therefore False.
        """
        return self.has_enough_members and len(self.view.dropped) <= self._tolerated_losses

    def list_probed(self) -> list[Member]:
        """Return the members to ask for crashes: the nearest, or more while no quorum answers."""
        members = self.rank_by_distance(self.list_available())
        return members[:1] if self.reaches_quorum else members[: 2 * self._tolerated_losses + 1]

    def list_available(self) -> list[Member]:
        """Return the active members that are considered available."""
        return [member for member in self.view.active if self.is_available(member)]

    def is_available(self, member: Member) -> bool:
        """Whether the member answered its last request, or last failed long enough ago."""
        return self._unavailable_until.get(member.disk, 0.0) <= self._clock.monotonic()

    def has_available_quorum(self, program: str) -> bool:
        """Whether enough members of a program's group for a quorum are considered available."""
        group = self.find_group(program)
        available = sum(self.is_available(member) for member in group)
        return available >= count_group_quorum(len(group), self._tolerated_losses)

    async def proves_no_quorum(self, program: str, settled_seconds: float) -> bool:
        """Whether it is certain that no entry could reach a quorum of a program's group just now.

        So it is if more members are down than may be lost, and the store has the view by which
        they are members, whose generation has been known for `settled_seconds`. Each quorum then
        has a member that was down, or that learns of a change of members later.
        """
        if not self._has_recent(self._view_confirmed_at):
            await self._read_newer_view()
        group = self.find_group(program)
        down = sum(self._has_recent(self._down_at.get(member.disk)) for member in group)
        known_at = self._generation_known_at
        return (
            self._has_recent(self._view_confirmed_at)
            and known_at is not None
            and self._clock.monotonic() - known_at >= settled_seconds
            and len(group) > 2 * self._tolerated_losses
            and down > self._tolerated_losses
        )

    def _has_recent(self, evidence_at: float | None) -> bool:
        return evidence_at is not None and self._clock.monotonic() - evidence_at <= EVIDENCE_SECONDS

    async def request_quorum(
        self,
        program: str,
        message: KeeperRequest,
        kind: type,
        *,
        fail_fast: bool = True,
        hedge_delay: float = HEDGE_DELAY_SECONDS,
    ) -> QuorumRequest:
        """Send a request to a program's group; returns once a quorum answered with `kind`.

        See QuorumRequest for which members are asked; those that are slower than a quorum of the
        others go on in the background. `hedge_delay` is in seconds. Raises
        KeepersUnavailableError if no quorum can be reached, with `fail_fast` also if too many
        members failed shortly before.
        """
        outcomes: list[str] = []
        sent = False
        for _ in range(MAX_GROUP_ATTEMPTS):
            if self._is_view_too_small():
                # The view was read while keepers were still joining, so a newer one is likely.
                await self._read_newer_view()
            view, group = self.view, self.find_group(program)
            quorum = count_group_quorum(len(group), self._tolerated_losses)
            if fail_fast and not self.has_available_quorum(program):
                outcomes = [
                    f"{m.name}: {'not asked' if self.is_available(m) else 'unavailable'}"
                    for m in group
                ]
                break
            stamped = evolve(message, view=view.number)
            quorum_request = QuorumRequest(
                view,
                kind,
                quorum,
                deque(self._order_group(group)),
                lambda member, stamped=stamped: self._start(member, stamped),
                lambda view=view: self.view.number > view.number,
            )
            sent = True
            await quorum_request.run(hedge_delay)
            self._record_delays(quorum_request)
            if quorum_request.has_enough:
                return quorum_request
            outcomes = [f"{m.name}: {describe_refusal(t)}" for m, t in quorum_request.tasks.items()]
            outcomes += [f"{member.name}: not asked" for member in quorum_request.unasked]
            if self.view.number == view.number:
                # Members that did not answer may have been replaced since.
                await self._read_newer_view()
            if self.view.number == view.number:
                break
        self.request_view_refresh()
        self._log.info(
            "no quorum answered",
            program=program,
            kind=kind.__name__,
            needed=quorum,
            outcomes=outcomes,
            view=view.number,
            generation=view.generation,
        )
        message = f"no quorum answered under view {self.view.number}"
        raise KeepersUnavailableError(message, sent=sent)

    def _order_group(self, group: list[Member]) -> list[Member]:
        """Return a group's members in the order to ask them: those that answer first, then near."""
        now = self._clock.monotonic()

        def delays(member: Member) -> bool:
            return not self.is_available(member) or self._slow_until.get(member.disk, 0.0) > now

        return sorted(self.rank_by_distance(group), key=delays)

    def _record_delays(self, quorum_request: QuorumRequest) -> None:
        """Ask members after others for a while that made a hedge or another member necessary."""
        if len(quorum_request.tasks) <= quorum_request.needed:
            return
        slow_until = self._clock.monotonic() + UNAVAILABLE_SECONDS
        for member in list(quorum_request.tasks)[: quorum_request.needed]:
            if member not in quorum_request.replies:
                self._slow_until[member.disk] = slow_until

    def start_request(self, member: Member, message: KeeperRequest) -> asyncio.Task[KeeperReply]:
        """Send a request to one member in the background.

        Its outcome is recorded even if the returned task is not awaited.
        """
        return self._start(member, evolve(message, view=self.view.number))

    def _start(self, member: Member, message: KeeperRequest) -> asyncio.Task[KeeperReply]:
        task = self._tasks.spawn(self._send_to_member(member, message))
        # Marks the exception as retrieved: _send_to_member logs failures, including those after
        # a quorum was reached.
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        return task

    def request_view_refresh(self) -> None:
        """Request a read of the view, since the store may list other members."""
        self._needs_view_refresh = True

    async def send_request(self, member: Member, message: KeeperRequest) -> KeeperReply:
        """Send a request to one member; raises EgretfordError if it fails or is not answered."""
        return await self._send_to_member(member, evolve(message, view=self.view.number))

    async def _send_to_member(self, member: Member, message: KeeperRequest) -> KeeperReply:
        view = self.view
        try:
            reply = await self._peers.ask(member.address, message, REPLY_TIMEOUT_SECONDS)
            if isinstance(reply, UnknownView):
                await self._peers.ask(member.address, AdoptView(view), REPLY_TIMEOUT_SECONDS)
                reply = await self._peers.ask(member.address, message, REPLY_TIMEOUT_SECONDS)
        except RequestError as error:
            self._log_failure(member, error)
            raise
        except EgretfordError as error:
            if member.disk not in self._unavailable_until:
                self._log.warning("lost a keeper", keeper=member.name, error=str(error))
            now = self._clock.monotonic()
            self._unavailable_until[member.disk] = now + UNAVAILABLE_SECONDS
            if isinstance(error, PeerDownError):
                self._down_at[member.disk] = now
            raise
        if self._unavailable_until.pop(member.disk, None) is not None:
            self._log.info("a keeper answers again", keeper=member.name)
        if isinstance(reply, OutdatedView):
            self.update_view(reply.view)
        is_about_turn = isinstance(message, Keep) and message.turn is not None
        if is_about_turn and isinstance(reply, NotReady | Kept):
            self._update_readiness(member, isinstance(reply, NotReady))
        return reply

    def _log_failure(self, member: Member, error: RequestError) -> None:
        now = self._clock.monotonic()
        if self._failure_log_due.get(member.disk, 0.0) <= now:
            self._failure_log_due[member.disk] = now + FAILURE_LOG_INTERVAL_SECONDS
            self._log.warning("a keeper failed", keeper=member.name, error=str(error))

    def _update_readiness(self, member: Member, not_ready: bool) -> None:
        if not_ready == (member.disk in self._not_ready):
            return
        if not_ready:
            self._not_ready.add(member.disk)
            self._log.info("a keeper is not ready for turns", keeper=member.name)
        else:
            self._not_ready.discard(member.disk)
            self._log.info("a keeper is ready for turns", keeper=member.name)

    def run_in_background(self, coroutine: Any) -> asyncio.Task[Any]:
        """Run a coroutine that may outlive its request; `close` cancels it."""
        return self._tasks.spawn(coroutine)

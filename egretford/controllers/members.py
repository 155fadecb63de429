"""Membership: this entry's lease in the store, the listing of others, and heartbeats."""

from __future__ import annotations

import asyncio

from attrs import evolve

from egretford.codec import decode_bytes, encode_bytes
from egretford.context import Context
from egretford.controllers.configuration import ConfigurationController
from egretford.controllers.loops import TaskGroup, run_every
from egretford.errors import (
    ObjectMissingError,
    PeerUnreachableError,
    StoreUnavailableError,
    VersionConflictError,
)
from egretford.models import Member
from egretford.peer.interface import Peers
from egretford.peer.messages import Ping, Pong, PullTables
from egretford.platform.objects import Platform
from egretford.policy.membership import Membership

MEMBER_PREFIX = "members/"
PING_TIMEOUT_SECONDS = 1.0


class MembersController:
    """Renews this incarnation's member object and tracks the other members."""

    def __init__(
        self,
        context: Context,
        platform: Platform,
        peers: Peers,
        configuration: ConfigurationController,
        me: Member,
    ) -> None:
        self.membership = Membership(me, context.settings.lease)
        self.taken_over = asyncio.Event()
        self.listed_at: float | None = None
        self._context = context
        self._platform = platform
        self._peers = peers
        self._configuration = configuration
        self._log = context.make_logger("membership")
        self._version = 0
        self._tasks = TaskGroup()

    @property
    def me(self) -> Member:
        """The member object of this incarnation."""
        return self.membership.me

    async def start(self) -> None:
        """Announce this incarnation and start renewal and heartbeats.

        An unavailable store is logged; a later renewal then announces the incarnation.
        """
        try:
            await self._renew()
            await self.read_members()
        except StoreUnavailableError as error:
            self._log.warning("store unavailable; relying on peers", error=str(error))
        clock, times = self._context.clock, self._context.settings.lease
        self._tasks.spawn(run_every(clock, times.renewal, self._renew_and_list, self._log))
        self._tasks.spawn(run_every(clock, times.heartbeat, self._ping_peers, self._log))

    async def close(self) -> None:
        """Stop renewal and heartbeats; the member object stays for a successor."""
        await self._tasks.close()

    async def _renew_and_list(self) -> None:
        await self._renew()
        await self.read_members()

    async def _renew(self) -> None:
        self.membership.me = evolve(self.me, renewed_at=self._context.clock.now())
        key, value = MEMBER_PREFIX + self.me.incarnation, encode_bytes(self.me)
        try:
            if self._version:
                self._version = await self._platform.update(key, value, self._version)
            else:
                self._version = await self._platform.create(key, value)
        except (VersionConflictError, ObjectMissingError):
            await self._resolve_conflict(key)

    async def _resolve_conflict(self, key: str) -> None:
        """Distinguish a write whose response was lost from a takeover of this incarnation."""
        try:
            stored = await self._platform.get(key)
        except ObjectMissingError:
            self.taken_over.set()
            return
        member = decode_bytes(stored.value, Member)
        if member.owner != self.me.incarnation:
            self._log.error("taken over by another entry", owner=member.owner)
            self.taken_over.set()
            return
        self._version = stored.version

    async def announce_state(self, state: str) -> None:
        """Write a new state to the member object; raises StoreUnavailableError."""
        self.membership.me = evolve(self.me, state=state)
        await self._renew()

    async def read_members(self) -> None:
        """Read all member objects from the store; raises StoreUnavailableError."""
        items = await self._platform.list(MEMBER_PREFIX)
        members = {}
        for item in items:
            member = decode_bytes(item.value, Member)
            members[member.incarnation] = (member, item.version)
        now = self.now()
        self.membership.update_from_listing(members, now)
        self.listed_at = now

    def now(self) -> float:
        """Return the monotonic time in seconds, the clock of all times in `membership`."""
        return self._context.clock.monotonic()

    def record_heartbeat(self, member: Member) -> None:
        """Record a heartbeat received from a peer."""
        self.membership.record_heartbeat(member, self.now())

    def rank_successors(self) -> list[Member]:
        """Return live peers in the order in which they should adopt this incarnation."""
        return self.membership.rank_successors(self.me, self.now())

    async def find_member(self, incarnation: str) -> Member | None:
        """Read an incarnation from the store, None if it is missing.

        Raises StoreUnavailableError.
        """
        try:
            stored = await self._platform.get(MEMBER_PREFIX + incarnation)
        except ObjectMissingError:
            return None
        return decode_bytes(stored.value, Member)

    @property
    def is_listing_fresh(self) -> bool:
        """Whether the members were read from the store within the duration of a lease."""
        now = self.now()
        return (
            self.listed_at is not None and now - self.listed_at < self._context.settings.lease.lease
        )

    async def _ping_peers(self) -> None:
        now = self.now()
        members = [known.member for known in self.membership.known_members.values()]
        targets = [m for m in members if m.owner == m.incarnation and m.state == "serving"]
        self._peers.keep_only({m.address for m in self.membership.list_live(now)})
        await asyncio.gather(*(self._ping(member) for member in targets))

    async def _ping(self, member: Member) -> None:
        ping = Ping(self.me, self._configuration.current.revision)
        try:
            pong = await self._peers.ask(member.address, ping, PING_TIMEOUT_SECONDS)
        except PeerUnreachableError:
            return
        if isinstance(pong, Pong):
            self.membership.record_heartbeat(pong.member, self.now())
            if pong.revision > self._configuration.current.revision:
                await self._pull_tables(member)

    async def _pull_tables(self, member: Member) -> None:
        try:
            tables = await self._peers.ask(member.address, PullTables(), PING_TIMEOUT_SECONDS)
        except PeerUnreachableError:
            return
        self._configuration.offer(tables)

"""Membership: the own lease in the store, the listing of others, heartbeats to peers."""

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
PING_SECONDS = 1.0


class MembersController:
    """Keeps the own member object renewed and the sightings of others current."""

    def __init__(
        self,
        context: Context,
        platform: Platform,
        peers: Peers,
        configuration: ConfigurationController,
        me: Member,
    ) -> None:
        self.membership = Membership(me, context.settings.lease)
        self.lost = asyncio.Event()
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
        """This incarnation as it announces itself."""
        return self.membership.me

    async def start(self) -> None:
        """Announce this incarnation if the store allows, then keep going."""
        try:
            await self._renew()
            await self.read_members()
        except StoreUnavailableError as error:
            self._log.warning("the store is out; serving with what peers know", error=str(error))
        clock, times = self._context.clock, self._context.settings.lease
        self._tasks.spawn(run_every(clock, times.renewal, self._renew_and_list, self._log))
        self._tasks.spawn(run_every(clock, times.heartbeat, self._ping_peers, self._log))

    async def close(self) -> None:
        """Stop renewing; the member object stays for a successor."""
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
            await self._settle_conflict(key)

    async def _settle_conflict(self, key: str) -> None:
        """Tell a lost answer from a takeover."""
        try:
            stored = await self._platform.get(key)
        except ObjectMissingError:
            self.lost.set()
            return
        member = decode_bytes(stored.value, Member)
        if member.owner != self.me.incarnation:
            self._log.error("another entry has taken over", owner=member.owner)
            self.lost.set()
            return
        self._version = stored.version

    async def announce_state(self, state: str) -> None:
        """Write a new state of this incarnation; raises StoreUnavailableError."""
        self.membership.me = evolve(self.me, state=state)
        await self._renew()

    async def read_members(self) -> None:
        """Read the listing; raises StoreUnavailableError."""
        items = await self._platform.list(MEMBER_PREFIX)
        members = {}
        for item in items:
            member = decode_bytes(item.value, Member)
            members[member.incarnation] = (member, item.version)
        now = self.now()
        self.membership.learn_listed(members, now)
        self.listed_at = now

    def now(self) -> float:
        """Return the monotonic time that sightings are kept in."""
        return self._context.clock.monotonic()

    def learn_heartbeat(self, member: Member) -> None:
        """Note that a peer called."""
        self.membership.learn_heartbeat(member, self.now())

    def rank_successors(self) -> list[Member]:
        """Return live peers in the order in which they should adopt this incarnation."""
        return self.membership.rank_successors(self.me, self.now())

    async def find_member(self, incarnation: str) -> Member | None:
        """Look one incarnation up in the store; raises StoreUnavailableError."""
        try:
            stored = await self._platform.get(MEMBER_PREFIX + incarnation)
        except ObjectMissingError:
            return None
        return decode_bytes(stored.value, Member)

    @property
    def is_listing_fresh(self) -> bool:
        """Whether the store was read within the lease's length."""
        now = self.now()
        return (
            self.listed_at is not None and now - self.listed_at < self._context.settings.lease.lease
        )

    async def _ping_peers(self) -> None:
        now = self.now()
        members = [s.member for s in self.membership.sightings.values()]
        targets = [m for m in members if m.owner == m.incarnation and m.state == "serving"]
        self._peers.keep_only({m.address for m in self.membership.list_live(now)})
        await asyncio.gather(*(self._ping(member) for member in targets))

    async def _ping(self, member: Member) -> None:
        ping = Ping(self.me, self._configuration.current.revision)
        try:
            pong = await self._peers.ask(member.address, ping, PING_SECONDS)
        except PeerUnreachableError:
            return
        if isinstance(pong, Pong):
            self.membership.learn_heartbeat(pong.member, self.now())
            if pong.revision > self._configuration.current.revision:
                await self._pull_tables(member)

    async def _pull_tables(self, member: Member) -> None:
        try:
            tables = await self._peers.ask(member.address, PullTables(), PING_SECONDS)
        except PeerUnreachableError:
            return
        self._configuration.offer(tables)

"""The other entries of a deployment, as keepers know them from their announcements."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Mapping
from typing import Any

from attrs import evolve

from egretford.clock import Clock
from egretford.controllers.loops import TaskGroup, run_every
from egretford.entry.keepers import KeeperClient
from egretford.errors import EgretfordError
from egretford.keeper.messages import AnnounceEntry, EntryList, OutdatedView
from egretford.policy.detours import PeerEntry, rank_peers
from egretford.policy.views import Member

# Interval of announcements, in seconds; keepers forget an entry after several of them.
ANNOUNCE_SECONDS = 3.0
# Age of the list of entries, in seconds, above which it is read again when it is used.
MAX_LIST_AGE_SECONDS = 2.0
# Age of the list, in seconds, above which it is not used before it has been read again.
STALE_LIST_SECONDS = 10.0
# Timeout of reading the list, in seconds. One round trip to another region takes some tens of
# milliseconds, and one of the keepers may be silent.
READ_TIMEOUT_SECONDS = 0.2
# Failure domains of which a keeper is asked; each keeper knows the entries near it.
MAX_ASKED_DOMAINS = 3
# Seconds for which an entry that gave no tunnel is avoided.
AVOID_SECONDS = 3.0


class EntryDirectory:
    """Announces this entry to the keepers, and reads from them which others there are."""

    def __init__(
        self,
        own: PeerEntry,
        keepers: KeeperClient,
        regions: Mapping[str, str],
        is_isolated: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
        log: Any,
    ) -> None:
        self._own = own
        self._keepers = keepers
        self._regions = regions
        self._is_isolated = is_isolated
        self._clock = clock
        self._rng = rng
        self._log = log
        self._tasks = TaskGroup()
        self._peers: dict[str, PeerEntry] = {}
        self._read_at: float | None = None
        self._read: asyncio.Task[None] | None = None
        self._avoided_until: dict[str, float] = {}
        self._failed_until: dict[str, float] = {}

    async def start(self) -> None:
        """Start to announce this entry."""
        self._tasks.spawn(run_every(self._clock, ANNOUNCE_SECONDS, self._announce, self._log))

    async def close(self) -> None:
        """Stop announcing."""
        await self._tasks.close()

    def announce_now(self) -> None:
        """Announce that this entry has become isolated, or no longer is."""
        self._tasks.spawn(self._announce())

    async def _announce(self) -> None:
        nearest = self._keepers.rank_by_distance(self._keepers.list_available())[:1]
        await asyncio.gather(*(self._ask(member, with_list=False) for member in nearest))

    async def _ask(self, member: Member, *, with_list: bool) -> tuple[PeerEntry, ...]:
        own = evolve(self._own, isolated=self._is_isolated())
        message = AnnounceEntry(own, with_list)
        try:
            reply = await self._keepers.send_request(member, message)
            if isinstance(reply, OutdatedView):
                reply = await self._keepers.send_request(member, message)
        except EgretfordError:
            # The keeper client logs failures.
            return ()
        return reply.entries if isinstance(reply, EntryList) else ()

    async def list_peers(self) -> list[PeerEntry]:
        """Return other entries, in the order to ask them for a tunnel."""
        reading = self._refresh()
        if reading is not None and self._measure_age() > STALE_LIST_SECONDS:
            await asyncio.wait([reading], timeout=READ_TIMEOUT_SECONDS)
        now = self._clock.monotonic()
        ranked = rank_peers(self._peers.values(), self._own, self._regions, self._rng)
        ranked.sort(key=lambda p: (p.isolated, self._failed_until.get(p.address, 0.0) > now))
        return [peer for peer in ranked if self._avoided_until.get(peer.address, 0.0) <= now]

    async def knows(self, ip: str) -> bool:
        """Whether an entry of the deployment has this IP address."""
        reading = None if self._has_ip(ip) else self._refresh()
        if reading is not None:
            await asyncio.wait([reading], timeout=READ_TIMEOUT_SECONDS)
        return self._has_ip(ip)

    def _has_ip(self, ip: str) -> bool:
        return any(peer.address.rpartition(":")[0] == ip for peer in self._peers.values())

    def avoid(self, peer: PeerEntry) -> None:
        """Do not use an entry for a while, since it gave no tunnel."""
        now = self._clock.monotonic()
        self._avoided_until = {a: until for a, until in self._avoided_until.items() if until > now}
        self._avoided_until[peer.address] = now + AVOID_SECONDS

    def record_failure(self, peer: PeerEntry) -> None:
        """Ask others in touch before an entry for a while, since it opened no tunnel to a worker.

        It may be isolated without knowing, or the worker is dead, for which it must not be avoided.
        """
        now = self._clock.monotonic()
        self._failed_until = {a: until for a, until in self._failed_until.items() if until > now}
        self._failed_until[peer.address] = now + AVOID_SECONDS

    def _measure_age(self) -> float:
        return math.inf if self._read_at is None else self._clock.monotonic() - self._read_at

    def _refresh(self) -> asyncio.Task[None] | None:
        """Read the list in the background unless it is recent; there is one reading at a time."""
        if self._read is None and self._measure_age() >= MAX_LIST_AGE_SECONDS:
            self._read = self._tasks.spawn(self._read_list())
        return self._read

    async def _read_list(self) -> None:
        asked: dict[str, Member] = {}
        for member in self._keepers.rank_by_distance(self._keepers.list_available()):
            asked.setdefault(member.failure_domain, member)
        members = list(asked.values())[:MAX_ASKED_DOMAINS]
        found: dict[str, PeerEntry] = {}
        try:
            requests = [self._ask(member, with_list=True) for member in members]
            for request in asyncio.as_completed(requests):
                found |= {peer.name: peer for peer in await request}
                self._peers |= found
            if found:
                self._peers = found
                self._read_at = self._clock.monotonic()
        finally:
            self._read = None
        self._log.info("read the list of entries", entries=len(found), asked=len(members))

"""The other entries of a deployment, as keepers know them from their announcements."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Mapping
from typing import Any

from attrs import evolve

from egretford.clock import Clock
from egretford.controllers.loops import TaskGroup, run_every
from egretford.entry.keepers import KeeperClient
from egretford.errors import EgretfordError
from egretford.keeper.messages import AnnounceEntry, EntryList, OutdatedView
from egretford.policy.detours import EntryRegistry, PeerEntry, rank_peers
from egretford.policy.views import Member

# Interval of announcements, in seconds; keepers forget an entry after several of them.
ANNOUNCE_SECONDS = 3.0
# Pause while no keeper is available, as before the view is known, in seconds.
NO_KEEPER_PAUSE_SECONDS = 0.2
# Age of the list of entries, in seconds, above which it is read again when it is used.
MAX_LIST_AGE_SECONDS = 2.0
# Longest wait for the list, in seconds. One round trip to another region takes some tens of
# milliseconds, and one of the keepers may be silent.
READ_TIMEOUT_SECONDS = 0.15
# Failure domains of which a keeper is asked; each keeper knows the entries near it.
MAX_ASKED_DOMAINS = 8
# Seconds for which other entries are preferred to one that gave no tunnel.
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
        self._known = EntryRegistry()
        self._read_at: float | None = None
        self._reading: asyncio.Task[None] | None = None
        self._updated = asyncio.Event()
        self._avoided_until: dict[str, float] = {}

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
        """Announce this entry to the nearest keeper that answers, once one is available."""
        while not self._keepers.list_available():
            await self._clock.sleep(NO_KEEPER_PAUSE_SECONDS)
        for member in self._keepers.rank_by_distance(self._keepers.list_available()):
            if await self._ask(member, with_list=False) is not None:
                return

    async def _ask(
        self, member: Member, *, with_list: bool
    ) -> tuple[tuple[PeerEntry, float], ...] | None:
        """Announce this entry to a keeper; returns the entries that it lists, None on failure."""
        own = evolve(self._own, isolated=self._is_isolated())
        message = AnnounceEntry(own, with_list)
        try:
            reply = await self._keepers.send_request(member, message)
            if isinstance(reply, OutdatedView):
                reply = await self._keepers.send_request(member, message)
        except EgretfordError:
            # The keeper client logs failures.
            return None
        return reply.entries if isinstance(reply, EntryList) else None

    async def list_peers(self) -> list[PeerEntry]:
        """Return other entries, in the order to ask them for a tunnel."""
        await self._read_until(self._has_far_peers)
        now = self._clock.monotonic()
        ranked = rank_peers(self._known.list_recent(now), self._own, self._regions, self._rng)

        def is_avoided(peer: PeerEntry) -> bool:
            return self._avoided_until.get(peer.address, 0.0) > now

        return sorted(ranked, key=lambda peer: (peer.isolated, is_avoided(peer)))

    async def knows(self, ip: str) -> bool:
        """Whether an entry of the deployment has this IP address."""
        if not self._has_ip(ip):
            await self._read_until(lambda: self._has_ip(ip))
        return self._has_ip(ip)

    def _has_far_peers(self) -> bool:
        """Whether entries of other failure domains are known; the own one may be cut off whole."""
        known = self._known.list_recent(self._clock.monotonic())
        return any(peer.failure_domain != self._own.failure_domain for peer in known)

    def _has_ip(self, ip: str) -> bool:
        known = self._known.list_recent(self._clock.monotonic())
        return any(peer.address.rpartition(":")[0] == ip for peer in known)

    def avoid(self, address: str) -> None:
        """Ask others in touch before the entry at an address for a while: it gave no tunnel.

        It may be isolated without knowing; or the worker is dead, so it may still help with others.
        """
        now = self._clock.monotonic()
        self._avoided_until = {a: until for a, until in self._avoided_until.items() if until > now}
        self._avoided_until[address] = now + AVOID_SECONDS

    async def _read_until(self, is_enough: Callable[[], bool]) -> None:
        """Start to read the list unless it is recent, and wait for it if it is needed."""
        now = self._clock.monotonic()
        is_recent = self._read_at is not None and now - self._read_at < MAX_LIST_AGE_SECONDS
        if self._reading is None and not is_recent:
            self._reading = self._tasks.spawn(self._read_list())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                while self._reading is not None and not is_enough():
                    await self._updated.wait()

    async def _read_list(self) -> None:
        asked: dict[str, Member] = {}
        for member in self._keepers.rank_by_distance(self._keepers.list_available()):
            asked.setdefault(member.failure_domain, member)
        members = list(asked.values())[:MAX_ASKED_DOMAINS]
        found: set[str] = set()
        try:
            requests = [self._ask(member, with_list=True) for member in members]
            for request in asyncio.as_completed(requests):
                for peer, age in await request or ():
                    self._known.add(peer, self._clock.monotonic() - age)
                    found.add(peer.name)
                self._notify()
            if found:
                self._read_at = self._clock.monotonic()
        finally:
            self._reading = None
            self._notify()
        self._log.info("read the list of entries", entries=len(found), asked=len(members))

    def _notify(self) -> None:
        self._updated.set()
        self._updated = asyncio.Event()

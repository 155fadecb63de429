"""A store, relays and entries in virtual time, for tests of how changes reach the entries."""

from __future__ import annotations

import asyncio
import random

from attrs import Factory, define, field

from egretford.controllers.loops import wait_for_event
from egretford.entry.relayed_store import RelayedStore
from egretford.errors import (
    ErrorKind,
    PeerUnreachableError,
    RequestError,
    StoreUnavailableError,
)
from egretford.keeper.messages import NotReady
from egretford.keeper.object_relay import ObjectRelay
from egretford.platform.feeds import ObjectFeed, StoreHealth
from egretford.platform.store import Listing, ObjectChange, StoreObject, WatchAnswer
from egretford.policy.relays import compute_watch_seconds, rank_relays
from egretford.policy.views import Member, MemberState
from tests.faults.virtual import VirtualClock
from tests.platform.standins import NullLog

KIND = "config"
REGIONS = {"z": "north"}
LATENCY_SECONDS = 0.004
CALL_TIMEOUT_SECONDS = 1.5
WATCH_GRACE_SECONDS = 0.7
SILENCE_SECONDS = 1_000.0


@define(eq=False)
class FakeStore:
    """Objects of one kind; `cut` names processes whose calls are never answered."""

    revision: int = 100
    objects: dict[str, StoreObject] = Factory(dict)
    log: list[tuple[int, ObjectChange]] = Factory(list)
    cut: set[str] = Factory(set)
    # Watches that began before this time hear nothing, and are cut at their end.
    deaf_until: float = 0.0
    calls: list[str] = Factory(list)
    changed: asyncio.Event = Factory(asyncio.Event)

    def put(self, name: str, content) -> int:
        self.revision += 1
        self.objects[name] = StoreObject(name, self.revision, content, None)
        self._emit(ObjectChange(self.objects[name], False))
        return self.revision

    def remove(self, name: str) -> None:
        self.revision += 1
        self._emit(ObjectChange(self.objects.pop(name), True))

    def _emit(self, change: ObjectChange) -> None:
        self.log.append((self.revision, change))
        self.changed.set()
        self.changed = asyncio.Event()


@define
class StoreClient:
    """The ObjectSource of one process."""

    store: FakeStore
    name: str

    async def _call(self, seconds: float) -> None:
        self.store.calls.append(self.name)
        await asyncio.sleep(LATENCY_SECONDS)
        if self.name in self.store.cut:
            await asyncio.sleep(seconds)
            raise StoreUnavailableError("silent")

    async def list_all(self, kind: str) -> Listing:
        await self._call(CALL_TIMEOUT_SECONDS)
        return Listing(dict(self.store.objects), self.store.revision)

    async def watch(self, kind: str, revision: int, seconds: float) -> WatchAnswer:
        await self._call(seconds + WATCH_GRACE_SECONDS)
        started = asyncio.get_running_loop().time()
        deadline = started + seconds
        if started < self.store.deaf_until:
            await asyncio.sleep(seconds)
            raise StoreUnavailableError("cut")
        while True:
            found = [change for number, change in self.store.log if number > revision]
            left = deadline - asyncio.get_running_loop().time()
            if self.name in self.store.cut:
                # The cut began while the watch waited.
                await asyncio.sleep(left + WATCH_GRACE_SECONDS)
                raise StoreUnavailableError("silent")
            if found or left <= 0:
                return WatchAnswer(found, self.store.revision)
            await wait_for_event(self.store.changed, VirtualClock(), left)


@define(eq=False)
class Entry:
    """An entry's feed; `seen` has the time and the revision of each change of `main`.

    `listed` has the names of all objects that the entry ever knew, `removed` those it was told are
    gone.
    """

    name: str
    feed: ObjectFeed
    seen: list[tuple[float, int]] = Factory(list)
    removed: list[str] = Factory(list)
    listed: set[str] = Factory(set)

    @property
    def revision(self) -> int:
        return self.seen[-1][1] if self.seen else 0


@define(eq=False)
class World:
    """Relays of one failure domain by name, and entries; `frozen` relays never answer."""

    change_limit: float = 2.5
    store: FakeStore = Factory(FakeStore)
    relays: dict[str, ObjectRelay] = Factory(dict)
    entries: list[Entry] = Factory(list)
    frozen: set[str] = Factory(set)
    dead: set[str] = Factory(set)
    # Relays of an earlier version, which do not know the message.
    outdated: set[str] = Factory(set)
    # Pairs of an entry and a relay that cannot reach each other.
    cuts: set[tuple[str, str]] = Factory(set)
    members: tuple[Member, ...] = field(init=False, default=())

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    async def start_relay(self, name: str) -> None:
        clock = VirtualClock()
        relay = ObjectRelay(
            StoreClient(self.store, name),
            frozenset({KIND}),
            compute_watch_seconds(self.change_limit),
            StoreHealth(clock, NullLog()),
            clock,
            NullLog(),
        )
        await relay.start()
        self.relays[name] = relay
        self.dead.discard(name)
        self.members = tuple(
            Member(n, f"d-{n}", n, "z", MemberState.ACTIVE) for n in sorted(self.relays)
        )

    async def kill_relay(self, name: str) -> None:
        self.dead.add(name)
        await self.relays[name].close()

    async def start_entry(self, name: str) -> Entry:
        clock = VirtualClock()
        health = StoreHealth(clock, NullLog())
        source = RelayedStore(
            StoreClient(self.store, name),
            EntryPeers(self, name),
            lambda: rank_relays(self.members, "z", REGIONS),
            compute_watch_seconds(self.change_limit),
            health,
            clock,
            random.Random(name),
            NullLog(),
        )
        entry = Entry(name, None)
        entry.feed = ObjectFeed(source, KIND, Handler(self, entry), health, clock, NullLog())
        self.entries.append(entry)
        await entry.feed.start()
        return entry

    async def start(self, relays: int, entries: int) -> None:
        self.store.put("main", 0)
        for number in range(relays):
            await self.start_relay(f"k{number}")
        for number in range(entries):
            await self.start_entry(f"e{number}")
        await asyncio.sleep(3.0)

    async def wait_for(self, revision: int, seconds: float, skip: set[str] = frozenset()) -> float:
        """Wait until all entries know a revision; returns the seconds that it took."""
        began = self.now
        while any(e.revision < revision for e in self.entries if e.name not in skip):
            late = [e.name for e in self.entries if e.revision < revision and e.name not in skip]
            assert self.now - began < seconds, f"{len(late)} entries are late: {late[:3]}"
            await asyncio.sleep(0.01)
        return self.now - began


@define
class Handler:
    world: World
    entry: Entry

    def replace_all(self, listing: Listing) -> None:
        for item in listing.objects.values():
            self.apply_change(item, removed=False)

    def apply_change(self, item: StoreObject, removed: bool) -> None:
        if removed:
            self.entry.removed.append(item.name)
            return
        self.entry.listed.add(item.name)
        if item.name == "main":
            self.entry.seen.append((self.world.now, item.revision))


@define
class EntryPeers:
    world: World
    entry: str

    async def ask(self, address: str, message, seconds: float):
        try:
            async with asyncio.timeout(seconds):
                return await self._exchange(address, message)
        except TimeoutError as error:
            raise PeerUnreachableError("timeout") from error

    async def _exchange(self, address: str, message):
        world = self.world
        await asyncio.sleep(LATENCY_SECONDS)
        if address in world.dead:
            raise PeerUnreachableError("connection refused")
        if (self.entry, address) in world.cuts:
            await asyncio.sleep(SILENCE_SECONDS)
        if address in world.outdated:
            raise RequestError(ErrorKind.INTERNAL, "unknown message")
        reply = await world.relays[address].answer(message)
        if address in world.frozen or (self.entry, address) in world.cuts:
            await asyncio.sleep(SILENCE_SECONDS)
        if address in world.dead:
            raise PeerUnreachableError("connection reset")
        assert isinstance(reply, NotReady) or reply.revision <= world.store.revision
        return reply

    def keep_only(self, addresses: set[str]) -> None:
        return

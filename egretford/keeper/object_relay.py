"""Relays stored objects to the entries near a keeper.

So the number of calls to the store, and of copies that cross the link between regions, does not
grow with the number of entries. What is relayed is a copy with its age; the store remains the
authority.
"""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
from attrs import Factory, define

from egretford.clock import Clock
from egretford.controllers.loops import TaskGroup, run_every, wait_for_event
from egretford.keeper.messages import NotReady, RelayedChanges, RelayedObject, WatchObjects
from egretford.platform.feeds import ObjectFeed, ObjectSource, StoreHealth
from egretford.platform.store import Listing, StoreObject

# Pause after a response with changes, which collects changes that come in groups.
PAUSE_SECONDS = 0.2
# A kind that no entry has asked for during this time is not watched any more.
IDLE_SECONDS = 10.0
IDLE_CHECK_SECONDS = 2.0
# Newest changes kept per kind; an entry that is further behind gets a listing.
MAX_CHANGES = 2_000


@define
class RelayedKind:
    """The objects of one kind; handles and observes the feed that reads them from the store.

    `changes` has the newest change of each object after the revision `oldest`, in order of
    revision. `contact_at` is when the store last answered, in monotonic seconds.
    """

    clock: Clock
    revision: int | None = None
    oldest: int = 0
    contact_at: float = 0.0
    asked_at: float = 0.0
    is_failing: bool = False
    objects: dict[str, RelayedObject] = Factory(dict)
    changes: dict[str, tuple[int, RelayedObject]] = Factory(dict)
    updated: asyncio.Event = Factory(asyncio.Event)
    _received: list[RelayedObject] = Factory(list)

    def replace_all(self, listing: Listing) -> None:
        """Replace all objects by a listing."""
        self.objects = {item.name: _encode(item) for item in listing.objects.values()}
        self.changes.clear()
        self._received.clear()
        self.oldest, self.revision = listing.revision, None

    def apply_change(self, item: StoreObject, removed: bool) -> None:
        """Collect a change; it counts once the revision of its response is known."""
        self._received.append(_encode(item, removed))

    def record_contact(self, revision: int) -> None:
        """Apply the collected changes as of `revision`."""
        is_news = self.revision is None or self.is_failing or bool(self._received)
        for item in self._received:
            self.changes.pop(item.name, None)
            self.changes[item.name] = (revision, item)
            if item.removed:
                self.objects.pop(item.name, None)
            else:
                self.objects[item.name] = item
        self._received.clear()
        while len(self.changes) > MAX_CHANGES:
            self.oldest, _ = self.changes.pop(next(iter(self.changes)))
        self.revision, self.contact_at, self.is_failing = revision, self.clock.monotonic(), False
        if is_news:
            self._wake()

    def record_failure(self) -> None:
        """Let waiting entries know that the store does not answer."""
        if not self.is_failing:
            self.is_failing = True
            self._wake()

    def _wake(self) -> None:
        self.updated.set()
        self.updated = asyncio.Event()

    def list_changes(self, revision: int | None) -> tuple[bool, list[RelayedObject]]:
        """Return whether a listing is needed to go on from `revision`, and the objects."""
        if revision is None or revision < self.oldest:
            return True, list(self.objects.values())
        return False, [item for number, item in self.changes.values() if number > revision]


def _encode(item: StoreObject, removed: bool = False) -> RelayedObject:
    return RelayedObject(item.name, item.revision, orjson.dumps(item.content), removed)


class ObjectRelay:
    """Watches kinds of stored objects while entries ask for them, and answers the entries.

    `watch_seconds` is the wait of one watch of the store.
    """

    def __init__(
        self,
        store: ObjectSource,
        kinds: frozenset[str],
        watch_seconds: float,
        health: StoreHealth,
        clock: Clock,
        log: Any,
    ) -> None:
        self._store = store
        self._kinds = kinds
        self._watch_seconds = watch_seconds
        self._health = health
        self._clock = clock
        self._log = log
        self._tasks = TaskGroup()
        self._relayed: dict[str, RelayedKind] = {}
        self._feeds: dict[str, ObjectFeed] = {}

    async def start(self) -> None:
        """Start to stop the watches that no entry needs any more."""
        self._tasks.spawn(
            run_every(self._clock, IDLE_CHECK_SECONDS, self._close_idle_feeds, self._log)
        )

    async def close(self) -> None:
        """Stop all watches."""
        await self._tasks.close()
        for feed in self._feeds.values():
            await feed.close()

    async def _close_idle_feeds(self) -> None:
        now = self._clock.monotonic()
        for name, kind in list(self._relayed.items()):
            if now - kind.asked_at > IDLE_SECONDS:
                self._log.info("stopped relaying", kind=name)
                del self._relayed[name]
                await self._feeds.pop(name).close()

    async def answer(self, message: WatchObjects) -> RelayedChanges | NotReady:
        """Answer once there are changes, after the message's seconds at the latest."""
        if message.kind not in self._kinds:
            return NotReady(f"objects of kind {message.kind!r:.40} are not relayed")
        kind = self._relayed.get(message.kind) or await self._start_feed(message.kind)
        deadline = self._clock.monotonic() + message.seconds
        while True:
            now = self._clock.monotonic()
            kind.asked_at = now
            if kind.is_failing:
                return NotReady("the store does not answer")
            if kind.revision is not None:
                is_listing, objects = kind.list_changes(message.revision)
                if is_listing or objects or now >= deadline:
                    return self._build_reply(message, kind, is_listing, objects)
            elif now >= deadline:
                return NotReady("the objects have not been read yet")
            await wait_for_event(kind.updated, self._clock, deadline - now)

    async def _start_feed(self, name: str) -> RelayedKind:
        kind = self._relayed[name] = RelayedKind(self._clock, asked_at=self._clock.monotonic())
        self._log.info("started relaying", kind=name)
        feed = self._feeds[name] = ObjectFeed(
            self._store,
            name,
            kind,
            self._health,
            self._clock,
            self._log,
            pause=PAUSE_SECONDS,
            watch_seconds=self._watch_seconds,
            observer=kind,
        )
        await feed.start()
        return kind

    def _build_reply(
        self,
        message: WatchObjects,
        kind: RelayedKind,
        is_listing: bool,
        objects: list[RelayedObject],
    ) -> RelayedChanges:
        now, recovered_at = self._clock.monotonic(), self._health.recovered_at
        return RelayedChanges(
            revision=kind.revision,
            age=now - kind.contact_at,
            recovered=None if recovered_at is None else now - recovered_at,
            has_changes=any(item.revision > (message.revision or 0) for item in objects),
            is_listing=is_listing,
            objects=tuple(objects) if message.with_contents else (),
        )

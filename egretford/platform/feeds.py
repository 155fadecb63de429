"""Follows kinds of objects in the store and hands them on in the project's types."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from egretford.clock import Clock
from egretford.controllers.loops import TaskGroup
from egretford.entry.models import RoutingTable, Worker
from egretford.errors import InputError, StoreUnavailableError
from egretford.platform.documents import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    WORKERS_KIND,
    decode_configuration,
    decode_worker,
)
from egretford.platform.store import HistoryGoneError, Listing, MetadataStore, StoreObject

# How long a watch waits; one that stays silent beyond it is asked again on a new connection.
WATCH_SECONDS = 4.0
# The same for a while after a failure, when a waiting watch may have been forgotten with its
# connection: a change is then still seen within the 2.5 s that deployments allow.
UNSURE_WATCH_SECONDS = 1.0
UNSURE_SECONDS = 10.0
RETRY_SECONDS = 0.3
# Changes often come in groups; a pause after each answer saves calls, which have their price.
# Leaving workers may get calls for 2.5 s, configurations must be in force within 2.5 s.
CONFIGURATION_PAUSE_SECONDS = 0.2
WORKERS_PAUSE_SECONDS = 0.8


class StoreHealth:
    """Whether the store answers this process; shared by all its feeds."""

    def __init__(self, clock: Clock, log: Any) -> None:
        self._clock = clock
        self._log = log
        self.failing_since: float | None = None
        self.recovered_at: float | None = None

    @property
    def is_sure(self) -> bool:
        """Whether the store has answered for a while."""
        if self.failing_since is not None:
            return False
        since = self.recovered_at
        return since is None or self._clock.monotonic() - since > UNSURE_SECONDS

    def note_failure(self, error: Exception) -> None:
        """Note a call without a usable answer."""
        if self.failing_since is None:
            self.failing_since = self._clock.monotonic()
            self._log.warning("the store does not answer", error=str(error))

    def note_answer(self) -> None:
        """Note a call that was answered."""
        if self.failing_since is not None:
            now = self._clock.monotonic()
            self._log.info("the store answers again", after_s=round(now - self.failing_since, 3))
            self.failing_since = None
            self.recovered_at = now


class ObjectHandler(Protocol):
    """Takes what a feed learns."""

    def replace_all(self, listing: Listing) -> None:
        """Take a whole listing."""

    def change(self, item: StoreObject, removed: bool) -> None:
        """Take one change."""


class ObjectFeed:
    """Keeps a handler up to date with one kind of objects: a listing, then watches."""

    def __init__(
        self,
        store: MetadataStore,
        kind: str,
        handler: ObjectHandler,
        health: StoreHealth,
        clock: Clock,
        log: Any,
        pause: float = CONFIGURATION_PAUSE_SECONDS,
    ) -> None:
        self._pause = pause
        self._store = store
        self._kind = kind
        self._handler = handler
        self._health = health
        self._clock = clock
        self._log = log
        self._revision: int | None = None
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Follow in the background."""
        self._tasks.spawn(self._follow())

    async def close(self) -> None:
        """Stop following."""
        await self._tasks.close()

    async def _follow(self) -> None:
        while True:
            try:
                await self._step()
            except HistoryGoneError:
                self._log.info("the store dropped its history; listing again", kind=self._kind)
                self._revision = None
            except StoreUnavailableError as error:
                self._health.note_failure(error)
                await self._clock.sleep(RETRY_SECONDS)

    async def _step(self) -> None:
        if self._revision is None:
            listing = await self._store.list_all(self._kind)
            self._health.note_answer()
            self._handler.replace_all(listing)
            self._revision = listing.revision
            return
        seconds = WATCH_SECONDS if self._health.is_sure else UNSURE_WATCH_SECONDS
        answer = await self._store.watch(self._kind, self._revision, seconds)
        self._health.note_answer()
        for change in answer.changes:
            self._handler.change(change.object, change.removed)
        self._revision = answer.revision
        if answer.changes:
            await self._clock.sleep(self._pause)


class ConfigurationHandler:
    """Decodes the configuration and hands on each readable version."""

    def __init__(self, learn: Callable[[RoutingTable], None], log: Any) -> None:
        self._learn = learn
        self._log = log

    def replace_all(self, listing: Listing) -> None:
        """Take the configuration out of a listing."""
        item = listing.objects.get(CONFIGURATION_NAME)
        if item is not None:
            self.change(item, removed=False)

    def change(self, item: StoreObject, removed: bool) -> None:
        """Take a change of the configuration; an unreadable one leaves the last in force."""
        if removed or item.name != CONFIGURATION_NAME:
            return
        try:
            table = decode_configuration(item.content)
        except InputError as error:
            self._log.error("the configuration cannot be read", error=str(error))
            return
        self._learn(table)


class WorkerListener(Protocol):
    """Takes what the worker list says."""

    def learn_list(self, workers: list[Worker]) -> None:
        """Take the whole list; workers that it lacks are gone."""

    def learn_worker(self, worker: Worker) -> None:
        """Take one entry that was added or changed."""

    def note_removed(self, worker_id: str) -> None:
        """Note that an entry was removed."""


class WorkersHandler:
    """Decodes the worker list; entries that cannot be read name no worker."""

    def __init__(self, listener: WorkerListener, log: Any) -> None:
        self._listener = listener
        self._log = log
        self._unreadable: set[str] = set()

    def replace_all(self, listing: Listing) -> None:
        """Take the whole list."""
        found = (self._decode(item) for item in listing.objects.values())
        self._listener.learn_list([worker for worker in found if worker is not None])

    def change(self, item: StoreObject, removed: bool) -> None:
        """Take a change of one entry."""
        worker = None if removed else self._decode(item)
        if worker is None:
            self._listener.note_removed(item.name)
        else:
            self._listener.learn_worker(worker)

    def _decode(self, item: StoreObject) -> Worker | None:
        worker = decode_worker(item.name, item.content)
        if worker is None and item.name not in self._unreadable:
            self._unreadable.add(item.name)
            self._log.warning("an entry of the worker list cannot be read", entry=item.name)
        return worker


def build_configuration_feed(
    store: MetadataStore,
    learn: Callable[[RoutingTable], None],
    health: StoreHealth,
    clock: Clock,
    log: Any,
) -> ObjectFeed:
    """Return a feed of the configuration."""
    handler = ConfigurationHandler(learn, log)
    return ObjectFeed(store, CONFIGURATION_KIND, handler, health, clock, log)


def build_worker_feed(
    store: MetadataStore, listener: WorkerListener, health: StoreHealth, clock: Clock, log: Any
) -> ObjectFeed:
    """Return a feed of the worker list."""
    handler = WorkersHandler(listener, log)
    return ObjectFeed(store, WORKERS_KIND, handler, health, clock, log, pause=WORKERS_PAUSE_SECONDS)

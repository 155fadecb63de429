"""Feeds that watch the store for changes and pass on decoded objects."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from egretford.clock import Clock
from egretford.controllers.loops import FAILURE_PAUSE_SECONDS, TaskGroup
from egretford.entry.models import RoutingTable, Worker
from egretford.errors import InputError, StoreUnavailableError
from egretford.platform.documents import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    WORKERS_KIND,
    decode_configuration,
    decode_worker,
)
from egretford.platform.store import (
    HistoryGoneError,
    Listing,
    ObjectChange,
    StoreObject,
    WatchAnswer,
)

# Wait of one watch; if there is no response soon after, the next one uses a new connection.
WATCH_SECONDS = 4.0
# Wait of one watch during RECOVERY_SECONDS after a failure. The store may have dropped a pending
# watch with its connection; the shorter wait still detects a change within the 2.5 s that
# deployments allow.
RECOVERY_WATCH_SECONDS = 1.0
RECOVERY_SECONDS = 10.0
RETRY_SECONDS = 0.3
# Pauses after a response with changes. Changes often come in groups, and a pause collects them in
# one call; store calls have a price. A new configuration must be in force within 2.5 s, and a
# leaving worker may still get calls for 2.5 s.
CONFIGURATION_PAUSE_SECONDS = 0.2
WORKERS_PAUSE_SECONDS = 0.8


class StoreHealth:
    """Whether the store responds to this process; shared by all feeds of the process.

    `failing_since` and `recovered_at` are times of the monotonic clock.
    """

    def __init__(self, clock: Clock, log: Any) -> None:
        self._clock = clock
        self._log = log
        self.failing_since: float | None = None
        self.recovered_at: float | None = None

    @property
    def is_stable(self) -> bool:
        """Whether the store is available and has not failed within RECOVERY_SECONDS."""
        if self.failing_since is not None:
            return False
        since = self.recovered_at
        return since is None or self._clock.monotonic() - since > RECOVERY_SECONDS

    def record_failure(self, error: Exception) -> None:
        """Record a call that failed; logs the first failure of an outage."""
        if self.failing_since is None:
            self.failing_since = self._clock.monotonic()
            self._log.warning("the store does not answer", error=str(error))

    def adopt_recovery(self, recovered_at: float) -> None:
        """Take over from another process that the store recovered at a time, unless known later."""
        if self.recovered_at is None or recovered_at > self.recovered_at:
            self.recovered_at = recovered_at

    def record_success(self) -> None:
        """Record a call that succeeded; logs the end of an outage."""
        if self.failing_since is not None:
            now = self._clock.monotonic()
            self._log.info("the store answers again", after_s=round(now - self.failing_since, 3))
            self.failing_since = None
            self.recovered_at = now


class ObjectHandler(Protocol):
    """Receives the objects that a feed reads."""

    def replace_all(self, listing: Listing) -> None:
        """Replace everything known by a listing."""

    def apply_change(self, item: StoreObject, removed: bool) -> None:
        """Apply one change; with `removed`, `item` is the last state of a deleted object."""


class ObjectSource(Protocol):
    """Where a feed reads objects; see MetadataStore for both methods."""

    async def list_all(self, kind: str) -> Listing:
        """Return all objects of a kind."""

    async def watch(self, kind: str, revision: int, seconds: float) -> WatchAnswer:
        """Wait up to `seconds` for changes after `revision`."""


class FeedObserver(Protocol):
    """Is told of each response and each failure of a feed's source."""

    def record_contact(self, revision: int) -> None:
        """Record that all changes up to `revision` have been passed on."""

    def record_failure(self) -> None:
        """Record that the source did not respond."""


class ObjectFeed:
    """Keeps a handler up to date with one kind of objects.

    Lists all objects once, then watches for changes. Lists again if the store no longer has the
    history that the watch needs. `pause` is in seconds and follows every response with changes;
    `watch_seconds` is the wait of one watch.
    """

    def __init__(
        self,
        store: ObjectSource,
        kind: str,
        handler: ObjectHandler,
        health: StoreHealth,
        clock: Clock,
        log: Any,
        pause: float = CONFIGURATION_PAUSE_SECONDS,
        watch_seconds: float = WATCH_SECONDS,
        observer: FeedObserver | None = None,
    ) -> None:
        self._pause = pause
        self._watch_seconds = watch_seconds
        self._observer = observer
        self._store = store
        self._kind = kind
        self._handler = handler
        self._health = health
        self._clock = clock
        self._log = log
        self._revision: int | None = None
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Start listing and watching in a background task."""
        self._tasks.spawn(self._run())

    async def close(self) -> None:
        """Stop the background task."""
        await self._tasks.close()

    async def _run(self) -> None:
        while True:
            try:
                await self._list_or_watch()
            except HistoryGoneError:
                self._log.info("watch history expired; listing again", kind=self._kind)
                self._revision = None
            except StoreUnavailableError as error:
                self._health.record_failure(error)
                if self._observer is not None:
                    self._observer.record_failure()
                await self._clock.sleep(RETRY_SECONDS)
            except Exception as error:
                # The process goes on with what it knows, and reads everything again.
                self._log.error("a feed failed; listing again", kind=self._kind, error=repr(error))
                self._revision = None
                await self._clock.sleep(FAILURE_PAUSE_SECONDS)

    async def _list_or_watch(self) -> None:
        if self._revision is None:
            listing = await self._store.list_all(self._kind)
            self._health.record_success()
            self._handler.replace_all(listing)
            self._advance(listing.revision)
            return
        seconds = self._watch_seconds
        if not self._health.is_stable:
            seconds = min(seconds, RECOVERY_WATCH_SECONDS)
        response = await self._store.watch(self._kind, self._revision, seconds)
        self._health.record_success()
        for change in response.changes:
            self._apply(change)
        self._advance(response.revision)
        if response.changes:
            await self._clock.sleep(self._pause)

    def _advance(self, revision: int) -> None:
        self._revision = revision
        if self._observer is not None:
            self._observer.record_contact(revision)

    def _apply(self, change: ObjectChange) -> None:
        """Pass on one change; an error in one object must not keep back the changes of others."""
        try:
            self._handler.apply_change(change.object, change.removed)
        except Exception as error:
            self._log.error(
                "a change failed", kind=self._kind, name=change.object.name, error=repr(error)
            )


class ConfigurationHandler:
    """Decodes the configuration and passes each valid version to a callback."""

    def __init__(self, on_configuration: Callable[[RoutingTable], None], log: Any) -> None:
        self._on_configuration = on_configuration
        self._log = log

    def replace_all(self, listing: Listing) -> None:
        """Apply the configuration of a listing, if it has one."""
        item = listing.objects.get(CONFIGURATION_NAME)
        if item is not None:
            self.apply_change(item, removed=False)

    def apply_change(self, item: StoreObject, removed: bool) -> None:
        """Pass on a changed configuration.

        If it is malformed or deleted, the previous one stays in force.
        """
        if removed or item.name != CONFIGURATION_NAME:
            return
        try:
            table = decode_configuration(item.content)
        except InputError as error:
            self._log.error("the configuration cannot be read", error=str(error))
            return
        self._on_configuration(table)


class WorkerListener(Protocol):
    """Receives the decoded worker list."""

    def replace_workers(self, workers: list[Worker]) -> None:
        """Replace the known workers; those that are not in the list have been removed."""

    def update_worker(self, worker: Worker) -> None:
        """Add or update one worker."""

    def schedule_removal(self, worker_id: str) -> None:
        """Schedule the removal of a worker whose entry was deleted or is malformed."""


class WorkersHandler:
    """Decodes the worker list; malformed entries count as missing and are logged once per name."""

    def __init__(self, listener: WorkerListener, log: Any) -> None:
        self._listener = listener
        self._log = log
        self._malformed: set[str] = set()

    def replace_all(self, listing: Listing) -> None:
        """Pass the decoded list to the listener."""
        found = (self._decode(item) for item in listing.objects.values())
        self._listener.replace_workers([worker for worker in found if worker is not None])

    def apply_change(self, item: StoreObject, removed: bool) -> None:
        """Pass on one entry; a malformed entry counts as removed."""
        worker = None if removed else self._decode(item)
        if worker is None:
            self._listener.schedule_removal(item.name)
        else:
            self._listener.update_worker(worker)

    def _decode(self, item: StoreObject) -> Worker | None:
        worker = decode_worker(item.name, item.content)
        if worker is None and item.name not in self._malformed:
            self._malformed.add(item.name)
            self._log.warning("an entry of the worker list is malformed", entry=item.name)
        return worker


def build_configuration_feed(
    store: ObjectSource,
    on_configuration: Callable[[RoutingTable], None],
    health: StoreHealth,
    clock: Clock,
    log: Any,
) -> ObjectFeed:
    """Return a feed that calls `on_configuration` with each valid configuration."""
    handler = ConfigurationHandler(on_configuration, log)
    return ObjectFeed(store, CONFIGURATION_KIND, handler, health, clock, log)


def build_worker_feed(
    store: ObjectSource, listener: WorkerListener, health: StoreHealth, clock: Clock, log: Any
) -> ObjectFeed:
    """Return a feed that keeps `listener` up to date with the worker list."""
    handler = WorkersHandler(listener, log)
    return ObjectFeed(store, WORKERS_KIND, handler, health, clock, log, pause=WORKERS_PAUSE_SECONDS)

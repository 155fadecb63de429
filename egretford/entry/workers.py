"""The workers known to an entry, with their load, prompt caches and pooled connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from attrs import Factory, define, evolve

from egretford.clock import Clock
from egretford.entry.dialing import WorkerDialer
from egretford.entry.leaving import LeavingRuns, is_same_run
from egretford.entry.models import RoutingTable, Worker, WorkerLoad, WorkerReply
from egretford.http.client import ClientConnection
from egretford.policy.loads import LoadReport, estimate_loads
from egretford.policy.placement import WorkerState
from egretford.policy.prefixes import PrefixCache

# Seconds after the store recovers during which unlisted workers are not removed. Leases may
# expire during a store outage; live workers register again within about two seconds of its end.
RECOVERY_GRACE_SECONDS = 2.0
# Seconds between the removal of a worker's list entry and the removal of the worker. A removed
# worker keeps serving for its drain time at least, and some lists lag by about a second.
REMOVAL_DELAY_SECONDS = 0.5
# Initial estimates of a call's duration, in seconds, with and without a model engine. Observed
# durations replace them.
INITIAL_ENGINE_SECONDS = 0.15
INITIAL_SERVICE_SECONDS = 0.03
MAX_IDLE_CONNECTIONS = 8
# Versions without workers that are remembered per upstream, those that left last. Only whether
# there is more than one version matters.
MAX_FORMER_VERSIONS = 4


class StoreRecovery(Protocol):
    """The time of the store's last recovery, in monotonic seconds; None before the first one."""

    recovered_at: float | None


@define
class TrackedWorker:
    """A worker with this entry's estimates of its state; times in monotonic seconds."""

    worker: Worker
    state: WorkerState
    cache: PrefixCache
    idle_connections: list[ClientConnection] = Factory(list)
    remove_at: float | None = None
    load: LoadReport = Factory(LoadReport)
    failures: int = 0

    def record_load(self, load: WorkerLoad, now: float) -> None:
        """Store the load that a response reported, less this entry's own running calls."""
        calls = max(0, load.running + load.waiting - self.state.granted)
        self.load = LoadReport(calls, now)

    def record_success(self, seconds: float) -> None:
        """Record a complete response that took `seconds`, and reset the failure count."""
        self.failures = 0
        self.state.record_service_time(seconds)

    def measure_load_age(self, now: float) -> float | None:
        """Return how old the load report is, in seconds, or None if there is none."""
        return None if self.load.at is None else round(now - self.load.at, 3)

    def close_idle(self) -> None:
        """Close and drop all pooled connections."""
        for connection in self.idle_connections:
            connection.close()
        self.idle_connections.clear()


class WorkerTable:
    """Workers by id, updated from the worker list and from the results of calls."""

    def __init__(self, clock: Clock, store: StoreRecovery, dialer: WorkerDialer, log: Any) -> None:
        self._clock = clock
        self._store = store
        self._dialer = dialer
        dialer.on_blocked = self._handle_blocked
        dialer.is_listed = self._has_address
        self._log = log
        self._workers: dict[str, TrackedWorker] = {}
        self._leaving_runs = LeavingRuns()
        # By upstream and software version, when its last worker left, in monotonic seconds.
        self._former_versions: dict[str, dict[str, float]] = {}
        self._table: RoutingTable | None = None
        self.listed_at: float | None = None
        self.first_listed_at: float | None = None

    def apply_configuration(self, table: RoutingTable) -> None:
        """Adopt the upstreams of a configuration and their prompt cache sizes."""
        self._table = table
        for tracked in self._workers.values():
            tracked.cache.capacity = self._find_cache_tokens(tracked.worker.upstream)

    # The worker list

    def replace_workers(self, workers: list[Worker]) -> None:
        """Adopt the complete list; workers that are missing from it are removed after a delay."""
        for worker in workers:
            self.update_worker(worker)
        listed = {worker.id for worker in workers}
        for worker_id in list(self._workers):
            if worker_id not in listed:
                self.schedule_removal(worker_id)
        self.listed_at = self._clock.monotonic()
        if self.first_listed_at is None:
            self.first_listed_at = self.listed_at

    def update_worker(self, worker: Worker) -> None:
        """Add or update a worker; a restart under the same id resets its state."""
        existing = self._workers.get(worker.id)
        is_known = existing is not None and _is_same_process(existing.worker, worker)
        if is_known and not worker.born:
            worker = evolve(worker, born=existing.worker.born)
        # The list may lag behind what the worker said in a response.
        said_so = self._leaving_runs.match_entry(worker)
        leaving = worker.leaving or said_so
        if is_known:
            existing.worker = worker
            existing.state.worker = worker
            existing.state.slots = worker.slots
            existing.remove_at = None
            if leaving:
                self._mark_leaving(existing, source="list")
            existing.state.leaving = leaving
            return
        if existing is not None:
            existing.close_idle()
            self._record_former_version(existing.worker, self._clock.monotonic())
            if existing.worker.address != worker.address:
                self._dialer.forget(existing.worker)
        self._workers[worker.id] = self._build_tracked(worker, leaving)
        self._log.info(
            "learnt of a worker",
            worker=worker.id,
            upstream=worker.upstream,
            domain=worker.failure_domain,
            version=worker.software_version,
            born=worker.born,
            leaving=leaving,
        )

    def schedule_removal(self, worker_id: str) -> None:
        """Schedule the removal of a worker whose entry in the list was deleted."""
        existing = self._workers.get(worker_id)
        if existing is None or existing.remove_at is not None:
            return
        now = self._clock.monotonic()
        existing.remove_at = now + REMOVAL_DELAY_SECONDS
        if self._store.recovered_at is not None:
            existing.remove_at = max(
                existing.remove_at, self._store.recovered_at + RECOVERY_GRACE_SECONDS
            )
        self._log.info(
            "a worker's entry is gone", worker=worker_id, wait_s=round(existing.remove_at - now, 3)
        )

    def _build_tracked(self, worker: Worker, leaving: bool) -> TrackedWorker:
        tokens = self._find_cache_tokens(worker.upstream)
        initial_seconds = INITIAL_ENGINE_SECONDS if tokens else INITIAL_SERVICE_SECONDS
        state = WorkerState(worker, worker.slots, service_seconds=initial_seconds, leaving=leaving)
        return TrackedWorker(worker, state, PrefixCache(tokens))

    def _find_cache_tokens(self, name: str) -> int:
        """Return a worker's prompt cache size in tokens; 0 without a model engine."""
        upstream = self._table.upstreams.get(name) if self._table else None
        return upstream.engine.cache_tokens if upstream and upstream.engine else 0

    # Selection and connections

    def get_current(self, tracked: TrackedWorker) -> TrackedWorker:
        """Return the newest process under the id of a worker; itself if it was removed."""
        return self._workers.get(tracked.worker.id, tracked)

    @property
    def now(self) -> float:
        """The present time, in monotonic seconds."""
        return self._clock.monotonic()

    def measure_known_seconds(self) -> float:
        """Return for how long this entry has known the worker list."""
        if self.first_listed_at is None:
            return 0.0
        return self._clock.monotonic() - self.first_listed_at

    def list_recent_versions(self, upstream: str, seconds: float) -> set[str]:
        """Return the software versions of an upstream's workers in the last `seconds`."""
        now = self._clock.monotonic()
        self._remove_due(now)
        former = self._former_versions.get(upstream, {})
        recent = {version for version, left_at in former.items() if now - left_at <= seconds}
        return recent | {
            tracked.worker.software_version
            for tracked in self._workers.values()
            if tracked.worker.upstream == upstream
        }

    def _record_former_version(self, worker: Worker, left_at: float) -> None:
        former = self._former_versions.setdefault(worker.upstream, {})
        former[worker.software_version] = max(left_at, former.get(worker.software_version, 0.0))
        while len(former) > MAX_FORMER_VERSIONS:
            del former[min(former, key=former.__getitem__)]

    def list_usable(
        self, upstream: str, allows: Callable[[Worker], bool] | None = None
    ) -> list[TrackedWorker]:
        """Return the workers of an upstream that `allows` accepts and that may get a call now.

        If all of them failed recently, returns all that are not leaving.
        """
        now = self._clock.monotonic()
        self._remove_due(now)
        found = [t for t in self._workers.values() if t.worker.upstream == upstream]
        update_foreign_loads(found, now)
        if allows is not None:
            found = [t for t in found if allows(t.worker)]
        usable = [t for t in found if t.state.is_usable(now)]
        if not usable:
            # A worker that failed recently is better than none.
            usable = [t for t in found if not t.state.leaving]
        return usable

    def _has_address(self, address: str) -> bool:
        return any(tracked.worker.address == address for tracked in self._workers.values())

    def _handle_blocked(self, address: str) -> None:
        """Close the idle connections to a worker that cannot be reached, as they may be silent.

        With a second one, others may be unreachable as well, so all idle connections are closed.
        """
        for tracked in self._workers.values():
            if tracked.worker.address == address or self._dialer.blocked_count > 1:
                tracked.close_idle()

    def has_usable_address(self, address: str) -> bool:
        """Whether a worker that is not leaving has this address (IP:PORT)."""
        return any(
            tracked.worker.address == address and not tracked.state.leaving
            for tracked in self._workers.values()
        )

    def _remove_due(self, now: float) -> None:
        for worker_id, tracked in list(self._workers.items()):
            if tracked.remove_at is not None and now >= tracked.remove_at:
                tracked.close_idle()
                self._dialer.forget(tracked.worker)
                self._record_former_version(tracked.worker, tracked.remove_at)
                del self._workers[worker_id]
                self._log.info("removed a worker", worker=worker_id)

    def record_reply(self, tracked: TrackedWorker, reply: WorkerReply) -> None:
        """Mark the worker that sent a response as leaving, if the response says so.

        `tracked` is the worker that was addressed. The mark lasts until the worker restarts.
        """
        if not reply.leaving:
            return
        worker_id = reply.worker_id or tracked.worker.id
        listed = self._workers.get(worker_id)
        if worker_id != tracked.worker.id:
            if listed is None or listed.worker.address != tracked.worker.address:
                return
            tracked = listed
        self._mark_leaving(tracked, source="response")
        # Since the request was sent, the entry may have lapsed, or a new run may have replaced it.
        if listed is None or is_same_run(listed.worker, tracked.worker):
            self._leaving_runs.add(tracked.worker)
            if listed is not None:
                self._mark_leaving(listed, source="response")

    def _mark_leaving(self, tracked: TrackedWorker, source: str) -> None:
        if not tracked.state.leaving:
            self._log.info("a worker is leaving", worker=tracked.worker.id, source=source)
        tracked.state.leaving = True
        tracked.close_idle()

    def record_address_conflict(self, tracked: TrackedWorker) -> None:
        """Avoid a worker for a while after another worker answered at its address."""
        tracked.close_idle()
        tracked.state.start_cooldown(self._clock.monotonic())
        self._log.info("another worker has the address", worker=tracked.worker.id)

    def record_failure(self, tracked: TrackedWorker, reason: str) -> None:
        """Avoid a worker for a while after it failed."""
        tracked.failures += 1
        tracked.close_idle()
        tracked.state.start_cooldown(self._clock.monotonic())
        self._log.info(
            "a worker failed", worker=tracked.worker.id, failures=tracked.failures, reason=reason
        )

    async def connect(self, tracked: TrackedWorker, max_idle: float) -> ClientConnection:
        """Return a connection that was idle for at most `max_idle` seconds, or a new one.

        Raises ConnectError if a new one cannot be opened.
        """
        now = self._clock.monotonic()
        while tracked.idle_connections:
            connection = tracked.idle_connections.pop()
            if connection.is_usable(now) and now - connection.idle_since <= max_idle:
                return connection
            connection.close()
        return await self.open_connection(tracked)

    async def open_connection(self, tracked: TrackedWorker) -> ClientConnection:
        """Return a new connection, and leave the idle ones as they are; raises ConnectError."""
        connection = await self._dialer.open(tracked.worker)
        connection.opened_at = self._clock.monotonic()
        return connection

    def release_connection(self, tracked: TrackedWorker, connection: ClientConnection) -> None:
        """Return a connection to the pool, or close it if it is unusable or the pool is full."""
        connection.finish(self._clock.monotonic())
        reusable = connection.is_usable(self._clock.monotonic())
        if (
            reusable
            and not connection.tunnelled
            and not tracked.state.leaving
            and len(tracked.idle_connections) < MAX_IDLE_CONNECTIONS
        ):
            tracked.idle_connections.append(connection)
        else:
            connection.close()

    def record_broken_tunnel(self, connection: ClientConnection) -> None:
        """Prefer other entries for tunnels for a while."""
        self._dialer.record_broken_tunnel(connection.tunnel_server)

    def close(self) -> None:
        """Close the pooled connections of all workers."""
        for tracked in self._workers.values():
            tracked.close_idle()


def update_foreign_loads(workers: list[TrackedWorker], now: float) -> None:
    """Update the estimated calls of other entries at each worker of one upstream."""
    loads = estimate_loads([tracked.load for tracked in workers], now)
    for tracked, load in zip(workers, loads, strict=True):
        tracked.state.foreign_calls = load


def _is_same_process(current: Worker, listed: Worker) -> bool:
    same_start = not listed.born or not current.born or current.born == listed.born
    return (
        current.address == listed.address
        and current.upstream == listed.upstream
        and current.software_version == listed.software_version
        and same_start
    )

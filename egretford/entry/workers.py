"""The workers that an entry knows: the list, their load, their memory and their connections."""

from __future__ import annotations

from typing import Any, Protocol

from attrs import Factory, define

from egretford.clock import Clock
from egretford.entry.models import RoutingTable, Worker, WorkerLoad
from egretford.http.client import ClientConnection
from egretford.policy.loads import LoadReport, estimate_loads
from egretford.policy.placement import WorkerState
from egretford.policy.prefixes import PrefixCache

# A removed entry may be a lease that ran out while the store was away; workers that live
# are listed again within about two seconds of its return.
LAPSE_SECONDS = 2.0
# A removed worker goes on for `drain` seconds at least; some lists lag by about a second.
REMOVAL_SECONDS = 0.5
# First beliefs about how long a call takes; replaced by what is observed.
FIRST_ENGINE_SECONDS = 0.15
FIRST_SERVICE_SECONDS = 0.03
MAX_IDLE_CONNECTIONS = 8
CONNECT_SECONDS = 0.5


class StoreRecovery(Protocol):
    """Tells when the store answered again after it had failed; in monotonic seconds."""

    recovered_at: float | None


@define
class TrackedWorker:
    """A worker with what this entry believes of it; times in monotonic seconds."""

    worker: Worker
    state: WorkerState
    cache: PrefixCache
    idle: list[ClientConnection] = Factory(list)
    remove_at: float | None = None
    load: LoadReport = Factory(LoadReport)
    failures: int = 0

    def note_load(self, load: WorkerLoad, now: float) -> None:
        """Take the load that a response told; this entry's own calls are counted apart."""
        calls = max(0, load.running + load.waiting - self.state.granted)
        self.load = LoadReport(calls, now)

    def note_success(self, seconds: float) -> None:
        """Note a complete response."""
        self.failures = 0
        self.state.note_service(seconds)

    def measure_load_age(self, now: float) -> float | None:
        """Return how old the load report is, in seconds, or None if there is none."""
        return None if self.load.at is None else round(now - self.load.at, 3)

    def close_idle(self) -> None:
        """Close the connections that wait for use."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()


class WorkerTable:
    """Workers by id, kept by the worker list and by what calls show."""

    def __init__(self, clock: Clock, store: StoreRecovery, log: Any) -> None:
        self._clock = clock
        self._store = store
        self._log = log
        self._workers: dict[str, TrackedWorker] = {}
        self._table: RoutingTable | None = None
        self.listed_at: float | None = None

    def learn_configuration(self, table: RoutingTable) -> None:
        """Take the upstreams' properties."""
        self._table = table
        for tracked in self._workers.values():
            tracked.cache.capacity = self._find_cache_tokens(tracked.worker.upstream)

    # The worker list

    def learn_list(self, workers: list[Worker]) -> None:
        """Take the whole list; workers that it lacks are removed after a while."""
        for worker in workers:
            self.learn_worker(worker)
        listed = {worker.id for worker in workers}
        for worker_id in list(self._workers):
            if worker_id not in listed:
                self.note_removed(worker_id)
        self.listed_at = self._clock.monotonic()

    def learn_worker(self, worker: Worker) -> None:
        """Take one entry; a restart under the same id loses all beliefs."""
        known = self._workers.get(worker.id)
        if known is not None and _is_same_process(known.worker, worker):
            known.worker = worker
            known.state.worker = worker
            known.state.slots = worker.slots
            known.remove_at = None
            if worker.leaving and not known.state.leaving:
                self._log.info("a worker is leaving", worker=worker.id)
                known.close_idle()
            known.state.leaving = worker.leaving
            return
        if known is not None:
            known.close_idle()
        self._workers[worker.id] = self._track(worker)
        self._log.info(
            "learnt of a worker",
            worker=worker.id,
            upstream=worker.upstream,
            domain=worker.failure_domain,
            leaving=worker.leaving,
        )

    def note_removed(self, worker_id: str) -> None:
        """Plan the removal of a worker whose entry is gone."""
        known = self._workers.get(worker_id)
        if known is None or known.remove_at is not None:
            return
        now = self._clock.monotonic()
        known.remove_at = now + REMOVAL_SECONDS
        if self._store.recovered_at is not None:
            known.remove_at = max(known.remove_at, self._store.recovered_at + LAPSE_SECONDS)
        self._log.info(
            "a worker's entry is gone", worker=worker_id, wait_s=round(known.remove_at - now, 3)
        )

    def _track(self, worker: Worker) -> TrackedWorker:
        tokens = self._find_cache_tokens(worker.upstream)
        first = FIRST_ENGINE_SECONDS if tokens else FIRST_SERVICE_SECONDS
        state = WorkerState(worker, worker.slots, service_seconds=first, leaving=worker.leaving)
        return TrackedWorker(worker, state, PrefixCache(tokens))

    def _find_cache_tokens(self, name: str) -> int:
        """Return how many tokens a worker of an upstream keeps; none without a model engine."""
        upstream = self._table.upstreams.get(name) if self._table else None
        return upstream.engine.cache_tokens if upstream and upstream.engine else 0

    # Choice and use

    def list_usable(self, upstream: str) -> list[TrackedWorker]:
        """Return the workers of an upstream that may get a call now, by id."""
        now = self._clock.monotonic()
        self._drop_removed(now)
        found = [t for t in self._workers.values() if t.worker.upstream == upstream]
        believe_loads(found, now)
        usable = [t for t in found if t.state.is_usable(now)]
        if not usable:
            # Better a worker that failed lately than none.
            usable = [t for t in found if not t.state.leaving]
        return usable

    def _drop_removed(self, now: float) -> None:
        for worker_id, tracked in list(self._workers.items()):
            if tracked.remove_at is not None and now >= tracked.remove_at:
                tracked.close_idle()
                del self._workers[worker_id]
                self._log.info("removed a worker", worker=worker_id)

    def note_misdirected(self, tracked: TrackedWorker) -> None:
        """Note that another worker has the address."""
        tracked.close_idle()
        tracked.state.avoid(self._clock.monotonic())
        self._log.info("another worker has the address", worker=tracked.worker.id)

    def note_failure(self, tracked: TrackedWorker, reason: str) -> None:
        """Avoid a worker for a while after it failed."""
        tracked.failures += 1
        tracked.close_idle()
        tracked.state.avoid(self._clock.monotonic())
        self._log.info(
            "a worker failed", worker=tracked.worker.id, failures=tracked.failures, reason=reason
        )

    async def connect(self, tracked: TrackedWorker, max_idle: float) -> ClientConnection:
        """Return a connection that was idle for at most `max_idle` seconds, or a new one."""
        now = self._clock.monotonic()
        while tracked.idle:
            connection = tracked.idle.pop()
            if connection.is_usable(now) and now - connection.idle_since <= max_idle:
                return connection
            connection.close()
        return await ClientConnection.open(tracked.worker.address, CONNECT_SECONDS)

    def give_back(self, tracked: TrackedWorker, connection: ClientConnection) -> None:
        """Keep a connection for another call, if it is fit for one."""
        connection.finish(self._clock.monotonic())
        fit = connection.is_usable(self._clock.monotonic())
        if fit and not tracked.state.leaving and len(tracked.idle) < MAX_IDLE_CONNECTIONS:
            tracked.idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for tracked in self._workers.values():
            tracked.close_idle()


def believe_loads(workers: list[TrackedWorker], now: float) -> None:
    """Set what others are believed to have in each worker of one upstream."""
    loads = estimate_loads([tracked.load for tracked in workers], now)
    for tracked, load in zip(workers, loads, strict=True):
        tracked.state.foreign = load


def _is_same_process(known: Worker, listed: Worker) -> bool:
    same_start = not listed.born or not known.born or known.born == listed.born
    return known.address == listed.address and known.upstream == listed.upstream and same_start

"""Injects faults from outside the processes, in overlapping series drawn from the seed.

No more keepers are unavailable at once than the settings tolerate; a keeper counts as unavailable
until it has had time to catch up. The faults are followed by series of planned work, during
which keepers are replaced; planned work must not cost a request its answer.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import Factory, define

from tests.platform.standins import WorkerStandin
from tests.soak.load import Load
from tests.soak.processes import CORE, OTHER_ENGINES, Cluster, Disruption, Kill, Node
from tests.soak.proxy import Mode, Proxy
from tests.soak.workers import CRASHING_BODY, EVENTS_PER_STREAM, VERSIONS

CATCH_UP_SECONDS = 5.0
# A new keeper spends some seconds on copying, and some more on waiting for unreachable keepers.
ACTIVATION_TIMEOUT_SECONDS = 40.0
PLANNED_SECONDS = 8.0
IMPAIRED_MODES = (Mode.SILENT, Mode.UP_CUT, Mode.DOWN_CUT, Mode.DELAY, Mode.REFUSE)
FAULTS = (
    "store_cut",
    "store_reset",
    "store_compact",
    "worker_cut",
    "worker_reset",
    "worker_leave",
    "worker_crash",
    "entry_kill",
    "entry_term",
    "entry_pause",
    "entry_hup",
    "entry_reset",
    "keeper_kill",
    "keeper_term",
    "keeper_pause",
    "keeper_cut",
    "keeper_reset",
    "keeper_wipe",
    "keeper_torn",
    "keeper_refusing_disk",
    "all_keepers_killed",
    "configuration",
)
# These have their own series and random generator, so that seeds that were recorded before these
# faults existed still produce the same sequence of other faults.
KEEPER_FAULTS = ("keeper_replace", "keeper_slow_disk")
# These have a series and generator of their own for the same reason.
WORKER_FAULTS = ("worker_upgrade", "worker_silence", "crashing_request")
KILL_FAULTS = ("worker_kill",)
OTHER_FAULTS = ("other_worker_cut", "other_worker_reset", "other_worker_upgrade")
PLANNED = ("entry_term", "entry_hup", "configuration", "worker_leave")
# How long a request that crashes workers is repeated.
CRASHING_SECONDS = 12.0
SHORT_PAUSE = (0.1, 1.2)
LONG_PAUSE = (1.0, 6.0)
# How long a kill waits for the response that it is planned at.
KILL_TIMEOUT_SECONDS = 1.0


@define
class Faults:
    """Injects faults; `injected` counts them by kind, `problems` lists violations found."""

    cluster: Cluster
    load: Load
    rng: random.Random
    keeper_rng: random.Random
    worker_rng: random.Random
    kill_rng: random.Random
    other_rng: random.Random
    injected: Counter = Factory(Counter)
    problems: list[str] = Factory(list)
    _unavailable_keepers: set[str] = Factory(set)
    _reserved_names: set[str] = Factory(set)
    _workers_added: int = 0

    async def run(self, seconds: float) -> None:
        """Run several series of faults concurrently, then planned work."""
        await asyncio.gather(
            *(self._run_series(self.rng, FAULTS, seconds) for _ in range(3)),
            self._run_series(self.keeper_rng, KEEPER_FAULTS, seconds, LONG_PAUSE),
            *(self._run_series(self.worker_rng, (k,), seconds, LONG_PAUSE) for k in WORKER_FAULTS),
            self._run_series(self.kill_rng, KILL_FAULTS, seconds),
            self._run_series(self.other_rng, OTHER_FAULTS, seconds),
        )
        await asyncio.gather(
            *(self._run_series(self.rng, PLANNED, PLANNED_SECONDS) for _ in range(2)),
            *(
                self._run_series(self.keeper_rng, (kind,), PLANNED_SECONDS)
                for kind in KEEPER_FAULTS
                for _ in range(self.cluster.tolerated)
            ),
            self._run_series(self.keeper_rng, ("keeper_slow_disk",), PLANNED_SECONDS),
        )

    async def _run_series(
        self,
        rng: random.Random,
        kinds: tuple[str, ...],
        seconds: float,
        pause: tuple[float, float] = SHORT_PAUSE,
    ) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(rng.uniform(*pause))
            kind = rng.choice(kinds)
            if await getattr(self, f"_{kind}")():
                self.injected[kind] += 1

    @contextmanager
    def _record_disruption(self, *targets: str) -> Iterator[None]:
        """Record an unplanned disruption of the targets for as long as the block runs."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            yield
        finally:
            self.cluster.disruptions += [Disruption(t, started, loop.time()) for t in targets]

    # Store and workers

    async def _impair_proxy(self, proxy: Proxy, max_seconds: float, target: str) -> bool:
        with self._record_disruption(target):
            proxy.mode = self.rng.choice(IMPAIRED_MODES)
            await asyncio.sleep(self.rng.uniform(0.3, max_seconds))
            proxy.mode = Mode.PASS
        return True

    def _reset_connections(self, proxy: Proxy, target: str) -> bool:
        with self._record_disruption(target):
            proxy.reset()
        return True

    async def _store_cut(self) -> bool:
        return await self._impair_proxy(self.cluster.store_proxy, 4.0, CORE)

    async def _store_reset(self) -> bool:
        return self._reset_connections(self.cluster.store_proxy, CORE)

    async def _store_compact(self) -> bool:
        self.cluster.store.compact()
        return True

    async def _worker_cut(self) -> bool:
        name, proxy = self.rng.choice(self._list_proxies())
        return await self._impair_proxy(proxy, 2.0, name)

    async def _worker_reset(self) -> bool:
        name, proxy = self.rng.choice(self._list_proxies())
        return self._reset_connections(proxy, name)

    def _list_proxies(self) -> list[tuple[str, Proxy]]:
        """Return the workers' proxies, but those of workers that older seeds do not have."""
        proxies = self.cluster.worker_proxies.items()
        return [item for item in proxies if not item[0].startswith(OTHER_ENGINES)]

    async def _worker_leave(self) -> bool:
        return await self._replace_worker(crash=False)

    async def _worker_crash(self) -> bool:
        return await self._replace_worker(crash=True)

    async def _replace_worker(self, *, crash: bool) -> bool:
        worker = self._choose_worker(self.rng, "models", "booking")
        if worker is None:
            return False
        self._reserved_names.add(worker.id)
        self._workers_added += 1
        name = f"{worker.upstream}-new-{self._workers_added}"
        await self.cluster.add_worker(name, worker.upstream, worker.zone)
        self.load.set_worker_script(self.cluster.workers[-1])
        with self._record_disruption(*([worker.id] if crash else [])):
            await self.cluster.remove_worker(worker, crash=crash)
        return True

    def _choose_worker(self, rng: random.Random, *upstreams: str) -> WorkerStandin | None:
        """Return a running worker that no other fault will restart, or None."""
        candidates = [
            worker
            for worker in self.cluster.workers
            if worker.upstream in upstreams
            and ("servers", worker.id) in self.cluster.store.objects
            and worker.id not in self._reserved_names
            and worker not in self.cluster.ended_workers
        ]
        return rng.choice(candidates) if candidates else None

    async def _worker_upgrade(self) -> bool:
        """Restart a worker under its id with a new software version, which the list shows later."""
        return await self._upgrade_worker(self.worker_rng, "models")

    async def _other_worker_upgrade(self) -> bool:
        return await self._upgrade_worker(self.other_rng, OTHER_ENGINES)

    async def _other_worker_reset(self) -> bool:
        worker = self._choose_worker(self.other_rng, OTHER_ENGINES)
        if worker is None:
            return False
        return self._reset_connections(self.cluster.worker_proxies[worker.id], worker.id)

    async def _other_worker_cut(self) -> bool:
        worker = self._choose_worker(self.other_rng, OTHER_ENGINES)
        if worker is None:
            return False
        proxy = self.cluster.worker_proxies[worker.id]
        self._reserved_names.add(worker.id)
        proxy.mode = self.other_rng.choice(IMPAIRED_MODES)
        with self._record_disruption(worker.id):
            await asyncio.sleep(self.other_rng.uniform(0.3, 2.0))
            proxy.mode = Mode.PASS
        self._reserved_names.discard(worker.id)
        return True

    async def _upgrade_worker(self, rng: random.Random, upstream: str) -> bool:
        worker = self._choose_worker(rng, upstream)
        if worker is None:
            return False
        self._reserved_names.add(worker.id)
        version = rng.choice(VERSIONS)
        lag = rng.uniform(0.0, 1.0)
        await self.cluster.restart_worker(worker, version, delay=0.1, lag=lag)
        self._reserved_names.discard(worker.id)
        return True

    async def _worker_kill(self) -> bool:
        """Kill a worker's process in the middle of a response, and start another one in its place.

        It may be killed before a piece of the response, inside one or between two.
        """
        rng = self.kill_rng
        upstream = rng.choice(("models", "models", "booking"))
        pieces = EVENTS_PER_STREAM if upstream == "models" else 1
        number, part = rng.randint(1, pieces), rng.choice((0.0, 0.5, 1.0, 1.0))
        version = rng.choice((None, *VERSIONS))
        delay, lag = rng.uniform(0.02, 1.0), rng.uniform(0.0, 1.0)
        worker = self._choose_worker(rng, upstream)
        if worker is None:
            return False
        self._reserved_names.add(worker.id)
        kill = Kill(worker, number, part)
        killed = await self.cluster.kill_worker(
            kill, KILL_TIMEOUT_SECONDS, version or worker.version, delay, lag
        )
        self._reserved_names.discard(worker.id)
        return killed

    async def _worker_silence(self) -> bool:
        """Let a worker be silent for about a second, which costs no request its answer."""
        workers = [w for w in self.cluster.workers if w.upstream != OTHER_ENGINES]
        worker = self.worker_rng.choice(workers)
        await self.cluster.silence_worker(worker.id, self.worker_rng.uniform(0.7, 1.2))
        return True

    async def _crashing_request(self) -> bool:
        body = CRASHING_BODY + str(self.worker_rng.randrange(10**6)).encode()
        await self.load.send_crashing(body, CRASHING_SECONDS)
        return True

    # Entries

    def _reserve_entry(self) -> Node | None:
        candidates = [
            node for node in self.cluster.entries if node.name not in self._reserved_names
        ]
        if len(candidates) < 2:
            return None
        node = self.rng.choice(candidates)
        self._reserved_names.add(node.name)
        return node

    async def _entry_kill(self) -> bool:
        return await self._restart_entry(signal.SIGKILL, planned=False)

    async def _entry_term(self) -> bool:
        return await self._restart_entry(signal.SIGTERM, planned=True)

    async def _restart_entry(self, signal_number: int, *, planned: bool) -> bool:
        node = self._reserve_entry()
        if node is None:
            return False
        with self._record_disruption(*([] if planned else [node.name])):
            await node.stop(signal_number)
            node.start()
        await asyncio.sleep(1.0)
        self._reserved_names.discard(node.name)
        return True

    async def _entry_pause(self) -> bool:
        node = self._reserve_entry()
        if node is None:
            return False
        await self._pause(node, 2.0, node.name)
        self._reserved_names.discard(node.name)
        return True

    async def _pause(self, node: Node, max_seconds: float, target: str) -> None:
        with self._record_disruption(target):
            node.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.2, max_seconds))
            node.send_signal(signal.SIGCONT)

    async def _entry_hup(self) -> bool:
        self.rng.choice(self.cluster.entries).send_signal(signal.SIGHUP)
        return True

    async def _entry_reset(self) -> bool:
        node = self.rng.choice(self.cluster.entries)
        return self._reset_connections(node.proxy, node.name)

    # Keepers

    async def _run_keeper_fault(self, inject, rng: random.Random | None = None) -> bool:
        candidates = [
            node for node in self.cluster.keepers if node.name not in self._unavailable_keepers
        ]
        if len(self._unavailable_keepers) >= self.cluster.tolerated:
            return False
        node = (rng or self.rng).choice(candidates)
        self._unavailable_keepers.add(node.name)
        await inject(node)
        await asyncio.sleep(CATCH_UP_SECONDS)
        self._unavailable_keepers.discard(node.name)
        return True

    async def _restart_keeper(
        self, node: Node, signal_number: int, while_stopped=lambda node: None
    ) -> None:
        with self._record_disruption(CORE):
            await node.stop(signal_number)
            while_stopped(node)
            await asyncio.sleep(self.rng.uniform(0.0, 2.0))
            node.start()

    async def _keeper_kill(self) -> bool:
        return await self._run_keeper_fault(lambda n: self._restart_keeper(n, signal.SIGKILL))

    async def _keeper_term(self) -> bool:
        return await self._run_keeper_fault(lambda n: self._restart_keeper(n, signal.SIGTERM))

    async def _keeper_wipe(self) -> bool:
        return await self._run_keeper_fault(
            lambda n: self._restart_keeper(n, signal.SIGKILL, lambda node: node.delete_data())
        )

    async def _keeper_torn(self) -> bool:
        return await self._run_keeper_fault(
            lambda n: self._restart_keeper(
                n, signal.SIGKILL, lambda node: node.append_torn_write(self.rng)
            )
        )

    async def _keeper_pause(self) -> bool:
        return await self._run_keeper_fault(lambda n: self._pause(n, 4.0, CORE))

    async def _keeper_cut(self) -> bool:
        return await self._run_keeper_fault(lambda n: self._impair_proxy(n.proxy, 4.0, CORE))

    async def _keeper_reset(self) -> bool:
        return self._reset_connections(self.rng.choice(self.cluster.keepers).proxy, CORE)

    async def _keeper_refusing_disk(self) -> bool:
        async def refuse(node: Node) -> None:
            with self._record_disruption(CORE):
                node.refuse_writes(True)
                await asyncio.sleep(self.rng.uniform(0.3, 3.0))
                node.refuse_writes(False)

        return await self._run_keeper_fault(refuse)

    async def _keeper_slow_disk(self) -> bool:
        """Slow down a keeper's disk; callers wait longer than that, so no answer may be lost."""
        node = self.keeper_rng.choice(self.cluster.keepers)
        node.set_sync_delay(self.keeper_rng.uniform(0.05, 0.5))
        await asyncio.sleep(self.keeper_rng.uniform(0.3, 3.0))
        node.set_sync_delay(None)
        return True

    async def _keeper_replace(self) -> bool:
        return await self._run_keeper_fault(self._replace_keeper, self.keeper_rng)

    async def _replace_keeper(self, node: Node) -> None:
        """Retire a keeper and add an empty one at another address in its place."""
        with self._record_disruption(CORE):
            self.cluster.retire_keeper(node, self.keeper_rng.choice((Mode.SILENT, Mode.REFUSE)))
        await asyncio.sleep(self.keeper_rng.uniform(0.0, 2.0))
        new = await self.cluster.add_keeper(node.zone)
        try:
            async with asyncio.timeout(ACTIVATION_TIMEOUT_SECONDS):
                while not self.cluster.is_active_member(new):
                    await asyncio.sleep(0.1)
        except TimeoutError:
            self.problems.append(
                f"STUCK: {new.name} is not an active member after {ACTIVATION_TIMEOUT_SECONDS} s"
            )

    async def _all_keepers_killed(self) -> bool:
        """Kill all keepers at once; their disks stay intact."""
        if self._unavailable_keepers:
            return False
        self._unavailable_keepers.update(node.name for node in self.cluster.keepers)
        with self._record_disruption(CORE):
            for node in self.cluster.keepers:
                node.send_signal(signal.SIGKILL)
            for node in self.cluster.keepers:
                node.process.wait()
                node.append_torn_write(self.rng)
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            for node in self.cluster.keepers:
                node.start()
        await asyncio.sleep(CATCH_UP_SECONDS)
        self._unavailable_keepers.clear()
        return True

    # Configuration

    async def _configuration(self) -> bool:
        self.cluster.version += self.rng.randint(1, 5)
        self.cluster.put_configuration()
        return True

"""Faults from outside the processes, in seeded series that overlap.

At most as many keepers are lost at once as the settings tolerate; one counts as lost until it
had time to catch up. After the faults comes planned work, in series as well, while keepers are
replaced; answers are owed all through it.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import Factory, define

from egretford.platform.documents import CONFIGURATION_KIND, CONFIGURATION_NAME
from tests.platform.deployment import make_configuration
from tests.soak.load import Load
from tests.soak.processes import CORE, Cluster, Disruption, Node
from tests.soak.proxy import Mode, Proxy

CATCH_UP_SECONDS = 5.0
# A new keeper copies for some seconds, and waits for some more for those that it cannot reach.
COUNT_SECONDS = 40.0
PLANNED_SECONDS = 8.0
CUTS = (Mode.SILENT, Mode.UP_CUT, Mode.DOWN_CUT, Mode.DELAY, Mode.REFUSE)
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
# These have a series and a source of their own, so that seeds from before them stay what they were.
KEEPER_FAULTS = ("keeper_replace", "keeper_slow_disk")
PLANNED = ("entry_term", "entry_hup", "configuration", "worker_leave")
SHORT_PAUSE = (0.1, 1.2)
LONG_PAUSE = (1.0, 6.0)


@define
class Faults:
    """Injects faults; `injected` counts by kind, `problems` holds what broke meanwhile."""

    cluster: Cluster
    load: Load
    rng: random.Random
    keeper_rng: random.Random
    injected: Counter = Factory(Counter)
    problems: list[str] = Factory(list)
    _lost: set[str] = Factory(set)
    _busy: set[str] = Factory(set)
    _workers: int = 0

    async def run(self, seconds: float) -> None:
        """Run some series of faults side by side, then planned work."""
        await asyncio.gather(
            *(self._run_series(self.rng, FAULTS, seconds) for _ in range(3)),
            self._run_series(self.keeper_rng, KEEPER_FAULTS, seconds, LONG_PAUSE),
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
    def _disrupt(self, *targets: str) -> Iterator[None]:
        """Note that these are disrupted, unplanned."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            yield
        finally:
            self.cluster.disruptions += [Disruption(t, began, loop.time()) for t in targets]

    # Store and workers

    async def _spoil(self, proxy: Proxy, longest: float, target: str) -> bool:
        with self._disrupt(target):
            proxy.mode = self.rng.choice(CUTS)
            await asyncio.sleep(self.rng.uniform(0.3, longest))
            proxy.mode = Mode.PASS
        return True

    def _reset(self, proxy: Proxy, target: str) -> bool:
        with self._disrupt(target):
            proxy.reset()
        return True

    async def _store_cut(self) -> bool:
        return await self._spoil(self.cluster.store_proxy, 4.0, CORE)

    async def _store_reset(self) -> bool:
        return self._reset(self.cluster.store_proxy, CORE)

    async def _store_compact(self) -> bool:
        self.cluster.store.compact()
        return True

    async def _worker_cut(self) -> bool:
        name, proxy = self.rng.choice(list(self.cluster.worker_proxies.items()))
        return await self._spoil(proxy, 2.0, name)

    async def _worker_reset(self) -> bool:
        name, proxy = self.rng.choice(list(self.cluster.worker_proxies.items()))
        return self._reset(proxy, name)

    async def _worker_leave(self) -> bool:
        return await self._replace_worker(crash=False)

    async def _worker_crash(self) -> bool:
        return await self._replace_worker(crash=True)

    async def _replace_worker(self, *, crash: bool) -> bool:
        listed = [
            worker
            for worker in self.cluster.workers
            if ("servers", worker.id) in self.cluster.store.objects and worker.id not in self._busy
        ]
        worker = self.rng.choice(listed)
        self._busy.add(worker.id)
        self._workers += 1
        name = f"{worker.upstream}-new-{self._workers}"
        await self.cluster.add_worker(name, worker.upstream, worker.zone)
        self.load.prepare(self.cluster.workers[-1])
        with self._disrupt(*([worker.id] if crash else [])):
            await self.cluster.remove_worker(worker, crash=crash)
        return True

    # Entries

    def _take_entry(self) -> Node | None:
        free = [node for node in self.cluster.entries if node.name not in self._busy]
        if len(free) < 2:
            return None
        node = self.rng.choice(free)
        self._busy.add(node.name)
        return node

    async def _entry_kill(self) -> bool:
        return await self._restart_entry(signal.SIGKILL, planned=False)

    async def _entry_term(self) -> bool:
        return await self._restart_entry(signal.SIGTERM, planned=True)

    async def _restart_entry(self, number: int, *, planned: bool) -> bool:
        node = self._take_entry()
        if node is None:
            return False
        with self._disrupt(*([] if planned else [node.name])):
            await node.stop(number)
            node.start()
        await asyncio.sleep(1.0)
        self._busy.discard(node.name)
        return True

    async def _entry_pause(self) -> bool:
        node = self._take_entry()
        if node is None:
            return False
        await self._pause(node, 2.0, node.name)
        self._busy.discard(node.name)
        return True

    async def _pause(self, node: Node, longest: float, target: str) -> None:
        with self._disrupt(target):
            node.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.2, longest))
            node.send_signal(signal.SIGCONT)

    async def _entry_hup(self) -> bool:
        self.rng.choice(self.cluster.entries).send_signal(signal.SIGHUP)
        return True

    async def _entry_reset(self) -> bool:
        node = self.rng.choice(self.cluster.entries)
        return self._reset(node.proxy, node.name)

    # Keepers

    async def _lose_keeper(self, act, rng: random.Random | None = None) -> bool:
        standing = [node for node in self.cluster.keepers if node.name not in self._lost]
        if len(self._lost) >= self.cluster.tolerated:
            return False
        node = (rng or self.rng).choice(standing)
        self._lost.add(node.name)
        await act(node)
        await asyncio.sleep(CATCH_UP_SECONDS)
        self._lost.discard(node.name)
        return True

    async def _restart_keeper(self, node: Node, number: int, between=lambda node: None) -> None:
        with self._disrupt(CORE):
            await node.stop(number)
            between(node)
            await asyncio.sleep(self.rng.uniform(0.0, 2.0))
            node.start()

    async def _keeper_kill(self) -> bool:
        return await self._lose_keeper(lambda n: self._restart_keeper(n, signal.SIGKILL))

    async def _keeper_term(self) -> bool:
        return await self._lose_keeper(lambda n: self._restart_keeper(n, signal.SIGTERM))

    async def _keeper_wipe(self) -> bool:
        return await self._lose_keeper(
            lambda n: self._restart_keeper(n, signal.SIGKILL, lambda node: node.wipe())
        )

    async def _keeper_torn(self) -> bool:
        return await self._lose_keeper(
            lambda n: self._restart_keeper(n, signal.SIGKILL, lambda node: node.tear(self.rng))
        )

    async def _keeper_pause(self) -> bool:
        return await self._lose_keeper(lambda n: self._pause(n, 4.0, CORE))

    async def _keeper_cut(self) -> bool:
        return await self._lose_keeper(lambda n: self._spoil(n.proxy, 4.0, CORE))

    async def _keeper_reset(self) -> bool:
        return self._reset(self.rng.choice(self.cluster.keepers).proxy, CORE)

    async def _keeper_refusing_disk(self) -> bool:
        async def refuse(node: Node) -> None:
            with self._disrupt(CORE):
                node.refuse_writes(True)
                await asyncio.sleep(self.rng.uniform(0.3, 3.0))
                node.refuse_writes(False)

        return await self._lose_keeper(refuse)

    async def _keeper_slow_disk(self) -> bool:
        """Slow a disk down; no reason to close an answer, whose caller waits for longer."""
        node = self.keeper_rng.choice(self.cluster.keepers)
        node.slow_syncs(self.keeper_rng.uniform(0.05, 0.5))
        await asyncio.sleep(self.keeper_rng.uniform(0.3, 3.0))
        node.slow_syncs(None)
        return True

    async def _keeper_replace(self) -> bool:
        return await self._lose_keeper(self._replace_keeper, self.keeper_rng)

    async def _replace_keeper(self, node: Node) -> None:
        """Have a keeper go for good; an empty one at another address takes its place."""
        with self._disrupt(CORE):
            self.cluster.retire_keeper(node, self.keeper_rng.choice((Mode.SILENT, Mode.REFUSE)))
        await asyncio.sleep(self.keeper_rng.uniform(0.0, 2.0))
        new = await self.cluster.add_keeper(node.zone)
        try:
            async with asyncio.timeout(COUNT_SECONDS):
                while not self.cluster.counts(new):
                    await asyncio.sleep(0.1)
        except TimeoutError:
            self.problems.append(f"STUCK: {new.name} does not count after {COUNT_SECONDS} s")

    async def _all_keepers_killed(self) -> bool:
        """Kill all keepers at once; none of their disks is lost."""
        if self._lost:
            return False
        self._lost.update(node.name for node in self.cluster.keepers)
        with self._disrupt(CORE):
            for node in self.cluster.keepers:
                node.send_signal(signal.SIGKILL)
            for node in self.cluster.keepers:
                node.process.wait()
                node.tear(self.rng)
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            for node in self.cluster.keepers:
                node.start()
        await asyncio.sleep(CATCH_UP_SECONDS)
        self._lost.clear()
        return True

    # Configuration

    async def _configuration(self) -> bool:
        self.cluster.version += self.rng.randint(1, 5)
        document = make_configuration(self.cluster.version)
        self.cluster.store.put(CONFIGURATION_KIND, CONFIGURATION_NAME, document)
        return True

"""Simulated environment of a scenario: store, workers, network and injected faults."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from attrs import Factory, define, field

from egretford.errors import (
    PeerUnreachableError,
    RequestError,
    StoreUnavailableError,
    UpstreamLostError,
    UpstreamRefusedError,
    UpstreamRejectedError,
)
from egretford.models import ErrorReply
from egretford.standin.objects import ObjectStore
from tests.faults.virtual import VirtualClock

LATENCY_SECONDS = 0.002
STORE_TIMEOUT_SECONDS = 2.0
OUTAGE_SECONDS = 6.0
LONG_FAULT_SECONDS = 14.0
MIN_SLEEP_SECONDS = 0.001
LEAVING_GRACE_SECONDS = 5.0


@define
class Trigger:
    """Injects a fault at the nth execution of a step, before or after its effect."""

    step: str
    phase: str
    fault: str
    nth: int = 1
    fired: bool = False


@define
class FakeWorker:
    """An upstream: effects by call, tokens spent by program, programs that it holds memory of."""

    name: str
    effects: Counter = Factory(Counter)
    tokens: Counter = Factory(Counter)
    dispatched: set = Factory(set)
    memory: set = Factory(set)
    boot: int = 0
    running: int = 0
    hung_until: float = 0.0
    leaving: bool = False
    left_at: float | None = None
    late_grants: int = 0

    orders: dict = Factory(dict)
    fencing: int = 0
    checks_fencing: bool = True

    def crash(self) -> None:
        self.boot += 1
        self.memory.clear()
        self.orders.clear()

    def apply_order(self, order: Any) -> dict:
        if self.checks_fencing and order.fencing < self.fencing:
            raise UpstreamRejectedError(f"{self.name}: old fencing number {order.fencing}")
        self.fencing = max(self.fencing, order.fencing)
        self.orders[order.kind] = order.value
        return dict(self.orders)


@define
class Host:
    """An entry's process as seen from outside."""

    name: str
    instance: Any = None
    dead: asyncio.Event = Factory(asyncio.Event)
    frozen_until: float = 0.0
    listening: bool = False
    requests_in_flight: int = 0
    left_gracefully: bool = False
    revisions: list[int] = Factory(list)

    @property
    def is_dead(self) -> bool:
        return self.dead.is_set()


@define
class World:
    rng: random.Random
    triggers: list[Trigger] = Factory(list)
    clock: VirtualClock = Factory(VirtualClock)
    store: ObjectStore = Factory(ObjectStore)
    hosts: dict[str, Host] = Factory(dict)
    workers: dict[str, FakeWorker] = Factory(dict)
    step_counts: Counter = Factory(Counter)
    cut_until: dict[tuple[str, str], float] = Factory(dict)
    store_down_until: float = 0.0
    store_slow_until: float = 0.0
    store_answers_lost_until: float = 0.0
    stale_until: float = 0.0
    stale_lists: dict = Factory(dict)
    store_writes: int = 0
    on_operator_race: Callable[[], None] = field(default=lambda: None)
    tasks: set = Factory(set)
    dispatches: list[tuple[str, str]] = Factory(list)

    def now(self) -> float:
        return self.clock.monotonic()

    def spawn(self, work: Any) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # -- requests over the network --------------------------------------------------

    async def exchange(
        self, host: Host, target: str, step: str, effect: Callable[[], Any], timeout: float
    ) -> Any:
        """Deliver a request over the network, run its effect and return the answer.

        Raises TimeoutError if no answer arrives; the effect may have happened.
        """
        started = self.now()
        fault = self._fire_trigger(host, target, step, "before")
        await self._wait_while_stopped(host)
        await asyncio.sleep(LATENCY_SECONDS)
        if fault == "silent" or self._is_cut(host.name, target):
            await self._wait_for_timeout(started, timeout)
        result = effect()
        if asyncio.iscoroutine(result):
            result = await result
        if fault == "duplicate":
            self.spawn(self._deliver_again(effect))
        fault = self._fire_trigger(host, target, step, "after")
        await asyncio.sleep(LATENCY_SECONDS)
        if fault == "silent" or self._is_cut(target, host.name):
            await self._wait_for_timeout(started, timeout)
        await self._wait_while_stopped(host)
        return result

    async def _deliver_again(self, effect: Callable[[], Any]) -> None:
        await asyncio.sleep(3.0)
        try:
            result = effect()
            if asyncio.iscoroutine(result):
                await result
        except Exception:
            return

    async def _wait_for_timeout(self, started: float, timeout: float) -> None:
        await asyncio.sleep(max(0.0, started + timeout - self.now()))
        raise TimeoutError

    async def _wait_while_stopped(self, host: Host) -> None:
        """Block forever if the process is dead, or until it resumes if it is frozen."""
        if host.is_dead:
            await asyncio.Event().wait()
        while self.now() < host.frozen_until:
            await asyncio.sleep(max(MIN_SLEEP_SECONDS, host.frozen_until - self.now()))

    def _is_cut(self, source: str, target: str) -> bool:
        now = self.now()
        return any(
            now < self.cut_until.get(pair, 0.0)
            for pair in ((source, target), (source, "*"), ("*", target))
        )

    # -- faults -----------------------------------------------------------------------

    def _fire_trigger(self, host: Host, target: str, step: str, phase: str) -> str | None:
        if phase == "before":
            self.step_counts[step] += 1
        for trigger in self.triggers:
            if (
                not trigger.fired
                and (trigger.step, trigger.phase) == (step, phase)
                and self.step_counts[step] >= trigger.nth
            ):
                trigger.fired = True
                return self.inject(trigger.fault, host, target)
        return None

    def inject(self, fault: str, host: Host, target: str) -> str | None:
        """Start a fault; returns its name if it affects only the current request."""
        now = self.now()
        match fault:
            case "kill":
                host.dead.set()
            case "freeze":
                host.frozen_until = now + LONG_FAULT_SECONDS
            case "cut":
                self.cut_until[(host.name, "*")] = self.cut_until[("*", host.name)] = (
                    now + LONG_FAULT_SECONDS
                )
            case "cut_one_way":
                self.cut_until[("*", host.name)] = now + LONG_FAULT_SECONDS
            case "store_cut":
                self.cut_until[(host.name, "store")] = now + LONG_FAULT_SECONDS
            case "store_down":
                self.store_down_until = now + OUTAGE_SECONDS
            case "store_slow":
                self.store_slow_until = now + OUTAGE_SECONDS
            case "store_lost":
                self.store_answers_lost_until = now + 2.0
            case "stale_list":
                self.stale_until = now + LONG_FAULT_SECONDS
            case "operator_race":
                self.on_operator_race()
            case "worker_crash" | "worker_hang" | "worker_leaving":
                self._inject_worker_fault(fault, target)
            case _:
                return fault
        return None

    def _inject_worker_fault(self, fault: str, target: str) -> None:
        worker = self.workers.get(target) or self.rng.choice(sorted_workers(self))
        if fault == "worker_crash":
            worker.crash()
        elif fault == "worker_hang":
            worker.hung_until = self.now() + LONG_FAULT_SECONDS
        else:
            worker.leaving = True
            worker.left_at = self.now()

    # -- the store --------------------------------------------------------------------

    async def use_store(
        self, host: Host, step: str, effect: Callable[[], Any], *, write: bool, timeout: float
    ) -> Any:
        def guarded() -> Any:
            if self.now() < self.store_down_until:
                raise StoreUnavailableError("down")
            self.store_writes += write
            return effect()

        if self.now() < self.store_slow_until:
            await asyncio.sleep(self.rng.uniform(0.5, 1.5))
        try:
            result = await self.exchange(host, "store", step, guarded, timeout)
        except TimeoutError as error:
            raise StoreUnavailableError(step) from error
        if write and self.now() < self.store_answers_lost_until:
            raise StoreUnavailableError("answer lost")
        return result

    # -- peers ------------------------------------------------------------------------

    async def ask_peer(
        self, host: Host, address: str, message: Any, step: str, seconds: float
    ) -> Any:
        target = self.hosts.get(address)

        async def answer() -> Any:
            if target is None or target.is_dead or not target.listening:
                raise TimeoutError
            await self._wait_while_stopped(target)
            try:
                reply = await target.instance.answer_peer(message)
            except RequestError as error:
                reply = ErrorReply.from_error(error)
            await self._wait_while_stopped(target)
            return reply

        try:
            async with asyncio.timeout(seconds):
                reply = await self.exchange(host, address, step, answer, seconds)
        except TimeoutError as error:
            raise PeerUnreachableError(address) from error
        if isinstance(reply, ErrorReply):
            raise reply.to_error()
        return reply

    # -- workers ----------------------------------------------------------------------

    async def call_worker(
        self, host: Host, worker: FakeWorker, step: str, effect: Callable[[], Any], seconds: float
    ) -> Any:
        async def guarded() -> Any:
            while self.now() < worker.hung_until:
                await asyncio.sleep(max(MIN_SLEEP_SECONDS, worker.hung_until - self.now()))
            return effect()

        try:
            async with asyncio.timeout(seconds):
                return await self.exchange(host, worker.name, step, guarded, seconds)
        except TimeoutError as error:
            raise UpstreamLostError(f"{worker.name}: silent", crashed=False) from error


def sorted_workers(world: World) -> list[FakeWorker]:
    return [world.workers[name] for name in sorted(world.workers)]


def raise_if_leaving(world: World, worker: FakeWorker) -> None:
    if worker.leaving:
        worker.late_grants += world.now() > worker.left_at + LEAVING_GRACE_SECONDS
        raise UpstreamRefusedError(f"{worker.name}: leaving", leaving=True)

"""Cost of single scheduling decisions, in microseconds of CPU time."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from attrs import frozen

from egretford.models import Pool, PoolKind, Urgency, Worker
from egretford.policy.placement import Placement, PlacementRequest
from egretford.policy.queue import CallQueue, Waiting
from egretford.policy.shard import Shard

WORKER_COUNTS = (6, 100, 1_500)
QUEUE_LENGTHS = (1_000, 100_000)
ROUNDS = 300
# A deadline in seconds that no call reaches.
NO_DEADLINE = 1e9


@frozen
class DecisionCost:
    """Mean CPU time of a decision; `size` is the number of workers or of queued calls."""

    decision: str
    size: int
    microseconds: float


def measure_decisions() -> list[DecisionCost]:
    """Measure placing a call for each worker count, and push and pop for each queue length."""
    placements = [
        DecisionCost("placement, by workers", count, _measure_placement(count))
        for count in WORKER_COUNTS
    ]
    steps = [
        DecisionCost("queue step, by queued calls", length, _measure_queue(length))
        for length in QUEUE_LENGTHS
    ]
    return placements + steps


def _measure_microseconds(action: Callable[[int], None]) -> float:
    started = time.process_time()
    for number in range(ROUNDS):
        action(number)
    return (time.process_time() - started) / ROUNDS * 1e6


def _build_call(number: int, rng: random.Random) -> Waiting:
    placement = PlacementRequest(
        f"program-{number}", 4_000, {f"worker-{number % 6}": 3_000}, "region"
    )
    return Waiting(
        ticket=f"ticket-{number}",
        tree=f"program-{number}",
        tenant="tenant",
        urgency=Urgency.INTERACTIVE,
        opened=rng.random(),
        attained=0.0,
        arrived=0.0,
        deadline=NO_DEADLINE,
        placement=placement,
    )


def _measure_placement(workers: int) -> float:
    rng = random.Random(1)
    pool = Pool(
        "pool",
        PoolKind.ENGINE,
        [Worker(f"worker-{n}", "none", "domain") for n in range(workers)],
        cache_tokens=60_000,
    )
    shard = Shard(Placement({"domain": "region"}))
    shard.set_pool(pool)

    def place(number: int) -> None:
        shard.offer(_build_call(number, rng), 0.0)
        for grant in shard.dispatch(0.0):
            shard.finish(grant.ticket, 1.0)

    return _measure_microseconds(place)


def _measure_queue(length: int) -> float:
    rng = random.Random(1)
    queue = CallQueue()
    for number in range(length):
        queue.push(_build_call(number, rng))

    def step(number: int) -> None:
        queue.push(_build_call(length + number, rng))
        queue.pop()

    return _measure_microseconds(step)

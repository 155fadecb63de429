"""Grants slots of the pools this entry is home of, to owners on any entry."""

from __future__ import annotations

import asyncio

from attrs import define, evolve, field

from egretford.clock import Clock
from egretford.errors import ErrorKind, RequestError
from egretford.models import Pool
from egretford.policy.placement import Placement
from egretford.policy.queue import Waiting
from egretford.policy.shard import Expired, Grant, Shard

RETRY_AFTER_SECONDS = 1.0
# A waiting call is dropped when its owner has not repeated the request for this long.
ABANDONED_SECONDS = 6.0
# A granted slot is freed this long after its call's deadline, if the owner has not done so.
GRANT_GRACE_SECONDS = 5.0


@define
class Ticket:
    """A call that waits for or holds a slot.

    `granted` resolves to the worker's name. `last_requested_at` is when the owner last repeated
    its request, in monotonic seconds.
    """

    call: Waiting
    granted: asyncio.Future[str]
    last_requested_at: float = field()


class SlotTable:
    """The scheduler shards of one entry by pool, and the tickets of their calls."""

    def __init__(self, clock: Clock, placement: Placement) -> None:
        self.shards: dict[str, Shard] = {}
        self._clock = clock
        self._placement = placement
        self._tickets: dict[str, Ticket] = {}

    def set_pools(self, pools: list[Pool]) -> None:
        """Create, update and remove shards to match `pools`."""
        wanted = {pool.name: pool for pool in pools}
        for name in set(self.shards) - set(wanted):
            del self.shards[name]
        for name, pool in wanted.items():
            shard = self.shards.setdefault(name, Shard(self._placement))
            shard.set_pool(pool)

    async def acquire(
        self, pool: str, call: Waiting, queue_bound: int, wait_seconds: float
    ) -> str | None:
        """Return the granted worker's name, or None if there is none within `wait_seconds`.

        Repeating the request with the same ticket continues to wait, or returns the same
        grant. Raises RequestError if no slot is expected before the call's deadline.
        """
        now = self._clock.monotonic()
        ticket = self._tickets.get(call.ticket)
        if ticket is None:
            ticket = self._enqueue(pool, call, queue_bound, now)
        ticket.last_requested_at = now
        self.dispatch(pool)
        try:
            async with asyncio.timeout(wait_seconds):
                return await asyncio.shield(ticket.granted)
        except TimeoutError:
            return None

    def _enqueue(self, pool: str, call: Waiting, queue_bound: int, now: float) -> Ticket:
        shard = self.shards.get(pool)
        if shard is None:
            raise RequestError(ErrorKind.UNKNOWN_ROUTE, f"pool {pool!r} is not known here")
        if not shard.offer(call, now, queue_bound):
            raise RequestError(
                ErrorKind.OVERLOADED,
                f"{len(shard)} calls wait for pool {pool}; this one would come too late",
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        future.add_done_callback(_retrieve_exception)
        self._tickets[call.ticket] = Ticket(call, future, now)
        return self._tickets[call.ticket]

    def finish(
        self, pool: str, ticket: str, program: str, failed: bool, worker: str, tokens: int
    ) -> None:
        """Release a slot, or drop a call that still waits; idempotent."""
        self._tickets.pop(ticket, None)
        shard = self.shards.get(pool)
        if shard is None:
            return
        shard.cancel(ticket)
        shard.finish(ticket, self._clock.monotonic(), failed=failed)
        if tokens:
            shard.record_cached(program, worker, tokens)
        self.dispatch(pool)

    def forget_program(self, program: str) -> None:
        """Drop the cache locations of an ended program."""
        for shard in self.shards.values():
            shard.forget_program(program)

    def dispatch(self, pool: str, *, everywhere: bool = False) -> None:
        """Grant free slots of a pool; with `everywhere` also on workers without a recent change."""
        shard = self.shards.get(pool)
        if shard is None:
            return
        for result in shard.dispatch(self._clock.monotonic(), everywhere=everywhere):
            ticket = self._tickets.get(result.ticket)
            match result:
                case Grant() if ticket is None:
                    shard.finish(result.ticket, self._clock.monotonic())
                case Grant():
                    ticket.granted.set_result(result.worker)
                case Expired() if ticket is not None:
                    ticket.granted.set_exception(_build_timeout_error())

    def drop_abandoned(self) -> None:
        """Drop calls and free slots whose owner has crashed or become unreachable."""
        now = self._clock.monotonic()
        for name, ticket in list(self._tickets.items()):
            is_waiting = not ticket.granted.done()
            abandoned = is_waiting and now > ticket.last_requested_at + ABANDONED_SECONDS
            overdue = now > ticket.call.deadline + GRANT_GRACE_SECONDS
            if abandoned or overdue:
                for pool in self.shards:
                    self.finish(pool, name, "", False, "", 0)


def shift_call(call: Waiting, seconds: float) -> Waiting:
    """Shift a call's times by `seconds`, to convert between processes' monotonic clocks."""
    return evolve(
        call,
        opened=call.opened + seconds,
        arrived=call.arrived + seconds,
        deadline=call.deadline + seconds,
    )


def _build_timeout_error() -> RequestError:
    return RequestError(
        ErrorKind.TIMEOUT,
        "no worker was free within the call's time",
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def _retrieve_exception(done: asyncio.Future[str]) -> None:
    """Retrieve the exception, so that asyncio does not log it as never retrieved."""
    if not done.cancelled():
        done.exception()

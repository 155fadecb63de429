"""Slots of pools that this entry is home of, granted to owners here and elsewhere."""

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
FORGOTTEN_SECONDS = 6.0
GRANT_GRACE_SECONDS = 5.0


@define
class Ticket:
    """A call that waits or holds a slot; `asked_at` is when its owner last asked."""

    call: Waiting
    granted: asyncio.Future[str]
    asked_at: float = field()


class SlotTable:
    """The shards of one entry, by pool, and the tickets in them."""

    def __init__(self, clock: Clock, placement: Placement) -> None:
        self.shards: dict[str, Shard] = {}
        self._clock = clock
        self._placement = placement
        self._tickets: dict[str, Ticket] = {}

    def set_pools(self, pools: list[Pool]) -> None:
        """Take the pools in force."""
        wanted = {pool.name: pool for pool in pools}
        for name in set(self.shards) - set(wanted):
            del self.shards[name]
        for name, pool in wanted.items():
            shard = self.shards.setdefault(name, Shard(self._placement))
            shard.set_pool(pool)

    async def acquire(
        self, pool: str, call: Waiting, queue_bound: int, wait_seconds: float
    ) -> str | None:
        """Return the granted worker's name, or None while the call waits.

        Raises RequestError when there will be no slot in time. Asking again with the same
        ticket goes on waiting, or gives the same grant.
        """
        now = self._clock.monotonic()
        ticket = self._tickets.get(call.ticket)
        if ticket is None:
            ticket = self._offer(pool, call, queue_bound, now)
        ticket.asked_at = now
        self.dispatch(pool)
        try:
            async with asyncio.timeout(wait_seconds):
                return await asyncio.shield(ticket.granted)
        except TimeoutError:
            return None

    def _offer(self, pool: str, call: Waiting, queue_bound: int, now: float) -> Ticket:
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
        future.add_done_callback(_consume_error)
        self._tickets[call.ticket] = Ticket(call, future, now)
        return self._tickets[call.ticket]

    def finish(
        self, pool: str, ticket: str, program: str, failed: bool, worker: str, tokens: int
    ) -> None:
        """Give a slot back, or drop a call that still waits; repeatable."""
        self._tickets.pop(ticket, None)
        shard = self.shards.get(pool)
        if shard is None:
            return
        shard.cancel(ticket)
        shard.finish(ticket, self._clock.monotonic(), failed=failed)
        if tokens:
            shard.note_cached(program, worker, tokens)
        self.dispatch(pool)

    def forget_program(self, program: str) -> None:
        """Drop what is remembered of an ended program."""
        for shard in self.shards.values():
            shard.forget_program(program)

    def dispatch(self, pool: str, *, everywhere: bool = False) -> None:
        """Hand out free slots of a pool."""
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
                    ticket.granted.set_exception(_refuse_late())

    def drop_forgotten(self) -> None:
        """Free what owners hold or wait for no longer, since they died or were cut off."""
        now = self._clock.monotonic()
        for name, ticket in list(self._tickets.items()):
            waits = not ticket.granted.done()
            forgotten = waits and now > ticket.asked_at + FORGOTTEN_SECONDS
            overdue = now > ticket.call.deadline + GRANT_GRACE_SECONDS
            if forgotten or overdue:
                for pool in self.shards:
                    self.finish(pool, name, "", False, "", 0)


def shift_call(call: Waiting, seconds: float) -> Waiting:
    """Move a call's times by `seconds`, between two processes' monotonic clocks."""
    return evolve(
        call,
        opened=call.opened + seconds,
        arrived=call.arrived + seconds,
        deadline=call.deadline + seconds,
    )


def _refuse_late() -> RequestError:
    return RequestError(
        ErrorKind.TIMEOUT,
        "no worker was free within the call's time",
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def _consume_error(done: asyncio.Future[str]) -> None:
    if not done.cancelled():
        done.exception()

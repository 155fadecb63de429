"""Level-triggered orders to the workers of pools that this entry is home of.

One holder a pool, by a lease in the store, reads back what its workers have in force and
orders what is missing, again and again. Workers that check fencing numbers refuse a
former holder; the others are put right by the next round, since it reads them back.
"""

from __future__ import annotations

import asyncio

from egretford.codec import decode_bytes, encode_bytes
from egretford.context import Context
from egretford.controllers.configuration import ConfigurationController
from egretford.controllers.loops import TaskGroup, run_every
from egretford.controllers.members import MembersController
from egretford.errors import ObjectMissingError, UpstreamError, VersionConflictError
from egretford.models import Pool, PoolKind, Worker
from egretford.platform.objects import Platform
from egretford.policy.orders import OrderLease, list_missing, list_wanted, take_lease
from egretford.upstream.interface import Order, Upstream

ORDER_PREFIX = "orders/"
ROUND_SECONDS = 3.0


class OrdersController:
    """Keeps workers at what the pools table wants of them."""

    def __init__(
        self,
        context: Context,
        platform: Platform,
        upstream: Upstream,
        configuration: ConfigurationController,
        members: MembersController,
    ) -> None:
        self._clock = context.clock
        self._platform = platform
        self._upstream = upstream
        self._configuration = configuration
        self._members = members
        self._log = context.make_logger("orders")
        self._held: set[str] = set()
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Start the rounds."""
        self._tasks.spawn(run_every(self._clock, ROUND_SECONDS, self._run_round, self._log))

    async def close(self) -> None:
        """Stop; the lease is taken by the next home."""
        await self._tasks.close()

    async def _run_round(self) -> None:
        for pool in list(self._configuration.current.tables.pools):
            if pool.kind is PoolKind.ENGINE and list_wanted(pool) and self._is_due(pool):
                await self._assert_pool(pool)

    def _is_due(self, pool: Pool) -> bool:
        """A holder goes on while it lives; only the home becomes one."""
        if pool.name in self._held:
            return True
        home = self._members.membership.find_home(pool.name, self._members.now())
        return home.incarnation == self._members.me.incarnation

    async def _assert_pool(self, pool: Pool) -> None:
        # Before the lease is written, since the write may take effect without an answer.
        self._held.add(pool.name)
        lease = await self._hold_lease(pool.name)
        if lease is None:
            self._held.discard(pool.name)
            return
        await asyncio.gather(*(self._assert_worker(w, pool, lease) for w in pool.workers))

    async def _hold_lease(self, pool: str) -> OrderLease | None:
        """Become or stay the holder; None while another live entry holds the lease."""
        key, me = ORDER_PREFIX + pool, self._members.me.incarnation
        try:
            stored = await self._platform.get(key)
        except ObjectMissingError:
            stored = None
        current = decode_bytes(stored.value, OrderLease) if stored else None
        if current is not None and current.holder != me and self._is_live(current.holder):
            return None
        if current is not None and current.holder == me:
            return current
        lease = take_lease(current, me, self._clock.now())
        try:
            if stored is None:
                await self._platform.create(key, encode_bytes(lease))
            else:
                await self._platform.update(key, encode_bytes(lease), stored.version)
        except (VersionConflictError, ObjectMissingError):
            return None
        return lease

    def _is_live(self, incarnation: str) -> bool:
        return self._members.membership.is_live(incarnation, self._members.now())

    async def _assert_worker(self, worker: Worker, pool: Pool, lease: OrderLease) -> None:
        try:
            in_force = await self._upstream.read_orders(worker)
            for kind, value in list_missing(list_wanted(pool), in_force).items():
                await self._upstream.send_order(worker, Order(kind, value, lease.fencing))
                self._log.info("ordered", worker=worker.name, kind=kind, value=value)
        except UpstreamError as error:
            self._log.warning("an order did not arrive; trying again", error=str(error))

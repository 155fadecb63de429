"""Level-triggered orders to the workers of pools that this entry is home of.

Each pool has one holder, by a lease in the store. The holder periodically reads which orders
are in force on the workers and sends those that are missing. Workers that check fencing
numbers reject orders of a former holder; on other workers the next round corrects them.
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
from egretford.policy.orders import (
    OrderLease,
    list_pending_orders,
    list_required_orders,
    take_lease,
)
from egretford.upstream.interface import Order, Upstream

ORDER_PREFIX = "orders/"
RECONCILE_SECONDS = 3.0


class OrdersController:
    """Reconciles workers with the model and adapter that the pools table specifies."""

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
        self._held_pools: set[str] = set()
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Start the periodic reconciliation."""
        self._tasks.spawn(
            run_every(self._clock, RECONCILE_SECONDS, self._reconcile_pools, self._log)
        )

    async def close(self) -> None:
        """Stop; the next home of each pool takes over its lease."""
        await self._tasks.close()

    async def _reconcile_pools(self) -> None:
        for pool in list(self._configuration.current.tables.pools):
            if (
                pool.kind is PoolKind.ENGINE
                and list_required_orders(pool)
                and self._may_send_orders(pool)
            ):
                await self._reconcile_pool(pool)

    def _may_send_orders(self, pool: Pool) -> bool:
        """Whether this entry sends a pool's orders.

        A holder of the lease continues while it lives; only the home of the pool becomes holder.
        """
        if pool.name in self._held_pools:
            return True
        home = self._members.membership.find_home(pool.name, self._members.now())
        return home.incarnation == self._members.me.incarnation

    async def _reconcile_pool(self, pool: Pool) -> None:
        # Set before the lease is written, since a write may succeed although its response is lost.
        self._held_pools.add(pool.name)
        lease = await self._acquire_lease(pool.name)
        if lease is None:
            self._held_pools.discard(pool.name)
            return
        await asyncio.gather(*(self._reconcile_worker(w, pool, lease) for w in pool.workers))

    async def _acquire_lease(self, pool: str) -> OrderLease | None:
        """Acquire or keep the lease; None if another live entry holds it."""
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

    async def _reconcile_worker(self, worker: Worker, pool: Pool, lease: OrderLease) -> None:
        try:
            in_force = await self._upstream.read_orders(worker)
            for kind, value in list_pending_orders(list_required_orders(pool), in_force).items():
                await self._upstream.send_order(worker, Order(kind, value, lease.fencing))
                self._log.info("sent an order", worker=worker.name, kind=kind, value=value)
        except UpstreamError as error:
            self._log.warning("sending orders failed; retrying in the next round", error=str(error))

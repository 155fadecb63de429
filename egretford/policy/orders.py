"""Orders to workers: which model and adapter a pool requires, and which orders are pending."""

from __future__ import annotations

from datetime import datetime

from attrs import frozen

from egretford.models import Pool

MODEL = "model"
ADAPTER = "adapter"


@frozen
class OrderLease:
    """The right to send orders to a pool's workers; `fencing` is higher for each new holder."""

    holder: str
    fencing: int
    renewed_at: datetime


def list_required_orders(pool: Pool) -> dict[str, str]:
    """Return what each worker of a pool must have loaded, by kind of order."""
    required = {MODEL: pool.model, ADAPTER: pool.adapter}
    return {kind: value for kind, value in required.items() if value is not None}


def list_pending_orders(required: dict[str, str], in_force: dict[str, str]) -> dict[str, str]:
    """Return the required orders that are not in force on a worker."""
    return {kind: value for kind, value in required.items() if in_force.get(kind) != value}


def take_lease(current: OrderLease | None, me: str, now: datetime) -> OrderLease:
    """Return the lease that incarnation `me` writes to become or stay the holder."""
    if current is None:
        return OrderLease(me, 1, now)
    if current.holder == me:
        return OrderLease(me, current.fencing, now)
    return OrderLease(me, current.fencing + 1, now)

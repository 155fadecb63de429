"""The order of waiting calls: by urgency, then by program start time plus attained service.

Finishing old programs first keeps the number of open programs small, so that their caches fit.
Adding the attained service makes a program that never ends fall behind younger ones.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from attrs import Factory, define, frozen

from egretford.models import Urgency
from egretford.policy.placement import PlacementRequest

# Seconds of later start per second of attained service.
ATTAINED_WEIGHT = 1.0
# Batch programs are ordered as if they had been opened this much later.
BATCH_PENALTY_SECONDS = 30.0
_URGENCY_RANKS = {Urgency.URGENT: 0, Urgency.INTERACTIVE: 1, Urgency.BATCH: 1}


@frozen
class Waiting:
    """A call that waits for a worker; times in monotonic seconds.

    `opened` is when the program tree was opened, `attained` the service time in seconds that
    it has had.
    """

    ticket: str
    tree: str
    tenant: str
    urgency: Urgency
    opened: float
    attained: float
    arrived: float
    deadline: float
    placement: PlacementRequest


def order_key(call: Waiting) -> tuple[int, float]:
    """Return the sort key of a call, which does not change while the call waits.

    All programs age at the same rate, so ageing needs no reordering. Urgent calls sort before
    all others; batch programs sort as if opened `BATCH_PENALTY_SECONDS` later.
    """
    penalty = BATCH_PENALTY_SECONDS if call.urgency is Urgency.BATCH else 0.0
    return _URGENCY_RANKS[call.urgency], call.opened + ATTAINED_WEIGHT * call.attained + penalty


@define
class CallQueue:
    """A heap of waiting calls; cancelled calls stay in it until they reach the top."""

    heap: list[tuple[tuple[int, float], int, Waiting]] = Factory(list)
    waiting_by_ticket: dict[str, Waiting] = Factory(dict)
    push_count: int = 0

    def __len__(self) -> int:
        return len(self.waiting_by_ticket)

    def push(self, call: Waiting) -> None:
        """Add a call; calls with the same key keep their order of arrival."""
        self.push_count += 1
        self.waiting_by_ticket[call.ticket] = call
        heapq.heappush(self.heap, (order_key(call), self.push_count, call))

    def pop(self) -> Waiting | None:
        """Remove and return the first call, or None if there is none."""
        while self.heap:
            _, _, call = heapq.heappop(self.heap)
            if self.waiting_by_ticket.pop(call.ticket, None) is not None:
                return call
        return None

    def peek(self) -> Waiting | None:
        """Return the first call without removing it, or None if there is none."""
        while self.heap and self.heap[0][2].ticket not in self.waiting_by_ticket:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None

    def cancel(self, ticket: str) -> bool:
        """Remove a call at any position; returns whether it was in this queue."""
        return self.waiting_by_ticket.pop(ticket, None) is not None

    def __iter__(self) -> Iterator[Waiting]:
        return iter(self.waiting_by_ticket.values())

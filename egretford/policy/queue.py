"""The order of waiting calls: urgency first, then the age of the program, less its service.

Finishing old programs first keeps few under way, so that their caches fit; adding the
attained service makes a program that never ends fall behind younger ones.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from attrs import Factory, define, frozen

from egretford.models import Urgency
from egretford.policy.placement import PlacementRequest

ATTAINED_WEIGHT = 1.0
BATCH_HANDICAP_SECONDS = 30.0
_RANKS = {Urgency.URGENT: 0, Urgency.INTERACTIVE: 1, Urgency.BATCH: 1}


@frozen
class Waiting:
    """A call that waits for a worker; times in monotonic seconds.

    `opened` is when the program tree was opened, `attained` the service it has had, in
    seconds.
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
    """Return the sort key of a call; it does not change while the call waits.

    All programs age alike, so ageing needs no reordering. Urgent calls go before all
    others, batch programs count as opened later than they were.
    """
    handicap = BATCH_HANDICAP_SECONDS if call.urgency is Urgency.BATCH else 0.0
    return _RANKS[call.urgency], call.opened + ATTAINED_WEIGHT * call.attained + handicap


@define
class CallQueue:
    """A heap of waiting calls; cancelled ones are skipped when they surface."""

    heap: list[tuple[tuple[int, float], int, Waiting]] = Factory(list)
    live: dict[str, Waiting] = Factory(dict)
    pushed: int = 0

    def __len__(self) -> int:
        return len(self.live)

    def push(self, call: Waiting) -> None:
        """Add a call."""
        self.pushed += 1
        self.live[call.ticket] = call
        heapq.heappush(self.heap, (order_key(call), self.pushed, call))

    def pop(self) -> Waiting | None:
        """Remove and return the first call."""
        while self.heap:
            _, _, call = heapq.heappop(self.heap)
            if self.live.pop(call.ticket, None) is not None:
                return call
        return None

    def peek(self) -> Waiting | None:
        """Return the first call without removing it."""
        while self.heap and self.heap[0][2].ticket not in self.live:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None

    def cancel(self, ticket: str) -> bool:
        """Remove a call wherever it stands; False if it is not here."""
        return self.live.pop(ticket, None) is not None

    def __iter__(self) -> Iterator[Waiting]:
        return iter(self.live.values())

"""Faults that a stand-in is told to show for a while."""

from __future__ import annotations

import random
from enum import StrEnum

from attrs import define, field, frozen, validators


class FaultKind(StrEnum):
    """What the stand-in platform does wrong."""

    DOWN = "down"
    SLOW = "slow"
    LOST_ANSWERS = "lost_answers"


@frozen
class FaultRequest:
    """Asks for a fault of `kind` during `seconds`."""

    kind: FaultKind
    seconds: float = field(validator=[validators.ge(0), validators.le(3_600)])
    seed: int = 0


LOST_ANSWER_SHARE = 0.5
SLOW_SECONDS = (0.5, 1.5)


@define
class FaultState:
    """Faults in force, by their end in monotonic seconds."""

    until: dict[FaultKind, float] = field(factory=dict)
    rng: random.Random = field(factory=random.Random)

    def set(self, request: FaultRequest, now: float) -> None:
        """Put a fault in force; zero seconds ends it."""
        self.until[request.kind] = now + request.seconds
        self.rng = random.Random(request.seed)

    def is_on(self, kind: FaultKind, now: float) -> bool:
        """Whether a fault is in force."""
        return now < self.until.get(kind, 0.0)

    def loses_answer(self, now: float) -> bool:
        """Decide whether this answer is lost."""
        return self.is_on(FaultKind.LOST_ANSWERS, now) and self.rng.random() < LOST_ANSWER_SHARE

    def slow_delay(self, now: float) -> float:
        """Return how long this call is delayed, in seconds."""
        return self.rng.uniform(*SLOW_SECONDS) if self.is_on(FaultKind.SLOW, now) else 0.0

"""Faults that can be injected into the stand-in platform for a limited time."""

from __future__ import annotations

import random
from enum import StrEnum

from attrs import define, field, frozen, validators


class FaultKind(StrEnum):
    """Ways in which the stand-in platform fails: unreachable, slow, or replies get lost."""

    DOWN = "down"
    SLOW = "slow"
    LOST_ANSWERS = "lost_answers"


@frozen
class FaultRequest:
    """Request body of `POST /faults`; zero seconds end a fault."""

    kind: FaultKind
    seconds: float = field(validator=[validators.ge(0), validators.le(3_600)])
    seed: int = 0


# Share of writes that are applied but answered with an error while replies get lost.
LOST_ANSWER_SHARE = 0.5
# Range of the delay of a call while the platform is slow.
SLOW_DELAY_SECONDS = (0.5, 1.5)


@define
class FaultState:
    """End of each fault in monotonic seconds, and the random source that they draw from."""

    active_until: dict[FaultKind, float] = field(factory=dict)
    rng: random.Random = field(factory=random.Random)

    def set(self, request: FaultRequest, now: float) -> None:
        """Start a fault and reseed the random source; zero seconds end the fault."""
        self.active_until[request.kind] = now + request.seconds
        self.rng = random.Random(request.seed)

    def is_active(self, kind: FaultKind, now: float) -> bool:
        """Whether a fault has started and not yet ended."""
        return now < self.active_until.get(kind, 0.0)

    def loses_answer(self, now: float) -> bool:
        """Draw whether the reply to the current write gets lost."""
        return self.is_active(FaultKind.LOST_ANSWERS, now) and self.rng.random() < LOST_ANSWER_SHARE

    def slow_delay(self, now: float) -> float:
        """Draw the delay of the current call in seconds; 0 unless the platform is slow."""
        return self.rng.uniform(*SLOW_DELAY_SECONDS) if self.is_active(FaultKind.SLOW, now) else 0.0

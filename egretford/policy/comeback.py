"""When refused callers are told to come back.

A short interruption is best met by coming back soon; one that has lasted for a while tends to
last as long again, and a caller that has used up its attempts meanwhile is lost. So the advice
grows with the age of what is in the way, and is spread so that callers do not return as one.
"""

from __future__ import annotations

import random
from collections.abc import Hashable

from attrs import Factory, define

# Callers come back this soon from what has just begun, in seconds.
SHORTEST_SECONDS = 0.1
# The spread above the shortest advice.
SPREAD = 2.0
# Callers honour at most a third of the 3 s that they wait for a turn.
LONGEST_SECONDS = 1.0


@define
class ComebackAdvice:
    """Since when each obstacle stands; times in monotonic seconds."""

    rng: random.Random
    _since: dict[Hashable, float] = Factory(dict)

    def note_passed(self, obstacle: Hashable) -> None:
        """Note that a request was not held up by an obstacle."""
        self._since.pop(obstacle, None)

    def advise(self, obstacle: Hashable, now: float) -> float:
        """Return after how many seconds a caller that met an obstacle should come back."""
        age = now - self._since.setdefault(obstacle, now)
        least = min(max(SHORTEST_SECONDS, age / SPREAD), LONGEST_SECONDS / SPREAD)
        return self.rng.uniform(least, SPREAD * least)

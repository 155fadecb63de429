"""The Retry-After advice that refused callers get.

After a short interruption callers should retry soon. One that has lasted for a while tends to
last as long again, and a caller that uses up its attempts meanwhile fails for good. The advice
therefore grows with the time that the cause has lasted, and has jitter so that callers do not
retry all at once.
"""

from __future__ import annotations

import random
from collections.abc import Hashable

from attrs import Factory, define

# Lower bound of the advice in seconds, for a cause that has just begun.
MIN_ADVICE_SECONDS = 0.1
# Jitter: ratio of the largest to the smallest advice at one moment.
JITTER = 2.0
# Upper bound of the advice in seconds: callers obey at most a third of the 3 s that they wait
# for a turn.
MAX_ADVICE_SECONDS = 1.0


@define
class ComebackAdvice:
    """Tracks since when each cause of refusals has lasted, in monotonic seconds."""

    rng: random.Random
    _started_at: dict[Hashable, float] = Factory(dict)

    def note_passed(self, cause: Hashable) -> None:
        """Record that a request was not refused for `cause`, which resets its age."""
        self._started_at.pop(cause, None)

    def advise(self, cause: Hashable, now: float) -> float:
        """Return the seconds after which a caller refused for `cause` should retry."""
        age = now - self._started_at.setdefault(cause, now)
        shortest = min(max(MIN_ADVICE_SECONDS, age / JITTER), MAX_ADVICE_SECONDS / JITTER)
        return self.rng.uniform(shortest, JITTER * shortest)

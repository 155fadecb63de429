"""Which failed attempts are tried again, and which requests are quarantined."""

from __future__ import annotations

import random
from datetime import datetime, timedelta

from attrs import Factory, define, frozen

from egretford.errors import UpstreamError, UpstreamRejectedError, Verdict
from egretford.models import RetryLimits

FIRST_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0
MIN_RETRY_TOKENS = 10.0
CRASHES_TO_QUARANTINE = 2
QUARANTINE_TIME = timedelta(minutes=10)
CRASH_MEMORY_TIME = timedelta(minutes=10)


@define
class RetryBudget:
    """Retries that a route may still make: a share of its recent first attempts."""

    ratio: float
    tokens: float = MIN_RETRY_TOKENS

    def note_attempt(self) -> None:
        """Earn a share of a retry for a first attempt."""
        self.tokens = min(MIN_RETRY_TOKENS + 100 * self.ratio, self.tokens + self.ratio)

    def take(self) -> bool:
        """Spend one retry; False when none is left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@frozen
class RetryLater:
    """Try again after a delay in seconds."""

    delay: float


@frozen
class GiveUp:
    """Do not try again, for this reason."""

    reason: str


@frozen
class FailedAttempt:
    """What is known of a failed attempt; `number` counts from 1."""

    error: UpstreamError
    number: int
    repeatable: bool
    seconds_left: float


def decide_retry(
    attempt: FailedAttempt, limits: RetryLimits, budget: RetryBudget, rng: random.Random
) -> RetryLater | GiveUp:
    """Try again only what did not run or may run twice, within deadline and budget."""
    if isinstance(attempt.error, UpstreamRejectedError):
        return GiveUp("the upstream rejected the request")
    if attempt.error.verdict is not Verdict.NOT_RUN and not attempt.repeatable:
        return GiveUp("the call may have run and is not repeatable")
    if attempt.number >= limits.attempts:
        return GiveUp(f"{attempt.number} attempts failed")
    delay = backoff_delay(attempt.number, rng)
    if delay >= attempt.seconds_left:
        return GiveUp("the deadline is too near for another attempt")
    if not budget.take():
        return GiveUp("the route's retry budget is spent")
    return RetryLater(delay)


def backoff_delay(number: int, rng: random.Random) -> float:
    """Return the delay in seconds before attempt `number + 1`, with full jitter."""
    ceiling = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2 ** (number - 1))
    return rng.uniform(ceiling / 2, ceiling)


@frozen
class CrashRecord:
    """Crashes that one request content caused; stored for all entries."""

    fingerprint: str
    crashes: int
    last_at: datetime

    def blocks(self, now: datetime) -> bool:
        """Whether the content is quarantined at `now`."""
        return self.crashes >= CRASHES_TO_QUARANTINE and now < self.last_at + QUARANTINE_TIME

    def is_stale(self, now: datetime) -> bool:
        """Whether the record may be deleted."""
        return now >= self.last_at + max(CRASH_MEMORY_TIME, QUARANTINE_TIME)


@define
class Quarantine:
    """Crash records known to this entry."""

    records: dict[str, CrashRecord] = Factory(dict)

    def learn(self, record: CrashRecord) -> None:
        """Take a record if it says more than the known one."""
        known = self.records.get(record.fingerprint)
        if known is None or (record.crashes, record.last_at) > (known.crashes, known.last_at):
            self.records[record.fingerprint] = record

    def count_crash(self, fingerprint: str, now: datetime) -> CrashRecord:
        """Return the record after one more crash."""
        known = self.records.get(fingerprint)
        crashes = 1 if known is None or known.is_stale(now) else known.crashes + 1
        record = CrashRecord(fingerprint, crashes, now)
        self.records[fingerprint] = record
        return record

    def find_block(self, fingerprint: str, now: datetime) -> CrashRecord | None:
        """Return the record that blocks this content, if any."""
        record = self.records.get(fingerprint)
        return record if record is not None and record.blocks(now) else None

    def drop_stale(self, now: datetime) -> list[str]:
        """Forget stale records; returns their fingerprints."""
        stale = [key for key, record in self.records.items() if record.is_stale(now)]
        for key in stale:
            del self.records[key]
        return stale

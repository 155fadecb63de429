"""Decides which failed attempts are retried and which request contents are quarantined."""

from __future__ import annotations

import random
from datetime import datetime, timedelta

from attrs import Factory, define, frozen

from egretford.errors import UpstreamError, UpstreamRejectedError, Verdict
from egretford.models import RetryLimits

FIRST_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0
# Tokens that a route starts with; a retry costs one.
BASE_RETRY_TOKENS = 10.0
CRASHES_TO_QUARANTINE = 2
QUARANTINE_TIME = timedelta(minutes=10)
CRASH_RETENTION_TIME = timedelta(minutes=10)


@define
class RetryBudget:
    """Token bucket that limits a route's retries to a share (`ratio`) of its first attempts."""

    ratio: float
    tokens: float = BASE_RETRY_TOKENS

    def record_attempt(self) -> None:
        """Add `ratio` tokens for a first attempt, up to BASE_RETRY_TOKENS + 100 * `ratio`."""
        self.tokens = min(BASE_RETRY_TOKENS + 100 * self.ratio, self.tokens + self.ratio)

    def try_spend(self) -> bool:
        """Spend the token of one retry; returns False if none is left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@frozen
class RetryLater:
    """Retry after `delay` seconds."""

    delay: float


@frozen
class GiveUp:
    """Do not retry; `reason` becomes part of the error message."""

    reason: str


@frozen
class FailedAttempt:
    """A failed attempt; `number` counts from 1."""

    error: UpstreamError
    number: int
    repeatable: bool
    seconds_left: float


def decide_retry(
    attempt: FailedAttempt, limits: RetryLimits, budget: RetryBudget, rng: random.Random
) -> RetryLater | GiveUp:
    """Decide whether to retry a failed attempt.

    Retries only what did not run or may run twice, within the limit of attempts, the deadline
    and the route's retry budget.
    """
    if isinstance(attempt.error, UpstreamRejectedError):
        return GiveUp("the upstream rejected the request")
    if attempt.error.verdict is not Verdict.NOT_RUN and not attempt.repeatable:
        return GiveUp("the call may have run and is not repeatable")
    if attempt.number >= limits.attempts:
        return GiveUp(f"{attempt.number} attempts failed")
    delay = backoff_delay(attempt.number, rng)
    if delay >= attempt.seconds_left:
        return GiveUp("the deadline is too near for another attempt")
    if not budget.try_spend():
        return GiveUp("the route's retry budget is spent")
    return RetryLater(delay)


def backoff_delay(number: int, rng: random.Random) -> float:
    """Return the delay in seconds before attempt `number + 1`.

    The backoff doubles with each attempt; the delay is random between half of it and all of it.
    """
    ceiling = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2 ** (number - 1))
    return rng.uniform(ceiling / 2, ceiling)


@frozen
class CrashRecord:
    """Worker crashes caused by one request content; shared by all entries through the store."""

    fingerprint: str
    crashes: int
    last_at: datetime

    def blocks(self, now: datetime) -> bool:
        """Whether the content is quarantined at `now`."""
        return self.crashes >= CRASHES_TO_QUARANTINE and now < self.last_at + QUARANTINE_TIME

    def is_stale(self, now: datetime) -> bool:
        """Whether the record is old enough to be deleted."""
        return now >= self.last_at + max(CRASH_RETENTION_TIME, QUARANTINE_TIME)


@define
class Quarantine:
    """The crash records known to this entry, by fingerprint."""

    records: dict[str, CrashRecord] = Factory(dict)

    def merge(self, record: CrashRecord) -> None:
        """Store a record if it has more crashes, or a later last one, than the known record."""
        known = self.records.get(record.fingerprint)
        if known is None or (record.crashes, record.last_at) > (known.crashes, known.last_at):
            self.records[record.fingerprint] = record

    def count_crash(self, fingerprint: str, now: datetime) -> CrashRecord:
        """Count a crash and return the updated record; a stale record starts again at 1."""
        known = self.records.get(fingerprint)
        crashes = 1 if known is None or known.is_stale(now) else known.crashes + 1
        record = CrashRecord(fingerprint, crashes, now)
        self.records[fingerprint] = record
        return record

    def find_block(self, fingerprint: str, now: datetime) -> CrashRecord | None:
        """Return the record that blocks this content at `now`, or None."""
        record = self.records.get(fingerprint)
        return record if record is not None and record.blocks(now) else None

    def drop_stale(self, now: datetime) -> list[str]:
        """Remove stale records and return their fingerprints."""
        stale = [key for key, record in self.records.items() if record.is_stale(now)]
        for key in stale:
            del self.records[key]
        return stale

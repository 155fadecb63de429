"""Blocks requests that have crashed several workers that ran them."""

from __future__ import annotations

import math
from collections.abc import Iterable

import xxhash
from attrs import Factory, define, frozen

# Different workers that a request must crash to be blocked. A crash also hits the other requests
# on the worker, so one proves nothing; deployments allow one request to take down three workers.
CRASHES_TO_BLOCK = 3
# A blocked request may be tried again this long after its last crash, in seconds.
CRASH_RETENTION_SECONDS = 120.0
# Fingerprints remembered; the oldest are dropped.
MAX_FINGERPRINTS = 10_000


@frozen
class Crash:
    """The crash of a worker while it ran a request with this fingerprint.

    `worker` differs for each process, also if a worker starts again under its id.
    """

    fingerprint: str
    worker: str


def make_fingerprint(target: bytes, caller: str, body: bytes, history: str = "") -> str:
    """Return a fingerprint that is the same when a caller repeats a request.

    `history` names what a worker gets before the body, so that turns of different programs differ
    whose new input is the same.
    """
    digest = xxhash.xxh3_128(target)
    digest.update(caller.encode())
    digest.update(body)
    if history:
        digest.update(b"\0" + history.encode())
    return digest.hexdigest()


@frozen
class CrashReport:
    """A crash that happened `age` seconds ago."""

    crash: Crash
    age: float


@frozen
class Clearance:
    """A worker ran a request with this fingerprint to its end, `age` seconds ago."""

    fingerprint: str
    age: float


@define
class CrashTable:
    """Crashed workers by fingerprint, with the time of the crash in monotonic seconds.

    Reports may be merged in any order and any number of times: the earliest time of a crash counts,
    and the latest success. A success ends what crashes before it say of a request.
    """

    _crashed_at: dict[str, dict[str, float]] = Factory(dict)
    _cleared_at: dict[str, float] = Factory(dict)

    def add(self, crash: Crash, now: float, age: float = 0.0) -> bool:
        """Record a crash; returns False if it is known, too old or was followed by a success."""
        at = now - age
        cleared_at = self._cleared_at.get(crash.fingerprint)
        if age > CRASH_RETENTION_SECONDS or (cleared_at is not None and at <= cleared_at):
            return False
        workers = self._crashed_at.setdefault(crash.fingerprint, {})
        is_known = crash.worker in workers
        workers[crash.worker] = min(at, workers.get(crash.worker, at))
        while len(self._crashed_at) > MAX_FINGERPRINTS:
            del self._crashed_at[next(iter(self._crashed_at))]
        return not is_known

    def merge(self, crashes: Iterable[Crash], now: float) -> None:
        """Record crashes of unknown age that others have seen, as if they had happened now."""
        for crash in crashes:
            self.add(crash, now)

    def merge_reports(
        self, reports: Iterable[CrashReport], clearances: Iterable[Clearance], now: float
    ) -> None:
        """Record crashes and successes that others have seen."""
        for clearance in clearances:
            self._clear(clearance.fingerprint, now - clearance.age)
        for report in reports:
            self.add(report.crash, now, report.age)

    def record_success(self, fingerprint: str, now: float) -> bool:
        """Forget the crashes of a request that a worker has run to its end.

        Returns whether there were any.
        """
        if fingerprint not in self._crashed_at:
            return False
        self._clear(fingerprint, now)
        return True

    def _clear(self, fingerprint: str, at: float) -> None:
        at = max(at, self._cleared_at.get(fingerprint, -math.inf))
        self._cleared_at[fingerprint] = at
        workers = self._crashed_at.pop(fingerprint, {})
        later = {worker: crashed_at for worker, crashed_at in workers.items() if crashed_at > at}
        if later:
            self._crashed_at[fingerprint] = later
        while len(self._cleared_at) > MAX_FINGERPRINTS:
            del self._cleared_at[next(iter(self._cleared_at))]

    def blocks(self, fingerprint: str, now: float) -> bool:
        """Whether requests with this fingerprint must not be sent to workers."""
        workers = self._crashed_at.get(fingerprint)
        if workers is None:
            return False
        if now - max(workers.values()) > CRASH_RETENTION_SECONDS:
            del self._crashed_at[fingerprint]
            return False
        return len(workers) >= CRASHES_TO_BLOCK

    def list_recent(self, now: float) -> tuple[Crash, ...]:
        """Return the crashes of the last `CRASH_RETENTION_SECONDS`."""
        return tuple(report.crash for report in self.list_reports(now))

    def list_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return the crashes of the last `CRASH_RETENTION_SECONDS` with their ages."""
        return tuple(
            CrashReport(Crash(fingerprint, worker), now - at)
            for fingerprint, workers in self._crashed_at.items()
            for worker, at in workers.items()
            if now - at <= CRASH_RETENTION_SECONDS
        )

    def list_clearances(self, now: float) -> tuple[Clearance, ...]:
        """Return the successes of the last `CRASH_RETENTION_SECONDS` that followed crashes."""
        return tuple(
            Clearance(fingerprint, now - at)
            for fingerprint, at in self._cleared_at.items()
            if now - at <= CRASH_RETENTION_SECONDS
        )

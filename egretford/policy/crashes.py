"""Blocks requests that have crashed several workers that ran them."""

from __future__ import annotations

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
    """The crash of a worker while it ran a request with this fingerprint."""

    fingerprint: str
    worker: str


def make_fingerprint(target: bytes, caller: str, body: bytes) -> str:
    """Return a fingerprint that is the same when a caller repeats a request."""
    digest = xxhash.xxh3_128(target)
    digest.update(caller.encode())
    digest.update(body)
    return digest.hexdigest()


@define
class CrashTable:
    """Crashed workers by fingerprint, with the time of the crash in monotonic seconds."""

    _crashed_at: dict[str, dict[str, float]] = Factory(dict)

    def note(self, crash: Crash, now: float) -> bool:
        """Record a crash; returns False if it was known."""
        workers = self._crashed_at.setdefault(crash.fingerprint, {})
        if crash.worker in workers:
            return False
        workers[crash.worker] = now
        while len(self._crashed_at) > MAX_FINGERPRINTS:
            del self._crashed_at[next(iter(self._crashed_at))]
        return True

    def learn(self, crashes: Iterable[Crash], now: float) -> None:
        """Record crashes that others have seen."""
        for crash in crashes:
            self.note(crash, now)

    def note_success(self, fingerprint: str) -> None:
        """Forget the crashes of a request that a worker has run to its end."""
        self._crashed_at.pop(fingerprint, None)

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
        return tuple(
            Crash(fingerprint, worker)
            for fingerprint, workers in self._crashed_at.items()
            for worker, at in workers.items()
            if now - at <= CRASH_RETENTION_SECONDS
        )

"""Requests that crash each worker that runs them: after some, no worker gets them any more."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash
from attrs import Factory, define, frozen

# A worker that crashes takes innocent requests with it, so one crash proves nothing; the
# deployments allow three workers to be lost to one request.
CRASHES_TO_BLOCK = 3
# A request that was blocked may be tried again after this long, in seconds.
CRASH_MEMORY_SECONDS = 120.0
MAX_FINGERPRINTS = 10_000


@frozen
class Crash:
    """One worker that went down under a request of this fingerprint."""

    fingerprint: str
    worker: str


def make_fingerprint(target: bytes, caller: str, body: bytes) -> str:
    """Return what tells a request that comes again from others."""
    digest = xxhash.xxh3_128(target)
    digest.update(caller.encode())
    digest.update(body)
    return digest.hexdigest()


@define
class CrashTable:
    """Crashed workers by fingerprint; times in monotonic seconds."""

    _seen: dict[str, dict[str, float]] = Factory(dict)

    def note(self, crash: Crash, now: float) -> bool:
        """Take a crash; False if it was known."""
        workers = self._seen.setdefault(crash.fingerprint, {})
        if crash.worker in workers:
            return False
        workers[crash.worker] = now
        while len(self._seen) > MAX_FINGERPRINTS:
            del self._seen[next(iter(self._seen))]
        return True

    def learn(self, crashes: Iterable[Crash], now: float) -> None:
        """Take what others saw."""
        for crash in crashes:
            self.note(crash, now)

    def note_success(self, fingerprint: str) -> None:
        """Forget a fingerprint that a worker survived."""
        self._seen.pop(fingerprint, None)

    def blocks(self, fingerprint: str, now: float) -> bool:
        """Whether no worker should get such a request any more."""
        workers = self._seen.get(fingerprint)
        if workers is None:
            return False
        if now - max(workers.values()) > CRASH_MEMORY_SECONDS:
            del self._seen[fingerprint]
            return False
        return len(workers) >= CRASHES_TO_BLOCK

    def list_recent(self, now: float) -> tuple[Crash, ...]:
        """Return all crashes that are not too old."""
        return tuple(
            Crash(fingerprint, worker)
            for fingerprint, workers in self._seen.items()
            for worker, at in workers.items()
            if now - at <= CRASH_MEMORY_SECONDS
        )

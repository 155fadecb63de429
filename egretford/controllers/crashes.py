"""Crash records in the store, shared by all entries."""

from __future__ import annotations

from datetime import datetime

from egretford.codec import decode_bytes, encode_bytes
from egretford.context import Context
from egretford.controllers.loops import TaskGroup, run_every
from egretford.errors import ObjectMissingError, StoreUnavailableError, VersionConflictError
from egretford.platform.objects import Platform
from egretford.policy.retry import CrashRecord, Quarantine

CRASH_PREFIX = "crashes/"
STALE_CHECK_SECONDS = 30.0
WATCH_PAUSE_SECONDS = 0.05
MAX_WRITE_ATTEMPTS = 5


class CrashController:
    """Counts crashes by request content; entries receive each other's counts by watch."""

    def __init__(self, context: Context, platform: Platform) -> None:
        self.quarantine = Quarantine()
        self._context = context
        self._platform = platform
        self._log = context.make_logger("quarantine")
        self._revision = 0
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Start watching the records and deleting stale ones."""
        clock = self._context.clock
        self._tasks.spawn(run_every(clock, WATCH_PAUSE_SECONDS, self._watch, self._log))
        self._tasks.spawn(run_every(clock, STALE_CHECK_SECONDS, self._delete_stale, self._log))

    async def close(self) -> None:
        """Stop watching and deleting."""
        await self._tasks.close()

    def find_block(self, fingerprint: str, now: datetime) -> CrashRecord | None:
        """Return the record that quarantines a request content at `now`, if any."""
        return self.quarantine.find_block(fingerprint, now)

    async def count_crash(self, fingerprint: str, now: datetime) -> CrashRecord:
        """Count a crash in memory, and in the store if it is available; returns the record."""
        key = CRASH_PREFIX + fingerprint
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                return await self._write_crash(key, fingerprint, now)
            except (VersionConflictError, ObjectMissingError):
                continue
            except StoreUnavailableError:
                break
        self._log.warning("crash recorded in memory only", fingerprint=fingerprint)
        return self.quarantine.count_crash(fingerprint, now)

    async def _write_crash(self, key: str, fingerprint: str, now: datetime) -> CrashRecord:
        try:
            stored = await self._platform.get(key)
        except ObjectMissingError:
            record = self.quarantine.count_crash(fingerprint, now)
            await self._platform.create(key, encode_bytes(record))
            return record
        self.quarantine.merge(decode_bytes(stored.value, CrashRecord))
        record = self.quarantine.count_crash(fingerprint, now)
        await self._platform.update(key, encode_bytes(record), stored.version)
        return record

    async def _watch(self) -> None:
        seconds = self._context.settings.platform.watch
        changes = await self._platform.watch(CRASH_PREFIX, self._revision, seconds)
        self._revision = changes.revision
        for item in changes.changed:
            self.quarantine.merge(decode_bytes(item.value, CrashRecord))

    async def _delete_stale(self) -> None:
        for fingerprint in self.quarantine.drop_stale(self._context.clock.now()):
            try:
                await self._platform.delete(CRASH_PREFIX + fingerprint)
            except (ObjectMissingError, StoreUnavailableError):
                continue

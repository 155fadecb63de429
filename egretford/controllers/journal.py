"""Writer of one incarnation's journal, which a successor can seal.

Batches are created as objects `journal/<incarnation>/<n>`, one at a time. If the response of
the store is lost, the writer reads object n and compares the batch id. A successor seals the
journal by creating the next n itself; the writer then finds another batch there and stops
permanently.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable

from attrs import define

from egretford.codec import decode_bytes, encode_bytes
from egretford.context import Context
from egretford.controllers.loops import TaskGroup
from egretford.errors import (
    JournalFullError,
    JournalSealedError,
    ObjectMissingError,
    StoreUnavailableError,
    VersionConflictError,
)
from egretford.platform.objects import Platform
from egretford.policy.records import Batch, Record
from egretford.policy.segments import MAX_SEGMENT_BYTES, SegmentIndex, measure_record

JOURNAL_PREFIX = "journal"
RETRY_SECONDS = 0.1
SEGMENT_NUMBER_DIGITS = 12


def segment_key(incarnation: str, number: int) -> str:
    """Return the object key of a segment; keys sort by segment number."""
    return f"{JOURNAL_PREFIX}/{incarnation}/{number:0{SEGMENT_NUMBER_DIGITS}d}"


def segment_number(key: str) -> int:
    """Parse the segment number from an object key."""
    return int(key.rsplit("/", 1)[1])


@define
class PendingAppend:
    """Records queued to be appended together; `size` is in bytes.

    `done` is set to the segment number once they are durable.
    """

    records: list[Record]
    size: int
    roots: set[str]
    done: asyncio.Future[int]


class JournalWriter:
    """Appends records in order, by group commit, at a limited rate of writes."""

    def __init__(
        self,
        context: Context,
        platform: Platform,
        incarnation: str,
        root_of: Callable[[str], str],
    ) -> None:
        self.incarnation = incarnation
        self.segment_index = SegmentIndex(context.settings.journal.spare_segments)
        self.sealed = asyncio.Event()
        self.appends = 0
        self.bytes_written = 0
        self.failing = False
        self._context = context
        self._platform = platform
        self._root_of = root_of
        self._log = context.make_logger("journal")
        self._settings = context.settings.journal
        self._pending: deque[PendingAppend] = deque()
        self._pending_bytes = 0
        self._last_done: asyncio.Future[int] | None = None
        self._number = 0
        self._wake = asyncio.Event()
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Start the task that writes queued records."""
        self._tasks.spawn(self._write_pending())

    async def close(self) -> None:
        """Stop; pending records are not written and their futures fail with JournalSealedError."""
        await self._tasks.close()
        self._fail_pending()

    def append(
        self, records: Iterable[Record], root_of: Callable[[str], str] | None = None
    ) -> asyncio.Future[int]:
        """Queue records; the future resolves to the segment number once they are durable.

        `root_of` maps a program to the root of its tree; needed for programs that are not in
        the owner's table yet. Raises JournalSealedError or JournalFullError if the records
        were not queued.
        """
        queued = list(records)
        find_root = root_of or self._root_of
        size = sum(measure_record(record) for record in queued)
        if self.sealed.is_set():
            raise JournalSealedError(self.incarnation)
        if self._pending_bytes + size > self._settings.pending_bytes:
            raise JournalFullError(f"{self._pending_bytes} bytes wait to be appended")
        roots = {find_root(record.program) for record in queued}
        pending = PendingAppend(queued, size, roots, asyncio.get_running_loop().create_future())
        pending.done.add_done_callback(_retrieve_exception)
        self._pending.append(pending)
        self._last_done = pending.done
        self._pending_bytes += size
        self._wake.set()
        # Cancelling the returned future must not cancel the one that flush waits for.
        shielded = asyncio.shield(pending.done)
        shielded.add_done_callback(_retrieve_exception)
        return shielded

    @property
    def pending_bytes(self) -> int:
        """Total size of the queued records in bytes."""
        return self._pending_bytes

    async def flush(self) -> None:
        """Wait until everything queued so far is durable; raises JournalSealedError."""
        if self._last_done is not None:
            await asyncio.shield(self._last_done)

    async def close_cleanly(self) -> None:
        """Flush and seal the journal, so that a successor can rely on it being complete."""
        await self.flush()
        await self._tasks.close()
        self._number += 1
        batch = Batch(f"closed-{self.incarnation}", [], sealed_by=self.incarnation)
        await self._create(batch.batch, encode_bytes(batch))
        self._fail_pending()

    async def _write_pending(self) -> None:
        interval = 1.0 / self._settings.writes_per_second
        while not self.sealed.is_set():
            if not self._pending:
                self._wake.clear()
                await self._wake.wait()
            started = self._context.clock.monotonic()
            await self._append_next()
            spent = self._context.clock.monotonic() - started
            await self._context.clock.sleep(max(0.0, interval - spent))

    async def _append_next(self) -> None:
        group = self._take_group()
        records = [record for pending in group for record in pending.records]
        self._number += 1
        batch = Batch(f"{self._context.rng.getrandbits(64):016x}", records)
        value = encode_bytes(batch)
        try:
            await self._create(batch.batch, value)
        except JournalSealedError as error:
            self._log.error("journal sealed by another entry", incarnation=self.incarnation)
            self._fail_group(group, error)
            return
        self.appends += 1
        self.bytes_written += len(value)
        roots = set().union(*(pending.roots for pending in group))
        self.segment_index.add(self._number, len(value), roots)
        for pending in group:
            if not pending.done.done():
                pending.done.set_result(self._number)

    def _take_group(self) -> list[PendingAppend]:
        group: list[PendingAppend] = []
        size = 0
        while self._pending and (not group or size + self._pending[0].size <= MAX_SEGMENT_BYTES):
            group.append(self._pending.popleft())
            size += group[-1].size
        self._pending_bytes -= size
        return group

    async def _create(self, batch: str, value: bytes) -> None:
        """Create the segment and confirm that it exists; raises JournalSealedError.

        Retries without limit while the store is unavailable.
        """
        key = segment_key(self.incarnation, self._number)
        while True:
            try:
                await self._platform.create(key, value)
                self.failing = False
                return
            except VersionConflictError:
                if await self._is_own_batch(key, batch):
                    self.failing = False
                    return
                raise JournalSealedError(self.incarnation) from None
            except StoreUnavailableError:
                self.failing = True
                await self._context.clock.sleep(RETRY_SECONDS)

    async def _is_own_batch(self, key: str, batch: str) -> bool:
        while True:
            try:
                found = await self._platform.get(key)
                return decode_bytes(found.value, Batch).batch == batch
            except ObjectMissingError:
                return False
            except StoreUnavailableError:
                self.failing = True
                await self._context.clock.sleep(RETRY_SECONDS)

    def _fail_group(self, group: list[PendingAppend], error: JournalSealedError) -> None:
        self.sealed.set()
        for pending in group:
            if not pending.done.done():
                pending.done.set_exception(error)
        self._fail_pending()

    def _fail_pending(self) -> None:
        self.sealed.set()
        while self._pending:
            pending = self._pending.popleft()
            if not pending.done.done():
                pending.done.set_exception(JournalSealedError(self.incarnation))
        self._pending_bytes = 0

    async def delete_garbage(self, limit: int) -> int:
        """Delete up to `limit` unneeded segments; returns the number deleted."""
        numbers = self.segment_index.list_deletable()[:limit]
        for number in numbers:
            try:
                await self._platform.delete(segment_key(self.incarnation, number))
            except ObjectMissingError:
                pass
            except StoreUnavailableError:
                return 0
            self.segment_index.record_deleted(number)
        return len(numbers)


def _retrieve_exception(done: asyncio.Future[int]) -> None:
    """Retrieve the exception, so that asyncio does not log it as never retrieved."""
    if not done.cancelled():
        done.exception()

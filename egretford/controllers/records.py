"""Appends an owner's records to its journal and applies them to its program table."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from functools import partial

from egretford.clock import Clock
from egretford.controllers.journal import JournalWriter
from egretford.errors import (
    ErrorKind,
    JournalFullError,
    JournalSealedError,
    RequestError,
    Verdict,
)
from egretford.filters.chain import CallJob
from egretford.policy.program import Program, ProgramTable
from egretford.policy.records import Record

STORE_RETRY_SECONDS = 2.0


class RecordWriter:
    """Keeps a program table consistent with its journal; journal errors become RequestError."""

    def __init__(
        self, journal: JournalWriter, table: ProgramTable, clock: Clock, durable_wait: float
    ) -> None:
        self._journal = journal
        self._table = table
        self._clock = clock
        self._durable_wait = durable_wait

    async def settle(self, program: Program, records: list[Record]) -> None:
        """Append and apply a settled call; a raised ceiling is applied only once it is durable.

        Returns when the records are durable, or after the durable wait of the settings. The
        program lists the call as volatile until they are durable. Raises RequestError.
        """
        done = self.append(records)
        self._table.apply(records[0])
        program.volatile.add(program.last_call)
        done.add_done_callback(partial(self._on_durable, program, records))
        await self.wait(done)

    def _on_durable(
        self, program: Program, records: list[Record], done: asyncio.Future[int]
    ) -> None:
        if done.cancelled() or done.exception() is not None:
            return
        program.volatile.discard(records[0].call)
        for record in records[1:]:
            self._table.apply(record)

    def append(
        self, records: Iterable[Record], root_of: Callable[[str], str] | None = None
    ) -> asyncio.Future[int]:
        """Append records; raises RequestError if the journal is full or sealed."""
        try:
            return self._journal.append(records, root_of)
        except JournalFullError as error:
            raise RequestError(
                ErrorKind.STORE_UNAVAILABLE,
                f"the store is out and the journal's buffer is full: {error}",
                retry_after_seconds=STORE_RETRY_SECONDS,
            ) from error
        except JournalSealedError as error:
            raise _build_moved_error() from error

    async def wait(self, done: asyncio.Future[int], seconds: float | None = None) -> bool:
        """Wait for durability, False on timeout; raises RequestError if the journal was sealed."""
        try:
            async with asyncio.timeout(
                self._durable_wait if seconds is None else max(0.0, seconds)
            ):
                await asyncio.shield(done)
            return True
        except TimeoutError:
            return False
        except JournalSealedError as error:
            raise _build_moved_error() from error

    async def wait_pending(self) -> bool:
        """Wait until all records appended so far are durable; False on timeout or if sealed."""
        try:
            async with asyncio.timeout(self._durable_wait):
                await self._journal.flush()
        except (TimeoutError, JournalSealedError):
            return False
        return not self._journal.sealed.is_set()

    async def make_durable(self, job: CallJob, records: list[Record]) -> None:
        """Append records and apply them once they are durable; see JobJournal."""
        done = self.append(records)
        if not await self.wait(done, job.deadline - self._clock.monotonic()):
            raise job.build_error(
                ErrorKind.STORE_UNAVAILABLE,
                "the store is out; what this call needs to record could not be kept in time",
                STORE_RETRY_SECONDS,
            )
        for record in records:
            self._table.apply(record)

    def apply_now(self, records: list[Record]) -> None:
        """Append records and apply them without waiting for durability; see JobJournal."""
        self.append(records)
        for record in records:
            self._table.apply(record)


def _build_moved_error() -> RequestError:
    return RequestError(
        ErrorKind.OWNER_UNREACHABLE,
        "the program has moved to another entry; send the call again",
        verdict=Verdict.MAY_HAVE_RUN,
    )

"""Records of an owner: appended to its journal, folded into its table."""

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


class RecordKeeper:
    """Keeps a table and its journal in step; answers in terms of requests' errors."""

    def __init__(
        self, journal: JournalWriter, table: ProgramTable, clock: Clock, durable_wait: float
    ) -> None:
        self._journal = journal
        self._table = table
        self._clock = clock
        self._durable_wait = durable_wait

    async def settle(self, program: Program, records: list[Record]) -> None:
        """Append and fold a settled call; ceilings are folded only once they are durable.

        Returns when the call is durable, or after a while without: until it is, the
        program counts it as volatile.
        """
        done = self.append(records)
        self._table.apply(records[0])
        program.volatile.add(program.last_call)
        done.add_done_callback(partial(self._note_durable, program, records))
        await self.wait(done)

    def _note_durable(
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
        """Append records; raises RequestError when the journal does not take them."""
        try:
            return self._journal.append(records, root_of)
        except JournalFullError as error:
            raise RequestError(
                ErrorKind.STORE_UNAVAILABLE,
                f"the store is out and the journal's buffer is full: {error}",
                retry_after_seconds=STORE_RETRY_SECONDS,
            ) from error
        except JournalSealedError as error:
            raise _report_move() from error

    async def wait(self, done: asyncio.Future[int], seconds: float | None = None) -> bool:
        """Wait for durability; raises RequestError if the journal was sealed."""
        try:
            async with asyncio.timeout(
                self._durable_wait if seconds is None else max(0.0, seconds)
            ):
                await asyncio.shield(done)
            return True
        except TimeoutError:
            return False
        except JournalSealedError as error:
            raise _report_move() from error

    async def wait_pending(self) -> bool:
        """Wait until all that was appended so far is durable; False if it is not in time."""
        try:
            async with asyncio.timeout(self._durable_wait):
                await self._journal.flush()
        except (TimeoutError, JournalSealedError):
            return False
        return not self._journal.sealed.is_set()

    async def make_durable(self, job: CallJob, records: list[Record]) -> None:
        """Append records and fold them once they are durable; see JobJournal."""
        done = self.append(records)
        if not await self.wait(done, job.deadline - self._clock.monotonic()):
            raise job.refuse(
                ErrorKind.STORE_UNAVAILABLE,
                "the store is out; what this call needs to record could not be kept in time",
                STORE_RETRY_SECONDS,
            )
        for record in records:
            self._table.apply(record)

    def note(self, records: list[Record]) -> None:
        """Fold records now and append them without waiting; see JobJournal."""
        self.append(records)
        for record in records:
            self._table.apply(record)


def _report_move() -> RequestError:
    return RequestError(
        ErrorKind.OWNER_UNREACHABLE,
        "the program has moved to another entry; send the call again",
        verdict=Verdict.MAY_HAVE_RUN,
    )

"""The software version that began a stream, recorded at the keepers for attempts to resume it."""

from __future__ import annotations

import asyncio
from typing import Any

from attrs import define

from egretford.entry.keepers import KeeperClient, KeepersUnavailableError
from egretford.entry.models import CallerRequest, Route, Worker
from egretford.entry.workers import WorkerTable
from egretford.errors import ErrorKind, RequestError
from egretford.keeper.messages import Reserve, Reserved
from egretford.policy.ledger import UNKNOWN_VERSION, Charge, StreamOrigin, merge_ledgers
from egretford.timeouts import ReplyTimeout

# Prefix of the keys of streams' records, which keeps them apart from programs.
STREAM_PREFIX = "stream/"
# Timeout, in seconds, of reading the record of a stream that is resumed.
READ_TIMEOUT_SECONDS = 0.5
# Seconds that a stream's first event waits for its record. Keepers take some tens of milliseconds
# from another region, and workers as long to produce the event.
WRITE_TIMEOUT_SECONDS = 0.5


# Time after a stream has broken off within which its caller resumes it, in seconds.
BREAK_SECONDS = 1.0


class StreamOrigins:
    """Reads and writes the records of streams' origins through the keepers."""

    def __init__(self, keepers: KeeperClient, workers: WorkerTable, log: Any) -> None:
        self._keepers = keepers
        self._workers = workers
        self._log = log

    async def open(self, request: CallerRequest, route: Route, upstream: str) -> Stream:
        """Return the stream that a request begins or resumes.

        Raises RequestError if it is not certain which software version began a resumed one.
        """
        stream = Stream(self, request.stream_id, upstream)
        if not request.resumes:
            return stream
        origin = await self._read(request.resumed_request) if request.resumed_request else None
        versions = self._workers.list_known_versions(upstream)
        recorded = origin is not None
        known_seconds = self._workers.measure_known_seconds()
        may_be_older = known_seconds < route.timeout + BREAK_SECONDS
        if origin is None and len(versions) == 1 and not may_be_older:
            # Whichever worker began it, it was of this version.
            origin = StreamOrigin(0, upstream, *versions)
            if request.resumed_request:
                # Later attempts may reach entries that know other versions only.
                write = self.start_write(request.resumed_request, origin)
                await asyncio.wait([write], timeout=WRITE_TIMEOUT_SECONDS)
        allowed = origin is not None and origin.is_known
        allowed = allowed and origin.upstream in {t.upstream for t in route.targets}
        self._log.info(
            "a stream is resumed" if allowed else "cannot tell where a stream may be resumed",
            request=request.id,
            resumes=request.resumed_request,
            recorded=recorded,
            upstream=origin.upstream if origin else None,
            version=origin.version if origin else None,
            known_versions=sorted(versions),
            known_s=round(known_seconds, 2),
        )
        if not allowed:
            raise RequestError(ErrorKind.OVERLOADED, "it is not known where the stream began")
        stream.upstream, stream.origin, stream.is_fixed = origin.upstream, origin, True
        return stream

    async def _read(self, stream_id: str) -> StreamOrigin | None:
        """Return the recorded origin of a stream, or None if a quorum knows or answers nothing."""
        try:
            async with ReplyTimeout(READ_TIMEOUT_SECONDS):
                return await self._merge(stream_id, None)
        except (KeepersUnavailableError, TimeoutError) as error:
            self._log.info(
                "the origin of a stream cannot be read", stream=stream_id, error=str(error)
            )
            return None

    async def write(self, stream_id: str, origin: StreamOrigin) -> bool:
        """Record an origin; returns whether a quorum has it on disk."""
        try:
            await self._merge(stream_id, origin)
        except KeepersUnavailableError as error:
            self._log.info(
                "the origin of a stream is not recorded", stream=stream_id, error=str(error)
            )
            return False
        return True

    async def _merge(self, stream_id: str, origin: StreamOrigin | None) -> StreamOrigin | None:
        """Merge an origin into a stream's record, and return the result."""
        charge = Charge(STREAM_PREFIX + stream_id, "", 0, origin=origin)
        # Callers resume streams just after connections were reset, those to keepers included.
        quorum_request = await self._keepers.request_quorum(
            charge.program,
            lambda member: Reserve(charge, None, with_chain=False),
            Reserved,
            fail_fast=origin is not None,
        )
        ledger = merge_ledgers(reply.charges.unpack() for reply in quorum_request.replies.values())
        return ledger.charges[charge.request].origin

    def start_write(self, stream_id: str, origin: StreamOrigin) -> asyncio.Task[bool]:
        """Record an origin in the background."""
        return self._keepers.run_in_background(self.write(stream_id, origin))

    def log_unrecorded(self, stream_id: str, origin: StreamOrigin) -> None:
        """Log that a stream begins before its origin is recorded."""
        self._log.info(
            "a stream begins without a record of its origin",
            stream=stream_id,
            version=origin.version,
        )


@define
class Stream:
    """A resumable stream and its origin, which is fixed once the caller may have an event."""

    _origins: StreamOrigins
    id: str
    upstream: str
    origin: StreamOrigin | None = None
    is_fixed: bool = False
    _write: asyncio.Task[bool] | None = None

    def allows(self, worker: Worker) -> bool:
        """Whether a worker's software version may continue the stream."""
        return not self.is_fixed or worker.software_version == self.origin.version

    @property
    def can_continue(self) -> bool:
        """Whether any worker may continue the stream."""
        return not self.is_fixed or self.origin.is_known

    def begin(self, worker: Worker, *, is_process_known: bool) -> None:
        """Start to record the version of the worker that gets the request, unless it is fixed."""
        version = worker.software_version if is_process_known else UNKNOWN_VERSION
        if not self.is_fixed and (self.origin is None or self.origin.version != version):
            revision = 0 if self.origin is None else self.origin.revision + 1
            self.origin = StreamOrigin(revision, self.upstream, version)
            self._write = self._origins.start_write(self.id, self.origin)

    async def fix(self) -> bool:
        """Fix the version before the first event; returns whether the event may be delivered.

        A stream may begin without a record, as nobody reads a wrong one then. That does not hold
        where another version was recorded before, or where the process may be another than listed.
        """
        if self.is_fixed:
            return True
        await asyncio.wait([self._write], timeout=WRITE_TIMEOUT_SECONDS)
        if not (self._write.done() and not self._write.cancelled() and self._write.result()):
            if self.origin.revision or not self.origin.is_known:
                return False
            self._origins.log_unrecorded(self.id, self.origin)
        self.is_fixed = True
        return True

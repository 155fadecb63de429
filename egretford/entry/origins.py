"""The origins of streams, recorded at the keepers for attempts to resume them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from attrs import define

from egretford.entry.keepers import KeeperClient, KeepersUnavailableError, QuorumRequest
from egretford.entry.models import CallerRequest, Route, Worker
from egretford.entry.workers import WorkerTable
from egretford.errors import ErrorKind, RequestError
from egretford.keeper.messages import FindAttempts, FoundAttempts, Keep, Kept
from egretford.policy.ledger import UNKNOWN_VERSION, Charge, StreamOrigin
from egretford.policy.routes import choose_upstream
from egretford.policy.streams import (
    SPREAD_SECONDS,
    AttemptRecord,
    find_origins,
    get_split_key,
    get_stream_seconds,
    make_stream_key,
)
from egretford.timeouts import ReplyTimeout

# Prefix of the keys of streams' records, which keeps them apart from programs.
STREAM_PREFIX = "stream/"
# Age, in seconds, up to which records are read if none is as young as those of streams that are
# usually resumed; keepers hold them as long.
RECORD_SECONDS = 60.0
# Timeout, in seconds, of reading the records of a stream that is resumed.
READ_TIMEOUT_SECONDS = 0.5
# Seconds that a stream's first event waits for its record. Keepers take some tens of milliseconds
# from another region, and workers as long to produce the event.
WRITE_TIMEOUT_SECONDS = 0.5


class StreamOrigins:
    """Reads and writes the records of streams' origins through the keepers."""

    def __init__(self, keepers: KeeperClient, workers: WorkerTable, log: Any) -> None:
        self._keepers = keepers
        self._workers = workers
        self._log = log

    async def open(
        self,
        request: CallerRequest,
        route: Route,
        upstream: str,
        former_routes: Sequence[Route] = (),
    ) -> Stream:
        """Return the stream that a request begins or resumes.

        `former_routes` are those that the request may have had when the stream began. Raises
        RequestError if it is not certain where a resumed stream began.
        """
        routes = [route, *former_routes]
        program = STREAM_PREFIX + make_stream_key(request)

        def is_only_origin() -> bool:
            keyed = {choose_upstream(r, get_split_key(request, r)) for r in routes}
            return len(self._list_possible(keyed, routes)) <= 1

        seconds = get_stream_seconds(routes)
        stream = Stream(self, program, request.id, upstream, seconds, is_only_origin)
        if request.resumes:
            origin = await self._find_origin(request, routes, program)
            stream.upstream, stream.origin, stream.is_fixed = origin.upstream, origin, True
        return stream

    def _list_possible(self, upstreams: set[str], routes: list[Route]) -> set[StreamOrigin]:
        """Return all origins that streams at these upstreams may have, as this entry knows."""
        seconds = get_stream_seconds(routes) + SPREAD_SECONDS
        return {
            StreamOrigin(0, upstream, version)
            for upstream in upstreams
            for version in self._workers.list_recent_versions(upstream, seconds)
        }

    async def _find_origin(
        self, request: CallerRequest, routes: list[Route], program: str
    ) -> StreamOrigin:
        """Return the only origin that a resumed stream can have; raises RequestError if unknown."""
        seconds = get_stream_seconds(routes)
        records, are_all = await self._read(program, seconds + SPREAD_SECONDS)
        recorded = find_origins(records, seconds + READ_TIMEOUT_SECONDS)
        if not recorded:
            # Its caller may have been refused for longer than it was expected to ask.
            records, are_all = await self._read(program, RECORD_SECONDS)
            recorded = find_origins(records, seconds + READ_TIMEOUT_SECONDS)
        possible = self._list_possible(_list_upstreams(request, routes), routes)
        known_seconds = self._workers.measure_known_seconds()
        found = recorded if are_all else recorded | possible
        if not recorded:
            # Only entries of the last build begin streams of which no keeper knows; this entry
            # knows where if it is old enough.
            found = possible if known_seconds >= seconds else set()
        origin = next(iter(found)) if len(found) == 1 else None
        allowed = origin is not None and origin.is_known
        allowed = allowed and origin.upstream in {
            target.upstream for target in routes[0].targets if target.weight > 0
        }
        self._log.info(
            "a stream is resumed" if allowed else "cannot tell where a stream may be resumed",
            request=request.id,
            stream=program,
            after=request.resume_after,
            upstream=origin.upstream if origin else None,
            version=origin.version if origin else None,
            attempts=[
                f"{r.charge.request}: {r.charge.origin.upstream} {r.charge.origin.version}"
                f" {r.age:.2f} s{' ended' if r.charge.settled else ''}"
                for r in records
            ],
            possible=sorted(f"{other.upstream} {other.version}" for other in possible),
            known_s=round(known_seconds, 2),
        )
        if not allowed:
            raise RequestError(ErrorKind.OVERLOADED, "it is not known where the stream began")
        return origin

    async def _read(self, program: str, seconds: float) -> tuple[list[AttemptRecord], bool]:
        """Return the attempts at a stream in the last `seconds`, and whether these are all.

        Raises RequestError if no quorum answers that was there all that time: the stream, or
        another one of equal content, may have begun without a record.
        """
        try:
            async with ReplyTimeout(READ_TIMEOUT_SECONDS):
                # Callers resume streams just after connections were reset, those to keepers
                # included.
                quorum_request = await self._keepers.request_quorum(
                    program,
                    FindAttempts(program, seconds),
                    FoundAttempts,
                    fail_fast=False,
                )
                witnesses = await _wait_for_witnesses(quorum_request)
        except (KeepersUnavailableError, TimeoutError) as error:
            self._log.info(
                "the origin of a stream cannot be read",
                stream=program,
                within_s=seconds,
                error=str(error),
            )
            message = "it cannot be read where the stream began"
            raise RequestError(ErrorKind.STORE_UNAVAILABLE, message) from error
        replies = quorum_request.replies.values()
        records = [
            AttemptRecord(charge, age)
            for reply in replies
            for charge, age in zip(reply.attempts.unpack(), reply.ages, strict=True)
        ]
        return records, not any(reply.more for reply in witnesses)

    async def write(self, charge: Charge) -> bool:
        """Record an attempt; returns whether a quorum has it on disk."""
        try:
            # It is tried too if keepers failed shortly before, as when connections were reset.
            await self._keepers.request_quorum(
                charge.program, Keep(charge, None), Kept, fail_fast=False
            )
        except KeepersUnavailableError as error:
            self._log.info(
                "the origin of a stream is not recorded",
                request=charge.request,
                stream=charge.program,
                error=str(error),
            )
            return False
        return True

    def start_task(self, coroutine: Coroutine[Any, Any, bool]) -> asyncio.Task[bool]:
        """Run what concerns a record in the background."""
        return self._keepers.run_in_background(coroutine)

    def expects_record(self, program: str) -> bool:
        """Whether a record is likely to be written, as no quorum failed shortly before."""
        return self._keepers.has_available_quorum(program)

    async def may_begin_unrecorded(self, charge: Charge, seconds: float) -> bool:
        """Whether a stream may begin without a record, which could be resumed for `seconds`.

        So it may where keepers will say that they were down then, so that nobody resumes it. For
        entries of the last build, which do, this entry has to know all that was there lately.
        """
        known_seconds = self._workers.measure_known_seconds()
        allowed = known_seconds >= seconds
        if allowed:
            try:
                async with ReplyTimeout(READ_TIMEOUT_SECONDS):
                    allowed = await self._keepers.proves_no_quorum(charge.program, seconds)
            except TimeoutError:
                allowed = False
        self._log.info(
            "a stream begins without a record" if allowed else "a stream needs a record to begin",
            request=charge.request,
            stream=charge.program,
            upstream=charge.origin.upstream,
            version=charge.origin.version,
            known_s=round(known_seconds, 2),
        )
        return allowed


async def _wait_for_witnesses(quorum_request: QuorumRequest) -> list[FoundAttempts]:
    """Return the replies of a quorum of keepers that were there for the time they were asked for.

    Raises KeepersUnavailableError if there is none.
    """
    quorum_request.ask_all()
    while True:
        witnesses = [reply for reply in quorum_request.replies.values() if reply.was_there]
        if len(witnesses) >= quorum_request.needed:
            return witnesses
        if not quorum_request.pending:
            raise KeepersUnavailableError("too few keepers were there all the time")
        await asyncio.wait(quorum_request.pending, return_when=asyncio.FIRST_COMPLETED)


def _list_upstreams(request: CallerRequest, routes: list[Route]) -> set[str]:
    """Return all upstreams at which a stream without a record may have begun.

    Without a session, entries of other versions of this program choose it by other keys.
    """
    if request.session:
        return {choose_upstream(route, request.session) for route in routes}
    return {target.upstream for route in routes for target in route.targets if target.weight > 0}


@define
class Stream:
    """An attempt at a stream that may be resumed, and the stream's origin.

    The origin is fixed once the caller may have an event. `_is_only_origin` tells whether any other
    attempt at the stream would have the same. It may be resumed for `_seconds`.
    """

    _origins: StreamOrigins
    _program: str
    _attempt: str
    upstream: str
    _seconds: float
    _is_only_origin: Callable[[], bool]
    origin: StreamOrigin | None = None
    is_fixed: bool = False
    _permission: asyncio.Task[bool] | None = None
    _may_deliver: bool = False

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
            self._permission = None
        if self._permission is None:
            self._permission = self._origins.start_task(self._permit())

    async def may_be_sent(self) -> bool:
        """Whether the worker for which it began may get the request.

        While keepers fail, this waits until it is known whether the stream may begin, as the worker
        might run it for nothing.
        """
        if self._may_deliver or self._origins.expects_record(self._program):
            return True
        return await self._wait_for_permission()

    def _make_record(self, *, settled: bool = False) -> Charge:
        return Charge(self._program, self._attempt, 0, settled, self.origin)

    async def _permit(self) -> bool:
        """Record the origin; returns whether the stream may begin, with the record or without."""
        record = self._make_record()
        if await self._origins.write(record):
            return True
        if record.origin.revision or not record.origin.is_known or not self._is_only_origin():
            return False
        return await self._origins.may_begin_unrecorded(record, self._seconds)

    async def _wait_for_permission(self) -> bool:
        task = self._permission
        await asyncio.wait([task], timeout=WRITE_TIMEOUT_SECONDS)
        return task.done() and not task.cancelled() and task.result()

    async def fix(self) -> bool:
        """Fix the origin before the first event; returns whether the event may be delivered."""
        if not self._may_deliver and await self._wait_for_permission():
            self._may_deliver = self.is_fixed = True
        return self._may_deliver

    def record_no_event(self) -> None:
        """Record in the background that the attempt has ended before its caller got an event."""
        if self._permission is not None:
            self._origins.start_task(self._origins.write(self._make_record(settled=True)))

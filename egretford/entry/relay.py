"""Relays a worker's response, a body or a stream of events, to the caller."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from attrs import define

from egretford.clock import Clock
from egretford.entry.events import EventError, EventSplitter, StreamEvent
from egretford.entry.jobs import ForwardingJob
from egretford.entry.models import WorkerReply
from egretford.entry.processes import WorkerProcesses
from egretford.entry.workers import TrackedWorker
from egretford.errors import ErrorKind, UpstreamLostError
from egretford.http.bodies import BodyBudget, read_body
from egretford.http.client import BodyEnd, BodyPart, ClientConnection
from egretford.http.messages import Headers
from egretford.timeouts import ReplyTimeout

# Timeout, in seconds, of a repeatable call's response head, and again of its body, after which the
# call is sent to another worker. The slowest takes some tens of milliseconds on an idle worker.
SAFE_READ_TIMEOUT_SECONDS = 0.3
# Time, in seconds, to prove that a repeatable call's unframed body is whole, after which the call
# is sent to another worker.
SAFE_PROOF_TIMEOUT_SECONDS = 0.5
# Limit on a buffered response, and on the bodies of stale responses skipped before it, in
# bytes of memory; workers send some kilobytes.
MAX_ANSWER_BYTES = 8_388_608


def get_read_timeout(job: ForwardingJob) -> float | None:
    """Return the read timeout of a call that may be repeated at another worker, in seconds."""
    if job.route.repeatable and job.history.may_add_worker:
        return SAFE_READ_TIMEOUT_SECONDS
    return None


def _names_same_type(job: ForwardingJob, reply: WorkerReply) -> bool:
    """Whether a response names the media type that the stream had when it began."""
    return job.media_type in (None, reply.media_type)


@define
class _Silence:
    """The time since the last event of a stream; `started_at` in monotonic seconds."""

    started_at: float
    _has_last_read: bool = False

    def start_last_read(self) -> None:
        """Allow one read after the limit: if this process stood still, an event may have arrived.

        Raises TimeoutError the next time, as bytes that complete no event end no silence.
        """
        if self._has_last_read:
            raise TimeoutError
        self._has_last_read = True


class ResponseRelay:
    """Relays bodies and events; `list_candidates` returns the workers that may take over."""

    def __init__(
        self,
        list_candidates: Callable[[ForwardingJob], list[TrackedWorker]],
        processes: WorkerProcesses,
        bodies: BodyBudget,
        clock: Clock,
        log: Any,
    ) -> None:
        self._list_candidates = list_candidates
        self._processes = processes
        self._bodies = bodies
        self._clock = clock
        self._log = log

    async def relay_body(
        self,
        job: ForwardingJob,
        tracked: TrackedWorker,
        connection: ClientConnection,
        reply: WorkerReply,
    ) -> None:
        """Relay a complete body; raises UpstreamLostError if the call may be repeated."""
        try:
            async with ReplyTimeout(get_read_timeout(job)):
                body = await read_body(connection, MAX_ANSWER_BYTES, budget=self._bodies)
        except TimeoutError as error:
            raise UpstreamLostError("no whole body in time", crashed=False, silent=True) from error
        if connection.ended_unframed:
            can_move = get_read_timeout(job) is not None
            await self._check_end(job, tracked, SAFE_PROOF_TIMEOUT_SECONDS if can_move else None)
        failed_by_worker = reply.status >= 500
        if failed_by_worker and job.route.repeatable and job.history.may_add_worker:
            raise UpstreamLostError(f"status {reply.status}", crashed=False)
        job.responder.send_response(reply.status, Headers(list(reply.fields)), body)

    async def relay_events(
        self,
        job: ForwardingJob,
        tracked: TrackedWorker,
        connection: ClientConnection,
        reply: WorkerReply,
    ) -> bytes:
        """Relay all events; returns the bytes after the last one, such as a line break.

        Raises UpstreamLostError if the run is not whole: its events do not follow the ones before
        by their numbers, it has other bytes than events, or its end is missing.
        """
        after = job.sequence.last
        try:
            return await self._relay_run(job, tracked, connection, reply)
        finally:
            self._log.info(
                "relayed a run of events",
                request=job.request.id,
                worker=tracked.worker.id,
                after=after,
                last=job.sequence.last,
                unframed=connection.ended_unframed,
            )

    async def _relay_run(
        self,
        job: ForwardingJob,
        tracked: TrackedWorker,
        connection: ClientConnection,
        reply: WorkerReply,
    ) -> bytes:
        splitter = EventSplitter()
        events_before = job.events
        silence = _Silence(self._clock.monotonic())
        while not isinstance(
            part := await self._read_stream_part(job, tracked, connection, silence), BodyEnd
        ):
            try:
                events = splitter.feed(part.data)
            except EventError as error:
                # It may have taken as long as a silence, so the next connection gets no more time.
                job.history.record_idle_timeout()
                raise UpstreamLostError(str(error), crashed=False) from error
            for event in events:
                await self._relay_event(job, reply, event)
            if events:
                silence = _Silence(self._clock.monotonic())
        if splitter.has_partial_event:
            raise UpstreamLostError("the stream ended inside an event", crashed=True)
        is_rest = part.is_framed and job.sequence.last and _names_same_type(job, reply)
        if job.events == events_before and not is_rest:
            # Only the rest of a stream may be empty, and unframed not even that: a worker that was
            # lost after its head looks the same.
            crashed = not part.is_framed
            raise UpstreamLostError("the response ended before an event", crashed=crashed)
        if not part.is_framed:
            limit = job.history.idle_timeout if job.route.resumable else None
            await self._check_end(job, tracked, limit)
        return splitter.take_trailing()

    async def _check_end(
        self, job: ForwardingJob, tracked: TrackedWorker, timeout: float | None
    ) -> None:
        """Check that the end of a connection was the end of a response, not of its worker.

        Raises UpstreamLostError if the worker's process has ended, or if that is not known after
        `timeout` seconds.
        """
        try:
            async with ReplyTimeout(timeout):
                goes_on = await self._processes.has_outlived(job, tracked)
        except TimeoutError as error:
            message = "no proof of a whole response"
            raise UpstreamLostError(message, crashed=False, silent=True) from error
        if not goes_on:
            message = "the worker's process ended with the response"
            raise UpstreamLostError(message, crashed=not tracked.state.leaving)

    async def finish_stream(self, job: ForwardingJob, reply: WorkerReply, trailing: bytes) -> None:
        """End the stream once `before_end` allows it, after the bytes that follow its events."""
        if job.before_end is not None:
            await job.before_end()
        self._start_stream(job, reply)
        if trailing:
            await job.responder.write(trailing)
        job.responder.finish_stream()

    async def _read_stream_part(
        self,
        job: ForwardingJob,
        tracked: TrackedWorker,
        connection: ClientConnection,
        silence: _Silence,
    ) -> BodyPart | BodyEnd:
        """Return the next part of the body; a resumable stream has a limit on silence.

        The limit counts from the response head or the last complete event, so other bytes do not
        extend it. Once it is reached, raises UpstreamLostError if the request may be continued
        on a new connection, and otherwise waits without a limit until the next event.
        """
        limit = None
        if job.route.resumable and job.tolerated_silence_start != silence.started_at:
            limit = silence.started_at + job.history.idle_timeout - self._clock.monotonic()
        try:
            if limit is not None and limit <= 0:
                silence.start_last_read()
            async with ReplyTimeout(limit):
                return await connection.read()
        except TimeoutError as error:
            worker = tracked.worker.id
            others = any(t is not tracked for t in self._list_candidates(job))
            if job.history.may_retry(worker, leaving=tracked.state.leaving, others=others):
                job.history.record_idle_timeout()
                message = "the stream went silent"
                raise UpstreamLostError(message, crashed=False, silent=True) from error
        job.tolerated_silence_start = silence.started_at
        self._log.info(
            "a silent worker cannot be replaced; waiting", request=job.request.id, worker=worker
        )
        return await connection.read()

    async def _relay_event(
        self, job: ForwardingJob, reply: WorkerReply, event: StreamEvent
    ) -> None:
        if (fault := job.sequence.find_fault(event.number)) is not None:
            raise UpstreamLostError(fault, crashed=False)
        if job.stream is not None and not await job.stream.fix():
            message = "the stream's version could not be recorded"
            raise job.refuse(ErrorKind.STORE_UNAVAILABLE, message)
        if job.before_end is not None:
            job.output += event.data + b"\n"
            if len(job.output) > MAX_ANSWER_BYTES:
                raise job.refuse(ErrorKind.UPSTREAM_FAILED, "a stream too long to be kept")
        self._start_stream(job, reply)
        job.events += 1
        job.sequence.add(event.number)
        await job.responder.write(event.raw)

    def _start_stream(self, job: ForwardingJob, reply: WorkerReply) -> None:
        if not job.responder.started:
            job.media_type = reply.media_type
            job.responder.start_stream(reply.status, Headers(list(reply.fields)))

"""Forwards a request to a worker, retries it where allowed, and relays the response."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from egretford.clock import Clock
from egretford.entry.choice import choose_worker
from egretford.entry.dialing import shows_end
from egretford.entry.jobs import ForwardingJob
from egretford.entry.models import RouteKind, WorkerReply
from egretford.entry.processes import WorkerProcesses
from egretford.entry.relay import MAX_ANSWER_BYTES, ResponseRelay, get_read_timeout
from egretford.entry.replies import read_own_head
from egretford.entry.workers import TrackedWorker, WorkerTable
from egretford.errors import (
    ErrorKind,
    UpstreamLostError,
    UpstreamRefusedError,
    UpstreamUnreachableError,
)
from egretford.http.bodies import BodyBudget
from egretford.http.client import (
    BrokenResponseError,
    ClientConnection,
    ConnectError,
    ResponseTooLargeError,
)
from egretford.platform.wire import decode_reply, encode_request
from egretford.policy.crashes import LossKind
from egretford.policy.placement import Placement
from egretford.timeouts import ReplyTimeout

# Longest idle time, in seconds, of a pooled connection that is reused. An idle connection may
# be dead, so calls that cannot be retried only reuse recently used ones.
UNSAFE_MAX_IDLE_SECONDS = 0.5
MAX_IDLE_SECONDS = 10.0
# Worker refusals after which a request is refused or, if its response has started, waits to retry.
MAX_REFUSALS = 4
# Least time before the deadline, in seconds, that leaves a worker a chance to answer.
MIN_ATTEMPT_SECONDS = 0.02
# Least silence, in seconds, after which a worker may have crashed when its attempt is given up.
MIN_SILENCE_SECONDS = 0.25
# Media type of streams, which workers need not name.
EVENT_STREAM = "text/event-stream"
# Limit on all responses that are being buffered, in bytes.
MAX_BUFFERED_BYTES = 16_777_216


class Forwarder:
    """Selects workers, runs attempts and relays responses to callers."""

    def __init__(
        self, workers: WorkerTable, placement: Placement, region: str, clock: Clock, log: Any
    ) -> None:
        self._workers = workers
        self._placement = placement
        self._region = region
        self._clock = clock
        self._log = log
        self._processes = WorkerProcesses(workers, clock, log)
        self._bodies = BodyBudget(MAX_BUFFERED_BYTES)
        self._relay = ResponseRelay(
            self._list_candidates, self._processes, self._bodies, clock, log
        )

    @property
    def processes(self) -> WorkerProcesses:
        """Tells the processes of workers apart."""
        return self._processes

    async def run(self, job: ForwardingJob) -> None:
        """Relay a worker's response to the caller.

        Raises RequestError, with the verdict of the attempts so far, if no response could be
        relayed completely.
        """
        try:
            async with asyncio.timeout(job.deadline - self._clock.monotonic()):
                await self._run_attempts(job)
        except TimeoutError:
            raise job.refuse(ErrorKind.TIMEOUT, "no answer within the time that was left") from None

    async def _run_attempts(self, job: ForwardingJob) -> None:
        while True:
            if job.lost_attempts and job.is_blocked():
                raise job.refuse(ErrorKind.QUARANTINED, "such a request crashed several workers")
            tracked = self._find_retry_worker(job) or self._choose(job)
            if tracked is None:
                await self._wait_before_retry(job)
                continue
            try:
                await self._attempt(job, tracked)
                return
            except UpstreamUnreachableError as error:
                self._handle_unreachable(job, tracked, error)
            except UpstreamRefusedError as error:
                self._handle_refusal(job, tracked, error)
            except UpstreamLostError as error:
                self._handle_lost_attempt(job, tracked, error)

    def _find_retry_worker(self, job: ForwardingJob) -> TrackedWorker | None:
        """Return the worker to retry, or None if a process of another version has its id now."""
        if job.retry_worker is None:
            return None
        job.retry_worker = self._workers.get_current(job.retry_worker)
        worker = job.retry_worker.worker
        if job.stream is not None and not job.stream.allows(worker):
            self._log.info(
                "a worker started again with another version",
                request=job.request.id,
                worker=worker.id,
                version=worker.software_version,
            )
            job.history.record_unavailable(worker.id)
            job.excluded.add(worker.id)
            job.retry_worker = None
        return job.retry_worker

    def _list_candidates(self, job: ForwardingJob) -> list[TrackedWorker]:
        allows = None if job.stream is None else job.stream.allows
        usable = self._workers.list_usable(job.upstream, allows)
        skipped = job.excluded | job.refused_by
        candidates = [t for t in usable if t.worker.id not in skipped]
        if job.responder.started:
            return [t for t in candidates if job.history.may_send(t.worker.id)]
        return candidates

    async def _wait_before_retry(self, job: ForwardingJob) -> None:
        """Back off after workers refused to continue a response that has started."""
        seconds = job.history.next_backoff()
        self._log.info(
            "backing off before continuing a response",
            request=job.request.id,
            wait_s=seconds,
            refused_by=sorted(job.refused_by),
        )
        await self._clock.sleep(seconds)
        job.refused_by.clear()
        job.retry_worker, job.only_worker = job.only_worker, None
        if (next_worker := job.retry_worker) is not None:
            leaving = next_worker.state.leaving
            if not job.history.may_retry(next_worker.worker.id, leaving=leaving, others=False):
                raise job.refuse(ErrorKind.OVERLOADED, "the only worker allowed takes no more")

    def _choose(self, job: ForwardingJob) -> TrackedWorker | None:
        """Return a worker, None if a started response must wait for one, or raise RequestError."""
        candidates = self._list_candidates(job)
        if job.responder.started and (not candidates or len(job.refused_by) >= MAX_REFUSALS):
            return None
        if not candidates:
            raise job.refuse(ErrorKind.OVERLOADED, f"no worker of {job.upstream} takes the request")
        chosen, inputs = choose_worker(job.request, candidates, self._placement, self._region)
        request = job.request
        self._log.info(
            "chose a worker",
            request=request.id,
            worker=chosen.worker.id,
            version=chosen.worker.software_version,
            resume_after=request.resume_after,
            candidates=len(candidates),
            running=round(chosen.state.running, 1),
            cached=inputs.cached.get(chosen.worker.id, 0),
            prompt=request.prompt_tokens,
            load_age_s=chosen.measure_load_age(self._clock.monotonic()),
        )
        return chosen

    def _handle_refusal(
        self, job: ForwardingJob, tracked: TrackedWorker, error: UpstreamRefusedError
    ) -> None:
        job.refusals += 1
        job.attempt_sent = False
        job.refused_by.add(tracked.worker.id)
        job.retry_worker = None
        job.only_worker = None if job.history.may_add_worker else tracked
        self._log.info(
            "a worker refused a request",
            request=job.request.id,
            worker=tracked.worker.id,
            reason=str(error),
        )
        if job.responder.started and (job.history.may_add_worker or not tracked.state.leaving):
            # No error status can be sent any more, so retries continue until the deadline.
            return
        if job.refusals >= MAX_REFUSALS or not job.history.may_add_worker:
            raise job.refuse(ErrorKind.OVERLOADED, str(error)) from error

    def _handle_unreachable(
        self, job: ForwardingJob, tracked: TrackedWorker, error: UpstreamUnreachableError
    ) -> None:
        """Exclude a worker that is unreachable at its address, and try others."""
        job.history.record_unavailable(tracked.worker.id)
        job.excluded.add(tracked.worker.id)
        self._handle_refusal(job, tracked, error)

    def _handle_lost_attempt(
        self, job: ForwardingJob, tracked: TrackedWorker, error: UpstreamLostError
    ) -> None:
        """Schedule a retry at this or another worker; raises RequestError if none is allowed."""
        worker = tracked.worker.id
        job.lost_attempts += 1
        if job.on_loss is not None and error.crashed:
            job.on_loss(tracked, LossKind.BROKEN)
        elif job.on_loss is not None and error.tunnelled:
            job.on_loss(tracked, LossKind.TUNNELLED)
        elif error.silent:
            self._report_silence(job, tracked)
        if not error.tunnelled:
            self._workers.record_failure(tracked, str(error))
        self._log.info(
            "an attempt was lost",
            request=job.request.id,
            fingerprint=job.fingerprint,
            worker=worker,
            events=job.events,
            sent_there=job.history.sends_by_worker.get(worker, 0),
            reason=str(error),
        )
        seconds_left = job.deadline - self._clock.monotonic()
        if job.can_repeat and seconds_left >= MIN_ATTEMPT_SECONDS:
            # A stream is retried at the same worker, which has its prompt cached; other calls
            # move to another worker if they may.
            can_retry_here = job.history.may_retry_on(worker) and not tracked.state.leaving
            can_retry_here = can_retry_here and not job.history.prefers_other_worker
            if can_retry_here and (job.route.resumable or not job.history.may_add_worker):
                job.retry_worker = tracked
                return
            if job.history.may_add_worker:
                job.excluded.add(worker)
                job.retry_worker = None
                return
        raise job.refuse(ErrorKind.UPSTREAM_FAILED, str(error)) from error

    # One attempt

    async def _attempt(self, job: ForwardingJob, tracked: TrackedWorker) -> None:
        started = self._clock.monotonic()
        tracked.state.granted += 1
        try:
            async with self._send(job, tracked) as connection:
                reply = await self._read_reply(job, tracked, connection)
                is_stream = job.route.kind is RouteKind.STREAMING and reply.succeeded
                if is_stream:
                    trailing = await self._relay.relay_events(job, tracked, connection, reply)
                else:
                    await self._relay.relay_body(job, tracked, connection, reply)
        finally:
            tracked.state.granted -= 1
        tracked.record_success(self._clock.monotonic() - started)
        job.succeeded = reply.succeeded
        if is_stream:
            # The worker was released before, as waiting for `before_end` is no load on it.
            await self._relay.finish_stream(job, reply, trailing)

    @asynccontextmanager
    async def _send(
        self, job: ForwardingJob, tracked: TrackedWorker
    ) -> AsyncIterator[ClientConnection]:
        """Send the request and yield its connection, which is reused only after a success.

        Raises UpstreamUnreachableError if it cannot be opened, and UpstreamLostError if it breaks.
        """
        max_idle = MAX_IDLE_SECONDS if job.route.repeatable else UNSAFE_MAX_IDLE_SECONDS
        try:
            connection = await self._workers.connect(tracked, max_idle)
        except ConnectError as error:
            if tracked.worker.id in job.history.sends_by_worker and not shows_end(error):
                # It may still be running an earlier attempt, so it counts as one more retry.
                job.history.record_sent(tracked.worker.id)
                raise UpstreamLostError(str(error), crashed=False, silent=True) from error
            self._workers.record_failure(tracked, str(error))
            raise UpstreamUnreachableError(str(error)) from error
        job.connection, is_sent = connection, False
        try:
            seconds_left = job.deadline - self._clock.monotonic()
            if seconds_left < MIN_ATTEMPT_SECONDS:
                raise job.refuse(ErrorKind.TIMEOUT, "no time is left to run the request")
            if job.stream is not None:
                if job.stream.is_fixed or tracked.failures:
                    connection = await self._processes.check(job, tracked, connection)
                elif not connection.is_process_known:
                    connection = await self._processes.identify(job, tracked, connection)
                is_known = connection.is_process_known or not tracked.worker.born
                job.stream.begin(tracked.worker, is_process_known=is_known)
                if not await job.stream.may_be_sent():
                    message = "it cannot be recorded where the stream begins"
                    raise job.refuse(ErrorKind.STORE_UNAVAILABLE, message)
                seconds_left = job.deadline - self._clock.monotonic()
            resume_after = self._get_resume_point(job)
            self._require_usable(job, tracked, connection)
            connection.send(
                encode_request(job.request, tracked.worker, seconds_left, job.body, resume_after)
            )
            connection.forwarded_requests += 1
            job.attempt_sent = is_sent = True
            job.offers += 1
            job.history.record_sent(tracked.worker.id)
            job.worker = tracked.worker.id
            job.process_start = tracked.worker.born
            if connection.tunnelled:
                self._log.info(
                    "sent through another entry",
                    request=job.request.id,
                    worker=job.worker,
                    peer=connection.tunnel_server,
                )
            tracked.cache.record_prompt(job.request.prompt)
            yield connection
        except BrokenResponseError as error:
            connection.close()
            if connection.tunnelled:
                self._workers.record_broken_tunnel(connection)
                raise UpstreamLostError(str(error), crashed=False, tunnelled=True) from error
            # A worker whose response exceeds a limit is still running.
            crashed = not isinstance(error, ResponseTooLargeError)
            raise UpstreamLostError(str(error), crashed=crashed) from error
        except BaseException as error:
            connection.close()
            if is_sent and isinstance(error, asyncio.CancelledError):
                self._report_silence(job, tracked)
            raise
        self._workers.release_connection(tracked, connection)

    def _report_silence(self, job: ForwardingJob, tracked: TrackedWorker) -> None:
        """Report the worker of an attempt that was given up, unless something came from it."""
        is_silent = job.connection.silent_seconds >= MIN_SILENCE_SECONDS
        if is_silent and job.on_loss is not None:
            job.on_loss(tracked, LossKind.SILENT)

    def _require_usable(
        self, job: ForwardingJob, tracked: TrackedWorker, connection: ClientConnection
    ) -> None:
        """Raise an error if a connection ended, or got bytes, before the request is sent on it."""
        if connection.is_usable(self._clock.monotonic()):
            return
        message = "the connection ended, or bytes came, before the request"
        worker = tracked.worker.id
        if worker in job.history.sends_by_worker:
            # It may still be running an earlier attempt, so it counts as one more retry.
            job.history.record_sent(worker)
            raise UpstreamLostError(message, crashed=False)
        self._workers.record_failure(tracked, message)
        raise UpstreamRefusedError(message)

    def _get_resume_point(self, job: ForwardingJob) -> str | None:
        return str(job.sequence.last) if job.events else job.request.resume_after

    async def _read_reply(
        self, job: ForwardingJob, tracked: TrackedWorker, connection: ClientConnection
    ) -> WorkerReply:
        """Return the head of the response to this request, and record the reported load.

        Raises UpstreamRefusedError if the worker did not run the request, UpstreamUnreachableError
        if another worker answered, and UpstreamLostError if the head is late or unusable.
        """
        try:
            async with ReplyTimeout(get_read_timeout(job)):
                reply = await self._match_reply(job, tracked, connection)
        except TimeoutError as error:
            message = "no response head in time"
            raise UpstreamLostError(message, crashed=False, silent=True) from error
        if reply.load is not None:
            tracked.record_load(reply.load, self._clock.monotonic())
        connection.idle_limit = reply.idle_limit
        if reply.proves_not_run:
            job.history.record_not_run(tracked.worker.id)
            if reply.worker_id not in (None, tracked.worker.id):
                self._workers.record_address_conflict(tracked)
                raise UpstreamUnreachableError(f"another worker answered: status {reply.status}")
            raise UpstreamRefusedError(f"status {reply.status}")
        self._check_success(job, reply)
        return reply

    async def _match_reply(
        self, job: ForwardingJob, tracked: TrackedWorker, connection: ClientConnection
    ) -> WorkerReply:
        """Return the head of the response to this request; what it says of the worker is recorded.

        A response that is skipped says so too.
        """

        def handle_skipped(reply: WorkerReply) -> None:
            self._workers.record_reply(tracked, reply)
            self._log.info(
                "skipped a response to an earlier request",
                request=job.request.id,
                belongs_to=reply.request_id,
            )

        head = await read_own_head(
            connection, job.request.id, MAX_ANSWER_BYTES, handle_skipped, self._bodies
        )
        reply = decode_reply(head)
        self._workers.record_reply(tracked, reply)
        return reply

    def _check_success(self, job: ForwardingJob, reply: WorkerReply) -> None:
        if not reply.succeeded:
            if job.responder.started:
                raise UpstreamLostError(f"status {reply.status} instead of the rest", crashed=False)
            return
        if reply.signature is None or reply.encoded or reply.request_id is None:
            raise UpstreamLostError("a success that is not the worker's own", crashed=False)
        is_stream = reply.status == 200 and reply.media_type in (None, EVENT_STREAM)
        if job.route.kind is RouteKind.STREAMING and not is_stream:
            message = f"status {reply.status}, {reply.media_type} instead of a stream"
            raise UpstreamLostError(message, crashed=False)

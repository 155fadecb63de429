"""Sends a request to workers, one after another while that is allowed, and passes the answer on."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from egretford.clock import Clock
from egretford.entry.choice import choose_worker
from egretford.entry.events import EventError, EventSplitter, StreamEvent
from egretford.entry.jobs import Forwarding
from egretford.entry.models import RouteKind, WorkerReply
from egretford.entry.workers import TrackedWorker, WorkerTable
from egretford.errors import (
    ErrorKind,
    UpstreamGoneError,
    UpstreamLostError,
    UpstreamRefusedError,
)
from egretford.http.client import (
    BodyEnd,
    BodyPart,
    BrokenResponseError,
    ClientConnection,
    ConnectError,
    ResponseTooLargeError,
    read_body,
)
from egretford.http.messages import Headers
from egretford.platform.wire import decode_reply, encode_request
from egretford.policy.placement import Placement

# A connection that may have gone silent is only reused for calls that may be sent again;
# for others it must have been in use this lately.
UNSAFE_MAX_IDLE_SECONDS = 0.5
MAX_IDLE_SECONDS = 10.0
# A repeatable call without a response head after this long, or without the whole body after
# as long again, is sent to another worker; the longest of them takes some tens of
# milliseconds on an idle worker.
SAFE_ATTEMPT_SECONDS = 0.3
# Refusals by workers after which a request is refused rather than offered once more.
MAX_REFUSALS = 4
# A worker needs some time to answer; with less left a send would be no real offer.
MIN_SECONDS_LEFT = 0.02
# An answer that is held whole, or all that is skipped before one, may take this much memory;
# workers send some kilobytes.
MAX_ANSWER_BYTES = 8_388_608
# Responses to earlier requests that may come before one's own; a connection that is reused has
# brought all its responses, so that one is rare already.
MAX_EARLIER_RESPONSES = 8


class Forwarder:
    """Chooses workers and passes answers on."""

    def __init__(
        self, workers: WorkerTable, placement: Placement, region: str, clock: Clock, log: Any
    ) -> None:
        self._workers = workers
        self._placement = placement
        self._region = region
        self._clock = clock
        self._log = log

    async def run(self, job: Forwarding) -> None:
        """Answer the caller with a worker's answer.

        Raises RequestError, with the verdict that holds, when no worker's answer could be
        passed on whole.
        """
        try:
            async with asyncio.timeout(job.deadline - self._clock.monotonic()):
                await self._run_attempts(job)
        except TimeoutError:
            raise job.refuse(ErrorKind.TIMEOUT, "no answer within the time that was left") from None

    async def _run_attempts(self, job: Forwarding) -> None:
        while True:
            tracked = job.repeat_at or self._choose(job)
            if tracked is None:
                await self._pause(job)
                continue
            try:
                await self._attempt(job, tracked)
                return
            except UpstreamGoneError as error:
                self._note_gone(job, tracked, error)
            except UpstreamRefusedError as error:
                self._note_refusal(job, tracked, error)
            except UpstreamLostError as error:
                self._note_loss(job, tracked, error)

    def _list_candidates(self, job: Forwarding) -> list[TrackedWorker]:
        usable = self._workers.list_usable(job.upstream)
        barred = job.excluded | job.refused_by
        candidates = [t for t in usable if t.worker.id not in barred]
        if job.responder.started:
            return [t for t in candidates if job.history.may_send(t.worker.id)]
        return candidates

    async def _pause(self, job: Forwarding) -> None:
        """Wait until workers that refused to go on with a begun answer may have room."""
        seconds = job.history.take_pause()
        refused_by = sorted(job.refused_by)
        self._log.info(
            "pauses an answer", request=job.request.id, wait_s=seconds, refused_by=refused_by
        )
        await self._clock.sleep(seconds)
        job.refused_by.clear()
        job.repeat_at, job.stay_at = job.stay_at, None
        if (stay := job.repeat_at) is not None:
            leaving = stay.state.leaving
            if not job.history.may_go_on(stay.worker.id, leaving=leaving, others=False):
                raise job.refuse(ErrorKind.OVERLOADED, "the only worker allowed takes no more")

    def _choose(self, job: Forwarding) -> TrackedWorker | None:
        """Return a worker, or None if a begun answer has to wait for one."""
        candidates = self._list_candidates(job)
        if job.responder.started and (not candidates or len(job.refused_by) >= MAX_REFUSALS):
            return None
        if not candidates:
            raise job.refuse(ErrorKind.OVERLOADED, f"no worker of {job.upstream} takes the request")
        chosen, wanted = choose_worker(job.request, candidates, self._placement, self._region)
        request = job.request
        self._log.info(
            "chose a worker",
            request=request.id,
            worker=chosen.worker.id,
            candidates=len(candidates),
            running=round(chosen.state.running, 1),
            cached=wanted.cached.get(chosen.worker.id, 0),
            prompt=request.prompt_tokens,
            load_age_s=chosen.measure_load_age(self._clock.monotonic()),
        )
        return chosen

    def _note_refusal(
        self, job: Forwarding, tracked: TrackedWorker, error: UpstreamRefusedError
    ) -> None:
        job.refusals += 1
        job.sent = False
        job.refused_by.add(tracked.worker.id)
        job.repeat_at = None
        job.stay_at = None if job.history.may_add_worker else tracked
        self._log.info(
            "a worker did not take a request",
            request=job.request.id,
            worker=tracked.worker.id,
            reason=str(error),
        )
        if job.responder.started:
            # It cannot be refused any more, so it goes on as long as its caller waits.
            return
        if job.refusals >= MAX_REFUSALS or not job.history.may_add_worker:
            raise job.refuse(ErrorKind.OVERLOADED, str(error)) from error

    def _note_gone(self, job: Forwarding, tracked: TrackedWorker, error: UpstreamGoneError) -> None:
        """Go on without a worker that cannot be reached under its address any more."""
        job.history.note_ended(tracked.worker.id)
        job.excluded.add(tracked.worker.id)
        self._note_refusal(job, tracked, error)

    def _note_loss(self, job: Forwarding, tracked: TrackedWorker, error: UpstreamLostError) -> None:
        """Go on after a lost answer, with another worker only if the route allows as many."""
        worker = tracked.worker.id
        job.lost += 1
        if error.crashed and job.on_crash is not None:
            job.on_crash(worker)
        self._workers.note_failure(tracked, str(error))
        self._log.info(
            "an attempt was lost",
            request=job.request.id,
            worker=worker,
            events=job.events,
            sent_there=job.history.ran_on.get(worker, 0),
            reason=str(error),
        )
        left = job.deadline - self._clock.monotonic()
        if job.can_repeat and left >= MIN_SECONDS_LEFT:
            # A stream's prompt is in that worker's memory; plain calls have no such reason.
            can_stay = job.history.may_repeat(worker) and not tracked.state.leaving
            if can_stay and (job.route.resumable or not job.history.may_add_worker):
                job.repeat_at = tracked
                return
            if job.history.may_add_worker:
                job.excluded.add(worker)
                job.repeat_at = None
                return
        raise job.refuse(ErrorKind.UPSTREAM_FAILED, str(error)) from error

    # One attempt

    async def _attempt(self, job: Forwarding, tracked: TrackedWorker) -> None:
        started = self._clock.monotonic()
        tracked.state.granted += 1
        try:
            async with self._send(job, tracked) as connection:
                reply = await self._read_reply(job, tracked, connection)
                is_stream = job.route.kind is RouteKind.STREAMING and reply.succeeded
                if is_stream:
                    rest = await self._pass_events(job, tracked, connection, reply)
                else:
                    await self._pass_whole(job, connection, reply)
        finally:
            tracked.state.granted -= 1
        tracked.note_success(self._clock.monotonic() - started)
        if is_stream:
            # The worker is free by now; what holds up the end is not its load.
            await self._finish_stream(job, reply, rest)

    @asynccontextmanager
    async def _send(
        self, job: Forwarding, tracked: TrackedWorker
    ) -> AsyncIterator[ClientConnection]:
        """Send the request; the connection is kept only if all went well."""
        idle = MAX_IDLE_SECONDS if job.route.repeatable else UNSAFE_MAX_IDLE_SECONDS
        try:
            connection = await self._workers.connect(tracked, idle)
        except ConnectError as error:
            self._workers.note_failure(tracked, str(error))
            raise UpstreamGoneError(str(error)) from error
        try:
            left = job.deadline - self._clock.monotonic()
            if left < MIN_SECONDS_LEFT:
                raise job.refuse(ErrorKind.TIMEOUT, "no time is left to run the request")
            resume_after = self._find_resume_point(job)
            connection.send(
                encode_request(job.request, tracked.worker, left, job.body, resume_after)
            )
            job.sent = True
            job.offers += 1
            job.history.note_sent(tracked.worker.id)
            job.worker = tracked.worker.id
            tracked.cache.note_prompt(job.request.prompt)
            yield connection
        except BrokenResponseError as error:
            connection.close()
            # A worker that sends on has not crashed.
            crashed = not isinstance(error, ResponseTooLargeError)
            raise UpstreamLostError(str(error), crashed=crashed) from error
        except BaseException:
            connection.close()
            raise
        self._workers.give_back(tracked, connection)

    def _find_resume_point(self, job: Forwarding) -> str | None:
        if job.last_event is not None:
            return str(job.last_event)
        return job.request.resume_after

    async def _read_reply(
        self, job: Forwarding, tracked: TrackedWorker, connection: ClientConnection
    ) -> WorkerReply:
        """Read the head of the response to this request, and judge by it."""
        try:
            async with asyncio.timeout(self._limit_silence(job)):
                reply = await self._find_reply(job, connection)
        except TimeoutError as error:
            raise UpstreamLostError("no response head in time", crashed=False) from error
        if reply.load is not None:
            tracked.note_load(reply.load, self._clock.monotonic())
        connection.idle_limit = reply.idle_limit
        if reply.proves_not_run:
            job.history.note_not_run(tracked.worker.id)
            if reply.worker_id not in (None, tracked.worker.id):
                self._workers.note_misdirected(tracked)
                raise UpstreamGoneError(f"another worker answered with status {reply.status}")
            raise UpstreamRefusedError(f"status {reply.status}")
        self._check_success(job, reply)
        return reply

    async def _find_reply(self, job: Forwarding, connection: ClientConnection) -> WorkerReply:
        """Read the head of the response to this request, skipping those to earlier ones."""
        bytes_left = MAX_ANSWER_BYTES
        for _ in range(MAX_EARLIER_RESPONSES + 1):
            reply = decode_reply(await connection.read())
            if reply.request_id in (None, job.request.id):
                return reply
            self._log.info(
                "skipped a response to an earlier request",
                request=job.request.id,
                belongs_to=reply.request_id,
            )
            bytes_left -= len(await read_body(connection, bytes_left))
        raise UpstreamLostError(
            f"over {MAX_EARLIER_RESPONSES} responses to earlier requests", crashed=False
        )

    def _limit_silence(self, job: Forwarding) -> float | None:
        if job.route.repeatable and job.history.may_add_worker:
            return SAFE_ATTEMPT_SECONDS
        return None

    def _check_success(self, job: Forwarding, reply: WorkerReply) -> None:
        if not reply.succeeded:
            if job.responder.started:
                raise UpstreamLostError(f"status {reply.status} instead of the rest", crashed=False)
            return
        if reply.signature is None or reply.encoded or reply.request_id is None:
            raise UpstreamLostError("a success that is not the worker's own", crashed=False)

    async def _pass_whole(
        self, job: Forwarding, connection: ClientConnection, reply: WorkerReply
    ) -> None:
        try:
            async with asyncio.timeout(self._limit_silence(job)):
                body = await read_body(connection, MAX_ANSWER_BYTES)
        except TimeoutError as error:
            raise UpstreamLostError("no whole body in time", crashed=False) from error
        failed_by_worker = reply.status >= 500
        if failed_by_worker and job.route.repeatable and job.history.may_add_worker:
            raise UpstreamLostError(f"status {reply.status}", crashed=False)
        job.responder.send_whole(reply.status, Headers(list(reply.fields)), body)

    async def _pass_events(
        self,
        job: Forwarding,
        tracked: TrackedWorker,
        connection: ClientConnection,
        reply: WorkerReply,
    ) -> bytes:
        """Pass on all events; returns what comes after the last one, a line break say."""
        splitter = EventSplitter()
        heard_at = self._clock.monotonic()
        while not isinstance(
            part := await self._read_part(job, tracked, connection, heard_at), BodyEnd
        ):
            try:
                events = splitter.feed(part.data)
            except EventError as error:
                raise UpstreamLostError(str(error), crashed=False) from error
            for event in events:
                await self._pass_event(job, reply, event)
            if events:
                heard_at = self._clock.monotonic()
        if splitter.has_rest:
            raise UpstreamLostError("the stream ended inside an event", crashed=True)
        return splitter.take_rest()

    async def _finish_stream(self, job: Forwarding, reply: WorkerReply, rest: bytes) -> None:
        if job.before_end is not None:
            await job.before_end()
        self._begin_stream(job, reply)
        if rest:
            await job.responder.write(rest)
        job.responder.finish_stream()

    async def _read_part(
        self,
        job: Forwarding,
        tracked: TrackedWorker,
        connection: ClientConnection,
        heard_at: float,
    ) -> BodyPart | BodyEnd:
        """Read on; bytes that make no event since `heard_at` do not count as heard."""
        limit = None
        if job.route.resumable and job.stays_since != heard_at:
            limit = heard_at + job.history.silence_limit - self._clock.monotonic()
        try:
            async with asyncio.timeout(limit):
                return await connection.read()
        except TimeoutError as error:
            worker = tracked.worker.id
            others = any(t is not tracked for t in self._list_candidates(job))
            if job.history.may_go_on(worker, leaving=tracked.state.leaving, others=others):
                job.history.note_silence()
                raise UpstreamLostError("the stream went silent", crashed=True) from error
        job.stays_since = heard_at
        self._log.info("stays at a silent worker", request=job.request.id, worker=worker)
        return await connection.read()

    async def _pass_event(self, job: Forwarding, reply: WorkerReply, event: StreamEvent) -> None:
        numbered = event.number is not None and job.last_event is not None
        if numbered and event.number <= job.last_event:
            raise UpstreamLostError("the stream repeats an event", crashed=False)
        self._begin_stream(job, reply)
        job.events += 1
        job.last_event = event.number if event.number is not None else job.last_event
        if job.before_end is not None:
            job.output += event.data + b"\n"
            if len(job.output) > MAX_ANSWER_BYTES:
                raise UpstreamLostError("a stream too long to be kept", crashed=False)
        await job.responder.write(event.raw)

    def _begin_stream(self, job: Forwarding, reply: WorkerReply) -> None:
        if not job.responder.started:
            job.responder.start_stream(reply.status, Headers(list(reply.fields)))

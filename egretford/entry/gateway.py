"""Handles callers' requests: routing, admission, forwarding and error responses."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from egretford.clock import Clock
from egretford.entry.crashes import SharedCrashes
from egretford.entry.forwarding import Forwarder
from egretford.entry.jobs import ForwardingJob
from egretford.entry.models import CallerRequest, Route, RouteKind, RoutingTable
from egretford.entry.origins import StreamOrigins
from egretford.entry.turns import TurnAdmission, Turns
from egretford.entry.workers import TrackedWorker, WorkerTable
from egretford.errors import HTTP_STATUS, ErrorKind, RequestError, Verdict
from egretford.http.messages import Headers, HttpRequest
from egretford.http.responder import CallerGoneError, Responder
from egretford.http.server import HttpServer
from egretford.metrics import Metrics
from egretford.numbers import parse_whole_number
from egretford.platform.wire import decode_request, encode_refusal_fields
from egretford.policy.crashes import Crash, LossKind, make_fingerprint
from egretford.policy.retry_after import RetryAfterAdvice
from egretford.policy.routes import RouteIndex, choose_upstream
from egretford.policy.streams import RecentRoutes, get_split_key

# Cause, for the retry advice, of refusing turns whose records cannot be read or reserved. For
# refusals while forwarding, the cause is the upstream.
KEEPERS_CAUSE = "keepers"
# Kinds of errors that may be gone when the caller retries.
TRANSIENT_ERRORS = frozenset({ErrorKind.STORE_UNAVAILABLE, ErrorKind.OVERLOADED, ErrorKind.TIMEOUT})
# Range of the random Retry-After, in seconds, while this entry has no configuration.
STARTING_RETRY_SECONDS = (0.3, 0.6)
# Range of the random Retry-After, in seconds, while this entry stops: others take the request.
STOPPING_RETRY_SECONDS = (0.02, 0.1)
_RETRYABLE_STATUS = 503


class Gateway:
    """Handles callers' requests under the configuration in force."""

    def __init__(
        self,
        workers: WorkerTable,
        forwarder: Forwarder,
        turns: Turns,
        origins: StreamOrigins,
        crashes: SharedCrashes,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
        log: Any,
    ) -> None:
        self._workers = workers
        self._forwarder = forwarder
        self._turns = turns
        self._origins = origins
        self._crashes = crashes
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._retry_advice = RetryAfterAdvice(rng)
        self._log = log
        self._routes = RecentRoutes()
        self._server: HttpServer | None = None
        self._detached: set[asyncio.Task[None]] = set()
        self._stop_at: float | None = None
        self._limits: set[asyncio.Timeout] = set()

    @property
    def configuration_version(self) -> int | None:
        """The version of the configuration in force, if any."""
        return None if self._routes.current is None else self._routes.current.table.version

    def attach_server(self, server: HttpServer) -> None:
        """Set the server whose request limits follow the configuration."""
        self._server = server

    def set_stop_time(self, stop_at: float) -> None:
        """Refuse requests from now on that may still be running at `stop_at`, in monotonic seconds.

        The others are served, and have ended by then.
        """
        self._stop_at = stop_at

    def end_requests(self, end_at: float) -> None:
        """Answer requests that still run at `end_at`, in monotonic seconds, with an error."""
        now = asyncio.get_running_loop().time()
        for limit in self._limits:
            limit.reschedule(now + end_at - self._clock.monotonic())

    def apply_configuration(self, table: RoutingTable) -> None:
        """Put a configuration in force, unless it is not newer than the current one."""
        current_version = self.configuration_version
        if current_version is not None and table.version <= current_version:
            return
        self._workers.apply_configuration(table)
        self._routes.replace(RouteIndex(table), self._clock.monotonic())
        if self._server is not None:
            self._server.limits = table.limits
        self._log.info(
            "put a configuration in force",
            version=table.version,
            before=current_version,
            routes=len(table.routes),
        )

    async def handle(self, http: HttpRequest, responder: Responder) -> None:
        """Send the response to one request; request errors become error responses.

        Raises CallerGoneError if the caller disconnected before an error could be sent.
        """
        request: CallerRequest | None = None
        try:
            request = decode_request(http)
            await self._dispatch(request, responder)
        except RequestError as error:
            self._send_error(request, responder, error, http)

    async def _dispatch(self, request: CallerRequest, responder: Responder) -> None:
        if self._routes.current is None:
            raise RequestError(
                ErrorKind.NOT_READY,
                "no configuration is known yet",
                retry_after_seconds=self._rng.uniform(*STARTING_RETRY_SECONDS),
            )
        route = self._routes.current.find(request.host, request.path)
        if route is None:
            raise RequestError(ErrorKind.UNKNOWN_ROUTE, "no route matches host and path")
        coroutine = self._serve(request, route, responder)
        if route.kind is not RouteKind.UNSAFE:
            await coroutine
            return
        # A call that cannot be retried runs to completion even if the caller disconnects.
        task = asyncio.get_running_loop().create_task(coroutine)
        self._detached.add(task)
        task.add_done_callback(self._finish_detached)
        await asyncio.shield(task)

    def _finish_detached(self, task: asyncio.Task[None]) -> None:
        self._detached.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.info("a call that cannot be retried failed", error=repr(task.exception()))

    async def _serve(self, request: CallerRequest, route: Route, responder: Responder) -> None:
        started = request.http.received_at
        limit = route.timeout
        if request.time_budget is not None:
            limit = min(limit, request.time_budget)
        if self._stop_at is not None and started + limit > self._stop_at:
            raise RequestError(
                ErrorKind.NOT_READY,
                "this instance stops before the request is sure to have ended",
                retry_after_seconds=self._rng.uniform(*STOPPING_RETRY_SECONDS),
            )
        history = f"{request.program} {request.previous_turn}" if route.keeps_turns else ""
        fingerprint = make_fingerprint(
            request.http.target, request.host, request.http.body, history
        )
        if self._crashes.blocks(fingerprint):
            self._log.info("quarantined", request=request.id, fingerprint=fingerprint)
            raise RequestError(ErrorKind.QUARANTINED, "such a request crashed several workers")
        job = ForwardingJob(
            request=request,
            route=route,
            upstream=choose_upstream(route, get_split_key(request, route)),
            body=request.http.body,
            responder=responder,
            deadline=started + limit,
            fingerprint=fingerprint,
            is_blocked=lambda: self._crashes.blocks(fingerprint),
        )
        job.on_loss = lambda tracked, kind: self._check_crash(job, tracked, kind)
        try:
            await self._forward(job)
        except TimeoutError:
            raise job.refuse(ErrorKind.TIMEOUT, "this instance stops") from None
        if job.succeeded:
            self._crashes.record_success(fingerprint)
        seconds = self._clock.monotonic() - started
        self._metrics.record_seconds("request", request.host, route.name, seconds)
        self._metrics.count("served")
        self._log.info(
            "answered",
            request=request.id,
            route=route.name,
            worker=job.worker,
            events=job.events,
            offers=job.offers,
            ms=round(seconds * 1_000, 1),
            kept_by=job.kept_by,
            admit_ms=round(job.admission_seconds * 1_000, 1),
            keep_ms=round(job.keep_seconds * 1_000, 1),
            config=self.configuration_version,
        )

    def _check_crash(self, job: ForwardingJob, tracked: TrackedWorker, kind: LossKind) -> None:
        processes = self._forwarder.processes
        start = processes.find_start(tracked, job.connection.opened_at)
        self._crashes.check(
            Crash(job.fingerprint, tracked.worker.name_process(start)),
            job.connection.opened_at,
            lambda: processes.is_running(tracked, start, kind),
        )

    async def _forward(self, job: ForwardingJob) -> None:
        """Forward a request; raises TimeoutError if `end_requests` ends it, and RequestError."""
        async with asyncio.timeout(None) as limit:
            self._limits.add(limit)
            try:
                await self._run(job)
            finally:
                self._limits.discard(limit)

    async def _run(self, job: ForwardingJob) -> None:
        request, route = job.request, job.route
        if route.kind is RouteKind.STREAMING and request.resumes:
            _check_resumption(request, route)
        if route.kind is RouteKind.STREAMING and route.resumable:
            now = self._clock.monotonic()
            former = self._routes.list_former(request.host, request.path, now)
            with self._set_retry_after(job.upstream):
                job.stream = await self._origins.open(request, route, job.upstream, former)
            job.upstream = job.stream.upstream
        with self._set_retry_after(KEEPERS_CAUSE):
            started = self._clock.monotonic()
            admission = await self._admit(job)
            job.admission_seconds = self._clock.monotonic() - started
        try:
            with self._set_retry_after(job.upstream):
                await self._forwarder.run(job)
        finally:
            if admission is not None:
                admission.settle(job.events)
            if job.stream is not None and not job.events:
                job.stream.record_no_event()

    @contextmanager
    def _set_retry_after(self, cause: str) -> Iterator[None]:
        """Set the retry delay of transient errors; it grows for as long as the cause lasts."""
        try:
            yield
        except RequestError as error:
            if error.verdict is Verdict.NOT_RUN and error.kind in TRANSIENT_ERRORS:
                now = self._clock.monotonic()
                error.retry_after_seconds = self._retry_advice.compute_retry_after(cause, now)
            raise
        self._retry_advice.clear(cause)

    async def _admit(self, job: ForwardingJob) -> TurnAdmission | None:
        """Reserve the turn's tokens and prepend its history to the prompt, as far as needed.

        Returns None for requests that need neither. Raises RequestError.
        """
        request, route = job.request, job.route
        is_turn = route.kind is RouteKind.STREAMING and (
            route.keeps_turns or request.token_budget is not None
        )
        if not is_turn:
            return None
        upstream = self._routes.current.table.upstreams.get(job.upstream)
        engine = upstream.engine if upstream else None
        event_tokens = engine.event_tokens if engine else 1
        try:
            async with asyncio.timeout(job.deadline - self._clock.monotonic()):
                admission = await self._turns.admit(request, route, event_tokens)
        except TimeoutError:
            message = "the turn's records could not be read in time"
            raise job.refuse(ErrorKind.TIMEOUT, message) from None
        if route.keeps_turns:
            job.body = admission.history + request.http.body
            job.before_end = lambda: self._keep(job, admission)
        return admission

    async def _keep(self, job: ForwardingJob, admission: TurnAdmission) -> None:
        """Store the turn; its keepers are logged, for the day on which it cannot be found."""
        started = self._clock.monotonic()
        await admission.keep(bytes(job.output), job.events)
        job.keep_seconds = self._clock.monotonic() - started
        job.kept_by = admission.kept_by

    def _send_error(
        self,
        request: CallerRequest | None,
        responder: Responder,
        error: RequestError,
        http: HttpRequest,
    ) -> None:
        status = HTTP_STATUS[error.kind]
        if error.verdict is Verdict.NOT_RUN:
            # Nothing ran, which status 503 tells the caller, unless the request is invalid.
            retryable = status >= 429 or error.kind is ErrorKind.QUARANTINED
            status = _RETRYABLE_STATUS if retryable else status
        else:
            status = 504 if error.kind is ErrorKind.TIMEOUT else 502
        retry_after = None
        if status == _RETRYABLE_STATUS:
            now = self._clock.monotonic()
            retry_after = error.retry_after_seconds or self._retry_advice.compute_retry_after(
                error.kind, now
            )
        # No error status can be sent once the response has started; its connection is closed.
        outcome = "broken_off" if responder.started else "refused"
        self._metrics.count(f"{outcome}.{error.kind}")
        self._log.info(
            "broke off an answer" if responder.started else "refused",
            request=request.id if request else "",
            path=http.path.decode("latin-1"),
            status=status,
            kind=error.kind.value,
            verdict=error.verdict.value,
            reason=error.message,
            retry_after_s=None if retry_after is None else round(retry_after, 3),
            ms=round((self._clock.monotonic() - http.received_at) * 1_000, 1),
        )
        if responder.is_disconnected:
            raise CallerGoneError("the caller closed its connection")
        if responder.started:
            responder.abort()
            return
        fields = encode_refusal_fields(request.id if request else "", retry_after)
        responder.send_response(status, Headers(fields), error.message.encode() + b"\n")


def _check_resumption(request: CallerRequest, route: Route) -> None:
    """Raise RequestError if a stream cannot go on after the event that its caller names."""
    if parse_whole_number(request.resume_after) is None:
        message = "the id of the last event must be a whole number"
        raise RequestError(ErrorKind.BAD_REQUEST, message)
    if route.keeps_turns:
        # It could only be kept without the events that its caller has.
        message = "a turn that is kept cannot be resumed"
        raise RequestError(ErrorKind.STORE_UNAVAILABLE, message)
    if not route.resumable:
        message = "streams of this route cannot be resumed"
        raise RequestError(ErrorKind.STORE_UNAVAILABLE, message)

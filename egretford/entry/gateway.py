"""Takes callers' requests: finds the route, admits, forwards, and answers for the outcome."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from egretford.clock import Clock
from egretford.entry.crashes import SharedCrashes
from egretford.entry.forwarding import Forwarder
from egretford.entry.jobs import Forwarding
from egretford.entry.models import CallerRequest, Route, RouteKind, RoutingTable
from egretford.entry.turns import TurnAdmission, Turns
from egretford.entry.workers import WorkerTable
from egretford.errors import HTTP_STATUS, ErrorKind, RequestError, Verdict
from egretford.http.messages import Headers, HttpRequest
from egretford.http.server import CallerGoneError, HttpServer, Responder
from egretford.metrics import Metrics
from egretford.platform.wire import decode_request, encode_refusal_fields
from egretford.policy.comeback import ComebackAdvice
from egretford.policy.crashes import Crash, make_fingerprint
from egretford.policy.routes import RouteIndex, choose_upstream

# What holds up a turn whose records cannot be read or reserved; else it is the upstream.
KEEPERS = "keepers"
# Refusals that a later attempt may pass.
HELD_UP = frozenset({ErrorKind.STORE_UNAVAILABLE, ErrorKind.OVERLOADED, ErrorKind.TIMEOUT})
# How long a refused caller is told to stay away while this entry has no configuration.
STARTING_RETRY_SECONDS = (0.3, 0.6)
_RETRYABLE_STATUS = 503


class Gateway:
    """The handler of callers' requests."""

    def __init__(
        self,
        workers: WorkerTable,
        forwarder: Forwarder,
        turns: Turns,
        crashes: SharedCrashes,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
        log: Any,
    ) -> None:
        self._workers = workers
        self._forwarder = forwarder
        self._turns = turns
        self._crashes = crashes
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._comeback = ComebackAdvice(rng)
        self._log = log
        self._index: RouteIndex | None = None
        self._server: HttpServer | None = None
        self._detached: set[asyncio.Task[None]] = set()

    @property
    def configuration_version(self) -> int | None:
        """The version of the configuration in force, if any."""
        return None if self._index is None else self._index.table.version

    def attach(self, server: HttpServer) -> None:
        """Apply the configuration's limits to the server of callers."""
        self._server = server

    def learn_configuration(self, table: RoutingTable) -> None:
        """Put a configuration in force, unless a newer one is already."""
        known = self.configuration_version
        if known is not None and table.version <= known:
            return
        self._workers.learn_configuration(table)
        self._index = RouteIndex(table)
        if self._server is not None:
            self._server.limits = table.limits
        self._log.info(
            "put a configuration in force",
            version=table.version,
            before=known,
            routes=len(table.routes),
        )

    async def handle(self, http: HttpRequest, responder: Responder) -> None:
        """Answer one request."""
        request: CallerRequest | None = None
        try:
            request = decode_request(http)
            await self._dispatch(request, responder)
        except RequestError as error:
            self._refuse(request, responder, error, http)

    async def _dispatch(self, request: CallerRequest, responder: Responder) -> None:
        if self._index is None:
            raise RequestError(
                ErrorKind.NOT_READY,
                "no configuration is known yet",
                retry_after_seconds=self._rng.uniform(*STARTING_RETRY_SECONDS),
            )
        route = self._index.find(request.host, request.path)
        if route is None:
            raise RequestError(ErrorKind.UNKNOWN_ROUTE, "no route matches host and path")
        work = self._serve(request, route, responder)
        if route.kind is not RouteKind.UNSAFE:
            await work
            return
        # What may not be repeated goes on to its end even if the caller leaves.
        task = asyncio.get_running_loop().create_task(work)
        self._detached.add(task)
        task.add_done_callback(self._forget_detached)
        await asyncio.shield(task)

    def _forget_detached(self, task: asyncio.Task[None]) -> None:
        self._detached.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.info("a call that cannot be repeated failed", error=repr(task.exception()))

    async def _serve(self, request: CallerRequest, route: Route, responder: Responder) -> None:
        started = request.http.received_at
        limit = route.timeout
        if request.time_budget is not None:
            limit = min(limit, request.time_budget)
        fingerprint = make_fingerprint(request.http.target, request.http.peer, request.http.body)
        if self._crashes.blocks(fingerprint):
            raise RequestError(ErrorKind.QUARANTINED, "such a request crashed several workers")
        job = Forwarding(
            request=request,
            route=route,
            upstream=choose_upstream(route, request.session or request.id),
            body=request.http.body,
            responder=responder,
            deadline=started + limit,
            on_crash=lambda worker: self._crashes.note(Crash(fingerprint, worker)),
        )
        with self._advise_comeback(KEEPERS):
            admission = await self._admit(job)
        try:
            with self._advise_comeback(job.upstream):
                await self._forwarder.run(job)
        finally:
            if admission is not None:
                admission.end(job.events)
        self._crashes.note_success(fingerprint)
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
            config=self.configuration_version,
        )

    @contextmanager
    def _advise_comeback(self, obstacle: str) -> Iterator[None]:
        """Add to a refusal when to come back, by how long the obstacle has been in the way."""
        try:
            yield
        except RequestError as error:
            if error.verdict is Verdict.NOT_RUN and error.kind in HELD_UP:
                now = self._clock.monotonic()
                error.retry_after_seconds = self._comeback.advise(obstacle, now)
            raise
        self._comeback.note_passed(obstacle)

    async def _admit(self, job: Forwarding) -> TurnAdmission | None:
        """Reserve the turn's tokens and rebuild its prompt, where the route asks for either."""
        request, route = job.request, job.route
        is_turn = route.kind is RouteKind.STREAMING and (
            route.keeps_turns or request.token_budget is not None
        )
        if not is_turn:
            return None
        upstream = self._index.table.upstreams.get(job.upstream)
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
            job.before_end = lambda: admission.keep(bytes(job.output), job.events)
        return admission

    def _refuse(
        self,
        request: CallerRequest | None,
        responder: Responder,
        error: RequestError,
        http: HttpRequest,
    ) -> None:
        status = HTTP_STATUS[error.kind]
        if error.verdict is Verdict.NOT_RUN:
            # Nothing ran: a status that promises so, unless the request itself is at fault.
            retryable = status >= 429 or error.kind is ErrorKind.QUARANTINED
            status = _RETRYABLE_STATUS if retryable else status
        else:
            status = 504 if error.kind is ErrorKind.TIMEOUT else 502
        retry_after = None
        if status == _RETRYABLE_STATUS:
            now = self._clock.monotonic()
            retry_after = error.retry_after_seconds or self._comeback.advise(error.kind, now)
        # An answer that has begun cannot be refused any more: its connection is closed.
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
        if responder.gone:
            raise CallerGoneError("the caller closed its connection")
        if responder.started:
            responder.abort()
            return
        fields = encode_refusal_fields(request.id if request else "", retry_after)
        responder.send_whole(status, Headers(fields), error.message.encode() + b"\n")

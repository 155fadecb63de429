"""HTTP routes for programs and their calls."""

from __future__ import annotations

from collections.abc import AsyncIterator

from blacksheep import Request, Response

from egretford.api.bodies import (
    describe_error,
    parse_body,
    read_body,
    read_header,
    stream_events,
    write_error,
    write_event,
    write_json,
)
from egretford.clock import Clock
from egretford.controllers.gateway import Gateway
from egretford.errors import ErrorKind, RequestError
from egretford.metrics import Metrics
from egretford.models import CallOutcome, CallRequest, OpenRequest
from egretford.numbers import parse_whole_number
from egretford.policy.steps import CallProgress


class ProgramRoutes:
    """Handlers of /v1/programs."""

    def __init__(self, gateway: Gateway, metrics: Metrics, clock: Clock, body_bytes: int) -> None:
        self._gateway = gateway
        self._metrics = metrics
        self._clock = clock
        self._body_bytes = body_bytes

    async def open(self, request: Request) -> Response:
        """POST /v1/programs."""
        body = parse_body(await read_body(request, self._body_bytes), OpenRequest)
        key = read_header(request, b"Idempotency-Key")
        view = await self._gateway.open(body, key)
        return write_json(201, {"program": view.program, "budget": view.budget})

    async def view(self, request: Request) -> Response:
        """GET /v1/programs/{program}."""
        return write_json(200, await self._gateway.view(request.route_values["program"]))

    async def end(self, request: Request) -> Response:
        """DELETE /v1/programs/{program}."""
        return write_json(200, await self._gateway.end(request.route_values["program"]))

    async def get_call(self, request: Request) -> Response:
        """GET /v1/programs/{program}/calls/{call}."""
        program, text = request.route_values["program"], request.route_values["call"]
        number = parse_whole_number(text)
        if number is None:
            raise RequestError(ErrorKind.BAD_REQUEST, f"call {text[:40]!r} is not a number")
        progress = await self._gateway.get_call(program, number)
        if progress.outcome is None:
            return write_json(202, {"program": program, "call": number, "state": "running"})
        return _write_outcome(progress.outcome)

    async def call(self, request: Request) -> Response:
        """POST /v1/programs/{program}/calls."""
        body = parse_body(await read_body(request, self._body_bytes), CallRequest)
        progress = self.follow(request.route_values["program"], body)
        if not body.stream:
            async for step in progress:
                outcome = step.outcome
            return _write_outcome(outcome)
        first = await anext(progress)
        return stream_events(_write_events(first, progress))

    async def follow(
        self, program: str, body: CallRequest, *, whole_history: bool = False
    ) -> AsyncIterator[CallProgress]:
        """Run a call and yield its progress; records its duration by tenant and urgency class."""
        started = self._clock.monotonic()
        try:
            async for step in self._gateway.run_call(program, body, whole_history=whole_history):
                yield step
                if step.is_done:
                    seconds = self._clock.monotonic() - started
                    self._metrics.record_seconds("call", step.tenant, step.urgency, seconds)
        except RequestError as error:
            self._metrics.count(f"calls.{error.verdict.value}.{error.kind.value}")
            raise
        self._metrics.count("calls.ran")


def _write_outcome(outcome: CallOutcome) -> Response:
    """Build the response to a settled call; an outcome without an answer is always an error."""
    if outcome.answer is None:
        return write_error(build_unknown_outcome_error(outcome))
    return write_json(200, outcome)


def build_unknown_outcome_error(outcome: CallOutcome) -> RequestError:
    """Build the error for a settled outcome without an answer."""
    return RequestError(
        ErrorKind.OUTCOME_UNKNOWN,
        f"call {outcome.call} may have run; its outcome was lost and it is not run again",
        verdict=outcome.verdict,
    )


async def _write_events(
    first: CallProgress, rest: AsyncIterator[CallProgress]
) -> AsyncIterator[bytes]:
    try:
        for text in first.tokens:
            yield write_event("token", {"text": text})
        step = first
        async for step in rest:
            for text in step.tokens:
                yield write_event("token", {"text": text})
        if step.outcome is not None and step.outcome.answer is None:
            raise build_unknown_outcome_error(step.outcome)
        yield write_event("outcome", step.outcome)
    except RequestError as error:
        yield write_event("error", describe_error(error))

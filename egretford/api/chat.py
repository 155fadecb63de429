"""The chat completions endpoint for OpenAI-compatible clients."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

from attrs import field, frozen, validators
from blacksheep import Request, Response

from egretford.api.bodies import (
    describe_error,
    parse_body,
    read_body,
    read_header,
    stream_events,
    write_data,
    write_error,
    write_json,
)
from egretford.api.programs import ProgramRoutes, build_unknown_outcome_error
from egretford.controllers.configuration import ConfigurationController
from egretford.controllers.gateway import Gateway
from egretford.errors import ErrorKind, RequestError
from egretford.models import CallKind, CallOutcome, CallRequest, OpenRequest, Urgency
from egretford.numbers import parse_whole_number
from egretford.policy.steps import CallProgress

ANONYMOUS = "anonymous"
DEFAULT_MAX_TOKENS = 256
# Budget of the program that is opened for a request without an Egretford-Program header.
ONE_CALL_TOKENS = 2_000_000
ONE_CALL_SECONDS = 600.0
DONE_EVENT = b"data: [DONE]\n\n"


@frozen
class ChatRequest:
    """The supported fields of an OpenAI-compatible body; others are ignored."""

    model: str
    messages: list[dict[str, Any]]
    max_tokens: int = field(default=DEFAULT_MAX_TOKENS, validator=validators.ge(1))
    stream: bool = False
    user: str = ANONYMOUS


_USED_FIELDS = ("model", "messages", "max_tokens", "stream", "user")


class ChatRoutes:
    """Handler of /v1/chat/completions."""

    def __init__(
        self,
        gateway: Gateway,
        programs: ProgramRoutes,
        configuration: ConfigurationController,
        body_bytes: int,
    ) -> None:
        self._gateway = gateway
        self._programs = programs
        self._configuration = configuration
        self._body_bytes = body_bytes

    async def complete(self, request: Request) -> Response:
        """POST /v1/chat/completions."""
        body = self._parse(await read_body(request, self._body_bytes))
        program = read_header(request, b"Egretford-Program")
        if program is not None:
            number = parse_whole_number(read_header(request, b"Egretford-Call") or "")
            if number is None:
                raise RequestError(ErrorKind.BAD_REQUEST, "Egretford-Call must be a number")
            return await self._run(program, _build_call(body, number), body, one_call=False)
        opened = await self._gateway.open(self._build_opening(request, body), None)
        return await self._run(opened.program, _build_call(body, 1), body, one_call=True)

    def _parse(self, raw: Any) -> ChatRequest:
        if not isinstance(raw, dict):
            raise RequestError(ErrorKind.BAD_REQUEST, "the body is not an object")
        return parse_body({key: raw[key] for key in _USED_FIELDS if key in raw}, ChatRequest)

    def _build_opening(self, request: Request, body: ChatRequest) -> OpenRequest:
        route = self._configuration.current.find_model_route(body.model)
        if route is None:
            raise RequestError(ErrorKind.UNKNOWN_ROUTE, f"no route serves model {body.model!r}")
        urgency = read_header(request, b"Egretford-Class") or Urgency.INTERACTIVE.value
        raw = {
            "route": route.name,
            "tenant": read_header(request, b"Egretford-Tenant") or body.user,
            "class": urgency,
            "budget": {"tokens": ONE_CALL_TOKENS, "calls": 1, "seconds": ONE_CALL_SECONDS},
        }
        return parse_body(raw, OpenRequest)

    async def _run(
        self, program: str, call: CallRequest, body: ChatRequest, *, one_call: bool
    ) -> Response:
        progress = self._follow(program, call, one_call)
        if not body.stream:
            async for step in progress:
                outcome = step.outcome
            if outcome.answer is None:
                return write_error(build_unknown_outcome_error(outcome))
            return write_json(200, _write_completion(body, outcome))
        first = await anext(progress)
        return stream_events(_write_chunks(body, first, progress))

    async def _follow(
        self, program: str, call: CallRequest, one_call: bool
    ) -> AsyncIterator[CallProgress]:
        try:
            async for step in self._programs.follow(program, call, whole_history=True):
                yield step
        finally:
            if one_call:
                await self._gateway.end(program)


def _build_call(body: ChatRequest, number: int) -> CallRequest:
    raw = {
        "call": number,
        "kind": CallKind.MODEL.value,
        "messages": body.messages,
        "max_tokens": body.max_tokens,
        "stream": body.stream,
    }
    return parse_body(raw, CallRequest)


def _write_completion(body: ChatRequest, outcome: CallOutcome) -> dict[str, Any]:
    return {
        "id": f"{outcome.program}/{outcome.call}",
        "object": "chat.completion",
        "model": body.model,
        "choices": [{"index": 0, "message": outcome.answer, "finish_reason": "stop"}],
        "usage": _write_usage(outcome),
        "egretford": _write_extension(outcome),
    }


def _write_usage(outcome: CallOutcome) -> dict[str, Any]:
    usage = outcome.usage
    return {
        "prompt_tokens": usage.prompt,
        "completion_tokens": usage.completion,
        "total_tokens": usage.prompt + usage.completion,
        "prompt_tokens_details": {"cached_tokens": usage.cached},
    }


def _write_extension(outcome: CallOutcome) -> dict[str, Any]:
    return {
        "program": outcome.program,
        "call": outcome.call,
        "verdict": outcome.verdict,
        "digest": outcome.digest,
        "durability": outcome.durability,
    }


def _write_chunk(body: ChatRequest, delta: dict[str, Any], reason: str | None) -> dict[str, Any]:
    choice = {"index": 0, "delta": delta, "finish_reason": reason}
    return {"object": "chat.completion.chunk", "model": body.model, "choices": [choice]}


async def _write_chunks(
    body: ChatRequest, first: CallProgress, rest: AsyncIterator[CallProgress]
) -> AsyncIterator[bytes]:
    try:
        for text in first.tokens:
            yield write_data(_write_chunk(body, {"content": text}, None))
        step = first
        async for step in rest:
            for text in step.tokens:
                yield write_data(_write_chunk(body, {"content": text}, None))
        last = _write_chunk(body, {}, "stop")
        last["usage"] = _write_usage(step.outcome)
        last["egretford"] = _write_extension(step.outcome)
        yield write_data(last)
        yield DONE_EVENT
    except RequestError as error:
        yield write_data(describe_error(error))

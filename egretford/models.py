"""Data that callers, tables and entries exchange."""

from __future__ import annotations

from datetime import datetime
from enum import StrEnum
from typing import Any

from attrs import Factory, field, frozen, validators
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override

from egretford.codec import CONVERTERS
from egretford.errors import ErrorKind, RequestError, Verdict

Message = dict[str, Any]


def incarnation_of(program: str) -> str:
    """Return the incarnation that a program's id names."""
    return program.rpartition("-")[0]


MAX_NAME_LENGTH = 128
MAX_CALL_NUMBER = 1_000_000
MAX_CALL_SECONDS = 3_600.0


class Urgency(StrEnum):
    """Urgency class of a program, most urgent first."""

    URGENT = "urgent"
    INTERACTIVE = "interactive"
    BATCH = "batch"


class CallKind(StrEnum):
    """What a call runs on."""

    MODEL = "model"
    TOOL = "tool"


class PoolKind(StrEnum):
    """What the workers of a pool are."""

    ENGINE = "engine"
    SERVICE = "service"


class Fencing(StrEnum):
    """Whether workers refuse orders with an old fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


class Durability(StrEnum):
    """Where an answer was kept when it was given."""

    STORE = "store"
    MEMORY = "memory"


_name = [validators.min_len(1), validators.max_len(MAX_NAME_LENGTH)]
_count = validators.ge(0)


@frozen
class Budget:
    """The most that a program and its children may spend."""

    tokens: int = field(validator=_count)
    calls: int = field(validator=_count)
    seconds: float = field(validator=validators.and_(validators.gt(0), validators.le(30 * 86_400)))


@frozen
class Usage:
    """Tokens of one call, as the engine counted them; zeros for tools."""

    prompt: int = 0
    cached: int = 0
    completion: int = 0


@frozen
class OpenRequest:
    """The body that opens a program."""

    route: str = field(validator=_name)
    tenant: str = field(validator=_name)
    urgency: Urgency
    budget: Budget
    parent: str | None = None


@frozen
class CallRequest:
    """The body of one call; `messages` holds only what is new since the last call."""

    call: int = field(validator=[validators.ge(1), validators.le(MAX_CALL_NUMBER)])
    kind: CallKind
    messages: list[Message] = field()
    max_tokens: int = field(default=256, validator=validators.ge(1))
    service: str | None = None
    repeatable: bool | None = None
    digest: str | None = None
    stream: bool = False
    timeout_seconds: float = field(
        default=60.0, validator=[validators.gt(0), validators.le(MAX_CALL_SECONDS)]
    )

    @messages.validator
    def _check_messages(self, _: Any, value: list[Message]) -> None:
        for message in value:
            if not isinstance(message.get("role"), str):
                raise ValueError("'messages' must each have a 'role' of type str")

    @property
    def is_repeatable(self) -> bool:
        """Whether the call may run more than once; model calls may unless they say not."""
        if self.repeatable is None:
            return self.kind is CallKind.MODEL
        return self.repeatable


@frozen
class CallOutcome:
    """The settled result of a call."""

    program: str
    call: int
    verdict: Verdict
    answer: Message | None
    usage: Usage
    digest: str
    durability: Durability = Durability.STORE


@frozen
class Spent:
    """What a program and its children have spent."""

    tokens: int = 0
    calls: int = 0
    seconds: float = 0.0


@frozen
class ProgramView:
    """What a caller may see of a program."""

    program: str
    state: str
    budget: Budget
    spent: Spent
    last_call: int
    digest: str


@frozen
class ErrorReply:
    """A refusal as it travels between entries and to callers."""

    kind: ErrorKind
    message: str
    verdict: Verdict
    retry_after_seconds: float | None = None
    last_shared_call: int | None = None

    @staticmethod
    def from_error(error: RequestError) -> ErrorReply:
        """Copy the fields of a request error."""
        return ErrorReply(
            error.kind,
            error.message,
            error.verdict,
            error.retry_after_seconds,
            error.last_shared_call,
        )

    def to_error(self) -> RequestError:
        """Turn the reply back into the error it stands for."""
        return RequestError(
            self.kind,
            self.message,
            verdict=self.verdict,
            retry_after_seconds=self.retry_after_seconds,
            last_shared_call=self.last_shared_call,
        )


@frozen
class Worker:
    """One upstream process of a pool."""

    name: str = field(validator=_name)
    address: str = field(validator=_name)
    failure_domain: str = field(validator=_name)


@frozen
class Pool:
    """A row of the pools table; `cache_tokens` is a worker's cache, 0 if not known."""

    name: str = field(validator=_name)
    kind: PoolKind
    workers: list[Worker] = field()
    slots: int = field(default=8, validator=[validators.ge(1), validators.le(4_096)])
    fencing: Fencing = Fencing.IGNORED
    cache_tokens: int = field(default=0, validator=_count)
    model: str | None = None
    adapter: str | None = None

    @workers.validator
    def _check_workers(self, _: Any, value: list[Worker]) -> None:
        names = [worker.name for worker in value]
        if len(set(names)) != len(names):
            raise ValueError("worker names must differ")


@frozen
class RouteMatch:
    """Which calls a route takes; an absent field matches all."""

    kind: CallKind | None = None
    model: str | None = None
    urgency: Urgency | None = None


@frozen
class Limits:
    """Bounds on what one route accepts."""

    queued: int = field(default=1_000, validator=validators.ge(0))
    tenant_running: int = field(default=64, validator=validators.ge(1))
    body_bytes: int = field(default=512_000, validator=[validators.ge(1), validators.le(900_000)])


@frozen
class RetryLimits:
    """How often calls of a route may be tried again."""

    attempts: int = field(default=3, validator=[validators.ge(1), validators.le(10)])
    ratio: float = field(default=0.2, validator=[validators.ge(0), validators.le(1)])


@frozen
class Route:
    """A row of the routes table."""

    name: str = field(validator=_name)
    pool: str = field(validator=_name)
    match: RouteMatch = RouteMatch()
    weight: float = field(default=1.0, validator=validators.gt(0))
    limits: Limits = Limits()
    deadline_seconds: float = field(
        default=300.0, validator=[validators.gt(0), validators.le(MAX_CALL_SECONDS)]
    )
    retry: RetryLimits = RetryLimits()
    cache_weight: float = field(default=1.0, validator=[validators.ge(0), validators.le(100)])


@frozen
class Tables:
    """Both tables as one object, so that they change together."""

    routes: list[Route] = Factory(list)
    pools: list[Pool] = Factory(list)


@frozen
class TablesRevision:
    """The tables with the store version that holds them."""

    revision: int
    tables: Tables


@frozen
class TablesMessage:
    """Stored tables on their way between entries; `raw` is the store's JSON text."""

    revision: int
    raw: str


@frozen
class Member:
    """An entry incarnation as it announces itself."""

    incarnation: str
    owner: str
    address: str
    failure_domain: str
    region: str
    instance: str
    renewed_at: datetime
    state: str = "serving"


def rename_class_field(kind: type) -> None:
    """Let the JSON field `class`, a Python keyword, stand for the attribute `urgency`."""
    renamed = override(rename="class")
    for converter in CONVERTERS:
        decode = make_dict_structure_fn(
            kind, converter, _cattrs_forbid_extra_keys=True, urgency=renamed
        )
        converter.register_structure_hook(kind, decode)
        encode = make_dict_unstructure_fn(kind, converter, urgency=renamed)
        converter.register_unstructure_hook(kind, encode)


rename_class_field(OpenRequest)
rename_class_field(RouteMatch)

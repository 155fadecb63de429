"""Data classes of requests, responses, configuration tables and entry membership."""

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
    """Return the incarnation part of a program's id, which has the form INCARNATION-NUMBER."""
    return program.rpartition("-")[0]


MAX_NAME_LENGTH = 128
MAX_CALL_NUMBER = 1_000_000
MAX_CALL_SECONDS = 3_600.0


class Urgency(StrEnum):
    """Urgency class of a program; members are in order of decreasing urgency."""

    URGENT = "urgent"
    INTERACTIVE = "interactive"
    BATCH = "batch"


class CallKind(StrEnum):
    """Whether a call runs on a model engine or a tool service."""

    MODEL = "model"
    TOOL = "tool"


class PoolKind(StrEnum):
    """Type of a pool's workers."""

    ENGINE = "engine"
    SERVICE = "service"


class Fencing(StrEnum):
    """Whether a pool's workers reject orders with an outdated fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


class Durability(StrEnum):
    """Where an answer was stored when it was returned to the caller."""

    STORE = "store"
    MEMORY = "memory"


_name_length = [validators.min_len(1), validators.max_len(MAX_NAME_LENGTH)]
_not_negative = validators.ge(0)


@frozen
class Budget:
    """Upper limits on what a program and its children may use."""

    tokens: int = field(validator=_not_negative)
    calls: int = field(validator=_not_negative)
    seconds: float = field(validator=validators.and_(validators.gt(0), validators.le(30 * 86_400)))


@frozen
class Usage:
    """Token counts of one call as reported by the engine; all zero for tool calls."""

    prompt: int = 0
    cached: int = 0
    completion: int = 0


@frozen
class OpenRequest:
    """Request body that opens a program."""

    route: str = field(validator=_name_length)
    tenant: str = field(validator=_name_length)
    urgency: Urgency
    budget: Budget
    parent: str | None = None


@frozen
class CallRequest:
    """Request body of one call; `messages` holds only those added since the last call."""

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
        """Whether the call may run more than once; by default true for model calls only."""
        if self.repeatable is None:
            return self.kind is CallKind.MODEL
        return self.repeatable


@frozen
class CallOutcome:
    """Final result of a call."""

    program: str
    call: int
    verdict: Verdict
    answer: Message | None
    usage: Usage
    digest: str
    durability: Durability = Durability.STORE


@frozen
class Spent:
    """What a program and its children have used of the budget so far."""

    tokens: int = 0
    calls: int = 0
    seconds: float = 0.0


@frozen
class ProgramView:
    """State of a program as returned to its caller."""

    program: str
    state: str
    budget: Budget
    spent: Spent
    last_call: int
    digest: str


@frozen
class ErrorReply:
    """Serialisable form of a RequestError, sent between entries and to callers."""

    kind: ErrorKind
    message: str
    verdict: Verdict
    retry_after_seconds: float | None = None
    last_shared_call: int | None = None

    @staticmethod
    def from_error(error: RequestError) -> ErrorReply:
        """Create a reply with the error's kind, message, verdict and hints for retries."""
        return ErrorReply(
            error.kind,
            error.message,
            error.verdict,
            error.retry_after_seconds,
            error.last_shared_call,
        )

    def to_error(self) -> RequestError:
        """Return an equivalent RequestError, to be raised by the receiver."""
        return RequestError(
            self.kind,
            self.message,
            verdict=self.verdict,
            retry_after_seconds=self.retry_after_seconds,
            last_shared_call=self.last_shared_call,
        )


@frozen
class Worker:
    """One upstream process of a pool; its address and the failure domain it runs in."""

    name: str = field(validator=_name_length)
    address: str = field(validator=_name_length)
    failure_domain: str = field(validator=_name_length)


@frozen
class Pool:
    """A row of the pools table; `cache_tokens` is the cache size of one worker, 0 if unknown."""

    name: str = field(validator=_name_length)
    kind: PoolKind
    workers: list[Worker] = field()
    slots: int = field(default=8, validator=[validators.ge(1), validators.le(4_096)])
    fencing: Fencing = Fencing.IGNORED
    cache_tokens: int = field(default=0, validator=_not_negative)
    model: str | None = None
    adapter: str | None = None

    @workers.validator
    def _check_workers(self, _: Any, value: list[Worker]) -> None:
        names = [worker.name for worker in value]
        if len(set(names)) != len(names):
            raise ValueError("worker names must differ")


@frozen
class RouteMatch:
    """Conditions on the calls that a route accepts; a field that is None matches every call."""

    kind: CallKind | None = None
    model: str | None = None
    urgency: Urgency | None = None


@frozen
class Limits:
    """Admission limits of a route: queued calls, running calls per tenant, body size."""

    queued: int = field(default=1_000, validator=validators.ge(0))
    tenant_running: int = field(default=64, validator=validators.ge(1))
    body_bytes: int = field(default=512_000, validator=[validators.ge(1), validators.le(900_000)])


@frozen
class RetryLimits:
    """Retry limits of a route: attempts per call, and retries as a ratio of its calls."""

    attempts: int = field(default=3, validator=[validators.ge(1), validators.le(10)])
    ratio: float = field(default=0.2, validator=[validators.ge(0), validators.le(1)])


@frozen
class Route:
    """A row of the routes table: which calls go to a pool, and with what share and limits."""

    name: str = field(validator=_name_length)
    pool: str = field(validator=_name_length)
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
    """Both configuration tables, stored as one object so that they are updated atomically."""

    routes: list[Route] = Factory(list)
    pools: list[Pool] = Factory(list)


@frozen
class TablesRevision:
    """The tables and the version of the stored object, used as their revision."""

    revision: int
    tables: Tables


@frozen
class TablesMessage:
    """Tables sent from one entry to another; `raw` is the JSON text as stored."""

    revision: int
    raw: str


@frozen
class Member:
    """An incarnation of an entry, as it publishes itself to the other entries."""

    incarnation: str
    owner: str
    address: str
    failure_domain: str
    region: str
    instance: str
    renewed_at: datetime
    state: str = "serving"


def rename_class_field(kind: type) -> None:
    """Encode the attribute `urgency` of `kind` as `class`, which is a keyword in Python."""
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

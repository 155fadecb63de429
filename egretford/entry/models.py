"""Routes, upstreams, workers and requests, as an entry sees them."""

from __future__ import annotations

from enum import StrEnum

from attrs import Factory, field, frozen

from egretford.http.limits import RequestLimits
from egretford.http.messages import HttpRequest


class RouteKind(StrEnum):
    """What may be repeated on a route, and how it is answered."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@frozen
class WeightedUpstream:
    """One target of a route, with its share of the requests."""

    upstream: str
    weight: float


@frozen
class Route:
    """Where requests of one host and path prefix go; times in seconds."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[WeightedUpstream, ...]
    timeout: float
    latency_target: float
    priority: int
    attempts: int
    keeps_turns: bool
    retention: float
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run can be sent again."""
        return self.kind is RouteKind.SAFE


@frozen
class EngineProfile:
    """The model engine of an upstream; `cache_tokens` is what one worker's memory holds."""

    slots: int
    cache_tokens: int
    event_tokens: int


@frozen
class Upstream:
    """A back end: workers that serve the same requests."""

    name: str
    max_connections: int
    engine: EngineProfile | None = None


@frozen
class RoutingTable:
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    upstreams: dict[str, Upstream]
    limits: RequestLimits


@frozen
class Worker:
    """One process of an upstream; a restart under the same id has another `born`."""

    id: str
    upstream: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    born: int = 0

    @property
    def name(self) -> str:
        """The id, by the name that placement uses."""
        return self.id


@frozen
class PromptPart:
    """A part of a prompt, which workers may keep and other requests may share."""

    id: str
    tokens: int


@frozen
class CallerRequest:
    """One attempt of a caller; times in seconds, from when the request was read."""

    id: str
    host: str
    path: str
    http: HttpRequest = field(repr=False)
    time_budget: float | None = None
    program: str = ""
    session: str = ""
    finish_within: float | None = None
    token_budget: int | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prompt: tuple[PromptPart, ...] = Factory(tuple)
    previous_turn: str | None = None
    resume_after: str | None = None


@frozen
class WorkerLoad:
    """A worker's report of itself."""

    running: int
    waiting: int
    slots: int


@frozen
class WorkerReply:
    """The head of a worker's response, decoded.

    `proves_not_run` is set only where the worker said so. `request_id` is None where the
    response does not say to which request it belongs.
    """

    status: int
    request_id: str | None
    proves_not_run: bool
    signature: bytes | None
    load: WorkerLoad | None
    worker_id: str | None
    idle_limit: float | None
    encoded: bool
    fields: tuple[tuple[bytes, bytes], ...]

    @property
    def succeeded(self) -> bool:
        """Whether the worker answered with success."""
        return 200 <= self.status < 300

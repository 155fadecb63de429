"""Data classes of an entry: routes, upstreams, workers, requests and replies."""

from __future__ import annotations

from enum import StrEnum

from attrs import Factory, field, frozen

from egretford.http.limits import RequestLimits
from egretford.http.messages import HttpRequest


class RouteKind(StrEnum):
    """Whether a route's requests may be retried, and whether its responses are streams."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@frozen
class WeightedUpstream:
    """One target of a route; requests are split in proportion to the weights."""

    upstream: str
    weight: float


@frozen
class Route:
    """The targets and rules for requests to one host and path prefix; times in seconds."""

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
        """Whether a request may be retried after it may have run."""
        return self.kind is RouteKind.SAFE


@frozen
class EngineProfile:
    """The model engine of an upstream.

    `cache_tokens` is the size of one worker's prompt cache, `event_tokens` the tokens charged
    for one event.
    """

    slots: int
    cache_tokens: int
    event_tokens: int


@frozen
class Upstream:
    """A group of workers that serve the same requests."""

    name: str
    max_connections: int
    engine: EngineProfile | None = None


@frozen
class RoutingTable:
    """One version of the configuration; a higher version replaces a lower one."""

    version: int
    routes: tuple[Route, ...]
    upstreams: dict[str, Upstream]
    limits: RequestLimits


@frozen
class Worker:
    """One process of an upstream; `born` differs after a restart under the same id.

    Streams of two software versions do not fit together.
    """

    id: str
    upstream: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    born: int = 0
    software_version: str = ""

    @property
    def process_id(self) -> str:
        """The id with the start time, if known: differs for each process."""
        return self.name_process(self.born)

    def name_process(self, start: int) -> str:
        """Return the id of this worker's process that started at `start`, 0 if unknown."""
        return f"{self.id}/{start}" if start else self.id

    @property
    def name(self) -> str:
        """The id, under the attribute name that placement code expects."""
        return self.id


@frozen
class PromptPart:
    """A part of a prompt that workers may cache and other requests may share."""

    id: str
    tokens: int


@frozen
class CallerRequest:
    """One attempt of a caller at a request; times in seconds since it was received.

    `resume_after` is the id of the last event that the caller has of a stream that it resumes.
    """

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

    @property
    def resumes(self) -> bool:
        """Whether the caller already has events of this stream."""
        return self.resume_after is not None


@frozen
class WorkerLoad:
    """Load reported by a worker: running and queued calls, and its number of slots."""

    running: int
    waiting: int
    slots: int


@frozen
class ProcessReport:
    """What a process at a worker's address says of itself.

    `is_usable` is False if the response is not that of a process that serves requests. `born` is
    its start as in the worker list, None if it does not say.
    """

    is_usable: bool
    born: int | None = None


@frozen
class WorkerReply:
    """The decoded head of a worker's response.

    `proves_not_run` is set only if the worker stated that it did not run the request.
    `request_id` is None if the response does not name the request that it belongs to. `leaving`
    is set if the worker that sent the response serves only the requests that it has. `media_type`
    is the type of the body, without parameters.
    """

    status: int
    request_id: str | None
    proves_not_run: bool
    signature: bytes | None
    load: WorkerLoad | None
    worker_id: str | None
    idle_limit: float | None
    encoded: bool
    leaving: bool
    media_type: str | None
    fields: tuple[tuple[bytes, bytes], ...]

    @property
    def succeeded(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

"""The state of a request that is being forwarded: its attempts so far and its verdict."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from attrs import Factory, define, field

from egretford.entry.models import CallerRequest, Route
from egretford.entry.origins import Stream
from egretford.entry.workers import TrackedWorker
from egretford.errors import ErrorKind, RequestError, Verdict
from egretford.http.client import ClientConnection
from egretford.http.responder import Responder
from egretford.numbers import parse_whole_number
from egretford.policy.attempts import AttemptHistory
from egretford.policy.crashes import LossKind
from egretford.policy.sequences import EventSequence


@define
class ForwardingJob:
    """One request and the state of its attempts; `deadline` in monotonic seconds.

    `before_end` is awaited when a stream is complete, before its end is relayed to the caller;
    `output` collects the event data only if `before_end` is set.
    `attempt_sent` is true while a worker may be running an attempt; `lost_attempts` counts the
    attempts that ended without a complete response.
    `retry_worker` is the worker to retry after a lost response. `only_worker` is a worker that
    refused the request and is the only one that may still get it.
    `refused_by` lists the workers to skip until the next backoff is over.
    `tolerated_silence_start` is the time of the last event before a silence that has no limit,
    because no worker may continue the stream.
    `process_start` is when the process that got the request started by the worker list, 0 if the
    list does not say.
    `fingerprint` is the same when the request comes again.
    `connection` is that of the last attempt.
    `on_loss` is called with a worker that may have crashed, and `is_blocked` tells whether enough
    have for the request to be sent no more.
    `kept_by` names the keepers that hold the turn, once it is kept.
    `admission_seconds` and `keep_seconds` are the time that the turn waited for keepers, before it
    was sent to a worker and after its last event.
    `succeeded` is set once a success of a worker was relayed whole.
    `sequence` has the numbers of the events that the caller has, also from before a resumption.
    `stream` is set for streams that callers may resume, and `media_type` once a stream has begun
    whose worker named one.
    """

    request: CallerRequest
    route: Route
    upstream: str
    body: bytes = field(repr=False)
    responder: Responder
    deadline: float
    fingerprint: str = ""
    stream: Stream | None = None
    before_end: Callable[[], Awaitable[None]] | None = None
    is_blocked: Callable[[], bool] = lambda: False
    on_loss: Callable[[TrackedWorker, LossKind], None] | None = None
    offers: int = 0
    refusals: int = 0
    lost_attempts: int = 0
    attempt_sent: bool = False
    excluded: set[str] = Factory(set)
    refused_by: set[str] = Factory(set)
    retry_worker: TrackedWorker | None = None
    only_worker: TrackedWorker | None = None
    tolerated_silence_start: float | None = None
    events: int = 0
    sequence: EventSequence = field(init=False)
    media_type: str | None = None
    succeeded: bool = False
    output: bytearray = Factory(bytearray)
    worker: str = ""
    process_start: int = 0
    connection: ClientConnection | None = None
    kept_by: list[str] = Factory(list)
    admission_seconds: float = 0.0
    keep_seconds: float = 0.0
    history: AttemptHistory = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.history = AttemptHistory(self.route.attempts)
        resume_after = self.request.resume_after if self.route.resumable else None
        self.sequence = EventSequence(parse_whole_number(resume_after or "") or 0)

    @property
    def can_repeat(self) -> bool:
        """Whether a retry is allowed after the request may have run."""
        if self.stream is not None and not self.stream.can_continue:
            return False
        return self.route.repeatable or self.route.resumable

    @property
    def verdict(self) -> Verdict:
        """The verdict if the request fails now.

        An attempt that was sent may have run unless its worker reported otherwise.
        """
        return Verdict.MAY_HAVE_RUN if self.lost_attempts or self.attempt_sent else Verdict.NOT_RUN

    def refuse(self, kind: ErrorKind, message: str) -> RequestError:
        """Return a RequestError with the current verdict, for the caller to raise."""
        return RequestError(kind, message, verdict=self.verdict)

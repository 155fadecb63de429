"""A request on its way to workers: what was tried for it, and what may be said of it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from attrs import Factory, define, field

from egretford.entry.models import CallerRequest, Route
from egretford.entry.workers import TrackedWorker
from egretford.errors import ErrorKind, RequestError, Verdict
from egretford.http.server import Responder
from egretford.policy.attempts import AttemptHistory


@define
class Forwarding:
    """One request on its way; `deadline` in monotonic seconds.

    `before_end` is awaited when a stream is complete, before its end is passed on; only where
    it is set is the `output` collected for it. `sent` holds while an attempt is at a worker,
    `lost` counts those that ended without its word. `repeat_at` is the worker that runs a
    request whose answer was lost; `stay_at` is it while it refuses and no other is allowed.
    `refused_by` are those not to ask until a pause is over. `stays_since` is when a worker was
    last heard whose silence is borne, as no other may go on.
    """

    request: CallerRequest
    route: Route
    upstream: str
    body: bytes = field(repr=False)
    responder: Responder
    deadline: float
    before_end: Callable[[], Awaitable[None]] | None = None
    on_crash: Callable[[str], None] | None = None
    offers: int = 0
    refusals: int = 0
    lost: int = 0
    sent: bool = False
    excluded: set[str] = Factory(set)
    refused_by: set[str] = Factory(set)
    repeat_at: TrackedWorker | None = None
    stay_at: TrackedWorker | None = None
    stays_since: float | None = None
    events: int = 0
    last_event: int | None = None
    output: bytearray = Factory(bytearray)
    worker: str = ""
    history: AttemptHistory = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.history = AttemptHistory(self.route.attempts)

    @property
    def can_repeat(self) -> bool:
        """Whether a request that may have run may be sent once more."""
        return self.route.repeatable or self.route.resumable

    @property
    def verdict(self) -> Verdict:
        """What may be said of the request if it ends without an answer now.

        An attempt that was sent may have run until its worker says that it has not.
        """
        return Verdict.MAY_HAVE_RUN if self.lost or self.sent else Verdict.NOT_RUN

    def refuse(self, kind: ErrorKind, message: str) -> RequestError:
        """Build an error with the verdict that holds."""
        return RequestError(kind, message, verdict=self.verdict)

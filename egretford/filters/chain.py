"""The chain of filters that a call passes on its owner, and the job passed along it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from attrs import Factory, define, frozen

from egretford.controllers.runs import CallRun
from egretford.errors import ErrorKind, RequestError, Verdict
from egretford.models import CallRequest, Message, Pool, Route, Usage, Worker
from egretford.policy.program import Program


@frozen
class Completed:
    """A complete answer of an upstream, and the name of the worker that gave it."""

    answer: Message
    usage: Usage
    worker: str


@define
class CallJob:
    """A call in the filter chain; times are in monotonic seconds.

    `content` is the fingerprint by which crashes are counted, `prompt_bound` the most tokens
    that the prompt can have. `may_have_run` is set once an attempt may have reached an
    upstream and has no outcome. `charged_tokens` is the charge of the completed attempt.
    """

    program: Program
    request: CallRequest
    route: Route
    pool: Pool
    run: CallRun
    content: str
    prompt_bound: int
    deadline: float
    attempt: int = 0
    worker: Worker | None = None
    granted_at: float = 0.0
    excluded: set[str] = Factory(set)
    charged_tokens: int = 0
    may_have_run: bool = False

    @property
    def verdict(self) -> Verdict:
        """The verdict to report if the call ends now without an outcome."""
        return Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN

    @property
    def token_bound(self) -> int:
        """The most tokens that one attempt can spend; 0 for tool calls."""
        if self.request.kind.value == "tool":
            return 0
        return self.prompt_bound + self.request.max_tokens

    def build_error(
        self, kind: ErrorKind, message: str, retry_after: float | None = None
    ) -> RequestError:
        """Build an error with the current verdict of this call."""
        return RequestError(kind, message, verdict=self.verdict, retry_after_seconds=retry_after)


Proceed = Callable[[CallJob], Awaitable[Completed]]


class Filter(Protocol):
    """One filter of the chain; calls `proceed` to continue, or raises an error."""

    async def handle(self, job: CallJob, proceed: Proceed) -> Completed:
        """Process the call; may call `proceed` several times, for retries."""


def build_chain(filters: Sequence[Filter], last: Proceed) -> Proceed:
    """Wrap `last` in the filters; the first filter is the outermost."""
    proceed = last
    for filter_ in reversed(filters):
        proceed = _bind_filter(filter_, proceed)
    return proceed


def _bind_filter(filter_: Filter, proceed: Proceed) -> Proceed:
    async def call(job: CallJob) -> Completed:
        return await filter_.handle(job, proceed)

    return call

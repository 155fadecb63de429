"""The chain of filters that a call passes on its owner, from limits to dispatch."""

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
    """A whole answer of an upstream."""

    answer: Message
    usage: Usage
    worker: str


@define
class CallJob:
    """A call on its way through the chain; times in monotonic seconds.

    `may_have_run` is set once an attempt may have reached an upstream and has no
    outcome. `charged_tokens` sums what all attempts so far are charged.
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
        """What may be said of the call if it ends without an outcome now."""
        return Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN

    @property
    def token_bound(self) -> int:
        """The most tokens that one attempt can spend."""
        if self.request.kind.value == "tool":
            return 0
        return self.prompt_bound + self.request.max_tokens

    def refuse(
        self, kind: ErrorKind, message: str, retry_after: float | None = None
    ) -> RequestError:
        """Build an error with the verdict that holds for this call."""
        return RequestError(kind, message, verdict=self.verdict, retry_after_seconds=retry_after)


Proceed = Callable[[CallJob], Awaitable[Completed]]


class Filter(Protocol):
    """One link of the chain; calls `proceed` to go on, or raises."""

    async def handle(self, job: CallJob, proceed: Proceed) -> Completed:
        """Pass the call on, perhaps more than once."""


def build_chain(filters: Sequence[Filter], last: Proceed) -> Proceed:
    """Join filters, the first outermost, before the last step."""
    proceed = last
    for link in reversed(filters):
        proceed = _bind(link, proceed)
    return proceed


def _bind(link: Filter, proceed: Proceed) -> Proceed:
    async def call(job: CallJob) -> Completed:
        return await link.handle(job, proceed)

    return call

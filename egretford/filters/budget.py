"""Reservation of budget before each attempt."""

from __future__ import annotations

from typing import Protocol

from egretford.errors import ErrorKind, UpstreamError, Verdict
from egretford.filters.chain import CallJob, Completed, Proceed
from egretford.policy.records import CeilingRaised, Record, TokensCharged


class JobJournal(Protocol):
    """What filters need of the journal."""

    async def make_durable(self, job: CallJob, records: list[Record]) -> None:
        """Append and fold records; raises RequestError if they are not durable in time."""

    def note(self, records: list[Record]) -> None:
        """Fold records now and append them without waiting."""


class BudgetFilter:
    """Reserves the most an attempt can spend, and makes the ceiling durable first."""

    def __init__(self, journal: JobJournal) -> None:
        self._journal = journal

    async def handle(self, job: CallJob, proceed: Proceed) -> Completed:
        """Reserve, run, and count what the attempt is charged."""
        tokens = job.token_bound
        self._check(job, tokens)
        account = job.program.account
        account.reserve(tokens, 1)
        try:
            if account.needs_ceiling(0):
                ceiling = CeilingRaised(job.program.root, account.plan_ceiling(0))
                await self._journal.make_durable(job, [ceiling])
            completed = await proceed(job)
            job.charged_tokens = min(tokens, completed.usage.prompt + completed.usage.completion)
            return completed
        except UpstreamError as error:
            if tokens and error.verdict is not Verdict.NOT_RUN:
                lost = job.program.lost_tokens + tokens
                self._journal.note([TokensCharged(job.program.id, lost)])
            raise
        finally:
            account.unreserve(tokens, 1)

    def _check(self, job: CallJob, tokens: int) -> None:
        field = job.program.account.find_exhausted(tokens, 1)
        if field is not None:
            raise job.refuse(
                ErrorKind.BUDGET_EXHAUSTED,
                f"the budget of {field} does not cover this call; it may need "
                f"{tokens} tokens and 1 call",
            )

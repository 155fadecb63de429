"""Reserves budget before each attempt."""

from __future__ import annotations

from typing import Protocol

from egretford.errors import ErrorKind, UpstreamError, Verdict
from egretford.filters.chain import CallJob, Completed, Proceed
from egretford.policy.records import CeilingRaised, Record, TokensCharged


class JobJournal(Protocol):
    """The part of the journal that filters use."""

    async def make_durable(self, job: CallJob, records: list[Record]) -> None:
        """Append records and apply them once durable.

        Raises RequestError if they are not durable by the deadline of the job.
        """

    def apply_now(self, records: list[Record]) -> None:
        """Append records and apply them without waiting for durability."""


class BudgetFilter:
    """Reserves the most tokens an attempt can spend, under a durable token ceiling.

    A successor counts the whole ceiling as spent, so the budget holds across a takeover.
    """

    def __init__(self, journal: JobJournal) -> None:
        self._journal = journal

    async def handle(self, job: CallJob, proceed: Proceed) -> Completed:
        """Reserve, run and charge one attempt; raises BUDGET_EXHAUSTED."""
        tokens = job.token_bound
        self._check_budget(job, tokens)
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
                self._journal.apply_now([TokensCharged(job.program.id, lost)])
            raise
        finally:
            account.unreserve(tokens, 1)

    def _check_budget(self, job: CallJob, tokens: int) -> None:
        field = job.program.account.find_exhausted(tokens, 1)
        if field is not None:
            raise job.build_error(
                ErrorKind.BUDGET_EXHAUSTED,
                f"the budget of {field} does not cover this call; it may need "
                f"{tokens} tokens and 1 call",
            )

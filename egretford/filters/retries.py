"""Retries failed attempts, as far as the verdict and the limits of the route allow."""

from __future__ import annotations

import random

from egretford.clock import Clock
from egretford.errors import ErrorKind, RequestError, UpstreamError, UpstreamRejectedError, Verdict
from egretford.filters.chain import CallJob, Completed, Proceed
from egretford.policy.retry import FailedAttempt, GiveUp, RetryBudget, RetryLater, decide_retry


class RetryFilter:
    """Runs attempts until one completes or the policy gives up."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._budgets: dict[str, RetryBudget] = {}

    async def handle(self, job: CallJob, proceed: Proceed) -> Completed:
        """Run attempts with backoff; raises RequestError after the last."""
        budget = self._find_budget(job)
        budget.record_attempt()
        while True:
            job.attempt += 1
            try:
                return await proceed(job)
            except UpstreamError as error:
                await self._wait_or_give_up(job, error, budget)

    def _find_budget(self, job: CallJob) -> RetryBudget:
        budget = self._budgets.get(job.route.name)
        if budget is None or budget.ratio != job.route.retry.ratio:
            budget = self._budgets[job.route.name] = RetryBudget(job.route.retry.ratio)
        return budget

    async def _wait_or_give_up(
        self, job: CallJob, error: UpstreamError, budget: RetryBudget
    ) -> None:
        attempt = FailedAttempt(
            error=error,
            number=job.attempt,
            repeatable=job.request.is_repeatable,
            seconds_left=job.deadline - self._clock.monotonic(),
        )
        match decide_retry(attempt, job.route.retry, budget, self._rng):
            case RetryLater(delay):
                if job.worker is not None:
                    job.excluded.add(job.worker.name)
                await self._clock.sleep(delay)
            case GiveUp(reason):
                raise self._build_final_error(job, error, reason) from error

    def _build_final_error(self, job: CallJob, error: UpstreamError, reason: str) -> RequestError:
        message = f"{reason}; last failure: {error}"
        if isinstance(error, UpstreamRejectedError):
            return job.build_error(ErrorKind.UPSTREAM_REJECTED, message)
        if error.verdict is Verdict.MAY_HAVE_RUN and not job.request.is_repeatable:
            return job.build_error(ErrorKind.OUTCOME_UNKNOWN, message)
        return job.build_error(ErrorKind.UPSTREAM_FAILED, message, retry_after=1.0)

"""Limits the size of calls, and the number of running calls by entry and by tenant of a route."""

from __future__ import annotations

from collections import Counter

from egretford.errors import ErrorKind
from egretford.filters.chain import CallJob, Completed, Proceed
from egretford.policy.history import measure_bytes

RETRY_AFTER_SECONDS = 1.0


class LimitFilter:
    """Refuses calls over a limit before any resources are spent on them."""

    def __init__(self, running_calls: int) -> None:
        self._running_calls = running_calls
        self._by_tenant: Counter[tuple[str, str]] = Counter()
        self._running = 0

    async def handle(self, job: CallJob, proceed: Proceed) -> Completed:
        """Count the call while it runs; raises TOO_LARGE or OVERLOADED over a limit."""
        key = (job.route.name, job.program.opened.tenant)
        self._check_limits(job, key)
        self._running += 1
        self._by_tenant[key] += 1
        try:
            return await proceed(job)
        finally:
            self._running -= 1
            self._by_tenant[key] -= 1
            if not self._by_tenant[key]:
                del self._by_tenant[key]

    def _check_limits(self, job: CallJob, key: tuple[str, str]) -> None:
        size = measure_bytes(job.request.messages)
        if size > job.route.limits.body_bytes:
            raise job.build_error(
                ErrorKind.TOO_LARGE,
                f"the messages have {size} bytes; route {key[0]} takes "
                f"{job.route.limits.body_bytes}",
            )
        if self._running >= self._running_calls:
            raise job.build_error(
                ErrorKind.OVERLOADED, "this entry runs too many calls", RETRY_AFTER_SECONDS
            )
        if self._by_tenant[key] >= job.route.limits.tenant_running:
            raise job.build_error(
                ErrorKind.OVERLOADED,
                f"tenant {key[1]} runs too many calls on route {key[0]}",
                RETRY_AFTER_SECONDS,
            )

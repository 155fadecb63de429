"""Acquires a worker's slot for each attempt."""

from __future__ import annotations

from typing import Protocol

from egretford.clock import Clock
from egretford.errors import ErrorKind, UpstreamError, UpstreamLostError, UpstreamRefusedError
from egretford.filters.chain import CallJob, Completed, Proceed
from egretford.models import Worker
from egretford.policy.records import WorkerHeld


class Scheduler(Protocol):
    """Grants slots of a pool's workers."""

    async def acquire(self, job: CallJob, ticket: str) -> Worker:
        """Wait for a slot; raises RequestError if none is granted before the deadline."""

    def finish(
        self, job: CallJob, ticket: str, *, failed: bool = False, completed: Completed | None = None
    ) -> None:
        """Release the slot and report the result of the attempt."""


class GrantFilter:
    """Holds a slot during each attempt."""

    def __init__(self, scheduler: Scheduler, clock: Clock) -> None:
        self._scheduler = scheduler
        self._clock = clock
        self._tickets = 0

    async def handle(self, job: CallJob, proceed: Proceed) -> Completed:
        """Run one attempt while holding a slot; raises RequestError without one."""
        if self._clock.monotonic() >= job.deadline:
            raise job.build_error(
                ErrorKind.TIMEOUT, "the call's time ran out before it got a worker"
            )
        self._tickets += 1
        ticket = f"{job.program.id}/{job.request.call}/{self._tickets}"
        job.worker = await self._scheduler.acquire(job, ticket)
        job.granted_at = self._clock.monotonic()
        failed = False
        completed = None
        try:
            completed = await proceed(job)
            return completed
        except UpstreamError as error:
            failed = isinstance(error, UpstreamLostError | UpstreamRefusedError)
            raise
        finally:
            self._scheduler.finish(job, ticket, failed=failed, completed=completed)


def build_holder_records(job: CallJob) -> list[WorkerHeld]:
    """Return the record that the worker may hold memory, unless the program already has it."""
    worker = job.worker.name if job.worker else ""
    if not worker or worker in job.program.held_by:
        return []
    return [WorkerHeld(job.program.id, worker)]

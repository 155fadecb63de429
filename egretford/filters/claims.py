"""Records claims of non-repeatable calls before they are dispatched."""

from __future__ import annotations

from egretford.filters.budget import JobJournal
from egretford.filters.chain import CallJob, Completed, Proceed
from egretford.policy.records import CallClaimed


class ClaimFilter:
    """Makes a claim durable right before a non-repeatable call is dispatched.

    A successor that finds a claim without an outcome reports that the call may have run.
    """

    def __init__(self, journal: JobJournal) -> None:
        self._journal = journal

    async def handle(self, job: CallJob, proceed: Proceed) -> Completed:
        """Claim a non-repeatable call, then continue; raises RequestError if not durable."""
        if not job.request.is_repeatable:
            claim = CallClaimed(
                program=job.program.id,
                call=job.request.call,
                kind=job.request.kind,
                fingerprint=job.run.fingerprint,
                messages=job.request.messages,
                worker=job.worker.name if job.token_bound else "",
            )
            await self._journal.make_durable(job, [claim])
        return await proceed(job)

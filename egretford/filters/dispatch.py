"""The last step of the filter chain: one attempt on one worker."""

from __future__ import annotations

import asyncio
import random

from egretford.clock import Clock
from egretford.controllers.loops import TaskGroup
from egretford.errors import ErrorKind, UpstreamLostError, UpstreamRefusedError, Verdict
from egretford.filters.budget import JobJournal
from egretford.filters.chain import CallJob, Completed
from egretford.filters.grants import build_holder_records
from egretford.models import CallKind, Usage
from egretford.upstream.interface import ModelDispatch, Token, ToolDispatch, Upstream

# Older grants are refused: this process or the store may have paused since the slot was granted.
STALE_GRANT_SECONDS = 4.0


class Dispatcher:
    """Sends a call to the granted worker and reads its answer."""

    def __init__(
        self, upstream: Upstream, journal: JobJournal, clock: Clock, rng: random.Random
    ) -> None:
        self._upstream = upstream
        self._journal = journal
        self._clock = clock
        self._rng = rng
        self._cancels = TaskGroup()

    async def dispatch(self, job: CallJob) -> Completed:
        """Run one attempt within the call's deadline; raises UpstreamError."""
        seconds = job.deadline - self._clock.monotonic()
        if seconds <= 0:
            raise job.build_error(ErrorKind.TIMEOUT, "the call's time ran out before dispatch")
        self._check_grant_age(job)
        holder_records = build_holder_records(job) if job.request.kind is CallKind.MODEL else []
        if holder_records:
            self._journal.apply_now(holder_records)
        previous = job.may_have_run, job.program.dispatched
        job.may_have_run = job.program.dispatched = True
        try:
            return await self._run(job, seconds)
        except Exception as error:
            if getattr(error, "verdict", None) is Verdict.NOT_RUN:
                job.may_have_run, job.program.dispatched = previous
            raise

    def _check_grant_age(self, job: CallJob) -> None:
        """Raise UpstreamRefusedError if the grant is older than STALE_GRANT_SECONDS."""
        age = self._clock.monotonic() - job.granted_at
        if age > STALE_GRANT_SECONDS:
            raise UpstreamRefusedError(f"{job.worker.name}: the grant is {age:.1f} s old")

    async def _run(self, job: CallJob, seconds: float) -> Completed:
        try:
            async with asyncio.timeout(seconds):
                if job.request.kind is CallKind.TOOL:
                    return await self._run_tool(job, seconds)
                return await self._run_model(job)
        except TimeoutError as error:
            raise UpstreamLostError(
                "no whole answer within the call's time", crashed=False
            ) from error

    async def _run_tool(self, job: CallJob, seconds: float) -> Completed:
        dispatch = ToolDispatch(
            job.program.id, job.request.call, job.request.messages, job.request.is_repeatable
        )
        result = await self._upstream.run_tool(job.worker, dispatch, seconds)
        return Completed({"role": "tool", "content": result}, Usage(), job.worker.name)

    async def _run_model(self, job: CallJob) -> Completed:
        dispatch = ModelDispatch(
            request_id=f"{self._rng.getrandbits(64):016x}",
            program=job.program.id,
            model=job.pool.model or "",
            messages=job.program.history() + job.request.messages,
            max_tokens=job.request.max_tokens,
            skip_tokens=len(job.run.tokens),
        )
        finished = False
        try:
            async for event in self._upstream.run_model(job.worker, dispatch):
                if isinstance(event, Token):
                    self._add_token(job, event)
                    continue
                finished = True
                return self._complete(job, event.usage, dispatch.skip_tokens)
        finally:
            if not finished:
                self._cancels.spawn(self._upstream.cancel(job.worker, dispatch.request_id))
        raise UpstreamLostError("the stream ended without its end event", crashed=False)

    def _add_token(self, job: CallJob, event: Token) -> None:
        """Append a token unless it is known; a resumed stream may repeat tokens."""
        if event.index == len(job.run.tokens):
            job.run.add_token(event.text)
        elif event.index > len(job.run.tokens):
            raise UpstreamLostError(f"token {event.index} came out of order", crashed=False)

    def _complete(self, job: CallJob, usage: Usage, skipped: int) -> Completed:
        answer = {"role": "assistant", "content": "".join(job.run.tokens).strip()}
        total_usage = Usage(usage.prompt, usage.cached, usage.completion + skipped)
        return Completed(answer, total_usage, job.worker.name)

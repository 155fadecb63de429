"""Programs owned by one incarnation: the order of their calls, history and budget."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import evolve

from egretford.context import Context
from egretford.controllers.configuration import ConfigurationController
from egretford.controllers.journal import JournalWriter
from egretford.controllers.loops import TaskGroup
from egretford.controllers.records import STORE_RETRY_SECONDS, RecordWriter
from egretford.controllers.runs import CallRun
from egretford.errors import (
    EgretfordError,
    ErrorKind,
    RequestError,
    Verdict,
)
from egretford.filters.chain import CallJob, Completed, Proceed
from egretford.models import (
    CallRequest,
    OpenRequest,
    Pool,
    ProgramView,
    Route,
    Usage,
)
from egretford.policy.budget import initial_ceiling
from egretford.policy.history import fingerprint_content, fingerprint_request
from egretford.policy.program import (
    Join,
    Program,
    ProgramTable,
    Refuse,
    Replay,
    Start,
    WaitForPredecessor,
)
from egretford.policy.records import (
    CallSettled,
    CeilingRaised,
    ProgramEnded,
    ProgramOpened,
    Record,
)
from egretford.policy.steps import CallProgress, CallStep

# A repeated request of a caller is matched to its run for this long, or until a longer run ends.
REQUEST_RETENTION_SECONDS = 60.0
_NO_USAGE = Usage()


class Owner:
    """Serves the programs of one incarnation, including those taken over from others."""

    def __init__(
        self,
        context: Context,
        incarnation: str,
        journal: JournalWriter,
        table: ProgramTable,
        configuration: ConfigurationController,
    ) -> None:
        self.incarnation = incarnation
        self.journal = journal
        self.table = table
        self.record_writer = RecordWriter(
            journal, table, context.clock, context.settings.journal.durable_wait_seconds
        )
        self._context = context
        self._configuration = configuration
        self._clock = context.clock
        self._log = context.make_logger("owner")
        self.accepts_calls = True
        self._opened = 0
        self._runs: dict[tuple[str, int], CallRun] = {}
        self._runs_by_request: dict[tuple[str, str], tuple[float, CallRun]] = {}
        self._settled_events: dict[str, asyncio.Event] = {}
        self._tasks = TaskGroup()
        self._chain: Proceed | None = None
        self.on_ended: Callable[[Program], None] = lambda program: None

    def set_chain(self, chain: Proceed) -> None:
        """Set the filter chain that runs calls."""
        self._chain = chain

    async def close(self) -> None:
        """Cancel all running calls without settling them."""
        await self._tasks.close()

    @property
    def running_calls(self) -> int:
        """Number of calls in progress."""
        return len(self._runs)

    async def open(self, request: OpenRequest, opening_key: str | None = None) -> Program:
        """Open a program and make it durable, or keep it in memory during a store outage.

        Raises RequestError if the route or parent is unknown, the parent has ended, the
        entry is full, or the journal does not accept the record.
        """
        route = self._find_opening_route(request.route)
        if len(self.table.programs) >= self._context.settings.limits.programs:
            raise RequestError(
                ErrorKind.OVERLOADED, "this entry holds too many programs", retry_after_seconds=1.0
            )
        self._check_parent_open(request)
        self._opened += 1
        record = ProgramOpened(
            program=f"{self.incarnation}-{self._opened}",
            route=route.name,
            tenant=request.tenant,
            urgency=request.urgency,
            budget=request.budget,
            parent=request.parent,
            opened_at=self._clock.now(),
            ceiling_tokens=initial_ceiling(request.budget),
            opening_key=opening_key,
        )
        await self._append_opening(record)
        return self.table.programs[record.program]

    def _check_parent_open(self, request: OpenRequest) -> None:
        if request.parent is None:
            return
        parent = self.find_program(request.parent)
        if parent.ended is not None:
            raise RequestError(ErrorKind.PROGRAM_ENDED, f"parent {request.parent} has ended")

    async def _append_opening(self, record: ProgramOpened) -> None:
        parent = record.parent
        root = self.table.root_of(parent) if parent else record.program
        done = self.record_writer.append([record], lambda program: root)
        self.table.apply(record)
        durable = await self.record_writer.wait(done)
        if not durable:
            self._log.warning(
                "store unavailable; program opened in memory only", program=record.program
            )

    def find_program(self, program: str) -> Program:
        """Return a program held here; raises UNKNOWN_PROGRAM."""
        found = self.table.programs.get(program)
        if found is None:
            raise RequestError(
                ErrorKind.UNKNOWN_PROGRAM,
                f"no program {program!r} is known; it may have ended and been forgotten",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        return found

    def view(self, program: str) -> ProgramView:
        """Return a program's public state; raises UNKNOWN_PROGRAM."""
        return self.find_program(program).view(self._clock.now())

    def get_call(self, program: str, call: int) -> CallProgress:
        """Return a call's outcome, or progress without one while it runs; raises UNKNOWN_CALL."""
        found = self.find_program(program)
        if 1 <= call <= found.last_call:
            return CallProgress(tokens=[], outcome=found.outcome_of(call))
        if (program, call) in self._runs:
            return CallProgress(tokens=[])
        raise RequestError(
            ErrorKind.UNKNOWN_CALL,
            f"call {call} has no outcome here; the last one that has is {found.last_call}",
            verdict=Verdict.MAY_HAVE_RUN if found.dispatched else Verdict.NOT_RUN,
        )

    async def end(self, program: str, reason: str = "ended by its caller") -> ProgramView:
        """End a program and its descendants; idempotent.

        Raises STORE_UNAVAILABLE if the end does not become durable in time.
        """
        self.find_program(program)
        now = self._clock.now()
        ending = [member for member in self.table.tree_of(program) if member.ended is None]
        records = [ProgramEnded(member.id, reason, now) for member in ending]
        self.record_writer.apply_now(records)
        for member in ending:
            self._wake_waiters(member.id)
            self.on_ended(member)
        if not await self.record_writer.wait_pending():
            raise RequestError(
                ErrorKind.STORE_UNAVAILABLE,
                "the end is not recorded yet; send it again",
                verdict=Verdict.MAY_HAVE_RUN,
                retry_after_seconds=STORE_RETRY_SECONDS,
            )
        return self.view(program)

    async def step(self, step: CallStep) -> CallProgress:
        """Start, join or follow a call and return its progress; see CallStep."""
        program = self.find_program(step.program)
        if step.whole_history:
            step = evolve(step, request=program.trim_history(step.request))
        run = self._find_run(step)
        if run is None:
            run = await self._admit(program, step)
        if isinstance(run, CallProgress):
            return self._add_labels(run, program)
        if step.delivered and run.tokens[: step.cursor] != step.delivered and not run.is_done:
            raise RequestError(
                ErrorKind.CALL_CONFLICT,
                "the call runs again elsewhere with another text; get it by its number",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        progress = await run.follow(step.cursor, step.wait_seconds, stream=step.request.stream)
        return self._add_labels(progress, program)

    def _add_labels(self, progress: CallProgress, program: Program) -> CallProgress:
        return evolve(progress, tenant=program.opened.tenant, urgency=program.opened.urgency.value)

    def _find_run(self, step: CallStep) -> CallRun | None:
        known = self._runs_by_request.get((step.program, step.sending))
        return known[1] if known else None

    async def _admit(self, program: Program, step: CallStep) -> CallRun | CallProgress:
        """Start or join a run; returns progress instead if the call waits or is settled."""
        wait_until = self._clock.monotonic() + step.wait_seconds
        while True:
            match program.decide_call(step.request, self._clock.now()):
                case Replay(outcome):
                    return CallProgress(tokens=[], outcome=outcome)
                case Join():
                    run = self._runs[(program.id, step.request.call)]
                case Start() if not self.accepts_calls:
                    await self._wait_until_settled(program.id, wait_until)
                    return CallProgress(tokens=[], waiting=True)
                case Start():
                    run = self._start_run(program, step)
                case Refuse(error):
                    raise error
                case WaitForPredecessor():
                    if not await self._wait_until_settled(program.id, wait_until):
                        return CallProgress(tokens=[], waiting=True)
                    continue
            self._remember_request(step, run)
            return run

    def _remember_request(self, step: CallStep, run: CallRun) -> None:
        now = self._clock.monotonic()
        self._runs_by_request[(step.program, step.sending)] = now + REQUEST_RETENTION_SECONDS, run

    def drop_old_requests(self) -> None:
        """Drop requests whose run has finished and whose retention time has passed."""
        now = self._clock.monotonic()
        old = [
            k for k, (until, run) in self._runs_by_request.items() if now >= until and run.is_done
        ]
        for key in old:
            del self._runs_by_request[key]

    async def _wait_until_settled(self, program: str, until: float) -> bool:
        event = self._settled_events.setdefault(program, asyncio.Event())
        try:
            async with asyncio.timeout(max(0.0, until - self._clock.monotonic())):
                await event.wait()
            return True
        except TimeoutError:
            return False

    def _wake_waiters(self, program: str) -> None:
        event = self._settled_events.pop(program, None)
        if event is not None:
            event.set()

    def _start_run(self, program: Program, step: CallStep) -> CallRun:
        request = step.request
        lost_run = step.cursor != len(step.delivered)
        if self.journal.sealed.is_set() or lost_run:
            raise _build_lost_ownership_error(program, request.is_repeatable or lost_run)
        name = request.service or program.opened.route
        route, pool = self._find_route(name, request, program)
        run = CallRun(fingerprint_request(request), step.delivered)
        seconds = min(
            step.seconds_left,
            request.timeout_seconds,
            route.deadline_seconds,
            (program.expires_at - self._clock.now()).total_seconds(),
        )
        job = CallJob(
            program=program,
            request=request,
            route=route,
            pool=pool,
            run=run,
            content=fingerprint_content(request, route.name),
            prompt_bound=program.max_prompt_tokens(request),
            deadline=self._clock.monotonic() + seconds,
            may_have_run=program.dispatched and request.is_repeatable,
        )
        program.running = run.fingerprint
        self._runs[(program.id, request.call)] = run
        self._tasks.spawn(self._run(job))
        return run

    def _find_opening_route(self, name: str) -> Route:
        """Return a route, whatever its pool serves: a program may make tool calls only."""
        route = self._configuration.current.find_route(name)
        if route is None:
            raise RequestError(
                ErrorKind.UNKNOWN_ROUTE, f"no route {name!r}; see 'egretford get routes'"
            )
        return route

    def _find_route(self, name: str, request: CallRequest, program: Program) -> tuple[Route, Pool]:
        tables = self._configuration.current
        route = tables.find_route(name)
        pool = tables.resolve(route, request.kind) if route else None
        if route is None or pool is None:
            raise RequestError(
                ErrorKind.UNKNOWN_ROUTE,
                f"no route {name!r} leads to a pool for {request.kind} calls; "
                "see 'egretford get routes'",
                verdict=program.refusal_verdict(request),
            )
        return route, pool

    async def _run(self, job: CallJob) -> None:
        key = (job.program.id, job.request.call)
        try:
            completed = await self._chain(job)
            await self._settle(job, completed)
        except RequestError as error:
            await self._fail(job, error)
        except EgretfordError as error:
            await self._fail(job, job.build_error(ErrorKind.INTERNAL, repr(error)))
        except Exception as error:
            self._log.error("call failed with an internal error", error=repr(error), call=key)
            await self._fail(job, job.build_error(ErrorKind.INTERNAL, repr(error)))
        finally:
            self._runs.pop(key, None)
            job.program.running = None
            self._wake_waiters(job.program.id)

    async def _settle(self, job: CallJob, completed: Completed) -> None:
        record = self._build_settlement(job, completed)
        records: list[Record] = [record]
        root = job.program.account.root
        if root.needs_ceiling(record.charged_tokens + 2 * job.token_bound):
            records.append(CeilingRaised(job.program.root, root.plan_ceiling(2 * job.token_bound)))
        await self.record_writer.settle(job.program, records)
        job.program.running = None
        self._finish(job)

    def _build_settlement(self, job: CallJob, completed: Completed | None) -> CallSettled:
        return CallSettled(
            program=job.program.id,
            call=job.request.call,
            kind=job.request.kind,
            fingerprint=job.run.fingerprint,
            messages=job.request.messages,
            answer=completed.answer if completed else None,
            verdict=Verdict.RAN if completed else Verdict.MAY_HAVE_RUN,
            usage=completed.usage if completed else _NO_USAGE,
            charged_tokens=job.charged_tokens,
            worker=completed.worker if completed and job.token_bound else "",
        )

    def _finish(self, job: CallJob) -> None:
        job.run.finish(job.program.outcome_of(job.request.call))
        self._wake_waiters(job.program.id)

    async def _fail(self, job: CallJob, error: RequestError) -> None:
        """End a run with an error; settles a claimed call that may have run as MAY_HAVE_RUN."""
        claimed = not job.request.is_repeatable and job.may_have_run
        if claimed and error.verdict is Verdict.MAY_HAVE_RUN and not self.journal.sealed.is_set():
            try:
                await self.record_writer.settle(job.program, [self._build_settlement(job, None)])
            except RequestError as failure:
                self._log.warning(
                    "could not record an unknown outcome", program=job.program.id, why=str(failure)
                )
        job.program.running = None
        job.run.fail(error)

    def list_expired(self) -> list[str]:
        """Return ids of open programs without a running call whose budget of seconds is spent."""
        now = self._clock.now()
        return [
            program.id
            for program in self.table.programs.values()
            if program.ended is None and now >= program.expires_at and program.running is None
        ]


def _build_lost_ownership_error(program: Program, outcome_unknown: bool) -> RequestError:
    may_have_run = program.dispatched and outcome_unknown
    return RequestError(
        ErrorKind.OWNER_UNREACHABLE,
        "this entry no longer owns the program; send the call again",
        verdict=Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN,
        retry_after_seconds=1.0,
    )

"""The caller's side of an entry: finds a program's owner and follows its answers.

An owner that cannot be reached, or says that the program has moved, is looked up again
until the call's time is out. Sending a step again is safe at any moment, since owners
know calls by number and body.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from attrs import define, evolve, frozen

from egretford.context import Context
from egretford.controllers.node import Node
from egretford.controllers.openings import opening_key
from egretford.errors import (
    ErrorKind,
    ObjectMissingError,
    PeerUnreachableError,
    RequestError,
    StoreUnavailableError,
    Verdict,
)
from egretford.models import CallRequest, Member, OpenRequest, ProgramView, incarnation_of
from egretford.peer.interface import Peers
from egretford.peer.messages import EndProgram, GetCall, OpenProgram, ViewProgram
from egretford.policy.steps import CallProgress, CallStep

STEP_SECONDS = 2.0
STEP_GRACE_SECONDS = 1.5
CALL_GRACE_SECONDS = 3.0
CONTROL_SECONDS = 10.0
LOCATE_PAUSE_SECONDS = 0.1
LISTING_SECONDS = 0.3
RETRY_AFTER_SECONDS = 2.0
MAX_OWNER_STEPS = 16


@frozen
class Local:
    """This entry owns the program."""


@frozen
class Remote:
    """A peer owns the program."""

    member: Member


@frozen
class Moving:
    """The program's owner is gone or changing."""


Location = Local | Remote | Moving


@define
class Pursuit:
    """A request on its way to an owner; `reached` once an owner may have taken it."""

    program: str
    deadline: float
    reached: bool = False


class Gateway:
    """Serves callers from whichever entry owns their program."""

    def __init__(self, context: Context, peers: Peers) -> None:
        self.node: Node | None = None
        self.inflight = 0
        self._context = context
        self._peers = peers
        self._clock = context.clock
        self._listed_at = -LISTING_SECONDS

    async def open(self, request: OpenRequest, key: str | None) -> ProgramView:
        """Open a program here, or a child at its parent's owner."""
        if key is None:
            return await self._open_unkeyed(request, None)
        bound = opening_key(request.tenant, key)
        found = await self.node.openings.find(bound, request)
        version = None
        if found is not None:
            try:
                return await self.view(found[0])
            except RequestError as error:
                if error.kind is not ErrorKind.UNKNOWN_PROGRAM:
                    raise
                version = found[1]
        opened = await self._open_unkeyed(request, bound)
        winner = await self.node.openings.bind(bound, request, opened.program, version)
        if winner == opened.program:
            return opened
        await self.end(opened.program)
        return await self.view(winner)

    async def _open_unkeyed(self, request: OpenRequest, key: str | None) -> ProgramView:
        if request.parent is None:
            return await self._open_local(OpenProgram(request, key))
        return await self._pursue(request.parent, OpenProgram(request, key), self._open_local)

    async def _open_local(self, message: OpenProgram) -> ProgramView:
        program = await self.node.owner.open(message.request, message.opening_key)
        return program.view(self._clock.now())

    async def view(self, program: str) -> ProgramView:
        """Return a program's state."""
        return await self._pursue(program, ViewProgram(program), self._view_local)

    async def _view_local(self, message: ViewProgram) -> ProgramView:
        return self.node.owner.view(message.program)

    async def end(self, program: str) -> ProgramView:
        """End a program and its children."""
        return await self._pursue(program, EndProgram(program), self._end_local)

    async def _end_local(self, message: EndProgram) -> ProgramView:
        return await self.node.owner.end(message.program)

    async def get_call(self, program: str, call: int) -> CallProgress:
        """Return a call's outcome, or progress without one while it runs."""
        return await self._pursue(program, GetCall(program, call), self._get_local)

    async def _get_local(self, message: GetCall) -> CallProgress:
        return self.node.owner.get_call(message.program, message.call)

    async def answer_peer(self, message: Any) -> Any:
        """Answer a request of a peer's gateway from the programs owned here."""
        match message:
            case OpenProgram():
                return await self._open_local(message)
            case ViewProgram():
                return await self._view_local(message)
            case EndProgram():
                return await self._end_local(message)
            case GetCall():
                return await self._get_local(message)
            case CallStep():
                return await self.node.owner.step(message)

    async def _pursue(
        self, program: str, message: Any, local: Callable[[Any], Awaitable[Any]]
    ) -> Any:
        """Have a request answered by the program's owner, wherever it is."""
        pursuit = Pursuit(program, self._clock.monotonic() + CONTROL_SECONDS)
        while True:
            answer = await self._try_owner(pursuit, message, local, CONTROL_SECONDS / 4)
            if answer is not None:
                return answer

    async def _try_owner(
        self,
        pursuit: Pursuit,
        message: Any,
        local: Callable[[Any], Awaitable[Any]],
        seconds: float,
    ) -> Any | None:
        """Ask the owner once; None when it must be looked up again."""
        try:
            match await self._locate(pursuit.program):
                case Local():
                    return await local(message)
                case Remote(member):
                    return await self._peers.ask(member.address, message, seconds)
        except PeerUnreachableError:
            pursuit.reached = True
        except RequestError as error:
            if not self._is_worth_another_look(pursuit, error):
                raise
            pursuit.reached = pursuit.reached or error.verdict is not Verdict.NOT_RUN
        if self._clock.monotonic() >= pursuit.deadline:
            raise _refuse_unreachable(pursuit)
        await self._clock.sleep(LOCATE_PAUSE_SECONDS)
        await self._refresh_listing()
        return None

    def _is_worth_another_look(self, pursuit: Pursuit, error: RequestError) -> bool:
        if error.kind is ErrorKind.OWNER_UNREACHABLE:
            return True
        prefix = incarnation_of(pursuit.program)
        return error.kind is ErrorKind.UNKNOWN_PROGRAM and prefix in self.node.takeover.active

    async def _locate(self, program: str) -> Location:
        """Find a program's owner; raises UNKNOWN_PROGRAM for an id that names none."""
        node = self.node
        if program in node.table.programs and not node.is_fenced:
            return Local()
        prefix = incarnation_of(program)
        if prefix == node.incarnation:
            return Moving() if node.is_fenced else Local()
        if prefix not in node.members.membership.sightings:
            await self._check_incarnation(prefix, program)
            return Moving()
        return self._follow_owners(prefix)

    def _follow_owners(self, incarnation: str) -> Location:
        """Follow finished takeovers from one incarnation to the one that serves now."""
        node = self.node
        for _ in range(MAX_OWNER_STEPS):
            if incarnation == node.incarnation:
                return Local()
            sighting = node.members.membership.sightings.get(incarnation)
            if sighting is None:
                return Moving()
            member = sighting.member
            if member.owner == incarnation:
                return Remote(member)
            if member.state != "copied" or incarnation in node.takeover.active:
                return Moving()
            incarnation = member.owner
        return Moving()

    async def _check_incarnation(self, prefix: str, program: str) -> None:
        """Look an unknown incarnation up in the store."""
        try:
            known = await self.node.members.find_member(prefix) if prefix else None
        except StoreUnavailableError:
            return
        if known is None:
            raise RequestError(
                ErrorKind.UNKNOWN_PROGRAM,
                f"no program {program!r} is known; it may have ended and been forgotten",
                verdict=Verdict.MAY_HAVE_RUN if prefix else Verdict.NOT_RUN,
            )

    async def _refresh_listing(self) -> None:
        now = self._clock.monotonic()
        if now - self._listed_at < LISTING_SECONDS:
            return
        self._listed_at = now
        try:
            await self.node.members.read_members()
        except (StoreUnavailableError, ObjectMissingError):
            return

    async def run_call(
        self, program: str, request: CallRequest, *, whole_history: bool = False
    ) -> AsyncIterator[CallProgress]:
        """Run a call and yield its progress; the last one is done or an error is raised.

        With `whole_history` the messages start with all that the program knows already.
        """
        self.inflight += 1
        try:
            async for progress in self._follow_call(program, request, whole_history):
                yield progress
        finally:
            self.inflight -= 1

    async def _follow_call(
        self, program: str, request: CallRequest, whole_history: bool
    ) -> AsyncIterator[CallProgress]:
        now = self._clock.monotonic()
        pursuit = Pursuit(program, now + request.timeout_seconds + CALL_GRACE_SECONDS)
        order_deadline = now + request.timeout_seconds
        step = CallStep(
            program=program,
            sending=f"{self._context.rng.getrandbits(64):016x}",
            request=request,
            cursor=0,
            delivered=[],
            wait_seconds=STEP_SECONDS,
            seconds_left=request.timeout_seconds,
            whole_history=whole_history,
        )
        received: list[str] = []
        while True:
            progress = await self._advance(pursuit, step, order_deadline)
            if progress is None:
                step = evolve(step, delivered=list(received))
                continue
            progress = _complete_text(request, received, progress)
            received.extend(progress.tokens)
            step = evolve(step, cursor=len(received), delivered=[])
            yield progress
            if progress.is_done:
                return

    async def _advance(
        self, pursuit: Pursuit, step: CallStep, order_deadline: float
    ) -> CallProgress | None:
        now = self._clock.monotonic()
        left = order_deadline - now
        step = evolve(
            step,
            seconds_left=max(0.0, left),
            wait_seconds=min(STEP_SECONDS, max(0.05, left)),
        )
        progress = await self._try_owner(
            pursuit, step, self._step_local, STEP_SECONDS + STEP_GRACE_SECONDS
        )
        if progress is None:
            return None
        if progress.error is not None:
            error = progress.error.to_error()
            pursuit.reached = pursuit.reached or error.verdict is not Verdict.NOT_RUN
            if error.kind is ErrorKind.OWNER_UNREACHABLE and now < pursuit.deadline:
                await self._clock.sleep(LOCATE_PAUSE_SECONDS)
                await self._refresh_listing()
                return None
            raise error
        if progress.waiting:
            if now >= order_deadline:
                raise _refuse_out_of_order(pursuit, step.request)
            return None
        pursuit.reached = True
        if not progress.is_done and now >= pursuit.deadline:
            raise _refuse_unreachable(pursuit)
        return progress

    async def _step_local(self, step: CallStep) -> CallProgress:
        return await self.node.owner.step(step)


def _refuse_unreachable(pursuit: Pursuit) -> RequestError:
    return RequestError(
        ErrorKind.OWNER_UNREACHABLE,
        f"the owner of program {pursuit.program} cannot be reached; send the call again",
        verdict=Verdict.MAY_HAVE_RUN if pursuit.reached else Verdict.NOT_RUN,
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def _refuse_out_of_order(pursuit: Pursuit, request: CallRequest) -> RequestError:
    return RequestError(
        ErrorKind.OUT_OF_ORDER,
        f"call {request.call} waited for call {request.call - 1}, which did not settle in time",
        verdict=Verdict.MAY_HAVE_RUN if pursuit.reached else Verdict.NOT_RUN,
    )


def _complete_text(
    request: CallRequest, received: list[str], progress: CallProgress
) -> CallProgress:
    """Add what a stream still lacks of the whole answer, after a change of owner."""
    outcome = progress.outcome
    if not request.stream or outcome is None or not outcome.answer:
        return progress
    whole = outcome.answer["content"]
    text = "".join([*received, *progress.tokens])
    if not isinstance(whole, str) or text.strip() == whole:
        return progress
    if whole.startswith(text.lstrip()):
        return evolve(progress, tokens=[*progress.tokens, whole[len(text.lstrip()) :]])
    raise RequestError(
        ErrorKind.CALL_CONFLICT,
        "the streamed text is not the start of the answer that was kept; get it by its number",
        verdict=Verdict.MAY_HAVE_RUN,
    )

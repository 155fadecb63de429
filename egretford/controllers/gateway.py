"""Forwards callers' requests to the owner of their program, on this entry or a peer.

If the owner cannot be reached, or reports that the program has moved, the owner is looked up
again until the request times out. Steps are idempotent, since owners identify calls by number
and body.
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

STEP_WAIT_SECONDS = 2.0
# Added to the timeout of a step, which the owner may answer only after STEP_WAIT_SECONDS.
STEP_GRACE_SECONDS = 1.5
# Time beyond the call's own timeout to fetch its outcome from the owner.
CALL_GRACE_SECONDS = 3.0
CONTROL_TIMEOUT_SECONDS = 10.0
LOCATE_RETRY_SECONDS = 0.1
MIN_LISTING_INTERVAL_SECONDS = 0.3
RETRY_AFTER_SECONDS = 2.0
MAX_TAKEOVER_HOPS = 16


@frozen
class Local:
    """This entry owns the program."""


@frozen
class Remote:
    """A peer owns the program."""

    member: Member


@frozen
class Moving:
    """The program's owner is unknown, gone or being replaced; look it up again later."""


Location = Local | Remote | Moving


@define
class PendingRequest:
    """A request that has not been answered; `deadline` is in monotonic seconds.

    `may_have_reached` is set once an owner may have accepted the request.
    """

    program: str
    deadline: float
    may_have_reached: bool = False


class Gateway:
    """Serves callers' requests, whichever entry owns the program."""

    def __init__(self, context: Context, peers: Peers) -> None:
        self.node: Node | None = None
        self.inflight = 0
        self._context = context
        self._peers = peers
        self._clock = context.clock
        self._listed_at = -MIN_LISTING_INTERVAL_SECONDS

    async def open(self, request: OpenRequest, key: str | None) -> ProgramView:
        """Open a program here, or a child at its parent's owner.

        With an idempotency key, returns the program that the key has opened before, if any.
        """
        if key is None:
            return await self._open_at_owner(request, None)
        object_key = opening_key(request.tenant, key)
        found = await self.node.openings.find(object_key, request)
        version = None
        if found is not None:
            try:
                return await self.view(found[0])
            except RequestError as error:
                if error.kind is not ErrorKind.UNKNOWN_PROGRAM:
                    raise
                version = found[1]
        opened = await self._open_at_owner(request, object_key)
        bound_program = await self.node.openings.bind(object_key, request, opened.program, version)
        if bound_program == opened.program:
            return opened
        await self.end(opened.program)
        return await self.view(bound_program)

    async def _open_at_owner(self, request: OpenRequest, key: str | None) -> ProgramView:
        if request.parent is None:
            return await self._open_local(OpenProgram(request, key))
        return await self._send_to_owner(
            request.parent, OpenProgram(request, key), self._open_local
        )

    async def _open_local(self, message: OpenProgram) -> ProgramView:
        program = await self.node.owner.open(message.request, message.opening_key)
        return program.view(self._clock.now())

    async def view(self, program: str) -> ProgramView:
        """Return a program's public state; raises RequestError."""
        return await self._send_to_owner(program, ViewProgram(program), self._view_local)

    async def _view_local(self, message: ViewProgram) -> ProgramView:
        return self.node.owner.view(message.program)

    async def end(self, program: str) -> ProgramView:
        """End a program and its descendants; raises RequestError."""
        return await self._send_to_owner(program, EndProgram(program), self._end_local)

    async def _end_local(self, message: EndProgram) -> ProgramView:
        return await self.node.owner.end(message.program)

    async def get_call(self, program: str, call: int) -> CallProgress:
        """Return a call's outcome, or progress without one while it runs; raises RequestError."""
        return await self._send_to_owner(program, GetCall(program, call), self._get_local)

    async def _get_local(self, message: GetCall) -> CallProgress:
        return self.node.owner.get_call(message.program, message.call)

    async def answer_peer(self, message: Any) -> Any:
        """Handle a request that a peer's gateway has forwarded to this owner."""
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

    async def _send_to_owner(
        self, program: str, message: Any, handle_locally: Callable[[Any], Awaitable[Any]]
    ) -> Any:
        """Send a request to the program's owner; retries for up to CONTROL_TIMEOUT_SECONDS."""
        pending = PendingRequest(program, self._clock.monotonic() + CONTROL_TIMEOUT_SECONDS)
        while True:
            answer = await self._try_owner(
                pending, message, handle_locally, CONTROL_TIMEOUT_SECONDS / 4
            )
            if answer is not None:
                return answer

    async def _try_owner(
        self,
        pending: PendingRequest,
        message: Any,
        handle_locally: Callable[[Any], Awaitable[Any]],
        seconds: float,
    ) -> Any | None:
        """Send a request to the owner once; None if the owner must be looked up again."""
        try:
            match await self._locate(pending.program):
                case Local():
                    return await handle_locally(message)
                case Remote(member):
                    return await self._peers.ask(member.address, message, seconds)
        except PeerUnreachableError:
            pending.may_have_reached = True
        except RequestError as error:
            if not self._is_retryable(pending, error):
                raise
            pending.may_have_reached = (
                pending.may_have_reached or error.verdict is not Verdict.NOT_RUN
            )
        if self._clock.monotonic() >= pending.deadline:
            raise _build_unreachable_error(pending)
        await self._clock.sleep(LOCATE_RETRY_SECONDS)
        await self._refresh_listing()
        return None

    def _is_retryable(self, pending: PendingRequest, error: RequestError) -> bool:
        if error.kind is ErrorKind.OWNER_UNREACHABLE:
            return True
        prefix = incarnation_of(pending.program)
        return error.kind is ErrorKind.UNKNOWN_PROGRAM and prefix in self.node.takeover.active

    async def _locate(self, program: str) -> Location:
        """Find a program's owner; raises UNKNOWN_PROGRAM if its incarnation does not exist."""
        node = self.node
        if program in node.table.programs and not node.is_fenced:
            return Local()
        prefix = incarnation_of(program)
        if prefix == node.incarnation:
            return Moving() if node.is_fenced else Local()
        if prefix not in node.members.membership.known_members:
            await self._check_incarnation_exists(prefix, program)
            return Moving()
        return self._follow_owners(prefix)

    def _follow_owners(self, incarnation: str) -> Location:
        """Follow finished takeovers from an incarnation to its current owner."""
        node = self.node
        for _ in range(MAX_TAKEOVER_HOPS):
            if incarnation == node.incarnation:
                return Local()
            known_member = node.members.membership.known_members.get(incarnation)
            if known_member is None:
                return Moving()
            member = known_member.member
            if member.owner == incarnation:
                return Remote(member)
            if member.state != "copied" or incarnation in node.takeover.active:
                return Moving()
            incarnation = member.owner
        return Moving()

    async def _check_incarnation_exists(self, prefix: str, program: str) -> None:
        """Look up an unlisted incarnation in the store; raises UNKNOWN_PROGRAM if it is missing."""
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
        if now - self._listed_at < MIN_LISTING_INTERVAL_SECONDS:
            return
        self._listed_at = now
        try:
            await self.node.members.read_members()
        except (StoreUnavailableError, ObjectMissingError):
            return

    async def run_call(
        self, program: str, request: CallRequest, *, whole_history: bool = False
    ) -> AsyncIterator[CallProgress]:
        """Run a call and yield its progress until it is done; raises RequestError.

        With `whole_history` the request's messages start with the program's settled history.
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
        pending = PendingRequest(program, now + request.timeout_seconds + CALL_GRACE_SECONDS)
        call_deadline = now + request.timeout_seconds
        step = CallStep(
            program=program,
            sending=f"{self._context.rng.getrandbits(64):016x}",
            request=request,
            cursor=0,
            delivered=[],
            wait_seconds=STEP_WAIT_SECONDS,
            seconds_left=request.timeout_seconds,
            whole_history=whole_history,
        )
        received: list[str] = []
        while True:
            progress = await self._advance(pending, step, call_deadline)
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
        self, pending: PendingRequest, step: CallStep, call_deadline: float
    ) -> CallProgress | None:
        now = self._clock.monotonic()
        remaining = call_deadline - now
        step = evolve(
            step,
            seconds_left=max(0.0, remaining),
            wait_seconds=min(STEP_WAIT_SECONDS, max(0.05, remaining)),
        )
        progress = await self._try_owner(
            pending, step, self._step_local, STEP_WAIT_SECONDS + STEP_GRACE_SECONDS
        )
        if progress is None:
            return None
        if progress.error is not None:
            error = progress.error.to_error()
            pending.may_have_reached = (
                pending.may_have_reached or error.verdict is not Verdict.NOT_RUN
            )
            if error.kind is ErrorKind.OWNER_UNREACHABLE and now < pending.deadline:
                await self._clock.sleep(LOCATE_RETRY_SECONDS)
                await self._refresh_listing()
                return None
            raise error
        if progress.waiting:
            if now >= call_deadline:
                raise _build_out_of_order_error(pending, step.request)
            return None
        pending.may_have_reached = True
        if not progress.is_done and now >= pending.deadline:
            raise _build_unreachable_error(pending)
        return progress

    async def _step_local(self, step: CallStep) -> CallProgress:
        return await self.node.owner.step(step)


def _build_unreachable_error(pending: PendingRequest) -> RequestError:
    return RequestError(
        ErrorKind.OWNER_UNREACHABLE,
        f"the owner of program {pending.program} cannot be reached; send the call again",
        verdict=Verdict.MAY_HAVE_RUN if pending.may_have_reached else Verdict.NOT_RUN,
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def _build_out_of_order_error(pending: PendingRequest, request: CallRequest) -> RequestError:
    return RequestError(
        ErrorKind.OUT_OF_ORDER,
        f"call {request.call} waited for call {request.call - 1}, which did not settle in time",
        verdict=Verdict.MAY_HAVE_RUN if pending.may_have_reached else Verdict.NOT_RUN,
    )


def _complete_text(
    request: CallRequest, received: list[str], progress: CallProgress
) -> CallProgress:
    """Append the part of the final answer that has not been streamed.

    Tokens may be missing after a change of owner. Raises CALL_CONFLICT if the streamed text
    is not a prefix of the answer.
    """
    outcome = progress.outcome
    if not request.stream or outcome is None or not outcome.answer:
        return progress
    answer_text = outcome.answer["content"]
    streamed_text = "".join([*received, *progress.tokens])
    if not isinstance(answer_text, str) or streamed_text.strip() == answer_text:
        return progress
    if answer_text.startswith(streamed_text.lstrip()):
        return evolve(
            progress, tokens=[*progress.tokens, answer_text[len(streamed_text.lstrip()) :]]
        )
    raise RequestError(
        ErrorKind.CALL_CONFLICT,
        "the streamed text is not the start of the answer that was kept; get it by its number",
        verdict=Verdict.MAY_HAVE_RUN,
    )

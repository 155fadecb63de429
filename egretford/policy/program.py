"""The state of a program, folded from its records, and the order of its calls."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import datetime, timedelta

from attrs import Factory, define, evolve, frozen

from egretford.errors import ErrorKind, RequestError, Verdict
from egretford.models import (
    CallOutcome,
    CallRequest,
    Durability,
    Message,
    ProgramView,
    Spent,
)
from egretford.policy.budget import Account
from egretford.policy.history import (
    extend_digest,
    fingerprint_request,
    measure_bytes,
    start_digest,
)
from egretford.policy.records import (
    CallClaimed,
    CallSettled,
    CeilingRaised,
    MemoryReleased,
    ProgramEnded,
    ProgramOpened,
    Record,
    TokensCharged,
    WorkerHeld,
)


@frozen
class Replay:
    """The call has settled: return its outcome again."""

    outcome: CallOutcome


@frozen
class Join:
    """The same call is already running: wait for its outcome."""


@frozen
class Start:
    """The call is the next one of its program: run it."""


@frozen
class WaitForPredecessor:
    """An earlier call has not settled yet: wait for it."""


@frozen
class Refuse:
    """The call is rejected with this error."""

    error: RequestError


Decision = Replay | Join | Start | WaitForPredecessor | Refuse


@define
class Program:
    """One program; `digests[n]` is the digest of the history after call n.

    `claim` is the claim of the next call, if it has one; `running` is the fingerprint of the call
    that runs now. `dispatched` is set if the next call may have been sent to a worker. `held_by`
    are the workers that may have cached its data, `released` those that freed it.
    `volatile` are the settled calls whose records are not durable yet.
    """

    opened: ProgramOpened
    account: Account
    root: str
    settled: list[CallSettled] = Factory(list)
    digests: list[str] = Factory(list)
    claim: CallClaimed | None = None
    ended: ProgramEnded | None = None
    lost_tokens: int = 0
    held_by: set[str] = Factory(set)
    released: set[str] = Factory(set)
    children: list[str] = Factory(list)
    volatile: set[int] = Factory(set)
    running: str | None = None
    dispatched: bool = False

    @property
    def id(self) -> str:
        """The program's id."""
        return self.opened.program

    @property
    def last_call(self) -> int:
        """Number of the last settled call; 0 before the first."""
        return len(self.settled)

    @property
    def digest(self) -> str:
        """Digest of the history up to the last settled call."""
        return self.digests[-1]

    @property
    def expires_at(self) -> datetime:
        """When the program's time budget runs out."""
        return self.opened.opened_at + timedelta(seconds=self.opened.budget.seconds)

    @property
    def unreleased(self) -> set[str]:
        """Workers that may still have cached data of this program."""
        return self.held_by - self.released

    def trim_history(self, request: CallRequest) -> CallRequest:
        """Remove the history of settled calls from the start of a request's messages.

        Raises DIGEST_MISMATCH if the messages do not start with it.
        """
        known = self.history(request.call - 1)
        if request.messages[: len(known)] == known:
            return evolve(request, messages=request.messages[len(known) :])
        shared = next(
            number
            for number in range(min(request.call - 1, self.last_call), -1, -1)
            if request.messages[: len(self.history(number))] == self.history(number)
        )
        raise self._build_mismatch_error(request, shared)

    def history(self, calls: int | None = None) -> list[Message]:
        """Return the messages and answers of the first `calls` settled calls, or of all."""
        messages: list[Message] = []
        for call in self.settled[:calls]:
            messages.extend(call.messages)
            if call.answer is not None:
                messages.append(call.answer)
        return messages

    def max_prompt_tokens(self, request: CallRequest) -> int:
        """Return an upper bound of the next model call's prompt, in tokens.

        It starts from the engine's count for the last model call, and adds one token per byte
        for everything since then.
        """
        bound = measure_bytes(request.messages)
        for call in reversed(self.settled):
            if call.answer is not None:
                bound += measure_bytes([call.answer])
            if call.usage.prompt:
                return bound + call.usage.prompt
            bound += measure_bytes(call.messages)
        return bound

    def outcome_of(self, call: int) -> CallOutcome:
        """Return the settled outcome of `call`, counted from 1."""
        settled = self.settled[call - 1]
        return CallOutcome(
            program=self.id,
            call=call,
            verdict=settled.verdict,
            answer=settled.answer,
            usage=settled.usage,
            digest=self.digests[call],
            durability=Durability.MEMORY if call in self.volatile else Durability.STORE,
        )

    def view(self, now: datetime) -> ProgramView:
        """Return the part of the state that callers may see, as of `now`."""
        until = self.ended.ended_at if self.ended else now
        spent = Spent(
            tokens=self.account.spent_tokens,
            calls=self.account.spent_calls,
            seconds=max(0.0, (until - self.opened.opened_at).total_seconds()),
        )
        state = "ended" if self.ended else "open"
        return ProgramView(self.id, state, self.opened.budget, spent, self.last_call, self.digest)

    def decide_call(self, request: CallRequest, now: datetime) -> Decision:
        """Decide how to handle an incoming call."""
        if request.call <= self.last_call:
            return self._decide_settled(request)
        if self.ended is not None:
            return Refuse(self._build_ended_error())
        if request.call > self.last_call + 1:
            return WaitForPredecessor()
        if self.running is not None:
            return self._decide_running(request)
        if self.claim is not None and self.dispatched:
            return Refuse(self._build_unknown_outcome_error(request))
        mismatch = self._check_digest(request)
        if mismatch is not None:
            return Refuse(mismatch)
        if now >= self.expires_at:
            return Refuse(
                RequestError(
                    ErrorKind.BUDGET_EXHAUSTED,
                    "the program's budget of seconds is spent; open a new program",
                    verdict=self.refusal_verdict(request),
                )
            )
        return Start()

    def refusal_verdict(self, request: CallRequest) -> Verdict:
        """Return the verdict for refusing the next call: whether an earlier attempt may have run.

        A non-repeatable call is claimed in the journal before it runs. Without a claim it has
        not run, not even under an earlier owner.
        """
        if self.dispatched and request.is_repeatable:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN

    def _decide_settled(self, request: CallRequest) -> Decision:
        if self.settled[request.call - 1].fingerprint != fingerprint_request(request):
            return Refuse(_build_conflict_error(request, "it has settled with another body"))
        return Replay(self.outcome_of(request.call))

    def _decide_running(self, request: CallRequest) -> Decision:
        if self.running != fingerprint_request(request):
            return Refuse(_build_conflict_error(request, "it runs now with another body"))
        return Join()

    def _check_digest(self, request: CallRequest) -> RequestError | None:
        if request.digest is None or request.digest == self.digest:
            return None
        shared = self.digests.index(request.digest) if request.digest in self.digests else 0
        return self._build_mismatch_error(request, shared)

    def _build_mismatch_error(self, request: CallRequest, shared: int) -> RequestError:
        return RequestError(
            ErrorKind.DIGEST_MISMATCH,
            f"the request does not match the history, which holds {self.last_call} calls; "
            f"both sides share call {shared}; send again what came after it",
            verdict=self.refusal_verdict(request),
            last_shared_call=shared,
        )

    def _build_unknown_outcome_error(self, request: CallRequest) -> RequestError:
        return RequestError(
            ErrorKind.OUTCOME_UNKNOWN,
            f"call {request.call} was dispatched and its outcome is not known",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    def _build_ended_error(self) -> RequestError:
        return RequestError(
            ErrorKind.PROGRAM_ENDED,
            f"the program has ended ({self.ended.reason if self.ended else 'ended'})",
            verdict=Verdict.MAY_HAVE_RUN if self.dispatched else Verdict.NOT_RUN,
        )

    def snapshot(self) -> Iterator[Record]:
        """Yield the smallest set of records that folds to this state, without the children's."""
        yield self.opened
        if self.account.parent is None:
            yield CeilingRaised(self.id, self.account.ceiling_tokens)
        if self.lost_tokens:
            yield TokensCharged(self.id, self.lost_tokens)
        yield from self.settled
        if self.claim is not None:
            yield self.claim
        for worker in sorted(self.held_by):
            yield WorkerHeld(self.id, worker)
        if self.ended is not None:
            yield self.ended
        for worker in sorted(self.released):
            yield MemoryReleased(self.id, worker)


def _build_conflict_error(request: CallRequest, why: str) -> RequestError:
    return RequestError(
        ErrorKind.CALL_CONFLICT,
        f"call {request.call} was sent before and {why}; "
        "send the first body again or use the next call number",
    )


@define
class ProgramTable:
    """All programs of one owner, folded from its records."""

    programs: dict[str, Program] = Factory(dict)

    def apply(self, record: Record) -> None:
        """Fold one record into the table; records of unknown programs are ignored."""
        if isinstance(record, ProgramOpened):
            self._open(record)
            return
        program = self.programs.get(record.program)
        if program is None:
            return
        match record:
            case CallClaimed():
                _fold_claim(program, record)
            case CallSettled():
                _fold_settled(program, record)
            case CeilingRaised():
                account = program.account.root
                account.ceiling_tokens = max(account.ceiling_tokens, record.ceiling_tokens)
            case TokensCharged():
                _fold_lost_tokens(program, record)
            case WorkerHeld():
                program.held_by.add(record.worker)
            case ProgramEnded():
                program.ended = program.ended or record
            case MemoryReleased():
                program.released.add(record.worker)

    def _open(self, record: ProgramOpened) -> None:
        if record.program in self.programs:
            return
        parent = self.programs.get(record.parent) if record.parent else None
        account = Account(
            budget=record.budget,
            parent=parent.account if parent else None,
            ceiling_tokens=record.ceiling_tokens,
        )
        self.programs[record.program] = Program(
            opened=record,
            account=account,
            root=parent.root if parent else record.program,
            digests=[start_digest(record.program)],
        )
        if parent is not None:
            parent.children.append(record.program)

    def tree_of(self, program: str) -> list[Program]:
        """Return a program and all its descendants, parents before children."""
        found = [self.programs[program]]
        for member in found:
            found.extend(self.programs[child] for child in member.children)
        return found

    def root_of(self, program: str) -> str:
        """Return the id of the root of a program's tree; an unknown program is its own root."""
        found = self.programs.get(program)
        return found.root if found else program

    def forget_tree(self, root: str) -> None:
        """Remove a root program and all its descendants."""
        for member in self.tree_of(root):
            del self.programs[member.id]


def _fold_claim(program: Program, record: CallClaimed) -> None:
    if record.call > program.last_call:
        program.claim = record
        if record.worker:
            program.held_by.add(record.worker)


def _fold_settled(program: Program, record: CallSettled) -> None:
    if record.call != program.last_call + 1:
        return
    program.settled.append(record)
    program.digests.append(extend_digest(program.digest, record.messages, record.answer))
    program.account.charge(record.charged_tokens, 1)
    program.claim = None
    program.dispatched = False
    if record.worker:
        program.held_by.add(record.worker)


def _fold_lost_tokens(program: Program, record: TokensCharged) -> None:
    added = record.lost_tokens - program.lost_tokens
    if added > 0:
        program.lost_tokens = record.lost_tokens
        program.account.charge(added, 0)

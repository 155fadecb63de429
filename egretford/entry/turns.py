"""Admission and storage of turns: token budgets, chat history and replication to keepers."""

from __future__ import annotations

import asyncio
from typing import Any

from attrs import Factory, define, evolve, frozen

from egretford.clock import Clock
from egretford.entry.copies import TurnCopies
from egretford.entry.keepers import (
    BACKGROUND_HEDGE_DELAY_SECONDS,
    KeeperClient,
    KeepersUnavailableError,
    describe_refusal,
)
from egretford.entry.models import CallerRequest, Route
from egretford.errors import EgretfordError, ErrorKind, RequestError
from egretford.keeper.messages import (
    Keep,
    KeeperReply,
    Kept,
    OutdatedView,
    Reserve,
    Reserved,
    Turn,
)
from egretford.policy.ledger import Charge, SettledTotals, fits_budget, merge_ledgers
from egretford.policy.views import Member

# Retries, and seconds between them, of a turn that exceeds the budget only while running turns
# are counted at their maximum cost. Turns take some hundred milliseconds.
BUDGET_RETRIES = 3
BUDGET_RETRY_SECONDS = 0.1
# Seconds without a keeper's reply after which the next one is asked for the history as well.
HISTORY_HEDGE_SECONDS = 0.05
# Keepers that did not answer are asked again for the history for this long, in seconds, and the
# pause between. Most outages of one keeper that end soon do so within a second; callers wait three.
HISTORY_RETRY_LIMIT_SECONDS = 1.0
HISTORY_RETRY_SECONDS = 0.2
# Attempts to settle a charge while too few keepers answer, and the seconds between them.
SETTLE_ATTEMPTS = 12
SETTLE_RETRY_SECONDS = 0.5


@define
class TurnAdmission:
    """A turn that may run, with its history and its reserved charge.

    `charge` is None for a turn without a token budget; `history` is the text of all former
    turns, and `event_tokens` the tokens that one event is charged with. `kept_by` names the keepers
    that hold the turn once it is kept.
    """

    turns: Turns
    request: CallerRequest
    route: Route
    charge: Charge | None
    event_tokens: int
    history: bytes = b""
    settled: bool = False
    kept_by: list[str] = Factory(list)

    async def keep(self, answer_text: bytes, events: int) -> None:
        """Return once enough keepers hold the turn; has no timeout, so callers must set one.

        The charge is settled in the background, which is safe because an unsettled charge
        counts at its maximum.
        """
        self.settle(events)
        turn = Turn(
            id=self.request.id,
            previous=self.request.previous_turn,
            program=self.request.program,
            request_text=self.request.http.body,
            answer_text=answer_text,
            retention=self.route.retention,
            copies=(),
        )
        self.kept_by = await self.turns.keep(turn)

    def settle(self, events: int) -> None:
        """Settle the charge in the background by the number of events; later calls do nothing."""
        if self.charge is not None and not self.settled:
            self.settled = True
            tokens = events * self.event_tokens
            self.turns.settle_in_background(evolve(self.charge, tokens=tokens, settled=True))


@frozen
class _Question:
    """A question to a keeper, and the number of the view under which it was asked."""

    member: Member
    view: int


@define
class _MissingChain:
    """One round of questions that found no part of a chain.

    `without_turn` has the disks of the keepers that lack the turn under the newest known view,
    `outcomes` the outcome at each instance as text for the log.
    """

    without_turn: set[str]
    outcomes: dict[str, str]


def _get_reply(task: asyncio.Future[KeeperReply]) -> KeeperReply | None:
    """Return a finished task's reply, or None if it failed; the keeper client logs failures."""
    error = task.exception()
    if error is None:
        return task.result()
    if not isinstance(error, EgretfordError):
        raise error
    return None


class Turns:
    """Reserves budgets, reads histories and stores turns through the keepers."""

    def __init__(self, keepers: KeeperClient, clock: Clock, log: Any) -> None:
        self._keepers = keepers
        self._clock = clock
        self._log = log
        self._spent = SettledTotals()

    async def admit(self, request: CallerRequest, route: Route, event_tokens: int) -> TurnAdmission:
        """Reserve the turn's tokens and read its history, concurrently.

        Raises RequestError if the budget is spent, the previous turn is unknown, or too few
        keepers answer.
        """
        charge = None
        if request.token_budget is not None and request.program:
            charge = Charge(request.program, request.id, request.max_output_tokens)
        previous = request.previous_turn if route.keeps_turns else None
        admission = TurnAdmission(self, request, route, charge, event_tokens)
        if charge is None and previous is None:
            return admission
        if charge is not None and self._spent.exceeds_budget(
            charge.program, charge.tokens, request.token_budget
        ):
            raise self._build_budget_error(request, "known from earlier turns")
        history = None
        if previous is not None:
            history = asyncio.ensure_future(self._read_history(request.program, previous))
            # If the reservation fails first, that error is raised and this one is dropped, so
            # its exception must be marked as retrieved.
            history.add_done_callback(lambda task: task.cancelled() or task.exception())
        try:
            if charge is not None:
                await self._reserve(request, charge)
            if history is not None:
                admission.history = await history
        except BaseException as error:
            if history is not None:
                history.cancel()
            # Nothing ran, so the charge is settled at 0 tokens, unless no keeper can have it.
            if not isinstance(error, KeepersUnavailableError) or error.sent:
                admission.settle(0)
            if isinstance(error, KeepersUnavailableError):
                raise RequestError(ErrorKind.STORE_UNAVAILABLE, str(error)) from error
            raise
        return admission

    async def _reserve(self, request: CallerRequest, charge: Charge) -> None:
        budget = request.token_budget
        for attempt in range(BUDGET_RETRIES + 1):
            quorum_request = await self._keepers.request_quorum(
                charge.program, Reserve(charge, None, with_chain=False), Reserved
            )
            ledger = merge_ledgers(
                reply.charges.unpack() for reply in quorum_request.replies.values()
            )
            if fits_budget(ledger, charge.request, charge.tokens, budget):
                return
            settled = ledger.sum_settled(charge.request)
            self._spent.update(charge.program, settled)
            if attempt == BUDGET_RETRIES or settled + charge.tokens > budget:
                raise self._build_budget_error(
                    request,
                    "by the keepers",
                    settled=settled,
                    others=ledger.sum_others(request.id),
                    turns=len(ledger.charges),
                    view=quorum_request.view.number,
                )
            await self._clock.sleep(BUDGET_RETRY_SECONDS)

    def _build_budget_error(
        self, request: CallerRequest, source: str, **inputs: int
    ) -> RequestError:
        self._log.info(
            "token budget exhausted",
            request=request.id,
            program=request.program,
            source=source,
            budget=request.token_budget,
            wanted=request.max_output_tokens,
            **inputs,
        )
        return RequestError(ErrorKind.BUDGET_EXHAUSTED, "the program's token budget is spent")

    async def _read_history(self, program: str, previous: str) -> bytes:
        """Return the text of all turns up to `previous`, oldest first.

        A keeper may hold only part of the chain, so several may be read.
        """
        turns: list[Turn] = []
        turn_id: str | None = previous
        while turn_id is not None:
            found = await self._fetch_chain(program, turn_id, previous)
            turns, turn_id = [*found.chain, *turns], found.missing
        return b"".join(turn.request_text + turn.answer_text for turn in turns)

    async def _fetch_chain(self, program: str, turn_id: str, previous: str) -> Reserved:
        """Return part of a chain that ends with turn `turn_id`, from the first keeper that has it.

        Keepers that fail or are not ready are asked again for a while, as they may be back soon.
        Raises RequestError if none has the turn; `previous` is the turn that the caller named.
        """
        give_up_at = self._clock.monotonic() + HISTORY_RETRY_LIMIT_SECONDS
        while True:
            found = await self._ask_for_chain(program, turn_id)
            if isinstance(found, Reserved):
                return found
            all_lack_it = found.without_turn >= {m.disk for m in self._keepers.view.holders}
            if all_lack_it or self._clock.monotonic() >= give_up_at:
                raise self._build_history_error(previous, turn_id, found)
            await self._clock.sleep(HISTORY_RETRY_SECONDS)

    async def _ask_for_chain(self, program: str, turn_id: str) -> Reserved | _MissingChain:
        """Ask all keepers that may have a turn, in order of distance, with hedging."""
        queue = self._order_candidates(program)
        tasks: dict[asyncio.Future[KeeperReply], _Question] = {}
        # By disk, the number of the view under which the keeper was asked. A reply under an older
        # view proves nothing, as turns may have been handed over since.
        lacking: dict[str, int] = {}
        outcomes: dict[str, str] = {}
        try:
            while queue or tasks:
                if queue:
                    question = _Question(queue.pop(0), self._keepers.view.number)
                    query = Reserve(None, turn_id, with_chain=True)
                    send = self._keepers.send_request(question.member, query)
                    tasks[asyncio.ensure_future(send)] = question
                done, _ = await asyncio.wait(
                    tasks,
                    timeout=HISTORY_HEDGE_SECONDS if queue else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    question = tasks.pop(task)
                    reply = _get_reply(task)
                    outcomes[question.member.name] = describe_refusal(task)
                    if isinstance(reply, Reserved) and reply.chain:
                        return reply
                    if isinstance(reply, Reserved):
                        lacking[question.member.disk] = question.view
                    elif isinstance(reply, OutdatedView):
                        asked = {q.member.disk for q in tasks.values() if self._is_current(q.view)}
                        asked |= {d for d, number in lacking.items() if self._is_current(number)}
                        newest = self._order_candidates(program)
                        queue = [other for other in newest if other.disk not in asked]
        finally:
            for task in tasks:
                task.cancel()
        without_turn = {disk for disk, number in lacking.items() if self._is_current(number)}
        return _MissingChain(without_turn, outcomes)

    def _is_current(self, view_number: int) -> bool:
        return view_number == self._keepers.view.number

    def _order_candidates(self, program: str) -> list[Member]:
        """Return all members that may hold a program's turns, in the order to ask them.

        The preferred members of the program come first; both parts are sorted by distance.
        """
        preferred = self._keepers.rank_copies(program)[: self._keepers.copies]
        others = [member for member in self._keepers.view.holders if member not in preferred]
        rank = self._keepers.rank_by_distance
        return [*rank(preferred), *rank(others)]

    def _build_history_error(
        self, previous: str, turn_id: str, found: _MissingChain
    ) -> RequestError:
        view = self._keepers.view
        certain = turn_id == previous and self._keepers.has_all_records()
        certain = certain and found.without_turn >= {member.disk for member in view.holders}
        self._log.info(
            "a turn was not found",
            turn=previous,
            missing=turn_id,
            certain=certain,
            lacking=len(found.without_turn),
            members=len(view.holders),
            outcomes=[f"{name}: {outcome}" for name, outcome in found.outcomes.items()],
            joining=[m.name for m in view.members if m not in view.holders],
            dropped=len(view.dropped),
            view=view.number,
        )
        if certain:
            return RequestError(ErrorKind.UNKNOWN_CALL, "no such turn")
        return RequestError(ErrorKind.STORE_UNAVAILABLE, "the turn cannot be read now")

    async def keep(self, turn: Turn) -> list[str]:
        """Return the names of the turn's keepers, nearby ones first, once enough hold it.

        It has no timeout, so callers must set one.
        """
        return await TurnCopies(turn, self._keepers, self._clock, self._log).write()

    def settle_in_background(self, charge: Charge) -> None:
        """Settle a charge in the background; until then it counts at its maximum."""
        self._keepers.run_in_background(self._settle(charge))

    async def _settle(self, charge: Charge) -> None:
        for _ in range(SETTLE_ATTEMPTS):
            if not self._keepers.has_available_quorum(charge.program):
                # The view may be outdated, and then lists too few that answer.
                self._keepers.request_view_refresh()
                await self._clock.sleep(SETTLE_RETRY_SECONDS)
                continue
            try:
                await self._keepers.request_quorum(
                    charge.program,
                    Keep(charge, None),
                    Kept,
                    hedge_delay=BACKGROUND_HEDGE_DELAY_SECONDS,
                )
                return
            except KeepersUnavailableError:
                await self._clock.sleep(SETTLE_RETRY_SECONDS)
        self._log.warning(
            "could not settle a charge; it counts at its maximum",
            request=charge.request,
            program=charge.program,
        )

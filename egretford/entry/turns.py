"""Turns of programs: their token budget, the history they continue, and how they are kept."""

from __future__ import annotations

import asyncio
from typing import Any

from attrs import define, evolve

from egretford.clock import Clock
from egretford.entry.copies import TurnCopies
from egretford.entry.keepers import KeeperGroup, KeepersUnavailableError
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
from egretford.policy.ledger import Charge, SpentPrograms, fits_budget, merge_ledgers
from egretford.policy.views import Member

# A turn that does not fit waits this often, this long, for others that run to cost less than
# their most; turns take some hundred milliseconds.
BUDGET_WAITS = 3
BUDGET_WAIT_SECONDS = 0.1
# How long a keeper may take to send a history before the next one is asked as well.
NEAREST_SECONDS = 0.05
# How often a charge is settled again while too few keepers answer, with a pause between.
SETTLE_TRIES = 12
SETTLE_PAUSE_SECONDS = 0.5


@define
class TurnAdmission:
    """A turn that may run: its history, and the charge that was reserved for it."""

    turns: Turns
    request: CallerRequest
    route: Route
    charge: Charge | None
    event_tokens: int
    history: bytes = b""
    settled: bool = False

    async def keep(self, answer_text: bytes, events: int) -> None:
        """Keep the turn; goes on until enough keepers have it, so the caller bounds the time.

        Its charge is settled in the background, since until then it only counts for more.
        """
        self.end(events)
        turn = Turn(
            id=self.request.id,
            previous=self.request.previous_turn,
            program=self.request.program,
            request_text=self.request.http.body,
            answer_text=answer_text,
            retention=self.route.retention,
            copies=(),
        )
        await self.turns.keep(turn)

    def end(self, events: int) -> None:
        """Settle the charge in the background, unless that is done."""
        if self.charge is not None and not self.settled:
            self.settled = True
            tokens = events * self.event_tokens
            self.turns.settle_later(evolve(self.charge, tokens=tokens, settled=True))


def _take_result(task: asyncio.Future[KeeperReply]) -> KeeperReply | None:
    """Return a finished task's reply, or None if it failed; that was logged where it was asked."""
    error = task.exception()
    if error is None:
        return task.result()
    if not isinstance(error, EgretfordError):
        raise error
    return None


class Turns:
    """Admits turns and keeps them, by the keepers."""

    def __init__(self, keepers: KeeperGroup, clock: Clock, log: Any) -> None:
        self._keepers = keepers
        self._clock = clock
        self._log = log
        self._spent = SpentPrograms()

    async def admit(self, request: CallerRequest, route: Route, event_tokens: int) -> TurnAdmission:
        """Reserve the turn's tokens and read its history; raises RequestError."""
        charge = None
        if request.token_budget is not None and request.program:
            charge = Charge(request.program, request.id, request.max_output_tokens)
        previous = request.previous_turn if route.keeps_turns else None
        admission = TurnAdmission(self, request, route, charge, event_tokens)
        if charge is None and previous is None:
            return admission
        if charge is not None and self._spent.excludes(
            charge.program, charge.tokens, request.token_budget
        ):
            raise self._refuse_budget(request, "known from earlier turns")
        history = None
        if previous is not None:
            history = asyncio.ensure_future(self._read_history(request.program, previous))
            # It may fail after the reservation did, which is then what the caller is told.
            history.add_done_callback(lambda task: task.cancelled() or task.exception())
        try:
            if charge is not None:
                await self._reserve(request, charge)
            if history is not None:
                admission.history = await history
        except BaseException as error:
            if history is not None:
                history.cancel()
            # Nothing ran, so the charge is given back.
            admission.end(0)
            if isinstance(error, KeepersUnavailableError):
                raise RequestError(ErrorKind.STORE_UNAVAILABLE, str(error)) from error
            raise
        return admission

    async def _reserve(self, request: CallerRequest, charge: Charge) -> None:
        budget = request.token_budget
        for wait in range(BUDGET_WAITS + 1):
            round_ = await self._keepers.ask_group(
                charge.program, lambda member: Reserve(charge, None, with_chain=False), Reserved
            )
            ledger = merge_ledgers(reply.charges.unpack() for reply in round_.replies.values())
            if fits_budget(ledger, charge.request, charge.tokens, budget):
                return
            settled = ledger.sum_settled(charge.request)
            self._spent.note(charge.program, settled)
            if wait == BUDGET_WAITS or settled + charge.tokens > budget:
                raise self._refuse_budget(
                    request,
                    "by the keepers",
                    settled=settled,
                    others=ledger.sum_others(request.id),
                    turns=len(ledger.charges),
                    view=round_.view.number,
                )
            await self._clock.sleep(BUDGET_WAIT_SECONDS)

    def _refuse_budget(self, request: CallerRequest, source: str, **inputs: int) -> RequestError:
        self._log.info(
            "the token budget is spent",
            request=request.id,
            program=request.program,
            source=source,
            budget=request.token_budget,
            wanted=request.max_output_tokens,
            **inputs,
        )
        return RequestError(ErrorKind.BUDGET_EXHAUSTED, "the program's token budget is spent")

    async def _read_history(self, program: str, previous: str) -> bytes:
        """Return the text of a chain of turns, put together from what keepers hold."""
        turns: list[Turn] = []
        wanted: str | None = previous
        while wanted is not None:
            found = await self._find_chain(program, wanted, previous)
            turns, wanted = [*found.chain, *turns], found.missing
        return b"".join(turn.request_text + turn.answer_text for turn in turns)

    async def _find_chain(self, program: str, wanted: str, previous: str) -> Reserved:
        """Return a keeper's part of a chain, from the nearest that has its newest turn."""
        queue = self._order_holders(program)
        asked: dict[asyncio.Future[KeeperReply], Member] = {}
        lacking: set[str] = set()
        try:
            while queue or asked:
                if queue:
                    member = queue.pop(0)
                    message = Reserve(None, wanted, with_chain=True)
                    asked[asyncio.ensure_future(self._keepers.ask_one(member, message))] = member
                done, _ = await asyncio.wait(
                    asked,
                    timeout=NEAREST_SECONDS if queue else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    member = asked.pop(task)
                    reply = _take_result(task)
                    if isinstance(reply, Reserved) and reply.chain:
                        return reply
                    if isinstance(reply, Reserved):
                        lacking.add(member.disk)
                    elif isinstance(reply, OutdatedView):
                        known = lacking | {other.disk for other in asked.values()}
                        newest = self._order_holders(program)
                        queue = [other for other in newest if other.disk not in known]
        finally:
            for task in asked:
                task.cancel()
        raise self._refuse_history(previous, wanted, lacking)

    def _order_holders(self, program: str) -> list[Member]:
        """Return all members that may hold a program's turns, the likeliest and nearest first."""
        likely = self._keepers.rank_copies(program)[: self._keepers.copies]
        others = [member for member in self._keepers.view.holders if member not in likely]
        rank = self._keepers.rank_by_distance
        return [*rank(likely), *rank(others)]

    def _refuse_history(self, previous: str, wanted: str, lacking: set[str]) -> RequestError:
        view = self._keepers.view
        certain = wanted == previous and self._keepers.is_view_whole()
        certain = certain and lacking >= {member.disk for member in view.holders}
        self._log.info(
            "a turn was not found",
            turn=previous,
            missing=wanted,
            certain=certain,
            lacking=len(lacking),
            members=len(view.holders),
            view=view.number,
        )
        if certain:
            return RequestError(ErrorKind.UNKNOWN_CALL, "no such turn")
        return RequestError(ErrorKind.STORE_UNAVAILABLE, "the turn cannot be read now")

    async def keep(self, turn: Turn) -> None:
        """Write a turn to a few near keepers; goes on until enough have it."""
        await TurnCopies(turn, self._keepers, self._clock, self._log).write()

    def settle_later(self, charge: Charge) -> None:
        """Settle a charge in the background; until then it counts at its most."""
        self._keepers.run_in_background(self._settle(charge))

    async def _settle(self, charge: Charge) -> None:
        for _ in range(SETTLE_TRIES):
            try:
                await self._keepers.ask_group(
                    charge.program, lambda member: Keep(charge, None), Kept
                )
                return
            except KeepersUnavailableError:
                await self._clock.sleep(SETTLE_PAUSE_SECONDS)
        self._log.warning(
            "a charge stays unsettled and counts at its most",
            request=charge.request,
            program=charge.program,
        )

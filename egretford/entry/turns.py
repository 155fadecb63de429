"""Turns of programs: their token budget, the history they continue, and how they are kept."""

from __future__ import annotations

import asyncio
from typing import Any

from attrs import define, evolve

from egretford.clock import Clock
from egretford.entry.keepers import KeeperGroup, KeepersUnavailableError
from egretford.entry.models import CallerRequest, Route
from egretford.errors import EgretfordError, ErrorKind, RequestError, Verdict
from egretford.keeper.messages import Keep, Kept, Reserve, Reserved, Turn
from egretford.policy.ledger import Charge, Ledger, fits_budget, merge_ledgers
from egretford.policy.views import Member

# A turn that does not fit waits this often, this long, for others that run to cost less than
# their most; turns take some hundred milliseconds.
BUDGET_WAITS = 3
BUDGET_WAIT_SECONDS = 0.1
# How much longer than a quorum the nearest keeper may take to send a history.
NEAREST_SECONDS = 0.05
# A keeper that has not kept a turn after this long is replaced by the next one; a slow disk
# takes some tens of milliseconds, another region as many.
COPY_SECONDS = 0.25
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
        """Keep the turn and settle its charge; raises RequestError if too few keepers did."""
        turn = Turn(
            id=self.request.id,
            previous=self.request.previous_turn,
            program=self.request.program,
            request_text=self.request.http.body,
            answer_text=answer_text,
            retention=self.route.retention,
            copies=(),
        )
        await self.turns.keep(self._settle(events), turn)
        self.settled = True

    def end(self, events: int) -> None:
        """Settle the charge in the background, unless that is done."""
        if self.charge is not None and not self.settled:
            self.settled = True
            self.turns.settle_later(self._settle(events))

    def _settle(self, events: int) -> Charge | None:
        if self.charge is None:
            return None
        tokens = events * self.event_tokens
        return Charge(self.charge.program, self.charge.request, tokens, settled=True)


class Turns:
    """Admits turns and keeps them, by the keepers."""

    def __init__(self, keepers: KeeperGroup, clock: Clock, log: Any) -> None:
        self._keepers = keepers
        self._clock = clock
        self._log = log

    async def admit(self, request: CallerRequest, route: Route, event_tokens: int) -> TurnAdmission:
        """Reserve the turn's tokens and read its history; raises RequestError."""
        charge = None
        if request.token_budget is not None and request.program:
            charge = Charge(request.program, request.id, request.max_output_tokens)
        previous = request.previous_turn if route.keeps_turns else None
        admission = TurnAdmission(self, request, route, charge, event_tokens)
        if charge is None and previous is None:
            return admission
        try:
            if charge is not None:
                await self._reserve(request, charge, previous, admission)
            else:
                admission.history = await self._read_history(previous, {})
        except BaseException as error:
            # Nothing ran, so the charge is given back.
            admission.end(0)
            if isinstance(error, KeepersUnavailableError):
                raise RequestError(ErrorKind.STORE_UNAVAILABLE, str(error)) from error
            raise
        return admission

    async def _reserve(
        self,
        request: CallerRequest,
        charge: Charge,
        previous: str | None,
        admission: TurnAdmission,
    ) -> None:
        for wait in range(BUDGET_WAITS + 1):
            holders = self._keepers.rank_copies(charge.program)[: self._keepers.copies]
            near = self._keepers.rank_by_distance(holders)[:1]
            round_ = await self._keepers.ask_quorum(
                lambda member, near=near: Reserve(charge, previous, with_chain=member in near),
                Reserved,
            )
            replies: dict[Member, Reserved] = round_.list_replies(Reserved)
            ledger = merge_ledgers(reply.charges for reply in replies.values())
            if fits_budget(ledger, charge.request, charge.tokens, request.token_budget):
                break
            if wait == BUDGET_WAITS or not ledger.has_unsettled(charge.request):
                raise self._refuse_budget(request, ledger)
            await self._clock.sleep(BUDGET_WAIT_SECONDS)
        if previous is not None:
            if near and near[0] in round_.tasks and near[0] not in replies:
                # The nearest member sends the history; it is mostly just behind.
                replies |= await self._wait_for(near[0], round_)
            admission.history = await self._read_history(previous, replies)

    async def _wait_for(self, member: Member, round_: Any) -> dict[Member, Reserved]:
        try:
            async with asyncio.timeout(NEAREST_SECONDS):
                reply = await asyncio.shield(round_.tasks[member])
        except (EgretfordError, TimeoutError):
            # Logged where it was asked; another member has the history.
            return {}
        return {member: reply} if isinstance(reply, Reserved) else {}

    def _refuse_budget(self, request: CallerRequest, ledger: Ledger) -> RequestError:
        self._log.info(
            "the token budget is spent",
            request=request.id,
            program=request.program,
            budget=request.token_budget,
            others=ledger.sum_others(request.id),
            wanted=request.max_output_tokens,
            turns=len(ledger.charges),
        )
        return RequestError(ErrorKind.BUDGET_EXHAUSTED, "the program's token budget is spent")

    async def _read_history(self, previous: str, replies: dict[Member, Reserved]) -> bytes:
        """Return the text of a chain of turns, put together from what keepers hold."""
        turns: list[Turn] = []
        wanted: str | None = previous
        for reply in replies.values():
            if reply.chain:
                turns, wanted = list(reply.chain), reply.missing
                break
        lacking: set[Member] = set()
        view = self._keepers.view
        for member in self._keepers.rank_by_distance(list(view.holders)):
            if wanted is None:
                break
            known = replies.get(member)
            if known is not None and known.missing == wanted:
                lacking.add(member)
                continue
            try:
                reply = await self._keepers.ask_one(member, Reserve(None, wanted, with_chain=True))
            except EgretfordError:
                # Logged where it was asked; without its answer nothing is certain.
                continue
            if not isinstance(reply, Reserved):
                continue
            if reply.missing == wanted:
                lacking.add(member)
            else:
                turns, wanted, lacking = [*reply.chain, *turns], reply.missing, set()
        if wanted is not None:
            raise self._refuse_history(previous, wanted, lacking)
        return b"".join(turn.request_text + turn.answer_text for turn in turns)

    def _refuse_history(self, previous: str, wanted: str, lacking: set[Member]) -> RequestError:
        view = self._keepers.view
        certain = wanted == previous and self._keepers.is_view_whole()
        certain = certain and lacking >= set(view.holders)
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

    async def keep(self, charge: Charge | None, turn: Turn | None) -> None:
        """Write to the keepers; raises RequestError if too few took it.

        The charge goes to all. The turn goes to a few near ones, and to further ones where
        one of these does not answer soon.
        """
        silent: set[Member] = set()
        while True:
            holders = self._choose_holders(turn, silent)
            try:
                await self._write(charge, turn, holders)
                return
            except KeepersUnavailableError as error:
                lacking = {member for member in holders if member not in error.answered}
                silent |= lacking
                if not lacking or len(self._choose_holders(turn, silent)) < len(holders):
                    raise RequestError(
                        ErrorKind.STORE_UNAVAILABLE,
                        f"the turn could not be kept: {error}",
                        verdict=Verdict.MAY_HAVE_RUN,
                    ) from error

    def _choose_holders(self, turn: Turn | None, silent: set[Member]) -> list[Member]:
        if turn is None:
            return []
        ranked = self._keepers.rank_copies(turn.program)
        return [m for m in ranked if m not in silent][: self._keepers.copies]

    async def _write(self, charge: Charge | None, turn: Turn | None, holders: list[Member]) -> None:
        if turn is not None:
            turn = evolve(turn, copies=tuple(member.name for member in holders))
        await self._keepers.ask_quorum(
            lambda member: Keep(charge, turn if member in holders else None),
            Kept,
            needed=frozenset(holders),
            seconds=COPY_SECONDS if holders else None,
        )

    def settle_later(self, charge: Charge) -> None:
        """Settle a charge in the background; until then it counts at its most."""
        self._keepers.run_in_background(self._settle(charge))

    async def _settle(self, charge: Charge) -> None:
        for _ in range(SETTLE_TRIES):
            try:
                await self.keep(charge, None)
                return
            except RequestError:
                await self._clock.sleep(SETTLE_PAUSE_SECONDS)
        self._log.warning(
            "a charge stays unsettled and counts at its most",
            request=charge.request,
            program=charge.program,
        )

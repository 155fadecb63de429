"""What a successor makes of the journals that it has sealed."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import Factory, define

from egretford.errors import Verdict
from egretford.models import Usage
from egretford.policy.program import Program, ProgramTable
from egretford.policy.records import Batch, CallSettled, Record, TokensCharged, WorkerHeld


@define
class Inheritance:
    """Programs of sealed journals, and the trees whose owner did not close cleanly."""

    table: ProgramTable = Factory(ProgramTable)
    unclean: set[str] = Factory(set)

    def add_journal(self, batches: Iterable[Batch], incarnation: str) -> None:
        """Fold a sealed journal; its last batch names who sealed it."""
        closed_by = None
        for batch in batches:
            closed_by = batch.sealed_by
            for record in batch.records:
                self.table.apply(record)
        if closed_by != incarnation:
            self.unclean.update(p.root for p in self.table.programs.values())

    def settle(self, workers_of: Callable[[str], list[str]]) -> None:
        """Settle what the former owners left open.

        A claim without an outcome may have run. Of a tree whose owner did not close
        cleanly, the unsettled escrow counts as spent, the next call may have been
        dispatched, and any worker of its pool may hold memory.
        """
        for program in list(self.table.programs.values()):
            for record in self._list_settlements(program, workers_of):
                self.table.apply(record)
            if program.root in self.unclean and program.ended is None:
                program.dispatched = True

    def _list_settlements(
        self, program: Program, workers_of: Callable[[str], list[str]]
    ) -> Iterable[Record]:
        if program.claim is not None:
            yield _settle_claim(program)
        if program.root not in self.unclean:
            return
        if program.account.parent is None and program.account.unsettled_escrow:
            lost = program.lost_tokens + program.account.unsettled_escrow
            yield TokensCharged(program.id, lost)
        if not program.released:
            for worker in workers_of(program.opened.route):
                yield WorkerHeld(program.id, worker)


def _settle_claim(program: Program) -> CallSettled:
    claim = program.claim
    return CallSettled(
        program=program.id,
        call=claim.call,
        kind=claim.kind,
        fingerprint=claim.fingerprint,
        messages=claim.messages,
        answer=None,
        verdict=Verdict.MAY_HAVE_RUN,
        usage=Usage(),
        charged_tokens=0,
        worker="",
    )

"""How a successor rebuilds programs from the journals that it has sealed."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import Factory, define

from egretford.errors import Verdict
from egretford.models import Usage
from egretford.policy.program import Program, ProgramTable
from egretford.policy.records import Batch, CallSettled, Record, TokensCharged, WorkerHeld


@define
class Inheritance:
    """The programs of sealed journals.

    `unclean_roots` are the roots of the trees whose former owner did not shut down cleanly.
    """

    table: ProgramTable = Factory(ProgramTable)
    unclean_roots: set[str] = Factory(set)

    def add_journal(self, batches: Iterable[Batch], incarnation: str) -> None:
        """Fold the sealed journal of an incarnation.

        The last batch names the incarnation that sealed it; one that shut down cleanly has
        sealed its own journal.
        """
        sealer = None
        for batch in batches:
            sealer = batch.sealed_by
            for record in batch.records:
                self.table.apply(record)
        if sealer != incarnation:
            self.unclean_roots.update(p.root for p in self.table.programs.values())

    def settle(self, list_workers: Callable[[str], list[str]]) -> None:
        """Settle the calls and charges that the former owners left open.

        A claimed call without an outcome may have run. In a tree whose owner did not shut down
        cleanly, all unaccounted tokens below the ceiling count as spent, the next call may have
        been dispatched, and any worker of the route's pool may have cached data of the program.
        `list_workers` returns the workers of a route.
        """
        for program in list(self.table.programs.values()):
            for record in self._list_settlements(program, list_workers):
                self.table.apply(record)
            if program.root in self.unclean_roots and program.ended is None:
                program.dispatched = True

    def _list_settlements(
        self, program: Program, list_workers: Callable[[str], list[str]]
    ) -> Iterable[Record]:
        if program.claim is not None:
            yield _settle_claim(program)
        if program.root not in self.unclean_roots:
            return
        if program.account.parent is None and program.account.unaccounted_tokens:
            lost = program.lost_tokens + program.account.unaccounted_tokens
            yield TokensCharged(program.id, lost)
        if not program.released:
            for worker in list_workers(program.opened.route):
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

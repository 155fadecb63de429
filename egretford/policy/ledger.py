"""Token budgets: every turn's charge is reserved before it runs and settled after.

Charges of one program only ever go from reserved to settled, so that copies merge in any
order. What is reserved counts at its most until it is settled.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from attrs import Factory, define, frozen

# Programs that loop without end are a few in a hundred, and come back within minutes.
MAX_SPENT_PROGRAMS = 10_000


@frozen
class Charge:
    """What one turn may cost, or, once settled, what it did cost; in tokens."""

    program: str
    request: str
    tokens: int
    settled: bool = False


def merge_charges(known: Charge | None, other: Charge) -> Charge:
    """Return what two copies of one charge amount to."""
    if known is None or known == other:
        return other
    if known.settled != other.settled:
        return known if known.settled else other
    return known if known.tokens >= other.tokens else other


@define
class Ledger:
    """The charges of one program, by request."""

    charges: dict[str, Charge] = Factory(dict)

    def merge(self, charge: Charge) -> bool:
        """Take a copy of a charge; False if it says nothing new."""
        known = self.charges.get(charge.request)
        merged = merge_charges(known, charge)
        self.charges[charge.request] = merged
        return merged != known

    def sum_others(self, request: str) -> int:
        """Return the tokens of all turns but one."""
        return sum(c.tokens for key, c in self.charges.items() if key != request)

    def sum_settled(self, request: str) -> int:
        """Return the tokens that all turns but one have surely cost."""
        others = (c for key, c in self.charges.items() if key != request)
        return sum(c.tokens for c in others if c.settled)


def merge_ledgers(copies: Iterable[Iterable[Charge]]) -> Ledger:
    """Return the union of several copies of a program's charges."""
    ledger = Ledger()
    for copy in copies:
        for charge in copy:
            ledger.merge(charge)
    return ledger


@define
class SpentPrograms:
    """Programs that were found to have spent their budget for good.

    Settled charges only ever grow in number, so what did not fit beside them never will.
    """

    _settled: OrderedDict[str, int] = Factory(OrderedDict)

    def note(self, program: str, settled: int) -> None:
        """Note what a program's turns have surely cost."""
        self._settled[program] = max(settled, self._settled.pop(program, 0))
        while len(self._settled) > MAX_SPENT_PROGRAMS:
            self._settled.popitem(last=False)

    def excludes(self, program: str, tokens: int, budget: int) -> bool:
        """Whether a turn of at most `tokens` is known not to fit."""
        return self._settled.get(program, 0) + tokens > budget


def fits_budget(ledger: Ledger, request: str, tokens: int, budget: int) -> bool:
    """Whether a turn of at most `tokens` fits beside all others of its program."""
    return ledger.sum_others(request) + tokens <= budget

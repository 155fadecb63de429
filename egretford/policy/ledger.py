"""Token budgets: each turn's charge is reserved before the turn runs and settled afterwards.

A charge only ever changes from reserved to settled, so copies can be merged in any order. A
reserved charge counts with its maximum until it is settled.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from attrs import Factory, define, evolve, frozen

# Programs that are tracked; the least recently updated are dropped. A few percent of all programs
# loop endlessly, and each sends its next turn within minutes.
MAX_TRACKED_PROGRAMS = 10_000


# Version of a stream whose worker did not say which process it is; no worker has it.
UNKNOWN_VERSION = "?"


@frozen(order=True)
class StreamOrigin:
    """The upstream and the software version of the worker that began a stream.

    `revision` counts the workers' versions that the stream was sent to before its first event.
    """

    revision: int
    upstream: str
    version: str

    @property
    def is_known(self) -> bool:
        """Whether the stream may be continued at workers of its version."""
        return self.version != UNKNOWN_VERSION


@frozen
class Charge:
    """The most that one turn may cost or, once settled, what it did cost, in tokens.

    The record of an attempt at a stream that may be resumed is a charge of no tokens with an
    `origin`; it is settled once the attempt has ended without an event.
    """

    program: str
    request: str
    tokens: int
    settled: bool = False
    origin: StreamOrigin | None = None


def merge_charges(known: Charge | None, other: Charge) -> Charge:
    """Merge two copies of one charge: settled wins over reserved, then the larger amount.

    Independently of the amount, the origin with the highest revision wins.
    """
    if known is None or known == other:
        return other
    origins = [charge.origin for charge in (known, other) if charge.origin is not None]
    return evolve(_choose_amount(known, other), origin=max(origins, default=None))


def _choose_amount(known: Charge, other: Charge) -> Charge:
    if known.settled != other.settled:
        return known if known.settled else other
    return known if known.tokens >= other.tokens else other


@define
class Ledger:
    """The charges of one program, by request id."""

    charges: dict[str, Charge] = Factory(dict)

    def merge(self, charge: Charge) -> bool:
        """Merge a copy of a charge; returns whether that changed the ledger."""
        known = self.charges.get(charge.request)
        merged = merge_charges(known, charge)
        self.charges[charge.request] = merged
        return merged != known

    def sum_others(self, request: str) -> int:
        """Return the tokens, reserved or settled, of all requests but one."""
        return sum(c.tokens for key, c in self.charges.items() if key != request)

    def sum_settled(self, request: str) -> int:
        """Return the settled tokens of all requests but one."""
        others = (c for key, c in self.charges.items() if key != request)
        return sum(c.tokens for c in others if c.settled)


def merge_ledgers(copies: Iterable[Iterable[Charge]]) -> Ledger:
    """Return the ledger that merges several copies of a program's charges."""
    ledger = Ledger()
    for copy in copies:
        for charge in copy:
            ledger.merge(charge)
    return ledger


@define
class SettledTotals:
    """The largest settled total that is known of each program, in tokens.

    Settled totals never shrink, so a turn that does not fit beside one never will.
    """

    _settled: OrderedDict[str, int] = Factory(OrderedDict)

    def update(self, program: str, settled: int) -> None:
        """Record the settled total of a program, in tokens."""
        self._settled[program] = max(settled, self._settled.pop(program, 0))
        while len(self._settled) > MAX_TRACKED_PROGRAMS:
            self._settled.popitem(last=False)

    def exceeds_budget(self, program: str, tokens: int, budget: int) -> bool:
        """Whether a turn of at most `tokens` is known to exceed the budget."""
        return self._settled.get(program, 0) + tokens > budget


def fits_budget(ledger: Ledger, request: str, tokens: int, budget: int) -> bool:
    """Whether a turn of at most `tokens` fits the budget beside all others of its program."""
    return ledger.sum_others(request) + tokens <= budget

"""Budgets of program trees: reserve before dispatch, settle after.

A child draws on its own budget and on each ancestor's. The journal holds one token
ceiling a tree; nothing is dispatched past a ceiling that is not yet durable, so a
successor that counts the whole ceiling as spent never overspends.
"""

from __future__ import annotations

from collections.abc import Iterator

from attrs import define

from egretford.models import Budget

MIN_SLICE_TOKENS = 512
SLICES_PER_BUDGET = 16


@define
class Account:
    """What one program and its children have spent and reserved."""

    budget: Budget
    parent: Account | None = None
    spent_tokens: int = 0
    spent_calls: int = 0
    reserved_tokens: int = 0
    reserved_calls: int = 0
    ceiling_tokens: int = 0

    def _walk_up(self) -> Iterator[Account]:
        account: Account | None = self
        while account is not None:
            yield account
            account = account.parent

    @property
    def root(self) -> Account:
        """The account of the tree's root, which holds the ceiling."""
        *_, last = self._walk_up()
        return last

    @property
    def committed_tokens(self) -> int:
        """Tokens spent and reserved."""
        return self.spent_tokens + self.reserved_tokens

    def find_exhausted(self, tokens: int, calls: int) -> str | None:
        """Name the budget field that a reservation would overrun, or None."""
        for account in self._walk_up():
            if account.committed_tokens + tokens > account.budget.tokens:
                return "tokens"
            if account.spent_calls + account.reserved_calls + calls > account.budget.calls:
                return "calls"
        return None

    def needs_ceiling(self, tokens: int) -> bool:
        """Tell whether a reservation of `tokens` would pass the durable ceiling."""
        return self.root.committed_tokens + tokens > self.root.ceiling_tokens

    def plan_ceiling(self, tokens: int) -> int:
        """Return the ceiling that covers `tokens` now and a slice ahead, within the budget."""
        root = self.root
        wanted = root.committed_tokens + tokens + measure_slice(root.budget)
        return max(root.ceiling_tokens, min(root.budget.tokens, wanted))

    def reserve(self, tokens: int, calls: int) -> None:
        """Set aside the most that one attempt can spend."""
        for account in self._walk_up():
            account.reserved_tokens += tokens
            account.reserved_calls += calls

    def unreserve(self, tokens: int, calls: int) -> None:
        """Give a reservation back; what was spent is charged by the settling record."""
        self.reserve(-tokens, -calls)

    def charge(self, tokens: int, calls: int) -> None:
        """Count what a record says was spent."""
        for account in self._walk_up():
            account.spent_tokens += tokens
            account.spent_calls += calls

    @property
    def unaccounted_tokens(self) -> int:
        """Tokens under the tree's ceiling that no record accounts for."""
        return max(0, self.root.ceiling_tokens - self.root.spent_tokens)


def measure_slice(budget: Budget) -> int:
    """Return how far a ceiling is raised ahead of need; a crash forfeits about as much."""
    return max(MIN_SLICE_TOKENS, budget.tokens // SLICES_PER_BUDGET)


def first_ceiling(budget: Budget) -> int:
    """Return the ceiling that a program's opening record grants."""
    return min(budget.tokens, measure_slice(budget))

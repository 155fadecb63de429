"""Budgets of program trees: reserve before dispatch, settle after.

A child's spending counts against its own budget and that of each ancestor. The journal has one
token ceiling per tree, and nothing is dispatched that could exceed the durable ceiling, so a
successor that counts the whole ceiling as spent never overspends.
"""

from __future__ import annotations

from collections.abc import Iterator

from attrs import define

from egretford.models import Budget

# A ceiling is raised ahead of need by a share of the budget, but at least by the minimum.
MIN_INCREMENT_TOKENS = 512
INCREMENTS_PER_BUDGET = 16


@define
class Account:
    """Tokens and calls that a program and its descendants have spent and reserved."""

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
        """Return the name of the budget field that a reservation would exceed, or None."""
        for account in self._walk_up():
            if account.committed_tokens + tokens > account.budget.tokens:
                return "tokens"
            if account.spent_calls + account.reserved_calls + calls > account.budget.calls:
                return "calls"
        return None

    def needs_ceiling(self, tokens: int) -> bool:
        """Return whether a reservation of `tokens` would exceed the durable ceiling."""
        return self.root.committed_tokens + tokens > self.root.ceiling_tokens

    def plan_ceiling(self, tokens: int) -> int:
        """Return a ceiling that covers `tokens` and one increment more, within the budget."""
        root = self.root
        wanted = root.committed_tokens + tokens + ceiling_increment(root.budget)
        return max(root.ceiling_tokens, min(root.budget.tokens, wanted))

    def reserve(self, tokens: int, calls: int) -> None:
        """Reserve the most that one attempt can spend."""
        for account in self._walk_up():
            account.reserved_tokens += tokens
            account.reserved_calls += calls

    def unreserve(self, tokens: int, calls: int) -> None:
        """Release a reservation; spent tokens are charged by the record that settles the call."""
        self.reserve(-tokens, -calls)

    def charge(self, tokens: int, calls: int) -> None:
        """Add tokens and calls that a record reports as spent."""
        for account in self._walk_up():
            account.spent_tokens += tokens
            account.spent_calls += calls

    @property
    def unaccounted_tokens(self) -> int:
        """Tokens under the tree's ceiling that no record accounts for."""
        return max(0, self.root.ceiling_tokens - self.root.spent_tokens)


def ceiling_increment(budget: Budget) -> int:
    """Return by how many tokens a ceiling is raised ahead of need; a crash loses about as many."""
    return max(MIN_INCREMENT_TOKENS, budget.tokens // INCREMENTS_PER_BUDGET)


def initial_ceiling(budget: Budget) -> int:
    """Return the ceiling, in tokens, that a program is opened with."""
    return min(budget.tokens, ceiling_increment(budget))

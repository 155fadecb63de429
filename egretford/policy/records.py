"""Records of the journal.

Folding records is idempotent and monotone: a record that is folded twice, or after a newer one,
changes nothing. Compaction and takeover rely on this, since they append live records again before
they delete the segments that contained them.
"""

from __future__ import annotations

from datetime import datetime

from attrs import frozen

from egretford.codec import register_union
from egretford.errors import Verdict
from egretford.models import Budget, CallKind, Message, Urgency, Usage


@frozen
class ProgramOpened:
    """A program was opened; its tree's root may spend up to `ceiling_tokens`."""

    program: str
    route: str
    tenant: str
    urgency: Urgency
    budget: Budget
    parent: str | None
    opened_at: datetime
    ceiling_tokens: int
    opening_key: str | None = None


@frozen
class CallClaimed:
    """A non-repeatable call is about to be dispatched; its messages become part of the history."""

    program: str
    call: int
    kind: CallKind
    fingerprint: str
    messages: list[Message]
    worker: str


@frozen
class CallSettled:
    """A call has its final outcome.

    `charged_tokens` is the charge of the attempt that completed it; the tokens of lost attempts
    are in TokensCharged.
    """

    program: str
    call: int
    kind: CallKind
    fingerprint: str
    messages: list[Message]
    answer: Message | None
    verdict: Verdict
    usage: Usage
    charged_tokens: int
    worker: str


@frozen
class CeilingRaised:
    """The tree of `program` may spend up to `ceiling_tokens` in total."""

    program: str
    ceiling_tokens: int


@frozen
class TokensCharged:
    """The total tokens of `program` that were spent on attempts without an outcome."""

    program: str
    lost_tokens: int


@frozen
class WorkerHeld:
    """`worker` may have cached data of `program`."""

    program: str
    worker: str


@frozen
class ProgramEnded:
    """The program has ended, and none of its calls runs any more."""

    program: str
    reason: str
    ended_at: datetime


@frozen
class MemoryReleased:
    """`worker` has no cached data of the ended program any more."""

    program: str
    worker: str


Record = (
    ProgramOpened
    | CallClaimed
    | CallSettled
    | CeilingRaised
    | TokensCharged
    | WorkerHeld
    | ProgramEnded
    | MemoryReleased
)


@frozen
class Batch:
    """One journal segment; `batch` identifies the append.

    A batch with `sealed_by`, the incarnation that sealed the journal, is the last one.
    """

    batch: str
    records: list[Record]
    sealed_by: str | None = None


register_union(Record, tag_name="record")

"""Records of the journal.

Every record is idempotent and monotone: folding one twice, or folding an older one
after a newer one, changes nothing. Compaction and takeover rely on this, since they
append live records again before they delete the segments that held them.
"""

from __future__ import annotations

from datetime import datetime

from attrs import frozen

from egretford.codec import register_union
from egretford.errors import Verdict
from egretford.models import Budget, CallKind, Message, Urgency, Usage


@frozen
class ProgramOpened:
    """A program exists; its tree's root may spend up to `ceiling_tokens`."""

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
    """A non-repeatable call is about to be dispatched; its messages join the history."""

    program: str
    call: int
    kind: CallKind
    fingerprint: str
    messages: list[Message]
    worker: str


@frozen
class CallSettled:
    """A call has its outcome for good; `charged_tokens` counts every attempt."""

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
    """The tree of `program` may spend up to `ceiling_tokens` in all."""

    program: str
    ceiling_tokens: int


@frozen
class TokensCharged:
    """Tokens of attempts that led to no outcome, in total for `program`."""

    program: str
    lost_tokens: int


@frozen
class WorkerHeld:
    """`worker` may hold cache of `program`."""

    program: str
    worker: str


@frozen
class ProgramEnded:
    """No call of the program runs any more."""

    program: str
    reason: str
    ended_at: datetime


@frozen
class MemoryReleased:
    """`worker` holds no cache of the ended program."""

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
    """One journal segment: `batch` identifies the append, `sealed_by` ends the journal."""

    batch: str
    records: list[Record]
    sealed_by: str | None = None


register_union(Record, tag_name="record")

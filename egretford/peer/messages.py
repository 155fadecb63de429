"""Messages between entries."""

from __future__ import annotations

from attrs import frozen

from egretford.codec import register_union
from egretford.models import ErrorReply, Member, OpenRequest, ProgramView, TablesMessage
from egretford.policy.queue import Waiting
from egretford.policy.steps import CallProgress, CallStep


@frozen
class Ping:
    """A heartbeat with the sender's configuration revision."""

    member: Member
    revision: int


@frozen
class Pong:
    """The reply to a heartbeat, with the replying entry's configuration revision."""

    member: Member
    revision: int


@frozen
class PullTables:
    """Requests the configuration tables that are in force."""


@frozen
class OpenProgram:
    """Asks the owner of the program `request.parent` to open a child program."""

    request: OpenRequest
    opening_key: str | None = None


@frozen
class ViewProgram:
    """Requests a program's state from its owner."""

    program: str


@frozen
class GetCall:
    """Requests a call's outcome from the owner of its program."""

    program: str
    call: int


@frozen
class EndProgram:
    """Asks the owner to end a program and its children."""

    program: str


@frozen
class AdoptPrograms:
    """Asks a peer to take over the programs of a closed incarnation now."""

    incarnation: str


@frozen
class Adopted:
    """The reply to AdoptPrograms: the number of programs that were taken over."""

    programs: int


@frozen
class AcquireSlot:
    """Requests a worker slot from the home of a pool; repeated until it is granted or refused.

    Times in `call` are in seconds relative to the sender's current time.
    """

    pool: str
    call: Waiting
    queue_bound: int
    wait_seconds: float


@frozen
class SlotProgress:
    """The home's reply: the name of the granted worker, or None while the call is queued."""

    worker: str | None = None


@frozen
class FinishSlot:
    """Releases a slot; `tokens` is the number of the program's tokens cached on the worker."""

    pool: str
    ticket: str
    program: str
    failed: bool = False
    worker: str = ""
    tokens: int = 0


@frozen
class SlotFinished:
    """The reply to FinishSlot: the slot has been released."""


Request = (
    Ping
    | PullTables
    | OpenProgram
    | ViewProgram
    | GetCall
    | EndProgram
    | AdoptPrograms
    | CallStep
    | AcquireSlot
    | FinishSlot
)
Reply = (
    Pong
    | TablesMessage
    | ProgramView
    | CallProgress
    | Adopted
    | SlotProgress
    | SlotFinished
    | ErrorReply
)

register_union(Request, tag_name="_type")
register_union(Reply, tag_name="_type")

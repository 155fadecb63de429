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
    """The answer to a heartbeat."""

    member: Member
    revision: int


@frozen
class PullTables:
    """Asks for the tables in force."""


@frozen
class OpenProgram:
    """Asks the owner of `request.parent` to open a child."""

    request: OpenRequest
    opening_key: str | None = None


@frozen
class ViewProgram:
    """Asks for a program's state."""

    program: str


@frozen
class GetCall:
    """Asks for a call's outcome."""

    program: str
    call: int


@frozen
class EndProgram:
    """Asks the owner to end a program and its children."""

    program: str


@frozen
class AdoptPrograms:
    """Asks a peer to take over a closed incarnation now."""

    incarnation: str


@frozen
class Adopted:
    """Says how many programs were taken over."""

    programs: int


@frozen
class AcquireSlot:
    """Asks the home of a pool for a slot; repeated until it is granted or refused.

    Times in `call` are relative to the sender's present.
    """

    pool: str
    call: Waiting
    queue_bound: int
    wait_seconds: float


@frozen
class SlotProgress:
    """The home's answer: the granted worker's name, if there is one yet."""

    worker: str | None = None


@frozen
class FinishSlot:
    """Gives a slot back; `tokens` are what the program has cached there now."""

    pool: str
    ticket: str
    program: str
    failed: bool = False
    worker: str = ""
    tokens: int = 0


@frozen
class SlotFinished:
    """The slot is free."""


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

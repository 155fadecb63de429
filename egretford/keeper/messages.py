"""Messages between entries and keepers, and what keepers write to their logs."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import field, frozen

from egretford.codec import register_union
from egretford.models import ErrorReply
from egretford.policy.crashes import Crash
from egretford.policy.ledger import Charge
from egretford.policy.views import View


@frozen
class Turn:
    """A turn that was answered whole; it never changes.

    `request_text` and `answer_text` are what the next turn's prompt repeats of it;
    `retention` is in seconds, `copies` names the instances whose keepers were to hold it.
    """

    id: str
    previous: str | None
    program: str
    request_text: bytes
    answer_text: bytes
    retention: float
    copies: tuple[str, ...]


Record = Charge | Turn
# A charge without its program: request, tokens, and whether it is settled.
ChargeRow = tuple[str, int, bool]


@frozen
class ProgramCharges:
    """Charges of one program, in the short form that messages have."""

    program: str
    rows: tuple[ChargeRow, ...]

    @classmethod
    def pack(cls, program: str, charges: Iterable[Charge]) -> ProgramCharges:
        """Shorten charges that all belong to `program`."""
        return cls(program, tuple((c.request, c.tokens, c.settled) for c in charges))

    def unpack(self) -> list[Charge]:
        """Return the charges in full."""
        return [Charge(self.program, *row) for row in self.rows]


@frozen
class AdoptView:
    """Tells a keeper of a newer view."""

    view: View


@frozen
class Reserve:
    """Reserves a turn's charge; `previous` asks for that turn's chain.

    Without `charge` only the chain is asked for. `view` is the number of the asker's view,
    here and in the other requests; it is set as the request is sent.
    """

    charge: Charge | None
    previous: str | None
    with_chain: bool
    view: int = field(default=0, kw_only=True)


@frozen
class Reserved:
    """The program's charges as known here; `chain` holds the oldest turn first.

    `missing` names the first turn of the chain that is not held here.
    """

    charges: ProgramCharges | None
    chain: tuple[Turn, ...]
    missing: str | None


@frozen
class Keep:
    """Settles a charge, and keeps a turn."""

    charge: Charge | None
    turn: Turn | None
    view: int = field(default=0, kw_only=True)


@frozen
class Kept:
    """All of it is synced."""


@frozen
class ListRecords:
    """Asks for what a keeper took after a position of one of its lifetimes.

    `asker` is the asking keeper's disk, `asker_name` its instance. Records up to `position`
    were copied as far as the asker was to hold them when `former` were the active disks; with
    other ones they are looked through again, after `scanned`.
    """

    asker: str
    asker_name: str
    lifetime: str
    position: int
    scanned: int
    former: tuple[str, ...]
    view: int = field(default=0, kw_only=True)


@frozen
class RecordPage:
    """Charges, and ids of turns, that the asker is to hold.

    `position` is how far the records were looked through, `more` tells that another page
    follows, `ready` whether the keeper holds all that it is to hold. `disk` is the one that
    answers: not the asked one's if that was lost and its machine runs on with another.
    """

    lifetime: str
    position: int
    charges: tuple[ProgramCharges, ...]
    turns: tuple[str, ...]
    more: bool
    ready: bool
    disk: str


@frozen
class FetchTurns:
    """Asks for turns by id."""

    ids: tuple[str, ...]
    view: int = field(default=0, kw_only=True)


@frozen
class TurnPage:
    """The turns that are held on `disk`, as many as fit."""

    turns: tuple[Turn, ...]
    disk: str


@frozen
class ShareCrashes:
    """Tells of workers that went down under a request, and asks what others saw."""

    seen: tuple[Crash, ...]
    view: int = field(default=0, kw_only=True)


@frozen
class CrashList:
    """All crashes known; soft state, empty after a restart."""

    crashes: tuple[Crash, ...]


@frozen
class OutdatedView:
    """The request came under an older view; try again under this one."""

    view: View


@frozen
class UnknownView:
    """The request came under a newer view than this keeper knows; tell it that view first."""


@frozen
class NotReady:
    """This keeper may lack records that it is to hold, and cannot answer yet."""

    reason: str


KeeperRequest = AdoptView | Reserve | Keep | ListRecords | FetchTurns | ShareCrashes
KeeperReply = (
    Reserved
    | Kept
    | RecordPage
    | TurnPage
    | CrashList
    | OutdatedView
    | UnknownView
    | NotReady
    | ErrorReply
)

for union in (Record, KeeperRequest, KeeperReply):
    register_union(union, tag_name="_type")

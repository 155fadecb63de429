"""Messages between entries and keepers, and the records that keepers write to disk."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import field, frozen

from egretford.codec import omit_defaults, register_union
from egretford.models import ErrorReply
from egretford.policy.crashes import Clearance, Crash, CrashReport
from egretford.policy.detours import PeerEntry
from egretford.policy.ledger import Charge, StreamOrigin
from egretford.policy.views import View

# Attempts at one stream that are listed. A caller makes a few; others are of equal streams.
MAX_LISTED_ATTEMPTS = 64


@frozen
class Turn:
    """A turn with a complete answer; immutable.

    `request_text` and `answer_text` are the parts that the next turn's prompt repeats.
    `retention` is in seconds; `copies` names the instances whose keepers were chosen to hold it.
    """

    id: str
    previous: str | None
    program: str
    request_text: bytes
    answer_text: bytes
    retention: float
    copies: tuple[str, ...]


Record = Charge | Turn
# A charge without its program: (request, tokens, settled).
ChargeRow = tuple[str, int, bool]


@frozen
class ProgramCharges:
    """Charges of one program, in the compact form used in messages.

    `origins` lists the origins of streams by the index of their charge in `rows`.
    """

    program: str
    rows: tuple[ChargeRow, ...]
    origins: tuple[tuple[int, StreamOrigin], ...] = ()

    @classmethod
    def pack(cls, program: str, charges: Iterable[Charge]) -> ProgramCharges:
        """Build the compact form of charges that all belong to `program`."""
        listed = list(charges)
        return cls(
            program,
            tuple((c.request, c.tokens, c.settled) for c in listed),
            tuple((n, c.origin) for n, c in enumerate(listed) if c.origin is not None),
        )

    def unpack(self) -> list[Charge]:
        """Return the rows as charges of the program."""
        origins = dict(self.origins)
        return [Charge(self.program, *row, origins.get(n)) for n, row in enumerate(self.rows)]


@frozen
class AdoptView:
    """Asks a keeper to switch to a newer view; the reply is Kept."""

    view: View


@frozen
class Reserve:
    """Reserves a turn's charge and reads the chain that ends with the turn `previous`.

    Without `charge` only the chain is read; it is returned if `with_chain` is set. `view`, here
    and in the other requests, is the number of the sender's view, set when the request is sent.
    """

    charge: Charge | None
    previous: str | None
    with_chain: bool
    view: int = field(default=0, kw_only=True)


@frozen
class Reserved:
    """The program's charges known to this keeper; `chain` has the oldest turn first.

    `missing` is the id at which the chain breaks off: the newest turn in it that is not held.
    """

    charges: ProgramCharges | None
    chain: tuple[Turn, ...]
    missing: str | None


@frozen
class Keep:
    """Stores a settled charge, a turn, or both."""

    charge: Charge | None
    turn: Turn | None
    view: int = field(default=0, kw_only=True)


@frozen
class FindAttempts:
    """Reads the records of the attempts at a stream that were received in the last `seconds`."""

    program: str
    seconds: float
    view: int = field(default=0, kw_only=True)


@frozen
class FoundAttempts:
    """The attempts at a stream that a keeper knows, with the ages of their records in seconds.

    `more` says that there are others that are not listed or, if fewer are listed than may be, that
    there may be: the keeper was not there all the time.
    """

    attempts: ProgramCharges
    ages: tuple[float, ...]
    more: bool

    @property
    def was_there(self) -> bool:
        """Whether the keeper was up and in the same groups for the time that it was asked for."""
        return not self.more or len(self.ages) >= MAX_LISTED_ATTEMPTS


@frozen
class Kept:
    """The request was applied, and its records or view are synced to disk."""


@frozen
class ListRecords:
    """Lists records that the requesting keeper may have to copy, page by page.

    `asker` is the disk of the requesting keeper, `asker_name` its instance. `position` and
    `scanned` are positions in `lifetime`, the time from one restart of the replying keeper to
    the next; they count as 0 in another one. Up to `position`, the requesting keeper has copied
    the records that it had to hold when the disks in `former` were active. After a change of
    members, it scans all records again; this scan continues after `scanned`. It has yet to fetch
    `missing_turns` of the turns that were listed before.
    """

    asker: str
    asker_name: str
    lifetime: str
    position: int
    scanned: int
    former: tuple[str, ...]
    missing_turns: int = 0
    view: int = field(default=0, kw_only=True)


@frozen
class RecordPage:
    """Charges, and ids of turns, that the requesting keeper must hold.

    `position` is the position up to which the records were scanned, `more` whether another page
    follows, and `ready` whether the replying keeper holds all records that it must hold. `disk`
    is the disk that replies: it differs from the requested one if that was lost and replaced.
    `completed` is the generation under which the replying keeper last had all its charges.
    """

    lifetime: str
    position: int
    charges: tuple[ProgramCharges, ...]
    turns: tuple[str, ...]
    more: bool
    ready: bool
    disk: str
    completed: int = 0


@frozen
class FetchTurns:
    """Requests the content of turns by id."""

    ids: tuple[str, ...]
    view: int = field(default=0, kw_only=True)


@frozen
class TurnPage:
    """The requested turns that are held on `disk`, up to the size of one page."""

    turns: tuple[Turn, ...]
    disk: str


@frozen
class ListRenewals:
    """Lists the turns that were renewed after a position, as far as the requesting keeper needs.

    `asker` is the disk of the requesting keeper, `asker_name` its instance. `position` counts in
    `lifetime`, as in ListRecords, but renewals have positions of their own.
    """

    asker: str
    asker_name: str
    lifetime: str
    position: int
    view: int = field(default=0, kw_only=True)


@frozen
class RenewalPage:
    """Turns by id, with the seconds for which they must be kept from now on.

    The replying keeper holds those in `turns`, and the requesting one must hold them too. It lacks
    those in `broken_chains`, which last as long as the turns after them: whoever holds one keeps
    it, and its predecessors.
    """

    lifetime: str
    position: int
    turns: tuple[tuple[str, float], ...]
    broken_chains: tuple[tuple[str, float], ...]
    more: bool


@frozen
class ShareCrashes:
    """Reports workers that crashed while handling a request; the reply lists all known crashes."""

    seen: tuple[Crash, ...]
    view: int = field(default=0, kw_only=True)


@frozen
class CrashList:
    """All crashes known to the keeper."""

    crashes: tuple[Crash, ...]


@frozen
class CrashPosition:
    """A position in what a keeper has learnt of crashes in one `lifetime` of its process."""

    lifetime: str = ""
    position: int = 0


@frozen
class ReportCrashes:
    """Reports crashes, and requests that ran to their end after others like them had crashed.

    With `seen`, the reply has only what the keeper learnt from others after that position, or all
    of it if the position is of another lifetime.
    """

    reports: tuple[CrashReport, ...]
    clearances: tuple[Clearance, ...]
    seen: CrashPosition | None = None
    view: int = field(default=0, kw_only=True)


@frozen
class CrashReports:
    """What the keeper knows of crashes; `position` is how far that goes, if the request had one."""

    reports: tuple[CrashReport, ...]
    clearances: tuple[Clearance, ...]
    position: CrashPosition | None = None


@frozen
class AnnounceEntry:
    """Says that an entry runs; the reply lists the entries known to the keeper if `with_list`."""

    entry: PeerEntry
    with_list: bool
    view: int = field(default=0, kw_only=True)


@frozen
class EntryList:
    """The entries that announced themselves to the keeper lately; kept in memory only.

    Each comes with the age of its announcement, in seconds.
    """

    entries: tuple[tuple[PeerEntry, float], ...]


@frozen
class WatchObjects:
    """Waits up to `seconds` for changes of stored objects of a kind after a revision.

    Without a revision, all objects are listed. Without `with_contents`, the reply only says whether
    there are changes.
    """

    kind: str
    revision: int | None
    seconds: float
    with_contents: bool = True


@frozen
class RelayedObject:
    """A stored object as JSON, or the fact that it was removed."""

    name: str
    revision: int
    content: bytes
    removed: bool = False


@frozen
class RelayedChanges:
    """Changes of stored objects up to `revision`; with `is_listing`, all objects instead.

    `age` is how long ago the store last answered the keeper that replies, in seconds; `recovered`
    how long ago it became available again, None if it was never unavailable.
    """

    revision: int
    age: float
    recovered: float | None
    has_changes: bool
    is_listing: bool
    objects: tuple[RelayedObject, ...]


@frozen
class OutdatedView:
    """The request was sent under an older view; retry it under `view`."""

    view: View


@frozen
class UnknownView:
    """The request's view is newer than this keeper's; send AdoptView first, then retry."""


@frozen
class NotReady:
    """This keeper cannot serve the request, as it may lack records that it must hold."""

    reason: str


KeeperRequest = (
    AdoptView
    | Reserve
    | Keep
    | FindAttempts
    | ListRecords
    | FetchTurns
    | ListRenewals
    | ShareCrashes
    | ReportCrashes
    | AnnounceEntry
    | WatchObjects
)
KeeperReply = (
    Reserved
    | Kept
    | FoundAttempts
    | RecordPage
    | TurnPage
    | RenewalPage
    | CrashList
    | CrashReports
    | EntryList
    | RelayedChanges
    | OutdatedView
    | UnknownView
    | NotReady
    | ErrorReply
)

# Fields that most messages and records do not need are left out, and earlier versions do not know
# them.
for compact in (Charge, ProgramCharges, ListRecords, ReportCrashes, CrashReports):
    omit_defaults(compact)
for union in (Record, KeeperRequest, KeeperReply):
    register_union(union, tag_name="_type")

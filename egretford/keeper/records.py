"""The records of one keeper (turns and charges), in memory and in its log on disk."""

from __future__ import annotations

import uuid
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from attrs import Factory, define

from egretford.clock import Clock
from egretford.codec import decode_bytes, encode_bytes
from egretford.keeper.log import DiskLog
from egretford.keeper.messages import MAX_LISTED_ATTEMPTS, Record, RenewalPage, Turn
from egretford.policy.ledger import Charge, Ledger, merge_charges
from egretford.policy.renewals import RELAYED_STEP_SECONDS, RENEWAL_STEP_SECONDS, RenewalList

# Turns are kept this much longer than requested, since keepers receive a turn at different times.
RETENTION_MARGIN_SECONDS = 20.0
# A program's charges are kept this long after the last one. A program that has paused can
# continue within the retention of its turns, which is one minute on the known deployments.
LEDGER_RETENTION_SECONDS = 150.0
# Records of attempts at streams are kept this long; callers wait some seconds for a stream.
ORIGIN_RETENTION_SECONDS = 60.0
PAGE_RECORDS = 500
# Expired turns that a log line names.
LOGGED_IDS = 5
# Text bytes in a reply of turns; takes about 50 ms on a link of 15 Mbit/s between regions.
PAGE_BYTES = 100_000


@define
class _StoredTurn:
    turn: Turn
    segment: int
    expires_at: float


@define
class _StoredLedger:
    """The charges of a program; `attempts` has the time at which those with an origin came."""

    ledger: Ledger
    expires_at: float
    segments: dict[str, int] = Factory(dict)
    attempts: dict[str, float] = Factory(dict)


@define
class RecordList:
    """One page of records: charges by program, and ids of turns.

    `position` is the last one scanned, `size` the number of records, and `more` whether further
    records follow.
    """

    position: int
    charges: dict[str, list[Charge]] = Factory(dict)
    turns: list[str] = Factory(list)
    size: int = 0
    more: bool = False

    def add_charge(self, charge: Charge) -> None:
        """Append a charge to its program's list and count it in `size`."""
        self.charges.setdefault(charge.program, []).append(charge)
        self.size += 1

    def add_turn(self, turn_id: str) -> None:
        """Append a turn's id and count it in `size`."""
        self.turns.append(turn_id)
        self.size += 1


class Records:
    """Stores turns and charges durably, and lists them by position.

    Each new or changed record gets the next position. Positions and expiry times (monotonic
    seconds) start over after a restart, which `lifetime` identifies.
    """

    def __init__(self, disk: DiskLog, clock: Clock, log: Any) -> None:
        self.lifetime = uuid.uuid4().hex
        self._disk = disk
        self._clock = clock
        self._log = log
        self._turns: dict[str, _StoredTurn] = {}
        self._ledgers: dict[str, _StoredLedger] = {}
        self._position = 0
        self._positions: OrderedDict[tuple[str, ...], int] = OrderedDict()
        self._renewals = RenewalList()

    def load(self) -> None:
        """Load all records from disk; logs and skips those that cannot be decoded."""
        unreadable = 0
        for segment, data in self._disk.open():
            try:
                self._apply(decode_bytes(data, Record), segment, is_copy=True)
            except Exception as error:
                unreadable += 1
                self._log.error("could not decode a record", segment=segment, error=repr(error))
        self._log.info(
            "loaded records from disk",
            turns=len(self._turns),
            programs=len(self._ledgers),
            unreadable=unreadable,
        )

    async def write(self, records: list[Record], *, is_copy: bool = False) -> None:
        """Write the new records to disk, then apply them in memory; raises DiskError.

        Records that change nothing are skipped, and charges are merged with what is held.
        `is_copy` says that they come from another keeper, where they may have been for long.
        """
        merged = [self._merge_held(record) for record in records]
        new = [record for record in merged if record is not None]
        if not new:
            return
        segment = await self._disk.append([encode_bytes(record, Record) for record in new])
        for record in new:
            self._apply(record, segment, is_copy=is_copy)

    def _merge_held(self, record: Record) -> Record | None:
        """Return the record as it will be held, or None if it is held already."""
        match record:
            case Turn():
                return None if record.id in self._turns else record
            case Charge():
                held = self._ledgers.get(record.program)
                known = held.ledger.charges.get(record.request) if held else None
                merged = merge_charges(known, record)
                return None if merged == known else merged

    def _apply(self, record: Record, segment: int, *, is_copy: bool) -> None:
        now = self._clock.monotonic()
        match record:
            case Turn():
                expires_at = now + record.retention + RETENTION_MARGIN_SECONDS
                self._turns[record.id] = _StoredTurn(record, segment, expires_at)
                self._assign_position(("turn", record.id))
                if is_copy:
                    self._extend_chain(record.previous, expires_at)
                else:
                    self._renewals.note_announced(record.id, expires_at)
                    self._renew(record.previous, expires_at, RENEWAL_STEP_SECONDS)
            case Charge():
                held = self._ledgers.setdefault(record.program, _StoredLedger(Ledger(), 0.0))
                retention = (
                    LEDGER_RETENTION_SECONDS if record.origin is None else ORIGIN_RETENTION_SECONDS
                )
                held.expires_at = max(held.expires_at, now + retention)
                if record.origin is not None:
                    held.attempts.setdefault(record.request, now)
                if held.ledger.merge(record):
                    held.segments[record.request] = segment
                    self._assign_position(("charge", record.program, record.request))

    def _assign_position(self, key: tuple[str, ...]) -> None:
        self._position += 1
        self._positions[key] = self._position
        self._positions.move_to_end(key)

    # Reading

    def list_charges(self, program: str) -> tuple[Charge, ...]:
        """Return the charges of a program; empty if none is held."""
        held = self._ledgers.get(program)
        return tuple(held.ledger.charges.values()) if held else ()

    def list_attempts(self, program: str, seconds: float) -> tuple[list[Charge], list[float], bool]:
        """Return the attempts at a stream that came in the last `seconds`, newest first.

        With them come their ages in seconds, and whether there are more than are listed.
        """
        held = self._ledgers.get(program)
        if held is None:
            return [], [], False
        now = self._clock.monotonic()
        newest_first = reversed(held.attempts.items())
        recent = [(request, now - at) for request, at in newest_first if now - at <= seconds]
        listed = recent[:MAX_LISTED_ATTEMPTS]
        charges = [held.ledger.charges[request] for request, _ in listed]
        return charges, [age for _, age in listed], len(recent) > len(listed)

    def read_chain(self, turn_id: str) -> tuple[tuple[Turn, ...], str | None]:
        """Return a turn's chain, oldest turn first, and the id at which it breaks off.

        The chain holds the turn and its predecessors; the id is None if the chain is complete.
        """
        chain: list[Turn] = []
        next_id: str | None = turn_id
        while next_id is not None:
            held = self._turns.get(next_id)
            if held is None:
                break
            chain.append(held.turn)
            next_id = held.turn.previous
        chain.reverse()
        return tuple(chain), next_id

    def renew_chain(self, turn_id: str) -> None:
        """Let a turn that is held and its predecessors last as if it had been stored just now.

        Those of other keepers that hold any of them learn of it by `list_renewals`.
        """
        held = self._turns.get(turn_id)
        if held is not None:
            expires_at = self._clock.monotonic() + held.turn.retention + RETENTION_MARGIN_SECONDS
            self._renew(turn_id, expires_at, RENEWAL_STEP_SECONDS)

    def extend_turn(self, turn_id: str, seconds: float) -> None:
        """Let a turn that is held last for so many seconds from now, if it would not anyway."""
        held = self._turns[turn_id]
        held.expires_at = max(held.expires_at, self._clock.monotonic() + seconds)

    def extend_chain(self, turn_id: str, seconds: float) -> None:
        """Do the same with a turn's predecessors too, after another keeper that lacks the turn."""
        self._renew(turn_id, self._clock.monotonic() + seconds, RELAYED_STEP_SECONDS)

    def _renew(self, turn_id: str | None, expires_at: float, step: float) -> None:
        for renewed_id in self._extend_chain(turn_id, expires_at):
            self._renewals.add(renewed_id, expires_at, step)

    def _extend_chain(self, turn_id: str | None, expires_at: float) -> list[str]:
        """Return the ids of the chain, down to the first turn that is not held."""
        walked: list[str] = []
        while turn_id is not None:
            walked.append(turn_id)
            held = self._turns.get(turn_id)
            if held is None:
                break
            held.expires_at = max(held.expires_at, expires_at)
            turn_id = held.turn.previous
        return walked

    def list_renewals(self, position: int, is_wanted: Callable[[Turn], bool]) -> RenewalPage:
        """Return the turns that were renewed after `position`, and how long they will be kept.

        Of those that are held, only the wanted ones are listed.
        """
        now = self._clock.monotonic()
        turns: list[tuple[str, float]] = []
        broken_chains: list[tuple[str, float]] = []
        more = False
        for renewal in self._renewals.list_after(position):
            if len(turns) + len(broken_chains) >= PAGE_RECORDS:
                more = True
                break
            position = renewal.position
            held = self._turns.get(renewal.turn_id)
            if held is None:
                broken_chains.append((renewal.turn_id, renewal.expires_at - now))
            elif is_wanted(held.turn):
                turns.append((renewal.turn_id, held.expires_at - now))
        return RenewalPage(self.lifetime, position, tuple(turns), tuple(broken_chains), more)

    def list_after(
        self,
        position: int,
        is_charge_wanted: Callable[[str, int], bool],
        is_turn_wanted: Callable[[Turn], bool],
    ) -> RecordList:
        """Return one page of the records after `position` that the two predicates select.

        A charge is selected by its program and its own position, a turn by its content.
        """
        found = RecordList(position)
        for key, record_position in self._list_positions_after(position):
            if found.size >= PAGE_RECORDS:
                found.more = True
                break
            if key[0] == "charge":
                if is_charge_wanted(key[1], record_position):
                    found.add_charge(self._ledgers[key[1]].ledger.charges[key[2]])
            elif is_turn_wanted(self._turns[key[1]].turn):
                found.add_turn(key[1])
            found.position = record_position
        return found

    def _list_positions_after(self, position: int) -> list[tuple[tuple[str, ...], int]]:
        newer = []
        for key in reversed(self._positions):
            if self._positions[key] <= position:
                break
            newer.append((key, self._positions[key]))
        newer.reverse()
        return newer

    def find_turns(self, ids: tuple[str, ...]) -> list[Turn]:
        """Return the turns with these ids that are held, up to the size of one page."""
        found: list[Turn] = []
        size = 0
        for turn_id in ids:
            held = self._turns.get(turn_id)
            if held is None:
                continue
            size += len(held.turn.request_text) + len(held.turn.answer_text)
            if found and size > PAGE_BYTES:
                break
            found.append(held.turn)
        return found

    def find_turn(self, turn_id: str) -> Turn | None:
        """Return the turn with this id, or None if it is not held."""
        held = self._turns.get(turn_id)
        return held.turn if held else None

    def list_turn_ids(self) -> list[str]:
        """Return the ids of all turns that are held."""
        return list(self._turns)

    def has_turn(self, turn_id: str) -> bool:
        """Whether the turn with this id is held."""
        return turn_id in self._turns

    # Expiry

    async def expire(self) -> None:
        """Delete expired records from memory, and the oldest segment once its turns expired."""
        now = self._clock.monotonic()
        expired = [key for key, held in self._turns.items() if now >= held.expires_at]
        for turn_id in expired:
            del self._turns[turn_id]
            self._positions.pop(("turn", turn_id), None)
        if expired:
            self._log.info(
                "deleted expired turns",
                turns=len(expired),
                some=expired[:LOGGED_IDS],
                held=len(self._turns),
            )
        self._renewals.expire(now)
        for program in [key for key, held in self._ledgers.items() if now >= held.expires_at]:
            for request in self._ledgers.pop(program).ledger.charges:
                self._positions.pop(("charge", program, request), None)
        for program, held in self._ledgers.items():
            self._expire_attempts(program, held, now)
        await self._remove_oldest_segment()

    def _expire_attempts(self, program: str, held: _StoredLedger, now: float) -> None:
        """Delete old attempts at a stream of whose content there are always new ones."""
        for request, received_at in list(held.attempts.items()):
            if now - received_at < ORIGIN_RETENTION_SECONDS:
                return
            del held.attempts[request], held.ledger.charges[request]
            held.segments.pop(request, None)
            self._positions.pop(("charge", program, request), None)

    async def _remove_oldest_segment(self) -> None:
        """Remove the oldest segment once its turns have expired.

        Live charges in it are rewritten to the newest segment first.
        """
        if len(self._disk.segments) < 2:
            return
        number = self._disk.segments[0].number
        if any(held.segment == number for held in self._turns.values()):
            return
        charges = [
            (held, charge)
            for held in self._ledgers.values()
            for charge in held.ledger.charges.values()
            if held.segments.get(charge.request) == number
        ]
        if charges:
            segment = await self._disk.append(
                [encode_bytes(charge, Record) for _, charge in charges]
            )
            for held, charge in charges:
                held.segments[charge.request] = segment
        await self._disk.remove(number)
        self._log.info("removed a log segment", segment=number, rewritten=len(charges))

    @property
    def position(self) -> int:
        """The position of the newest record."""
        return self._position

    @property
    def counts(self) -> dict[str, int]:
        """The number of turns, programs and log segments held."""
        return {
            "turns": len(self._turns),
            "programs": len(self._ledgers),
            "segments": len(self._disk.segments),
            "renewals": len(self._renewals),
        }

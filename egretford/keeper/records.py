"""The records of one keeper, in memory and on its disk."""

from __future__ import annotations

import uuid
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from attrs import Factory, define

from egretford.clock import Clock
from egretford.codec import decode_bytes, encode_bytes
from egretford.keeper.log import DiskLog
from egretford.keeper.messages import Record, Turn
from egretford.policy.ledger import Charge, Ledger

# Records are kept a while longer than asked, since other keepers took them at other times.
RETENTION_MARGIN_SECONDS = 20.0
# A program's charges are kept this long after the last one; a program that was stopped may
# come back within the retention of its turns, which is a minute on the deployments known.
LEDGER_RETENTION_SECONDS = 150.0
PAGE_RECORDS = 500
# A page passes a link of 15 Mbit/s between regions in some 50 ms.
PAGE_BYTES = 100_000


@define
class _HeldTurn:
    turn: Turn
    segment: int
    expires_at: float


@define
class _HeldLedger:
    ledger: Ledger
    expires_at: float
    segments: dict[str, int] = Factory(dict)


@define
class RecordList:
    """Charges by program and ids of turns, up to a position; `more` tells if more follow."""

    position: int
    charges: dict[str, list[Charge]] = Factory(dict)
    turns: list[str] = Factory(list)
    size: int = 0
    more: bool = False

    def add_charge(self, charge: Charge) -> None:
        """Add a charge."""
        self.charges.setdefault(charge.program, []).append(charge)
        self.size += 1

    def add_turn(self, turn_id: str) -> None:
        """Add a turn."""
        self.turns.append(turn_id)
        self.size += 1


class Records:
    """Turns and charges; times in monotonic seconds, counted anew after a restart."""

    def __init__(self, disk: DiskLog, clock: Clock, log: Any) -> None:
        self.lifetime = uuid.uuid4().hex
        self._disk = disk
        self._clock = clock
        self._log = log
        self._turns: dict[str, _HeldTurn] = {}
        self._ledgers: dict[str, _HeldLedger] = {}
        self._position = 0
        self._order: OrderedDict[tuple[str, ...], int] = OrderedDict()

    def load(self) -> None:
        """Read the disk."""
        unreadable = 0
        for segment, data in self._disk.open():
            try:
                self._apply(decode_bytes(data, Record), segment)
            except Exception as error:
                unreadable += 1
                self._log.error("a record cannot be read", segment=segment, error=repr(error))
        self._log.info(
            "read the disk",
            turns=len(self._turns),
            programs=len(self._ledgers),
            unreadable=unreadable,
        )

    async def write(self, records: list[Record]) -> None:
        """Sync and apply what is new of some records; raises DiskError."""
        new = [record for record in records if self._is_new(record)]
        if not new:
            return
        segment = await self._disk.append([encode_bytes(record, Record) for record in new])
        for record in new:
            self._apply(record, segment)

    def _is_new(self, record: Record) -> bool:
        match record:
            case Turn():
                return record.id not in self._turns
            case Charge():
                held = self._ledgers.get(record.program)
                known = held.ledger.charges.get(record.request) if held else None
                return known != record and (known is None or not known.settled)

    def _apply(self, record: Record, segment: int) -> None:
        now = self._clock.monotonic()
        match record:
            case Turn():
                expires_at = now + record.retention + RETENTION_MARGIN_SECONDS
                self._turns[record.id] = _HeldTurn(record, segment, expires_at)
                self._advance(("turn", record.id))
            case Charge():
                held = self._ledgers.setdefault(record.program, _HeldLedger(Ledger(), 0.0))
                held.expires_at = now + LEDGER_RETENTION_SECONDS
                if held.ledger.merge(record):
                    held.segments[record.request] = segment
                    self._advance(("charge", record.program, record.request))

    def _advance(self, key: tuple[str, ...]) -> None:
        self._position += 1
        self._order[key] = self._position
        self._order.move_to_end(key)

    # Reading

    def list_charges(self, program: str) -> tuple[Charge, ...]:
        """Return the charges of a program."""
        held = self._ledgers.get(program)
        return tuple(held.ledger.charges.values()) if held else ()

    def read_chain(self, turn_id: str) -> tuple[tuple[Turn, ...], str | None]:
        """Return a turn and those before it, oldest first, and the first one not held here."""
        chain: list[Turn] = []
        wanted: str | None = turn_id
        while wanted is not None:
            held = self._turns.get(wanted)
            if held is None:
                break
            chain.append(held.turn)
            wanted = held.turn.previous
        chain.reverse()
        return tuple(chain), wanted

    def renew_chain(self, turns: tuple[Turn, ...]) -> None:
        """Keep a chain for as long as its newest turn; a turn is kept together with its chain."""
        now = self._clock.monotonic()
        for turn in turns:
            held = self._turns[turn.id]
            lasting = now + turn.retention + RETENTION_MARGIN_SECONDS
            held.expires_at = max(held.expires_at, lasting)

    def list_after(
        self,
        position: int,
        is_charge_wanted: Callable[[str, int], bool],
        is_turn_wanted: Callable[[Turn], bool],
    ) -> RecordList:
        """Return what is wanted of the records after a position.

        A charge is judged by its program and its own position.
        """
        found = RecordList(position)
        for key, at in self._iterate_after(position):
            if found.size >= PAGE_RECORDS:
                found.more = True
                break
            if key[0] == "charge":
                if is_charge_wanted(key[1], at):
                    found.add_charge(self._ledgers[key[1]].ledger.charges[key[2]])
            elif is_turn_wanted(self._turns[key[1]].turn):
                found.add_turn(key[1])
            found.position = at
        return found

    def _iterate_after(self, position: int) -> list[tuple[tuple[str, ...], int]]:
        newest = []
        for key in reversed(self._order):
            if self._order[key] <= position:
                break
            newest.append((key, self._order[key]))
        newest.reverse()
        return newest

    def find_turns(self, ids: tuple[str, ...]) -> list[Turn]:
        """Return the turns that are held of some ids, as many as make one page."""
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

    def holds(self, turn_id: str) -> bool:
        """Whether a turn is held here."""
        return turn_id in self._turns

    # Expiry

    async def expire(self) -> None:
        """Drop what nobody may ask for any more, in memory and on disk."""
        now = self._clock.monotonic()
        for turn_id in [key for key, held in self._turns.items() if now >= held.expires_at]:
            del self._turns[turn_id]
            self._order.pop(("turn", turn_id), None)
        for program in [key for key, held in self._ledgers.items() if now >= held.expires_at]:
            for request in self._ledgers.pop(program).ledger.charges:
                self._order.pop(("charge", program, request), None)
        await self._remove_oldest_segment()

    async def _remove_oldest_segment(self) -> None:
        """Remove the oldest segment, writing again the little of it that still counts."""
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
        """How much is held."""
        return {
            "turns": len(self._turns),
            "programs": len(self._ledgers),
            "segments": len(self._disk.segments),
        }

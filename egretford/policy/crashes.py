"""Blocks requests that have crashed several workers that ran them."""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import StrEnum
from itertools import groupby
from typing import Any

import xxhash
from attrs import Factory, define, frozen

# Different workers that a request must crash to be blocked. A crash also hits the other requests
# on the worker, so one proves nothing; deployments allow one request to take down three workers.
CRASHES_TO_BLOCK = 3
# A blocked request may be tried again this long after its last crash, in seconds.
CRASH_RETENTION_SECONDS = 120.0
# Families remembered; the oldest are dropped.
MAX_FAMILIES = 2_000
# Fingerprints remembered of each family: several times as many as a worker runs at once, so that
# those of one crash do not replace one another.
MAX_FAMILY_MEMBERS = 64
# Fingerprints remembered that have run to their end; the oldest are dropped.
MAX_FINGERPRINTS = 10_000
# Time, in seconds, in which no process takes the place of one that has just ended.
PROMPT_CONNECT_SECONDS = 0.2
# Crashed processes remembered; the oldest are dropped.
MAX_PROCESSES = 1_000
# A success that others report as later than it is known by less than this, in seconds, is the same,
# as the time on the way adds to its time, unless it ends a crash that is known here.
SAME_SUCCESS_SECONDS = 1.0
# Bytes at the beginning of a body that requests of one family have in common.
FAMILY_BODY_BYTES = 256
# Length of a family, and of what tells its members apart.
FAMILY_DIGITS = 16


class LossKind(StrEnum):
    """How a request was lost at a worker.

    BROKEN: its connection broke, so the worker has crashed unless it proves the contrary. SILENT:
    nothing came in time, so it has crashed unless it is heard of. TUNNELLED: a connection through
    another instance broke, so it has crashed only if that is certain.
    """

    BROKEN = "broken"
    SILENT = "silent"
    TUNNELLED = "tunnelled"


@frozen
class Crash:
    """The crash of a worker while it ran a request with this fingerprint.

    `worker` differs for each process, also if a worker starts again under its id.
    """

    fingerprint: str
    worker: str


def make_fingerprint(target: bytes, host: str, body: bytes, history: str = "") -> str:
    """Return a fingerprint that is the same when a request is repeated, from any address.

    Its first part, the family, is the same for requests to one path whose bodies begin alike: a
    prompt that comes again may have grown, or be cut. `history` names what a worker gets before
    the body, so that turns of different programs differ whose new input is the same.
    """
    family = xxhash.xxh3_64(target)
    family.update(b"\0" + host.encode() + b"\0" + body[:FAMILY_BODY_BYTES])
    rest = xxhash.xxh3_64(body)
    if history:
        rest.update(b"\0" + history.encode())
    return family.hexdigest() + rest.hexdigest()


def get_family(fingerprint: str) -> str:
    """Return the part of a fingerprint that requests have in common whose bodies begin alike."""
    return fingerprint[:FAMILY_DIGITS]


@frozen
class CrashReport:
    """A crash that happened `age` seconds ago."""

    crash: Crash
    age: float


@frozen
class Clearance:
    """A worker ran a request with this fingerprint to its end, `age` seconds ago."""

    fingerprint: str
    age: float


@define
class CrashTable:
    """Crashed workers by family and fingerprint, with the time of the crash in monotonic seconds.

    Reports may be merged in any order and any number of times: the earliest time of a crash counts,
    and the latest success. A success ends what crashes before it say of a request. A family counts
    as one request unless one of its members has run to its end lately.
    """

    _crashed_at: dict[str, dict[str, dict[str, float]]] = Factory(dict)
    _cleared_at: dict[str, float] = Factory(dict)
    # By family, the last success of a member and its fingerprint.
    _last_success: dict[str, tuple[float, str]] = Factory(dict)
    # Suspects whose crashes were enough to block them and became too old.
    _offenders: dict[str, None] = Factory(dict)
    # By worker, the earliest time of its crash.
    _ended_at: dict[str, float] = Factory(dict)
    # By fingerprint and crashed worker, None for a success, the position at which it became known.
    _positions: dict[tuple[str, str | None], int] = Factory(dict)
    # Grows with each crash or success that becomes known.
    position: int = 0

    def add(self, crash: Crash, now: float, age: float = 0.0) -> bool:
        """Record a crash; returns False if it is known, too old or was followed by a success."""
        at = now - age
        cleared_at = self._cleared_at.get(crash.fingerprint)
        if age > CRASH_RETENTION_SECONDS or (cleared_at is not None and at <= cleared_at):
            return False
        members = self._crashed_at.setdefault(get_family(crash.fingerprint), {})
        workers = members.setdefault(crash.fingerprint, {})
        self._ended_at[crash.worker] = min(at, self._ended_at.get(crash.worker, at))
        _drop_oldest(self._ended_at, MAX_PROCESSES)
        is_known = crash.worker in workers
        if not is_known:
            self._assign_position(crash.fingerprint, crash.worker)
        workers[crash.worker] = min(at, workers.get(crash.worker, at))
        _drop_least_suspect(members, crash.fingerprint)
        _drop_oldest(self._crashed_at, MAX_FAMILIES)
        return not is_known

    def _assign_position(self, fingerprint: str, worker: str | None) -> None:
        self.position += 1
        self._positions.pop((fingerprint, worker), None)
        self._positions[fingerprint, worker] = self.position
        _drop_oldest(self._positions, MAX_FINGERPRINTS)

    def tell_apart(self, worker: str, opened_at: float) -> str:
        """Return the name of the process to which a connection was opened at `opened_at`.

        Without a start of its own it has the name of the one before, which had crashed by then. One
        that lost several connections at once before it ended has crashed once.
        """
        number, name = 0, worker
        while (ended_at := self._ended_at.get(name)) is not None:
            if opened_at - ended_at <= PROMPT_CONNECT_SECONDS:
                break
            number += 1
            name = f"{worker}+{number}"
        return name

    def merge(self, crashes: Iterable[Crash], now: float) -> None:
        """Record crashes of unknown age that others have seen, as if they had happened now."""
        for crash in crashes:
            self.add(crash, now)

    def merge_reports(
        self, reports: Iterable[CrashReport], clearances: Iterable[Clearance], now: float
    ) -> set[str]:
        """Record crashes and successes that others have seen.

        Returns the fingerprints whose success is known here and not to them.
        """
        for clearance in clearances:
            self._clear(clearance.fingerprint, now - clearance.age)
        unknown = set()
        for report in reports:
            self.add(report.crash, now, report.age)
            at, fingerprint = self._last_success.get(
                get_family(report.crash.fingerprint), (-math.inf, "")
            )
            if now - at <= CRASH_RETENTION_SECONDS and fingerprint not in self._cleared_at:
                self._clear(fingerprint, at)
                unknown.add(fingerprint)
        return unknown

    def record_success(self, fingerprint: str, now: float) -> bool:
        """Forget the crashes of a request that a worker has run to its end.

        Returns whether others must know, as they may have crashes of it or its family.
        """
        family = get_family(fingerprint)
        members = self._crashed_at.get(family, {})
        has_run = self._has_run(family, now)
        self._record_last_success(fingerprint, now)
        if fingerprint not in members and (has_run or not members):
            return False
        self._clear(fingerprint, now)
        return True

    def _record_last_success(self, fingerprint: str, at: float) -> None:
        family = get_family(fingerprint)
        latest = max((at, fingerprint), self._last_success.pop(family, (-math.inf, "")))
        self._last_success[family] = latest
        _drop_oldest(self._last_success, MAX_FINGERPRINTS)

    def _has_run(self, family: str, now: float) -> bool:
        at, _ = self._last_success.get(family, (-math.inf, ""))
        return now - at <= CRASH_RETENTION_SECONDS

    def _clear(self, fingerprint: str, at: float) -> None:
        self._record_last_success(fingerprint, at)
        known_at = self._cleared_at.get(fingerprint, -math.inf)
        is_news = at > known_at + SAME_SUCCESS_SECONDS
        at = max(at, known_at)
        self._cleared_at[fingerprint] = at
        _drop_oldest(self._cleared_at, MAX_FINGERPRINTS)
        family = get_family(fingerprint)
        for suspect in (family, fingerprint):
            self._offenders.pop(suspect, None)
        members = self._crashed_at.get(family, {})
        workers = members.pop(fingerprint, {})
        later = {worker: crashed_at for worker, crashed_at in workers.items() if crashed_at > at}
        if is_news or len(later) < len(workers):
            self._assign_position(fingerprint, None)
        if later:
            members[fingerprint] = later
        elif not members:
            self._crashed_at.pop(family, None)

    def blocks(self, fingerprint: str, now: float) -> bool:
        """Whether requests with this fingerprint must not be sent to workers."""
        family = get_family(fingerprint)
        groups = self._group_members(family, now)
        key = family if family in groups else fingerprint
        if key in self._offenders and key in groups:
            return True
        if len(groups.get(key, ())) < CRASHES_TO_BLOCK:
            return False
        return key in self._find_culprits(now)

    def _group_members(self, family: str, now: float) -> dict[str, set[str]]:
        """Return crashed workers by suspect: the whole family, or each member by itself."""
        members = self._list_members(family, now)
        if len(members) < 2 or self._has_run(family, now):
            return {fingerprint: set(workers) for fingerprint, workers in members.items()}
        return {family: set().union(*members.values())}

    def _find_culprits(self, now: float) -> set[str]:
        """Return the suspects to block.

        A crash takes all requests on its worker down, so a crash under a culprit says nothing of
        suspects that were there at fewer crashes.
        """
        groups: dict[str, set[str]] = {}
        for family in list(self._crashed_at):
            groups |= self._group_members(family, now)
        culprits: set[str] = set()
        explained: set[str] = set()
        by_count = sorted(groups, key=lambda suspect: len(groups[suspect]), reverse=True)
        for _, suspects in groupby(by_count, key=lambda suspect: len(groups[suspect])):
            found = {s for s in suspects if len(groups[s] - explained) >= CRASHES_TO_BLOCK}
            culprits |= found
            explained = explained.union(*(groups[suspect] for suspect in found))
        return culprits

    def _list_members(self, family: str, now: float) -> dict[str, dict[str, float]]:
        """Return the members of a family that crashed a worker lately, and drop the others."""
        members = self._crashed_at.get(family, {})
        old = [f for f, w in members.items() if now - max(w.values()) > CRASH_RETENTION_SECONDS]
        for fingerprint in old:
            if len(members[fingerprint]) >= CRASHES_TO_BLOCK:
                self._offenders[fingerprint] = None
        if len(set().union(*(members[fingerprint] for fingerprint in old))) >= CRASHES_TO_BLOCK:
            self._offenders[family] = None
        _drop_oldest(self._offenders, MAX_FAMILIES)
        for fingerprint in old:
            del members[fingerprint]
        if not members:
            self._crashed_at.pop(family, None)
        return members

    def list_recent(self, now: float) -> tuple[Crash, ...]:
        """Return the crashes of the last `CRASH_RETENTION_SECONDS`."""
        return tuple(report.crash for report in self.list_reports(now))

    def list_reports(self, now: float, after: int = 0) -> tuple[CrashReport, ...]:
        """Return the crashes of the last `CRASH_RETENTION_SECONDS` with their ages.

        With `after`, only those that became known after that position.
        """
        return tuple(
            CrashReport(Crash(fingerprint, worker), now - at)
            for members in self._crashed_at.values()
            for fingerprint, workers in members.items()
            for worker, at in workers.items()
            if now - at <= CRASH_RETENTION_SECONDS and self._is_after(after, fingerprint, worker)
        )

    def list_clearances(self, now: float, after: int = 0) -> tuple[Clearance, ...]:
        """Return the successes of the last `CRASH_RETENTION_SECONDS` that followed crashes.

        With `after`, only those that became known after that position.
        """
        return tuple(
            Clearance(fingerprint, now - at)
            for fingerprint, at in self._cleared_at.items()
            if now - at <= CRASH_RETENTION_SECONDS and self._is_after(after, fingerprint, None)
        )

    def _is_after(self, position: int, fingerprint: str, worker: str | None) -> bool:
        return not position or self._positions.get((fingerprint, worker), 0) > position


def _drop_oldest(items: dict[str, Any], size: int) -> None:
    while len(items) > size:
        del items[next(iter(items))]


def _drop_least_suspect(members: dict[str, dict[str, float]], newest: str) -> None:
    """Drop the members of a family that were there at the fewest crashes, the oldest first."""
    while len(members) > MAX_FAMILY_MEMBERS:
        others = (fingerprint for fingerprint in members if fingerprint != newest)
        del members[min(others, key=lambda fingerprint: len(members[fingerprint]))]

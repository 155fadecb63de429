"""Which entries are live, who is home of a key, and when a takeover may be tried.

Leases only say when to try; the journal's seal makes a takeover safe at any moment.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash
from attrs import Factory, define, frozen

from egretford.models import Member


@frozen
class LeaseTimes:
    """Durations in seconds."""

    heartbeat: float = 1.0
    renewal: float = 2.0
    lease: float = 8.0
    rank_delay: float = 1.0


@define
class Sighting:
    """What is known of one incarnation, in this process's monotonic time."""

    member: Member
    version: int
    renewed_seen: float
    heard: float | None = None
    listed: bool = True


def rank_by_hash(key: str, names: Iterable[str]) -> list[str]:
    """Order names by rendezvous hash of the key, the home first."""
    return sorted(
        names, key=lambda name: xxhash.xxh64_intdigest(f"{key}\0{name}".encode()), reverse=True
    )


@define
class Membership:
    """Sightings of other incarnations, from the store's list and from heartbeats."""

    me: Member
    times: LeaseTimes
    sightings: dict[str, Sighting] = Factory(dict)

    def learn_listed(self, members: dict[str, tuple[Member, int]], now: float) -> None:
        """Take a whole listing of the store: incarnation to (member, version)."""
        for name, (member, version) in members.items():
            if name != self.me.incarnation:
                self._learn_one(member, version, now)
        for name, sighting in list(self.sightings.items()):
            sighting.listed = name in members
            if not sighting.listed and not self._is_heard(sighting, now):
                del self.sightings[name]

    def _learn_one(self, member: Member, version: int, now: float) -> None:
        known = self.sightings.get(member.incarnation)
        if known is None:
            self.sightings[member.incarnation] = Sighting(member, version, now)
        elif version > known.version:
            known.member, known.version, known.renewed_seen = member, version, now

    def learn_heartbeat(self, member: Member, now: float) -> None:
        """Note that a peer answered or called."""
        if member.incarnation == self.me.incarnation:
            return
        known = self.sightings.get(member.incarnation)
        if known is None:
            known = Sighting(member, 0, now, listed=False)
            self.sightings[member.incarnation] = known
        known.heard = now
        if known.member.owner == member.incarnation:
            known.member = member

    def _is_heard(self, sighting: Sighting, now: float) -> bool:
        return sighting.heard is not None and now - sighting.heard < self.times.lease

    def is_live(self, incarnation: str, now: float) -> bool:
        """Whether an incarnation serves its own programs, as far as is known here."""
        if incarnation == self.me.incarnation:
            return True
        sighting = self.sightings.get(incarnation)
        if sighting is None or sighting.member.owner != incarnation:
            return False
        if sighting.member.state != "serving":
            return False
        return self._is_heard(sighting, now) or now - sighting.renewed_seen < self.times.lease

    def list_live(self, now: float) -> list[Member]:
        """Return live members, this one included while it serves."""
        found = [self.me] if self.me.state == "serving" else []
        found += [s.member for name, s in self.sightings.items() if self.is_live(name, now)]
        return found

    def list_takeovers(self, now: float) -> list[Sighting]:
        """Return incarnations that this entry should try to take over now.

        The candidates are ranked by hash, those of the same failure domain first; each
        waits its rank's delay past the lapse, so that most often only one tries.
        """
        return [s for s in self.sightings.values() if self._should_take_over(s, now)]

    def list_unfinished(self) -> list[Sighting]:
        """Return takeovers that this entry began and has not finished."""
        return [
            s
            for s in self.sightings.values()
            if s.member.owner == self.me.incarnation and s.member.state == "adopted"
        ]

    def list_replaced(self, now: float) -> list[Member]:
        """Return incarnations copied by this one whose process is surely gone.

        Another incarnation that listens at the same address proves it, since only one
        process can.
        """
        addresses = {member.address for member in self.list_live(now)}
        return [
            s.member
            for s in self.sightings.values()
            if s.member.owner == self.me.incarnation
            and s.member.state == "copied"
            and s.member.address in addresses
        ]

    def _should_take_over(self, sighting: Sighting, now: float) -> bool:
        member = sighting.member
        if not sighting.listed or member.owner != member.incarnation:
            return False
        lapsed_at = self._lapse_time(sighting)
        if self._is_heard(sighting, now) and member.state == "serving":
            return False
        return now >= lapsed_at + self._rank(member, now) * self.times.rank_delay

    def _lapse_time(self, sighting: Sighting) -> float:
        if sighting.member.state == "leaving":
            return sighting.renewed_seen
        return sighting.renewed_seen + self.times.lease

    def _rank(self, member: Member, now: float) -> int:
        order = [m.incarnation for m in self.rank_successors(member, now)]
        return order.index(self.me.incarnation) if self.me.incarnation in order else len(order)

    def rank_successors(self, member: Member, now: float) -> list[Member]:
        """Order live members by their claim to take over `member`, its own domain first."""
        live = {m.incarnation: m for m in self.list_live(now)}
        live.pop(member.incarnation, None)
        ranked = [live[name] for name in rank_by_hash(member.incarnation, live)]
        return sorted(ranked, key=lambda m: m.failure_domain != member.failure_domain)

    def find_home(self, key: str, now: float) -> Member:
        """Return the live member of this one's region that is home of `key`."""
        members = {m.incarnation: m for m in self.list_live(now) if m.region == self.me.region}
        if not members:
            return self.me
        return members[rank_by_hash(key, members)[0]]

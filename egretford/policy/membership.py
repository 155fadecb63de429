"""Which entries are live, which is the home of a key, and when to try a takeover.

Leases only decide when to try. A takeover is safe at any time, since it seals the journal of the
former owner.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash
from attrs import Factory, define, frozen

from egretford.models import Member


@frozen
class LeaseTimes:
    """Durations in seconds; `rank_delay` is the extra wait per rank of a successor."""

    heartbeat: float = 1.0
    renewal: float = 2.0
    lease: float = 8.0
    rank_delay: float = 1.0


@define
class KnownMember:
    """What is known of another incarnation; times are monotonic seconds of this process.

    `renewal_seen_at` is when the latest renewal of its lease was first seen, `heartbeat_at` the
    time of its last heartbeat. `is_listed` is false if it is not in the store's last listing.
    """

    member: Member
    version: int
    renewal_seen_at: float
    heartbeat_at: float | None = None
    is_listed: bool = True


def rank_by_hash(key: str, names: Iterable[str]) -> list[str]:
    """Order names by rendezvous hash of the key; the first one is the home of the key."""
    return sorted(
        names, key=lambda name: xxhash.xxh64_intdigest(f"{key}\0{name}".encode()), reverse=True
    )


@define
class Membership:
    """Tracks other incarnations by the store's listing and by heartbeats."""

    me: Member
    times: LeaseTimes
    known_members: dict[str, KnownMember] = Factory(dict)

    def update_from_listing(self, members: dict[str, tuple[Member, int]], now: float) -> None:
        """Apply a complete listing of the store, a map of incarnations to (member, version)."""
        for name, (member, version) in members.items():
            if name != self.me.incarnation:
                self._update_listed(member, version, now)
        for name, known in list(self.known_members.items()):
            known.is_listed = name in members
            if not known.is_listed and not self._is_heartbeat_recent(known, now):
                del self.known_members[name]

    def _update_listed(self, member: Member, version: int, now: float) -> None:
        known = self.known_members.get(member.incarnation)
        if known is None:
            self.known_members[member.incarnation] = KnownMember(member, version, now)
        elif version > known.version:
            known.member, known.version, known.renewal_seen_at = member, version, now

    def record_heartbeat(self, member: Member, now: float) -> None:
        """Record a heartbeat: a peer has answered or sent a request."""
        if member.incarnation == self.me.incarnation:
            return
        known = self.known_members.get(member.incarnation)
        if known is None:
            known = KnownMember(member, 0, now, is_listed=False)
            self.known_members[member.incarnation] = known
        known.heartbeat_at = now
        if known.member.owner == member.incarnation:
            known.member = member

    def _is_heartbeat_recent(self, known: KnownMember, now: float) -> bool:
        return known.heartbeat_at is not None and now - known.heartbeat_at < self.times.lease

    def is_live(self, incarnation: str, now: float) -> bool:
        """Whether an incarnation serves its own programs, as far as this entry knows."""
        if incarnation == self.me.incarnation:
            return True
        known = self.known_members.get(incarnation)
        if known is None or known.member.owner != incarnation:
            return False
        if known.member.state != "serving":
            return False
        return (
            self._is_heartbeat_recent(known, now) or now - known.renewal_seen_at < self.times.lease
        )

    def list_live(self, now: float) -> list[Member]:
        """Return the live members, including this one while it is serving."""
        found = [self.me] if self.me.state == "serving" else []
        found += [
            known.member for name, known in self.known_members.items() if self.is_live(name, now)
        ]
        return found

    def list_takeovers(self, now: float) -> list[KnownMember]:
        """Return the incarnations that this entry should try to take over now.

        Successors are ranked by hash, those in the same failure domain first. Each waits for
        the delay of its rank after the lease has expired, so that usually only one tries.
        """
        return [
            known for known in self.known_members.values() if self._should_take_over(known, now)
        ]

    def list_unfinished(self) -> list[KnownMember]:
        """Return the incarnations whose takeover this entry has begun but not finished."""
        return [
            known
            for known in self.known_members.values()
            if known.member.owner == self.me.incarnation and known.member.state == "adopted"
        ]

    def list_replaced(self, now: float) -> list[Member]:
        """Return incarnations copied by this one whose process has certainly ended.

        A live incarnation at the same address proves it, since only one process can listen
        there.
        """
        addresses = {member.address for member in self.list_live(now)}
        return [
            known.member
            for known in self.known_members.values()
            if known.member.owner == self.me.incarnation
            and known.member.state == "copied"
            and known.member.address in addresses
        ]

    def _should_take_over(self, known: KnownMember, now: float) -> bool:
        member = known.member
        if not known.is_listed or member.owner != member.incarnation:
            return False
        expired_at = self._find_lease_expiry(known)
        if self._is_heartbeat_recent(known, now) and member.state == "serving":
            return False
        return now >= expired_at + self._rank(member, now) * self.times.rank_delay

    def _find_lease_expiry(self, known: KnownMember) -> float:
        if known.member.state == "leaving":
            return known.renewal_seen_at
        return known.renewal_seen_at + self.times.lease

    def _rank(self, member: Member, now: float) -> int:
        order = [m.incarnation for m in self.rank_successors(member, now)]
        return order.index(self.me.incarnation) if self.me.incarnation in order else len(order)

    def rank_successors(self, member: Member, now: float) -> list[Member]:
        """Rank the live successors of `member`, its failure domain first, then by hash."""
        live = {m.incarnation: m for m in self.list_live(now)}
        live.pop(member.incarnation, None)
        ranked = [live[name] for name in rank_by_hash(member.incarnation, live)]
        return sorted(ranked, key=lambda m: m.failure_domain != member.failure_domain)

    def find_home(self, key: str, now: float) -> Member:
        """Return the live member of this entry's region that is the home of `key`."""
        members = {m.incarnation: m for m in self.list_live(now) if m.region == self.me.region}
        if not members:
            return self.me
        return members[rank_by_hash(key, members)[0]]

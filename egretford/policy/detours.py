"""Which entries to ask for a tunnel to a worker that this entry cannot reach itself."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

from attrs import Factory, define, frozen

# Seconds after which an entry that no longer announces itself is forgotten.
ENTRY_TTL_SECONDS = 10.0
# Limit on the entries that are remembered; far above the entries of a deployment.
MAX_ENTRIES = 4_096


@frozen
class PeerEntry:
    """An entry of the deployment; `address` (IP:PORT) is that of its tunnel server.

    `isolated` is set while it cannot reach some workers itself.
    """

    name: str
    address: str
    failure_domain: str
    isolated: bool = False


def rank_peers(
    peers: Iterable[PeerEntry],
    own: PeerEntry,
    regions: Mapping[str, str],
    rng: random.Random,
) -> list[PeerEntry]:
    """Order other entries by preference for tunnels.

    Isolated ones come last. Else the own failure domain comes first, then the own region, and
    within these the order is random, so that the load is spread. After the first one come those of
    other domains, as what isolates this entry may isolate its neighbours too.
    """
    region = regions.get(own.failure_domain)

    def sort_key(peer: PeerEntry) -> tuple[bool, int, float]:
        if peer.failure_domain == own.failure_domain:
            distance = 0
        else:
            distance = 1 if regions.get(peer.failure_domain) == region else 2
        return peer.isolated, distance, rng.random()

    ranked = sorted((peer for peer in peers if peer.name != own.name), key=sort_key)
    first_of_domains = {peer.failure_domain: peer for peer in reversed(ranked)}
    firsts = [peer for peer in ranked if first_of_domains[peer.failure_domain] is peer]
    others = [peer for peer in ranked if peer not in firsts]
    return sorted([*firsts, *others], key=lambda peer: peer.isolated)


@define
class EntryRegistry:
    """The entries that announced themselves lately, with the time in monotonic seconds."""

    _seen: dict[str, tuple[PeerEntry, float]] = Factory(dict)

    def add(self, entry: PeerEntry, seen_at: float) -> None:
        """Record an announcement, unless a newer one is known.

        Above the limit, the entry recorded longest ago is dropped.
        """
        known = self._seen.get(entry.name)
        if known is not None and known[1] > seen_at:
            return
        self._seen.pop(entry.name, None)
        self._seen[entry.name] = entry, seen_at
        if len(self._seen) > MAX_ENTRIES:
            del self._seen[next(iter(self._seen))]

    def list_recent(self, now: float) -> tuple[PeerEntry, ...]:
        """Return the entries that are not forgotten yet."""
        return tuple(entry for entry, _ in self.list_seen(now))

    def list_seen(self, now: float) -> list[tuple[PeerEntry, float]]:
        """Return the entries that are not forgotten yet, with the age of their announcement."""
        self._seen = {
            name: (entry, seen)
            for name, (entry, seen) in self._seen.items()
            if now - seen < ENTRY_TTL_SECONDS
        }
        return [(entry, now - seen) for entry, seen in self._seen.values()]

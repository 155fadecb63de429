"""The choice of the entries that are asked for a tunnel, and what keepers remember of entries."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from attrs import evolve

from egretford.policy import detours
from egretford.policy.detours import ENTRY_TTL_SECONDS, EntryRegistry, PeerEntry, rank_peers

REGIONS = {"a": "north", "b": "north", "c": "north", "x": "south"}
OWN = PeerEntry("a-own", "10.0.0.1:9", "a")


def make_peers(names: str) -> list[PeerEntry]:
    """Return entries by names such as `a-1`; those in capitals are isolated."""
    return [
        PeerEntry(name.lower(), f"{name}:9", name[0].lower(), name.isupper())
        for name in names.split()
    ]


def rank(names: str, seed: int = 1, own: PeerEntry = OWN) -> str:
    ranked = rank_peers([own, *make_peers(names)], own, REGIONS, random.Random(seed))
    return " ".join(peer.name for peer in ranked)


# Guards against tunnels to far entries, through isolated ones, or all through one failure domain
# that what isolates this entry may have reached too.
@pytest.mark.parametrize(
    ("names", "expected"),
    [
        ("", ""),
        ("x-1 b-1 a-1", "a-1 b-1 x-1"),
        ("x-1 c-1", "c-1 x-1"),
        ("A-1 b-1 x-1", "b-1 x-1 a-1"),
        ("A-1 B-1 X-1", "a-1 b-1 x-1"),
        ("A-1 B-1 x-1", "x-1 a-1 b-1"),
    ],
)
def test_near_entries_come_first_and_isolated_ones_last(names, expected):
    assert all(rank(names, seed) == expected for seed in range(20))


# Guards against three tries in a failure domain that is cut off as a whole.
def test_the_second_and_third_are_of_other_domains():
    for seed in range(20):
        ranked = rank("a-1 a-2 a-3 b-1 b-2 x-1 x-2", seed).split()
        assert [name[0] for name in ranked] == list("abxaabx")
        assert len(set(ranked)) == 7


# Guards against asking isolated entries, for being of another domain, before those in touch.
def test_all_entries_in_touch_come_before_isolated_ones():
    for seed in range(20):
        ranked = rank("a-1 a-2 B-1 X-1 X-2", seed).split()
        assert set(ranked[:2]) == {"a-1", "a-2"}
        assert [name[0] for name in ranked[2:]] == list("bxx")


def test_an_entry_is_no_peer_of_itself():
    assert rank_peers([OWN], OWN, REGIONS, random.Random(1)) == []


# Guards against one entry that carries the tunnels of all: which peer of a domain comes first is
# random, for each request and at each entry.
@pytest.mark.parametrize(
    ("names", "domain"), [("a", "a"), ("b", "b"), ("A", "a")], ids=["own", "other", "isolated"]
)
def test_the_first_choice_is_spread_over_a_domain(names, domain):
    rng = random.Random(1)
    peers = make_peers(" ".join(f"{names}-{number}" for number in range(10)))
    counts = Counter(rank_peers(peers, OWN, REGIONS, rng)[0].name for _ in range(5_000))
    assert len(counts) == 10 and max(counts.values()) < 1.25 * 500


def test_a_registry_forgets_entries_that_no_longer_announce_themselves():
    registry = EntryRegistry()
    first, second = make_peers("a-1 a-2")
    registry.add(first, 0.0)
    registry.add(second, 5.0)
    assert registry.list_recent(ENTRY_TTL_SECONDS - 0.1) == (first, second)
    assert registry.list_recent(ENTRY_TTL_SECONDS) == (second,)
    registry.add(first, ENTRY_TTL_SECONDS)
    assert set(registry.list_recent(ENTRY_TTL_SECONDS + 4.9)) == {first, second}


# Guards against an entry that is listed twice, or as it was before: isolated, at another address.
def test_a_later_announcement_replaces_an_earlier_one():
    registry = EntryRegistry()
    (entry,) = make_peers("a-1")
    registry.add(evolve(entry, isolated=True), 0.0)
    registry.add(evolve(entry, address="10.0.0.9:9"), 1.0)
    assert registry.list_recent(1.0) == (evolve(entry, address="10.0.0.9:9"),)


# Guards against memory that grows with each entry that ever ran, and against dropping an entry
# that announced itself again for one that did not.
def test_the_memory_of_entries_is_bounded(monkeypatch):
    monkeypatch.setattr(detours, "MAX_ENTRIES", 3)
    registry = EntryRegistry()
    first, second, third, fourth = make_peers("a-1 a-2 a-3 a-4")
    for entry in (first, second, third, first, fourth):
        registry.add(entry, 0.0)
    assert set(registry.list_recent(0.0)) == {first, third, fourth}

"""The choice of the keepers that relay objects to the entries of a failure domain."""

from __future__ import annotations

from egretford.policy.relays import rank_relays
from egretford.policy.views import Member, MemberState

REGIONS = {"a": "north", "b": "north", "c": "north", "x": "south"}


def make_members(**counts):
    return [
        Member(f"{domain}-{number}", f"d-{domain}-{number}", "", domain, MemberState.ACTIVE)
        for domain, count in counts.items()
        for number in range(count)
    ]


def test_few_keepers_of_a_region_watch_the_store_whatever_its_number_of_keepers():
    for count in (1, 4, 40):
        members = make_members(a=count, b=count, c=count, x=count)
        followed = {m.name for domain in "abc" for m in rank_relays(members, domain, REGIONS)[:2]}
        assert followed == {"a-0", "b-0", "c-0"}


def test_the_first_relay_is_near_and_no_relay_is_in_another_region():
    ranked = rank_relays(make_members(a=2, b=1, c=3, x=2), "c", REGIONS)
    assert [member.name for member in ranked] == ["c-0", "a-0", "b-0", "c-1", "c-2", "a-1"]


def test_a_region_with_few_keepers_has_no_relays():
    assert rank_relays(make_members(a=1, b=1, x=5), "a", REGIONS) == []

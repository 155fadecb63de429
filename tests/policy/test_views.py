"""Views: any two quorums that may be in use share a keeper that has the committed charges."""

from __future__ import annotations

from itertools import combinations

from hypothesis import given
from hypothesis import strategies as st

from egretford.policy.groups import count_group_quorum
from egretford.policy.views import (
    Member,
    MemberState,
    View,
    activate_member,
    add_member,
    drop_member,
    forget_dropped,
    mark_leaving,
    remove_member,
)


def make_member(name, disk=None):
    return Member(name, disk or f"disk-{name}", f"tcp://{name}", "z")


def make_view(names):
    view = View()
    for name in names:
        member = make_member(name)
        view = add_member(view, member)
        if view.find(member.disk).state is MemberState.JOINING:
            view = activate_member(view, member.disk, frozenset())
    return view


def list_quorums(view, tolerated):
    """Return all quorums of the active members, for a group that consists of all of them."""
    disks = [member.disk for member in view.active]
    size = count_group_quorum(len(disks), tolerated)
    return [set(chosen) for chosen in combinations(disks, size)]


def test_the_first_member_counts_and_the_next_ones_copy_first():
    view = add_member(View(), make_member("a"))
    assert [m.state for m in view.members] == [MemberState.ACTIVE]
    view = add_member(view, make_member("b"))
    assert [m.state for m in view.members] == [MemberState.ACTIVE, MemberState.JOINING]
    assert len(view.active) == 1


@given(st.integers(3, 7), st.sampled_from(["leave", "drop", "remove"]))
def test_quorums_before_and_after_a_member_goes_share_a_member(size, change):
    view = make_view([f"k{n}" for n in range(size)])
    changes = {"leave": mark_leaving, "drop": drop_member, "remove": remove_member}
    after = changes[change](view, "disk-k1")
    assert after.number == view.number + 1
    for old in list_quorums(view, 1):
        for new in list_quorums(after, 1):
            assert old & new


@given(st.integers(3, 6))
def test_a_replacement_copies_all_others_so_that_quorums_share_the_committed_charges(size):
    view = make_view([f"k{n}" for n in range(size)])
    joining = add_member(view, make_member("new"))
    assert list_quorums(joining, 1) == list_quorums(view, 1)
    after = activate_member(joining, "disk-new", frozenset({"disk-k0"}))
    assert after.find("disk-k0") is None and after.dropped == ("disk-k0",)
    copied = {m.disk for m in after.holders}
    for old in list_quorums(view, 1):
        # The new member has copied the records of every remaining member of the old quorum.
        holders = old | ({"disk-new"} if old & copied else set())
        assert all(holders & new for new in list_quorums(after, 1))


def test_an_instance_with_a_new_disk_takes_the_place_of_its_former_one():
    view = make_view(["a", "b", "c"])
    view = add_member(view, make_member("a", "disk-2"))
    assert len(view.active) == 3
    view = activate_member(view, "disk-2", frozenset())
    assert [m.disk for m in view.active] == ["disk-b", "disk-c", "disk-2"]
    assert view.dropped == ("disk-a",)


def test_a_lost_disk_that_never_counted_is_not_among_the_dropped():
    view = add_member(make_view(["a", "b", "c"]), make_member("d", "disk-1"))
    view = activate_member(add_member(view, make_member("d", "disk-2")), "disk-2", frozenset())
    assert [m.disk for m in view.active] == ["disk-a", "disk-b", "disk-c", "disk-2"]
    assert view.dropped == ()


def test_a_dropped_member_that_returns_is_no_longer_missing():
    view = drop_member(make_view(["a", "b", "c", "d"]), "disk-d")
    assert view.dropped == ("disk-d",)
    assert activate_member(add_member(view, make_member("d")), "disk-d", frozenset()).dropped == ()
    assert forget_dropped(view, "disk-d").dropped == ()


def test_a_quorum_is_larger_than_the_tolerated_losses():
    assert count_group_quorum(1, 1) == 2
    assert count_group_quorum(3, 1) == 2
    assert count_group_quorum(10, 2) == 6


def test_only_a_change_of_the_active_members_begins_a_generation():
    view = make_view(["a", "b", "c"])
    joining = add_member(view, make_member("d"))
    assert joining.generation == view.generation
    active = activate_member(joining, "disk-d", frozenset())
    leaving = mark_leaving(active, "disk-a")
    assert [active.generation, leaving.generation] == [view.generation + 1, view.generation + 2]
    assert remove_member(leaving, "disk-a").generation == leaving.generation
    assert drop_member(leaving, "disk-b").generation == leaving.generation + 1

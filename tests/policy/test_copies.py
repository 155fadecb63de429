"""Replication of turns: in their region, on more keepers than may be lost, also after a loss."""

from __future__ import annotations

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from egretford.policy.turn_replicas import (
    list_near_successors,
    list_turn_keepers,
    must_store_turn,
    rank_turn_keepers,
)
from egretford.policy.views import Member, MemberState, View

REGIONS = {"n1": "north", "n2": "north", "n3": "north", "s1": "south", "s2": "south"}
MEMBERS = [Member(f"k-{z}", f"d-{z}", "tcp://x", z, MemberState.ACTIVE) for z in REGIONS]


def test_turns_stay_in_their_region_and_a_program_keeps_its_keepers():
    for program in ("p1", "p2", "p3"):
        ranked = rank_turn_keepers(MEMBERS, program, "n1", REGIONS)
        assert {m.failure_domain for m in ranked[:3]} == {"n1", "n2", "n3"}
        assert ranked[:2] == rank_turn_keepers(MEMBERS, program, "n2", REGIONS)[:2]


def test_programs_are_spread():
    preferred = {rank_turn_keepers(MEMBERS, f"p{n}", "n1", REGIONS)[0].name for n in range(40)}
    assert len(preferred) == 3


@given(st.text(min_size=1, max_size=5), st.sets(st.integers(0, 4), max_size=3), st.integers(0, 2))
def test_enough_of_the_members_that_are_left_hold_a_turn(turn, gone, leaving):
    initial_holders = ("k-n1", "k-n2")
    members = []
    for number, member in enumerate(MEMBERS):
        if number in gone:
            continue
        state = MemberState.LEAVING if number == leaving else MemberState.ACTIVE
        members.append(Member(member.name, member.disk, "", member.failure_domain, state))
    view = View(9, tuple(members))
    remaining = [m.name for m in view.active]
    holders = [name for name in remaining if must_store_turn(view, name, turn, initial_holders, 1)]
    assert len(holders) >= min(2, len(remaining))


# Guards against lost turns: a keeper that was lost while it joined stays in the view, and was
# counted on to take over turns that it never stored.
def test_a_keeper_that_is_joining_is_no_successor():
    active = [m for m in MEMBERS if m.name != "k-n1"]
    joining = Member("k-new", "d-new", "", "n1")
    view = View(9, (*active, joining))
    for number in range(40):
        keepers = list_turn_keepers(view, f"t{number}", ("k-n1", "k-n2"), 1)
        assert len(keepers & {m.name for m in active}) == 2


# Guards against a keeper that becomes active without the turns that it then has to store.
def test_a_joining_keeper_stores_what_it_must_store_once_it_is_active():
    active = [m for m in MEMBERS if m.name != "k-n1"]
    joining = Member("k-new", "d-new", "", "n1")
    activated = evolve(joining, state=MemberState.ACTIVE)
    before, after = (View(9, (*active, member)) for member in (joining, activated))
    turns = [f"t{number}" for number in range(40)]
    chosen = [t for t in turns if must_store_turn(after, "k-new", t, ("k-n1", "k-n2"), 1)]
    assert chosen
    assert all(must_store_turn(before, "k-new", t, ("k-n1", "k-n2"), 1) for t in chosen)


# Guards against lost turns: a turn has one copy for as long as the keeper that lost the other takes
# to copy it over the link between regions, though a keeper near its holder could have it at once.
@given(st.text(min_size=1, max_size=5), st.integers(0, 2), st.sets(st.integers(0, 4), max_size=2))
def test_one_keeper_near_the_holder_takes_the_copies_of_one_that_is_behind(turn, holding, others):
    holder, lost = MEMBERS[holding], MEMBERS[3]
    behind = frozenset({lost.name, *(MEMBERS[n].name for n in others if n != holding)})
    initial_holders = (holder.name, lost.name)
    found = list_near_successors(
        View(9, tuple(MEMBERS)), holder, turn, initial_holders, behind, 1, REGIONS
    )
    candidates = {m.name for m in MEMBERS[:3]} - {holder.name} - behind
    assert len(found) == min(1, len(candidates)) and found <= candidates


def test_no_further_copies_are_taken_of_a_turn_whose_keepers_have_it():
    view, holders = View(9, tuple(MEMBERS)), ("k-n1", "k-s1")
    behind = frozenset({"k-n2", "k-s2"})
    assert list_near_successors(view, MEMBERS[0], "t", holders, behind, 1, REGIONS) == set()

"""Rounds of requests to keepers of which some refuse, are silent, or know a newer view."""

from __future__ import annotations

import asyncio

import pytest
from attrs import evolve

from egretford.entry.keepers import KeepersUnavailableError
from egretford.keeper.messages import Keep, Kept, NotReady, OutdatedView
from egretford.policy.views import View, activate_member, add_member, drop_member
from tests.entry.fakes import VIEW

KEEP = Keep(None, None)


def send_keep(member):
    return KEEP


async def test_a_quorum_is_enough_and_too_few_are_told_at_once(make_group):
    group, _ = make_group(a=(NotReady("copying"), 0.0), b=(Kept(), 0.0), c=(Kept(), 0.0))
    assert (await group.ask_group("p", send_keep, Kept)).has_enough
    group, _ = make_group(a=(NotReady(""), 0.0), b=(NotReady(""), 0.0), c=(Kept(), 0.6))
    loop = asyncio.get_running_loop()
    started = loop.time()
    with pytest.raises(KeepersUnavailableError):
        await group.ask_group("p", send_keep, Kept)
    assert loop.time() - started < 0.3


async def test_without_a_view_nothing_is_known_to_be_held_by_its_members(make_group):
    """As in an entry that has just started while the store is out of reach."""
    group, _ = make_group()
    assert group.is_view_whole()
    group.view = View()
    assert not group.is_view_whole() and not group.is_complete


# Guards against a 404 for a turn whose copies were at a keeper that was dropped while it was down
# and on a disk that was lost before others had copied it (LOST).
async def test_a_lost_disk_counts_beside_a_dropped_keeper(make_group):
    group, _ = make_group()
    first, second, _ = VIEW.members
    emptied = add_member(VIEW, evolve(first, disk="new"))
    group.learn_view(activate_member(emptied, "new", frozenset()))
    assert group.is_view_whole()
    group.learn_view(drop_member(group.view, second.disk))
    assert not group.is_view_whole()


async def test_a_newer_view_is_learnt_and_all_are_asked_again_under_it(make_group):
    newer = evolve(VIEW, number=4)

    def answer(message):
        return Kept() if message.view == 4 else OutdatedView(newer)

    group, peers = make_group(a=(answer, 0.0), b=(answer, 0.0), c=(answer, 0.0))
    assert (await group.ask_group("p", send_keep, Kept)).has_enough
    assert group.view.number == 4 and len(peers.asked) >= 4


# Guards against turns kept away from a keeper that only lacks charges so far (late programs).
async def test_one_that_is_not_ready_for_charges_still_takes_turns_first(make_group):
    group, _ = make_group(a=(NotReady("copying"), 0.0), b=(Kept(), 0.0), c=(Kept(), 0.0))
    before = [group.rank_copies(f"p{n}") for n in range(8)]
    assert (await group.ask_group("p", send_keep, Kept)).has_enough
    assert [group.rank_copies(f"p{n}") for n in range(8)] == before

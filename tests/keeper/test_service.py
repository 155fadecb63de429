"""What a keeper answers while it counts and still copies."""

from __future__ import annotations

import pytest
from attrs import evolve

from egretford.keeper.messages import Keep, Kept, NotReady, Reserve, Reserved, Turn
from egretford.policy.ledger import Charge
from egretford.policy.views import Member, MemberState, View
from tests.keeper.test_copying import make_service

TURN = Turn("t1", None, "p", b"in", b"out", 60.0, ())
CHARGE = Charge("p", "t1", 10)


async def answer(folder, state, message):
    """Answer a request at a keeper that is a member in `state`, or none, and not ready."""
    service, records = make_service(folder, "d-a")
    members = [Member(n, f"d-{n}", "", "z", MemberState.ACTIVE) for n in "bc"]
    if state is not None:
        members.append(Member("a", "d-a", "", "z", state))
    await service.adopt(View(5, tuple(members), generation=2))
    return await service.answer(evolve(message, view=5)), records


# Guards against answers closed in their middle after a keeper was replaced: until the new one
# has copied all, only as many as must hold a turn could take it (LOST).
async def test_a_keeper_that_counts_takes_turns_while_it_copies(tmp_path):
    reply, records = await answer(tmp_path, MemberState.ACTIVE, Keep(None, TURN))
    assert reply == Kept() and records.holds("t1")


# Guards against turns that end well with a copy where it does not count (LOST).
@pytest.mark.parametrize("state", [None, MemberState.JOINING, MemberState.LEAVING])
async def test_a_keeper_that_does_not_count_takes_no_turns(tmp_path, state):
    reply, records = await answer(tmp_path, state, Keep(None, TURN))
    assert isinstance(reply, NotReady) and not records.holds("t1")


# Guards against charges and histories from a keeper that may lack some (BUDGET, LOST).
@pytest.mark.parametrize(
    "message",
    [Keep(CHARGE, None), Reserve(CHARGE, None, with_chain=False), Reserve(None, "t0", True)],
)
async def test_a_keeper_that_copies_answers_for_nothing_else(tmp_path, message):
    reply, _ = await answer(tmp_path, MemberState.ACTIVE, message)
    assert isinstance(reply, NotReady)


# Guards against a turn taken by a keeper after it noted what others must copy before it leaves
# (LOST).
async def test_a_ready_keeper_that_leaves_takes_no_turns(tmp_path):
    service, records = make_service(tmp_path, "d-a")
    members = [Member(n, f"d-{n}", "", "z", MemberState.ACTIVE) for n in "bc"]
    members.append(Member("a", "d-a", "", "z", MemberState.LEAVING))
    await service.adopt(View(5, tuple(members), generation=2))
    service.ready = True
    reply = await service.answer(Keep(None, TURN, view=5))
    assert isinstance(reply, NotReady) and not records.holds("t1")


# Guards against turns that nobody can read although a keeper has them: the other one that took
# the turn is gone, and this one still copies (LOST after a fault).
async def test_a_keeper_that_copies_can_be_read_for_the_turns_that_it_took(tmp_path):
    service, _ = make_service(tmp_path, "d-a")
    members = [Member(n, f"d-{n}", "", "z", MemberState.ACTIVE) for n in "abc"]
    await service.adopt(View(5, tuple(members), generation=2))
    assert await service.answer(Keep(None, TURN, view=5)) == Kept()
    reply = await service.answer(Reserve(None, "t1", with_chain=True, view=5))
    assert isinstance(reply, Reserved) and reply.chain == (TURN,)

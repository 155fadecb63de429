"""Replies of a keeper by member state, while it is still copying records."""

from __future__ import annotations

import pytest
from attrs import evolve

from egretford.keeper.messages import (
    MAX_LISTED_ATTEMPTS,
    FindAttempts,
    FoundAttempts,
    Keep,
    Kept,
    ListRecords,
    NotReady,
    Reserve,
    Reserved,
    Turn,
)
from egretford.policy.groups import Completion
from egretford.policy.ledger import Charge, StreamOrigin
from egretford.policy.views import Member, MemberState, View
from tests.entry.test_copies import ListLog
from tests.entry.test_workers import FakeClock
from tests.keeper.test_copying import make_service

TURN = Turn("t1", None, "p", b"in", b"out", 60.0, ())
CHARGE = Charge("p", "t1", 10)


async def answer(folder, state, message):
    """Send a request to a keeper that is not ready; `state` is None if it is no member."""
    service, records = make_service(folder, "d-a")
    members = [Member(n, f"d-{n}", "", "z", MemberState.ACTIVE) for n in "bc"]
    if state is not None:
        members.append(Member("a", "d-a", "", "z", state))
    await service.adopt(View(5, tuple(members), generation=2))
    return await service.answer(evolve(message, view=5)), records


# Guards against lost answers, cut off midway after a keeper was replaced: until the new keeper had
# copied everything, only the bare minimum of keepers for a turn could store it.
async def test_an_active_keeper_stores_turns_while_it_copies(tmp_path):
    reply, records = await answer(tmp_path, MemberState.ACTIVE, Keep(None, TURN))
    assert reply == Kept() and records.has_turn("t1")


# Guards against lost turns: a turn succeeds although one of its copies is on an inactive member.
@pytest.mark.parametrize("state", [None, MemberState.JOINING, MemberState.LEAVING])
async def test_an_inactive_keeper_stores_no_turns(tmp_path, state):
    reply, records = await answer(tmp_path, state, Keep(None, TURN))
    assert isinstance(reply, NotReady) and not records.has_turn("t1")


# Guards against overspent budgets and lost turns: a keeper that may lack charges or turns replies
# with those that it has.
@pytest.mark.parametrize(
    "message",
    [Keep(CHARGE, None), Reserve(CHARGE, None, with_chain=False), Reserve(None, "t0", True)],
)
async def test_a_copying_keeper_refuses_all_other_requests(tmp_path, message):
    reply, _ = await answer(tmp_path, MemberState.ACTIVE, message)
    assert isinstance(reply, NotReady)


# Guards against lost turns: a leaving keeper stores a turn after it recorded the position that
# others must copy up to before it leaves the view.
async def test_a_ready_keeper_that_leaves_stores_no_turns(tmp_path):
    service, records = make_service(tmp_path, "d-a")
    members = [Member(n, f"d-{n}", "", "z", MemberState.ACTIVE) for n in "bc"]
    members.append(Member("a", "d-a", "", "z", MemberState.LEAVING))
    await service.adopt(View(5, tuple(members), generation=2))
    service.ready = True
    reply = await service.answer(Keep(None, TURN, view=5))
    assert isinstance(reply, NotReady) and not records.has_turn("t1")


# Guards against turns that cannot be read after a fault: the other keeper that stored the turn is
# gone, and this one, which also stored it, is still copying.
async def test_a_copying_keeper_serves_the_turns_that_it_stored(tmp_path):
    service, _ = make_service(tmp_path, "d-a")
    members = [Member(n, f"d-{n}", "", "z", MemberState.ACTIVE) for n in "abc"]
    await service.adopt(View(5, tuple(members), generation=2))
    assert await service.answer(Keep(None, TURN, view=5)) == Kept()
    reply = await service.answer(Reserve(None, "t1", with_chain=True, view=5))
    assert isinstance(reply, Reserved) and reply.chain == (TURN,)


# Guards against refused turns that cannot be traced: the log does not say what a keeper lacks, or
# has a line for each of the many requests that it refuses.
async def test_a_refusal_is_logged_with_what_is_missing_at_a_limited_rate(tmp_path):
    service, _ = make_service(tmp_path, "d-a")
    service._log = ListLog()
    members = [Member(n, f"d-{n}", "", "z", MemberState.ACTIVE) for n in "abc"]
    await service.adopt(View(5, tuple(members), generation=2))
    assert await service.answer(Keep(None, evolve(TURN, previous="t0"), view=5)) == Kept()
    service.update_completion({"d-b", "d-c"})
    for _ in range(3):
        await service.answer(Reserve(None, "t1", with_chain=True, view=5))
    (fields,) = [fields for event, fields in service._log.lines if event == "refused a request"]
    assert (fields["kind"], fields["previous"]) == ("Reserve", "t1")
    assert (fields["chain"], fields["missing"]) == (1, "t0")
    assert (fields["generation"], fields["completed"]) == (2, 0)
    assert fields["uncopied"] == ["d-b", "d-c"]


# Guards against a 404 for a kept turn: a keeper counts before it has copied all turns, and says
# that it lacks one which it may still have to copy.
async def test_a_keeper_that_counts_does_not_say_that_it_lacks_a_turn_while_it_copies(tmp_path):
    service, _ = make_service(tmp_path, "d-a")
    members = [Member(n, f"d-{n}", "", "z", MemberState.ACTIVE) for n in "abc"]
    await service.adopt(View(5, tuple(members), generation=2))
    service.ready = True
    question = Reserve(None, "t1", with_chain=True, view=5)
    assert isinstance(await service.answer(question), NotReady)
    # The end of the chain is of use alone, as another keeper may have the rest.
    assert await service.answer(Keep(None, evolve(TURN, previous="t0"), view=5)) == Kept()
    reply = await service.answer(question)
    assert isinstance(reply, Reserved) and (len(reply.chain), reply.missing) == (1, "t0")
    service.has_all_turns = True
    lacking = await service.answer(evolve(question, previous="t2"))
    assert isinstance(lacking, Reserved) and lacking.missing == "t2"


# Guards against lost turns: a keeper leaves once others have listed its records, while they have
# yet to fetch the turns.
async def test_records_do_not_count_as_copied_while_turns_are_missing(tmp_path):
    service, records = make_service(tmp_path, "d-a")
    members = [Member(n, f"d-{n}", "", "z", MemberState.ACTIVE) for n in "abc"]
    await service.adopt(View(5, tuple(members), generation=2))
    await records.write([evolve(TURN, copies=("a", "b"))])
    question = ListRecords("d-b", "b", records.lifetime, 1, 1, (), missing_turns=1, view=5)
    await service.answer(question)
    assert not service.is_copied_by("d-b", 5, records.position)
    await service.answer(evolve(question, missing_turns=0))
    assert service.is_copied_by("d-b", 5, records.position)


def make_view(number, names):
    members = [Member(n, f"d-{n}", "", "z", MemberState.ACTIVE) for n in names]
    return View(number, tuple(members), generation=number)


async def finds_attempts(service):
    """Whether a keeper says which attempts at a stream there were in the last 6.5 s."""
    service.ready = True
    service.update_completion(set())
    reply = await service.answer(FindAttempts("stream/s", 6.5, view=service.view.number))
    assert isinstance(reply, FoundAttempts)
    return reply.was_there


# Guards against joined streams: one began without a record while too many keepers were down, and
# these say afterwards that only another one was there.
async def test_a_keeper_that_was_down_does_not_say_which_streams_there_were(tmp_path):
    service, _ = make_service(tmp_path, "d-a")
    await service.adopt(make_view(5, "abc"))
    assert await finds_attempts(service)
    service, _ = make_service(tmp_path, "d-a")
    service._clock = FakeClock()
    service.load_view(Completion())
    for seconds, was_there in ((0.0, False), (6.0, False), (1.0, True)):
        service._clock.time += seconds
        assert await finds_attempts(service) is was_there


# Guards against the same where other keepers have taken the place of those that were down.
@pytest.mark.parametrize(
    ("names", "later", "was_there"),
    [("ab", "abc", True), ("abc", "ab", False), ("abc", "abd", False), ("abc", "abcd", False)],
)
async def test_a_keeper_whose_group_has_changed_does_not_say_which_streams_there_were(
    tmp_path, names, later, was_there
):
    service, _ = make_service(tmp_path, "d-a")
    service._clock = FakeClock()
    await service.adopt(make_view(5, names))
    await service.adopt(make_view(6, later))
    assert await finds_attempts(service) is was_there
    service._clock.time += 7.0
    assert await finds_attempts(service)


# Guards against joined streams in an upgrade: an entry of the last build, which goes by what it
# knows of workers where it gets no records, is not told of any, or that these are all.
@pytest.mark.parametrize("attempts", [1, MAX_LISTED_ATTEMPTS + 1])
async def test_a_keeper_that_was_down_lists_the_attempts_that_it_knows(tmp_path, attempts):
    service, records = make_service(tmp_path, "d-a")
    await service.adopt(make_view(5, "abc"))
    origin = StreamOrigin(0, "m", "v1")
    charges = [Charge("stream/s", f"p{n}", 0, origin=origin) for n in range(attempts)]
    await records.write(charges)
    service, _ = make_service(tmp_path, "d-a")
    service.load_view(Completion())
    assert not await finds_attempts(service)
    reply = await service.answer(FindAttempts("stream/s", 60.0, view=5))
    listed = reply.attempts.unpack()
    assert reply.more and len(listed) == min(attempts, MAX_LISTED_ATTEMPTS - 1)
    assert all(charge.origin == origin for charge in listed)


class CountingMembers(tuple):
    """The members of a view; counts how often all of them are looked at."""

    def __new__(cls, members):
        made = super().__new__(cls, members)
        made.passes = 0
        return made

    def __iter__(self):
        self.passes += 1
        return super().__iter__()


# Guards against processor time that grows with the number of records times that of keepers: after
# each change of members, all turns are listed to all other keepers.
async def test_the_members_are_not_looked_at_for_each_record_that_is_listed(tmp_path):
    names = [f"k{number:02}" for number in range(24)]
    members = CountingMembers(Member(n, n, n, "z", MemberState.ACTIVE) for n in names)
    service, records = make_service(tmp_path, "k00")
    await service.adopt(View(5, members, generation=2))
    turns = [
        Turn(f"t{number}", None, "p", b"in", b"out", 60.0, ("k00", names[1 + number % 23]))
        for number in range(400)
    ]
    await records.write(turns)
    members.passes = 0
    listed = 0
    for name in names[1:]:
        message = ListRecords(name, name, records.lifetime, 0, 0, (), view=5)
        listed += len((await service.answer(message)).turns)
    assert listed == len(turns)
    assert members.passes <= 10 * len(names)

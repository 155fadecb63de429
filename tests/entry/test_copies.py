"""Copies of a turn, written before its answer ends."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from attrs import evolve

from egretford.clock import SystemClock
from egretford.entry.copies import TurnCopies
from egretford.entry.turns import Turns
from egretford.keeper.messages import Kept, NotReady, Turn
from egretford.policy.views import Member, MemberState
from tests.entry.fakes import MEMBERS, VIEW
from tests.platform.standins import NullLog

TURN = Turn("t2", "t1", "p", b"in", b"out", 60.0, ())
NOT_READY = NotReady("copying records from other keepers")


class ListLog:
    """Keeps what is logged."""

    def __init__(self):
        self.lines = []

    def __getattr__(self, _):
        return lambda event, **fields: self.lines.append((event, fields))

    def count_reasons(self):
        """Count the lines by keeper and reason."""
        told = [f for event, f in self.lines if event == "a keeper did not keep a turn"]
        return Counter((fields["keeper"], fields["reason"]) for fields in told)


def answer_after(seconds, before, after):
    """Answer with `before` until `seconds` have passed since the first request."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    return lambda message: after if loop.time() - started >= seconds else before


def make_copies(group, program="p"):
    return TurnCopies(evolve(TURN, program=program), group, SystemClock(), NullLog())


async def keep(group):
    """Keep a turn, and return how long that took in seconds."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    await Turns(group, SystemClock(), NullLog()).keep(TURN)
    return loop.time() - started


async def write_for(group, log, seconds):
    """Write a turn for some seconds, whether or not enough take it."""
    copies = TurnCopies(TURN, group, SystemClock(), log)
    writing = asyncio.ensure_future(copies.write())
    await asyncio.wait({writing}, timeout=seconds)
    writing.cancel()


# Guards against answers closed in their middle while a new keeper still copies (LOST).
async def test_a_turn_waits_for_a_keeper_that_begins_to_count(make_group):
    for silent in "abc":
        others = [name for name in "abc" if name != silent]
        answers = {
            silent: (Kept(), 9.0),
            others[0]: (Kept(), 0.0),
            others[1]: (answer_after(0.4, NOT_READY, Kept()), 0.0),
        }
        group, _ = make_group(**answers)
        assert 0.4 <= await keep(group) < 1.0


# Guards against answers closed in their middle while a keeper's disk is slow (LOST).
async def test_a_turn_waits_for_a_keeper_that_takes_it_late(make_group):
    group, peers = make_group(a=(Kept(), 0.0), b=(Kept(), 0.6), c=(NOT_READY, 0.0))
    assert 0.6 <= await keep(group) < 0.8
    assert peers.asked.count("b") == 1


# Guards against answers closed in their middle after a disk was lost: its machine answers at
# once that it is still copying, which must not hide the keeper that answers later (LOST).
async def test_one_that_is_not_ready_does_not_hide_one_that_answers_later(make_group):
    for first in "abc":
        second, third = (name for name in "abc" if name != first)
        answers = {first: (NOT_READY, 0.0), second: (Kept(), 0.05), third: (Kept(), 0.0)}
        group, _ = make_group(**answers)
        copies = make_copies(group)
        await copies.write()
        assert copies.holders == sorted([second, third])


# Guards against answers held up by a keeper that is silent (late programs).
async def test_a_silent_one_is_not_waited_for_beyond_the_time(make_group):
    for silent in "abc":
        answers = {name: (Kept(), 5.0 if name == silent else 0.0) for name in "abc"}
        group, _ = make_group(**answers)
        assert await keep(group) < 0.45


# Guards against every turn waiting for the same keeper that cannot take it (late programs).
async def test_one_that_is_not_ready_is_chosen_last_for_turns(make_group):
    group, peers = make_group(a=(NOT_READY, 0.0), b=(Kept(), 0.0), c=(Kept(), 0.0))
    while "a" not in peers.asked:
        await make_copies(group, f"q{len(peers.asked)}").write()
    assert all(group.rank_copies(f"p{n}")[-1] is MEMBERS[0] for n in range(8))


# Guards against a turn with too few copies after its keeper was dropped from the view (LOST).
async def test_a_copy_at_a_keeper_that_was_dropped_does_not_count(make_group):
    group, peers = make_group(a=(Kept(), 0.0), b=(NOT_READY, 0.0), c=(NOT_READY, 0.0))
    copies = make_copies(group)
    writing = asyncio.ensure_future(copies.write())
    while copies.holders != ["a"]:
        await asyncio.sleep(0.02)
    group.learn_view(evolve(VIEW, number=4, members=MEMBERS[1:], dropped=("d-a",)))
    peers.answers["b"] = peers.answers["c"] = (Kept(), 0.0)
    await asyncio.wait_for(writing, 1.0)
    assert copies.holders == ["b", "c"]


# Guards against answers that end well while too few keepers have their turn (LOST).
async def test_a_turn_that_too_few_keepers_take_is_never_called_kept(make_group):
    group, _ = make_group(a=(Kept(), 0.0), b=(NOT_READY, 0.0), c=(NOT_READY, 0.0))
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(1.5):
            await keep(group)


# Guards against turns that are cut without a word on what each keeper answered (diagnosis).
async def test_what_each_keeper_answered_is_told(make_group):
    group, _ = make_group(a=(NOT_READY, 0.0), b=(Kept(), 0.0), c=(Kept(), 0.6))
    log = ListLog()
    await write_for(group, log, 1.0)
    assert log.count_reasons()["a", "NotReady"] == 1
    assert log.count_reasons()["c", "no answer yet"] == 1


# Guards against a log that grows for as long as a keeper is silent, as many lines a turn (memory).
async def test_each_reason_of_a_keeper_is_told_once_a_turn(make_group):
    group, _ = make_group(a=(Kept(), 0.0), b=(Kept(), 9.0), c=(Kept(), 9.0))
    log = ListLog()
    await write_for(group, log, 2.6)
    assert max(log.count_reasons().values()) == 1


# Guards against an answer that is cut with no word that its turn could not be kept (diagnosis).
async def test_a_turn_that_was_given_up_is_told_with_its_copies(make_group):
    group, _ = make_group(a=(Kept(), 0.0), b=(NOT_READY, 0.0), c=(NOT_READY, 0.0))
    log = ListLog()
    await write_for(group, log, 0.5)
    await asyncio.sleep(0)
    event, fields = log.lines[-1]
    assert event != "a keeper did not keep a turn" and fields["kept_by"] == ["a"]


# Guards against turns that end well with a copy on a disk that is known to be lost (LOST).
async def test_a_copy_on_a_disk_that_another_replaces_does_not_count(make_group):
    group, peers = make_group(a=(NOT_READY, 0.0), b=(Kept(), 0.0), c=(NOT_READY, 0.0))
    copies = make_copies(group)
    writing = asyncio.ensure_future(copies.write())
    while copies.holders != ["b"]:
        await asyncio.sleep(0.02)
    emptied = Member("b", "d-b2", "b", "z", MemberState.JOINING)
    group.learn_view(evolve(VIEW, number=4, members=(*MEMBERS, emptied)))
    peers.answers["b"], peers.answers["a"] = (NOT_READY, 0.0), (Kept(), 0.0)
    done, _ = await asyncio.wait({writing}, timeout=0.6)
    writing.cancel()
    assert not done, f"called kept by {copies.holders} although b's disk is gone"

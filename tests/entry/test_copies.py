"""Replication of a turn to keepers before the end of its answer is sent."""

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
    """Log that collects its lines."""

    def __init__(self):
        self.lines = []

    def __getattr__(self, _):
        return lambda event, **fields: self.lines.append((event, fields))

    def count_reasons(self):
        """Count the lines about keepers that did not store a turn, by keeper and reason."""
        logged = [f for event, f in self.lines if event == "a keeper did not store a turn"]
        return Counter((fields["keeper"], fields["reason"]) for fields in logged)


def answer_after(seconds, before, after):
    """Answer with `before` until `seconds` have passed since this call, then with `after`."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    return lambda message: after if loop.time() - started >= seconds else before


def make_copies(client, program="p"):
    return TurnCopies(evolve(TURN, program=program), client, SystemClock(), NullLog())


async def keep(client):
    """Store a turn and return the duration in seconds."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    await Turns(client, SystemClock(), NullLog()).keep(TURN)
    return loop.time() - started


async def write_for(client, log, seconds):
    """Write a turn, and cancel the write after `seconds` if it is still running."""
    copies = TurnCopies(TURN, client, SystemClock(), log)
    writing = asyncio.ensure_future(copies.write())
    await asyncio.wait({writing}, timeout=seconds)
    writing.cancel()


# Guards against lost answers, cut off while a new keeper still copies records and refuses turns.
async def test_a_turn_waits_for_a_keeper_that_becomes_ready(make_client):
    for silent in "abc":
        others = [name for name in "abc" if name != silent]
        answers = {
            silent: (Kept(), 9.0),
            others[0]: (Kept(), 0.0),
            others[1]: (answer_after(0.4, NOT_READY, Kept()), 0.0),
        }
        client, _ = make_client(**answers)
        assert 0.4 <= await keep(client) < 1.0


# Guards against lost answers, cut off because a keeper's disk is slow.
async def test_a_turn_waits_for_a_keeper_that_stores_it_late(make_client):
    client, peers = make_client(a=(Kept(), 0.0), b=(Kept(), 0.6), c=(NOT_READY, 0.0))
    assert 0.6 <= await keep(client) < 0.8
    assert peers.asked.count("b") == 1


# Guards against lost answers, cut off after a disk was replaced: its keeper replies at once that
# it is still copying, and a slower keeper's success must still be waited for.
async def test_a_slow_success_is_waited_for_after_a_fast_refusal(make_client):
    for first in "abc":
        second, third = (name for name in "abc" if name != first)
        answers = {first: (NOT_READY, 0.0), second: (Kept(), 0.05), third: (Kept(), 0.0)}
        client, _ = make_client(**answers)
        copies = make_copies(client)
        await copies.write()
        assert copies.holders == sorted([second, third])


# Guards against answers, and so programs, that are late because of a keeper that does not reply.
async def test_a_silent_keeper_is_hedged_after_the_delay(make_client):
    for silent in "abc":
        answers = {name: (Kept(), 5.0 if name == silent else 0.0) for name in "abc"}
        client, _ = make_client(**answers)
        assert await keep(client) < 0.45


# Guards against late programs: every turn tries the same keeper that is not ready first.
async def test_a_keeper_that_is_not_ready_is_chosen_last_for_turns(make_client):
    client, peers = make_client(a=(NOT_READY, 0.0), b=(Kept(), 0.0), c=(Kept(), 0.0))
    while "a" not in peers.asked:
        await make_copies(client, f"q{len(peers.asked)}").write()
    assert all(client.rank_copies(f"p{n}")[-1] is MEMBERS[0] for n in range(8))


# Guards against lost turns: a copy at a keeper that was dropped from the view is counted.
async def test_a_copy_at_a_keeper_that_was_dropped_does_not_count(make_client):
    client, peers = make_client(a=(Kept(), 0.0), b=(NOT_READY, 0.0), c=(NOT_READY, 0.0))
    copies = make_copies(client)
    writing = asyncio.ensure_future(copies.write())
    while copies.holders != ["a"]:
        await asyncio.sleep(0.02)
    client.update_view(evolve(VIEW, number=4, members=MEMBERS[1:], dropped=("d-a",)))
    peers.answers["b"] = peers.answers["c"] = (Kept(), 0.0)
    await asyncio.wait_for(writing, 1.0)
    assert copies.holders == ["b", "c"]


# Guards against lost turns: an answer completes while too few keepers hold its turn.
async def test_a_turn_with_too_few_copies_is_never_reported_as_stored(make_client):
    client, _ = make_client(a=(Kept(), 0.0), b=(NOT_READY, 0.0), c=(NOT_READY, 0.0))
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(1.5):
            await keep(client)


# Guards against a log that does not say what each keeper replied for a turn that was cut off.
async def test_the_reply_of_each_keeper_is_logged(make_client):
    client, _ = make_client(a=(NOT_READY, 0.0), b=(Kept(), 0.0), c=(Kept(), 0.6))
    log = ListLog()
    await write_for(client, log, 1.0)
    assert log.count_reasons()["a", "NotReady"] == 1
    assert log.count_reasons()["c", "no answer yet"] == 1


# Guards against a log that fills memory, as it grows while a keeper does not reply.
async def test_each_reason_of_a_keeper_is_logged_once_per_turn(make_client):
    client, _ = make_client(a=(Kept(), 0.0), b=(Kept(), 9.0), c=(Kept(), 9.0))
    log = ListLog()
    await write_for(client, log, 2.6)
    assert max(log.count_reasons().values()) == 1


# Guards against a log that does not say that an answer was cut off because its turn was not stored.
async def test_a_cancelled_write_is_logged_with_its_copies(make_client):
    client, _ = make_client(a=(Kept(), 0.0), b=(NOT_READY, 0.0), c=(NOT_READY, 0.0))
    log = ListLog()
    await write_for(client, log, 0.5)
    await asyncio.sleep(0)
    event, fields = log.lines[-1]
    assert event != "a keeper did not store a turn" and fields["kept_by"] == ["a"]


# Guards against lost turns: a copy on a disk that is known to be lost is counted.
async def test_a_copy_on_a_disk_that_another_replaces_does_not_count(make_client):
    client, peers = make_client(a=(NOT_READY, 0.0), b=(Kept(), 0.0), c=(NOT_READY, 0.0))
    copies = make_copies(client)
    writing = asyncio.ensure_future(copies.write())
    while copies.holders != ["b"]:
        await asyncio.sleep(0.02)
    emptied = Member("b", "d-b2", "b", "z", MemberState.JOINING)
    client.update_view(evolve(VIEW, number=4, members=(*MEMBERS, emptied)))
    peers.answers["b"], peers.answers["a"] = (NOT_READY, 0.0), (Kept(), 0.0)
    done, _ = await asyncio.wait({writing}, timeout=0.6)
    writing.cancel()
    assert not done, f"reported as stored by {copies.holders} although b's disk is gone"


# Guards against a lost turn of which no log tells who should have had it.
async def test_the_keepers_of_a_turn_are_told(make_client):
    client, _ = make_client(a=(NOT_READY, 0.0), b=(Kept(), 0.0), c=(Kept(), 0.0))
    turns = Turns(client, SystemClock(), NullLog())
    assert await turns.keep(TURN) == ["b", "c"]

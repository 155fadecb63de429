"""Copies of a turn, written before its answer ends."""

from __future__ import annotations

import asyncio

import pytest

from egretford.clock import SystemClock
from egretford.entry.turns import Turns
from egretford.keeper.messages import Kept, NotReady, Turn
from tests.platform.standins import NullLog

TURN = Turn("t2", "t1", "p", b"in", b"out", 60.0, ())
NOT_READY = NotReady("copying records from other keepers")


def answer_after(seconds, before, after):
    """Answer with `before` until `seconds` have passed since the first request."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    return lambda message: after if loop.time() - started >= seconds else before


async def keep(group):
    """Keep a turn, and return how long that took in seconds."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    await Turns(group, SystemClock(), NullLog()).keep(TURN)
    return loop.time() - started


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


# Guards against answers that end well while too few keepers have their turn (LOST).
async def test_a_turn_that_too_few_keepers_take_is_never_called_kept(make_group):
    group, _ = make_group(a=(Kept(), 0.0), b=(NOT_READY, 0.0), c=(NOT_READY, 0.0))
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(1.5):
            await keep(group)

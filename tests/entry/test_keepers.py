"""Quorum requests to keepers of which some refuse, do not reply, or have a newer view."""

from __future__ import annotations

import asyncio
import math

import pytest
from attrs import evolve

from egretford.entry.keepers import (
    EVIDENCE_SECONDS,
    MIN_VIEW_READ_SECONDS,
    KeeperClient,
    KeepersUnavailableError,
)
from egretford.errors import PeerDownError, PeerUnreachableError, StoreUnavailableError
from egretford.keeper.messages import Keep, Kept, NotReady, OutdatedView
from egretford.policy.views import View, activate_member, add_member, drop_member
from tests.entry.fakes import VIEW, FakePeers
from tests.entry.test_copies import ListLog
from tests.entry.test_workers import FakeClock
from tests.platform.standins import NullLog

KEEP = Keep(None, None)


async def test_a_quorum_is_enough_and_an_impossible_one_fails_at_once(make_client):
    client, _ = make_client(a=(NotReady("copying"), 0.0), b=(Kept(), 0.0), c=(Kept(), 0.0))
    assert (await client.request_quorum("p", KEEP, Kept)).has_enough
    client, _ = make_client(a=(NotReady(""), 0.0), b=(NotReady(""), 0.0), c=(Kept(), 0.6))
    loop = asyncio.get_running_loop()
    started = loop.time()
    with pytest.raises(KeepersUnavailableError):
        await client.request_quorum("p", KEEP, Kept)
    assert loop.time() - started < 0.3


async def test_without_a_view_no_record_is_sure_to_be_held(make_client):
    """This is the state of an entry that was started while the store is unreachable."""
    client, _ = make_client()
    assert client.has_all_records()
    client.view = View()
    assert not client.has_all_records() and not client.has_enough_members


# Guards against lost turns: a 404 for a turn with one copy at a keeper that was dropped while it
# was down, and the other on a disk that was lost before further keepers had copied it.
async def test_a_lost_disk_counts_beside_a_dropped_keeper(make_client):
    client, _ = make_client()
    first, second, _ = VIEW.members
    emptied = add_member(VIEW, evolve(first, disk="new"))
    client.update_view(activate_member(emptied, "new", frozenset()))
    assert client.has_all_records()
    client.update_view(drop_member(client.view, second.disk))
    assert not client.has_all_records()


async def test_a_newer_view_is_adopted_and_the_request_is_repeated_under_it(make_client):
    newer = evolve(VIEW, number=4)

    def answer(message):
        return Kept() if message.view == 4 else OutdatedView(newer)

    client, peers = make_client(a=(answer, 0.0), b=(answer, 0.0), c=(answer, 0.0))
    assert (await client.request_quorum("p", KEEP, Kept)).has_enough
    assert client.view.number == 4 and len(peers.asked) >= 4


# Guards against late programs: turns avoid a keeper that is only not ready for charges.
async def test_a_keeper_that_is_not_ready_for_charges_is_still_preferred_for_turns(make_client):
    client, _ = make_client(a=(NotReady("copying"), 0.0), b=(Kept(), 0.0), c=(Kept(), 0.0))
    before = [client.rank_copies(f"p{n}") for n in range(8)]
    assert (await client.request_quorum("p", KEEP, Kept)).has_enough
    assert [client.rank_copies(f"p{n}") for n in range(8)] == before


# Guards against refused turns that cannot be traced: the log does not say which keepers refused.
async def test_a_missed_quorum_is_logged_with_the_outcome_at_each_keeper(make_client):
    client, _ = make_client(
        a=(NotReady("copying"), 0.0), b=(NotReady("copying"), 0.0), c=(Kept(), 0.3)
    )
    client._log = ListLog()
    with pytest.raises(KeepersUnavailableError):
        await client.request_quorum("p", KEEP, Kept)
    (fields,) = [fields for event, fields in client._log.lines if event == "no quorum answered"]
    outcomes = ["a: NotReady: copying", "b: NotReady: copying", "c: no answer yet"]
    assert fields["outcomes"] == outcomes
    assert (fields["program"], fields["needed"], fields["view"]) == ("p", 2, 3)


async def test_keepers_that_are_not_asked_are_logged_as_unavailable(make_client):
    client, peers = make_client(a=(Kept(), 0.0))
    client._log = ListLog()
    client._unavailable_until = {"d-b": math.inf, "d-c": math.inf}
    with pytest.raises(KeepersUnavailableError):
        await client.request_quorum("p", KEEP, Kept)
    (fields,) = [fields for event, fields in client._log.lines if event == "no quorum answered"]
    assert fields["outcomes"] == ["a: not asked", "b: unavailable", "c: unavailable"]
    assert not peers.asked


def fail(error):
    def reply(message):
        raise error("keeper")

    return reply, 0.0


DOWN, SILENT, UP = fail(PeerDownError), fail(PeerUnreachableError), (Kept(), 0.0)


class StoredViews:
    """The view in the store, which may be out of reach."""

    view = VIEW
    is_reached = True

    async def read(self):
        if not self.is_reached:
            raise StoreUnavailableError("no answer")
        return self.view, 1


async def ask_for_quorum(answers, view=VIEW):
    """Return a client of which all keepers were asked, its clock, its store and its peers."""
    clock, store, peers = FakeClock(), StoredViews(), FakePeers(answers)
    store.view = view
    client = KeeperClient(peers, store.read, 1, "z", {"z": "r"}, clock, NullLog())
    client.update_view(view)
    clock.time += 10.0
    try:
        await client.request_quorum("p", KEEP, Kept, fail_fast=False)
    except KeepersUnavailableError:
        return client, clock, store
    raise AssertionError("a quorum answered")


# Guards against a stream without a record that another entry resumes by the record of another one:
# that too few keepers answer this entry does not say that too few answer others.
@pytest.mark.parametrize(
    ("answers", "is_proof"),
    [
        ((DOWN, DOWN, UP), True),
        ((DOWN, DOWN, SILENT), True),
        ((DOWN, SILENT, UP), False),
        ((DOWN, (NotReady("copying"), 0.0), UP), False),
        ((SILENT, SILENT, SILENT), False),
    ],
)
async def test_only_keepers_that_are_down_prove_that_there_is_no_quorum(answers, is_proof):
    client, _, _ = await ask_for_quorum(dict(zip("abc", answers, strict=True)))
    assert await client.proves_no_quorum("p", 4.0) is is_proof


# Guards against the same where others may already have a quorum again, or under another view.
async def test_a_proof_that_there_is_no_quorum_is_recent(make_client):
    answers = dict(a=DOWN, b=DOWN, c=UP)
    client, clock, store = await ask_for_quorum(answers)
    store.is_reached = False
    clock.time += EVIDENCE_SECONDS + 0.1
    assert not await client.proves_no_quorum("p", 4.0)

    client, clock, store = await ask_for_quorum(answers)
    clock.time += EVIDENCE_SECONDS + 0.1
    client._down_at = dict.fromkeys(client._down_at, clock.time)
    store.is_reached = False
    assert not await client.proves_no_quorum("p", 4.0)
    store.is_reached = True
    clock.time += MIN_VIEW_READ_SECONDS
    assert await client.proves_no_quorum("p", 4.0)
    store.view = drop_member(VIEW, VIEW.members[0].disk)
    clock.time += EVIDENCE_SECONDS + 0.1
    client._down_at = dict.fromkeys(client._down_at, clock.time)
    assert not await client.proves_no_quorum("p", 4.0)


# Guards against the same where keepers may not have learnt of a change of members yet.
async def test_a_generation_that_is_new_proves_nothing():
    client, _, _ = await ask_for_quorum(dict(a=DOWN, b=DOWN, c=UP))
    newer = evolve(VIEW, number=4, generation=4)
    client.update_view(newer)
    assert not await client.proves_no_quorum("p", 4.0)


# Guards against the same where a third keeper may join that was not there.
async def test_a_group_that_is_not_full_proves_nothing():
    small = drop_member(VIEW, VIEW.members[2].disk)
    client, _, _ = await ask_for_quorum(dict(a=DOWN, b=DOWN), small)
    assert not await client.proves_no_quorum("p", 4.0)

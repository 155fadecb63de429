"""What keepers are asked per turn, on which processor time depends.

Five keepers of which two may be lost; each answers at once, and knows what it was told.
"""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from attrs import Factory, define

from egretford.clock import SystemClock
from egretford.entry.keepers import HEDGE_DELAY_SECONDS, KeeperClient
from egretford.entry.models import CallerRequest
from egretford.entry.turns import Turns
from egretford.errors import ErrorKind, PeerUnreachableError, RequestError
from egretford.http.messages import Headers, HttpRequest
from egretford.keeper.crash_reports import exchange_crashes
from egretford.keeper.messages import Keep, Kept, ProgramCharges, ReportCrashes, Reserve, Reserved
from egretford.policy.crashes import CrashTable
from egretford.policy.views import Member, MemberState, View
from tests.entry.test_turns import ROUTE
from tests.platform.standins import NullLog

TOLERATED_LOSSES = 2
ZONES = {"north-a": "north", "north-b": "north", "south-a": "south"}
MEMBERS = tuple(
    Member(f"k{number}", f"disk-{number}", f"k{number}", zone, MemberState.ACTIVE)
    for number, zone in enumerate(["north-a", "north-a", "north-b", "south-a", "south-a"])
)
QUORUM = TOLERATED_LOSSES + 1


@define
class CountingKeepers:
    """Peers of a keeper client; count requests by kind and by address."""

    tables: dict[str, CrashTable] = Factory(lambda: {m.address: CrashTable() for m in MEMBERS})
    asked: Counter = Factory(Counter)
    addresses: list[str] = Factory(list)
    silent: set[str] = Factory(set)
    restarts: Counter = Factory(Counter)
    is_earlier_version: bool = False
    # Records of crashes in requests and replies.
    crash_records: int = 0

    async def ask(self, address, message, seconds):
        self.asked[type(message).__name__] += 1
        self.addresses.append(address)
        if address in self.silent:
            await asyncio.sleep(seconds)
            raise PeerUnreachableError(address)
        await asyncio.sleep(0.001)
        match message:
            case Reserve():
                return Reserved(ProgramCharges.pack(message.charge.program, []), (), None)
            case Keep():
                return Kept()
            case ReportCrashes(seen=seen) if seen is not None and self.is_earlier_version:
                raise RequestError(ErrorKind.INTERNAL, "an unknown field")
            case ReportCrashes():
                now = asyncio.get_running_loop().time()
                lifetime = f"{address}/{self.restarts[address]}"
                reply = exchange_crashes(self.tables[address], lifetime, message, now)
                for part in (message, reply):
                    self.crash_records += len(part.reports) + len(part.clearances)
                return reply

    def restart(self, address):
        self.restarts[address] += 1
        self.tables[address] = CrashTable()

    def keep_only(self, addresses):
        return


def make_client(peers):
    async def read_view():
        return VIEW, 1

    client = KeeperClient(
        peers, read_view, TOLERATED_LOSSES, "north-a", ZONES, SystemClock(), NullLog()
    )
    client.update_view(VIEW)
    return client


VIEW = View(3, MEMBERS, generation=3)


def make_request(program="p1"):
    http = HttpRequest(b"POST", b"/", Headers(), b"x", True, 0.0)
    return CallerRequest(
        http=http,
        id="t1",
        host="h",
        path="/",
        program=program,
        token_budget=9,
        max_output_tokens=5,
    )


async def serve_turn(turns):
    admission = await turns.admit(make_request(), ROUTE, 1)
    await admission.keep(b"answer", 3)
    await asyncio.sleep(0.05)


# Guards against days that cost too much processor time (SHORT): each record of a turn was sent to
# all keepers of its group, though a quorum makes it safe and the others copy it.
async def test_a_turn_asks_as_many_keepers_as_its_quorums_have():
    peers = CountingKeepers()
    client = make_client(peers)
    await serve_turn(Turns(client, SystemClock(), NullLog()))
    await client.close()
    # The charge is reserved and settled, and the turn is stored.
    assert peers.asked == {"Reserve": QUORUM, "Keep": 2 * QUORUM}


# Guards against turns that wait for the timeout of a keeper because no other one was asked.
async def test_silent_keepers_of_a_quorum_are_made_up_for_by_others():
    peers = CountingKeepers(silent={"k0", "k1"})
    client = make_client(peers)
    loop = asyncio.get_running_loop()
    durations = []
    for number in range(3):
        started = loop.time()
        request = await client.request_quorum(f"p{number}", Keep(None, None), Kept)
        durations.append(loop.time() - started)
        assert request.has_enough
    await client.close()
    assert durations[0] < 4 * HEDGE_DELAY_SECONDS
    # The next ones go to those that answer first.
    assert max(durations[1:]) < HEDGE_DELAY_SECONDS


# Guards against days that cost too much processor time (SHORT): an entry that was cut off from
# keepers sent each refused turn's settlement for six seconds, though no keeper had its reservation.
async def test_turns_that_were_refused_at_once_cost_nothing_later():
    peers = CountingKeepers(silent={member.address for member in MEMBERS})
    client = make_client(peers)
    turns = Turns(client, SystemClock(), NullLog())
    with pytest.raises(RequestError):
        await turns.admit(make_request("first"), ROUTE, 1)
    peers.asked.clear()
    for number in range(30):
        with pytest.raises(RequestError):
            await turns.admit(make_request(f"p{number}"), ROUTE, 1)
    await asyncio.sleep(3.0)
    await client.close()
    # The first turn's own settlement, which may be with some keeper.
    assert peers.asked["Reserve"] == 0 and peers.asked["Keep"] <= 3 * len(MEMBERS)

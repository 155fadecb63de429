"""What an entry tells keepers of itself, and reads from them of the others."""

from __future__ import annotations

import asyncio
import random

import pytest
from attrs import evolve

from egretford.clock import SystemClock
from egretford.entry import peers as module
from egretford.entry.keepers import KeeperClient
from egretford.entry.peers import EntryDirectory
from egretford.errors import ErrorKind, RequestError
from egretford.keeper.messages import AnnounceEntry, EntryList, OutdatedView
from egretford.policy.detours import PeerEntry
from egretford.policy.views import Member, MemberState, View
from tests.entry.fakes import FakePeers
from tests.platform.standins import NullLog

REGIONS = {"z": "north", "y": "north", "x": "south"}
OWN = PeerEntry("own", "10.0.0.1:9", "z")
NEAR, FAR = PeerEntry("near", "10.0.0.2:9", "z"), PeerEntry("far", "10.0.0.3:9", "y")
SILENT_SECONDS = 30.0


def make_view(number: int, *domains: str) -> View:
    """Return a view with one keeper in each failure domain, of its name."""
    members = (Member(d, f"d-{d}", d, d, MemberState.ACTIVE) for d in domains)
    return View(number, tuple(members), generation=number)


class Keepers:
    """Keepers of an entry, one for each failure domain, that know `entries`."""

    def __init__(self, **entries: tuple[PeerEntry, ...]) -> None:
        self.view = make_view(3, *entries)
        self.entries = entries
        self.announced: list[tuple[str, AnnounceEntry]] = []
        self.peers = FakePeers({domain: (self.make_reply(domain), 0.0) for domain in entries})
        self.isolated = False
        clock = SystemClock()
        self.client = KeeperClient(self.peers, self.read, 1, "z", REGIONS, clock, NullLog())
        self.client.update_view(self.view)
        self.directory = EntryDirectory(
            OWN, self.client, REGIONS, lambda: self.isolated, clock, random.Random(1), NullLog()
        )

    def make_reply(self, domain: str):
        def reply(message):
            if message.view < self.view.number:
                return OutdatedView(self.view)
            self.announced.append((domain, message))
            listed = tuple((entry, 0.0) for entry in self.entries[domain])
            return EntryList(listed if message.with_list else ())

        return reply

    def silence_keeper(self, domain: str) -> None:
        self.peers.answers[domain] = (EntryList(()), SILENT_SECONDS)

    def fail_keeper(self, domain: str) -> None:
        def fail(message):
            raise RequestError(ErrorKind.BAD_REQUEST, "unknown message")

        self.peers.answers[domain] = (fail, 0.0)

    async def read(self):
        return self.view, 1

    async def list_names(self) -> list[str]:
        return [peer.name for peer in await self.directory.list_peers()]


@pytest.fixture
async def make_keepers():
    made = []

    def make(**entries) -> Keepers:
        made.append(Keepers(**entries))
        return made[-1]

    yield make
    for keepers in made:
        await keepers.directory.close()
        await keepers.client.close()


# Guards against entries that no other one finds, and against messages to all keepers.
async def test_an_entry_announces_itself_to_the_nearest_keeper_at_once_and_again(
    make_keepers, monkeypatch
):
    monkeypatch.setattr(module, "ANNOUNCE_SECONDS", 0.1)
    keepers = make_keepers(y=(), z=(), x=())
    await keepers.directory.start()
    await asyncio.sleep(0.05)
    assert [(d, m.entry, m.with_list) for d, m in keepers.announced] == [("z", OWN, False)]
    await asyncio.sleep(0.25)
    assert 2 <= len(keepers.announced) <= 4 and {d for d, _ in keepers.announced} == {"z"}


# Guards against an entry that others do not find for seconds after it started, as it knew no keeper
# at first.
async def test_an_entry_announces_itself_once_it_knows_a_keeper(make_keepers):
    keepers = make_keepers(z=(), y=())
    keepers.client.view = View()
    await keepers.directory.start()
    await asyncio.sleep(0.1)
    assert not keepers.announced
    keepers.client.update_view(keepers.view)
    await asyncio.sleep(0.4)
    assert [d for d, _ in keepers.announced] == ["z"]


async def test_an_entry_that_becomes_isolated_says_so_at_once(make_keepers):
    keepers = make_keepers(z=(), y=())
    await keepers.directory.start()
    await asyncio.sleep(0.02)
    keepers.isolated = True
    keepers.directory.announce_now()
    await asyncio.sleep(0.02)
    assert [m.entry.isolated for _, m in keepers.announced] == [False, True]


# Guards against an entry that nobody finds once the keeper near it is gone.
async def test_an_entry_announces_itself_elsewhere_if_the_nearest_keeper_is_silent(
    make_keepers, monkeypatch
):
    monkeypatch.setattr(module, "ANNOUNCE_SECONDS", 0.1)
    monkeypatch.setattr("egretford.entry.keepers.REPLY_TIMEOUT_SECONDS", 0.1)
    keepers = make_keepers(z=(), y=())
    keepers.silence_keeper("z")
    await keepers.directory.start()
    await asyncio.sleep(0.4)
    assert {d for d, _ in keepers.announced} == {"y"}


# Guards against a list of one failure domain only: each keeper knows the entries near it.
async def test_the_list_joins_what_keepers_of_several_domains_know(make_keepers):
    keepers = make_keepers(z=(OWN, NEAR), y=(FAR,), x=(OWN,))
    assert await keepers.list_names() == ["near", "far"]
    assert await keepers.directory.knows("10.0.0.3")
    assert not await keepers.directory.knows("10.0.0.4")
    assert {d for d, _ in keepers.announced} == {"x", "y", "z"}


# Guards against questions to keepers for each request.
async def test_a_recent_list_is_not_read_again(make_keepers):
    keepers = make_keepers(z=(NEAR,), y=(FAR,))
    for _ in range(5):
        await keepers.list_names()
        assert not await keepers.directory.knows("10.0.0.4")
    assert len(keepers.announced) == 2
    await asyncio.gather(*(keepers.list_names() for _ in range(5)))
    assert len(keepers.announced) == 2


async def test_requests_together_read_the_list_once(make_keepers):
    keepers = make_keepers(z=(NEAR,), y=(FAR,))
    found = await asyncio.gather(*(keepers.list_names() for _ in range(5)))
    assert found == [["near", "far"]] * 5 and len(keepers.announced) == 2


# Guards against waiting for a keeper that is cut off as well, and against giving up the rest.
@pytest.mark.parametrize("silent", ["z", "y"])
async def test_one_silent_keeper_delays_the_list_a_little(make_keepers, silent):
    keepers = make_keepers(z=(NEAR,), y=(FAR,), x=())
    keepers.silence_keeper(silent)
    loop = asyncio.get_running_loop()
    started = loop.time()
    assert await keepers.list_names() == ["far" if silent == "z" else "near"]
    assert loop.time() - started < module.READ_TIMEOUT_SECONDS + 0.1


# Guards against an entry in an upgrade that finds no peers, as one keeper runs the earlier version.
async def test_a_keeper_of_the_earlier_version_is_passed_over(make_keepers):
    keepers = make_keepers(z=(NEAR,), y=(FAR,))
    keepers.fail_keeper("z")
    assert await keepers.list_names() == ["far"]


async def test_a_list_is_read_under_the_newest_view(make_keepers):
    keepers = make_keepers(z=(NEAR,), y=(FAR,))
    keepers.view = make_view(4, "z", "y")
    assert await keepers.list_names() == ["near", "far"]
    assert keepers.client.view.number == 4


# Guards against losing the known peers while no keeper answers.
async def test_known_peers_stay_known_while_no_keeper_answers(make_keepers, monkeypatch):
    monkeypatch.setattr(module, "MAX_LIST_AGE_SECONDS", 0.0)
    monkeypatch.setattr("egretford.entry.keepers.REPLY_TIMEOUT_SECONDS", 0.05)
    keepers = make_keepers(z=(NEAR,), y=(FAR,))
    assert await keepers.list_names() == ["near", "far"]
    for domain in "zy":
        keepers.silence_keeper(domain)
    for _ in range(3):
        assert await keepers.list_names() == ["near", "far"]
        await asyncio.sleep(0.1)


# Guards against an outage while the only other entry is avoided: it is asked last, not never.
async def test_an_entry_that_gave_no_tunnel_is_asked_last_for_a_while(make_keepers, monkeypatch):
    monkeypatch.setattr(module, "AVOID_SECONDS", 0.2)
    keepers = make_keepers(z=(NEAR,), y=(FAR,))
    await keepers.list_names()
    keepers.directory.avoid(NEAR.address)
    assert await keepers.list_names() == ["far", "near"]
    await asyncio.sleep(0.25)
    assert await keepers.list_names() == ["near", "far"]


# Guards against tries at peers that said that they are isolated before one that was full.
async def test_an_isolated_entry_is_asked_after_one_that_gave_no_tunnel(make_keepers):
    keepers = make_keepers(z=(evolve(NEAR, isolated=True),), y=(FAR,))
    keepers.directory.avoid(FAR.address)
    assert await keepers.list_names() == ["far", "near"]


# Guards against the first requests after a cut of a whole failure domain, which fail because only
# entries of that domain are known when the first keeper has answered.
async def test_the_first_list_has_entries_of_other_failure_domains(make_keepers):
    keepers = make_keepers(z=(NEAR,), y=(FAR,))
    reply, _ = keepers.peers.answers["y"]
    keepers.peers.answers["y"] = (reply, 0.05)
    assert await keepers.list_names() == ["near", "far"]

"""Copying: a keeper with an empty disk is complete in time, over a narrow link."""

from __future__ import annotations

import asyncio

from egretford.clock import SystemClock
from egretford.codec import encode_bytes
from egretford.errors import PeerUnreachableError
from egretford.keeper.copying import Copying
from egretford.keeper.log import DiskLog
from egretford.keeper.messages import FetchTurns, KeeperReply, OutdatedView, RecordPage, Turn
from egretford.keeper.records import Records
from egretford.keeper.service import KeeperService
from egretford.metrics import Metrics
from egretford.policy.ledger import Charge
from egretford.policy.views import Member, MemberState, View
from tests.platform.standins import NullLog

LINK_BYTES_PER_SECOND = 15_000_000 / 8
CATCH_UP_SECONDS = 4.8


class NarrowLink:
    """Passes requests to services; all answers share one link."""

    def __init__(self, services):
        self.services = services
        self.free_at = 0.0
        self.fetched = []
        self.charges = 0

    async def ask(self, address, message, seconds):
        loop = asyncio.get_running_loop()
        reply = await self.services[address].answer(message)
        if isinstance(reply, RecordPage):
            self.charges += sum(len(charges.rows) for charges in reply.charges)
        if isinstance(message, FetchTurns):
            self.fetched += [turn.id for turn in reply.turns]
        size = len(encode_bytes(reply, KeeperReply))
        start = max(loop.time(), self.free_at)
        self.free_at = start + size / LINK_BYTES_PER_SECOND
        wait = self.free_at - loop.time() + 0.024
        await asyncio.sleep(min(wait, seconds))
        if wait > seconds:
            raise PeerUnreachableError(f"{address}: too late")
        return reply

    def keep_only(self, addresses):
        return


def make_service(folder, disk):
    records = Records(DiskLog(folder / "records", NullLog()), SystemClock(), NullLog())
    folder.mkdir(parents=True, exist_ok=True)
    records.load()
    return KeeperService(folder, disk, 1, records, SystemClock(), Metrics(), NullLog()), records


class FakeCompletions:
    async def store(self, completion):
        return


def make_copying(service, records, link):
    return Copying(
        "new", "new", service, records, link, FakeCompletions(), SystemClock(), NullLog()
    )


async def test_an_empty_keeper_catches_up_over_a_link_between_regions(tmp_path):
    members = tuple(Member(n, n, n, n, MemberState.ACTIVE) for n in ("a", "b", "new"))
    view = View(4, members)
    services, held = {}, {}
    turns = [
        Turn(f"t{n}", None, "p", b"q" * 5_000, b"a" * 1_500, 60.0, ("a", "new")) for n in range(600)
    ]
    charges = [Charge(f"p{n}", f"t{n}", 5, settled=True) for n in range(1_200)]
    for name in ("a", "b", "new"):
        services[name], held[name] = make_service(tmp_path / name, name)
        await services[name].adopt(view)
    for name in ("a", "b"):
        await held[name].write([*turns, *charges])
    link = NarrowLink(services)
    copying = make_copying(services["new"], held["new"], link)
    await copying.start()
    async with asyncio.timeout(CATCH_UP_SECONDS):
        while any(source.copied_view < 4 for source in copying.sources.values()):
            await asyncio.sleep(0.05)
    await copying.close()
    assert held["new"].counts["turns"] == 600
    assert held["new"].counts["programs"] == 1_200
    # No turn came twice.
    assert len(link.fetched) == 600


class ChangingLink(NarrowLink):
    """Answers the first request for turns as a keeper does that knows a newer view."""

    def __init__(self, services, view):
        super().__init__(services)
        self.view = view
        self.interrupted = False

    async def ask(self, address, message, seconds):
        if isinstance(message, FetchTurns) and not self.interrupted:
            self.interrupted = True
            return OutdatedView(self.view)
        return await super().ask(address, message, seconds)


async def test_turns_that_were_not_fetched_are_not_passed_over(tmp_path):
    members = tuple(Member(n, n, n, n, MemberState.ACTIVE) for n in ("a", "new"))
    view = View(4, members)
    services, held = {}, {}
    for name in ("a", "new"):
        services[name], held[name] = make_service(tmp_path / name, name)
        await services[name].adopt(view)
    await held["a"].write([Turn("t1", None, "p", b"q", b"a", 60.0, ("a", "new"))])
    link = ChangingLink(services, view)
    copying = make_copying(services["new"], held["new"], link)
    await copying.start()
    async with asyncio.timeout(CATCH_UP_SECONDS):
        while copying.sources["a"].copied_view < 4:
            await asyncio.sleep(0.05)
    await copying.close()
    assert link.interrupted and held["new"].holds("t1")


async def test_a_change_of_view_sends_no_charge_again(tmp_path):
    """What was copied stays copied; only who is to hold which turn changes with the members."""
    members = tuple(Member(n, n, n, n, MemberState.ACTIVE) for n in ("a", "new"))
    services, held = {}, {}
    for name in ("a", "new"):
        services[name], held[name] = make_service(tmp_path / name, name)
        await services[name].adopt(View(4, members))
    await held["a"].write([Charge(f"p{n}", f"t{n}", 5, settled=True) for n in range(300)])
    link = NarrowLink(services)
    copying = make_copying(services["new"], held["new"], link)
    await copying.start()
    async with asyncio.timeout(CATCH_UP_SECONDS):
        while copying.sources["a"].copied_view < 4:
            await asyncio.sleep(0.05)
    link.charges = 0
    joining = Member("b", "b", "b", "b", MemberState.JOINING)
    for name in ("a", "new"):
        await services[name].adopt(View(5, (*members, joining)))
    async with asyncio.timeout(CATCH_UP_SECONDS):
        while copying.sources["a"].copied_view < 5:
            await asyncio.sleep(0.05)
    await copying.close()
    assert link.charges == 0


class OtherDiskLink(NarrowLink):
    """Asks a service of another disk once `is_lost` says so."""

    def __init__(self, services, is_lost):
        super().__init__(services)
        self.is_lost = is_lost

    async def ask(self, address, message, seconds):
        if address == "a" and self.is_lost(message):
            address = "emptied"
        return await super().ask(address, message, seconds)


async def copy_from_lost_disk(tmp_path, is_lost):
    members = tuple(Member(n, n, n, n, MemberState.ACTIVE) for n in ("a", "new"))
    services, held = {}, {}
    for name in ("a", "emptied", "new"):
        services[name], held[name] = make_service(tmp_path / name, name)
        await services[name].adopt(View(4, members, generation=2))
    await held["a"].write([Turn("t1", None, "p", b"q", b"a", 60.0, ("a", "new"))])
    copying = make_copying(services["new"], held["new"], OtherDiskLink(services, is_lost))
    await copying.start()
    started = SystemClock().monotonic()
    await asyncio.sleep(0.8)
    await copying.close()
    source = copying.sources["a"]
    return source, source.heard_at - started


# Guards against a 404 and a second spending of a budget: a lost disk that counts as copied,
# since its machine answers with an empty one (LOST, BUDGET).
async def test_a_machine_with_another_disk_does_not_answer_for_the_lost_one(tmp_path):
    source, heard_after = await copy_from_lost_disk(tmp_path, lambda message: True)
    assert (source.copied_view, source.copied_generation, source.position) == (0, 0, 0)
    assert source.replaced and heard_after < 0.1


# Guards against the same where the disk is lost between a listing and its turns (LOST).
async def test_turns_that_a_lost_disk_had_listed_are_not_passed_over(tmp_path):
    lost = []

    def is_lost(message):
        if isinstance(message, FetchTurns):
            lost.append(True)
        return bool(lost)

    source, _ = await copy_from_lost_disk(tmp_path, is_lost)
    assert (source.copied_view, source.copied_generation, source.position) == (0, 0, 0)
    assert lost and source.replaced

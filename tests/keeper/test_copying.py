"""Replication between keepers: catching up over a slow link, view changes, replaced disks."""

from __future__ import annotations

import asyncio
from collections import Counter

from egretford.clock import SystemClock
from egretford.codec import encode_bytes
from egretford.errors import PeerUnreachableError
from egretford.keeper.copying import RecordCopier
from egretford.keeper.log import DiskLog
from egretford.keeper.messages import (
    FetchTurns,
    KeeperReply,
    ListRecords,
    OutdatedView,
    RecordPage,
    Turn,
)
from egretford.keeper.records import Records
from egretford.keeper.service import KeeperService
from egretford.metrics import Metrics
from egretford.policy.ledger import Charge
from egretford.policy.views import Member, MemberState, View
from tests.platform.standins import NullLog

LINK_BYTES_PER_SECOND = 15_000_000 / 8
CATCH_UP_SECONDS = 4.8


class SlowLink:
    """Passes requests to services; all replies share the bandwidth of one link."""

    def __init__(self, services):
        self.services = services
        self.idle_at = 0.0
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
        start = max(loop.time(), self.idle_at)
        self.idle_at = start + size / LINK_BYTES_PER_SECOND
        wait = self.idle_at - loop.time() + 0.024
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


def make_copier(service, records, link, clock=None):
    clock = clock or SystemClock()
    return RecordCopier("new", "new", service, records, link, FakeCompletions(), clock, NullLog())


async def test_an_empty_keeper_catches_up_over_a_link_between_regions(tmp_path):
    members = tuple(Member(n, n, n, n, MemberState.ACTIVE) for n in ("a", "b", "new"))
    view = View(4, members)
    services, records = {}, {}
    turns = [
        Turn(f"t{n}", None, "p", b"q" * 5_000, b"a" * 1_500, 60.0, ("a", "new")) for n in range(600)
    ]
    charges = [Charge(f"p{n}", f"t{n}", 5, settled=True) for n in range(1_200)]
    for name in ("a", "b", "new"):
        services[name], records[name] = make_service(tmp_path / name, name)
        await services[name].adopt(view)
    for name in ("a", "b"):
        await records[name].write([*turns, *charges])
    link = SlowLink(services)
    copier = make_copier(services["new"], records["new"], link)
    await copier.start()
    async with asyncio.timeout(CATCH_UP_SECONDS):
        while any(source.copied_view < 4 for source in copier.sources.values()):
            await asyncio.sleep(0.05)
    await copier.close()
    assert records["new"].counts["turns"] == 600
    assert records["new"].counts["programs"] == 1_200
    # No turn was transferred twice.
    assert len(link.fetched) == 600


class OutdatedViewLink(SlowLink):
    """Replies OutdatedView to the first request for turns, as if the view had just changed."""

    def __init__(self, services, view):
        super().__init__(services)
        self.view = view
        self.interrupted = False

    async def ask(self, address, message, seconds):
        if isinstance(message, FetchTurns) and not self.interrupted:
            self.interrupted = True
            return OutdatedView(self.view)
        return await super().ask(address, message, seconds)


async def test_turns_that_were_not_fetched_are_requested_again(tmp_path):
    members = tuple(Member(n, n, n, n, MemberState.ACTIVE) for n in ("a", "new"))
    view = View(4, members)
    services, records = {}, {}
    for name in ("a", "new"):
        services[name], records[name] = make_service(tmp_path / name, name)
        await services[name].adopt(view)
    await records["a"].write([Turn("t1", None, "p", b"q", b"a", 60.0, ("a", "new"))])
    link = OutdatedViewLink(services, view)
    copier = make_copier(services["new"], records["new"], link)
    await copier.start()
    async with asyncio.timeout(CATCH_UP_SECONDS):
        while copier.sources["a"].copied_view < 4:
            await asyncio.sleep(0.05)
    await copier.close()
    assert link.interrupted and records["new"].has_turn("t1")


async def test_a_change_of_view_sends_no_charge_again(tmp_path):
    """Copied charges are not listed again; a join only changes which keepers must hold a turn."""
    members = tuple(Member(n, n, n, n, MemberState.ACTIVE) for n in ("a", "new"))
    services, records = {}, {}
    for name in ("a", "new"):
        services[name], records[name] = make_service(tmp_path / name, name)
        await services[name].adopt(View(4, members))
    await records["a"].write([Charge(f"p{n}", f"t{n}", 5, settled=True) for n in range(300)])
    link = SlowLink(services)
    copier = make_copier(services["new"], records["new"], link)
    await copier.start()
    async with asyncio.timeout(CATCH_UP_SECONDS):
        while copier.sources["a"].copied_view < 4:
            await asyncio.sleep(0.05)
    link.charges = 0
    joining = Member("b", "b", "b", "b", MemberState.JOINING)
    for name in ("a", "new"):
        await services[name].adopt(View(5, (*members, joining)))
    async with asyncio.timeout(CATCH_UP_SECONDS):
        while copier.sources["a"].copied_view < 5:
            await asyncio.sleep(0.05)
    await copier.close()
    assert link.charges == 0


class ReplacedDiskLink(SlowLink):
    """Routes requests for `a` to a keeper with an empty disk once `is_lost` returns true."""

    def __init__(self, services, is_lost):
        super().__init__(services)
        self.is_lost = is_lost

    async def ask(self, address, message, seconds):
        if address == "a" and self.is_lost(message):
            address = "emptied"
        return await super().ask(address, message, seconds)


async def copy_from_lost_disk(tmp_path, is_lost):
    members = tuple(Member(n, n, n, n, MemberState.ACTIVE) for n in ("a", "new"))
    services, records = {}, {}
    for name in ("a", "emptied", "new"):
        services[name], records[name] = make_service(tmp_path / name, name)
        await services[name].adopt(View(4, members, generation=2))
    turn, charge = Turn("t1", None, "p", b"q", b"a", 60.0, ("a", "new")), Charge("p", "t1", 5)
    await records["a"].write([turn, charge])
    copier = make_copier(services["new"], records["new"], ReplacedDiskLink(services, is_lost))
    await copier.start()
    started = SystemClock().monotonic()
    await asyncio.sleep(0.8)
    await copier.close()
    source = copier.sources["a"]
    return source, records["new"], source.last_reply_at - started


# Guards against lost turns (a 404) and double spending of a budget: a lost disk was treated as
# copied, because its instance replied with a new, empty disk.
async def test_replies_of_a_replacement_disk_do_not_count_for_the_lost_disk(tmp_path):
    source, records, last_reply_after = await copy_from_lost_disk(tmp_path, lambda message: True)
    assert not records.list_charges("p")
    assert (source.copied_view, source.copied_generation, source.position) == (0, 0, 0)
    assert source.replaced and last_reply_after < 0.1


# Guards against lost turns: a disk that was lost after it listed its turns, but before they were
# fetched, was treated as copied. The charges, which came with the list, are.
async def test_turns_listed_by_a_lost_disk_do_not_count_as_copied(tmp_path):
    lost = []

    def is_lost(message):
        if isinstance(message, FetchTurns):
            lost.append(True)
        return bool(lost)

    source, records, _ = await copy_from_lost_disk(tmp_path, is_lost)
    assert (source.copied_view, list(source.missing_turns)) == (0, ["t1"])
    assert (source.copied_generation, len(records.list_charges("p"))) == (2, 1)
    assert lost and source.replaced


class SilentKeeperLink(SlowLink):
    """Never answers requests to `a` for turns."""

    def __init__(self, services):
        super().__init__(services)
        self.asked = asyncio.Event()

    async def ask(self, address, message, seconds):
        if address == "a" and isinstance(message, FetchTurns):
            self.asked.set()
            await asyncio.sleep(seconds)
            raise PeerUnreachableError(f"{address}: too late")
        return await super().ask(address, message, seconds)


# Guards against turns with too few copies: a keeper left in the middle of a fetch, and the request
# to it blocked copies from all others until it timed out.
async def test_a_fetch_from_a_keeper_that_left_does_not_block_the_others(tmp_path):
    members = tuple(Member(n, n, n, n, MemberState.ACTIVE) for n in ("a", "b", "new"))
    services, records = {}, {}
    for name in ("a", "b", "new"):
        services[name], records[name] = make_service(tmp_path / name, name)
        await services[name].adopt(View(4, members))
    await records["a"].write([Turn("t1", None, "p", b"q", b"a", 60.0, ("a", "new"))])
    link = SilentKeeperLink(services)
    copier = make_copier(services["new"], records["new"], link)
    services["new"].on_view_adopted = copier.handle_new_view
    await copier.start()
    await link.asked.wait()
    await records["b"].write([Turn("t2", None, "p", b"q", b"a", 60.0, ("b", "new"))])
    for name in ("b", "new"):
        await services[name].adopt(View(5, members[1:]))
    async with asyncio.timeout(1.0):
        while not records["new"].has_turn("t2"):
            await asyncio.sleep(0.02)
    await copier.close()


class CountingClock(SystemClock):
    """Counts the timers that are set."""

    def __init__(self):
        self.timers = 0

    async def sleep(self, seconds):
        self.timers += 1
        await super().sleep(seconds)


class CountingLink(SlowLink):
    """Counts the requests for records by address."""

    def __init__(self, services):
        super().__init__(services)
        self.listed = Counter()

    async def ask(self, address, message, seconds):
        if isinstance(message, ListRecords):
            self.listed[address] += 1
        return await super().ask(address, message, seconds)


# Guards against processor time that grows with the number of keepers though they have nothing to
# copy: each other keeper had timers of its own, which woke the process one by one.
async def test_an_idle_keeper_wakes_as_often_beside_many_others(tmp_path):
    names = [f"k{number}" for number in range(12)]
    view = View(4, tuple(Member(n, n, n, n, MemberState.ACTIVE) for n in (*names, "new")))
    services, records = {}, {}
    for name in (*names, "new"):
        services[name], records[name] = make_service(tmp_path / name, name)
        await services[name].adopt(view)
    link, clock = CountingLink(services), CountingClock()
    copier = make_copier(services["new"], records["new"], link, clock)
    await copier.start()
    await asyncio.sleep(0.2)
    link.listed.clear()
    clock.timers = 0
    await asyncio.sleep(3.0)
    await copier.close()
    # Each is polled twice a second as before, all of them at once.
    assert set(link.listed) == set(names) and min(link.listed.values()) >= 4
    assert clock.timers <= 8

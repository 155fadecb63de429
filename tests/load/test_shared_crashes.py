"""What entries and keepers tell each other of crashes, on which processor time depends."""

from __future__ import annotations

import asyncio

from egretford.clock import SystemClock
from egretford.entry.crashes import SharedCrashes
from egretford.policy.crashes import CRASHES_TO_BLOCK, Crash, CrashReport
from tests.load.test_messages_to_keepers import MEMBERS, CountingKeepers, make_client
from tests.platform.standins import NullLog

FAMILIAR_CRASHES = 100


async def share_familiar_crashes(peers, clients):
    """Let entries and keepers know of many crashes, and return the entries' exchanges."""
    loop = asyncio.get_running_loop()
    for table in peers.tables.values():
        for number in range(FAMILIAR_CRASHES):
            report = CrashReport(Crash(f"{number:016x}" * 2, f"w{number}"), 1.0)
            table.merge_reports([report], [], loop.time())
    entries = [SharedCrashes(client, SystemClock(), NullLog()) for client in clients]
    for entry in entries:
        await entry.start()
    await asyncio.sleep(0.2)
    peers.asked.clear()
    peers.crash_records = 0
    return entries


async def end(entries, clients):
    for part in (*entries, *clients):
        await part.close()


# Guards against days that cost too much processor time (SHORT): each exchange of crashes carried
# all that was known, between each entry and its keeper once a second, and at each loss to all.
async def test_a_crash_costs_as_little_to_share_when_many_are_known():
    peers = CountingKeepers()
    clients = [make_client(peers) for _ in range(3)]
    entries = await share_familiar_crashes(peers, clients)
    entries[0].add(Crash("f" * 32, "w"))
    await asyncio.sleep(2.5)
    known = [len(entry._table.list_reports(asyncio.get_running_loop().time())) for entry in entries]
    await end(entries, clients)
    assert known == [FAMILIAR_CRASHES + 1] * len(entries)
    # It goes to each keeper, and from there to each entry.
    assert peers.crash_records <= len(MEMBERS) * 2 + len(entries) * 2


# Guards against the same where many requests are lost at once: each loss had two exchanges, the
# second one with all keepers.
async def test_losses_at_once_share_one_exchange_with_each_keeper():
    peers = CountingKeepers()
    clients = [make_client(peers)]
    (entry,) = entries = await share_familiar_crashes(peers, clients)

    async def has_ended():
        return False

    now = asyncio.get_running_loop().time()
    for number in range(20):
        entry.check(Crash(f"{number:016x}" * 2, f"other{number}"), now, has_ended)
    await asyncio.sleep(0.8)
    await end(entries, clients)
    # One with the nearest for the names of the crashed, one with each for what is new, and those
    # of one second.
    assert peers.asked["ReportCrashes"] <= 2 * len(MEMBERS)
    assert peers.crash_records <= 20 * len(MEMBERS) * 2


# Guards against a request that goes on crashing workers: what a keeper lost with its process, and
# what it did not get while it was away, is sent to it again.
async def test_a_keeper_that_was_away_or_restarted_gets_all_crashes():
    peers = CountingKeepers()
    clients = [make_client(peers)]
    (entry,) = entries = await share_familiar_crashes(peers, clients)
    peers.silent.add("k3")
    for number in range(CRASHES_TO_BLOCK):
        entry.add(Crash("f" * 32, f"w{number}"))
    await asyncio.sleep(2.2)
    now = asyncio.get_running_loop().time()
    assert peers.tables["k0"].blocks("f" * 32, now) and not peers.tables["k3"].blocks("f" * 32, now)
    peers.silent.clear()
    peers.restart("k0")
    await asyncio.sleep(3.2)
    await end(entries, clients)
    assert all(peers.tables[address].blocks("f" * 32, now) for address in ("k0", "k3"))


# Guards against a request that goes on crashing workers: a crash that is observed while an earlier
# one of the same request is on its way was taken for sent.
async def test_a_crash_that_comes_during_an_exchange_is_sent_by_the_next():
    peers = CountingKeepers()
    clients = [make_client(peers)]
    (entry,) = entries = await share_familiar_crashes(peers, clients)
    for number in range(CRASHES_TO_BLOCK):
        entry.add(Crash("f" * 32, f"w{number}"))
        exchange = asyncio.create_task(entry._share_now())
        await asyncio.sleep(0.0005)
    await exchange
    await asyncio.sleep(2.2)
    await end(entries, clients)
    now = asyncio.get_running_loop().time()
    assert all(table.blocks("f" * 32, now) for table in peers.tables.values())


# Guards against an upgrade during which crashes are not shared: keepers of the build before do not
# know the position that an entry has seen.
async def test_keepers_of_the_build_before_are_told_all():
    peers = CountingKeepers(is_earlier_version=True)
    clients = [make_client(peers) for _ in range(2)]
    entries = await share_familiar_crashes(peers, clients)
    for number in range(CRASHES_TO_BLOCK):
        entries[0].add(Crash("f" * 32, f"w{number}"))
    await asyncio.sleep(2.5)
    blocked = [entry.blocks("f" * 32) for entry in entries]
    await end(entries, clients)
    assert blocked == [True, True]


# Guards against sound requests that stay blocked at other entries: a success soon after an earlier
# one was taken for the same, so that the crash between them went on to count there.
async def test_a_success_soon_after_another_ends_the_crash_between_them_at_all():
    peers = CountingKeepers()
    clients = [make_client(peers) for _ in range(2)]
    first, second = entries = await share_familiar_crashes(peers, clients)
    first.add(Crash("f" * 32, "w1"))
    await first._share_now()
    first.record_success("f" * 32)
    await first._share_now()
    first.add(Crash("f" * 32, "w2"))
    await first._share_now()
    await second._share_now()
    first.record_success("f" * 32)
    await asyncio.sleep(2.2)
    now = asyncio.get_running_loop().time()
    known = [report.crash.fingerprint for report in second._table.list_reports(now)]
    await end(entries, clients)
    assert "f" * 32 not in known

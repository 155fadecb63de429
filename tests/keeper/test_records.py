"""Records: durability, expiry in memory and on disk, and paged listing."""

from __future__ import annotations

from attrs import evolve

from egretford.keeper.log import DiskLog
from egretford.keeper.messages import Turn
from egretford.keeper.records import (
    LEDGER_RETENTION_SECONDS,
    MAX_LISTED_ATTEMPTS,
    ORIGIN_RETENTION_SECONDS,
    RETENTION_MARGIN_SECONDS,
    Records,
)
from egretford.policy.ledger import Charge, StreamOrigin
from tests.platform.standins import NullLog


class FakeClock:
    def __init__(self) -> None:
        self.time = 0.0

    def monotonic(self) -> float:
        return self.time


def make_records(folder, clock):
    records = Records(DiskLog(folder, NullLog()), clock, NullLog())
    records.load()
    return records


def make_turn(number, previous=None, size=100):
    return Turn(f"t{number}", previous, "p", b"q" * size, b"a" * size, 60.0, ("a", "b"))


async def test_chains_and_charges_survive_a_restart(tmp_path):
    clock = FakeClock()
    records = make_records(tmp_path, clock)
    await records.write([make_turn(1), make_turn(2, "t1"), Charge("p", "t2", 50)])
    await records.write([Charge("p", "t2", 40, settled=True)])
    reloaded = make_records(tmp_path, clock)
    chain, missing = reloaded.read_chain("t2")
    assert [turn.id for turn in chain] == ["t1", "t2"] and missing is None
    assert reloaded.list_charges("p") == (Charge("p", "t2", 40, settled=True),)


async def test_a_settled_charge_does_not_become_reserved_again(tmp_path):
    records = make_records(tmp_path, FakeClock())
    await records.write([Charge("p", "t", 0, settled=True)])
    await records.write([Charge("p", "t", 50)])
    assert records.list_charges("p") == (Charge("p", "t", 0, settled=True),)


# Guards against a stream's record that a later copy of its charge without the origin replaces on
# disk.
async def test_the_origin_of_a_stream_survives_a_charge_without_it_and_a_restart(tmp_path):
    origin = StreamOrigin(0, "models", "v1")
    records = make_records(tmp_path, FakeClock())
    await records.write([Charge("s", "", 0, origin=origin)])
    await records.write([Charge("s", "", 0)])
    await records.write([Charge("s", "", 0, settled=True)])
    for held in (records, make_records(tmp_path, FakeClock())):
        assert held.list_charges("s") == (Charge("s", "", 0, settled=True, origin=origin),)


# Guards against reads of a stream's record that are written to disk.
async def test_a_charge_that_changes_nothing_is_not_written(tmp_path):
    records = make_records(tmp_path, FakeClock())
    await records.write([Charge("s", "", 0, origin=StreamOrigin(0, "models", "v1"))])
    position = records.position
    await records.write([Charge("s", "", 0)])
    assert records.position == position


# Guards against memory that grows with the number of streams.
async def test_the_origin_of_a_stream_expires(tmp_path):
    clock = FakeClock()
    records = make_records(tmp_path, clock)
    await records.write([Charge("s", "", 0, origin=StreamOrigin(0, "models", "v1"))])
    clock.time = ORIGIN_RETENTION_SECONDS
    await records.expire()
    assert records.counts["programs"] == 0


async def test_a_chain_lasts_as_long_as_its_newest_turn(tmp_path):
    clock = FakeClock()
    records = make_records(tmp_path, clock)
    await records.write([make_turn(1)])
    clock.time = 60.0 + RETENTION_MARGIN_SECONDS - 1
    records.renew_chain("t1")
    clock.time += 50
    await records.expire()
    assert records.read_chain("t1")[1] is None


async def test_memory_and_disk_stay_bounded_over_a_long_run(tmp_path, monkeypatch):
    monkeypatch.setattr("egretford.keeper.log.SEGMENT_BYTES", 20_000)
    clock = FakeClock()
    records = make_records(tmp_path, clock)
    sizes, held = [], []
    for step in range(1_500):
        clock.time += 1.0
        await records.write([make_turn(step, size=500), Charge(f"p{step // 10}", f"t{step}", 1)])
        await records.expire()
        sizes.append(sum(path.stat().st_size for path in tmp_path.glob("*.log")))
        held.append(records.counts)
    turn_seconds = 60 + RETENTION_MARGIN_SECONDS
    assert max(counts["turns"] for counts in held) <= turn_seconds + 2
    assert max(counts["programs"] for counts in held) <= LEDGER_RETENTION_SECONDS / 10 + 3
    # Twice the size of the live records, plus the segments that are being filled and removed.
    assert max(sizes) <= 2 * turn_seconds * 1_300 + 3 * 20_000


def list_all(records, position):
    return records.list_after(position, lambda program, at: True, lambda turn: True)


async def test_pages_list_each_record_once_and_then_later_ones(tmp_path, monkeypatch):
    monkeypatch.setattr("egretford.keeper.records.PAGE_RECORDS", 3)
    records = make_records(tmp_path, FakeClock())
    await records.write([make_turn(n) for n in range(7)])
    position, found, more = 0, [], True
    while more:
        page = list_all(records, position)
        found += page.turns
        position, more = page.position, page.more
    assert found == [f"t{n}" for n in range(7)]
    await records.write([Charge("p", "t1", 5)])
    page = list_all(records, position)
    assert page.charges == {"p": [Charge("p", "t1", 5)]} and not page.turns


async def test_only_selected_records_are_listed_and_all_are_scanned(tmp_path):
    records = make_records(tmp_path, FakeClock())
    await records.write([make_turn(1), Charge("p", "t1", 5), Charge("q", "t1", 5), make_turn(2)])
    page = records.list_after(
        0, lambda program, at: program == "q" and at == 3, lambda turn: turn.id == "t2"
    )
    assert page.charges == {"q": [Charge("q", "t1", 5)]}
    assert (page.turns, page.position, page.more) == (["t2"], 4, False)


# Guards against a kept turn that cannot be continued: an earlier turn of its chain expires at the
# keepers that were not asked for the chain when the turn ran.
async def test_a_chain_is_kept_as_long_as_its_newest_turn(tmp_path):
    clock = FakeClock()
    records = make_records(tmp_path, clock)
    await records.write([make_turn(1)])
    clock.time = 50.0
    await records.write([make_turn(2, "t1")])
    clock.time = 100.0
    await records.expire()
    chain, missing = records.read_chain("t2")
    assert [turn.id for turn in chain] == ["t1", "t2"] and missing is None


# Guards against earlier turns of a chain that expire before its newest one: the time for which
# turns are kept was raised in between.
async def test_a_chain_takes_the_retention_of_its_newest_turn(tmp_path):
    clock = FakeClock()
    records = make_records(tmp_path, clock)
    await records.write([make_turn(1)])
    await records.write([evolve(make_turn(2, "t1"), retention=120.0)])
    clock.time = 120.0
    await records.expire()
    assert records.read_chain("t2")[1] is None


def list_renewed(records, position=0):
    page = records.list_renewals(position, lambda turn: True)
    return dict(page.turns), dict(page.broken_chains), page.position


# Guards against turns that expire at another keeper though their program goes on: it is told
# neither of the turns that both hold nor of those that only it holds.
async def test_a_new_turn_lists_what_it_continues_as_renewed(tmp_path):
    clock = FakeClock()
    records = make_records(tmp_path, clock)
    life = 60.0 + RETENTION_MARGIN_SECONDS
    await records.write([make_turn(2, "t1")])
    assert list_renewed(records)[:2] == ({}, {"t1": life})
    clock.time = 30.0
    await records.write([make_turn(3, "t2")])
    turns, broken_chains, position = list_renewed(records)
    assert (turns, broken_chains) == ({"t2": life}, {"t1": life})
    clock.time = 31.0
    await records.write([make_turn(4, "t3")])
    assert list_renewed(records, position)[:2] == ({}, {})
    clock.time = 40.0
    records.renew_chain("t4")
    assert list_renewed(records, position)[0] == dict.fromkeys(("t2", "t3", "t4"), life)
    clock.time = 40.0 + life
    await records.expire()
    assert records.counts["renewals"] == 0


# Guards against turns that expire at other keepers after this one was restarted: it can not know
# whether they have learnt of the renewals before.
async def test_the_first_renewal_after_a_restart_is_listed(tmp_path):
    clock = FakeClock()
    await make_records(tmp_path, clock).write([make_turn(1)])
    reloaded = make_records(tmp_path, clock)
    assert list_renewed(reloaded)[:2] == ({}, {})
    reloaded.renew_chain("t1")
    assert list(list_renewed(reloaded)[0]) == ["t1"]


# Guards against a renewal that ends at the second gap of a chain: the keeper that has the part
# between two gaps is the only one to know where it ends.
async def test_a_renewal_by_another_keeper_is_passed_on_at_the_next_gap(tmp_path):
    clock = FakeClock()
    records = make_records(tmp_path, clock)
    await records.write([make_turn(3, "t2"), make_turn(4, "t3")])
    position = list_renewed(records)[2]
    clock.time = 50.0
    records.extend_chain("t4", 80.0)
    assert list_renewed(records, position)[1] == {"t2": 80.0}
    clock.time = 100.0
    await records.expire()
    assert [turn.id for turn in records.read_chain("t4")[0]] == ["t3", "t4"]


def make_attempt(request, version="v1", settled=False):
    return Charge("s", request, 0, settled, StreamOrigin(0, "models", version))


# Guards against attempts that are over, and decide where a stream is resumed.
async def test_attempts_are_listed_with_the_age_of_their_first_record(tmp_path):
    clock = FakeClock()
    records = make_records(tmp_path, clock)
    await records.write([make_attempt("a")])
    clock.time = 3.0
    await records.write([make_attempt("b", "v2"), make_attempt("a", settled=True)])
    clock.time = 4.0
    listed, ages, more = records.list_attempts("s", 4.0)
    assert listed == [make_attempt("b", "v2"), make_attempt("a", settled=True)]
    assert (ages, more) == ([1.0, 4.0], False)
    assert records.list_attempts("s", 3.9)[0] == [make_attempt("b", "v2")]
    assert records.list_attempts("other", 4.0) == ([], [], False)


# Guards against an attempt whose record seems old because its keeper was restarted.
async def test_attempts_are_new_after_a_restart(tmp_path):
    clock = FakeClock()
    await make_records(tmp_path, clock).write([make_attempt("a")])
    clock.time = 50.0
    assert make_records(tmp_path, clock).list_attempts("s", 1.0) == (
        [make_attempt("a")],
        [0.0],
        False,
    )


# Guards against memory, replies and disks that grow with attempts at streams of equal content.
async def test_attempts_at_equal_streams_stay_bounded(tmp_path):
    clock = FakeClock()
    records = make_records(tmp_path, clock)
    for number in range(1_000):
        clock.time = number * 1.0
        await records.write([make_attempt(f"a{number}")])
        await records.expire()
        assert len(records.list_charges("s")) <= ORIGIN_RETENTION_SECONDS
    listed, _, more = records.list_attempts("s", 20.0)
    assert (len(listed), more) == (21, False)
    for number in range(100):
        await records.write([make_attempt(f"b{number}")])
    listed, _, more = records.list_attempts("s", 20.0)
    assert len(listed) == MAX_LISTED_ATTEMPTS and more
    assert listed[0] == make_attempt("b99")

"""Requests that crash several workers are blocked."""

from hypothesis import given
from hypothesis import strategies as st

from egretford.policy.crashes import (
    CRASH_RETENTION_SECONDS,
    Clearance,
    Crash,
    CrashReport,
    CrashTable,
    make_fingerprint,
)

FINGERPRINT = make_fingerprint(b"/a", "10.0.0.1", b"body")


def add_crashes(table, *workers):
    for worker in workers:
        table.add(Crash(FINGERPRINT, worker), 0.0)


def test_a_request_is_blocked_after_three_workers():
    table = CrashTable()
    add_crashes(table, "w1", "w2", "w2", "w1")
    assert not table.blocks(FINGERPRINT, 1.0)
    add_crashes(table, "w3")
    assert table.blocks(FINGERPRINT, 1.0)
    assert not table.blocks(make_fingerprint(b"/a", "10.0.0.2", b"body"), 1.0)


def test_a_success_clears_the_crashes_and_so_does_time():
    table = CrashTable()
    add_crashes(table, "w1", "w2", "w3")
    assert not table.blocks(FINGERPRINT, CRASH_RETENTION_SECONDS + 1)
    add_crashes(table, "w1", "w2", "w3")
    table.record_success(FINGERPRINT, 0.5)
    assert not table.blocks(FINGERPRINT, 1.0)


def test_crashes_that_others_saw_count():
    table, other = CrashTable(), CrashTable()
    add_crashes(table, "w1")
    add_crashes(other, "w2", "w3")
    table.merge(other.list_recent(0.0), 0.0)
    assert table.blocks(FINGERPRINT, 0.0)


def report(worker, age):
    return CrashReport(Crash(FINGERPRINT, worker), age)


# Guards against blocks that entries and keepers renew for each other for ever.
def test_reports_that_go_round_do_not_make_a_crash_younger():
    table, other = CrashTable(), CrashTable()
    add_crashes(table, "w1", "w2", "w3")
    for now in range(0, 200, 10):
        other.merge_reports(table.list_reports(now), table.list_clearances(now), now)
        table.merge_reports(other.list_reports(now), other.list_clearances(now), now)
    assert not other.list_reports(200.0) and not table.list_reports(200.0)


# Guards against requests that stay blocked at other entries after a worker has run one.
def test_a_success_clears_what_others_reported_before_it():
    table, other = CrashTable(), CrashTable()
    for each in (table, other):
        add_crashes(each, "w1", "w2", "w3")
    assert table.record_success(FINGERPRINT, 5.0)
    other.merge_reports(table.list_reports(6.0), table.list_clearances(6.0), 6.0)
    assert not other.blocks(FINGERPRINT, 6.0)
    # A keeper that does not know of the success yet.
    other.merge_reports([report("w1", 6.0), report("w2", 6.0), report("w3", 6.0)], (), 6.0)
    assert not other.blocks(FINGERPRINT, 6.0)
    # Crashes after it count.
    other.merge_reports([report("w1", 0.0), report("w4", 0.0), report("w5", 0.0)], (), 7.0)
    assert other.blocks(FINGERPRINT, 7.0)


# A process crashes once, so all reports of it have the same time.
AGES = {"w1": 30.0, "w2": 50.0, "w3": 70.0}
ITEMS = st.one_of(
    st.sampled_from([report(worker, age) for worker, age in AGES.items()]),
    st.builds(Clearance, st.just(FINGERPRINT), st.floats(0.0, 100.0)),
)


# Guards against entries that disagree on a block for good, as reports reached them in other orders.
@given(st.lists(ITEMS, max_size=8), st.randoms())
def test_reports_may_arrive_in_any_order(items, rng):
    def merge(order):
        table = CrashTable()
        for item in order:
            is_report = isinstance(item, CrashReport)
            table.merge_reports([item] * is_report, [item] * (not is_report), 100.0)
        return {(r.crash.worker, r.age) for r in table.list_reports(100.0)}

    shuffled = list(items)
    rng.shuffle(shuffled)
    assert merge(items) == merge(shuffled)


# Guards against turns that are blocked as turns of other programs crashed workers, because people
# often send the same new input.
def test_turns_of_other_programs_or_after_other_turns_have_other_fingerprints():
    turns = {make_fingerprint(b"/a", "c", b"go on", h) for h in ("p t1", "p t2", "q t1", "")}
    assert len(turns) == 4


# Guards against an entry that blocks all requests of a family, one of which another entry has
# served before.
def test_a_success_before_the_crashes_speaks_for_a_family():
    table, other = CrashTable(), CrashTable()
    bodies = [b"prompt " * 100 + tail for tail in (b"a", b"b", b"c", b"d")]
    deadly, *more, sound = [make_fingerprint(b"/a", "h", body) for body in bodies]
    other.record_success(sound, 1.0)
    for worker, fingerprint in (("w1", deadly), ("w2", deadly), ("w3", more[0])):
        table.add(Crash(fingerprint, worker), 2.0)
    assert table.blocks(more[1], 2.0)
    assert other.merge_reports(table.list_reports(3.0), (), 3.0) == {sound}
    assert not other.blocks(more[1], 3.0)
    table.merge_reports((), other.list_clearances(4.0), 4.0)
    assert not table.blocks(more[1], 4.0)
    table.add(Crash(deadly, "w4"), 5.0)
    assert table.blocks(deadly, 5.0) and not table.blocks(more[0], 5.0)


# Guards against requests that are blocked as they were, with a deadly one, on each worker that this
# one crashed: a retry meets it again and again where few workers are left.
def test_a_request_that_was_there_at_fewer_crashes_is_not_blocked():
    table = CrashTable()
    deadly, innocent, other, equal = (
        make_fingerprint(target, "h", b"") for target in (b"/d", b"/i", b"/o", b"/e")
    )
    for worker in ("w1", "w2", "w3", "w4"):
        table.add(Crash(deadly, worker), 0.0)
    for worker in ("w1", "w2", "w3"):
        table.add(Crash(innocent, worker), 0.0)
    # What the deadly one does not explain counts, and so does one that explains as much.
    for worker in ("w5", "w6", "w7", "w8"):
        table.add(Crash(other, worker), 0.0)
    for worker in ("w1", "w2", "w3", "w4"):
        table.add(Crash(equal, worker), 0.0)
    blocked = {f for f in (deadly, innocent, other, equal) if table.blocks(f, 1.0)}
    assert blocked == {deadly, other, equal}
    # It counts by itself again once the deadly one has turned out to be sound.
    table.record_success(deadly, 2.0)
    table.record_success(equal, 2.0)
    assert table.blocks(innocent, 3.0)


# Guards against a request that crashes three more workers each time that its block has lapsed.
def test_a_request_whose_block_lapsed_is_blocked_again_after_one_crash():
    table = CrashTable()
    add_crashes(table, "w1", "w2", "w3")
    later = CRASH_RETENTION_SECONDS + 1
    assert not table.blocks(FINGERPRINT, later)
    table.add(Crash(FINGERPRINT, "w4"), later)
    assert table.blocks(FINGERPRINT, later)
    assert not table.blocks(make_fingerprint(b"/a", "10.0.0.1", b"other"), later)
    # It may run again if that turns out to be wrong, and then counts as any other.
    table.record_success(FINGERPRINT, later + 1)
    table.add(Crash(FINGERPRINT, "w5"), later + 2)
    assert not table.blocks(FINGERPRINT, later + 2)


# Guards against a process that lost several connections at once, and then ended, that counts as
# several: its request was refused as one that had crashed three workers.
def test_a_process_that_lost_connections_at_once_crashed_once():
    table = CrashTable()
    for opened_at in (0.0, 0.002, 0.004):
        name = table.tell_apart("w1/7", opened_at)
        table.add(Crash(FINGERPRINT, name), opened_at + 0.001)
    assert {crash.worker for crash in table.list_recent(1.0)} == {"w1/7"}
    assert table.tell_apart("w1/7", 1.0) == "w1/7+1"


# Guards against a request that goes on crashing workers: sound requests that begin alike and were
# there by chance took the place of its crashes.
def test_requests_that_begin_alike_do_not_replace_the_one_that_crashes_workers():
    table = CrashTable()
    begin = b"x" * 300
    sound = (make_fingerprint(b"/a", "10.0.0.1", begin + b"%d" % n) for n in range(1_000))
    culprit = make_fingerprint(b"/a", "10.0.0.1", begin + b"deadly")
    for number in range(3):
        now = float(number)
        table.record_success(next(sound), now)
        assert not table.blocks(culprit, now)
        table.add(Crash(culprit, f"w{number}"), now)
        for _ in range(11):
            table.add(Crash(next(sound), f"w{number}"), now)
        for _ in range(30):
            table.add(Crash(next(sound), f"other {number}"), now)
    assert table.blocks(culprit, 3.0)
    assert not table.blocks(next(sound), 3.0)

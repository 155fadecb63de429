"""Requests that crash several workers are blocked."""

from egretford.policy.crashes import CRASH_RETENTION_SECONDS, Crash, CrashTable, make_fingerprint

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
    table.record_success(FINGERPRINT)
    assert not table.blocks(FINGERPRINT, 1.0)


def test_crashes_that_others_saw_count():
    table, other = CrashTable(), CrashTable()
    add_crashes(table, "w1")
    add_crashes(other, "w2", "w3")
    table.merge(other.list_recent(0.0), 0.0)
    assert table.blocks(FINGERPRINT, 0.0)

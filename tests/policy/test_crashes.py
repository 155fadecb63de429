"""Requests that crash several workers are blocked."""

from egretford.policy.crashes import CRASH_RETENTION_SECONDS, Crash, CrashTable, make_fingerprint

FINGERPRINT = make_fingerprint(b"/a", "10.0.0.1", b"body")


def note_all(table, *workers):
    for worker in workers:
        table.note(Crash(FINGERPRINT, worker), 0.0)


def test_a_request_is_blocked_after_three_workers():
    table = CrashTable()
    note_all(table, "w1", "w2", "w2", "w1")
    assert not table.blocks(FINGERPRINT, 1.0)
    note_all(table, "w3")
    assert table.blocks(FINGERPRINT, 1.0)
    assert not table.blocks(make_fingerprint(b"/a", "10.0.0.2", b"body"), 1.0)


def test_a_success_clears_the_crashes_and_so_does_time():
    table = CrashTable()
    note_all(table, "w1", "w2", "w3")
    assert not table.blocks(FINGERPRINT, CRASH_RETENTION_SECONDS + 1)
    note_all(table, "w1", "w2", "w3")
    table.note_success(FINGERPRINT)
    assert not table.blocks(FINGERPRINT, 1.0)


def test_crashes_that_others_saw_count():
    table, other = CrashTable(), CrashTable()
    note_all(table, "w1")
    note_all(other, "w2", "w3")
    table.learn(other.list_recent(0.0), 0.0)
    assert table.blocks(FINGERPRINT, 0.0)

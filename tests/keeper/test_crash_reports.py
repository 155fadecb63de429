"""What a keeper knows of crashes, stored for its next process."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

import pytest
from attrs import define

from egretford.keeper.crash_reports import CrashArchive, StoredCrashes
from egretford.keeper.log import DiskError
from egretford.keeper.state_file import StateFile
from egretford.policy.crashes import CRASH_RETENTION_SECONDS, Crash, CrashTable, make_fingerprint
from tests.platform.standins import NullLog

FINGERPRINT = make_fingerprint(b"/a", "10.0.0.1", b"body")


@define
class FakeClock:
    """Its monotonic time is another one after each start of the machine."""

    seconds: float = 0.0
    started_at: float = -1000.0

    def now(self):
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=self.seconds)

    def monotonic(self):
        return self.seconds - self.started_at


def make_archive(folder, clock):
    table = CrashTable()
    store = StateFile(folder / "crashes", StoredCrashes(), NullLog())
    return table, CrashArchive(table, store, clock, NullLog())


async def store_block(folder, clock):
    table, archive = make_archive(folder, clock)
    for worker in ("w1", "w2", "w3"):
        table.add(Crash(FINGERPRINT, worker), clock.monotonic())
    await archive.save()


# Guards against a blocked request that crashes workers again after all processes were ended.
async def test_a_block_outlasts_the_process_and_ends_in_time(tmp_path):
    clock = FakeClock()
    await store_block(tmp_path, clock)
    clock.seconds += 60.0
    clock.started_at = 50.0
    table, archive = make_archive(tmp_path, clock)
    archive.load()
    assert table.blocks(FINGERPRINT, clock.monotonic())
    left = CRASH_RETENTION_SECONDS - 60.0
    assert table.blocks(FINGERPRINT, clock.monotonic() + left - 1.0)
    assert not table.blocks(FINGERPRINT, clock.monotonic() + left + 1.0)


async def test_a_success_outlasts_the_process(tmp_path):
    clock = FakeClock()
    await store_block(tmp_path, clock)
    table, archive = make_archive(tmp_path, clock)
    archive.load()
    table.record_success(FINGERPRINT, clock.monotonic())
    await archive.save()
    table, archive = make_archive(tmp_path, clock)
    archive.load()
    assert not table.blocks(FINGERPRINT, clock.monotonic())


@pytest.mark.parametrize("data", [b"", b"\x81", b"\xc0", b"\x93\x01\x02\x03"])
def test_a_torn_file_counts_as_none(tmp_path, data):
    (tmp_path / "crashes").write_bytes(data)
    table, archive = make_archive(tmp_path, FakeClock())
    archive.load()
    assert table.position == 0 and not table.blocks(FINGERPRINT, 0.0)


class FailingStore:
    """Refuses to write at first, and counts what it writes after that."""

    def __init__(self):
        self.failures, self.written = 2, 0

    def load(self):
        return StoredCrashes()

    async def store(self, crashes):
        if self.failures:
            self.failures -= 1
            raise DiskError("disk full")
        self.written += 1


async def test_crashes_are_stored_once_and_until_that_succeeds():
    store, table = FailingStore(), CrashTable()
    archive = CrashArchive(table, store, FakeClock(), NullLog())
    await archive.save()
    assert store.failures == 2
    table.add(Crash(FINGERPRINT, "w1"), 0.0)
    for _ in range(5):
        await archive.save()
    assert (store.failures, store.written) == (0, 1)

"""The log on disk: synced records are read back after a power failure, restart or failed write."""

from __future__ import annotations

import asyncio
import os

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretford.keeper.log import (
    DiskError,
    DiskLog,
    DurableMarker,
    encode_frame,
    read_frames,
    write_file_durably,
)
from tests.platform.standins import NullLog

records = st.lists(st.binary(min_size=1, max_size=200), max_size=8)


@given(records, records, st.data())
def test_torn_and_missing_writes_never_hide_what_was_synced(synced, unsynced, data):
    synced_bytes = b"".join(encode_frame(record) for record in synced)
    unsynced_bytes = bytearray(b"".join(encode_frame(record) for record in unsynced))
    # After a power failure, any byte written since the last sync may be intact, zero or cut off.
    for offset in data.draw(st.sets(st.integers(0, max(0, len(unsynced_bytes) - 1)), max_size=20)):
        if offset < len(unsynced_bytes):
            unsynced_bytes[offset] = 0
    cut = data.draw(st.integers(0, len(unsynced_bytes)))
    found = list(read_frames(synced_bytes + bytes(unsynced_bytes[:cut])))
    assert found[: len(synced)] == synced
    assert all(record in unsynced for record in found[len(synced) :])


def open_log(folder):
    log = DiskLog(folder, NullLog())
    return log, [record for _, record in log.open()]


async def test_a_restart_reads_all_and_appends_to_a_new_segment(tmp_path):
    log, _ = open_log(tmp_path)
    await log.append([b"one", b"two"])
    await log.close()
    (segment,) = tmp_path.glob("*.log")
    segment.write_bytes(segment.read_bytes() + b"torn tail")
    log, found = open_log(tmp_path)
    assert found == [b"one", b"two"]
    await log.append([b"three"])
    await log.close()
    assert open_log(tmp_path)[1] == [b"one", b"two", b"three"]


async def test_a_failed_write_is_reported_and_the_next_one_succeeds(tmp_path, monkeypatch):
    log, _ = open_log(tmp_path)
    await log.append([b"one"])
    sync = os.fdatasync

    def fail(descriptor):
        raise OSError(5, "Input/output error")

    monkeypatch.setattr(os, "fdatasync", fail)
    with pytest.raises(DiskError):
        await log.append([b"lost"])
    monkeypatch.setattr(os, "fdatasync", sync)
    await log.append([b"two"])
    await log.close()
    found = open_log(tmp_path)[1]
    assert found[0] == b"one" and found[-1] == b"two"


async def test_writes_beyond_the_bound_are_refused(tmp_path, monkeypatch):
    monkeypatch.setattr("egretford.keeper.log.MAX_PENDING_BYTES", 100)
    log, _ = open_log(tmp_path)
    with pytest.raises(DiskError):
        await log.append([b"x" * 200])


async def test_a_marker_and_a_small_file_survive(tmp_path):
    marker = DurableMarker(tmp_path / "ready")
    await marker.set()
    assert DurableMarker(tmp_path / "ready").is_set()
    await marker.clear()
    assert not DurableMarker(tmp_path / "ready").is_set()
    write_file_durably(tmp_path / "view", b"1")
    write_file_durably(tmp_path / "view", b"2")
    assert (tmp_path / "view").read_bytes() == b"2"


# Guards against a file that is cut short and replaces a whole one, as a write took only a part.
def test_a_small_file_is_written_whole_by_short_writes(tmp_path, monkeypatch):
    write = os.write
    monkeypatch.setattr(os, "write", lambda descriptor, data: write(descriptor, data[:3]))
    write_file_durably(tmp_path / "view", b"0123456789")
    assert (tmp_path / "view").read_bytes() == b"0123456789"


# Guards against turns that wait for ever, as an unexpected error ended the task that writes.
async def test_an_unexpected_error_fails_its_writes_and_no_later_ones(tmp_path, monkeypatch):
    log, _ = open_log(tmp_path)
    sync = os.fdatasync

    def fail_once(descriptor):
        monkeypatch.setattr(os, "fdatasync", sync)
        raise ValueError("unexpected")

    monkeypatch.setattr(os, "fdatasync", fail_once)
    async with asyncio.timeout(2.0):
        with pytest.raises(DiskError):
            await log.append([b"one"])
        await log.append([b"two"])
    await log.close()
    assert b"two" in open_log(tmp_path)[1]

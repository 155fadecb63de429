"""An append-only log on disk, in segments, with group commit.

A frame is the record's length, a checksum and the record. After a power failure a segment may
end in missing or torn frames; none of them was acknowledged, so reading stops at the first one.
After a restart or a failed write, records are appended to a new segment.
"""

from __future__ import annotations

import asyncio
import os
import struct
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import xxhash
from attrs import Factory, define

from egretford.errors import EgretfordError

FRAME_HEADER = struct.Struct("<IQ")
# A larger length means a corrupt frame: the size of a turn is bounded by the limit on requests.
MAX_FRAME_BYTES = 64_000_000
SEGMENT_BYTES = 4_000_000
# Limit on frames waiting to be written. Further writes are refused, so that a slow disk does not
# exhaust memory.
MAX_PENDING_BYTES = 16_000_000
SUFFIX = ".log"


class DiskError(EgretfordError):
    """A write failed; the record may still be found on disk after a restart."""


@define
class Segment:
    """One file of the log; `size` in bytes."""

    number: int
    size: int = 0


@define
class _Pending:
    frames: bytes
    written: asyncio.Future[int]


@define
class DiskLog:
    """The log of one keeper; file operations run in a dedicated thread."""

    folder: Path
    log: Any
    segments: list[Segment] = Factory(list)
    _file_descriptor: int | None = None
    _pending: list[_Pending] = Factory(list)
    _pending_bytes: int = 0
    _write_task: asyncio.Task[None] | None = None
    _loop: asyncio.AbstractEventLoop | None = None
    _executor: ThreadPoolExecutor = Factory(lambda: ThreadPoolExecutor(1, "disk"))

    def open(self) -> Iterator[tuple[int, bytes]]:
        """Yield all records as (segment number, record); call once, before appending."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for path in sorted(self.folder.glob(f"*{SUFFIX}")):
            segment = Segment(int(path.stem), path.stat().st_size)
            self.segments.append(segment)
            for record in read_frames(path.read_bytes()):
                yield segment.number, record

    async def append(self, records: list[bytes]) -> int:
        """Write and sync records; returns their segment's number, or raises DiskError."""
        frames = b"".join(encode_frame(record) for record in records)
        if self._pending_bytes + len(frames) > MAX_PENDING_BYTES:
            raise DiskError(f"over {MAX_PENDING_BYTES} bytes wait for the disk")
        if self._loop is None:
            self._loop = asyncio.get_running_loop()
        pending = _Pending(frames, self._loop.create_future())
        self._pending.append(pending)
        self._pending_bytes += len(frames)
        if self._write_task is None:
            self._write_task = self._loop.create_task(self._write_pending())
        return await pending.written

    async def _write_pending(self) -> None:
        while self._pending:
            batch, self._pending = self._pending, []
            data = b"".join(pending.frames for pending in batch)
            try:
                number = await self._loop.run_in_executor(self._executor, self._write, data)
            except Exception as error:
                # Whatever the error, callers must not wait for this batch, nor later ones for it.
                self.log.error("disk write failed", error=repr(error), records=len(batch))
                self._resolve(batch, error)
            else:
                self._resolve(batch, number)
            self._pending_bytes -= len(data)
        self._write_task = None

    def _resolve(self, batch: list[_Pending], result: int | Exception) -> None:
        for pending in batch:
            if pending.written.done():
                continue
            if isinstance(result, Exception):
                pending.written.set_exception(DiskError(repr(result)))
            else:
                pending.written.set_result(result)

    def _write(self, data: bytes) -> int:
        """Append and sync; after a failure the next write opens a new segment."""
        try:
            if self._file_descriptor is None or self.segments[-1].size >= SEGMENT_BYTES:
                self._open_segment()
            write_all(self._file_descriptor, data)
            os.fdatasync(self._file_descriptor)
        except Exception:
            self._close_segment()
            raise
        self.segments[-1].size += len(data)
        return self.segments[-1].number

    def _open_segment(self) -> None:
        self._close_segment()
        number = self.segments[-1].number + 1 if self.segments else 1
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
        path = self._path(number)
        if path.exists():
            path.unlink()
        self._file_descriptor = os.open(path, flags, 0o644)
        self.segments.append(Segment(number))
        os.fsync(self._file_descriptor)
        sync_folder(self.folder)

    def _close_segment(self) -> None:
        if self._file_descriptor is not None:
            os.close(self._file_descriptor)
            self._file_descriptor = None

    def _path(self, number: int) -> Path:
        return self.folder / f"{number:012d}{SUFFIX}"

    async def roll(self) -> None:
        """Close the current segment; the next write opens a new one."""
        await asyncio.get_running_loop().run_in_executor(self._executor, self._close_segment)

    async def remove(self, number: int) -> None:
        """Delete a segment; its records must have expired or been rewritten."""
        await asyncio.get_running_loop().run_in_executor(self._executor, self._remove, number)

    def _remove(self, number: int) -> None:
        self._path(number).unlink(missing_ok=True)
        sync_folder(self.folder)
        self.segments = [segment for segment in self.segments if segment.number != number]

    async def close(self) -> None:
        """Finish pending writes and close the segment."""
        if self._write_task is not None:
            await self._write_task
        await self.roll()
        self._executor.shutdown(wait=False)


def encode_frame(record: bytes) -> bytes:
    """Return a record with its length and checksum in front."""
    return FRAME_HEADER.pack(len(record), xxhash.xxh64_intdigest(record)) + record


def read_frames(data: bytes) -> Iterator[bytes]:
    """Yield the records of a segment, up to the first torn or corrupt frame."""
    offset = 0
    while offset + FRAME_HEADER.size <= len(data):
        size, checksum = FRAME_HEADER.unpack_from(data, offset)
        offset += FRAME_HEADER.size
        record = data[offset : offset + size]
        is_complete = 0 < size <= MAX_FRAME_BYTES and len(record) == size
        if not is_complete or xxhash.xxh64_intdigest(record) != checksum:
            return
        yield record
        offset += size


def sync_folder(folder: Path) -> None:
    """Sync a directory, so that created, renamed and removed files in it are durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes, in as many writes as it takes; raises OSError."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def write_file_durably(path: Path, data: bytes) -> None:
    """Replace a small file atomically; on failure the previous content stays."""
    temporary = path.with_suffix(".new")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
    try:
        write_all(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.rename(temporary, path)
    sync_folder(path.parent)


class DurableMarker:
    """A flag that survives restarts, stored as the presence of a file."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._is_set = path.exists()

    def is_set(self) -> bool:
        """Whether the flag is set, also after a restart."""
        return self._is_set

    async def set(self) -> None:
        """Create the file and sync it; raises DiskError."""
        await self._change(lambda: write_file_durably(self._path, b"1"))
        self._is_set = True

    async def clear(self) -> None:
        """Remove the file and sync the directory; raises DiskError."""
        if self._is_set:
            await self._change(lambda: remove_file_durably(self._path))
            self._is_set = False

    async def _change(self, change: Callable[[], None]) -> None:
        try:
            await asyncio.to_thread(change)
        except OSError as error:
            raise DiskError(repr(error)) from error


def remove_file_durably(path: Path) -> None:
    """Remove a file if it exists, and sync its directory."""
    path.unlink(missing_ok=True)
    sync_folder(path.parent)

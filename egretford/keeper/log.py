"""An append-only log on disk, in segments, with group commit.

A frame is its length, a checksum and the record. After a loss of power a segment may end in
frames that are missing or torn; none of them was acknowledged, so reading stops at the first
one. A segment is never appended to again after a restart or a failed write.
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

FRAME_HEAD = struct.Struct("<IQ")
# A frame beyond this is not one; a turn's text is bounded by what callers may send.
MAX_FRAME_BYTES = 64_000_000
SEGMENT_BYTES = 4_000_000
# Frames that wait for the disk; beyond it the keeper refuses, so that a slow disk fills no memory.
MAX_PENDING_BYTES = 16_000_000
SUFFIX = ".log"


class DiskError(EgretfordError):
    """The disk did not take a record; it may be there after a restart all the same."""


@define
class Segment:
    """One file of the log."""

    number: int
    size: int = 0


@define
class _Pending:
    frame: bytes
    written: asyncio.Future[int]


@define
class DiskLog:
    """The log of one keeper; file operations run on a thread of their own."""

    folder: Path
    log: Any
    segments: list[Segment] = Factory(list)
    _file: int | None = None
    _pending: list[_Pending] = Factory(list)
    _pending_bytes: int = 0
    _writing: asyncio.Task[None] | None = None
    _executor: ThreadPoolExecutor = Factory(lambda: ThreadPoolExecutor(1, "disk"))

    def open(self) -> Iterator[tuple[int, bytes]]:
        """Read all records, as (segment number, record); call once, before appending."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for path in sorted(self.folder.glob(f"*{SUFFIX}")):
            segment = Segment(int(path.stem), path.stat().st_size)
            self.segments.append(segment)
            for record in read_frames(path.read_bytes()):
                yield segment.number, record

    async def append(self, records: list[bytes]) -> int:
        """Write and sync records; returns their segment's number, raises DiskError."""
        frame = b"".join(encode_frame(record) for record in records)
        if self._pending_bytes + len(frame) > MAX_PENDING_BYTES:
            raise DiskError(f"over {MAX_PENDING_BYTES} bytes wait for the disk")
        entry = _Pending(frame, asyncio.get_running_loop().create_future())
        self._pending.append(entry)
        self._pending_bytes += len(frame)
        if self._writing is None:
            self._writing = asyncio.create_task(self._write_pending())
        return await entry.written

    async def _write_pending(self) -> None:
        loop = asyncio.get_running_loop()
        while self._pending:
            batch, self._pending = self._pending, []
            data = b"".join(entry.frame for entry in batch)
            try:
                number = await loop.run_in_executor(self._executor, self._write, data)
            except OSError as error:
                self.log.error("the disk refused a write", error=repr(error), records=len(batch))
                self._settle(batch, error)
            else:
                self._settle(batch, number)
            self._pending_bytes -= len(data)
        self._writing = None

    def _settle(self, batch: list[_Pending], result: int | OSError) -> None:
        for entry in batch:
            if entry.written.done():
                continue
            if isinstance(result, OSError):
                entry.written.set_exception(DiskError(repr(result)))
            else:
                entry.written.set_result(result)

    def _write(self, data: bytes) -> int:
        """Append and sync; after a failure the next write begins a new segment."""
        try:
            if self._file is None or self.segments[-1].size >= SEGMENT_BYTES:
                self._begin_segment()
            view = memoryview(data)
            while view:
                view = view[os.write(self._file, view) :]
            os.fdatasync(self._file)
        except OSError:
            self._end_segment()
            raise
        self.segments[-1].size += len(data)
        return self.segments[-1].number

    def _begin_segment(self) -> None:
        self._end_segment()
        number = self.segments[-1].number + 1 if self.segments else 1
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
        path = self._path(number)
        if path.exists():
            path.unlink()
        self._file = os.open(path, flags, 0o644)
        self.segments.append(Segment(number))
        os.fsync(self._file)
        sync_folder(self.folder)

    def _end_segment(self) -> None:
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def _path(self, number: int) -> Path:
        return self.folder / f"{number:012d}{SUFFIX}"

    async def roll(self) -> None:
        """Begin a new segment with the next write."""
        await asyncio.get_running_loop().run_in_executor(self._executor, self._end_segment)

    async def remove(self, number: int) -> None:
        """Delete a segment whose records are all expired or written again."""
        await asyncio.get_running_loop().run_in_executor(self._executor, self._remove, number)

    def _remove(self, number: int) -> None:
        self._path(number).unlink(missing_ok=True)
        sync_folder(self.folder)
        self.segments = [segment for segment in self.segments if segment.number != number]

    async def close(self) -> None:
        """Finish what is being written, and close."""
        if self._writing is not None:
            await self._writing
        await self.roll()
        self._executor.shutdown(wait=False)


def encode_frame(record: bytes) -> bytes:
    """Return a record as a frame."""
    return FRAME_HEAD.pack(len(record), xxhash.xxh64_intdigest(record)) + record


def read_frames(data: bytes) -> Iterator[bytes]:
    """Yield the records of a segment, up to the first frame that is not whole."""
    at = 0
    while at + FRAME_HEAD.size <= len(data):
        size, checksum = FRAME_HEAD.unpack_from(data, at)
        at += FRAME_HEAD.size
        record = data[at : at + size]
        whole = 0 < size <= MAX_FRAME_BYTES and len(record) == size
        if not whole or xxhash.xxh64_intdigest(record) != checksum:
            return
        yield record
        at += size


def sync_folder(folder: Path) -> None:
    """Make created, renamed and removed names durable."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def write_file_durably(path: Path, data: bytes) -> None:
    """Replace a small file as a whole, or leave the former one."""
    draft = path.with_suffix(".new")
    handle = os.open(draft, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
    try:
        os.write(handle, data)
        os.fsync(handle)
    finally:
        os.close(handle)
    os.rename(draft, path)
    sync_folder(path.parent)


class DurableMarker:
    """A fact that survives restarts, as the presence of a file."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._is_set = path.exists()

    def is_set(self) -> bool:
        """Whether it was set since it was last cleared."""
        return self._is_set

    async def set(self) -> None:
        """Set it; raises DiskError."""
        await self._change(lambda: write_file_durably(self._path, b"1"))
        self._is_set = True

    async def clear(self) -> None:
        """Clear it; raises DiskError."""
        if self._is_set:
            await self._change(lambda: remove_file_durably(self._path))
            self._is_set = False

    async def _change(self, change: Callable[[], None]) -> None:
        try:
            await asyncio.to_thread(change)
        except OSError as error:
            raise DiskError(repr(error)) from error


def remove_file_durably(path: Path) -> None:
    """Remove a file, and make that last."""
    path.unlink(missing_ok=True)
    sync_folder(path.parent)

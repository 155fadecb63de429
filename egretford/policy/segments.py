"""Bookkeeping of journal segments: packs records into segments, and finds deletable segments.

Compaction starts at the oldest segments: the live trees that begin there are appended again. Once
that is durable, all segments older than the first record of any live tree are deleted.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from attrs import Factory, define

from egretford.codec import encode_bytes
from egretford.policy.records import Record

MAX_SEGMENT_BYTES = 900_000
# Compaction begins above this many segments per live tree, plus the spare segments.
SEGMENTS_PER_TREE = 3
# Live trees that are appended again in one round of compaction.
TREES_PER_COMPACTION = 64


def measure_record(record: Record) -> int:
    """Return the encoded size of a record in bytes."""
    return len(encode_bytes(record, Record))


def pack_records(records: Iterable[Record], limit: int = MAX_SEGMENT_BYTES) -> Iterator[list]:
    """Split records, in order, into lists that each fit one segment of `limit` bytes."""
    chunk: list[Record] = []
    size = 0
    for record in records:
        length = measure_record(record)
        if chunk and size + length > limit:
            yield chunk
            chunk, size = [], 0
        chunk.append(record)
        size += length
    if chunk:
        yield chunk


@define
class SegmentIndex:
    """Sizes in bytes of the stored segments, and the first segment that each tree needs."""

    spare_segments: int = 64
    sizes: dict[int, int] = Factory(dict)
    first_needed: dict[str, int] = Factory(dict)

    def add(self, number: int, size: int, roots: Iterable[str]) -> None:
        """Add a durable segment and the roots of the trees that have records in it."""
        self.sizes[number] = size
        for root in roots:
            self.first_needed.setdefault(root, number)

    def move(self, root: str, number: int) -> None:
        """Record that all records of a tree are in segment `number` and later ones."""
        if root in self.first_needed:
            self.first_needed[root] = number

    def forget(self, root: str) -> None:
        """Record that a tree needs no segment any more."""
        self.first_needed.pop(root, None)

    def list_deletable(self) -> list[int]:
        """Return the segments older than all that live trees need, oldest first.

        The newest segment is never deletable.
        """
        newest = max(self.sizes, default=0)
        keep_from = min(self.first_needed.values(), default=newest)
        return sorted(number for number in self.sizes if number < min(keep_from, newest))

    def record_deleted(self, number: int) -> None:
        """Remove a segment that was deleted from the store."""
        self.sizes.pop(number, None)

    def list_for_compaction(self) -> list[str]:
        """Return the trees that need the oldest segments, if there are too many segments."""
        if len(self.sizes) <= self._allowed_segments():
            return []
        ordered = sorted(self.first_needed, key=self.first_needed.__getitem__)
        return ordered[:TREES_PER_COMPACTION]

    def _allowed_segments(self) -> int:
        return self.spare_segments + SEGMENTS_PER_TREE * len(self.first_needed)

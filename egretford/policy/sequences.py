"""Checks that the events of a stream are numbered without gaps, over all of its runs."""

from __future__ import annotations

from attrs import define


@define
class EventSequence:
    """The numbers of the events that a caller has of a stream.

    Workers number the events of a stream from 1 up by one, and go on there after a resumption.
    `last` is the number of the newest event, 0 before the first.
    """

    last: int = 0

    def find_fault(self, number: int | None) -> str | None:
        """Return why an event cannot follow, None if it can; `number` is None if it has no id."""
        if number is None:
            return f"an event without an id, after {self.last}"
        if number <= self.last:
            return f"event {number} repeats, after {self.last}"
        if number != self.last + 1:
            return f"events are missing between {self.last} and {number}"
        return None

    def add(self, number: int) -> None:
        """Record an event that the caller gets."""
        self.last = number

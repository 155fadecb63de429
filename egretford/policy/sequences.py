"""Checks the numbers of a stream's events where one worker's run follows another's."""

from __future__ import annotations

from attrs import define


@define
class EventSequence:
    """The numbers of the events that a caller has of a stream.

    `last` is the number of the newest one, None before the first. Within one run, numbers may have
    gaps, as a connection loses none of its bytes. A run that follows another one must begin at the
    next number, unless earlier events show that the numbers of this stream have gaps.
    """

    last: int | None = None
    _has_gaps: bool = False
    _is_run_start: bool = True

    def start_run(self) -> None:
        """Begin the events of another response."""
        self._is_run_start = True

    def find_fault(self, number: int | None) -> str | None:
        """Return why an event cannot follow, None if it can; `number` is None if it has no id."""
        if self.last is None:
            return None
        if number is None:
            return "an event without an id follows another run" if self._is_run_start else None
        if number <= self.last:
            return f"event {number} repeats, after {self.last}"
        if self._is_run_start and not self._has_gaps and number != self.last + 1:
            return f"events are missing between {self.last} and {number}"
        return None

    def add(self, number: int | None) -> None:
        """Record an event that the caller gets."""
        if number is not None and self.last is not None and number > self.last + 1:
            self._has_gaps = True
        self.last = self.last if number is None else number
        self._is_run_start = False

"""Events of a stream (text/event-stream), split but passed on byte for byte."""

from __future__ import annotations

from attrs import define, frozen

from egretford.errors import EgretfordError

# An event beyond this is not one; workers send some hundred bytes.
MAX_EVENT_BYTES = 1_048_576


class EventError(EgretfordError):
    """The stream holds what is no event, or events in the wrong order."""


@frozen
class StreamEvent:
    """One event: its bytes as received, its number, and its data."""

    raw: bytes
    number: int | None
    data: bytes


@define
class EventSplitter:
    """Cuts a byte stream into whole events."""

    _rest: bytes = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that `data` completes; raises EventError."""
        self._rest += data
        events = []
        while (end := self._find_end()) is not None:
            raw, self._rest = self._rest[:end], self._rest[end:]
            events.append(parse_event(raw))
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    def _find_end(self) -> int | None:
        ends = []
        for mark in (b"\n\n", b"\r\n\r\n"):
            at = self._rest.find(mark)
            if at >= 0:
                ends.append(at + len(mark))
        return min(ends) if ends else None

    @property
    def has_rest(self) -> bool:
        """Whether an event was begun and not ended."""
        return bool(self._rest.strip())


def parse_event(raw: bytes) -> StreamEvent:
    """Parse one event; raises EventError if its id is no number."""
    number: int | None = None
    data: list[bytes] = []
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id":
            if not value.isdigit():
                raise EventError(f"an event's id is {value[:40]!r}, not a number")
            number = int(value)
        elif name == b"data":
            data.append(value)
    return StreamEvent(raw, number, b"\n".join(data))

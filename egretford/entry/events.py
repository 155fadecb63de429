"""Events of a stream (text/event-stream), split but passed on byte for byte."""

from __future__ import annotations

import re

from attrs import Factory, define, evolve, frozen

from egretford.errors import EgretfordError

# An event beyond this is not one; workers send some hundred bytes.
MAX_EVENT_BYTES = 1_048_576
# Comments and blank lines beyond this, before an event, are no stream; workers send none.
MAX_COMMENT_BYTES = 65_536
_BLANK_LINE = re.compile(rb"\n\r?\n")
_LINE_BREAKS = re.compile(rb"[\r\n]*")


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
    """Cuts a byte stream into whole events.

    Comments and blank lines are no events; they are passed on with the next one.
    """

    _rest: bytearray = Factory(bytearray)
    # Where the first block that has not ended begins, and up to where its end was looked for.
    _begin: int = 0
    _searched: int = 0

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that `data` completes; raises EventError."""
        self._rest += data
        events = []
        while (end := self._find_end()) is not None:
            event = parse_event(bytes(self._rest[self._begin : end]))
            if event is None:
                self._begin = self._searched = _LINE_BREAKS.match(self._rest, end).end()
                if self._begin > MAX_COMMENT_BYTES:
                    raise EventError(f"over {MAX_COMMENT_BYTES} bytes before an event")
                continue
            if self._begin:
                event = evolve(event, raw=bytes(self._rest[:end]))
            events.append(event)
            del self._rest[:end]
            self._begin = self._searched = 0
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    def _find_end(self) -> int | None:
        found = _BLANK_LINE.search(self._rest, max(self._begin, self._searched - 2))
        if found is None:
            self._searched = len(self._rest)
            return None
        return found.end()

    @property
    def has_rest(self) -> bool:
        """Whether an event was begun and not ended."""
        return bool(self._rest[self._begin :].strip())

    def take_rest(self) -> bytes:
        """Return what came after the last event."""
        rest = bytes(self._rest)
        self._rest.clear()
        self._begin = self._searched = 0
        return rest


def parse_event(raw: bytes) -> StreamEvent | None:
    """Parse one event, None if there is none; raises EventError if its id is no number."""
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
    if number is None and not data:
        return None
    return StreamEvent(raw, number, b"\n".join(data))

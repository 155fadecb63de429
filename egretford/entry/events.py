"""Splits a text/event-stream into events without changing its bytes."""

from __future__ import annotations

import re

from attrs import Factory, define, evolve, frozen

from egretford.errors import EgretfordError
from egretford.numbers import parse_whole_number
from egretford.platform.wire import is_event_field

# Limit on the size of an event; workers send some hundred bytes.
MAX_EVENT_BYTES = 1_048_576
# Limit on the total size of comments and blank lines before an event; workers send none.
MAX_COMMENT_BYTES = 65_536
# Limit on the bytes of unexpected text in error messages and logs.
MAX_LOGGED_BYTES = 40
_BLANK_LINE = re.compile(rb"\n\r?\n")
# A carriage return is half of a line break here, not one by itself.
_LONE_RETURN = re.compile(rb"\r(?!\n)")
_LINE_BREAKS = re.compile(rb"[\r\n]*")


class EventError(EgretfordError):
    """The bytes are no valid stream of events, or exceed a size limit."""


@frozen
class StreamEvent:
    """One event: its bytes as received, the number from its `id`, and its joined data lines."""

    raw: bytes
    number: int | None
    data: bytes


@define
class EventSplitter:
    """Splits a byte stream into complete events.

    Comments and blank lines are not events; their bytes are prepended to the next event's. All
    other bytes are errors, as a response may have something else in place of an event or after the
    last one.
    """

    _buffer: bytearray = Factory(bytearray)
    # Offsets in the buffer: the start of the first incomplete block, and the end of the bytes
    # that were searched for the block's end.
    _block_start: int = 0
    _scanned: int = 0

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that `data` completes; raises EventError if the stream is invalid."""
        self._buffer += data
        events = []
        while (end := self._find_block_end()) is not None:
            block = bytes(self._buffer[self._block_start : end])
            event = parse_event(block)
            if event is None:
                self._block_start = self._scanned = _LINE_BREAKS.match(self._buffer, end).end()
                if self._block_start > MAX_COMMENT_BYTES:
                    raise EventError(f"over {MAX_COMMENT_BYTES} bytes before an event")
                continue
            if self._block_start:
                event = evolve(event, raw=bytes(self._buffer[:end]))
            events.append(event)
            del self._buffer[:end]
            self._block_start = self._scanned = 0
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    def _find_block_end(self) -> int | None:
        found = _BLANK_LINE.search(self._buffer, max(self._block_start, self._scanned - 2))
        if found is None:
            self._scanned = len(self._buffer)
            return None
        return found.end()

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer ends in anything else than whole comment lines and line breaks."""
        lines = bytes(self._buffer[self._block_start :]).splitlines(keepends=True)
        return any(
            line.strip(b"\r\n") and not (line.startswith(b":") and line.endswith(b"\n"))
            for line in lines
        )

    def take_trailing(self) -> bytes:
        """Return the bytes after the last event, and clear the buffer."""
        trailing = bytes(self._buffer)
        self._buffer.clear()
        self._block_start = self._scanned = 0
        return trailing


def parse_event(raw: bytes) -> StreamEvent | None:
    """Return the event in a block, or None if the block has only comments and blank lines.

    Raises EventError if the block has anything else.
    """
    numbers: list[int] = []
    data: list[bytes] = []
    lines = [line for line in raw.splitlines() if line and not line.startswith(b":")]
    if _LONE_RETURN.search(raw):
        raise EventError(f"a carriage return by itself: {raw[:MAX_LOGGED_BYTES]!r}")
    for line in lines:
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        match name:
            case b"id":
                number = parse_whole_number(value)
                if number is None:
                    raise EventError(f"an event's id is {value[:MAX_LOGGED_BYTES]!r}, not a number")
                numbers.append(number)
            case b"data":
                data.append(value)
            case b"event" | b"retry":
                pass
            case _ if not is_event_field(name, value):
                raise EventError(f"text instead of an event: {raw[:MAX_LOGGED_BYTES]!r}")
    if not lines:
        return None
    if len(numbers) > 1 or not (numbers or data):
        raise EventError(f"no single event: {raw[:MAX_LOGGED_BYTES]!r}")
    return StreamEvent(raw, numbers[0] if numbers else None, b"\n".join(data))

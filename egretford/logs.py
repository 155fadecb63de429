"""Structured logs on standard output: a prefix for each part, then fields.

Lines are buffered and written in small pieces only while the output takes them; beyond a
bound they are dropped and counted, so that logging never makes a request wait.
"""

from __future__ import annotations

import asyncio
import logging
import os
import select
import sys
from collections import deque
from typing import Any

import structlog

# Lines that wait for a reader; about 4 MB, some seconds of a busy entry.
MAX_BUFFERED_LINES = 20_000
FLUSH_SECONDS = 0.05
# A pipe that is writable takes this much without blocking (PIPE_BUF on Linux).
WRITE_BYTES = 4_096


class BoundedWriter:
    """A file-like object over a descriptor that drops lines rather than block."""

    def __init__(self, descriptor: int, max_lines: int = MAX_BUFFERED_LINES) -> None:
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._lines: deque[str] = deque()
        self._rest = b""
        self._timer: asyncio.TimerHandle | None = None
        self.dropped = 0
        self._reported = 0

    def write(self, text: str) -> None:
        """Buffer a line, or drop it."""
        if len(self._lines) >= self._max_lines:
            self.dropped += 1
            return
        self._lines.append(text)
        self._schedule()

    def flush(self) -> None:
        """Do nothing; lines are written when the event loop has time."""

    def _schedule(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.write_out()
            return
        self._timer = loop.call_later(FLUSH_SECONDS, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.write_out()
        if self._lines or self._rest:
            self._schedule()

    def write_out(self) -> None:
        """Write as much as the descriptor takes now."""
        if self.dropped > self._reported and len(self._lines) < self._max_lines:
            lost, self._reported = self.dropped - self._reported, self.dropped
            self._lines.append(f'level=warning event="logs: dropped lines" lines={lost}\n')
        while self._lines or self._rest:
            if not self._rest:
                self._rest = self._take_piece()
            _, writable, _ = select.select([], [self._descriptor], [], 0)
            if not writable:
                return
            try:
                written = os.write(self._descriptor, self._rest[:WRITE_BYTES])
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the lines cannot be told anywhere else.
                self.dropped += len(self._lines)
                self._lines.clear()
                self._rest = b""
                return
            self._rest = self._rest[written:]

    def _take_piece(self) -> bytes:
        piece = bytearray()
        while self._lines and len(piece) < WRITE_BYTES:
            piece += self._lines.popleft().encode(errors="replace")
        return bytes(piece)


writer = BoundedWriter(sys.__stdout__.fileno() if sys.__stdout__ else 1)


def configure_logs(level: str = "INFO") -> None:
    """Send log lines to standard output, one a line."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _prefix_event,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], drop_missing=True, bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level)),
        logger_factory=structlog.WriteLoggerFactory(writer),
        cache_logger_on_first_use=True,
    )


def _prefix_event(_: Any, __: str, event: dict[str, Any]) -> dict[str, Any]:
    event["event"] = f"{event.pop('part', 'egretford')}: {event['event']}"
    return event


def make_logger(part: str, **fields: Any) -> Any:
    """Return a logger whose lines start with the part's name."""
    return structlog.get_logger().bind(part=part, **fields)

"""Structured logs on standard output, in logfmt; each event starts with the part's name.

Lines are buffered and written in small chunks while standard output is writable. When the
buffer is full, new lines are dropped and counted, so that logging never blocks a request.
"""

from __future__ import annotations

import asyncio
import logging
import os
import select
import sys
from collections import deque
from datetime import UTC, datetime
from typing import Any

import structlog

# About 4 MB: what a busy entry logs within some seconds.
MAX_BUFFERED_LINES = 20_000
FLUSH_SECONDS = 0.05
# PIPE_BUF on Linux: a pipe that polls as writable accepts this many bytes without blocking.
WRITE_BYTES = 4_096


class BoundedWriter:
    """File-like writer to a file descriptor that drops lines instead of blocking."""

    def __init__(self, descriptor: int, max_lines: int = MAX_BUFFERED_LINES) -> None:
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._lines: deque[str] = deque()
        self._unwritten = b""
        self._timer: asyncio.TimerHandle | None = None
        self.dropped = 0
        self._reported_drops = 0

    def write(self, text: str) -> None:
        """Buffer a line, or drop and count it if the buffer is full."""
        if len(self._lines) >= self._max_lines:
            self.dropped += 1
            return
        self._lines.append(text)
        self._schedule()

    def flush(self) -> None:
        """Do nothing; buffered lines are written by a timer on the event loop."""

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
        if self._lines or self._unwritten:
            self._schedule()

    def write_out(self) -> None:
        """Write as many buffered lines as the descriptor accepts without blocking."""
        if self.dropped > self._reported_drops and len(self._lines) < self._max_lines:
            unreported, self._reported_drops = self.dropped - self._reported_drops, self.dropped
            self._lines.append(f'level=warning event="logs: dropped lines" lines={unreported}\n')
        while self._lines or self._unwritten:
            if not self._unwritten:
                self._unwritten = self._next_chunk()
            _, writable, _ = select.select([], [self._descriptor], [], 0)
            if not writable:
                return
            try:
                written = os.write(self._descriptor, self._unwritten[:WRITE_BYTES])
            except BlockingIOError:
                return
            except OSError:
                # The reader closed the pipe; there is no other place to write the lines to.
                self.dropped += len(self._lines)
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _next_chunk(self) -> bytes:
        chunk = bytearray()
        while self._lines and len(chunk) < WRITE_BYTES:
            chunk += self._lines.popleft().encode(errors="replace")
        return bytes(chunk)


writer = BoundedWriter(sys.__stdout__.fileno() if sys.__stdout__ else 1)


def configure_logs(level: str = "INFO") -> None:
    """Configure structlog to write logfmt lines of at least `level` to standard output."""
    structlog.configure(
        processors=[render_line],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level)),
        logger_factory=structlog.WriteLoggerFactory(writer),
        cache_logger_on_first_use=True,
    )


def render_line(_: Any, level: str, fields: dict[str, Any]) -> str:
    """Return a logfmt line: the time in UTC, the level and the event first, then the fields.

    One function, as several lines a request are written and structlog's chain of processors takes
    twice the time.
    """
    event = f"{fields.pop('part', 'egretford')}: {fields.pop('event')}"
    timestamp = datetime.now(UTC).isoformat(timespec="microseconds")[:-6]
    parts = [f"timestamp={timestamp}Z level={level} event={_render_value(event)}"]
    parts += [f"{name}={_render_value(value)}" for name, value in fields.items()]
    return " ".join(parts)


def _render_value(value: Any) -> str:
    if value is None:
        return ""
    if value is True or value is False:
        return "true" if value else "false"
    text = value if type(value) is str else str(value)
    if text.isalnum():
        return text
    is_quoted = " " in text or "=" in text or '"' in text
    if is_quoted and "\\" in text:
        text = text.replace("\\", "\\\\")
    text = text.replace('"', '\\"').replace("\n", "\\n")
    return f'"{text}"' if is_quoted else text


def make_logger(part: str, **fields: Any) -> Any:
    """Return a logger that prefixes events with the part's name and adds `fields` to each line."""
    return structlog.get_logger().bind(part=part, **fields)

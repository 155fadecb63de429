"""Logs: a full output does not block, lines are dropped and counted; the format is logfmt."""

from __future__ import annotations

import asyncio
import os

import pytest
from structlog.processors import LogfmtRenderer, TimeStamper

from egretford.logs import BoundedWriter, render_line


async def test_a_full_pipe_drops_lines_and_says_how_many():
    reader, writer_end = os.pipe()
    writer = BoundedWriter(writer_end, max_lines=100)
    line = "x" * 1_000 + "\n"
    for _ in range(500):
        writer.write(line)
    await asyncio.sleep(0.1)
    for _ in range(100):
        writer.write(line)
    assert writer.dropped > 300
    received = b""
    for _ in range(40):
        received += os.read(reader, 65_536)
        await asyncio.sleep(0.06)
        if b"dropped lines" in received:
            break
    assert b"dropped lines" in received
    assert received.startswith(line.encode())
    os.close(reader)
    os.close(writer_end)


def test_lines_are_written_without_an_event_loop_too():
    reader, writer_end = os.pipe()
    BoundedWriter(writer_end).write("one\n")
    assert os.read(reader, 100) == b"one\n"


# Guards against lines that tools for logfmt cannot read: they have to be as structlog's own.
@pytest.mark.parametrize(
    "value",
    [
        None,
        True,
        False,
        0,
        -1.5,
        "",
        "plain",
        "two words",
        "a=b",
        'say "no"',
        'say"no"',
        "back\\slash",
        "back \\ slash",
        "two\nlines",
        "two\nlong lines",
        ["a", 1],
        {"a b": 'c"d'},
        b"bytes",
        "ümlaut",
    ],
)
def test_a_line_is_logfmt_as_structlog_writes_it(value):
    fields = {"part": "keepers", "event": "lost a keeper", "keeper": "k1", "value": value}
    line = render_line(None, "warning", dict(fields))
    timestamp = line.split(" ")[0].removeprefix("timestamp=")
    ordered = {"timestamp": timestamp, "level": "warning", "event": "keepers: lost a keeper"}
    ordered |= {"keeper": "k1", "value": value}
    assert line == LogfmtRenderer(bool_as_flag=False)(None, "warning", ordered)
    stamped = TimeStamper(fmt="iso")(None, "warning", {})["timestamp"]
    assert len(timestamp) == len(stamped) and timestamp < stamped and timestamp.endswith("Z")

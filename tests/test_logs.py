"""Logging does not block when the output is full: lines are dropped and counted."""

from __future__ import annotations

import asyncio
import os

from egretford.logs import BoundedWriter


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

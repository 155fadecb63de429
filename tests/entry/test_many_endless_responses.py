"""Many workers at once that send responses without end, against the memory of one entry."""

from __future__ import annotations

import asyncio

import pytest

from egretford.entry.models import Worker
from tests.endless import EndlessServer, assert_memory_below
from tests.entry.test_forwarding import (
    ENDLESS_BODIES,
    STREAMS_WITHOUT_EVENTS,
    UNUSABLE_RESPONSES,
    make_answer,
)
from tests.entry.test_forwarding import entry as entry

WORKERS = 24
ENDLESS = ENDLESS_BODIES | UNUSABLE_RESPONSES
# Far below the 128 MB of the smallest machines, of which the interpreter takes some 50 MB.
MAX_MEMORY_BYTES = 56_000_000


async def ask_many(entry, path: str, upstream: str, answer) -> list[int]:
    """Let each of many endless workers have a request at once; returns the callers' statuses."""
    servers = [EndlessServer(answer) for _ in range(WORKERS)]
    for number, server in enumerate(servers):
        await server.start()
        worker = Worker(f"w{number}", upstream, server.address, "north-a", 8, leaving=False)
        entry.workers.update_worker(worker)
    entry.workers.update_worker(
        Worker("good", "booking", entry.good.address, "south-a", 8, leaving=False)
    )
    try:
        with assert_memory_below(MAX_MEMORY_BYTES):
            asked = [
                asyncio.create_task(entry.caller.ask(path, body=b"x", request_id=f"r{number}"))
                for number in range(WORKERS)
            ]
            answers = await asyncio.wait_for(asyncio.gather(*asked), 10.0)
        return [answer.status for answer in answers]
    finally:
        for server in servers:
            await server.close()


# Guards against bodies that are each within the limit and exhaust the memory together.
@pytest.mark.parametrize("kind", ENDLESS)
async def test_many_endless_responses_take_bounded_memory(entry, kind):
    statuses = await ask_many(entry, "/book/1", "booking", make_answer(*ENDLESS[kind]))
    assert set(statuses) <= {200, 502, 504}


# Guards against events that are each within the limit and exhaust the memory together.
@pytest.mark.parametrize("kind", STREAMS_WITHOUT_EVENTS)
async def test_many_streams_without_events_take_bounded_memory(entry, kind):
    answer = make_answer(*STREAMS_WITHOUT_EVENTS[kind])
    statuses = await ask_many(entry, "/chat/1", "models", answer)
    assert set(statuses) <= {502, 503, 504}

"""How the soak's workers answer: framed or not, sometimes broken off or killed."""

from __future__ import annotations

import asyncio
import random
import re
from enum import StrEnum

from attrs import define

from egretford.http.messages import encode_head, encode_status_line
from egretford.http.responder import CallerGoneError, Responder
from tests.platform.standins import Arrival, WorkerStandin
from tests.soak.processes import OTHER_ENGINES, Cluster

EVENTS_PER_STREAM = 4
VERSIONS = ("v1", "v2")
# The upstream and the version of the workers of engines, as their events name them.
ORIGINS = tuple(f"{u}/{v}" for u in ("models", OTHER_ENGINES) for v in VERSIONS)
# Begins the body of requests that crash each worker that runs them.
CRASHING_BODY = b"crash-"
STREAM_EVENT = re.compile(rb"id: (\d+)\ndata: word \d+ (\S+)\n\n")
# Share of the streams that a worker ends before their first event, as if they were whole.
EMPTY_STREAMS = 0.01
# Pause after an event, in seconds, by the first part of the path.
EVENT_PAUSES = {b"plan": 0.02, b"chat": 0.005}
# Time in which what a worker wrote passes its proxy before the worker is killed.
PASSING_SECONDS = 0.02


class Framing(StrEnum):
    """What marks the end of a response; without a length or chunks, the connection's end does."""

    LENGTH = "length"
    CHUNKS = "chunks"
    NEITHER = "neither"


@define
class ResponseWriter:
    """Writes a response of a worker part by part."""

    worker: WorkerStandin
    arrival: Arrival
    responder: Responder
    framing: Framing

    def start(self, length: int = 0) -> None:
        headers = self.worker.sign(self.arrival.request_id)
        if self.framing is Framing.CHUNKS:
            self.responder.start_stream(200, headers)
            return
        if self.framing is Framing.LENGTH:
            headers.add(b"Content-Length", b"%d" % length)
        self.responder.started = True
        self._write_raw(encode_head(encode_status_line(200), headers))

    async def write(self, data: bytes) -> None:
        if self.framing is Framing.CHUNKS:
            if data:
                await self.responder.write(data)
            return
        self._write_raw(data)

    def _write_raw(self, data: bytes) -> None:
        if self.responder.is_disconnected:
            raise CallerGoneError("the caller closed its connection")
        self.responder._connection.write(data)

    def finish(self) -> None:
        if self.framing is Framing.CHUNKS:
            self.responder.finish_stream()
        else:
            self.responder.finished = True
            if self.framing is Framing.NEITHER:
                self.responder._connection.close_after_response = True
        self.arrival.completed = True

    async def break_off(self, event: bytes) -> None:
        """End the response early, inside an event if its end would not show otherwise."""
        if self.framing is Framing.NEITHER:
            await self.write(event[: len(event) // 2])
            self.responder.finished = self.responder._connection.close_after_response = True
        else:
            self.responder.abort()


@define
class WorkerScript:
    """Delays answers, and breaks some off; `framing_rng` draws what marks their ends.

    `empty_rng` draws the streams that are framed and have no event.
    """

    cluster: Cluster
    rng: random.Random
    framing_rng: random.Random
    empty_rng: random.Random

    async def __call__(self, worker: WorkerStandin, arrival: Arrival, responder) -> bool:
        """Handle a request."""
        if arrival.body.startswith(CRASHING_BODY):
            self.cluster.crash_worker(worker, arrival.body)
            return True
        await self.cluster.wait_while_silent(worker.id)
        draw = self.rng.random()
        if draw < 0.01:
            responder.abort()
            return True
        await asyncio.sleep(self.rng.uniform(0.0, 0.03))
        framings = list(Framing) if not worker.engine else [Framing.CHUNKS, Framing.NEITHER]
        writer = ResponseWriter(worker, arrival, responder, self.framing_rng.choice(framings))
        if worker.engine:
            upto = self.rng.randint(1, EVENTS_PER_STREAM) if draw < 0.03 else None
            await self._stream(writer, upto)
        else:
            await self._send_body(writer)
        return True

    async def _send_body(self, writer: ResponseWriter) -> None:
        body = b"done " + writer.arrival.request_id.encode()
        writer.start(len(body))
        if not await self._is_killed(writer, 1, body):
            await writer.write(body)
            writer.finish()

    async def _stream(self, writer: ResponseWriter, upto: int | None) -> None:
        """Stream events that name the worker's version; break off at event `upto`."""
        arrival, worker = writer.arrival, writer.worker
        first = int(arrival.headers.get_text(b"Last-Event-Id") or 0) + 1
        is_truncated = first == 1 and self.empty_rng.random() < EMPTY_STREAMS
        if first > EVENTS_PER_STREAM or is_truncated:
            # Without chunks, a response without events looks like that of a lost worker.
            writer.framing = Framing.CHUNKS
        writer.start()
        if is_truncated:
            writer.responder.finish_stream()
            return
        for number in range(first, EVENTS_PER_STREAM + 1):
            event = make_stream_event(number, get_origin(worker))
            if number == upto:
                await writer.break_off(event)
                return
            await self.cluster.wait_while_silent(worker.id)
            if await self._is_killed(writer, number, event):
                return
            await writer.write(event)
            await asyncio.sleep(EVENT_PAUSES[arrival.http.path.split(b"/")[1]])
        writer.finish()

    async def _is_killed(self, writer: ResponseWriter, number: int, data: bytes) -> bool:
        """Kill the worker if that is planned at this piece, after a part of the piece."""
        kill = self.cluster.take_kill(writer.worker, number)
        if kill is None:
            return False
        await writer.write(data[: int(len(data) * kill.part)])
        await asyncio.sleep(PASSING_SECONDS)
        self.cluster.strike(writer.worker, kill)
        writer.responder.abort()
        return True


def get_origin(worker: WorkerStandin) -> str:
    """Return the name of the upstream and the version of a worker, as its events have it."""
    return f"{worker.upstream}/{worker.version}"


def make_stream_event(number: int, origin: str) -> bytes:
    """Return one event of a stream; it names the origin that made it."""
    return b"id: %d\ndata: word %d %s\n\n" % (number, number, origin.encode())


def make_complete_stream(origin: str = ORIGINS[0]) -> bytes:
    """Return the complete stream of events that a worker of an origin sends."""
    return join_stream_events((n, origin) for n in range(1, EVENTS_PER_STREAM + 1))


def join_stream_events(events) -> bytes:
    """Return the bytes of events, given as pairs of number and origin."""
    return b"".join(make_stream_event(number, origin) for number, origin in events)

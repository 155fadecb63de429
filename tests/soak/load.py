"""Callers' programs, and what they and the workers saw of each request."""

from __future__ import annotations

import asyncio
import itertools
import random

from attrs import Factory, define

from egretford.http.client import (
    BrokenResponseError,
    ClientConnection,
    ConnectError,
)
from tests.platform.standins import Answer, Arrival, Caller, WorkerStandin, make_event
from tests.soak.processes import Cluster

EVENTS = 4
EVENT_TOKENS = 10
TURN_TOKENS = 50
RETENTION_SECONDS = 60.0
CONNECT_SECONDS = 1.0
DEADLINE_SECONDS = 3.0
# Statuses that promise that the request has not run and never will.
PROMISES = frozenset({402, 404, 408, 421, 429, 503})


@define
class Attempt:
    """One request as its caller saw it; `answer` is None where the connection just ended."""

    id: str
    kind: str
    program: str
    sent_at: float
    entry: str = ""
    expected_body: bytes = b""
    previous: str | None = None
    kept_connection: bool = False
    answer: Answer | None = None
    ended_at: float = 0.0

    @property
    def status(self) -> int | None:
        return self.answer.status if self.answer else None

    @property
    def served(self) -> bool:
        return self.answer is not None and self.answer.whole and self.answer.status == 200


@define
class Chain:
    """A program's acknowledged turns; `text` is what a worker reads before the next input."""

    program: str
    budget: int
    last: str | None = None
    text: bytes = b""
    turns: int = 0
    finished_at: float = 0.0


@define
class Load:
    """Programs that run until told to end; `attempts` holds all that was asked."""

    cluster: Cluster
    rng: random.Random
    attempts: list[Attempt] = Factory(list)
    chains: list[Chain] = Factory(list)
    ending: bool = False
    _numbers: itertools.count = Factory(itertools.count)
    _tasks: list[asyncio.Task] = Factory(list)

    def start(self, programs: int) -> None:
        for worker in self.cluster.workers:
            self.prepare(worker)
        self._tasks = [asyncio.create_task(self._run_programs()) for _ in range(programs)]

    def prepare(self, worker: WorkerStandin) -> None:
        """Let a worker take some time over its events, and fail now and then."""
        rng = random.Random(self.rng.random())

        async def behave(worker: WorkerStandin, arrival: Arrival, responder) -> bool:
            luck = rng.random()
            if luck < 0.01:
                responder.abort()
                return True
            await asyncio.sleep(rng.uniform(0.0, 0.03))
            if worker.engine and luck < 0.03:
                await worker.stream(arrival, responder, upto=rng.randint(1, EVENTS))
                return True
            return False

        worker.script = behave

    async def end(self) -> None:
        self.ending = True
        await asyncio.gather(*self._tasks)

    async def _run_programs(self) -> None:
        while not self.ending:
            chain = Chain(f"p{next(self._numbers)}", self.rng.choice((150, 400, 1_000)))
            self.chains.append(chain)
            connections: dict[str, ClientConnection] = {}
            for _ in range(self.rng.randint(2, 9)):
                if self.ending or not await self._take_step(chain, connections):
                    break
                await asyncio.sleep(self.rng.uniform(0.0, 0.15))
            for connection in connections.values():
                connection.close()

    async def _take_step(self, chain: Chain, connections: dict[str, ClientConnection]) -> bool:
        """Run a turn and a call of a tool; False if the program cannot go on."""
        turn = await self._persist(chain, "chat", connections)
        kind = self.rng.choice(("ping", "book", "plan"))
        await self._persist(chain, kind, connections)
        return turn is not None and turn.served

    async def _persist(
        self, chain: Chain, kind: str, connections: dict[str, ClientConnection]
    ) -> Attempt | None:
        for number in range(4):
            attempt = await self.ask(chain, kind, connections if number == 0 else None)
            if attempt.served or attempt.status in (402, 404):
                return attempt
            if kind == "book" and attempt.status not in PROMISES:
                return attempt
            await asyncio.sleep(self.rng.uniform(0.1, 0.4))
        return None

    async def ask(
        self, chain: Chain, kind: str, connections: dict[str, ClientConnection] | None = None
    ) -> Attempt:
        """Send one request through some entry, on a kept connection if there is one."""
        entry = self.rng.choice(self.cluster.entries)
        loop = asyncio.get_running_loop()
        number = next(self._numbers)
        body = f"in-{number} ".encode() if kind != "ping" else b""
        attempt = Attempt(f"r{number}", kind, chain.program, loop.time(), entry.name)
        self.attempts.append(attempt)
        attempt.expected_body = chain.text + body if kind == "chat" else body
        fields = {}
        if kind == "chat":
            attempt.previous = chain.last
            fields = {
                "Program_Id": chain.program,
                "Session_Id": chain.program,
                "Token_Budget": str(chain.budget),
                "Token_Usage": f"100,{TURN_TOKENS}",
            }
            if chain.last is not None:
                fields["Previous_Turn"] = chain.last
        method = "GET" if kind == "ping" else "POST"
        connection = (connections or {}).pop(entry.name, None)
        attempt.kept_connection = connection is not None
        try:
            if connection is None:
                address = entry.proxy.address
                connection = await ClientConnection.open(address, CONNECT_SECONDS)
            async with asyncio.timeout(4.0):
                attempt.answer = await Caller(entry.proxy.address).ask(
                    f"/{kind}/1",
                    method=method,
                    body=body,
                    request_id=attempt.id,
                    deadline_ms=int(DEADLINE_SECONDS * 1_000),
                    connection=connection,
                    **fields,
                )
        except (ConnectError, BrokenResponseError, TimeoutError):
            # No answer; what may be concluded from that is for the checks.
            attempt.answer = None
        attempt.ended_at = loop.time()
        if connections is not None and connection is not None and connection.reusable:
            connections[entry.name] = connection
        elif connection is not None:
            connection.close()
        if kind == "chat" and attempt.served:
            chain.text = attempt.expected_body + read_texts(attempt.answer.body)
            chain.last, chain.turns, chain.finished_at = attempt.id, chain.turns + 1, loop.time()
        return attempt


def read_texts(stream: bytes) -> bytes:
    """Return what a kept turn adds to its chain for a stream of events."""
    lines = [line for line in stream.split(b"\n") if line.startswith(b"data: ")]
    return b"".join(line.removeprefix(b"data: ") + b"\n" for line in lines)


def whole_stream() -> bytes:
    """Return a worker's complete stream."""
    return b"".join(make_event(number) for number in range(1, EVENTS + 1))

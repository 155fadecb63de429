"""Load of the soak test: programs that send requests and record every answer."""

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
from tests.platform.standins import Answer, Caller, WorkerStandin
from tests.soak.processes import Cluster
from tests.soak.workers import STREAM_EVENT, WorkerScript

EVENT_TOKENS = 10
TURN_TOKENS = 50
RETENTION_SECONDS = 60.0
CONNECT_TIMEOUT_SECONDS = 1.0
DEADLINE_SECONDS = 3.0
MAX_RESUMPTIONS = 4
# Statuses that guarantee that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({402, 404, 408, 421, 429, 503})


@define
class Attempt:
    """One request as seen by its caller; `answer` is None on a connection error or timeout."""

    id: str
    kind: str
    program: str
    sent_at: float
    entry: str = ""
    expected_body: bytes = b""
    previous: str | None = None
    reused_connection: bool = False
    # For a stream that goes on: the attempt that began it, and its last event.
    resumes: str | None = None
    resume_after: int = 0
    answer: Answer | None = None
    ended_at: float = 0.0

    @property
    def status(self) -> int | None:
        return self.answer.status if self.answer else None

    @property
    def served(self) -> bool:
        return self.answer is not None and self.answer.is_complete and self.answer.status == 200


@define
class Chain:
    """A program's chain of acknowledged turns.

    `text` is the history that a worker receives before the next input, and `served_at` the time
    when the caller received the last turn's answer.
    """

    program: str
    budget: int
    last_turn: str | None = None
    text: bytes = b""
    turns: int = 0
    served_at: float = 0.0


@define
class Load:
    """Runs programs until stopped; `attempts` records every request sent."""

    cluster: Cluster
    rng: random.Random
    attempts: list[Attempt] = Factory(list)
    chains: list[Chain] = Factory(list)
    stopping: bool = False
    _counter: itertools.count = Factory(itertools.count)
    _tasks: list[asyncio.Task] = Factory(list)

    def start(self, programs: int) -> None:
        for worker in self.cluster.workers:
            self.set_worker_script(worker)
        self._tasks = [asyncio.create_task(self._run_programs()) for _ in range(programs)]

    def set_worker_script(self, worker: WorkerStandin) -> None:
        """Make a worker delay its answers and sometimes break them off."""
        seed = self.rng.random()
        worker.script = WorkerScript(
            self.cluster, random.Random(seed), random.Random(f"framing {seed}")
        )

    async def stop(self) -> None:
        self.stopping = True
        await asyncio.gather(*self._tasks)

    async def _run_programs(self) -> None:
        while not self.stopping:
            chain = Chain(f"p{next(self._counter)}", self.rng.choice((150, 400, 1_000)))
            self.chains.append(chain)
            connections: dict[str, ClientConnection] = {}
            for _ in range(self.rng.randint(2, 9)):
                if self.stopping or not await self._run_turn_and_tool(chain, connections):
                    break
                await asyncio.sleep(self.rng.uniform(0.0, 0.15))
            for connection in connections.values():
                connection.close()

    async def _run_turn_and_tool(
        self, chain: Chain, connections: dict[str, ClientConnection]
    ) -> bool:
        """Run a turn and a tool call; returns False if the program cannot continue."""
        turn = await self._send_with_retries(chain, "chat", connections)
        kind = self.rng.choice(("ping", "book", "plan"))
        if kind == "plan":
            await self._send_plan(chain, connections)
        else:
            await self._send_with_retries(chain, kind, connections)
        return turn is not None and turn.served

    async def _send_with_retries(
        self, chain: Chain, kind: str, connections: dict[str, ClientConnection]
    ) -> Attempt | None:
        for number in range(4):
            attempt = await self.send_request(chain, kind, connections if number == 0 else None)
            if attempt.served or attempt.status in (402, 404):
                return attempt
            if kind == "book" and attempt.status not in NOT_RUN_STATUSES:
                return attempt
            await asyncio.sleep(self.rng.uniform(0.1, 0.4))
        return None

    async def _send_plan(self, chain: Chain, connections: dict[str, ClientConnection]) -> None:
        """Send a stream that may be resumed, and go on from its last event where it breaks off."""
        first = attempt = await self.send_request(chain, "plan", connections)
        events = read_events(attempt)
        for _ in range(MAX_RESUMPTIONS):
            if attempt.served:
                return
            await asyncio.sleep(self.rng.uniform(0.0, 0.3))
            resumed = (first.id, events[-1][0]) if events else None
            attempt = await self.send_request(chain, "plan", resumed=resumed)
            if resumed is None:
                first = attempt
            events += read_events(attempt)

    async def send_crashing(self, body: bytes, seconds: float) -> None:
        """Repeat a request that crashes each worker that runs it."""
        loop = asyncio.get_running_loop()
        chain, end = Chain("crashing", 0), loop.time() + seconds
        while loop.time() < end:
            await self.send_request(chain, "crash", body=body)
            await asyncio.sleep(self.rng.uniform(0.2, 0.5))

    async def send_request(
        self,
        chain: Chain,
        kind: str,
        connections: dict[str, ClientConnection] | None = None,
        resumed: tuple[str, int] | None = None,
        body: bytes | None = None,
    ) -> Attempt:
        """Send a request through a random entry, reusing an open connection if there is one."""
        entry = self.rng.choice(self.cluster.entries)
        loop = asyncio.get_running_loop()
        number = next(self._counter)
        if body is None:
            body = f"in-{number} ".encode() if kind != "ping" else b""
        attempt = Attempt(f"r{number}", kind, chain.program, loop.time(), entry.name)
        self.attempts.append(attempt)
        attempt.expected_body = chain.text + body if kind == "chat" else body
        headers = {}
        if kind == "chat":
            attempt.previous = chain.last_turn
            headers = {
                "Program_Id": chain.program,
                "Session_Id": chain.program,
                "Token_Budget": str(chain.budget),
                "Token_Usage": f"100,{TURN_TOKENS}",
            }
            if chain.last_turn is not None:
                headers["Previous_Turn"] = chain.last_turn
        if resumed is not None:
            attempt.resumes, attempt.resume_after = resumed
            headers = {"Resumes": resumed[0], "Last_Event_Id": str(resumed[1])}
        method = "GET" if kind == "ping" else "POST"
        path = "ping" if kind == "crash" else kind
        connection = (connections or {}).pop(entry.name, None)
        attempt.reused_connection = connection is not None
        try:
            if connection is None:
                address = entry.proxy.address
                connection = await ClientConnection.open(address, CONNECT_TIMEOUT_SECONDS)
            async with asyncio.timeout(4.0):
                attempt.answer = await Caller(entry.proxy.address).ask(
                    f"/{path}/1",
                    method=method,
                    body=body,
                    request_id=attempt.id,
                    deadline_ms=int(DEADLINE_SECONDS * 1_000),
                    connection=connection,
                    **headers,
                )
        except (ConnectError, BrokenResponseError, TimeoutError):
            # The checks decide what a missing answer means.
            attempt.answer = None
        attempt.ended_at = loop.time()
        if connections is not None and connection is not None and connection.reusable:
            connections[entry.name] = connection
        elif connection is not None:
            connection.close()
        if kind == "chat" and attempt.served:
            chain.text = attempt.expected_body + extract_data_lines(attempt.answer.body)
            chain.last_turn, chain.turns, chain.served_at = attempt.id, chain.turns + 1, loop.time()
        return attempt


def extract_data_lines(stream: bytes) -> bytes:
    """Return the text that a stored turn appends to its chain for a stream of events."""
    lines = [line for line in stream.split(b"\n") if line.startswith(b"data: ")]
    return b"".join(line.removeprefix(b"data: ") + b"\n" for line in lines)


def read_events(attempt: Attempt) -> list[tuple[int, str]]:
    """Return the number and the version of each event that an attempt's caller received."""
    if attempt.answer is None or attempt.answer.status != 200:
        return []
    return [(int(n), v.decode()) for n, v in STREAM_EVENT.findall(attempt.answer.body)]

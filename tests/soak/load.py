"""Load of the soak test: programs that send requests and record every answer."""

from __future__ import annotations

import asyncio
import itertools
import random
from functools import partial

from attrs import Factory, define

from egretford.http.client import (
    BodyEnd,
    BodyPart,
    BrokenResponseError,
    ClientConnection,
    ConnectError,
)
from tests.platform.standins import Answer, Caller, WorkerStandin
from tests.soak.processes import OTHER_ENGINES, Cluster
from tests.soak.workers import STREAM_EVENT, WorkerScript

EVENT_TOKENS = 10
TURN_TOKENS = 50
RETENTION_SECONDS = 60.0
CONNECT_TIMEOUT_SECONDS = 1.0
DEADLINE_SECONDS = 3.0
MAX_RESUMPTIONS = 4
# Events after which callers leave a stream; most callers stay.
LEAVE_AFTER = (None, None, None, 1, 2, 3)
# Seconds after which a caller that left closes its connection.
LEAVING_SECONDS = (0.0, 0.3)
# Share of the turns that broke off from which their callers try to go on.
CONTINUED_BROKEN_TURNS = 0.5
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
    fields: dict[str, str] = Factory(dict)
    previous: str | None = None
    reused_connection: bool = False
    # For a stream that goes on: the attempt that began it, and its last event.
    resumes: str | None = None
    resume_after: int = 0
    # The turn that this one follows although its caller was not told that it is whole.
    broken: Attempt | None = None
    # Whether the caller itself ended the answer.
    gave_up: bool = False
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
    """Runs programs until stopped; `attempts` records every request sent.

    `caller_rng` draws which streams their callers leave and which broken turns they go on from.
    """

    cluster: Cluster
    rng: random.Random
    caller_rng: random.Random = Factory(lambda: random.Random(0))
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
        is_other = worker.upstream == OTHER_ENGINES
        # Seeds recorded before there were such workers still produce the same load.
        seed = f"script {worker.id}" if is_other else self.rng.random()
        worker.script = WorkerScript(
            self.cluster,
            random.Random(seed),
            random.Random(f"framing {seed}"),
            random.Random(f"empty {seed}"),
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
            is_broken = kind == "chat" and attempt.status in (None, 200)
            if is_broken and self.caller_rng.random() < CONTINUED_BROKEN_TURNS:
                await self.send_request(chain, kind, broken=attempt)
            if kind == "book" and attempt.status not in NOT_RUN_STATUSES:
                return attempt
            await asyncio.sleep(self.rng.uniform(0.1, 0.4))
        return None

    async def _send_plan(self, chain: Chain, connections: dict[str, ClientConnection]) -> None:
        """Send a stream that may be resumed, and go on from its last event where it breaks off.

        Some callers break it off themselves, and go on through any entry.
        """
        leave_after = self.caller_rng.choice(LEAVE_AFTER)
        first = attempt = await self.send_request(
            chain, "plan", connections, leave_after=leave_after
        )
        events = read_events(attempt)
        for _ in range(MAX_RESUMPTIONS):
            if attempt.served:
                return
            await asyncio.sleep(self.rng.uniform(0.0, 0.3))
            resumed = (first, events[-1][0]) if events else None
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
        resumed: tuple[Attempt, int] | None = None,
        body: bytes | None = None,
        leave_after: int | None = None,
        broken: Attempt | None = None,
    ) -> Attempt:
        """Send a request through a random entry, reusing an open connection if there is one.

        With `leave_after`, the caller leaves the stream after that event. With `broken`, the turn
        follows one whose answer broke off; this does not become part of the chain. `resumed` is the
        first attempt at a stream and the last event that its caller has.
        """
        entry = self.rng.choice(self.cluster.entries)
        loop = asyncio.get_running_loop()
        number = next(self._counter)
        if resumed is not None:
            body = resumed[0].expected_body
        if body is None:
            body = f"in-{number} ".encode() if kind != "ping" else b""
        attempt = Attempt(f"r{number}", kind, chain.program, loop.time(), entry.name)
        self.attempts.append(attempt)
        history = chain.text if kind == "chat" and broken is None else b""
        attempt.expected_body = history + body
        headers = {}
        if kind == "chat":
            attempt.previous = chain.last_turn
            headers = {
                "Program_Id": chain.program,
                "Session_Id": chain.program,
                "Token_Budget": str(chain.budget),
                "Token_Usage": f"100,{TURN_TOKENS}",
            }
            if broken is not None:
                attempt.broken, attempt.previous = broken, broken.id
            if attempt.previous is not None:
                headers["Previous_Turn"] = attempt.previous
        if kind == "plan" and number % 2:
            headers = {"Program_Id": chain.program, "Session_Id": chain.program}
        if resumed is not None:
            first, attempt.resume_after = resumed
            attempt.resumes = first.id
            headers = {**first.fields, "Last_Event_Id": str(attempt.resume_after)}
        attempt.fields = headers
        method = "GET" if kind == "ping" else "POST"
        # Pings differ, or a few killed workers would have the only one blocked as crashing them.
        path = "ping" if kind == "crash" else kind
        connection = (connections or {}).pop(entry.name, None)
        attempt.reused_connection = connection is not None
        try:
            if connection is None:
                address = entry.proxy.address
                connection = await ClientConnection.open(address, CONNECT_TIMEOUT_SECONDS)
            async with asyncio.timeout(4.0):
                attempt.answer = await Caller(entry.proxy.address).ask(
                    f"/{path}/{number}" if kind == "ping" else f"/{path}/1",
                    method=method,
                    body=body,
                    request_id=attempt.id,
                    deadline_ms=int(DEADLINE_SECONDS * 1_000),
                    connection=connection,
                    read=None if leave_after is None else partial(read_some, count=leave_after),
                    **headers,
                )
        except (ConnectError, BrokenResponseError, TimeoutError):
            # The checks decide what a missing answer means.
            attempt.answer = None
        attempt.ended_at = loop.time()
        if leave_after is not None and len(read_events(attempt)) >= leave_after:
            # The entry may go on sending while the caller goes on elsewhere.
            open_seconds = self.caller_rng.choice(LEAVING_SECONDS)
            loop.call_later(open_seconds, connection.close)
            attempt.gave_up, attempt.ended_at = True, attempt.ended_at + open_seconds
            return attempt
        if connections is not None and connection is not None and connection.reusable:
            connections[entry.name] = connection
        elif connection is not None:
            connection.close()
        if kind == "chat" and attempt.served and broken is None:
            chain.text = attempt.expected_body + extract_data_lines(attempt.answer.body)
            chain.last_turn, chain.turns, chain.served_at = attempt.id, chain.turns + 1, loop.time()
        return attempt


async def read_some(connection: ClientConnection, count: int) -> Answer:
    """Read a response until its event `count`, or its end."""
    head = await connection.read()
    answer = Answer(head.status, head.headers, b"", is_complete=False)
    while len(STREAM_EVENT.findall(answer.body)) < count:
        try:
            part = await connection.read()
        except BrokenResponseError:
            return answer
        if isinstance(part, BodyEnd):
            answer.is_complete = True
            return answer
        if isinstance(part, BodyPart):
            answer.body += part.data
    return answer


def extract_data_lines(stream: bytes) -> bytes:
    """Return the text that a stored turn appends to its chain for a stream of events."""
    lines = [line for line in stream.split(b"\n") if line.startswith(b"data: ")]
    return b"".join(line.removeprefix(b"data: ") + b"\n" for line in lines)


def read_events(attempt: Attempt) -> list[tuple[int, str]]:
    """Return the number and the version of each event that an attempt's caller received."""
    if attempt.answer is None or attempt.answer.status != 200:
        return []
    return [(int(n), v.decode()) for n, v in STREAM_EVENT.findall(attempt.answer.body)]

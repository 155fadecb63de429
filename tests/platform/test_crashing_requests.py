"""Requests that crash each worker that runs them are stopped, whoever sends them and however."""

from __future__ import annotations

import asyncio

import pytest
from attrs import Factory, define

from egretford.http.client import ClientConnection
from egretford.policy.crashes import Crash, make_fingerprint
from tests.platform.deployment import run_deployment
from tests.platform.standins import Arrival, Caller, WorkerStandin
from tests.platform.test_isolated_entries import Links, list_known_entries

# Time after a crash within which all entries know of it, in seconds.
KNOWN_SECONDS = 2.5
DEADLY = b"deadly " * 100
PATHS = {"ping": "/ping/9", "book": "/book/9", "plan": "/plan/9", "chat": "/chat/9"}
KINDS = pytest.mark.parametrize("kind", PATHS)


@pytest.fixture
async def deployment(tmp_path):
    async with run_deployment(tmp_path) as running:
        yield running


@define
class DeadlyRequests:
    """Crashes each worker that gets a body which begins as `DEADLY`; then another process is there.

    `how` is "reset", or "silent" for a machine that ends without a reset. With `is_listed`, the
    worker list names the new process at once. With `failure`, the workers answer with that status.
    """

    deployment: object
    how: str = "reset"
    is_listed: bool = True
    failure: int | None = None
    delay: float = 0.0
    runs: list[str] = Factory(list)
    asked: int = 0

    def __attrs_post_init__(self) -> None:
        for worker in self.deployment.workers:
            worker.script = self._run

    async def _run(self, worker: WorkerStandin, arrival: Arrival, responder) -> bool:
        if not arrival.body.endswith(DEADLY[:350]) and not arrival.body.endswith(DEADLY):
            return False
        self.runs.append(arrival.request_id)
        if self.failure is not None:
            responder.send_response(self.failure, worker.sign(arrival.request_id), b"failed")
            return True
        await asyncio.sleep(self.delay)
        worker.born += 1
        if self.is_listed:
            self.deployment.store.put("servers", worker.id, worker.describe())
        if self.how == "silent":
            await asyncio.sleep(30)
        responder.abort()
        return True

    async def ask(self, kind: str, caller: Caller, body: bytes = DEADLY, **more):
        self.asked += 1
        fields = {"Program_Id": "p", "Session_Id": "p"} if kind in ("plan", "chat") else {}
        request_id = f"{kind}-{self.asked}"
        return await caller.ask(PATHS[kind], body=body, request_id=request_id, **(fields | more))

    async def crash_three(self, kind: str, **more) -> None:
        """Send the request to the entries in turn until three processes have ended."""
        callers = self.deployment.callers
        async with asyncio.timeout(10):
            while len(self.runs) < 3:
                await self.ask(kind, callers[self.asked % len(callers)], **more)
                await asyncio.sleep(0.5)

    async def require_block(self, kind: str, **more) -> None:
        """Check that the request reaches no worker any more, over any entry."""
        await asyncio.sleep(KNOWN_SECONDS)
        runs = len(self.runs)
        for caller in self.deployment.callers:
            answer = await self.ask(kind, caller, **more)
            assert answer.status == 503
        assert len(self.runs) == runs


async def open_from(address: str, ip: str) -> ClientConnection:
    """Return a connection to `address` that comes from `ip`."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(
        lambda: ClientConnection(address), host, int(port), local_addr=(ip, 0)
    )
    return connection


# Guards against a request that crashes three workers for each zone that it is sent from.
@KINDS
async def test_a_request_is_recognised_from_any_address(deployment, kind):
    deadly = DeadlyRequests(deployment)
    caller = deployment.callers[0]
    for _ in range(3):
        connection = await open_from(caller.address, f"127.0.0.{deadly.asked + 2}")
        await deadly.ask(kind, caller, connection=connection)
        connection.close()
        await asyncio.sleep(0.5)
    await deadly.require_block(kind)


# Guards against a turn that crashes three workers for each program and each form that it has: with
# all of its prompt, or with the new part after a turn that is kept.
async def test_a_turn_is_recognised_in_other_programs(deployment):
    deadly = DeadlyRequests(deployment)
    first, second = deployment.callers
    await first.ask("/chat/1", body=b"x", request_id="t1", Program_Id="p1", Session_Id="p1")
    await deadly.ask("chat", first, Program_Id="p2")
    await deadly.ask("chat", second, Program_Id="p3")
    await asyncio.sleep(KNOWN_SECONDS)
    await deadly.ask("chat", first, DEADLY[:350], Program_Id="p1", Previous_Turn="t1")
    assert len(deadly.runs) == 3
    await deadly.require_block("chat", body=DEADLY[:350], Program_Id="p1", Previous_Turn="t1")
    await deadly.require_block("chat", Program_Id="p4")


# Guards against a prompt that crashes three workers at each length that it comes with.
async def test_a_prompt_that_grows_is_recognised(deployment):
    deadly = DeadlyRequests(deployment)
    first, second = deployment.callers
    for number, caller in enumerate((first, second, first, second)):
        if len(deadly.runs) < 3:
            await deadly.ask("plan", caller, DEADLY * (number + 1))
            await asyncio.sleep(KNOWN_SECONDS)
    await deadly.require_block("plan", body=DEADLY * 9)


# Guards against crashes that count once, as the worker list still names the process before: while
# the store is away, or its watch is late. Resumable streams reach no such process.
@pytest.mark.parametrize("kind", ["ping", "book", "chat"])
async def test_a_process_that_the_list_does_not_name_yet_counts(deployment, kind):
    deadly = DeadlyRequests(deployment, is_listed=False)
    await deadly.crash_three(kind)
    await deadly.require_block(kind)


# Guards against the same at several entries, none of which saw two of the crashes itself.
async def test_a_process_that_the_list_does_not_name_yet_counts_at_other_entries(deployment):
    deadly = DeadlyRequests(deployment, is_listed=False)
    deployment.store.remove("servers", "b-2")
    await asyncio.sleep(1.0)
    for number in range(3):
        await deadly.ask("book", deployment.callers[number % 2])
        await asyncio.sleep(KNOWN_SECONDS)
    await deadly.require_block("book")


# Guards against crashes that leave no reset: a machine that ends, before the time of the caller is
# over, and is back by then or is not.
@pytest.mark.parametrize("report_delay", [0.0, 5.0])
@KINDS
async def test_a_silent_crash_counts(deployment, kind, report_delay):
    deadly = DeadlyRequests(deployment, how="silent")
    callers = deployment.callers
    async with asyncio.timeout(20):
        while len(deadly.runs) < 3:
            for worker in deployment.workers:
                worker.report_delay = report_delay
            await deadly.ask(kind, callers[deadly.asked % 2], deadline_ms=600)
            await asyncio.sleep(KNOWN_SECONDS)
            for worker in deployment.workers:
                worker.report_delay = 0.0
    await deadly.require_block(kind)


# Guards against requests that are refused as sound workers were silent for a second.
@pytest.mark.parametrize("kind", ["ping", "book", "chat"])
async def test_a_silence_of_a_sound_worker_counts_for_nothing(deployment, kind):
    for worker in deployment.workers:
        worker.script = answer_late
    for number in range(4):
        await deployment.callers[number % 2].ask(PATHS[kind], body=DEADLY, deadline_ms=500)
    await asyncio.sleep(KNOWN_SECONDS)
    for worker in deployment.workers:
        worker.script = None
    for caller in deployment.callers:
        assert (await caller.ask(PATHS[kind], body=DEADLY, request_id="last")).status == 200


async def answer_late(worker: WorkerStandin, arrival: Arrival, responder) -> bool:
    await asyncio.sleep(1.0)
    return False


# Guards against retries of a request that was blocked while its last attempt ran.
async def test_a_block_holds_for_a_retry(deployment):
    deadly = DeadlyRequests(deployment, delay=1.0)
    asked = asyncio.create_task(deadly.ask("plan", deployment.callers[0]))
    await asyncio.sleep(0.5)
    fingerprint = make_fingerprint(b"/plan/9", "farm.example", DEADLY)
    for worker in ("w1", "w2", "w3"):
        deployment.entries[0]._crashes.add(Crash(fingerprint, worker))
    assert (await asked).status == 502
    assert len(deadly.runs) == 1


# Guards against crashes that count for nothing where the request went through another entry.
@pytest.mark.parametrize("kind", ["book", "chat"])
async def test_a_crash_through_another_entry_counts(deployment, kind):
    links = Links(deployment.entries[0])
    await deployment.wait_until(lambda: len(list_known_entries(deployment)) == 2)
    links.cut("refused")
    deadly = DeadlyRequests(deployment)
    async with asyncio.timeout(20):
        while len(deadly.runs) < 3:
            await deadly.ask(kind, deployment.callers[0])
            await asyncio.sleep(KNOWN_SECONDS)
    await deadly.require_block(kind)


# Guards against crashes that are forgotten as a worker answers with a failure between them.
@pytest.mark.parametrize("status", [400, 500, 504])
@pytest.mark.parametrize("kind", ["book", "chat"])
async def test_a_failure_between_crashes_clears_none(deployment, kind, status):
    deadly = DeadlyRequests(deployment)
    for number, caller in enumerate(deployment.callers * 2):
        deadly.failure = status if number == 2 else None
        await deadly.ask(kind, caller)
        await asyncio.sleep(0.7)
    assert len(deadly.runs) == 4
    await deadly.require_block(kind)


# Guards against requests that are refused as others to the same path crashed workers.
@KINDS
async def test_other_requests_to_its_path_are_served(deployment, kind):
    deadly = DeadlyRequests(deployment)
    await deadly.crash_three(kind)
    await deadly.require_block(kind)
    for caller in deployment.callers:
        assert (await deadly.ask(kind, caller, b"another")).status == 200
        assert (await deadly.ask(kind, caller, DEADLY[:300])).status == 200


# Guards against requests that are refused as they begin like those that crashed workers, though
# such requests are served all the time.
async def test_requests_that_begin_as_many_do_are_served(deployment):
    deadly = DeadlyRequests(deployment)
    first, second = deployment.callers
    assert (await deadly.ask("plan", first, DEADLY + b"sound")).status == 200
    await deadly.ask("plan", first)
    await deadly.ask("plan", second, DEADLY * 2)
    await asyncio.sleep(KNOWN_SECONDS)
    assert len(deadly.runs) >= 3
    for caller in (first, second):
        assert (await deadly.ask("plan", caller, DEADLY + b"other")).status == 200


# Guards against a blocked request that crashes workers again after all processes were ended.
async def test_a_blocked_request_stays_blocked_after_all_processes_ended(deployment):
    deadly = DeadlyRequests(deployment)
    await deadly.crash_three("plan")
    await deadly.require_block("plan")
    await deployment.restart_all()
    await deadly.require_block("plan")

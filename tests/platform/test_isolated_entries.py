"""Entries that are cut off from all workers serve their callers over another entry."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from egretford.entry import daemon, dialing, peers
from egretford.http.client import (
    BodyEnd,
    BodyPart,
    BrokenResponseError,
    ClientConnection,
    ConnectError,
)
from egretford.http.messages import encode_head, encode_status_line
from egretford.http.tunnel import TunnelRefusedError
from tests.platform.deployment import run_deployment
from tests.platform.standins import join_events, make_event
from tests.platform.test_software_versions import add_worker, set_version

COMPLETE_BODY = b"".join(make_event(number) for number in range(1, 5))


class Links:
    """The network between one entry and all workers.

    `cut` refuses new connections or lets them hang. With `silence`, open ones live on, but pass
    nothing any more; without, they work on.
    """

    def __init__(self, entry) -> None:
        self.entry = entry
        self._dialer = entry._dialer
        self._tunnels = entry._tunnels._server
        self._open = self._dialer._open_direct
        self._connect = self._tunnels._connect
        self._connections: list[ClientConnection] = []
        self.state = "works"
        # Tunnels of others that this entry was asked for, and those that it opened, by target.
        self.asked: Counter[str] = Counter()
        self.carried: Counter[str] = Counter()
        self._dialer._open_direct = self._open_direct
        self._tunnels._connect = self._connect_tunnel
        self._admit = self._tunnels._admit
        self._tunnels._admit = self._count_asked

    async def _open_direct(self, address: str) -> ClientConnection:
        if self.state != "works":
            if self.state == "hanging":
                await asyncio.sleep(dialing.CONNECT_TIMEOUT_SECONDS)
            raise ConnectError("cut off")
        connection = await self._open(address)
        self._connections.append(connection)
        return connection

    async def _count_asked(self, ip: str, target: str) -> None:
        self.asked[target] += 1
        await self._admit(ip, target)

    async def _connect_tunnel(self, caller, target):
        if self.state != "works":
            if self.state == "hanging":
                await asyncio.sleep(self._tunnels._connect_timeout)
            raise TunnelRefusedError(502, "cut off")
        upstream = await self._connect(caller, target)
        self.carried[target] += 1
        return upstream

    def cut(self, state: str, *, silence: bool = False) -> None:
        self.state = state
        if silence:
            for connection in self._connections:
                connection._transport.write = lambda data: None
                connection.data_received = lambda data: None
                connection.eof_received = lambda: None

    def restore(self) -> None:
        self.state = "works"


@pytest.fixture
async def deployment(tmp_path, monkeypatch):
    monkeypatch.setattr(peers, "ANNOUNCE_SECONDS", 0.2)
    async with run_deployment(tmp_path, entries=3) as running:
        running.links = [Links(entry) for entry in running.entries]
        await running.wait_until(lambda: len(list_known_entries(running)) == 3)
        yield running


def list_known_entries(deployment) -> set[str]:
    found = (list(keeper._service._entries._seen) for keeper in deployment.keepers.values())
    return {name for names in found for name in names}


CUTS = {
    "refused": dict(state="refused"),
    "hanging": dict(state="hanging"),
    "hanging, open connections silent": dict(state="hanging", silence=True),
}


async def ask_each_kind(caller, mark: str):
    """Send a request of each kind, two of them kept turns of one chain."""
    return [
        await caller.ask("/ping/1", request_id=f"{mark}-safe"),
        await caller.ask("/book/1", body=b"x", request_id=f"{mark}-unsafe"),
        await caller.ask("/plan/1", body=b"x", request_id=f"{mark}-plan"),
        await caller.ask("/chat/1", body=b"one ", request_id=f"{mark}-1", Program_Id=mark),
        await caller.ask(
            "/chat/1",
            body=b"two",
            request_id=f"{mark}-2",
            Program_Id=mark,
            Previous_Turn=f"{mark}-1",
        ),
    ]


def assert_each_kind_served(deployment, answers, mark: str) -> None:
    safe, unsafe, plan, first, second = answers
    assert [answer.status for answer in answers] == [200] * 5
    assert all(answer.is_complete for answer in answers)
    assert safe.body == f"done {mark}-safe".encode()
    assert unsafe.body == f"done {mark}-unsafe".encode()
    assert plan.body == first.body == second.body == COMPLETE_BODY
    (arrival,) = deployment.arrivals(f"{mark}-2")
    assert arrival.body == b"one " + join_events(4) + b"two"
    for answer, name in zip(answers, ("safe", "unsafe", "plan", "1", "2"), strict=True):
        worker = deployment.arrivals(f"{mark}-{name}")[-1].worker
        assert answer.headers.get_text(b"Response-Signature") == f"sig.{worker}"
    for name in ("unsafe", "1", "2"):
        assert len(deployment.arrivals(f"{mark}-{name}")) == 1


# Guards against refusals and timeouts at an entry that reaches the store, the keepers and all other
# entries, but no worker; and against an entry that stays on tunnels, or leaves them in a burst.
@pytest.mark.parametrize("cut", CUTS)
async def test_an_isolated_entry_serves_each_kind_of_request_and_returns(deployment, cut):
    caller, links = deployment.callers[0], deployment.links[0]
    assert_each_kind_served(deployment, await ask_each_kind(caller, "before"), "before")
    assert not sum(other.asked.total() for other in deployment.links)
    links.cut(**CUTS[cut])
    # Later than connections that unsafe requests reuse.
    await asyncio.sleep(0.6)
    assert_each_kind_served(deployment, await ask_each_kind(caller, "cut"), "cut")
    assert sum(other.carried.total() for other in deployment.links) >= 4
    assert not links.carried
    links.restore()
    await deployment.wait_until(lambda: not deployment.entries[0]._dialer.is_isolated, 2.0)
    asked = sum(other.asked.total() for other in deployment.links)
    assert_each_kind_served(deployment, await ask_each_kind(caller, "after"), "after")
    assert sum(other.asked.total() for other in deployment.links) == asked


# Guards against an isolated entry that finds no way because its peers are isolated as well, whether
# they know it or not.
@pytest.mark.parametrize("cut", ["refused", "hanging"])
@pytest.mark.parametrize("know_it", [True, False], ids=["known", "not known yet"])
async def test_two_isolated_entries_of_three_serve_over_the_third(deployment, cut, know_it):
    for links in deployment.links[:2]:
        links.cut(cut)
    if know_it:
        for number in range(2):
            answer = await deployment.callers[number].ask("/ping/1", request_id=f"first{number}")
            assert answer.status == 200
        await asyncio.sleep(0.1)
    for number in range(2 if know_it else 1):
        mark = f"e{number}"
        answers = await ask_each_kind(deployment.callers[number], mark)
        assert_each_kind_served(deployment, answers, mark)
    assert not deployment.links[0].carried and not deployment.links[1].carried
    assert (await deployment.callers[2].ask("/book/1", request_id="third")).status == 200


# Guards against requests that go round between isolated entries, or that wait for a worker that
# none of them reaches: what did not run is refused as such, soon.
@pytest.mark.parametrize("cut", ["refused", "hanging"])
async def test_isolated_entries_that_reach_no_worker_at_all_refuse_as_not_run(deployment, cut):
    for links in deployment.links:
        links.cut(cut)
    loop = asyncio.get_running_loop()
    for count, path in enumerate(["/book/1", "/ping/1", "/chat/1", "/plan/1"], 1):
        started = loop.time()
        answer = await deployment.callers[0].ask(path, body=b"x", request_id=f"r{count}")
        assert answer.status == 503
        assert float(answer.headers.get_text(b"Retry-After")) > 0
        assert loop.time() - started < 2.0
        assert not deployment.arrivals(f"r{count}")
        # Each of two workers, at each of two peers.
        assert sum(links.asked.total() for links in deployment.links) <= 4 * count
    assert not deployment.links[0].asked
    assert not any(entry._dialer.is_isolated for entry in deployment.entries)


async def begin(caller, path: str, request_id: str) -> ClientConnection:
    """Send a request on a new connection."""
    connection = await ClientConnection.open(caller.address, 1.0)
    fields = [
        (b"Host", b"farm.example"),
        (b"Request-Id", request_id.encode()),
        (b"Deadline-Ms", b"3000"),
        (b"Content-Length", b"1"),
    ]
    connection.send(encode_head(f"POST {path} HTTP/1.1".encode(), fields) + b"x")
    return connection


async def read_events(connection, count: int) -> bytes:
    received = b""
    async with asyncio.timeout(3):
        while received.count(b"\n\n") < count:
            part = await connection.read()
            if isinstance(part, BodyPart):
                received += part.data
    return received


class PausingStream:
    """A script of a worker that sends two events, and the others once `resume` is set.

    `closed` is set when its caller's connection is closed before that.
    """

    def __init__(self) -> None:
        self.resume = asyncio.Event()
        self.closed = asyncio.Event()

    async def __call__(self, worker, arrival, responder):
        first = int(arrival.headers.get_text(b"Last-Event-Id") or 0) + 1
        responder.start_stream(200, worker.sign(arrival.request_id))
        for number in range(first, worker.events + 1):
            if number == 3 and first == 1:
                try:
                    await self.resume.wait()
                except asyncio.CancelledError:
                    self.closed.set()
                    raise
            await responder.write(make_event(number))
        responder.finish_stream()
        return True


# Guards against an unsafe call that was sent into a connection just gone silent and is refused as
# not run, or is sent again over a peer.
async def test_an_unsafe_call_into_a_silent_connection_may_have_run(deployment):
    caller = deployment.callers[0]
    for number in range(6):
        assert (await caller.ask("/book/1", request_id=f"b{number}")).status == 200
    deployment.links[0].cut("hanging", silence=True)
    answer = await caller.ask("/book/1", request_id="u1", deadline_ms=800)
    assert answer.status in (502, 504)
    assert not deployment.arrivals("u1")


# Guards against a stream that is cut off with its connection, or goes on at another version.
@pytest.mark.parametrize("version", ["v1", "v2"])
@pytest.mark.parametrize("worker_dies", [False, True], ids=["worker lives", "worker dies"])
async def test_a_stream_under_way_goes_on_over_a_peer_at_its_version(
    deployment, version, worker_dies
):
    await set_version(deployment, deployment.worker("m-2"), "v2")
    await add_worker(deployment, "m-3", "north-a", "v1")
    await add_worker(deployment, "m-4", "north-a", "v2")
    caller, links = deployment.callers[0], deployment.links[0]
    engines = [worker for worker in deployment.workers if worker.engine]
    for count in range(20):
        stream = PausingStream()
        for worker in engines:
            worker.script = stream
        request_id = f"p{count}"
        connection = await begin(caller, "/plan/1", request_id)
        received = await read_events(connection, 2)
        (arrival,) = deployment.arrivals(request_id)
        if deployment.worker(arrival.worker).version == version:
            break
        connection.close()
    assert deployment.worker(arrival.worker).version == version
    links.cut("hanging", silence=True)
    if worker_dies:
        await deployment.worker(arrival.worker).close()
    received += await read_events(connection, 2)
    assert received == COMPLETE_BODY
    assert {deployment.worker(a.worker).version for a in deployment.arrivals(request_id)} == {
        version
    }
    assert sum(other.carried.total() for other in deployment.links[1:]) >= 1
    connection.close()


def find_carrier(deployment):
    (found,) = [entry for entry in deployment.entries if entry._tunnels.active]
    return found


async def wait_for_arrival(deployment, request_id: str):
    await deployment.wait_until(lambda: deployment.arrivals(request_id), 3.0)
    await asyncio.sleep(0.05)
    return deployment.arrivals(request_id)[0]


def end_tunnels(entry) -> None:
    """Close the tunnels of an entry without a reset, as its process does when it is killed."""
    for caller_end in list(entry._tunnels._server.tunnels):
        caller_end.close()


def reset_tunnels(entry) -> None:
    for caller_end in list(entry._tunnels._server.tunnels):
        caller_end.reset()


# Guards against an unsafe call that may have run and is refused as not run, or is sent twice,
# because the entry in the middle died.
@pytest.mark.parametrize("end", [end_tunnels, reset_tunnels])
async def test_an_unsafe_call_whose_peer_dies_may_have_run(deployment, end):
    waiting = asyncio.Event()

    async def wait(worker, arrival, responder):
        await waiting.wait()
        return False

    for worker in deployment.workers:
        worker.script = wait
    deployment.links[0].cut("refused")
    asking = asyncio.create_task(deployment.callers[0].ask("/book/1", request_id="u1"))
    await wait_for_arrival(deployment, "u1")
    end(find_carrier(deployment))
    answer = await asyncio.wait_for(asking, 1.0)
    waiting.set()
    assert answer.status == 502 and len(deployment.arrivals("u1")) == 1


# Guards against a response cut short by the entry in the middle that is taken for complete, and
# against a safe call that is lost with it.
async def test_a_response_whose_peer_dies_is_not_taken_for_complete(deployment):
    stream = PausingStream()
    for worker in deployment.workers[:2]:
        worker.script = stream
    deployment.links[0].cut("refused")
    connection = await begin(deployment.callers[0], "/chat/1", "c1")
    await read_events(connection, 2)
    end_tunnels(find_carrier(deployment))
    with pytest.raises(BrokenResponseError):
        await read_events(connection, 2)
    connection.close()
    plan = await begin(deployment.callers[0], "/plan/1", "p1")
    received = await read_events(plan, 2)
    end_tunnels(find_carrier(deployment))
    assert received + await read_events(plan, 2) == COMPLETE_BODY
    plan.close()


# Guards against a response whose end is that of its connection, and that a peer which died ended:
# it cannot be told from one that its worker ended.
async def test_a_response_without_a_length_is_not_taken_for_complete(deployment):
    stream = PausingStream()

    async def send_unframed(worker, arrival, responder):
        head = encode_head(encode_status_line(200), worker.sign(arrival.request_id))
        responder._connection.write(head + make_event(1) + make_event(2))
        await stream.resume.wait()
        return True

    for worker in deployment.workers[:2]:
        worker.script = send_unframed
    deployment.links[0].cut("refused")
    connection = await begin(deployment.callers[0], "/chat/1", "c1")
    await read_events(connection, 2)
    end_tunnels(find_carrier(deployment))
    with pytest.raises(BrokenResponseError):
        while not isinstance(await asyncio.wait_for(connection.read(), 1.0), BodyEnd):
            pass
    connection.close()


# Guards against workers that go on for callers that are gone.
async def test_the_worker_learns_within_half_a_second_that_a_caller_left(deployment):
    stream = PausingStream()
    for worker in deployment.workers[:2]:
        worker.script = stream
    deployment.links[0].cut("hanging")
    connection = await begin(deployment.callers[0], "/chat/1", "c1")
    await read_events(connection, 2)
    connection.close()
    await asyncio.wait_for(stream.closed.wait(), 0.5)


# Guards against requests of others that are cut off by a planned stop, and against new ones there.
async def test_a_peer_that_stops_finishes_its_tunnels_and_opens_no_new_ones(
    deployment, monkeypatch
):
    monkeypatch.setattr(daemon, "READINESS_LAG_SECONDS", 0.2)
    stream = PausingStream()
    for worker in deployment.workers[:2]:
        worker.script = stream
    deployment.links[0].cut("refused")
    connection = await begin(deployment.callers[0], "/chat/1", "c1")
    received = await read_events(connection, 2)
    carrier = find_carrier(deployment)
    links = deployment.links[deployment.entries.index(carrier)]
    before = links.carried.total()
    draining = asyncio.create_task(carrier.drain())
    # Longer than a stop takes without tunnels.
    await asyncio.sleep(0.5)
    for number in range(4):
        answer = await deployment.callers[0].ask("/book/1", request_id=f"b{number}")
        assert answer.status == 200 and len(deployment.arrivals(f"b{number}")) == 1
    assert links.carried.total() == before
    assert not draining.done()
    stream.resume.set()
    assert received + await read_events(connection, 2) == COMPLETE_BODY
    connection.close()
    await asyncio.wait_for(draining, 1.0)


# Guards against workers that are given more time than the caller has left.
@pytest.mark.parametrize("cut", ["refused", "hanging"])
async def test_a_worker_is_given_no_more_time_than_is_left(deployment, cut):
    deployment.links[0].cut(cut)
    loop = asyncio.get_running_loop()
    for number, path in enumerate(["/book/1", "/chat/1"]):
        started = loop.time()
        arrived = {}

        async def note(worker, arrival, responder, arrived=arrived):
            arrived[arrival.request_id] = loop.time()
            return False

        for worker in deployment.workers:
            worker.script = note
        answer = await deployment.callers[0].ask(
            path, body=b"x", request_id=f"d{number}", deadline_ms=1_000
        )
        assert answer.status == 200
        (arrival,) = deployment.arrivals(f"d{number}")
        given = int(arrival.headers.get_text(b"Deadline-Ms"))
        waited = dialing.TUNNEL_DELAY_SECONDS if cut == "hanging" else 0.0
        assert 0 < given <= 1_000 - 1_000 * waited
        # The time between sending the request and its arrival counts for the entry.
        assert given >= 1_000 - 1_000 * (arrived[f"d{number}"] - started) - 1


async def send_raw(address: str, data: bytes, source: str = "127.0.0.1") -> bytes:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), local_addr=(source, 0))
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.read(), 1.0)
    finally:
        writer.close()


def make_connect(target: str, host: bytes = b"a", fields: bytes = b"") -> bytes:
    return b"CONNECT %s HTTP/1.1\r\nHost: %s\r\n%s\r\n" % (target.encode(), host, fields)


# Guards against callers who reach workers, keepers or other addresses through an entry.
@pytest.mark.parametrize("fields", [b"", b"Request-Id: c1\r\nDeadline-Ms: 1000\r\n"])
async def test_a_caller_gets_no_tunnel_at_the_port_for_callers(deployment, fields):
    for target in (deployment.worker("b-1").address, deployment.store.address, "farm.example:80"):
        request = make_connect(target, b"farm.example", fields)
        answer = await send_raw(deployment.callers[0].address, request + b"GET / HTTP/1.1\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 4") and len(answer) < 500
    assert not any(worker.arrivals for worker in deployment.workers)
    assert not sum(links.asked.total() for links in deployment.links)


# Guards against strangers who reach workers through an entry, and against entries that open tunnels
# to other addresses than those of workers that take requests.
async def test_a_tunnel_is_for_entries_and_workers_only(deployment):
    entry, worker = deployment.entries[1], deployment.worker("b-1")
    address = entry._settings.peer_address
    assert (await send_raw(address, make_connect(worker.address), "127.0.0.2")).startswith(
        b"HTTP/1.1 403 "
    )
    keeper = next(iter(deployment.keeper_settings.values()))
    for target in (
        deployment.store.address,
        keeper.peer_address,
        deployment.callers[0].address,
        deployment.entries[2]._settings.peer_address,
    ):
        assert (await send_raw(address, make_connect(target))).startswith(b"HTTP/1.1 403 ")
    assert not deployment.links[1].carried
    deployment.store.put("servers", "b-1", worker.describe("draining"))
    await deployment.wait_until(lambda: not entry.workers.has_usable_address(worker.address))
    assert (await send_raw(address, make_connect(worker.address))).startswith(b"HTTP/1.1 403 ")
    assert not deployment.links[1].carried

"""Connections to workers over real sockets: directly, or by a tunnel through another entry."""

from __future__ import annotations

import asyncio
import socket
from contextlib import AsyncExitStack, contextmanager

import pytest
from attrs import evolve

from egretford.clock import SystemClock
from egretford.entry import dialing
from egretford.entry.dialing import MAX_PEERS_ASKED, WorkerDialer
from egretford.entry.models import Worker
from egretford.entry.tunnels import MAX_TUNNELS, WorkerTunnels
from egretford.entry.workers import WorkerTable
from egretford.http.client import ClientConnection, ConnectError
from egretford.metrics import Metrics
from egretford.policy.detours import PeerEntry
from tests.entry.test_workers import FakeConnection, FakeStoreRecovery
from tests.http.test_tunnel import Upstream
from tests.platform.deployment import find_free_port
from tests.platform.standins import NullLog

CLOSED = "127.0.0.1:1"


class FakeDirectory:
    """Peers in the order given, those avoided last; counts what is asked of it."""

    def __init__(self) -> None:
        self.peers: list[PeerEntry] = []
        self.avoided: set[str] = set()
        self.lists = 0
        self.announced = 0

    async def list_peers(self):
        self.lists += 1
        return sorted(self.peers, key=lambda peer: peer.name in self.avoided)

    def avoid(self, address) -> None:
        self.avoided |= {peer.name for peer in self.peers if peer.address == address}

    def announce_now(self) -> None:
        self.announced += 1


class DirectPath:
    """Stands for the network between an entry and its workers.

    `state` is "works", "refused" or "hanging"; connections that work take `delay` seconds.
    """

    def __init__(self, dialer: WorkerDialer) -> None:
        self._open = dialer._open_direct
        self.state = "works"
        self.delay = 0.0
        self.tried: list[str] = []
        self.running = 0
        self.most_at_once = 0
        dialer._open_direct = self.open

    async def open(self, address: str) -> ClientConnection:
        self.tried.append(address)
        self.running += 1
        self.most_at_once = max(self.most_at_once, self.running)
        try:
            if self.state == "refused":
                raise ConnectError("refused")
            if self.state == "hanging":
                await asyncio.sleep(dialing.CONNECT_TIMEOUT_SECONDS)
                raise ConnectError("timed out")
            await asyncio.sleep(self.delay)
            return await self._open(address)
        finally:
            self.running -= 1


class AnyWorker:
    """Stands for the worker table, dialer and directory of a peer that refuses nothing."""

    blocked = False

    def has_usable_address(self, address):
        return True

    def is_blocked(self, address):
        return self.blocked

    async def knows(self, ip):
        return True


class Network:
    """One entry's dialer, workers, and peers that open tunnels to all workers."""

    def __init__(self, stack: AsyncExitStack) -> None:
        self._stack = stack
        self.directory = FakeDirectory()
        self.dialer = WorkerDialer(SystemClock(), Metrics(), NullLog())
        self.dialer.attach_directory(self.directory)
        self.path = DirectPath(self.dialer)
        stack.push_async_callback(self.dialer.close)
        self.upstreams: list[Upstream] = []

    async def add_worker(self) -> Worker:
        upstream = Upstream()
        await upstream.start()
        self._stack.push_async_callback(upstream.close)
        self.upstreams.append(upstream)
        name = f"w-{len(self.upstreams)}"
        return Worker(name, "m", upstream.address, "z", 8, leaving=False)

    async def add_peer(self, domain: str = "z") -> WorkerTunnels:
        """Add a peer that opens tunnels, after those there are."""
        any_worker = AnyWorker()
        tunnels = WorkerTunnels(any_worker, any_worker, any_worker, NullLog())
        tunnels.part = any_worker
        address = f"127.0.0.1:{find_free_port()}"
        await tunnels.start(address)
        self._stack.push_async_callback(tunnels.close)
        self.add_address(address, domain)
        return tunnels

    def add_address(self, address: str, domain: str = "z") -> PeerEntry:
        peer = PeerEntry(f"peer-{len(self.directory.peers) + 1}", address, domain)
        self.directory.peers.append(peer)
        return peer

    async def wait_blocked(self, worker: Worker) -> None:
        async with asyncio.timeout(dialing.CONNECT_TIMEOUT_SECONDS + 0.2):
            while not self.dialer.is_blocked(worker.address):
                await asyncio.sleep(0.01)

    async def wait_closed(self, seconds: float = 0.5) -> None:
        """Wait until no worker has an open connection."""
        async with asyncio.timeout(seconds):
            while any(not task.done() for up in self.upstreams for task in up._tasks):
                await asyncio.sleep(0.01)


@pytest.fixture
async def network():
    async with AsyncExitStack() as stack:
        yield Network(stack)


@contextmanager
def assert_faster_than(seconds: float):
    loop = asyncio.get_running_loop()
    started = loop.time()
    yield
    assert loop.time() - started < seconds


@contextmanager
def silent_address():
    """Yield an address at which connections hang, as a machine's that drops packets."""
    with socket.socket() as server:
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        clients = [socket.socket() for _ in range(4)]
        for client in clients:
            client.setblocking(False)
            client.connect_ex(server.getsockname())
        host, port = server.getsockname()
        yield f"{host}:{port}"
        for client in clients:
            client.close()


# Guards against any cost of tunnels while the network works.
async def test_a_worker_is_reached_directly_and_nothing_else_is_asked(network):
    worker = await network.add_worker()
    peer = await network.add_peer()
    network.path.delay = dialing.TUNNEL_DELAY_SECONDS / 2
    for _ in range(5):
        connection = await network.dialer.open(worker)
        assert not connection.tunnelled
        connection.close()
    assert not network.directory.lists and not network.directory.announced and not peer.active
    assert len(network.path.tried) == 5 and not network.dialer.is_isolated


@pytest.mark.parametrize("state", ["refused", "hanging"])
async def test_a_worker_that_is_cut_off_is_reached_over_a_peer(network, state):
    worker = await network.add_worker()
    await network.add_peer()
    blocked = []
    network.dialer.on_blocked = blocked.append
    network.path.state = state
    with assert_faster_than(dialing.TUNNEL_DELAY_SECONDS + 0.15):
        connection = await network.dialer.open(worker)
    assert connection.tunnelled and connection.address == worker.address
    await network.wait_blocked(worker)
    assert blocked == [worker.address] and network.directory.announced == 1
    connection.close()
    await network.wait_closed()


# Guards against waiting for a direct connection in each request during a cut.
async def test_a_blocked_worker_is_reached_over_a_peer_at_once(network):
    worker = await network.add_worker()
    await network.add_peer()
    network.path.state = "hanging"
    (await network.dialer.open(worker)).close()
    await network.wait_blocked(worker)
    with assert_faster_than(dialing.TUNNEL_DELAY_SECONDS):
        connection = await network.dialer.open(worker)
    assert connection.tunnelled
    connection.close()


# Guards against requests that are refused although their worker can be reached directly again.
async def test_a_blocked_worker_is_tried_directly_once_no_peer_gives_a_tunnel(network):
    worker = await network.add_worker()
    peer = await network.add_peer()
    network.path.state = "refused"
    (await network.dialer.open(worker)).close()
    await network.wait_blocked(worker)
    peer.draining = True
    with pytest.raises(ConnectError):
        await network.dialer.open(worker)
    network.path.state = "works"
    connection = await network.dialer.open(worker)
    assert not connection.tunnelled and not network.dialer.is_isolated
    connection.close()


# Guards against an outage while the only peer is avoided: it may give a tunnel now.
async def test_a_peer_that_gave_no_tunnel_is_asked_again_if_there_is_no_other(network):
    worker = await network.add_worker()
    peer = await network.add_peer()
    network.path.state = "refused"
    peer.draining = True
    with pytest.raises(ConnectError):
        await network.dialer.open(worker)
    peer.draining = False
    connection = await network.dialer.open(worker)
    assert connection.tunnelled
    connection.close()


# Guards against a dead worker that makes an entry in good order take itself for isolated.
@pytest.mark.parametrize("state", ["refused", "hanging"])
async def test_a_worker_that_no_peer_reaches_either_is_not_blocked(network, state):
    for domain in "zyx":
        await network.add_peer(domain)
    with silent_address() as silent:
        address = CLOSED if state == "refused" else silent
        worker = Worker("dead", "m", address, "z", 8, leaving=False)
        with pytest.raises(ConnectError), assert_faster_than(1.0):
            await network.dialer.open(worker)
    assert not network.dialer.is_isolated and not network.directory.announced


# Guards against a dead worker for whose sake an isolated entry avoids the peers that it needs.
@pytest.mark.parametrize("state", ["refused", "hanging"])
async def test_peers_that_do_not_reach_a_dead_worker_are_still_used_for_others(network, state):
    for domain in "zyx":
        await network.add_peer(domain)
    network.path.state = state
    with silent_address() as silent:
        address = CLOSED if state == "refused" else silent
        with pytest.raises(ConnectError):
            await network.dialer.open(Worker("dead", "m", address, "z", 8, leaving=False))
    connection = await network.dialer.open(await network.add_worker())
    assert connection.tunnelled
    connection.close()


# Guards against peers that are avoided because they know of one worker what this entry does not:
# that it is leaving, or that they are cut off from it; or because they were full for a moment.
@pytest.mark.parametrize("reason", ["leaving", "blocked", "exhausted"])
async def test_a_peer_that_refuses_one_worker_is_still_used_for_others(network, reason):
    worker, other = await network.add_worker(), await network.add_worker()
    peer = await network.add_peer()
    network.path.state = "refused"
    if reason == "exhausted":
        held = [object() for _ in range(MAX_TUNNELS)]
        peer._server.tunnels.update(held)
    elif reason == "leaving":
        peer.part.has_usable_address = lambda address: address != worker.address
    else:
        peer.part.is_blocked = lambda address: address == worker.address
    with pytest.raises(ConnectError):
        await network.dialer.open(worker)
    if reason == "exhausted":
        peer._server.tunnels.difference_update(held)
    connection = await network.dialer.open(other)
    assert connection.tunnelled
    connection.close()


async def stay_silent(reader, writer) -> None:
    await asyncio.sleep(10)


async def answer_nonsense(reader, writer) -> None:
    writer.write(b"\x00\x00\x00\x04oops")
    await stay_silent(reader, writer)


@pytest.fixture
async def bad_peers():
    """Addresses of peers that open no tunnel, by what they do."""
    silent, nonsense = Upstream(stay_silent), Upstream(answer_nonsense)
    for server in (silent, nonsense):
        await server.start()
    with silent_address() as hanging:
        yield {
            "of the earlier version": CLOSED,
            "silent": silent.address,
            "of another protocol": nonsense.address,
            "hanging": hanging,
        }
    for server in (silent, nonsense):
        await server.close()


# Guards against requests that fail because the first peer asked is no help.
@pytest.mark.parametrize(
    "kind", ["of the earlier version", "silent", "of another protocol", "hanging", "stopping"]
)
async def test_the_next_peer_is_asked_if_one_gives_no_tunnel(network, bad_peers, kind):
    worker = await network.add_worker()
    if kind == "stopping":
        (await network.add_peer()).draining = True
    else:
        network.add_address(bad_peers[kind])
    await network.add_peer("y")
    network.path.state = "refused"
    with assert_faster_than(dialing.TUNNEL_TIMEOUT_SECONDS + 0.15):
        connection = await network.dialer.open(worker)
    assert connection.tunnelled and network.directory.avoided == {"peer-1"}
    connection.close()


# Guards against an entry that finds no peer because its neighbours are isolated too.
async def test_two_isolated_peers_of_one_domain_do_not_end_the_search(network):
    worker = await network.add_worker()
    for _ in range(2):
        (await network.add_peer()).part.blocked = True
    await network.add_peer("y")
    network.path.state = "refused"
    connection = await network.dialer.open(worker)
    assert connection.tunnelled
    connection.close()


# Guards against a search that goes on over all entries of a deployment for one request.
async def test_a_few_peers_are_asked_for_one_tunnel(network):
    peers = [network.add_address(f"127.0.0.1:{n}", f"d-{n}") for n in range(1, 9)]
    network.path.state = "refused"
    worker = await network.add_worker()
    with pytest.raises(ConnectError):
        await network.dialer.open(worker)
    assert network.directory.avoided == {peer.name for peer in peers[:MAX_PEERS_ASKED]}
    assert not network.dialer.is_isolated


# Guards against connections that are left open: of the way that lost, and of a caller that left.
@pytest.mark.parametrize("winner", ["direct", "tunnel", "neither"])
async def test_only_the_connection_that_is_used_stays_open(network, winner):
    worker = await network.add_worker()
    peer = await network.add_peer()
    network.path.delay = 0.15 if winner == "direct" else 0.3
    if winner != "tunnel":

        async def knows_late(ip):
            await asyncio.sleep(0.2)
            return True

        peer.part.knows = knows_late
    opening = asyncio.create_task(network.dialer.open(worker))
    if winner == "neither":
        await asyncio.sleep(0.2)
        opening.cancel()
        await asyncio.gather(opening, return_exceptions=True)
    else:
        connection = await opening
        assert connection.tunnelled == (winner == "tunnel")
    await asyncio.sleep(0.4)
    # A connection that is slow to open does not block its worker.
    assert not network.dialer.is_isolated
    (upstream,) = network.upstreams
    still_open = sum(not task.done() for task in upstream._tasks)
    assert still_open == (winner != "neither")
    assert peer.active == (winner == "tunnel")
    if winner != "neither":
        connection.close()
    await network.wait_closed()


# Guards against new connections to all workers at once, during a cut and at its end.
@pytest.mark.parametrize("state", ["refused", "hanging"])
async def test_blocked_workers_are_probed_a_few_at_a_time_until_they_are_reached(
    network, monkeypatch, state
):
    monkeypatch.setattr(dialing, "PROBE_SECONDS", 0.1)
    monkeypatch.setattr(dialing, "CONNECT_TIMEOUT_SECONDS", 0.2)
    await network.add_peer()
    workers = [await network.add_worker() for _ in range(8)]
    network.path.state = state
    for worker in workers:
        (await network.dialer.open(worker)).close()
        await network.wait_blocked(worker)
    network.path.tried.clear()
    network.path.most_at_once = 0
    await asyncio.sleep(0.65)
    probes = len(network.path.tried)
    assert 2 <= probes <= 7 * dialing.MAX_PROBES
    counts = [network.path.tried.count(worker.address) for worker in workers]
    assert max(counts) - min(counts) <= 1
    network.path.state = "works"
    async with asyncio.timeout(0.5):
        while network.dialer.is_isolated:
            await asyncio.sleep(0.01)
    assert len(network.path.tried) <= probes + len(workers) + dialing.MAX_PROBES
    assert network.path.most_at_once <= dialing.MAX_PROBES
    await network.wait_closed()
    assert network.directory.announced == 2
    connection = await network.dialer.open(workers[0])
    assert not connection.tunnelled
    connection.close()
    await asyncio.sleep(0.25)
    assert len(network.path.tried) <= probes + len(workers) + dialing.MAX_PROBES + 1


# Guards against an entry that takes itself for isolated after the only blocked worker is gone.
@pytest.mark.parametrize("change", ["removed", "restarted elsewhere"])
async def test_a_worker_that_is_gone_is_not_blocked_any_more(network, monkeypatch, change):
    monkeypatch.setattr("egretford.entry.workers.REMOVAL_DELAY_SECONDS", 0.0)
    worker = await network.add_worker()
    await network.add_peer()
    table = WorkerTable(SystemClock(), FakeStoreRecovery(), network.dialer, NullLog())
    table.update_worker(worker)
    network.path.state = "refused"
    (tracked,) = table.list_usable("m")
    (await table.connect(tracked, 1.0)).close()
    assert network.dialer.is_isolated
    if change == "removed":
        table.schedule_removal(worker.id)
    else:
        table.update_worker(evolve(worker, address=CLOSED, born=5))
    table.list_usable("m")
    assert not network.dialer.is_isolated


# Guards against requests on pooled connections that a cut made silent, and against tunnels that
# are kept for later requests.
async def test_an_entry_that_becomes_isolated_closes_its_pooled_connections(network):
    first, second, third = [await network.add_worker() for _ in range(3)]
    await network.add_peer()
    table = WorkerTable(SystemClock(), FakeStoreRecovery(), network.dialer, NullLog())
    for worker in (first, second, third):
        table.update_worker(worker)
    tracked = {t.worker.id: t for t in table.list_usable("m")}
    idle = {worker.id: FakeConnection() for worker in (first, third)}
    for worker_id, connection in idle.items():
        table.release_connection(tracked[worker_id], connection)
    network.path.state = "refused"
    (await network.dialer.open(first)).close()
    assert idle[first.id].closed and not idle[third.id].closed
    connection = await table.connect(tracked[second.id], 1.0)
    assert idle[third.id].closed and not tracked[third.id].idle_connections
    table.release_connection(tracked[second.id], connection)
    assert not tracked[second.id].idle_connections
    await network.wait_closed()


# Guards against an entry that never forwards, or waits, because it has no peers yet.
async def test_without_other_entries_a_failure_is_told_as_it_is(network):
    worker = await network.add_worker()
    network.path.state = "refused"
    with pytest.raises(ConnectError, match="refused"), assert_faster_than(0.1):
        await network.dialer.open(worker)
    dialer = WorkerDialer(SystemClock(), Metrics(), NullLog())
    with pytest.raises(ConnectError):
        await dialer.open(evolve(worker, address=CLOSED))
    assert not network.dialer.is_isolated and not dialer.is_isolated

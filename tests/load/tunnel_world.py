"""Entries of three failure domains in virtual time, some cut off from all workers."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from contextvars import ContextVar

from attrs import Factory, define, field

from egretford.entry.dialing import CONNECT_TIMEOUT_SECONDS, WorkerDialer
from egretford.entry.models import Worker
from egretford.entry.peers import EntryDirectory
from egretford.entry.tunnels import WorkerTunnels
from egretford.errors import PeerUnreachableError
from egretford.http.client import (
    TARGET_UNREACHABLE_STATUS,
    TUNNELS_EXHAUSTED_STATUS,
    ConnectError,
    TargetUnreachableError,
    TunnelsExhaustedError,
)
from egretford.http.tunnel import TunnelRefusedError
from egretford.keeper.messages import EntryList
from egretford.metrics import Metrics
from egretford.policy.detours import EntryRegistry, PeerEntry
from egretford.policy.views import Member, MemberState
from tests.faults.virtual import VirtualClock
from tests.platform.standins import NullLog

REGIONS = {"a": "north", "b": "north", "c": "north"}
LATENCY_SECONDS = 0.002
MEAN_SERVICE_SECONDS = 0.1
WORKERS = tuple(
    Worker(f"w-{number}", "m", f"10.1.0.{number}:80", "a", 8, leaving=False) for number in range(6)
)
REFUSALS = {
    TARGET_UNREACHABLE_STATUS: TargetUnreachableError,
    TUNNELS_EXHAUSTED_STATUS: TunnelsExhaustedError,
}

# The entry that opens a connection in the current task.
_asker: ContextVar[Entry] = ContextVar("asker")


@define(eq=False)
class Keepers:
    """The keepers that one entry sees: one in each failure domain, nearest first."""

    world: World
    domain: str

    def list_available(self) -> list[Member]:
        return [Member(d, f"d-{d}", d, d, MemberState.ACTIVE) for d in self.world.registries]

    def rank_by_distance(self, members: list[Member]) -> list[Member]:
        return sorted(members, key=lambda member: member.failure_domain != self.domain)

    async def send_request(self, member: Member, message):
        self.world.messages += 1
        # Differs by keeper, so that the order of replies does not depend on that of tasks in sets.
        await asyncio.sleep(LATENCY_SECONDS * (1 + ord(member.name) / 1_000))
        if member.name in self.world.silent_keepers:
            await asyncio.sleep(1.0)
            raise PeerUnreachableError("silent")
        now = self.world.now
        registry = self.world.registries[member.name]
        registry.add(message.entry, now)
        # Sorted, as entries that announce themselves at one time come in any order.
        known = sorted(registry.list_seen(now), key=lambda seen: seen[0].name)
        return EntryList(tuple(known) if message.with_list else ())


class Connection:
    """A connection to a worker; `close` ends its tunnel, if it has one."""

    def __init__(self, end=None) -> None:
        self.tunnelled = end is not None
        self._end = end

    def close(self) -> None:
        if self._end is not None:
            self._end()


class Entry:
    """An entry with its dialer and tunnels; `cut` is None, "refused" or "hanging"."""

    def __init__(self, world: World, name: str, domain: str, number: int) -> None:
        self.world = world
        self.name = name
        self.domain = domain
        self.ip = f"10.0.{ord(domain)}.{number}"
        self.cut: str | None = None
        self.alive = True
        self.served: list[float] = []
        self.refused: list[float] = []
        self.carried = 0
        self.most_carried = 0
        clock = VirtualClock()
        self.dialer = WorkerDialer(clock, Metrics(), NullLog())
        self.dialer._open_direct = self._open_direct
        self.directory = EntryDirectory(
            PeerEntry(name, f"{self.ip}:9", domain),
            Keepers(world, domain),
            REGIONS,
            lambda: self.dialer.is_isolated,
            clock,
            random.Random(name),
            NullLog(),
        )
        self.dialer.attach_directory(self.directory)
        self.tunnels = WorkerTunnels(self, self.dialer, self.directory, NullLog())

    async def stop(self) -> None:
        """End as a process that is killed does."""
        self.alive = False
        await self.directory.close()

    def has_usable_address(self, address: str) -> bool:
        return True

    async def _open_direct(self, address: str) -> Connection:
        await self.pass_network(CONNECT_TIMEOUT_SECONDS)
        return Connection()

    async def pass_network(self, timeout: float) -> None:
        """Take the time of a connection to a worker; raises ConnectError if it fails."""
        await asyncio.sleep(LATENCY_SECONDS)
        if self.cut == "hanging":
            await asyncio.sleep(timeout)
        if self.cut is not None:
            raise ConnectError("cut off")

    async def accept_tunnel(self, ip: str, target: str) -> Connection:
        """Open a tunnel for another entry, as the server of tunnels does."""
        tunnel = object()
        opened = self.tunnels._server.tunnels
        opened.add(tunnel)
        try:
            await self.tunnels._admit(ip, target)
            try:
                await self.pass_network(self.tunnels._server._connect_timeout)
            except ConnectError as error:
                raise TunnelRefusedError(TARGET_UNREACHABLE_STATUS, "cut off") from error
        except BaseException:
            opened.discard(tunnel)
            raise
        self.carried += 1
        self.most_carried = max(self.most_carried, len(opened))
        return Connection(lambda: opened.discard(tunnel))

    async def serve(self, worker: Worker, seconds: float) -> None:
        """Send one request, and record when it was served or refused."""
        _asker.set(self)
        try:
            connection = await self.dialer.open(worker)
        except ConnectError:
            self.refused.append(self.world.now)
            return
        await asyncio.sleep(seconds)
        connection.close()
        self.served.append(self.world.now)


class Connections:
    """Stands for ClientConnection in the dialer."""

    def __init__(self, world: World) -> None:
        self._world = world

    async def open_tunnel(self, server: str, address: str, timeout: float) -> Connection:
        peer = self._world.find(server)
        try:
            async with asyncio.timeout(timeout):
                await asyncio.sleep(2 * LATENCY_SECONDS)
                if not peer.alive:
                    raise ConnectError("connection refused")
                return await peer.accept_tunnel(_asker.get().ip, address)
        except TunnelRefusedError as error:
            raise REFUSALS.get(error.status, ConnectError)(str(error)) from error
        except TimeoutError as error:
            raise ConnectError("timed out") from error


@define(eq=False)
class World:
    """`size` entries in each failure domain, each with `rate` requests a second."""

    size: int
    rate: float
    seed: int = 1
    messages: int = 0
    silent_keepers: set[str] = Factory(set)
    registries: dict[str, EntryRegistry] = Factory(lambda: {d: EntryRegistry() for d in REGIONS})
    entries: list[Entry] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.entries = [
            Entry(self, f"{domain}-{number}", domain, number)
            for domain in REGIONS
            for number in range(self.size)
        ]

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def find(self, address: str) -> Entry:
        return next(entry for entry in self.entries if f"{entry.ip}:9" == address)

    @property
    def isolated(self) -> list[Entry]:
        return [entry for entry in self.entries if entry.cut is not None]

    @property
    def in_touch(self) -> list[Entry]:
        return [entry for entry in self.entries if entry.cut is None and entry.alive]

    @property
    def carried(self) -> Counter[str]:
        return Counter({entry.name: entry.carried for entry in self.entries})

    async def start(self) -> None:
        for entry in self.entries:
            await entry.directory.start()
        await asyncio.sleep(0.1)

    async def send_requests(self, seconds: float) -> None:
        """Send requests at random times at all entries that run, and wait until they ended."""
        rng = random.Random(self.seed)
        senders = [
            self._send_at(entry, random.Random(rng.random()), seconds) for entry in self.entries
        ]
        await asyncio.gather(*senders)

    async def _send_at(self, entry: Entry, rng: random.Random, seconds: float) -> None:
        end = self.now + seconds
        async with asyncio.TaskGroup() as requests:
            while entry.alive:
                await asyncio.sleep(rng.expovariate(self.rate))
                if self.now >= end:
                    return
                service = rng.expovariate(1 / MEAN_SERVICE_SECONDS)
                requests.create_task(entry.serve(rng.choice(WORKERS), service))

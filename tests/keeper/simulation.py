"""Keepers and entries in one virtual event loop, joined by a simulated network."""

from __future__ import annotations

import asyncio
import random

from attrs import Factory, define, field

from egretford.controllers.loops import TaskGroup, run_every
from egretford.entry.keepers import KeeperClient
from egretford.entry.turns import Turns
from egretford.errors import (
    ErrorKind,
    PeerUnreachableError,
    RequestError,
    Verdict,
)
from egretford.keeper.copying import RecordCopier
from egretford.keeper.handover import TurnHandover
from egretford.keeper.membership import Membership
from egretford.keeper.messages import Keep, KeeperReply, KeeperRequest, Reserved, Turn, TurnPage
from egretford.keeper.records import Records
from egretford.keeper.renewals import RenewalFeed
from egretford.keeper.service import KeeperService
from egretford.metrics import Metrics
from egretford.models import ErrorReply
from egretford.policy.views import Member
from tests.faults.virtual import VirtualClock
from tests.keeper.simulated_storage import Disk, DiskAccess, Store, StoreEvacuations

REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
NEAR_LATENCY_SECONDS = 0.001
FAR_LATENCY_SECONDS = 0.012
CONNECT_TIMEOUT_SECONDS = 0.5
CATCH_UP_SECONDS = 4.8
MAINTENANCE_INTERVAL_SECONDS = 1.0
# Of the link between two regions, in each direction.
LINK_BYTES_PER_SECOND = 15_000_000 / 8


class MemoryLog:
    """A logger that keeps its lines with the virtual time, for the trace of a failed run."""

    def __init__(self, lines: list[str], name: str) -> None:
        self._lines, self._name = lines, name

    def _write(self, event: str, **fields) -> None:
        now = asyncio.get_running_loop().time()
        values = " ".join(f"{key}={value}" for key, value in fields.items())
        self._lines.append(f"{now:8.3f} {self._name}: {event} {values}")

    info = warning = error = _write


@define(eq=False)
class Machine:
    """A process on a machine and its network address; `process` is None while it is down."""

    name: str
    domain: str
    disk: Disk | None = None
    process: KeeperProcess | EntryProcess | None = None
    has_power: bool = True
    lost_until: float = 0.0

    @property
    def is_up(self) -> bool:
        return self.process is not None


@define(eq=False)
class Network:
    """Delivers requests between machines; `cuts` holds pairs (source, target) without traffic."""

    rng: random.Random
    machines: dict[str, Machine] = Factory(dict)
    cuts: set[tuple[str, str]] = Factory(set)
    _silent: set[tuple[str, str]] = Factory(set)
    _link_idle_at: dict[tuple[str, str], float] = Factory(dict)

    async def _transfer(self, source: str, target: str, message) -> None:
        """Wait for a message on the link between regions, whose bandwidth all messages share."""
        await asyncio.sleep(self._measure_latency(source, target))
        regions = tuple(REGIONS[self.machines[name].domain] for name in (source, target))
        if regions[0] == regions[1]:
            return
        now = asyncio.get_running_loop().time()
        idle_at = max(now, self._link_idle_at.get(regions, 0.0))
        self._link_idle_at[regions] = idle_at + count_text_bytes(message) / LINK_BYTES_PER_SECOND
        await asyncio.sleep(self._link_idle_at[regions] - now)

    def _measure_latency(self, source: str, target: str) -> float:
        domains = [self.machines[name].domain for name in (source, target)]
        same_region = len({REGIONS[domain] for domain in domains}) == 1
        base = NEAR_LATENCY_SECONDS if same_region else FAR_LATENCY_SECONDS
        return base * self.rng.uniform(0.8, 1.5)

    async def ask(self, source: str, target: str, message, seconds: float):
        started = asyncio.get_running_loop().time()
        machine = self.machines[target]
        pair = (source, target)

        async def fail_silently():
            # An open connection is given up at the timeout, a new one is not established.
            limit = CONNECT_TIMEOUT_SECONDS if pair in self._silent else seconds
            self._silent.add(pair)
            elapsed = asyncio.get_running_loop().time() - started
            await asyncio.sleep(max(0.0, min(limit, seconds) - elapsed))
            raise PeerUnreachableError(f"{target}: timeout")

        await self._transfer(source, target, message)
        process = machine.process
        if pair in self.cuts or (process is None and not machine.has_power):
            await fail_silently()
        if process is None:
            raise PeerUnreachableError(f"{target}: connection refused")
        task = asyncio.ensure_future(process.answer(message))
        process.requests.add(task)
        task.add_done_callback(process.requests.discard)
        elapsed = asyncio.get_running_loop().time() - started
        await asyncio.wait({task}, timeout=max(0.0, seconds - elapsed))
        if not task.done() or task.cancelled() or (target, source) in self.cuts:
            task.add_done_callback(lambda done: done.cancelled() or done.exception())
            if task.cancelled() and machine.has_power:
                raise PeerUnreachableError(f"{target}: connection lost")
            await fail_silently()
        reply = task.result()
        await self._transfer(target, source, reply)
        if asyncio.get_running_loop().time() - started > seconds:
            await fail_silently()
        self._silent.discard(pair)
        if isinstance(reply, ErrorReply):
            raise reply.to_error()
        return reply


def count_text_bytes(message: KeeperRequest | KeeperReply) -> int:
    """Return the size of the turns in a message; the rest is small."""
    match message:
        case Keep(turn=Turn() as turn):
            turns = [turn]
        case Reserved():
            turns = message.chain
        case TurnPage():
            turns = message.turns
        case _:
            turns = []
    return sum(len(turn.request_text) + len(turn.answer_text) for turn in turns)


@define(eq=False)
class MachinePeers:
    network: Network
    source: str

    async def ask(self, address: str, message, seconds: float):
        return await self.network.ask(self.source, address, message, seconds)

    def keep_only(self, addresses: set[str]) -> None:
        return


class KeeperProcess:
    """The components of a keeper, wired as in its daemon."""

    def __init__(self, world: World, machine: Machine) -> None:
        log = MemoryLog(world.lines, machine.name)
        clock = VirtualClock()
        self.access = DiskAccess(machine.disk)
        self.records = Records(self.access, clock, log)
        self.requests: set[asyncio.Task] = set()
        peers = MachinePeers(world.network, machine.name)
        disk = machine.disk.name
        self.service = KeeperService(
            self.access, disk, world.tolerated, self.records, clock, Metrics(), log, REGIONS
        )
        self.copier = RecordCopier(
            machine.name, disk, self.service, self.records, peers, self.access, clock, log
        )
        self.service.on_view_adopted = self.copier.handle_new_view
        self.renewals = RenewalFeed(
            machine.name, disk, self.service, self.records, self.copier, peers, clock, log
        )
        self._maintenance = TaskGroup()
        self._clock, self._log = clock, log
        self.membership = Membership(
            Member(machine.name, disk, machine.name, machine.domain),
            self.service,
            self.records,
            self.copier,
            world.store,
            StoreEvacuations(world.store),
            self.access,
            TurnHandover(self.service, self.records, peers, world.tolerated, log),
            world.tolerated,
            clock,
            log,
        )

    async def start(self) -> None:
        self.records.load()
        self.service.load_view(self.access.disk.completion)
        await self.copier.start()
        await self.renewals.start()
        await self.membership.start()
        self._maintenance.spawn(
            run_every(self._clock, MAINTENANCE_INTERVAL_SECONDS, self.records.expire, self._log)
        )

    async def answer(self, message):
        try:
            return await self.service.answer(message)
        except RequestError as error:
            return ErrorReply.from_error(error)
        except Exception as error:
            return ErrorReply(ErrorKind.INTERNAL, repr(error), Verdict.MAY_HAVE_RUN)

    def kill(self, has_power: bool) -> None:
        self.access.kill(has_power)
        groups = (
            self.copier._tasks,
            self.renewals._tasks,
            self.membership._tasks,
            self._maintenance,
        )
        for task in {*self.requests, *(task for group in groups for task in group._tasks)}:
            task.cancel()


class EntryProcess:
    """The part of an entry that admits and keeps turns."""

    def __init__(self, world: World, machine: Machine) -> None:
        log = MemoryLog(world.lines, machine.name)
        self.requests: set[asyncio.Task] = set()
        self.client = KeeperClient(
            MachinePeers(world.network, machine.name),
            world.store.read,
            world.tolerated,
            machine.domain,
            REGIONS,
            VirtualClock(),
            log,
        )
        self.turns = Turns(self.client, VirtualClock(), log)

    async def start(self) -> None:
        await self.client.start()

    def kill(self, has_power: bool) -> None:
        for task in {*self.requests, *self.client._tasks._tasks}:
            task.cancel()


@define(eq=False)
class World:
    """All machines of one run, and the faults that can be applied to them."""

    rng: random.Random
    tolerated: int
    store: Store = field(init=False)
    network: Network = field(init=False)
    lines: list[str] = Factory(list)
    _disk_count: int = 0

    def __attrs_post_init__(self) -> None:
        self.store, self.network = Store(self.rng), Network(self.rng)

    def note(self, text: str) -> None:
        self.lines.append(f"{self.now:8.3f} === {text}")

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    @property
    def keepers(self) -> list[Machine]:
        return [m for m in self.network.machines.values() if m.disk is not None]

    @property
    def entries(self) -> list[Machine]:
        return [m for m in self.network.machines.values() if m.disk is None]

    def make_disk(self, name: str) -> Disk:
        self._disk_count += 1
        return Disk(f"disk-{self._disk_count}-{name}", self.rng)

    async def add_keeper(self, name: str, domain: str) -> Machine:
        machine = Machine(name, domain, self.make_disk(name))
        self.network.machines[name] = machine
        await self.start(machine)
        return machine

    async def add_entry(self, name: str, domain: str) -> Machine:
        machine = self.network.machines[name] = Machine(name, domain)
        await self.start(machine)
        return machine

    async def start(self, machine: Machine) -> None:
        self.note(f"{machine.name} starts")
        kind = EntryProcess if machine.disk is None else KeeperProcess
        process = kind(self, machine)
        machine.has_power = True
        await process.start()
        machine.process = process

    def kill(self, machine: Machine, *, has_power: bool = True) -> None:
        self.note(f"{machine.name} is killed, power={has_power}")
        machine.has_power = has_power
        if machine.process is not None:
            machine.process.kill(has_power)
        machine.process = None

    def replace_disk(self, machine: Machine) -> None:
        self.note(f"{machine.name} loses its disk")
        machine.disk = self.make_disk(machine.name)

    def remove(self, machine: Machine) -> None:
        """Remove a machine with its disk; its address stays silent."""
        self.kill(machine, has_power=False)
        machine.disk = Disk("removed", self.rng)

    def cut(self, sources: list[Machine], targets: list[Machine]) -> set[tuple[str, str]]:
        """Cut traffic in one direction; returns the cuts, for `heal`."""
        cuts = {(a.name, b.name) for a in sources for b in targets if a is not b}
        self.network.cuts |= cuts
        return cuts

    def heal(self, cuts: set[tuple[str, str]]) -> None:
        self.network.cuts -= cuts

    def list_copies(self, turn_id: str) -> list[str]:
        """The names of the running members of the view that hold a turn on disk."""
        disks = {member.disk for member in self.store.view.members}
        return [
            m.name
            for m in self.keepers
            if m.is_up and m.disk.name in disks and m.process.records.has_turn(turn_id)
        ]

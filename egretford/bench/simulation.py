"""A small loop over the decision code and the engine's model, in modelled time."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from functools import partial

from attrs import Factory, define

from egretford.bench.deployments import Deployment
from egretford.bench.policies import Policy, build_policy
from egretford.bench.programs import (
    SYSTEM_TOKENS,
    BenchProgram,
    Turn,
    measure_call,
)
from egretford.policy.placement import BYTES_PER_TOKEN, PlacementRequest
from egretford.policy.queue import Waiting
from egretford.policy.shard import Expired, Grant
from egretford.standin.batching import BatchModel, EngineProfile, EngineRequest
from egretford.standin.cache import Block

LOAD_INTERVAL = 1.0
LOAD_LAG = 0.5
CALL_SECONDS = 120.0
RETRY_SECONDS = 1.0
PROGRAM_SECONDS = 240.0
WARM_UP_SHARE = 0.3


FAULTS = ("none", "crash", "leaving", "home-moves")


@define
class BenchRequest(EngineRequest):
    """An engine request of known length whose blocks are numbers, without text."""

    answer_chain: int = 0
    wanted: int = 1

    def __attrs_post_init__(self) -> None:
        self.emitted = 0
        self.length = self.wanted

    def final_blocks(self) -> list[Block]:
        """Return the blocks of the prompt and its answer."""
        return [*self.blocks, Block(self.answer_chain, self.wanted)]


@define
class Agent:
    """A program or sub-agent that runs its turns one by one."""

    program: BenchProgram
    name: str
    turns: list[Turn]
    on_done: Callable[[], None]
    blocks: list[Block]
    turn: int = 0
    waiting_agents: int = 0


@define
class Totals:
    """What a run measured."""

    wasted_tokens: int = 0
    moved_tokens: int = 0
    prompt_tokens: int = 0
    link_bytes: int = 0
    refused: int = 0
    late_refused: int = 0
    served_seconds: float = 0.0


@define
class Running:
    """A call that was granted."""

    agent: Agent
    turn: Turn
    request: BenchRequest
    worker: str
    started: float


@define
class Simulation:
    """One run of one policy."""

    policy: Policy
    deployment: Deployment
    rng: random.Random
    profile: EngineProfile
    last_report: float = 0.0
    warm_up: float = 0.0
    now: float = 0.0
    events: list[tuple[float, int, Callable[[], None]]] = Factory(list)
    sequence: int = 0
    engines: dict[str, BatchModel] = Factory(dict)
    stepping: set[str] = Factory(set)
    domains: dict[str, str] = Factory(dict)
    tickets: dict[str, tuple[Agent, Turn]] = Factory(dict)
    running: dict[str, Running] = Factory(dict)
    attained: dict[str, float] = Factory(dict)
    warm: dict[str, tuple[str, int]] = Factory(dict)
    totals: Totals = Factory(Totals)
    leaving: set[str] = Factory(set)
    down: set[str] = Factory(set)

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self.sequence += 1
        heapq.heappush(self.events, (when, self.sequence, action))

    def run(self, programs: list[BenchProgram], fault: str, horizon: float) -> None:
        """Run all programs; a fault comes at a third of the horizon."""
        for worker in self.deployment.list_workers():
            self.engines[worker.name] = BatchModel(self.profile)
            self.domains[worker.name] = worker.failure_domain
        for program in programs:
            self.at(program.arrives, lambda p=program: self._start_program(p))
        self.at(LOAD_INTERVAL, self._report_loads)
        self.at(horizon / 3, lambda: self._inject(fault))
        self.last_report = horizon + PROGRAM_SECONDS
        self.warm_up = horizon * WARM_UP_SHARE
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()

    # -- programs ---------------------------------------------------------------------

    def _start_program(self, program: BenchProgram) -> None:
        def done() -> None:
            program.finished = self.now
            self._forget(program.name)
            self._release(program.name)

        system = Block(hash(("system", self.deployment.name)), SYSTEM_TOKENS)
        agent = Agent(program, program.name, program.turns, done, [system])
        self._next_turn(agent)

    def _forget(self, name: str) -> None:
        """Drop what is known of a whole program."""
        self.attained.pop(name, None)
        for agent in [known for known in self.warm if known.split(".")[0] == name]:
            self._release(agent)

    def _release(self, name: str) -> None:
        """Free the memory of an ended program or sub-agent."""
        self.warm.pop(name, None)
        self.policy.note_cached(name, "", 0)
        for engine in self.engines.values():
            engine.cache.release(name)

    def _next_turn(self, agent: Agent) -> None:
        if agent.program.refused:
            return
        if agent.turn >= len(agent.turns):
            agent.on_done()
            return
        self._send(agent, agent.turns[agent.turn], first=True)

    def _send(self, agent: Agent, turn: Turn, *, first: bool) -> None:
        if agent.program.refused:
            return
        self.sequence += 1
        if first:
            number = len(agent.blocks)
            agent.blocks.append(Block(hash((agent.name, number)), turn.prompt_tokens))
        ticket = f"{agent.name}/{agent.turn}/{self.sequence}"
        self.tickets[ticket] = (agent, turn)
        call = self._describe(agent, ticket)
        if not self.policy.submit(call, self.now):
            self._refuse(ticket, late=False)
            return
        self._dispatch()

    def _describe(self, agent: Agent, ticket: str) -> Waiting:
        worker, tokens = self.warm.get(agent.name, ("", 0))
        placement = PlacementRequest(
            program=agent.name,
            prompt_tokens=sum(block.tokens for block in agent.blocks),
            cached={worker: tokens} if worker else {},
            region=agent.program.region,
            cache_weight=self.deployment.cache_weight,
        )
        return Waiting(
            ticket=ticket,
            tree=agent.program.name,
            tenant=agent.program.tenant,
            urgency=agent.program.urgency,
            opened=agent.program.arrives,
            attained=self.attained.get(agent.program.name, 0.0),
            arrived=self.now,
            deadline=self.now + CALL_SECONDS,
            placement=placement,
        )

    def _refuse(self, ticket: str, *, late: bool) -> None:
        """A refused call is sent again after a pause, until its program is too old."""
        agent, turn = self.tickets.pop(ticket)
        self.totals.refused += 1
        self.totals.late_refused += late
        if self.now - agent.program.arrives > PROGRAM_SECONDS:
            agent.program.refused = True
            self._forget(agent.program.name)
            return
        self.at(self.now + RETRY_SECONDS, lambda: self._send(agent, turn, first=False))

    # -- calls ------------------------------------------------------------------------

    def _dispatch(self) -> None:
        for result in self.policy.dispatch(self.now):
            match result:
                case Grant():
                    self._start_call(result)
                case Expired(ticket):
                    self._refuse(ticket, late=True)

    def _start_call(self, grant: Grant) -> None:
        agent, turn = self.tickets.pop(grant.ticket)
        if grant.worker in self.down or grant.worker in self.leaving:
            self.policy.finish(grant.ticket, self.now, failed=True)
            self.tickets[grant.ticket] = (agent, turn)
            self._refuse(grant.ticket, late=False)
            return
        request = BenchRequest(
            request_id=grant.ticket,
            program=agent.name,
            messages=[],
            max_tokens=turn.completion_tokens,
            blocks=list(agent.blocks),
            answer_chain=hash((agent.name, len(agent.blocks))),
            wanted=turn.completion_tokens,
        )
        self.running[grant.ticket] = Running(agent, turn, request, grant.worker, self.now)
        delay = self._cross_link(agent, grant.worker, request)
        self.at(self.now + delay, lambda: self._submit(grant.ticket))

    def _cross_link(self, agent: Agent, worker: str, request: BenchRequest) -> float:
        """Return the delay to a worker; a prompt sent to the other region is paid."""
        if self.deployment.regions[self.domains[worker]] == agent.program.region:
            return 0.001
        bytes_sent = BYTES_PER_TOKEN * request.prompt_tokens
        self.totals.link_bytes += bytes_sent
        return 0.012 + 8 * bytes_sent / 15_000_000

    def _submit(self, ticket: str) -> None:
        running = self.running.get(ticket)
        if running is None:
            return
        self.engines[running.worker].submit(running.request)
        if running.worker not in self.stepping:
            self._step(running.worker)

    def _step(self, worker: str) -> None:
        engine = self.engines[worker]
        if engine.is_idle:
            self.stepping.discard(worker)
            return
        self.stepping.add(worker)
        duration, progressed = engine.step()
        done = [request for request in progressed if request.is_done]
        self.at(self.now + duration, lambda: self._end_step(worker, engine, done))

    def _end_step(self, worker: str, engine: BatchModel, done: list[BenchRequest]) -> None:
        if self.engines[worker] is not engine:
            return
        for request in done:
            self._finish_call(request)
        self._step(worker)
        if done:
            self._dispatch()

    def _finish_call(self, request: BenchRequest) -> None:
        running = self.running.pop(request.request_id)
        agent, turn = running.agent, running.turn
        self.policy.finish(request.request_id, self.now)
        self._count(agent, request, running.worker)
        tree = agent.program.name
        self.attained[tree] = self.attained.get(tree, 0.0) + self.now - running.started
        agent.blocks = request.final_blocks()
        tokens = request.prompt_tokens + request.length
        self.warm[agent.name] = (running.worker, tokens)
        self.policy.note_cached(agent.name, running.worker, tokens)
        agent.turn += 1
        self._run_agents(agent, turn)

    def _count(self, agent: Agent, request: BenchRequest, worker: str) -> None:
        totals = self.totals
        totals.prompt_tokens += request.prompt_tokens
        if self.last_report - PROGRAM_SECONDS >= self.now >= self.warm_up:
            demand = measure_call(request.length, agent.turns[agent.turn].prompt_tokens)
            totals.served_seconds += demand
        reusable = request.prompt_tokens - agent.turns[agent.turn].prompt_tokens
        wasted = max(0, reusable - request.cached)
        totals.wasted_tokens += wasted
        if self.warm.get(agent.name, ("",))[0] not in ("", worker):
            totals.moved_tokens += wasted

    def _run_agents(self, agent: Agent, turn: Turn) -> None:
        if not turn.agents:
            self.at(self.now + turn.pause, lambda: self._next_turn(agent))
            return
        agent.waiting_agents = len(turn.agents)

        def one_done(child: str) -> None:
            self._release(child)
            agent.waiting_agents -= 1
            if agent.waiting_agents == 0:
                self._next_turn(agent)

        for number, turns in enumerate(turn.agents):
            name = f"{agent.name}.{agent.turn}.{number}"
            child = Agent(agent.program, name, turns, partial(one_done, name), agent.blocks[:1])
            self._next_turn(child)

    # -- load and faults ----------------------------------------------------------------

    def _report_loads(self) -> None:
        for name, engine in self.engines.items():
            load = len(engine.running) + len(engine.waiting)
            leaving = name in self.leaving
            self.at(
                self.now + LOAD_LAG,
                lambda n=name, w=load, v=leaving: self.policy.report(n, w, v, self.now),
            )
        self._dispatch()
        if self.now < self.last_report and self.events:
            self.at(self.now + LOAD_INTERVAL, self._report_loads)

    def _inject(self, fault: str) -> None:
        victim = sorted(self.engines)[0]
        match fault:
            case "crash":
                self._crash(victim)
            case "leaving":
                self.leaving.add(victim)
            case "home-moves":
                self._move_home()

    def _crash(self, worker: str) -> None:
        self.engines[worker] = BatchModel(self.profile)
        self.stepping.discard(worker)
        self.down.add(worker)
        self.at(self.now + 2.0, lambda: self.down.discard(worker))
        lost = [t for t, running in self.running.items() if running.worker == worker]
        for ticket in lost:
            running = self.running.pop(ticket)
            self.policy.finish(ticket, self.now, failed=True)
            self.at(
                self.now + 0.1,
                lambda r=running: self._send(r.agent, r.turn, first=False),
            )

    def _move_home(self) -> None:
        """A new home starts without state; calls that waited are offered to it again."""
        former = self.policy
        if not hasattr(former, "shard"):
            return
        fresh = build_policy(
            "shard", self.deployment.list_workers(), self.profile, self.deployment.regions
        )
        fresh.shard.grants = dict(former.shard.grants)
        for grant in fresh.shard.grants.values():
            fresh.shard.workers[grant.worker].granted += 1
        for call in former.shard.list_waiting():
            fresh.submit(call, self.now)
        self.policy = fresh

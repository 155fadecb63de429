"""Discrete-event simulation of one policy over the stand-in engine's batching model."""

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
    estimate_call_seconds,
)
from egretford.policy.placement import BYTES_PER_TOKEN, PlacementRequest
from egretford.policy.queue import Waiting
from egretford.policy.shard import Expired, Grant
from egretford.standin.batching import BatchModel, EngineProfile, EngineRequest
from egretford.standin.cache import Block

LOAD_REPORT_INTERVAL_SECONDS = 1.0
LOAD_LAG_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 120.0
RETRY_DELAY_SECONDS = 1.0
# A program this old is abandoned at its next refusal.
PROGRAM_RETRY_SECONDS = 240.0
# Share of the horizon before served demand is counted.
WARM_UP_SHARE = 0.3

# `home-moves` replaces the shard by one that has only the running grants; `crash` and `leaving`
# affect one worker.
FAULTS = ("none", "crash", "leaving", "home-moves")


@define
class BenchRequest(EngineRequest):
    """An engine request with a given output length and blocks that have no text."""

    answer_chain: int = 0
    answer_tokens: int = 1

    def __attrs_post_init__(self) -> None:
        self.emitted = 0
        self.length = self.answer_tokens

    def final_blocks(self) -> list[Block]:
        """Return the blocks of the prompt and one block for the completion."""
        return [*self.blocks, Block(self.answer_chain, self.answer_tokens)]


@define
class Agent:
    """A program or sub-agent; `turn` is the index of its current turn."""

    program: BenchProgram
    name: str
    turns: list[Turn]
    on_done: Callable[[], None]
    blocks: list[Block]
    turn: int = 0
    pending_agents: int = 0


@define
class Totals:
    """Counters of a run.

    `wasted_tokens` could have been cached but were prefilled again; `moved_tokens` are
    those of them whose call ran on another worker than the previous one.
    """

    wasted_tokens: int = 0
    moved_tokens: int = 0
    prompt_tokens: int = 0
    link_bytes: int = 0
    refused: int = 0
    late_refused: int = 0
    served_seconds: float = 0.0


@define
class RunningCall:
    """A granted call, until it completes or its worker crashes."""

    agent: Agent
    turn: Turn
    request: BenchRequest
    worker: str
    started: float


@define
class Simulation:
    """One run of one policy; all times are simulated seconds.

    `cache_locations` has the worker and tokens of each agent's last completed prompt, and
    `attained` the service time of each program, summed over its calls.
    """

    policy: Policy
    deployment: Deployment
    rng: random.Random
    profile: EngineProfile
    last_report_at: float = 0.0
    measured_from: float = 0.0
    now: float = 0.0
    events: list[tuple[float, int, Callable[[], None]]] = Factory(list)
    sequence: int = 0
    engines: dict[str, BatchModel] = Factory(dict)
    stepping_workers: set[str] = Factory(set)
    domains: dict[str, str] = Factory(dict)
    tickets: dict[str, tuple[Agent, Turn]] = Factory(dict)
    running: dict[str, RunningCall] = Factory(dict)
    attained: dict[str, float] = Factory(dict)
    cache_locations: dict[str, tuple[str, int]] = Factory(dict)
    totals: Totals = Factory(Totals)
    leaving: set[str] = Factory(set)
    down: set[str] = Factory(set)

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action; actions at the same time run in order of scheduling."""
        self.sequence += 1
        heapq.heappush(self.events, (when, self.sequence, action))

    def run(self, programs: list[BenchProgram], fault: str, horizon: float) -> None:
        """Run all programs; the fault is injected at a third of the horizon."""
        for worker in self.deployment.list_workers():
            self.engines[worker.name] = BatchModel(self.profile)
            self.domains[worker.name] = worker.failure_domain
        for program in programs:
            self.schedule(program.arrives_at, lambda p=program: self._start_program(p))
        self.schedule(LOAD_REPORT_INTERVAL_SECONDS, self._report_loads)
        self.schedule(horizon / 3, lambda: self._inject(fault))
        self.last_report_at = horizon + PROGRAM_RETRY_SECONDS
        self.measured_from = horizon * WARM_UP_SHARE
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()

    # -- programs ---------------------------------------------------------------------

    def _start_program(self, program: BenchProgram) -> None:
        def done() -> None:
            program.finished_at = self.now
            self._forget_program(program.name)
            self._release(program.name)

        system = Block(hash(("system", self.deployment.name)), SYSTEM_TOKENS)
        agent = Agent(program, program.name, program.turns, done, [system])
        self._next_turn(agent)

    def _forget_program(self, name: str) -> None:
        """Drop the state of a program and release all its agents."""
        self.attained.pop(name, None)
        for agent in [key for key in self.cache_locations if key.split(".")[0] == name]:
            self._release(agent)

    def _release(self, name: str) -> None:
        """Free the cached blocks of an ended program or sub-agent on all engines."""
        self.cache_locations.pop(name, None)
        self.policy.record_cached(name, "", 0)
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
        call = self._build_call(agent, ticket)
        if not self.policy.submit(call, self.now):
            self._refuse(ticket, late=False)
            return
        self._dispatch()

    def _build_call(self, agent: Agent, ticket: str) -> Waiting:
        worker, tokens = self.cache_locations.get(agent.name, ("", 0))
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
            opened=agent.program.arrives_at,
            attained=self.attained.get(agent.program.name, 0.0),
            arrived=self.now,
            deadline=self.now + CALL_TIMEOUT_SECONDS,
            placement=placement,
        )

    def _refuse(self, ticket: str, *, late: bool) -> None:
        """Schedule a retry of a refused call, or abandon its program if that is too old.

        `late` marks calls that were refused after they had waited in the queue.
        """
        agent, turn = self.tickets.pop(ticket)
        self.totals.refused += 1
        self.totals.late_refused += late
        if self.now - agent.program.arrives_at > PROGRAM_RETRY_SECONDS:
            agent.program.refused = True
            self._forget_program(agent.program.name)
            return
        self.schedule(self.now + RETRY_DELAY_SECONDS, lambda: self._send(agent, turn, first=False))

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
            answer_tokens=turn.completion_tokens,
        )
        self.running[grant.ticket] = RunningCall(agent, turn, request, grant.worker, self.now)
        delay = self._send_over_link(agent, grant.worker, request)
        self.schedule(self.now + delay, lambda: self._submit(grant.ticket))

    def _send_over_link(self, agent: Agent, worker: str, request: BenchRequest) -> float:
        """Return the network delay to a worker in seconds.

        A prompt for another region is counted as link traffic; the link has 12 ms and 15 Mbit/s.
        """
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
        if running.worker not in self.stepping_workers:
            self._step(running.worker)

    def _step(self, worker: str) -> None:
        engine = self.engines[worker]
        if engine.is_idle:
            self.stepping_workers.discard(worker)
            return
        self.stepping_workers.add(worker)
        duration, progressed = engine.step()
        done = [request for request in progressed if request.is_done]
        self.schedule(self.now + duration, lambda: self._end_step(worker, engine, done))

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
        self._record_totals(agent, request, running.worker)
        tree = agent.program.name
        self.attained[tree] = self.attained.get(tree, 0.0) + self.now - running.started
        agent.blocks = request.final_blocks()
        tokens = request.prompt_tokens + request.length
        self.cache_locations[agent.name] = (running.worker, tokens)
        self.policy.record_cached(agent.name, running.worker, tokens)
        agent.turn += 1
        self._run_agents(agent, turn)

    def _record_totals(self, agent: Agent, request: BenchRequest, worker: str) -> None:
        totals = self.totals
        totals.prompt_tokens += request.prompt_tokens
        if self.last_report_at - PROGRAM_RETRY_SECONDS >= self.now >= self.measured_from:
            demand = estimate_call_seconds(request.length, agent.turns[agent.turn].prompt_tokens)
            totals.served_seconds += demand
        reusable = request.prompt_tokens - agent.turns[agent.turn].prompt_tokens
        wasted = max(0, reusable - request.cached)
        totals.wasted_tokens += wasted
        if self.cache_locations.get(agent.name, ("",))[0] not in ("", worker):
            totals.moved_tokens += wasted

    def _run_agents(self, agent: Agent, turn: Turn) -> None:
        if not turn.agents:
            self.schedule(self.now + turn.pause, lambda: self._next_turn(agent))
            return
        agent.pending_agents = len(turn.agents)

        def child_done(child: str) -> None:
            self._release(child)
            agent.pending_agents -= 1
            if agent.pending_agents == 0:
                self._next_turn(agent)

        for number, turns in enumerate(turn.agents):
            name = f"{agent.name}.{agent.turn}.{number}"
            child = Agent(agent.program, name, turns, partial(child_done, name), agent.blocks[:1])
            self._next_turn(child)

    # -- load and faults ----------------------------------------------------------------

    def _report_loads(self) -> None:
        for name, engine in self.engines.items():
            load = len(engine.running) + len(engine.waiting)
            leaving = name in self.leaving
            self.schedule(
                self.now + LOAD_LAG_SECONDS,
                lambda n=name, w=load, v=leaving: self.policy.report(n, w, v, self.now),
            )
        self._dispatch()
        if self.now < self.last_report_at and self.events:
            self.schedule(self.now + LOAD_REPORT_INTERVAL_SECONDS, self._report_loads)

    def _inject(self, fault: str) -> None:
        failing_worker = sorted(self.engines)[0]
        match fault:
            case "crash":
                self._crash(failing_worker)
            case "leaving":
                self.leaving.add(failing_worker)
            case "home-moves":
                self._move_home()

    def _crash(self, worker: str) -> None:
        self.engines[worker] = BatchModel(self.profile)
        self.stepping_workers.discard(worker)
        self.down.add(worker)
        self.schedule(self.now + 2.0, lambda: self.down.discard(worker))
        lost = [t for t, running in self.running.items() if running.worker == worker]
        for ticket in lost:
            running = self.running.pop(ticket)
            self.policy.finish(ticket, self.now, failed=True)
            self.schedule(
                self.now + 0.1,
                lambda r=running: self._send(r.agent, r.turn, first=False),
            )

    def _move_home(self) -> None:
        """Replace the shard by a new one, as if the pool's home moved to another entry.

        Only running grants are carried over; queued calls are submitted again.
        """
        former = self.policy
        if not hasattr(former, "shard"):
            return
        replacement = build_policy(
            "shard", self.deployment.list_workers(), self.profile, self.deployment.regions
        )
        replacement.shard.grants = dict(former.shard.grants)
        for grant in replacement.shard.grants.values():
            replacement.shard.workers[grant.worker].granted += 1
        for call in former.shard.list_waiting():
            replacement.submit(call, self.now)
        self.policy = replacement

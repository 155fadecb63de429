"""Random programs for the bench: turns, tool pauses and sub-agents.

The policies are not told how many turns or sub-agents a program will have.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

from attrs import Factory, define, frozen

from egretford.models import Urgency
from egretford.standin.batching import EngineProfile

# Length of the system prompt that all programs of a deployment share.
SYSTEM_TOKENS = 600
TENANTS = 12
HEAVY_TENANT = "tenant-0"


@frozen
class Shape:
    """Parameters of a workload; numbers of tokens and seconds are means, `turns` is roughly one.

    A third of `agents` is the probability that a turn starts one to three sub-agents, which can
    be nested two levels deep.
    `burst` is the mean number of programs that arrive together. `heavy_share` is the
    share of programs that go to `HEAVY_TENANT` in addition to its random ones.
    """

    name: str
    turns: float = 7.0
    prompt_tokens: float = 350.0
    completion_tokens: float = 50.0
    pause_seconds: float = 1.5
    agents: float = 0.3
    burst: float = 1.0
    heavy_share: float = 0.0


SHAPES = (
    Shape("steady"),
    Shape("bursty", burst=6.0),
    Shape("heavy-tenant", heavy_share=0.6),
    Shape("long-pauses", pause_seconds=8.0),
    Shape("deep-agents", agents=1.2, turns=4.0),
)


@define
class Turn:
    """One model call, followed by a pause or by sub-agents that run in parallel.

    The next turn starts after the pause or the last sub-agent.
    """

    prompt_tokens: int
    completion_tokens: int
    pause: float
    agents: list[list[Turn]] = Factory(list)


@define
class BenchProgram:
    """A program of the bench; times in simulated seconds."""

    name: str
    tenant: str
    urgency: Urgency
    region: str
    arrives_at: float
    turns: list[Turn]
    finished_at: float | None = None
    refused: bool = False


def _draw_size(rng: random.Random, mean: float) -> int:
    """Draw from a log-normal distribution with the given mean; at least 1."""
    sigma = 0.8
    return max(1, round(mean * rng.lognormvariate(-sigma * sigma / 2, sigma)))


def _draw_turns(rng: random.Random, shape: Shape, depth: int) -> list[Turn]:
    count = min(40, 1 + int(rng.expovariate(1.0 / shape.turns)))
    return [_draw_turn(rng, shape, depth) for _ in range(count)]


def _draw_turn(rng: random.Random, shape: Shape, depth: int) -> Turn:
    agents = []
    if depth < 2 and rng.random() < shape.agents / 3:
        agents = [_draw_turns(rng, shape, depth + 1)[:4] for _ in range(rng.randint(1, 3))]
    return Turn(
        _draw_size(rng, shape.prompt_tokens),
        _draw_size(rng, shape.completion_tokens),
        rng.expovariate(1.0 / shape.pause_seconds),
        agents,
    )


DEFAULT_PROFILE = EngineProfile()


def estimate_call_seconds(completion_tokens: int, new_tokens: int) -> float:
    """Return the engine seconds of a call in a full batch if only new tokens are prefilled."""
    batch = DEFAULT_PROFILE.slots
    per_token = (DEFAULT_PROFILE.step + DEFAULT_PROFILE.step_per_request * batch) / batch
    return completion_tokens * per_token + new_tokens / DEFAULT_PROFILE.prefill_tokens_per_second


def estimate_demand_seconds(turns: list[Turn]) -> float:
    """Return the engine seconds of turns and their sub-agents without repeated prefill."""
    return sum(
        estimate_call_seconds(turn.completion_tokens, turn.prompt_tokens)
        + sum(estimate_demand_seconds(agent) for agent in turn.agents)
        for turn in turns
    )


def draw_programs(
    rng: random.Random, shape: Shape, load: float, workers: int, seconds: float, regions: list[str]
) -> Iterator[BenchProgram]:
    """Draw programs that arrive over `seconds` and demand `load` times the workers' capacity.

    The arrival rate follows from the mean demand of a sample of 400 programs.
    """
    sample = [estimate_demand_seconds(_draw_turns(rng, shape, 0)) for _ in range(400)]
    rate = load * workers / (sum(sample) / len(sample))
    now = 0.0
    number = 0
    while now < seconds:
        now += rng.expovariate(rate / shape.burst)
        for _ in range(1 if shape.burst == 1 else 1 + int(rng.expovariate(1 / (shape.burst - 1)))):
            number += 1
            yield _draw_program(rng, shape, number, now, regions)


def _draw_program(
    rng: random.Random, shape: Shape, number: int, now: float, regions: list[str]
) -> BenchProgram:
    tenant = f"tenant-{rng.randrange(TENANTS)}"
    if rng.random() < shape.heavy_share:
        tenant = HEAVY_TENANT
    urgency = rng.choices(list(Urgency), (1, 7, 2))[0]
    turns = _draw_turns(rng, shape, 0)
    if urgency is Urgency.URGENT:
        turns = turns[:2]
    region = rng.choices(regions, (2, 1))[0]
    return BenchProgram(f"program-{number}", tenant, urgency, region, now, turns)

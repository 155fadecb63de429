"""Renders the bench page, which compares the shard with the best baseline of each seed."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from egretford.bench.decisions import DecisionCost
from egretford.bench.scenarios import Outcome

SHARD = "shard"
Measure = Callable[[Outcome], float]


def render_page(outcomes: list[Outcome], costs: list[DecisionCost]) -> str:
    """Return the whole page in Markdown, without a final newline."""
    return "\n\n".join(
        [
            "# Bench",
            "Written by `make bench`: the real shard against four baselines on the same seeds, "
            "in modelled time, over the stand-in engine's model. Latencies are of whole "
            "programs, in seconds. `ratio` is the shard's figure over the best baseline's for "
            "that figure, whichever baseline that is; under 1 the shard is better.",
            "## Targets",
            _render_targets(outcomes),
            "## Without faults, 300 s",
            _render_table([o for o in outcomes if o.scenario.fault == "none"]),
            "## With a fault at a third of the run, 120 s",
            _render_table([o for o in outcomes if o.scenario.fault != "none"]),
            "## Cost of decisions",
            _render_costs(costs),
        ]
    )


def _group(outcomes: Iterable[Outcome]) -> dict[tuple, dict[str, Outcome]]:
    groups: dict[tuple, dict[str, Outcome]] = {}
    for outcome in outcomes:
        scenario = outcome.scenario
        key = (
            scenario.deployment.name,
            scenario.shape.name,
            scenario.load,
            scenario.fault,
            scenario.seed,
        )
        groups.setdefault(key, {})[scenario.policy] = outcome
    return groups


def _ratio(group: dict[str, Outcome], measure: Measure) -> float:
    best = min(measure(o) for policy, o in group.items() if policy != SHARD)
    return measure(group[SHARD]) / best if best else float("nan")


def _render_targets(outcomes: list[Outcome]) -> str:
    lines = ["| target | cells | met | median ratio | worst ratio |", "|---" * 5 + "|"]
    groups = _group(o for o in outcomes if o.scenario.fault == "none")
    loaded = {key: group for key, group in groups.items() if key[2] in (0.8, 0.95)}
    for text, name, measure, bound in _TARGETS:
        ratios = sorted(_ratio(group, measure) for key, group in loaded.items() if key[0] == name)
        met = sum(ratio <= bound for ratio in ratios)
        lines.append(
            f"| {text} | {len(ratios)} | {met} | {ratios[len(ratios) // 2]:.2f} | "
            f"{ratios[-1]:.2f} |"
        )
    return "\n".join(lines + _render_overload(groups))


def _measure_p95(outcome: Outcome) -> float:
    return outcome.p95


def _measure_waste(outcome: Outcome) -> float:
    return outcome.wasted_tokens


_TARGETS = (
    ("Fernhollow: p95 at most 0.7", "fernhollow", _measure_p95, 0.7),
    ("Sialkot: wasted tokens at most 0.5", "sialkot", _measure_waste, 0.5),
    ("Fernhollow: wasted tokens at most 1.1", "fernhollow", _measure_waste, 1.1),
    ("Sialkot: p95 at most 1.1", "sialkot", _measure_p95, 1.1),
)


def _render_overload(groups: dict[tuple, dict[str, Outcome]]) -> list[str]:
    shard = {key: group[SHARD] for key, group in groups.items()}
    overload = {key: outcome for key, outcome in shard.items() if key[2] == 1.2}
    goodputs = [outcome.goodput for outcome in overload.values()]
    urgent = [
        outcome.urgent_p95 / shard[(*key[:2], 0.5, *key[3:])].urgent_p95
        for key, outcome in overload.items()
        if shard[(*key[:2], 0.5, *key[3:])].urgent_p95
    ]
    late = sum(outcome.late_refusals for outcome in overload.values())
    return [
        f"| at 120%: goodput at least 0.9 of capacity | {len(goodputs)} | "
        f"{sum(g >= 0.9 for g in goodputs)} | {sorted(goodputs)[len(goodputs) // 2]:.2f} | "
        f"{min(goodputs):.2f} |",
        f"| at 120%: urgent p95 at most 1.2 of its figure at 50% | {len(urgent)} | "
        f"{sum(r <= 1.2 for r in urgent)} | {sorted(urgent)[len(urgent) // 2]:.2f} | "
        f"{max(urgent):.2f} |",
        f"| at 120%: refusals after waiting (all others are early) | {len(overload)} | "
        f"{sum(not o.late_refusals for o in overload.values())} | - | {late} in all |",
    ]


def _render_table(outcomes: list[Outcome]) -> str:
    lines = [
        "| deployment | shape | load | fault | p50 | p95 | p99 | p95 ratio | urgent p95 | "
        "wasted k | wasted ratio | link MB | refused | goodput | fairness |",
        "|---" * 15 + "|",
    ]
    for key, group in _group(outcomes).items():
        shard = group[SHARD]
        lines.append(
            f"| {key[0]} | {key[1]} | {key[2]:.0%} | {key[3]} | {shard.p50:.1f} | "
            f"{shard.p95:.1f} | {shard.p99:.1f} | {_ratio(group, _measure_p95):.2f} | "
            f"{shard.urgent_p95:.1f} | {shard.wasted_tokens / 1e3:.0f} | "
            f"{_ratio(group, _measure_waste):.2f} | {shard.link_bytes / 1e6:.1f} | "
            f"{shard.refused} | {shard.goodput:.2f} | {shard.fairness:.2f} |"
        )
    return "\n".join(lines)


def _render_costs(costs: list[DecisionCost]) -> str:
    lines = ["| decision | size | microseconds |", "|---" * 3 + "|"]
    lines += [f"| {c.decision} | {c.size:,} | {c.microseconds:.1f} |" for c in costs]
    return "\n".join(lines)

"""Checks the scheduler's guarantees against callers' responses and the state of the fakes."""

from collections import Counter

import orjson

from egretford.errors import Verdict
from egretford.tables import TABLES_KEY
from tests.faults.scenario import BUDGET, Result


def find_violations(result: Result) -> list[str]:
    """List every violation of a guarantee in a scenario."""
    return [
        *result.ledger.violations,
        *result.problems,
        *_check_effects(result),
        *_check_refusals(result),
        *_check_budget(result),
        *_check_memory(result),
        *_check_configuration(result),
        *_check_leaving(result),
        *_check_orders(result),
    ]


def count_effects(result: Result) -> Counter:
    effects: Counter = Counter()
    for worker in result.world.workers.values():
        effects.update(worker.effects)
    return effects


def _check_effects(result: Result) -> list[str]:
    effects = count_effects(result)
    doubled = [f"{key} took effect {n} times" for key, n in effects.items() if n > 1]
    lost = [
        f"{o.program}/{o.call} was answered and has no effect"
        for o in result.ledger.outcomes
        if o.answer
        and o.answer["role"] == "tool"
        and o.answer["content"]["done"] != f"{o.program}/{o.call}"
    ]
    return doubled + lost


def _check_refusals(result: Result) -> list[str]:
    return [
        f"{refusal.program}/{refusal.call} was told not_run ({refusal.kind}) "
        "after it was dispatched"
        for refusal in result.ledger.refusals
        if refusal.verdict is Verdict.NOT_RUN and refusal.was_dispatched
    ]


def _check_budget(result: Result) -> list[str]:
    """Check that engines spent no more tokens on a program tree than its root's budget."""
    spent: Counter = Counter()
    for worker in result.world.workers.values():
        for program, tokens in worker.tokens.items():
            spent[result.ledger.root_programs.get(program, program)] += tokens
    return [f"{key} spent {n} tokens" for key, n in spent.items() if n > BUDGET.tokens]


def _check_memory(result: Result) -> list[str]:
    ended_programs = set(result.ledger.ended_programs)
    return [
        f"{worker.name} still holds {program}"
        for worker in result.world.workers.values()
        for program in sorted(worker.memory & ended_programs)
    ]


def _check_configuration(result: Result) -> list[str]:
    late = [
        f"{name} has revision {revision}, not {result.revision}"
        for name, revision in result.revisions.items()
        if revision != result.revision
    ]
    back = [
        f"{host.name} went back: {host.revisions}"
        for host in result.world.hosts.values()
        if host.revisions != sorted(host.revisions)
    ]
    return late + back


def _check_leaving(result: Result) -> list[str]:
    return [
        f"{worker.name} got {worker.late_grants} calls long after it began to leave"
        for worker in result.world.workers.values()
        if worker.late_grants
    ]


def _check_orders(result: Result) -> list[str]:
    """Check that each engine ends with the model that the stored tables specify."""
    tables = orjson.loads(result.world.store.get(TABLES_KEY).value)
    model = next(pool["model"] for pool in tables["pools"] if pool["kind"] == "engine")
    return [
        f"{worker.name} was left with {worker.orders}, not {model}"
        for worker in result.world.workers.values()
        if worker.name.startswith("engine") and worker.orders != {"model": model}
    ]

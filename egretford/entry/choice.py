"""Selects the worker for a request, from local load data and a hash that all entries share."""

from __future__ import annotations

from egretford.entry.models import CallerRequest
from egretford.entry.workers import TrackedWorker
from egretford.policy.membership import rank_by_hash
from egretford.policy.placement import Placement, PlacementRequest

# Cost per rank, in seconds. It is smaller than any queueing or prefill time, so it only breaks
# ties between workers of equal cost. Without it all entries would choose the same worker.
RANK_PENALTY_SECONDS = 0.000_2
# A first turn's prompt has a shared part and a new part; one with more parts includes history.
FIRST_TURN_PARTS = 2


def choose_worker(
    request: CallerRequest,
    candidates: list[TrackedWorker],
    placement: Placement,
    region: str,
) -> tuple[TrackedWorker, PlacementRequest]:
    """Return the worker with the lowest estimated cost, and the inputs of the estimate.

    Ties are broken by a hash of the program. An entry that does not know where a program ran
    before assumes that the worker ranked first by that hash has its history cached.
    """
    key = request.program or request.id
    local = [t for t in candidates if placement.region_of(t.worker) == region] or candidates
    ranked_ids = rank_by_hash(key, (t.worker.id for t in local))
    ranks = {name: rank for rank, name in enumerate(ranked_ids)}
    cached = {
        t.worker.id: tokens for t in candidates if (tokens := t.cache.count_cached(request.prompt))
    }
    history = sum(part.tokens for part in request.prompt[:-1])
    most_cached = max(cached.values(), default=0)
    if len(request.prompt) > FIRST_TURN_PARTS and most_cached < history:
        cached[ranked_ids[0]] = history
    inputs = PlacementRequest(
        program=request.program,
        prompt_tokens=request.prompt_tokens,
        cached=cached,
        region=region,
    )

    def estimate(tracked: TrackedWorker) -> float:
        rank = ranks.get(tracked.worker.id, len(ranks))
        return placement.estimate_cost(tracked.state, inputs) + rank * RANK_PENALTY_SECONDS

    return min(candidates, key=estimate), inputs

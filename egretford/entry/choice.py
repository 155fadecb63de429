"""Which worker gets a request, by what this entry knows and what all entries can reckon alike."""

from __future__ import annotations

from egretford.entry.models import CallerRequest
from egretford.entry.workers import TrackedWorker
from egretford.policy.membership import rank_by_hash
from egretford.policy.placement import Placement, PlacementRequest

# Each rank costs this much, in seconds: less than any wait or prefill, so that it only decides
# among workers that seem alike. Without it all entries would choose the same one.
RANK_SECONDS = 0.000_2
# A prompt of more parts than this has a history: what is shared, what came before, what is new.
FIRST_TURN_PARTS = 2


def choose_worker(
    request: CallerRequest,
    candidates: list[TrackedWorker],
    placement: Placement,
    region: str,
) -> tuple[TrackedWorker, PlacementRequest]:
    """Return the worker of least expected cost, and what was reckoned with.

    Ties go by a hash of the program. An entry that does not know where a program ran before
    takes the program's first worker by that hash to have its history.
    """
    key = request.program or request.id
    near = [t for t in candidates if placement.region_of(t.worker) == region] or candidates
    order = rank_by_hash(key, (t.worker.id for t in near))
    ranks = {name: rank for rank, name in enumerate(order)}
    cached = {
        t.worker.id: tokens for t in candidates if (tokens := t.cache.count_cached(request.prompt))
    }
    history = sum(part.tokens for part in request.prompt[:-1])
    known = max(cached.values(), default=0)
    if len(request.prompt) > FIRST_TURN_PARTS and known < history:
        cached[order[0]] = history
    wanted = PlacementRequest(
        program=request.program,
        prompt_tokens=request.prompt_tokens,
        cached=cached,
        region=region,
    )

    def estimate(tracked: TrackedWorker) -> float:
        rank = ranks.get(tracked.worker.id, len(ranks))
        return placement.estimate_cost(tracked.state, wanted) + rank * RANK_SECONDS

    return min(candidates, key=estimate), wanted

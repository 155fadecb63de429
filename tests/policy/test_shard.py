"""Queues, grants and placement in a scheduler shard."""

import pytest

from egretford.models import Pool, PoolKind, Urgency, Worker
from egretford.policy.placement import Placement, PlacementRequest
from egretford.policy.queue import Waiting, order_key
from egretford.policy.shard import Expired, Grant, Shard

REGIONS = {"a": "north", "b": "north", "c": "south"}


def build_shard(slots=1, domains="ab", cache_tokens=0):
    workers = [Worker(f"w-{domain}", "none", domain) for domain in domains]
    shard = Shard(Placement(REGIONS))
    shard.set_pool(Pool("pool", PoolKind.ENGINE, workers, slots=slots, cache_tokens=cache_tokens))
    return shard


def build_call(ticket, urgency=Urgency.INTERACTIVE, **changes):
    placement = PlacementRequest(
        program=changes.pop("program", ticket),
        prompt_tokens=changes.pop("prompt_tokens", 1_000),
        cached=changes.pop("cached", {}),
        region="north",
        cache_weight=changes.pop("cache_weight", 1.0),
        excluded=changes.pop("excluded", frozenset()),
    )
    defaults = {"opened": 0.0, "attained": 0.0, "arrived": 0.0, "deadline": 100.0}
    return Waiting(
        ticket=ticket,
        tree=ticket,
        tenant="tenant",
        urgency=urgency,
        placement=placement,
        **{**defaults, **changes},
    )


def grant_all(shard, now=0.0):
    return [r.ticket for r in shard.dispatch(now, everywhere=True) if isinstance(r, Grant)]


def test_urgent_call_goes_before_all_that_wait():
    shard = build_shard(domains="a")
    for ticket in ("running", "batch", "interactive"):
        shard.offer(build_call(ticket, Urgency.BATCH if ticket == "batch" else "interactive"), 0.0)
        grant_all(shard)
    shard.offer(build_call("urgent", Urgency.URGENT, opened=50.0), 0.0)
    shard.finish("running", 1.0)
    assert grant_all(shard) == ["urgent"]


def test_older_program_goes_first_until_its_service_outweighs_its_age():
    old = build_call("old", opened=0.0)
    young = build_call("young", opened=10.0)
    endless = build_call("endless", opened=0.0, attained=20.0)
    assert sorted([young, endless, old], key=order_key) == [old, young, endless]


def test_call_waits_for_a_warm_worker_when_that_is_cheaper():
    shard = build_shard()
    warm = {"cached": {"w-a": 40_000}, "prompt_tokens": 40_000, "program": "p"}
    shard.offer(build_call("first", **warm), 0.0)
    grant_all(shard)
    shard.offer(build_call("second", **warm), 0.0)
    assert grant_all(shard) == []
    shard.finish("first", 1.0)
    assert shard.dispatch(1.0)[0].worker == "w-a"


def test_cold_call_takes_any_free_worker():
    shard = build_shard()
    for ticket in ("one", "two"):
        shard.offer(build_call(ticket), 0.0)
    assert sorted(grant_all(shard)) == ["one", "two"]


def test_idle_worker_takes_a_call_that_is_cheaper_there():
    shard = build_shard()
    for ticket in ("one", "two", "three"):
        shard.offer(build_call(ticket, prompt_tokens=10), 0.0)
    grant_all(shard)
    queue_name = shard.worker_by_ticket["three"]
    other = next(t for t, g in shard.grants.items() if g.worker != queue_name)
    shard.finish(other, 1.0)
    assert grant_all(shard, 1.0) == ["three"]


def test_calls_of_the_other_region_cost_the_link():
    shard = build_shard(domains="ac")
    shard.offer(build_call("here", prompt_tokens=20_000), 0.0)
    assert shard.dispatch(0.0)[0].worker == "w-a"


def test_queue_refuses_past_its_bound():
    shard = build_shard(domains="a")
    accepted = [shard.offer(build_call(str(n)), 0.0, bound=3) for n in range(5)]
    assert accepted == [True, True, True, False, False]


def test_call_that_would_wait_past_its_deadline_is_refused_at_once():
    shard = build_shard(domains="a")
    for number in range(20):
        shard.offer(build_call(str(number)), 0.0)
    assert not shard.offer(build_call("late", deadline=1.0), 0.0)


def test_overdue_call_expires_instead_of_running():
    shard = build_shard(domains="a")
    shard.offer(build_call("running"), 0.0)
    grant_all(shard)
    shard.offer(build_call("waits", deadline=5.0), 0.0)
    shard.finish("running", 6.0)
    assert shard.dispatch(6.0) == [Expired("waits")]


@pytest.mark.parametrize("how", ["leaving", "failed", "removed"])
def test_calls_move_on_when_their_worker_is_lost(how):
    shard = build_shard()
    shard.offer(build_call("first", cached={"w-a": 1_000}), 0.0)
    grant_all(shard)
    shard.offer(build_call("waits", cached={"w-a": 1_000}, cache_weight=90.0), 0.0)
    assert shard.worker_by_ticket["waits"] == "w-a"
    if how == "leaving":
        shard.record_load("w-a", 0, True, 0)
    elif how == "failed":
        shard.finish("first", 0.5, failed=True)
    else:
        shard.set_pool(Pool("pool", PoolKind.ENGINE, [Worker("w-b", "none", "b")], slots=1))
    assert [r.worker for r in shard.dispatch(0.6, everywhere=True)] == ["w-b"]


def test_excluded_worker_is_used_only_when_there_is_no_other():
    shard = build_shard(slots=2)
    shard.offer(build_call("one", excluded=frozenset({"w-a"})), 0.0)
    shard.offer(build_call("two", excluded=frozenset({"w-a", "w-b"})), 0.0)
    grants = {grant.ticket: grant.worker for grant in shard.dispatch(0.0)}
    assert grants["one"] == "w-b"
    assert grants["two"] in ("w-a", "w-b")


def test_load_reports_count_only_others_calls():
    shard = build_shard(slots=4, domains="a")
    shard.offer(build_call("mine"), 0.0)
    grant_all(shard)
    shard.record_load("w-a", reported_calls=3, leaving=False, granted_then=1)
    assert shard.workers["w-a"].running == 3


def test_cold_start_goes_where_it_evicts_least():
    shard = build_shard(slots=8, cache_tokens=10_000)
    shard.record_cached("big", "w-a", 9_500)
    shard.offer(build_call("cold", prompt_tokens=5_000), 0.0)
    assert shard.dispatch(0.0)[0].worker == "w-b"
    shard.forget_program("big")
    assert shard.workers["w-a"].held_tokens == 0

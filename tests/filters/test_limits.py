from datetime import UTC, datetime

import pytest

from egretford.controllers.runs import CallRun
from egretford.errors import ErrorKind, RequestError, Verdict
from egretford.filters.chain import CallJob
from egretford.filters.limits import LimitFilter
from egretford.models import (
    Budget,
    CallKind,
    CallRequest,
    Limits,
    Pool,
    PoolKind,
    Route,
    Urgency,
)
from egretford.policy.program import ProgramTable
from egretford.policy.records import ProgramOpened

NOW = datetime(2026, 1, 1, tzinfo=UTC)
BUDGET = Budget(1_000, 10, 100.0)


def build_job(limits, tenant="t", text="hello"):
    table = ProgramTable()
    table.apply(ProgramOpened("a-1", "r", tenant, Urgency.BATCH, BUDGET, None, NOW, 512))
    return CallJob(
        program=table.programs["a-1"],
        request=CallRequest(1, CallKind.MODEL, [{"role": "user", "content": text}]),
        route=Route("r", "p", limits=limits),
        pool=Pool("p", PoolKind.ENGINE, []),
        run=CallRun("f", []),
        content="c",
        prompt_bound=10,
        deadline=100.0,
    )


async def nest(limits, filter_, depth, tenants):
    """Run `depth` calls nested in each other, so that all of them count as running."""

    async def proceed(job):
        if depth > 1:
            return await nest(limits, filter_, depth - 1, tenants)
        return "ran"

    return await filter_.handle(build_job(limits, tenants[depth % len(tenants)]), proceed)


@pytest.mark.parametrize(
    ("running", "tenant_running", "tenants", "kind"),
    [
        (10, 3, ["a"], None),
        (10, 2, ["a"], ErrorKind.OVERLOADED),
        (10, 2, ["a", "b"], None),
        (2, 10, ["a", "b"], ErrorKind.OVERLOADED),
    ],
)
async def test_calls_past_a_bound_are_not_run(running, tenant_running, tenants, kind):
    filter_ = LimitFilter(running)
    try:
        result = await nest(Limits(tenant_running=tenant_running), filter_, 3, tenants)
    except RequestError as error:
        assert (error.kind, error.verdict) == (kind, Verdict.NOT_RUN)
    else:
        assert (result, kind) == ("ran", None)
    assert await nest(Limits(tenant_running=tenant_running), filter_, 1, tenants) == "ran"


async def test_messages_over_the_routes_bound_are_too_large():
    with pytest.raises(RequestError) as caught:
        await LimitFilter(5).handle(build_job(Limits(body_bytes=20)), None)
    assert (caught.value.kind, caught.value.verdict) == (ErrorKind.TOO_LARGE, Verdict.NOT_RUN)

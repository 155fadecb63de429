"""End-to-end tests over the platform's protocol: entries, keepers, store and workers."""

from __future__ import annotations

import asyncio

import pytest

from egretford.exposition import render_metrics
from tests.platform.deployment import make_configuration, run_deployment
from tests.platform.standins import WorkerStandin, join_events, make_event


@pytest.fixture
async def deployment(tmp_path):
    async with run_deployment(tmp_path) as running:
        yield running


async def ask_turn(caller, body, request_id, **fields):
    fields = {
        "Program_Id": "p1",
        "Session_Id": "s1",
        "Token_Budget": "1000",
        "Token_Usage": "100,50",
    } | fields
    return await caller.ask("/chat/1", body=body, request_id=request_id, **fields)


async def test_a_safe_call_is_answered_with_the_workers_signature(deployment):
    answer = await deployment.callers[0].ask("/ping/1", method="GET", request_id="a1")
    assert (answer.status, answer.body) == (200, b"done a1")
    assert answer.headers.get(b"Response-Signature").startswith(b"sig.b-")


async def test_a_chain_reaches_the_worker_byte_for_byte_through_any_entry(deployment):
    first, second = deployment.callers
    assert (await ask_turn(first, b"hello ", "t1")).is_complete
    assert (await ask_turn(second, b"more ", "t2", Previous_Turn="t1")).is_complete
    await ask_turn(first, b"last", "t3", Previous_Turn="t2")
    (arrival,) = deployment.arrivals("t3")
    assert arrival.body == b"hello " + join_events(4) + b"more " + join_events(4) + b"last"


async def test_an_unknown_turn_is_404(deployment):
    answer = await ask_turn(deployment.callers[0], b"x", "t9", Previous_Turn="none")
    assert answer.status == 404
    assert not deployment.arrivals("t9")


async def test_a_turn_is_readable_with_one_keeper_down_and_an_unknown_turn_is_503(deployment):
    await ask_turn(deployment.callers[0], b"hello ", "t1")
    await deployment.stop_keeper("keeper-1")
    answer = await ask_turn(deployment.callers[0], b"x", "t2", Previous_Turn="t1")
    assert answer.status == 200
    missing = await ask_turn(deployment.callers[0], b"x", "t3", Previous_Turn="none")
    assert missing.status == 503
    assert float(missing.headers.get_text(b"Retry-After")) > 0


async def test_a_turn_is_not_acknowledged_by_one_keeper_alone(deployment):
    await deployment.stop_keeper("keeper-1")
    await deployment.stop_keeper("keeper-2")
    answer = await ask_turn(deployment.callers[0], b"hello", "t1")
    assert answer.status == 503
    assert not deployment.arrivals("t1")


async def test_keepers_that_lost_power_have_what_they_acknowledged(deployment):
    await ask_turn(deployment.callers[0], b"hello ", "t1")
    for name in list(deployment.keepers):
        await deployment.stop_keeper(name)
    for name in list(deployment.keeper_settings):
        await deployment.start_keeper(name)
    await asyncio.sleep(1.0)
    answer = await ask_turn(deployment.callers[1], b"x", "t2", Previous_Turn="t1")
    assert answer.status == 200


async def test_a_program_is_stopped_at_its_budget_through_any_entry(deployment):
    statuses = []
    for number in range(8):
        caller = deployment.callers[number % 2]
        answer = await ask_turn(caller, b"x", f"t{number}", Token_Budget="130")
        statuses.append(answer.status)
    # A turn reserves at most 50 tokens and uses 40. Two turns use 80, so that a third one at its
    # maximum, 130 in all, still fits; a fourth one does not.
    assert statuses == [200, 200, 200, *[402] * 5]


async def test_a_charge_is_given_back_where_no_worker_took_the_turn(deployment):
    async def refuse(worker, arrival, responder):
        from egretford.http.messages import Headers

        responder.send_response(503, Headers([(b"Not-Executed", b"1")]), b"")
        return True

    for worker in deployment.workers[:2]:
        worker.script = refuse
    for number in range(4):
        answer = await ask_turn(deployment.callers[0], b"x", f"t{number}", Token_Budget="60")
        assert answer.status == 503
    for worker in deployment.workers[:2]:
        worker.script = None
    await asyncio.sleep(0.2)
    assert (await ask_turn(deployment.callers[0], b"x", "t9", Token_Budget="60")).status == 200


async def test_a_stream_is_resumed_elsewhere_if_its_worker_is_gone(deployment):
    aborted = []

    async def crash(worker, arrival, responder):
        if aborted:
            return False
        aborted.append(worker.id)
        await worker.stream(arrival, responder, upto=3)
        await worker.close()
        return True

    for worker in deployment.workers[:2]:
        worker.script = crash
    answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id="p1")
    assert answer.is_complete
    assert answer.body == b"".join(make_event(number) for number in range(1, 5))
    worker_ids = [w.id for w in deployment.workers if any(a.request_id == "p1" for a in w.arrivals)]
    assert len(worker_ids) == 2


async def test_a_broken_stream_is_resumed_only_on_a_resumable_route(deployment):
    aborted = []

    async def abort_stream(worker, arrival, responder):
        if aborted:
            return False
        aborted.append(worker.id)
        await worker.stream(arrival, responder, upto=3)
        return True

    for worker in deployment.workers[:2]:
        worker.script = abort_stream
    answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id="p1")
    assert answer.is_complete
    assert answer.body == b"".join(make_event(number) for number in range(1, 5))
    aborted.clear()
    answer = await ask_turn(deployment.callers[0], b"x", "t1")
    assert not answer.is_complete
    assert len(deployment.arrivals("t1")) == 1


async def test_a_call_that_may_have_run_is_not_sent_again(deployment):
    async def crash(worker, arrival, responder):
        responder.abort()
        return True

    for worker in deployment.workers[2:]:
        worker.script = crash
    answer = await deployment.callers[0].ask("/book/1", body=b"x", request_id="b1")
    assert answer.status == 502
    assert len(deployment.arrivals("b1")) == 1
    answer = await deployment.callers[0].ask("/ping/1", method="GET", request_id="g1")
    assert len(deployment.arrivals("g1")) == 2


async def test_a_configuration_is_in_force_and_never_reverts(deployment):
    newer = make_configuration(version=9)
    newer["routes"] = [r for r in newer["routes"] if r["name"] != "ping"]
    deployment.store.put("config", "main", newer)
    gateway = deployment.entries[0].gateway
    await deployment.wait_until(lambda: gateway.configuration_version == 9)
    deployment.store.put("config", "main", make_configuration(version=5))
    await asyncio.sleep(0.2)
    assert (await deployment.callers[0].ask("/ping/1", method="GET")).status == 404


async def test_an_unreadable_configuration_or_worker_disturbs_nothing(deployment):
    deployment.store.put("config", "main", {"version": "ten"})
    deployment.store.put("servers", "odd", {"backend": 7})
    deployment.store.put("servers", "odder", "text")
    await asyncio.sleep(0.2)
    assert (await deployment.callers[0].ask("/ping/1", method="GET")).status == 200


async def test_expired_watch_history_leads_to_a_new_listing(deployment):
    deployment.store.compact()
    deployment.store.revision += 5
    deployment.store.compact()
    deployment.store.put("config", "main", make_configuration(version=11))
    gateway = deployment.entries[0].gateway
    await deployment.wait_until(lambda: gateway.configuration_version == 11)


async def test_a_leaving_worker_gets_nothing_new(deployment):
    deployment.store.put("servers", "b-1", deployment.worker("b-1").describe("draining"))
    await asyncio.sleep(0.2)
    for number in range(6):
        await deployment.callers[0].ask("/ping/1", method="GET", request_id=f"d{number}")
    assert not deployment.worker("b-1").arrivals


# Guards against new requests at a worker that said that it is leaving, while the list lags.
async def test_a_worker_that_says_it_is_leaving_gets_nothing_new_until_it_restarts(deployment):
    caller, worker = deployment.callers[0], deployment.worker("b-1")
    worker.leaving = True
    deployment.store.put("servers", "b-2", deployment.worker("b-2").describe("draining"))
    await asyncio.sleep(0.2)
    answer = await caller.ask("/ping/1", method="GET", request_id="first")
    assert (answer.status, answer.headers.get(b"Server-Leaving")) == (200, b"1")
    deployment.store.put("servers", "b-2", deployment.worker("b-2").describe())
    deployment.store.put("servers", "b-1", worker.describe())
    await asyncio.sleep(1.0)
    for number in range(6):
        answer = await caller.ask("/ping/1", method="GET", request_id=f"later{number}")
        assert answer.status == 200
    assert [arrival.request_id for arrival in worker.arrivals] == ["first"]
    worker.leaving, worker.born = False, 2000
    deployment.store.put("servers", "b-1", worker.describe())
    deployment.store.remove("servers", "b-2")
    await asyncio.sleep(1.5)
    answer = await caller.ask("/ping/1", method="GET", request_id="restarted")
    assert answer.status == 200 and worker.arrivals[-1].request_id == "restarted"


# Guards against callers who wait although all workers said that they are leaving.
async def test_a_request_is_refused_at_once_while_all_workers_are_leaving(deployment):
    caller = deployment.callers[0]
    for worker in deployment.workers:
        worker.leaving = True
    for path in ("/ping/1", "/book/1", "/plan/1"):
        statuses = []
        for number in range(4):
            started = asyncio.get_running_loop().time()
            answer = await caller.ask(path, request_id=f"{path[1:5]}{number}")
            statuses.append(answer.status)
            assert asyncio.get_running_loop().time() - started < 0.5
        assert statuses[-1] == 503 and not deployment.arrivals(f"{path[1:5]}3"), path


# Guards against a response that is held until its deadline for a worker that is leaving.
async def test_a_started_response_does_not_wait_for_a_worker_that_is_leaving(deployment):
    async def break_off_then_refuse(worker, arrival, responder):
        if arrival.headers.get_text(b"Last-Event-Id") is None:
            await worker.stream(arrival, responder, upto=3)
        else:
            worker.leaving = True
            headers = worker.make_headers((b"Not-Executed", b"1"))
            responder.send_response(503, headers, b"")
        return True

    for worker in deployment.workers[:2]:
        worker.script = break_off_then_refuse
    started = asyncio.get_running_loop().time()
    answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id="p1")
    assert not answer.is_complete and asyncio.get_running_loop().time() - started < 1.0
    assert len(deployment.arrivals("p1")) == 2


async def test_reserved_fields_are_not_forwarded(deployment):
    fields = {"Pin_Ms": "4000", "Kv_Hold": "h", "Expect_Instance": "x", "Connection": "X-Own"}
    await deployment.callers[0].ask("/ping/1", method="GET", request_id="f1", X_Own="1", **fields)
    (arrival,) = deployment.arrivals("f1")
    names = {name.lower() for name, _ in arrival.headers}
    assert not names & {b"pin-ms", b"kv-hold", b"x-own"}
    assert arrival.headers.get_text(b"Expect-Instance").startswith("b-")


async def test_an_unsafe_call_at_a_silent_worker_is_not_reported_as_not_run(deployment):
    async def stay_silent(worker, arrival, responder):
        await asyncio.sleep(5)
        return True

    for worker in deployment.workers[2:]:
        worker.script = stay_silent
    answer = await deployment.callers[0].ask("/book/1", body=b"x", request_id="b1", deadline_ms=300)
    assert answer.status == 504


async def test_a_keeper_replaces_one_that_is_gone_for_good(deployment):
    await ask_turn(deployment.callers[0], b"hello ", "t1")
    await deployment.stop_keeper("keeper-3")
    await deployment.start_keeper("keeper-4", "south-a")
    # The two remaining keepers serve while the new one copies.
    for number in range(8):
        answer = await ask_turn(
            deployment.callers[0], b"x", f"u{number}", Previous_Turn="t1", Program_Id=f"q{number}"
        )
        assert answer.status == 200
        await asyncio.sleep(0.2)
    await deployment.wait_until(lambda: deployment.keepers["keeper-4"].is_ready)
    # No more keepers were dropped than may be lost, so an unknown turn was certainly never stored.
    answer = await ask_turn(deployment.callers[0], b"x", "n1", Previous_Turn="none")
    assert answer.status == 404
    await deployment.stop_keeper("keeper-1")
    answer = await ask_turn(deployment.callers[1], b"x", "t3", Previous_Turn="u7", Program_Id="q7")
    assert answer.status == 200


async def test_a_keeper_with_an_empty_disk_copies_before_it_answers(deployment):
    import shutil

    await ask_turn(deployment.callers[0], b"hello ", "t1")
    await deployment.stop_keeper("keeper-1")
    shutil.rmtree(deployment.folder / "keeper-1")
    keeper = await deployment.start_keeper("keeper-1")
    await deployment.wait_until(lambda: keeper.is_ready)
    await deployment.stop_keeper("keeper-2")
    answer = await ask_turn(deployment.callers[0], b"x", "t2", Previous_Turn="t1")
    assert answer.status == 200


async def keep_asking(caller):
    for number in range(1000):
        await ask_turn(caller, b"x", f"k{number}", Program_Id=f"k{number}")


async def test_an_evacuated_keeper_is_removed_without_losing_turns(deployment):
    await deployment.start_keeper("keeper-4", "south-a")
    await deployment.wait_until(lambda: deployment.view_size() == 4)
    await ask_turn(deployment.callers[0], b"hello ", "t1")
    store = deployment.store
    store.put("retirements", "keeper-1", {"duration_s": 8})
    # Turns continue, so that the leaving keeper is never idle.
    asking_task = asyncio.create_task(keep_asking(deployment.callers[1]))
    await deployment.wait_until(
        lambda: (store.objects["retirements", "keeper-1"]["status"] or {}).get("phase")
        == "completed",
        seconds=6.0,
    )
    asking_task.cancel()
    await deployment.stop_keeper("keeper-1")
    restarted = await deployment.start_keeper("keeper-1")
    await asyncio.sleep(1.0)
    assert not restarted.is_ready
    await deployment.stop_keeper("keeper-1")
    await deployment.stop_keeper("keeper-2")
    await asyncio.sleep(0.5)
    answer = await ask_turn(deployment.callers[0], b"x", "t2", Previous_Turn="t1")
    assert answer.status == 200


async def ask_call(caller, request_id):
    return await caller.ask("/book/1", body=b"the same", request_id=request_id)


async def test_a_request_that_crashes_workers_is_stopped_at_every_entry(deployment):
    async def crash(worker, arrival, responder):
        # The process that is there from now on is another one.
        worker.born += 1
        responder.abort()
        return True

    for number in range(3):
        worker = deployment.workers[2]
        worker.script = crash
        # Each crash is of another process with another id.
        deployment.store.remove("servers", "b-1" if number == 0 else f"b-1-{number}")
        worker.id = f"b-1-{number + 1}"
        deployment.store.put("servers", worker.id, worker.describe())
        deployment.store.put("servers", "b-2", deployment.worker("b-2").describe("draining"))
        await asyncio.sleep(0.7)
        answer = await deployment.callers[0].ask("/book/1", body=b"bad", request_id=f"c{number}")
        assert answer.status == 502
    await asyncio.sleep(2.2)
    for number, caller in enumerate(deployment.callers):
        answer = await caller.ask("/book/1", body=b"bad", request_id=f"again{number}")
        assert answer.status == 503
        assert not deployment.arrivals(f"again{number}")


# Guards against turns that are refused at all entries, whatever their program, after three workers
# that go on serving each lost an answer to a turn with the same new input.
async def test_lost_answers_of_live_workers_block_no_request(deployment):
    for upstream in ("models", "booking"):
        worker = WorkerStandin(f"{upstream}-3", upstream, "north-a", engine=upstream == "models")
        await worker.start()
        deployment.workers.append(worker)
        deployment.store.put("servers", worker.id, worker.describe())
    lost = set()

    async def lose_one_answer(worker, arrival, responder):
        if worker.id in lost:
            return False
        lost.add(worker.id)
        responder.abort()
        return True

    for worker in deployment.workers:
        worker.script = lose_one_answer
    for number in range(40):
        await ask_turn(deployment.callers[0], b"go on", f"t{number}")
        await ask_call(deployment.callers[0], f"c{number}")
        await asyncio.sleep(0.1)
        if len(lost) == len(deployment.workers):
            break
    assert len(lost) == 6
    await asyncio.sleep(2.2)
    for number, caller in enumerate(deployment.callers):
        assert (await ask_turn(caller, b"go on", f"u{number}")).status == 200
        assert (await ask_call(caller, f"v{number}")).status == 200


async def test_a_stream_that_breaks_at_a_live_worker_runs_on_no_more_workers_than_its_route_allows(
    deployment,
):
    aborted = set()

    async def abort_stream_once(worker, arrival, responder):
        if arrival.request_id in aborted:
            return False
        aborted.add(arrival.request_id)
        await worker.stream(arrival, responder, upto=3)
        return True

    for worker in deployment.workers[:2]:
        worker.script = abort_stream_once
    await deployment.callers[0].ask("/plan/1", body=b"x", request_id="p1")
    worker_ids = [w.id for w in deployment.workers if any(a.request_id == "p1" for a in w.arrivals)]
    assert len(worker_ids) == 1


async def test_a_keeper_counts_what_it_answers(deployment):
    await ask_turn(deployment.callers[0], b"hello", "t1")
    await asyncio.sleep(1.1)
    page = render_metrics(deployment.keepers["keeper-1"].metrics)
    assert 'egretford_events_total{event="Reserve.Reserved"} 1' in page
    assert 'egretford_request_seconds_count{tenant="all",class="Keep"}' in page
    assert 'egretford_level{name="turns"}' in page

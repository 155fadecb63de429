"""The caller API, tested against real processes."""

import asyncio
import json

import pytest


async def test_any_entry_serves_a_program(deployment):
    program = await deployment.open(entry=0)
    first = await deployment.call(program, 1, "plan a walk", entry=1)
    booking = await deployment.book(program, 2, entry=2)
    last = await deployment.call(program, 3, "confirm", entry=0, digest=booking.body["digest"])
    assert [a.body["verdict"] for a in (first, booking, last)] == ["ran"] * 3
    assert await deployment.count_effects(program) == {"2": 1}


async def test_repeat_gives_the_first_outcome(deployment):
    program = await deployment.open()
    first = await deployment.book(program, 1)
    again = await deployment.book(program, 1, entry=1)
    stored = await deployment.send("GET", f"{deployment.entries[2]}/v1/programs/{program}/calls/1")
    assert first.body["answer"] == again.body["answer"] == stored.body["answer"]
    assert await deployment.count_effects(program) == {"1": 1}


async def test_repeat_with_another_body_is_a_conflict(deployment):
    program = await deployment.open()
    await deployment.call(program, 1, "plan a walk")
    other = await deployment.call(program, 1, "plan another walk", entry=1)
    assert (other.status, other.body["error"]["kind"]) == (409, "call_conflict")


async def test_call_out_of_order_waits_then_is_not_run(deployment):
    program = await deployment.open()
    early = await deployment.call(program, 2, "too early", entry=1, timeout_seconds=0.5)
    assert (early.status, early.body["verdict"]) == (409, "not_run")


async def test_call_out_of_order_runs_after_its_predecessor(deployment):
    program = await deployment.open()
    second = asyncio.create_task(deployment.call(program, 2, "second", entry=1))
    await asyncio.sleep(0.3)
    await deployment.call(program, 1, "first", entry=2)
    assert (await second).status == 200


async def test_wrong_digest_names_the_last_shared_call(deployment):
    program = await deployment.open()
    first = await deployment.call(program, 1, "one")
    await deployment.call(program, 2, "two")
    wrong = await deployment.call(program, 3, "three", digest=first.body["digest"])
    assert (wrong.status, wrong.body["error"]["last_shared_call"]) == (409, 1)


@pytest.mark.parametrize("entry", [0, 1])
async def test_stream_gives_the_whole_answer(deployment, entry):
    program = await deployment.open()
    answer = await deployment.call(program, 1, "stream it", entry=entry, stream=True)
    events = [part.split("\n") for part in answer.body.strip().split("\n\n")]
    data = [json.loads(lines[1].removeprefix("data: ")) for lines in events]
    assert events[-1][0] == "event: outcome"
    assert "".join(item["text"] for item in data[:-1]).strip() == data[-1]["answer"]["content"]


async def test_child_draws_on_its_parents_budget(deployment):
    parent = await deployment.open(budget={"tokens": 50_000, "calls": 2, "seconds": 60})
    child = await deployment.open(entry=1, parent=parent)
    await deployment.call(child, 1, "look")
    await deployment.call(parent, 1, "think")
    refused = await deployment.call(parent, 2, "once more")
    assert (refused.status, refused.body["verdict"]) == (402, "not_run")


async def test_end_covers_children_and_frees_memory(deployment):
    parent = await deployment.open()
    child = await deployment.open(parent=parent)
    await deployment.call(child, 1, "look")
    url = f"{deployment.entries[1]}/v1/programs/"
    ends = [await deployment.send("DELETE", url + parent) for _ in range(2)]
    view = await deployment.send("GET", url + child)
    assert [e.status for e in ends] == [200, 200]
    assert view.body["state"] == "ended"
    await asyncio.sleep(0.5)
    for engine in deployment.started["engines"]:
        held = (await deployment.send("GET", engine["url"] + "/memory")).body
        assert child not in [row["program"] for row in held]


async def test_program_of_a_service_route_makes_tool_calls_only(deployment):
    program = await deployment.open(route="booking-app")
    booking = await deployment.call(program, 1, "book", kind="tool")
    model = await deployment.call(program, 2, "think")
    assert (booking.status, model.status) == (200, 404)


async def test_opening_with_a_key_is_safe_to_repeat(deployment):
    body = {
        "route": "agent-models",
        "tenant": "t",
        "class": "batch",
        "budget": {"tokens": 1, "calls": 1, "seconds": 9},
    }
    answers = [
        await deployment.send("POST", f"{url}/v1/programs", body, {"Idempotency-Key": "k"})
        for url in deployment.entries
    ]
    assert len({answer.body["program"] for answer in answers}) == 1


async def test_openai_style_client_is_served(deployment):
    body = {"model": "alpaca-agent", "messages": [{"role": "user", "content": "hello"}]}
    answer = await deployment.send("POST", f"{deployment.entries[0]}/v1/chat/completions", body)
    assert answer.status == 200
    assert answer.body["choices"][0]["message"]["role"] == "assistant"


async def test_openai_style_client_continues_a_program(deployment):
    program = await deployment.open()
    url = f"{deployment.entries[1]}/v1/chat/completions"
    history = [{"role": "user", "content": "hello"}]
    for number in ("1", "2"):
        headers = {"Egretford-Program": program, "Egretford-Call": number}
        body = {"model": "alpaca-agent", "messages": history}
        answer = await deployment.send("POST", url, body, headers)
        assert answer.status == 200, answer
        history += [answer.body["choices"][0]["message"], {"role": "user", "content": "go on"}]
    assert answer.body["usage"]["prompt_tokens_details"]["cached_tokens"] > 0


BAD_CALLS = [
    ({"call": 0}, 400),
    ({"call": "1"}, 400),
    ({"kind": "magic"}, 400),
    ({"messages": [{"content": "no role"}]}, 400),
    ({"max_tokens": -1}, 400),
    ({"surprise": 1}, 400),
    ({"timeout_seconds": 1e9}, 400),
    ({"kind": "tool", "service": "no-such-service"}, 404),
    ({"kind": "tool"}, 404),
    ({"messages": [{"role": "user", "content": "x" * 600_000}]}, 413),
]


@pytest.mark.parametrize(("change", "status"), BAD_CALLS)
async def test_bad_call_is_refused_and_changes_nothing(deployment, change, status):
    program = await deployment.open()
    url = f"{deployment.entries[0]}/v1/programs/{program}"
    body = {"call": 1, "kind": "model", "messages": [], **change}
    answer = await deployment.send("POST", f"{url}/calls", body)
    view = await deployment.send("GET", url)
    assert (answer.status, answer.body["verdict"]) == (status, "not_run")
    assert answer.body["error"]["message"]
    assert view.body["last_call"] == 0


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b"\xff\xfe", b"null", b'"text"'])
async def test_malformed_body_is_refused(deployment, data):
    for path in ("/v1/programs", "/v1/chat/completions"):
        answer = await deployment.send("POST", deployment.entries[0] + path, data=data)
        assert (answer.status, answer.body["verdict"]) == (400, "not_run")


async def test_unknown_program_is_not_claimed_to_be_unrun(deployment):
    answer = await deployment.call("0123456789abcdef-7", 1, "hello")
    assert (answer.status, answer.body["verdict"]) == (404, "may_have_run")
    nonsense = await deployment.call("nonsense", 1, "hello")
    assert (nonsense.status, nonsense.body["verdict"]) == (404, "not_run")


async def test_marked_request_is_quarantined_at_every_entry(deployment):
    program = await deployment.open()
    first = await deployment.call(program, 1, "CRASH-ENGINE now", entry=0)
    other = await deployment.open(entry=1)
    again = await deployment.call(other, 1, "CRASH-ENGINE now", entry=2)
    assert first.body["verdict"] == "may_have_run"
    assert (again.status, again.body["error"]["kind"]) == (422, "quarantined")
    await asyncio.sleep(2.0)

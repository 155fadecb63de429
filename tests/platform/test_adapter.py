"""The platform adapter: decoding of wire names, which no other package uses."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from egretford.entry.models import RouteKind, Worker
from egretford.errors import InputError, RequestError
from egretford.http.messages import Headers, HttpRequest, ResponseHead
from egretford.platform.documents import decode_configuration, decode_worker
from egretford.platform.settings import read_instance_settings
from egretford.platform.wire import decode_reply, decode_request, encode_request
from tests.platform.deployment import make_configuration

PACKAGE = Path(__file__).parents[2] / "egretford"
# Names that are common outside this platform are not listed.
WIRE_NAMES = [
    "Request-Id",
    "Deadline-Ms",
    "Prompt-Prefix",
    "Response-Signature",
    "Expect-Instance",
    "Server-Load",
    "Not-Executed",
    "Instance-Id",
    "Server-Leaving",
    "Token-Usage",
    "Weight-Versions",
    "Program-Id",
    "Session-Id",
    "Finish-Ms",
    "Token-Budget",
    "Previous-Turn",
    "Resumes",
    "Expect-Version",
    "Pin-Ms",
    "Kv-Hold",
    "Length-Hint",
    "Kv-Backup",
    "hostname",
    "path_prefix",
    "traffic_split",
    "route_type",
    "target_latency_ms",
    "session_affinity",
    "health_path",
    "max_header_bytes",
    "cold_remaining_ms",
    "call_seq",
    "retirements",
    "store_revision",
    "more_pages",
    "allow_stale",
    "created_rev",
    "seed_nodes",
    "machine_class",
    "fault_tolerance",
    "config_apply_ms",
    "tokens_per_event",
    "kv_capacity",
    "EGRETFORD_BOOT",
]


def test_no_wire_name_is_used_outside_the_adapter():
    pattern = re.compile("|".join(rf"(?<![\w-]){re.escape(name)}(?![\w-])" for name in WIRE_NAMES))
    found = [
        f"{path.relative_to(PACKAGE)}: {match.group()}"
        for path in PACKAGE.rglob("*.py")
        if path.parent.name != "platform"
        for match in pattern.finditer(path.read_text())
    ]
    assert found == []


def make_http(**fields):
    headers = Headers([(b"Host", b"Farm.Example:80")])
    for name, value in fields.items():
        headers.add(name.replace("_", "-").encode(), value.encode())
    return HttpRequest(b"POST", b"/a/b?c=1", headers, b"body", True, 0.0)


def test_a_request_is_decoded():
    request = decode_request(
        make_http(
            Request_Id="r1",
            Deadline_Ms="1500",
            Token_Usage="10, 20",
            Prompt_Prefix="aa:5,bb:7",
            Token_Budget="90",
            Previous_Turn="r0",
        )
    )
    assert (request.id, request.host, request.path) == ("r1", "farm.example", "/a/b")
    assert (request.time_budget, request.token_budget, request.previous_turn) == (1.5, 90, "r0")
    assert (request.prompt_tokens, request.max_output_tokens) == (10, 20)
    assert [part.tokens for part in request.prompt] == [5, 7]


@pytest.mark.parametrize(
    "fields",
    [
        {"Deadline_Ms": "soon"},
        {"Deadline_Ms": "-5"},
        {"Deadline_Ms": "9" * 30},
        {"Token_Usage": "10"},
        {"Prompt_Prefix": "aa"},
        {"Token_Budget": "1e9"},
    ],
)
def test_a_field_that_cannot_be_read_is_refused_by_name(fields):
    with pytest.raises(RequestError) as caught:
        decode_request(make_http(**fields))
    assert next(iter(fields)).replace("_", "-") in caught.value.message


def test_a_request_is_encoded_for_one_worker():
    request = decode_request(make_http(Request_Id="r1", Deadline_Ms="1500", Kv_From="x"))
    worker = Worker("w1", "m", "10.0.0.1:80", "z", 1, False)
    text = encode_request(request, worker, 1.25, b"longer body", "4")
    head, _, body = text.partition(b"\r\n\r\n")
    assert head.startswith(b"POST /a/b?c=1 HTTP/1.1\r\n") and body == b"longer body"
    for line in (b"Deadline-Ms: 1250", b"Expect-Instance: w1", b"Last-Event-Id: 4"):
        assert head.count(line) == 1
    assert b"Kv-From" not in head and b"Content-Length: 11" in head


def test_only_an_explicit_reply_proves_that_a_request_did_not_run():
    def is_proven(status, *fields):
        return decode_reply(ResponseHead(status, Headers(list(fields)))).proves_not_run

    assert is_proven(503, (b"Not-Executed", b"1")) and is_proven(421)
    assert not is_proven(503) and not is_proven(500) and not is_proven(429)


# Guards against a worker that gets nothing more because of a malformed field.
def test_only_one_value_says_that_a_worker_is_leaving():
    def is_leaving(*fields):
        return decode_reply(ResponseHead(200, Headers(list(fields)))).leaving

    assert is_leaving((b"Server-Leaving", b"1")) and is_leaving((b"server-leaving", b" 1 "))
    assert not is_leaving()
    for value in (b"", b"0", b"2", b"11", b"1,1", b"true", b"yes", b"\xb9"):
        assert not is_leaving((b"Server-Leaving", value)), value


# Guards against callers that no longer get a header field of the worker's response.
def test_the_field_of_a_leaving_worker_is_passed_on():
    reply = decode_reply(ResponseHead(200, Headers([(b"Server-Leaving", b"1")])))
    assert reply.leaving and reply.fields == ((b"Server-Leaving", b"1"),)


def test_a_configuration_is_decoded():
    table = decode_configuration(make_configuration(version=8))
    kinds = {route.name: route.kind for route in table.routes}
    assert kinds["book"] is RouteKind.UNSAFE and table.version == 8
    assert table.upstreams["models"].engine.event_tokens == 10


@pytest.mark.parametrize("change", [{"version": "v8"}, {"routes": [{}]}, {"limits": None}])
def test_a_configuration_that_cannot_be_read_is_refused(change):
    with pytest.raises(InputError):
        decode_configuration(make_configuration() | change)


# Guards against a stream that is resumed at a worker whose software version is not known.
def test_a_worker_entry_without_a_version_is_ignored():
    entry = {key: value for key, value in VALID_ENTRY.items() if key != "version"}
    assert decode_worker("w1", entry) is None


def test_a_request_that_resumes_a_stream_is_decoded_and_forwarded():
    request = decode_request(make_http(Request_Id="r2", Last_Event_Id="7"))
    assert request.resume_after == "7"
    worker = Worker("w1", "m", "10.0.0.1:80", "z", 1, False)
    text = encode_request(request, worker, 1.0, b"", "9")
    assert text.count(b"Request-Id: r2") == 1 and text.count(b"Last-Event-Id: 9") == 1


def test_a_route_of_an_unknown_kind_is_not_repeated():
    document = make_configuration()
    document["routes"][0]["route_type"] = "weekly"
    assert decode_configuration(document).routes[0].kind is RouteKind.UNSAFE


VALID_ENTRY = {
    "backend": "m",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1.1",
    "slots": 2,
    "phase": "draining",
}


def test_an_entry_of_the_worker_list_is_decoded():
    worker = decode_worker("w1", VALID_ENTRY)
    assert worker.leaving and worker.slots == 2
    assert worker.software_version == "v1.1"


@pytest.mark.parametrize(
    "change",
    [
        {"backend": 5},
        {"address": "nowhere"},
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.300:80"},
        {"slots": "2"},
        {"slots": 0},
        {"phase": "resting"},
        {"phase": ["ready"]},
        {"zone": None},
        {"version": None},
        {"version": 2},
        {"version": ""},
    ],
)
def test_a_malformed_worker_entry_is_ignored(change):
    assert decode_worker("w1", VALID_ENTRY | change) is None
    assert decode_worker("w1", "text") is None


SETTINGS = """
node_name = "edge-1"
ip = "10.1.0.38"
zone = "north-a"
region = "north"
internal_ports = [7380, 7395]
bootstrap = true
heartbeat_ms = 1200
something_new = 3
[zones]
north-a = "north"
[listen]
front = "10.1.0.38:8149"
ready = "10.1.0.38:8141"
[limits]
memory_mb = 150
[fault_tolerance]
machines = 1
[bounds]
drain_ms = 2500
grace_s = 8
config_apply_ms = 2500
recovery_s = 12
[provider]
address = "10.200.1.7:8142"
"""


def test_settings_are_read_and_unknown_fields_ignored(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS)
    settings = read_instance_settings(path)
    assert settings.peer_address == "10.1.0.38:7380"
    assert settings.bounds.stop_grace == 8.0 and settings.tolerated_losses == 1


def test_all_settings_problems_are_reported_with_field_value_and_remedy(tmp_path):
    path = tmp_path / "node.toml"
    changed = SETTINGS.replace('zone = "north-a"', "zone = 7").replace("machines = 1", "")
    path.write_text(changed)
    with pytest.raises(InputError) as caught:
        read_instance_settings(path)
    text = str(caught.value)
    assert "zone: is 7; give a value of type str" in text
    assert "fault_tolerance.machines: is missing; add this field" in text

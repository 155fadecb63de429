"""Entries of other writers that cannot be decoded: all others are read, and no feed ends."""

from __future__ import annotations

import asyncio

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretford.clock import SystemClock
from egretford.entry.events import EventError, parse_event
from egretford.errors import RequestError, StoreUnavailableError
from egretford.http.messages import Headers, HttpRequest, ResponseHead
from egretford.numbers import parse_whole_number
from egretford.platform.documents import decode_worker
from egretford.platform.feeds import StoreHealth, build_worker_feed
from egretford.platform.json import decode_json
from egretford.platform.store import MetadataStore
from egretford.platform.stored_state import StoredEvacuations, decode_view
from egretford.platform.wire import decode_process_report, decode_reply, decode_request
from tests.platform.standins import ListeningStandin, NullLog

GOOD = {"backend": "b", "address": "10.1.0.1:80", "zone": "z", "version": "1", "slots": 4}
GOOD = {**GOOD, "phase": "ready"}
UNDECODABLE = {
    "3,000 levels": b"[" * 3_000 + b"]" * 3_000,
    "200,000 levels": b'{"a":' * 200_000 + b"1" + b"}" * 200_000,
    "number out of range": b"1e999",
    "unpaired surrogate": b'"\\ud800"',
    "not UTF-8": b'"\xff"',
    "brackets in a string": b'["]}\\"{[", 1e999]',
}
MALFORMED = {
    "digit of another script": {**GOOD, "address": "10.1.0.1:8²"},
    "port of 5,000 digits": {**GOOD, "address": "10.1.0.1:" + "9" * 5_000},
    "port 0": {**GOOD, "address": "10.1.0.1:0"},
    "port out of range": {**GOOD, "address": "10.1.0.1:65536"},
    "slots out of range": {**GOOD, "slots": 2**53},
    "phase of another type": {**GOOD, "phase": ["ready"]},
    "null": None,
    "array": [GOOD],
}


def encode_entry(name, content):
    return b'{"metadata":{"name":"%s","revision":5},"spec":%s,"status":null}' % (name, content)


class RawStore(ListeningStandin):
    """A store with a listing and a series of watch responses, given as bytes."""

    def __init__(self, entries, watches=()):
        self.page = b'{"items":[%s],"store_revision":5,"more_pages":false}' % b",".join(entries)
        self.watches = list(watches)
        super().__init__()

    async def handle(self, http, responder):
        if b"watch=" in http.target and not self.watches:
            await asyncio.sleep(5)
        body = self.watches.pop(0) if b"watch=" in http.target else self.page
        responder.send_response(200, Headers(), body)


class Listener:
    def __init__(self):
        self.listed, self.updated, self.removed = [], [], []

    def replace_workers(self, workers):
        self.listed = [worker.id for worker in workers]

    def update_worker(self, worker):
        self.updated.append(worker.id)

    def schedule_removal(self, worker_id):
        self.removed.append(worker_id)


async def follow(store, condition):
    """Run a feed of the worker list until the condition holds for its listener."""
    await store.start()
    clock, listener = SystemClock(), Listener()
    client = MetadataStore(store.address, clock, NullLog())
    feed = build_worker_feed(client, listener, StoreHealth(clock, NullLog()), clock, NullLog())
    await feed.start()
    try:
        async with asyncio.timeout(4):
            while not condition(listener):
                await asyncio.sleep(0.01)
    finally:
        await feed.close()
        await client.close()
        await store.close()
    return listener


# Guards against an entry that lists no worker at all because one entry is malformed.
@pytest.mark.parametrize("content", [*UNDECODABLE.values(), *map(orjson.dumps, MALFORMED.values())])
async def test_a_listing_with_one_odd_entry_gives_all_others(content):
    entries = [
        encode_entry(b"a", orjson.dumps(GOOD)),
        encode_entry(b"odd", content),
        encode_entry(b"z", orjson.dumps(GOOD)),
    ]
    listener = await follow(RawStore(entries), lambda found: found.listed)
    assert listener.listed == ["a", "z"]


# Guards against a feed that ends for good, so that the entry goes on with an old worker list.
@pytest.mark.parametrize("content", [*UNDECODABLE.values(), *map(orjson.dumps, MALFORMED.values())])
async def test_a_watch_with_one_odd_entry_gives_all_other_changes(content):
    def encode_event(name, spec):
        return b'{"object":%s,"removed":false}' % encode_entry(name, spec)

    good = orjson.dumps(GOOD)
    first = b'{"events":[null,%s,%s,7],"store_revision":6}'
    first %= (encode_event(b"odd", b'{"slots":%s}' % content), encode_event(b"b", good))
    second = b'{"events":[%s],"store_revision":7}' % encode_event(b"c", good)
    store = RawStore([encode_entry(b"a", good)], [first, second])
    listener = await follow(store, lambda found: len(found.updated) == 2)
    assert listener.updated == ["b", "c"] and listener.removed == ["odd"]


async def test_a_feed_goes_on_after_a_response_that_is_no_listing():
    store = RawStore([encode_entry(b"a", orjson.dumps(GOOD))], [b"[]", b'{"events":7}', b"7"])
    listener = await follow(store, lambda found: found.listed and not store.watches)
    assert listener.listed == ["a"]


# Guards against a feed that ends for good on an error in the code that it passes changes to.
async def test_a_feed_goes_on_after_an_unexpected_error_of_its_listener():
    event = b'{"object":%s,"removed":false}' % encode_entry(b"b", orjson.dumps(GOOD))
    watches = [b'{"events":[%s],"store_revision":%d}' % (event, number) for number in (6, 7)]
    store = RawStore([encode_entry(b"a", orjson.dumps(GOOD))], watches)
    calls = []

    def update_worker(self, worker):
        calls.append(worker.id)
        if len(calls) == 1:
            raise ZeroDivisionError

    original, Listener.update_worker = Listener.update_worker, update_worker
    try:
        await follow(store, lambda found: len(calls) == 2)
    finally:
        Listener.update_worker = original


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
)
worker_fields = st.fixed_dictionaries(
    {}, optional={name: json_values | st.just(value) for name, value in GOOD.items()}
)


@given(json_values | worker_fields)
def test_no_document_of_a_worker_raises(document):
    decode_worker("w", document)


@given(json_values)
def test_no_stored_view_raises_anything_undeclared(content):
    item = type("Item", (), {"content": content})()
    try:
        decode_view(item)
    except StoreUnavailableError:
        return


@given(json_values)
def test_no_status_of_an_evacuation_raises(status):
    evacuations = StoredEvacuations(None, NullLog())
    item = type("Item", (), {"name": "k", "status": status})()
    evacuations.apply_change(item, removed=False)
    evacuations.find("k")


@given(st.binary())
def test_undecodable_json_is_a_value_error(document):
    try:
        decode_json(document)
    except ValueError:
        return


odd_numbers = st.text(max_size=6) | st.sampled_from(
    ["²", "8²", "9" * 5_000, "٣", "1_0", "+1", "-1"]
)


@given(odd_numbers)
def test_a_number_has_ascii_digits_only(text):
    number = parse_whole_number(text)
    assert number is None or str(number) == (text.lstrip("0") or "0")


@given(odd_numbers, odd_numbers)
def test_no_header_of_a_caller_raises_anything_undeclared(first, second):
    headers = Headers([(b"Host", b"h")])
    pair = f"{first},{second}".encode()
    for name in (b"Token-Usage", b"Deadline-Ms", b"Token-Budget", b"Last-Event-Id"):
        headers.add(name, pair)
    headers.add(b"Prompt-Prefix", f"a:{first},b:{second}".encode())
    try:
        decode_request(HttpRequest(b"POST", b"/", headers, b"", True, 0.0))
    except RequestError:
        return


@given(odd_numbers, odd_numbers, st.binary(max_size=30))
def test_no_header_or_state_of_a_worker_raises(first, second, body):
    headers = Headers([(b"Server-Load", f"{first},{second},1".encode())])
    headers.add(b"Keep-Alive", f"timeout={first}".encode())
    decode_reply(ResponseHead(200, headers))
    decode_process_report(ResponseHead(200, headers), body)


@given(odd_numbers, st.binary(max_size=30))
def test_no_event_raises_anything_undeclared(number, data):
    try:
        parse_event(b"id: %s\ndata: %s\n\n" % (number.encode("utf-8", "replace"), data))
    except EventError:
        return

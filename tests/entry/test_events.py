"""Streams are cut into whole events, whatever the pieces they come in."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretford.entry.events import EventError, EventSplitter, parse_event


@given(st.lists(st.integers(0, 10**6), max_size=10), st.data())
def test_events_come_out_byte_for_byte(numbers, data):
    raw = [b"id: %d\ndata: word %d\n\n" % (n, n) for n in numbers]
    stream = b"".join(raw)
    cuts = sorted(data.draw(st.sets(st.integers(0, len(stream)))))
    splitter, found = EventSplitter(), []
    for start, end in zip([0, *cuts], [*cuts, len(stream)], strict=True):
        found += splitter.feed(stream[start:end])
    assert [event.raw for event in found] == raw
    assert [event.number for event in found] == numbers
    assert not splitter.has_rest


def test_a_stream_that_ends_inside_an_event_is_noticed():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") and splitter.has_rest


def test_data_of_several_lines_is_joined():
    event = parse_event(b"weight-versions: 3\nid: 4\ndata: a\ndata: b\n\n")
    assert (event.number, event.data) == (4, b"a\nb")


def test_an_id_that_is_no_number_is_an_error():
    with pytest.raises(EventError):
        parse_event(b"id: x1\ndata: a\n\n")

"""Numbers of events where one worker's run follows another's."""

from __future__ import annotations

import pytest

from egretford.policy.sequences import EventSequence


def accepts(sequence: EventSequence, *numbers: int | None) -> list[bool]:
    """Offer the events of one run, and return which of them may follow."""
    sequence.start_run()
    accepted = []
    for number in numbers:
        accepted.append(sequence.find_fault(number) is None)
        if accepted[-1]:
            sequence.add(number)
    return accepted


@pytest.mark.parametrize("first", [0, 1, 7])
def test_a_new_stream_may_begin_at_any_number(first):
    assert accepts(EventSequence(), first, first + 1) == [True, True]


# Guards against events that come twice, or are missing, after a caller resumes a stream.
@pytest.mark.parametrize(("first", "follows"), [(1, False), (2, False), (3, True), (4, False)])
def test_a_resumed_stream_goes_on_at_the_next_event(first, follows):
    assert accepts(EventSequence(2), first) == [follows]


# Guards against the same where the entry goes on at another worker.
@pytest.mark.parametrize(
    ("first", "follows"), [(1, False), (2, False), (3, True), (4, False), (None, False)]
)
def test_another_run_goes_on_at_the_next_event(first, follows):
    sequence = EventSequence()
    accepts(sequence, 1, 2)
    assert accepts(sequence, first) == [follows]


def test_numbers_with_gaps_are_accepted_where_the_stream_had_some():
    sequence = EventSequence()
    assert accepts(sequence, 10, 20, 30) == [True, True, True]
    assert accepts(sequence, 40) == [True]
    assert accepts(sequence, 40) == [False]


def test_a_number_that_goes_back_within_a_run_is_refused():
    assert accepts(EventSequence(), 1, 2, 2, 1, 3) == [True, True, False, False, True]

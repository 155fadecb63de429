"""Where a lost request goes on: property of the bound on workers, and the order of choices."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from egretford.policy.attempts import (
    FIRST_PAUSE_SECONDS,
    LATER_SILENCE_SECONDS,
    LONGEST_PAUSE_SECONDS,
    MAX_REPEATS,
    STREAM_SILENCE_SECONDS,
    AttemptHistory,
)


def test_a_route_of_one_attempt_allows_no_second_living_worker():
    history = AttemptHistory(allowed=1)
    history.note_sent("a")
    assert history.may_repeat("a")
    assert not history.may_add_worker


def test_a_worker_that_ended_or_did_not_run_the_request_leaves_room_for_another():
    history = AttemptHistory(allowed=1)
    history.note_sent("a")
    history.note_ended("a")
    assert history.may_add_worker and not history.may_repeat("a")
    history.note_sent("b")
    assert not history.may_add_worker
    history.note_not_run("b")
    assert history.may_add_worker


def test_a_worker_that_loses_every_answer_is_left_alone_after_some():
    history = AttemptHistory(allowed=2)
    for _ in range(MAX_REPEATS + 1):
        assert history.may_repeat("a")
        history.note_sent("a")
    assert not history.may_repeat("a") and history.may_add_worker


# Guards against a slow worker's time spent on connections opened anew (LOST).
def test_a_second_connection_to_the_only_worker_allowed_gets_more_time():
    history = AttemptHistory(allowed=1)
    history.note_sent("a")
    assert history.silence_limit == STREAM_SILENCE_SECONDS
    history.note_silence()
    assert history.silence_limit == LATER_SILENCE_SECONDS


# Guards against a long wait at a hung worker while another one may take over (late streams).
def test_a_second_connection_gets_no_more_time_where_another_worker_is_allowed():
    history = AttemptHistory(allowed=2)
    history.note_sent("a")
    history.note_silence()
    assert history.silence_limit == STREAM_SILENCE_SECONDS


# Guards against a connection given up with no way to go on (LOST).
def test_a_request_goes_on_only_where_a_repeat_or_another_worker_is_allowed():
    history = AttemptHistory(allowed=1)
    history.note_sent("a")
    assert history.may_go_on("a", leaving=False, others=False)
    assert not history.may_go_on("a", leaving=True, others=True)
    for _ in range(MAX_REPEATS):
        history.note_sent("a")
    assert not history.may_go_on("a", leaving=False, others=True)
    history.note_ended("a")
    assert history.may_go_on("a", leaving=False, others=True)
    assert not history.may_go_on("a", leaving=False, others=False)


# Guards against a request that runs on more workers than allowed after a refusal (BUDGET).
def test_after_a_refusal_a_request_goes_only_where_it_may_run():
    history = AttemptHistory(allowed=1)
    history.note_sent("a")
    history.note_sent("b")
    history.note_not_run("b")
    assert history.may_send("a") and not history.may_send("b")
    history.note_ended("a")
    assert history.may_send("b") and not history.may_send("a")
    history.note_ended("b")
    assert not history.may_send("b")


# Guards against full workers asked over and over again.
def test_pauses_grow_to_a_bound():
    history = AttemptHistory(allowed=1)
    pauses = [history.take_pause() for _ in range(20)]
    assert pauses[:2] == [FIRST_PAUSE_SECONDS, 2 * FIRST_PAUSE_SECONDS]
    assert set(pauses[4:]) == {LONGEST_PAUSE_SECONDS}


@given(st.integers(1, 3), st.lists(st.tuples(st.integers(0, 4), st.booleans())))
def test_no_more_living_workers_than_allowed_ever_run_a_request(allowed, steps):
    history = AttemptHistory(allowed)
    living: set[str] = set()
    for number, ends in steps:
        worker = f"w{number}"
        if (history.may_repeat(worker) and worker in living) or history.may_add_worker:
            if worker in history.ended:
                continue
            history.note_sent(worker)
            living.add(worker)
        if ends and worker in living:
            living.discard(worker)
            history.note_ended(worker)
        assert len(living) <= allowed

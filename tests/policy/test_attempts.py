"""Retries of requests whose response was lost, and the limit on the workers that run one."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from egretford.policy.attempts import (
    IDLE_TIMEOUT_SECONDS,
    INITIAL_BACKOFF_SECONDS,
    MAX_BACKOFF_SECONDS,
    MAX_RETRIES,
    RECONNECTED_IDLE_TIMEOUT_SECONDS,
    REPLACEABLE_IDLE_TIMEOUT_SECONDS,
    AttemptHistory,
)


def test_a_route_of_one_attempt_allows_no_second_living_worker():
    history = AttemptHistory(max_workers=1)
    history.record_sent("a")
    assert history.may_retry_on("a")
    assert not history.may_add_worker


def test_a_worker_that_ended_or_did_not_run_the_request_leaves_room_for_another():
    history = AttemptHistory(max_workers=1)
    history.record_sent("a")
    history.record_unavailable("a")
    assert history.may_add_worker and not history.may_retry_on("a")
    history.record_sent("b")
    assert not history.may_add_worker
    history.record_not_run("b")
    assert history.may_add_worker


def test_a_worker_that_loses_every_answer_gets_a_limited_number_of_retries():
    history = AttemptHistory(max_workers=2)
    for _ in range(MAX_RETRIES + 1):
        assert history.may_retry_on("a")
        history.record_sent("a")
    assert not history.may_retry_on("a") and history.may_add_worker


# Guards against losing a request to a slow worker because its time goes into reconnecting
# (soak check LOST).
def test_a_second_connection_to_the_only_worker_allowed_gets_more_time():
    history = AttemptHistory(max_workers=1)
    history.record_sent("a")
    assert history.idle_timeout == IDLE_TIMEOUT_SECONDS
    history.record_idle_timeout()
    assert history.idle_timeout == RECONNECTED_IDLE_TIMEOUT_SECONDS


# Guards against late streams: a long wait for a hung worker while another one may take over.
def test_a_second_connection_gets_no_more_time_where_another_worker_is_allowed():
    history = AttemptHistory(max_workers=2)
    history.record_sent("a")
    assert not history.prefers_other_worker
    history.record_idle_timeout()
    assert history.idle_timeout <= IDLE_TIMEOUT_SECONDS and not history.prefers_other_worker
    history.record_idle_timeout()
    assert history.prefers_other_worker
    history.record_sent("b")
    assert not history.prefers_other_worker


# Guards against streams that are sent again while a sound worker pauses, and against callers that
# leave before the second connection has had its time.
def test_a_pause_of_a_second_is_no_reason_to_send_a_stream_again():
    assert IDLE_TIMEOUT_SECONDS > 1.2
    assert IDLE_TIMEOUT_SECONDS + REPLACEABLE_IDLE_TIMEOUT_SECONDS < 2.0
    assert IDLE_TIMEOUT_SECONDS + RECONNECTED_IDLE_TIMEOUT_SECONDS < 3.0


# Guards against closing a connection although the request cannot be retried (soak check LOST).
def test_a_request_is_retried_only_where_its_worker_or_another_may_get_it():
    history = AttemptHistory(max_workers=1)
    history.record_sent("a")
    assert history.may_retry("a", leaving=False, others=False)
    assert not history.may_retry("a", leaving=True, others=True)
    for _ in range(MAX_RETRIES):
        history.record_sent("a")
    assert not history.may_retry("a", leaving=False, others=True)
    history.record_unavailable("a")
    assert history.may_retry("a", leaving=False, others=True)
    assert not history.may_retry("a", leaving=False, others=False)


# Guards against a request that runs on more workers than allowed after a refusal (soak
# check BUDGET).
def test_after_a_refusal_a_request_goes_only_where_it_may_run():
    history = AttemptHistory(max_workers=1)
    history.record_sent("a")
    history.record_sent("b")
    history.record_not_run("b")
    assert history.may_send("a") and not history.may_send("b")
    history.record_unavailable("a")
    assert history.may_send("b") and not history.may_send("a")
    history.record_unavailable("b")
    assert not history.may_send("b")


# Guards against offering a request to full workers in a busy loop.
def test_backoffs_grow_to_a_maximum():
    history = AttemptHistory(max_workers=1)
    backoffs = [history.next_backoff() for _ in range(20)]
    assert backoffs[:2] == [INITIAL_BACKOFF_SECONDS, 2 * INITIAL_BACKOFF_SECONDS]
    assert set(backoffs[4:]) == {MAX_BACKOFF_SECONDS}


@given(st.integers(1, 3), st.lists(st.tuples(st.integers(0, 4), st.booleans())))
def test_no_more_living_workers_than_allowed_ever_run_a_request(max_workers, steps):
    history = AttemptHistory(max_workers)
    living: set[str] = set()
    for number, ends in steps:
        worker = f"w{number}"
        if (history.may_retry_on(worker) and worker in living) or history.may_add_worker:
            if worker in history.unavailable:
                continue
            history.record_sent(worker)
            living.add(worker)
        if ends and worker in living:
            living.discard(worker)
            history.record_unavailable(worker)
        assert len(living) <= max_workers

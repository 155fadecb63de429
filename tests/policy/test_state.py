"""Program records and snapshots, budgets, takeovers, segments, membership, retries, quarantine."""

import random
from datetime import UTC, datetime, timedelta

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from egretford.errors import (
    UpstreamLostError,
    UpstreamRefusedError,
    UpstreamRejectedError,
    Verdict,
)
from egretford.models import Budget, CallKind, Member, RetryLimits, Urgency, Usage
from egretford.policy.budget import Account
from egretford.policy.membership import LeaseTimes, Membership, rank_by_hash
from egretford.policy.program import ProgramTable
from egretford.policy.records import (
    Batch,
    CallClaimed,
    CallSettled,
    CeilingRaised,
    ProgramEnded,
    ProgramOpened,
    TokensCharged,
)
from egretford.policy.retry import (
    FailedAttempt,
    GiveUp,
    Quarantine,
    RetryBudget,
    RetryLater,
    decide_retry,
)
from egretford.policy.segments import SegmentIndex, pack_records
from egretford.policy.takeover import SealedPrograms

NOW = datetime(2026, 1, 1, tzinfo=UTC)
BUDGET = Budget(1_000, 10, 100.0)
OPENED = ProgramOpened("a-1", "r", "t", Urgency.BATCH, BUDGET, None, NOW, 512)
CLAIMED = CallClaimed("a-1", 1, CallKind.TOOL, "f", [{"role": "user"}], "")


def make_settled(call, charged=10):
    message = [{"role": "user", "content": str(call)}]
    answer = {"role": "assistant", "content": str(call)}
    usage = Usage(5, 0, 5)
    return CallSettled(
        "a-1", call, CallKind.MODEL, "f", message, answer, Verdict.RAN, usage, charged, "w"
    )


RECORDS = [
    OPENED,
    CeilingRaised("a-1", 700),
    make_settled(1),
    TokensCharged("a-1", 30),
    make_settled(2),
    CallClaimed("a-1", 3, CallKind.TOOL, "f", [], ""),
    ProgramEnded("a-1", "done", NOW),
]


def fold(records):
    table = ProgramTable()
    for record in records:
        table.apply(record)
    return table


@given(repeated=st.lists(st.sampled_from(range(len(RECORDS))), max_size=10))
def test_folding_records_again_changes_nothing(repeated):
    refolded = fold(RECORDS + [RECORDS[index] for index in sorted(repeated)])
    assert refolded == fold(RECORDS)


@pytest.mark.parametrize("length", range(1, len(RECORDS) + 1))
def test_snapshot_folds_to_the_same_state(length):
    table = fold(RECORDS[:length])
    assert fold(table.programs["a-1"].snapshot()) == table


def test_child_is_bound_by_its_parents_budget():
    parent = Account(BUDGET)
    child = Account(BUDGET, parent)
    parent.charge(900, 0)
    assert child.find_exhausted(101, 1) == "tokens"
    assert child.find_exhausted(100, 1) is None


def test_unclean_takeover_counts_the_whole_ceiling_as_spent():
    sealed_programs = SealedPrograms()
    sealed_programs.add_journal([Batch("b", RECORDS[:3]), Batch("s", [], sealed_by="b")], "a")
    sealed_programs.settle(lambda route: ["w1"])
    program = sealed_programs.table.programs["a-1"]
    assert (program.account.spent_tokens, program.dispatched) == (700, True)
    assert program.held_by == {"w", "w1"}


def test_clean_handover_forfeits_nothing():
    sealed_programs = SealedPrograms()
    sealed_programs.add_journal([Batch("b", RECORDS[:3]), Batch("s", [], sealed_by="a")], "a")
    sealed_programs.settle(lambda route: ["w1"])
    program = sealed_programs.table.programs["a-1"]
    assert (program.account.spent_tokens, program.dispatched) == (10, False)


def test_takeover_settles_a_claim_with_unknown_outcome():
    sealed_programs = SealedPrograms()
    sealed_programs.add_journal([Batch("b", [OPENED, CLAIMED])], "a")
    sealed_programs.settle(lambda route: [])
    outcome = sealed_programs.table.programs["a-1"].outcome_of(1)
    assert (outcome.verdict, outcome.answer) == (Verdict.MAY_HAVE_RUN, None)


def test_records_are_packed_in_order_and_within_the_limit():
    chunks = list(pack_records(RECORDS, limit=300))
    assert [record for chunk in chunks for record in chunk] == RECORDS
    assert len(chunks) > 1


def test_segments_are_deletable_once_no_tree_needs_them():
    segment_index = SegmentIndex()
    for number, roots in ((1, ["a"]), (2, ["a", "b"]), (3, ["b"]), (4, [])):
        segment_index.add(number, 10, roots)
    assert segment_index.list_deletable() == []
    segment_index.forget("a")
    assert segment_index.list_deletable() == [1]
    segment_index.move("b", 4)
    assert segment_index.list_deletable() == [1, 2, 3]


def make_member(name, domain="d1", region="r1", state="serving"):
    return Member(name, name, f"tcp://{name}", domain, region, name, NOW, state)


def test_expired_member_is_taken_over_by_its_own_domain_first():
    times = LeaseTimes()
    near, far = (Membership(make_member(n, d), times) for n, d in (("near", "d1"), ("far", "d2")))
    for membership, other in ((near, make_member("far", "d2")), (far, make_member("near"))):
        membership.update_from_listing({"gone": (make_member("gone"), 1)}, 0.0)
        membership.update_from_listing(
            {"gone": (make_member("gone"), 1), other.incarnation: (other, 2)}, 8.0
        )
        membership.record_heartbeat(other, 8.0)
    assert [known.member.incarnation for known in near.list_takeovers(8.1)] == ["gone"]
    assert far.list_takeovers(8.1) == []
    assert [known.member.incarnation for known in far.list_takeovers(9.1)] == ["gone"]


def test_member_that_answers_heartbeats_is_not_taken_over():
    membership = Membership(make_member("me"), LeaseTimes())
    membership.update_from_listing({"cut": (make_member("cut"), 1)}, 0.0)
    membership.record_heartbeat(make_member("cut"), 20.0)
    assert membership.list_takeovers(21.0) == []


def test_heartbeat_of_a_former_owner_does_not_undo_a_takeover():
    membership = Membership(make_member("me"), LeaseTimes())
    membership.update_from_listing(
        {"old": (evolve(make_member("old"), owner="new", state="copied"), 5)}, 0.0
    )
    membership.record_heartbeat(make_member("old"), 1.0)
    assert not membership.is_live("old", 1.0)


@given(st.sets(st.text(min_size=1, max_size=4), min_size=2, max_size=8), st.text(max_size=4))
def test_rendezvous_moves_only_the_keys_of_a_lost_name(names, key):
    ranked = rank_by_hash(key, names)
    assert rank_by_hash(key, names - {ranked[-1]}) == ranked[:-1]


LOST = UpstreamLostError("lost", crashed=True)
REFUSED = UpstreamRefusedError("refused")


@pytest.mark.parametrize(
    ("error", "repeatable", "number", "seconds_left", "retried"),
    [
        (REFUSED, False, 1, 10.0, True),
        (LOST, True, 1, 10.0, True),
        (LOST, False, 1, 10.0, False),
        (LOST, True, 3, 10.0, False),
        (LOST, True, 1, 0.001, False),
        (UpstreamRejectedError("bad"), True, 1, 10.0, False),
    ],
)
def test_only_what_may_run_again_is_tried_again(error, repeatable, number, seconds_left, retried):
    attempt = FailedAttempt(error, number, repeatable, seconds_left)
    decision = decide_retry(attempt, RetryLimits(), RetryBudget(0.2), random.Random(1))
    assert isinstance(decision, RetryLater if retried else GiveUp)


def test_retries_are_a_share_of_first_attempts():
    budget = RetryBudget(0.1, tokens=0.0)
    for _ in range(35):
        budget.record_attempt()
    assert [budget.try_spend() for _ in range(5)] == [True, True, True, False, False]


def test_second_crash_quarantines_for_a_while():
    quarantine = Quarantine()
    quarantine.count_crash("f", NOW)
    assert quarantine.find_block("f", NOW) is None
    quarantine.count_crash("f", NOW)
    assert quarantine.find_block("f", NOW + timedelta(minutes=5))
    assert quarantine.find_block("f", NOW + timedelta(minutes=11)) is None

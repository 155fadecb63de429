"""The worker table: removed list entries, late configuration, and restarts."""

from __future__ import annotations

from attrs import define, evolve

from egretford.entry.models import PromptPart, RoutingTable, Worker
from egretford.entry.workers import RECOVERY_GRACE_SECONDS, REMOVAL_DELAY_SECONDS, WorkerTable
from egretford.platform.documents import decode_configuration
from tests.platform.deployment import make_configuration
from tests.platform.standins import NullLog

WORKER = Worker("m-1", "models", "10.0.0.1:80", "north-a", 8, leaving=False)
PROMPT = (PromptPart("shared", 1_000), PromptPart("own", 100))


@define
class FakeClock:
    time: float = 100.0

    def monotonic(self):
        return self.time


@define
class FakeStoreRecovery:
    recovered_at: float | None = None


def make_table(recovered_at=None) -> tuple[WorkerTable, FakeClock]:
    clock = FakeClock()
    return WorkerTable(clock, FakeStoreRecovery(recovered_at), NullLog()), clock


def read_table() -> RoutingTable:
    return decode_configuration(make_configuration())


def test_a_worker_whose_entry_expired_in_an_outage_is_used_for_a_grace_period():
    workers, clock = make_table(recovered_at=100.0)
    workers.update_worker(WORKER)
    workers.replace_workers([])
    clock.time += RECOVERY_GRACE_SECONDS - 0.1
    assert workers.list_usable("models")
    workers.update_worker(WORKER)
    clock.time += 0.2
    assert workers.list_usable("models")
    workers.schedule_removal("m-1")
    clock.time += RECOVERY_GRACE_SECONDS
    assert not workers.list_usable("models")


def test_a_worker_whose_entry_is_deleted_while_the_store_answers_is_removed_soon():
    workers, clock = make_table()
    workers.update_worker(WORKER)
    workers.schedule_removal("m-1")
    clock.time += REMOVAL_DELAY_SECONDS
    assert not workers.list_usable("models")


def test_a_worker_listed_before_the_configuration_gets_a_prompt_cache():
    workers, _ = make_table()
    workers.update_worker(WORKER)
    workers.apply_configuration(read_table())
    (tracked,) = workers.list_usable("models")
    tracked.cache.record_prompt(PROMPT)
    assert tracked.cache.count_cached(PROMPT) == 1_100


def test_a_restart_under_the_same_id_clears_the_prompt_cache():
    workers, _ = make_table()
    workers.apply_configuration(read_table())
    workers.update_worker(evolve(WORKER, born=1))
    (tracked,) = workers.list_usable("models")
    tracked.cache.record_prompt(PROMPT)
    workers.update_worker(evolve(WORKER, born=2))
    (tracked,) = workers.list_usable("models")
    assert tracked.cache.count_cached(PROMPT) == 0

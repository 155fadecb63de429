"""The worker table: removed list entries, late configuration, restarts and leaving workers."""

from __future__ import annotations

from attrs import Factory, define, evolve

from egretford.entry.dialing import WorkerDialer
from egretford.entry.leaving import MAX_RUNS, LeavingRuns
from egretford.entry.models import PromptPart, RoutingTable, Worker, WorkerReply
from egretford.entry.workers import RECOVERY_GRACE_SECONDS, REMOVAL_DELAY_SECONDS, WorkerTable
from egretford.http.messages import Headers, ResponseHead
from egretford.metrics import Metrics
from egretford.platform.documents import decode_configuration
from egretford.platform.wire import decode_reply
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


@define
class RecordingLog:
    lines: list[tuple[str, dict]] = Factory(list)

    def info(self, event, **fields):
        self.lines.append((event, fields))


@define
class FakeConnection:
    closed: bool = False
    tunnelled: bool = False

    def finish(self, now):
        pass

    def is_usable(self, now):
        return not self.closed

    def close(self):
        self.closed = True


def make_table(recovered_at=None, log=None) -> tuple[WorkerTable, FakeClock]:
    clock = FakeClock()
    return (
        WorkerTable(
            clock,
            FakeStoreRecovery(recovered_at),
            WorkerDialer(clock, Metrics(), NullLog()),
            log or NullLog(),
        ),
        clock,
    )


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


def make_leaving_reply(status=200, worker_id: str | None = None) -> WorkerReply:
    headers = Headers([(b"Server-Leaving", b"1")])
    if worker_id is not None:
        headers.add(b"Instance-Id", worker_id.encode())
    return decode_reply(ResponseHead(status, headers))


def make_table_with_leaving(worker=WORKER, log=None):
    """Return a table whose worker said in a response that it is leaving, and its clock."""
    workers, clock = make_table(log=log)
    workers.update_worker(worker)
    (tracked,) = workers.list_usable("models")
    workers.record_reply(tracked, make_leaving_reply())
    return workers, clock


# Guards against new requests at a leaving worker whose list entry still says that it is ready.
def test_a_worker_that_said_that_it_is_leaving_stays_so_whatever_the_list_says():
    workers, _ = make_table_with_leaving(evolve(WORKER, born=1))
    assert not workers.list_usable("models")
    workers.update_worker(evolve(WORKER, born=1))
    assert not workers.list_usable("models")
    workers.replace_workers([evolve(WORKER, born=1, slots=9)])
    assert not workers.list_usable("models")


# Guards against new requests at a leaving worker that the list shows as leaving, then as ready.
def test_a_worker_that_the_list_showed_as_leaving_and_that_said_so_stays_so():
    workers, _ = make_table()
    workers.update_worker(evolve(WORKER, born=1))
    (tracked,) = workers.list_usable("models")
    workers.update_worker(evolve(WORKER, born=1, leaving=True))
    workers.record_reply(tracked, make_leaving_reply())
    workers.update_worker(evolve(WORKER, born=1))
    assert not workers.list_usable("models")


# Guards against new requests at a leaving worker whose list entry lapsed in a store outage.
def test_a_leaving_worker_whose_entry_is_removed_and_returns_is_still_leaving():
    for born in (1, 0):
        workers, clock = make_table_with_leaving(evolve(WORKER, born=born))
        workers.replace_workers([])
        clock.time += REMOVAL_DELAY_SECONDS
        assert not workers.list_usable("models")
        workers.replace_workers([evolve(WORKER, born=born)])
        assert not workers.list_usable("models"), f"born {born}"


# Guards against new requests at a leaving worker that answers after its entry was removed.
def test_a_worker_that_says_after_its_removal_that_it_is_leaving_does_not_return():
    workers, clock = make_table()
    workers.update_worker(evolve(WORKER, born=1))
    (tracked,) = workers.list_usable("models")
    workers.schedule_removal("m-1")
    clock.time += REMOVAL_DELAY_SECONDS
    assert not workers.list_usable("models")
    workers.record_reply(tracked, make_leaving_reply())
    workers.update_worker(evolve(WORKER, born=1))
    assert not workers.list_usable("models")


# Guards against new requests at a leaving worker whose entry was replaced during its response.
def test_a_response_to_an_earlier_record_of_a_worker_marks_the_present_one():
    workers, clock = make_table()
    workers.update_worker(evolve(WORKER, born=1))
    (earlier,) = workers.list_usable("models")
    workers.schedule_removal("m-1")
    clock.time += REMOVAL_DELAY_SECONDS
    assert not workers.list_usable("models")
    workers.update_worker(evolve(WORKER, born=1))
    assert workers.list_usable("models")
    workers.record_reply(earlier, make_leaving_reply())
    assert not workers.list_usable("models")


# Guards against a worker that gets nothing after it started again under its id.
def test_a_restart_under_the_same_id_ends_leaving():
    workers, _ = make_table_with_leaving(evolve(WORKER, born=1))
    workers.update_worker(WORKER)
    assert not workers.list_usable("models")
    workers.update_worker(evolve(WORKER, born=2))
    assert workers.list_usable("models")
    workers.update_worker(WORKER)
    assert workers.list_usable("models")


# Guards against a worker that gets nothing because its former process answers late.
def test_a_late_response_of_the_former_process_does_not_mark_the_new_one():
    workers, _ = make_table()
    workers.update_worker(evolve(WORKER, born=1))
    (former,) = workers.list_usable("models")
    workers.update_worker(evolve(WORKER, born=2))
    workers.record_reply(former, make_leaving_reply())
    assert former.state.leaving and workers.list_usable("models")
    workers.update_worker(evolve(WORKER, born=2))
    assert workers.list_usable("models")


# Guards against a mark that moves to another process where entries have no start time.
def test_without_a_start_time_a_worker_is_leaving_while_its_address_is_the_same():
    workers, _ = make_table_with_leaving()
    workers.update_worker(WORKER)
    assert not workers.list_usable("models")
    workers.update_worker(evolve(WORKER, address="10.0.0.2:80"))
    assert workers.list_usable("models")


# Guards against a leaving worker that is used again because its start time became known.
def test_a_start_time_that_becomes_known_does_not_end_leaving():
    workers, _ = make_table_with_leaving()
    workers.update_worker(evolve(WORKER, born=1))
    assert not workers.list_usable("models")
    workers.update_worker(evolve(WORKER, born=2))
    assert workers.list_usable("models")


# Guards against requests at a leaving worker that answered at the address of another one.
def test_a_response_of_another_worker_marks_that_one():
    workers, _ = make_table()
    workers.update_worker(WORKER)
    (addressed,) = workers.list_usable("models")
    workers.record_reply(addressed, make_leaving_reply(421, "unknown"))
    workers.update_worker(evolve(WORKER, id="m-2"))
    workers.update_worker(evolve(WORKER, id="m-3", address="10.0.0.3:80"))
    workers.record_reply(addressed, make_leaving_reply(421, "m-2"))
    workers.record_reply(addressed, make_leaving_reply(421, "m-3"))
    assert {t.worker.id for t in workers.list_usable("models")} == {"m-1", "m-3"}


# Guards against requests on connections that were opened before a worker said it is leaving.
def test_the_idle_connections_of_a_worker_that_says_it_is_leaving_are_closed():
    workers, _ = make_table()
    workers.update_worker(WORKER)
    (tracked,) = workers.list_usable("models")
    idle, running = FakeConnection(), FakeConnection()
    workers.release_connection(tracked, idle)
    assert tracked.idle_connections == [idle]
    workers.record_reply(tracked, make_leaving_reply())
    workers.release_connection(tracked, running)
    assert idle.closed and running.closed and not tracked.idle_connections


# Guards against operators who cannot tell why a worker gets nothing more.
def test_a_leaving_worker_is_logged_once_with_the_source():
    log = RecordingLog()
    workers, _ = make_table_with_leaving(log=log)
    workers.update_worker(evolve(WORKER, leaving=True))
    workers.update_worker(evolve(WORKER, id="m-2"))
    workers.update_worker(evolve(WORKER, id="m-2", leaving=True))
    found = [fields for event, fields in log.lines if event == "a worker is leaving"]
    assert found == [
        {"worker": "m-1", "source": "response"},
        {"worker": "m-2", "source": "list"},
    ]


# Guards against memory that grows with each worker that leaves.
def test_the_memory_of_leaving_workers_is_bounded():
    runs = LeavingRuns()
    entries = [evolve(WORKER, id=f"m-{number}", born=1) for number in range(MAX_RUNS + 1)]
    for entry in entries:
        runs.add(entry)
    assert not runs.match_entry(entries[0])
    assert all(runs.match_entry(entry) for entry in entries[1:])


# Guards against streams that are joined from two versions, or refused, for what was there before.
def test_a_version_without_workers_is_known_for_the_time_that_is_asked_for():
    workers, clock = make_table()
    first = evolve(WORKER, software_version="v1", born=1)
    workers.update_worker(first)
    workers.update_worker(evolve(first, id="m-2"))
    workers.update_worker(evolve(first, software_version="v2", born=2))
    assert workers.list_recent_versions("models", 0.0) == {"v1", "v2"}
    workers.schedule_removal("m-2")
    clock.time += REMOVAL_DELAY_SECONDS + 5.0
    assert workers.list_recent_versions("models", 5.0) == {"v1", "v2"}
    assert workers.list_recent_versions("models", 4.9) == {"v2"}
    assert workers.list_recent_versions("other", 5.0) == set()


def test_many_former_versions_are_still_more_than_one():
    workers, clock = make_table()
    for number in range(100):
        clock.time += 0.01
        workers.update_worker(evolve(WORKER, software_version=f"v{number}", born=number + 1))
    assert 1 < len(workers.list_recent_versions("models", 1.0)) < 10
    assert workers.list_recent_versions("models", 0.0) >= {"v99"}


# Guards against a version that is forgotten too early, as workers are removed in any order.
def test_the_last_worker_of_a_version_decides_how_long_it_is_known():
    workers, clock = make_table()
    first = evolve(WORKER, software_version="v1", born=1)
    workers.update_worker(first)
    workers.update_worker(evolve(first, id="m-2", address="10.0.0.2:80"))
    workers.schedule_removal("m-2")
    clock.time += 5.0
    workers.schedule_removal("m-1")
    clock.time += 2.0
    assert workers.list_recent_versions("models", 2.0) == {"v1"}

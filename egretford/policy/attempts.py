"""Decides whether a request whose response was lost is retried, and at which worker."""

from __future__ import annotations

from attrs import Factory, define

# Retries of a lost response at the worker that ran the request. Faulty workers corrupt a few
# percent of their responses, so a third failure in a row has another cause.
MAX_RETRIES = 2
# Idle timeout of a resumable stream, in seconds. The request is then sent again on a new
# connection, since the old one may be dead. Sound workers may be silent for about a second, and
# callers disconnect after two.
IDLE_TIMEOUT_SECONDS = 1.3
# Idle timeout of the second connection, in seconds, if no other worker may take over: the worker
# is probably slow, not unreachable.
RECONNECTED_IDLE_TIMEOUT_SECONDS = 1.4
# The same if another worker may take over, which then does so in time for the caller.
REPLACEABLE_IDLE_TIMEOUT_SECONDS = 0.6
# Backoff in seconds before a request whose response has already begun is offered again after
# all workers refused it; doubled each time up to the maximum. Either a slot is free within some
# tens of milliseconds, or the workers stay full for a while.
INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 0.4


@define
class AttemptHistory:
    """The workers that may have run one request, at most `max_workers`.

    `sends_by_worker` counts the sends to each worker. Workers in `unavailable`, whose process ended
    or that cannot be reached, do not count towards the limit.
    """

    max_workers: int
    sends_by_worker: dict[str, int] = Factory(dict)
    unavailable: set[str] = Factory(set)
    idle_timeouts: int = 0
    backoffs: int = 0

    def record_sent(self, worker: str) -> None:
        """Record that the request was sent to a worker."""
        self.sends_by_worker[worker] = self.sends_by_worker.get(worker, 0) + 1

    def record_not_run(self, worker: str) -> None:
        """Record that a worker reported not having run the last send."""
        self.sends_by_worker[worker] -= 1
        if not self.sends_by_worker[worker]:
            del self.sends_by_worker[worker]

    def record_unavailable(self, worker: str) -> None:
        """Record that a worker's process has ended or cannot be reached."""
        self.unavailable.add(worker)

    def record_idle_timeout(self) -> None:
        """Record that a connection was closed by its idle timeout."""
        self.idle_timeouts += 1

    @property
    def idle_timeout(self) -> float:
        """Idle timeout in seconds after which the request is retried.

        Reconnecting to a slow worker costs time, so the second connection gets a longer
        timeout, unless another worker may take over: retrying there is faster.
        """
        if not self.idle_timeouts:
            return IDLE_TIMEOUT_SECONDS
        if self.may_add_worker:
            return REPLACEABLE_IDLE_TIMEOUT_SECONDS
        return RECONNECTED_IDLE_TIMEOUT_SECONDS

    @property
    def prefers_other_worker(self) -> bool:
        """Whether to leave a worker that may be retried, as a new connection did not help."""
        return self.idle_timeouts > 1 and self.may_add_worker

    @property
    def may_add_worker(self) -> bool:
        """Whether the request may be sent to a worker that has not run it."""
        return (
            sum(worker not in self.unavailable for worker in self.sends_by_worker)
            < self.max_workers
        )

    def may_retry_on(self, worker: str) -> bool:
        """Whether the request may be sent again to a worker that ran it."""
        return worker not in self.unavailable and self.sends_by_worker.get(worker, 0) <= MAX_RETRIES

    def may_send(self, worker: str) -> bool:
        """Whether the request may be sent to a worker, as a retry or for the first time."""
        if worker in self.sends_by_worker:
            return self.may_retry_on(worker)
        return worker not in self.unavailable and self.may_add_worker

    def next_backoff(self) -> float:
        """Return the backoff in seconds before the request is offered again."""
        seconds = min(INITIAL_BACKOFF_SECONDS * 2**self.backoffs, MAX_BACKOFF_SECONDS)
        self.backoffs += 1
        return seconds

    def may_retry(self, worker: str, *, leaving: bool, others: bool) -> bool:
        """Whether the request may be sent again, to `worker` or to one of `others`.

        `others` says whether there are any; a `leaving` worker gets no retries.
        """
        return (self.may_retry_on(worker) and not leaving) or (self.may_add_worker and others)

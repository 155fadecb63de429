"""Decides whether a request whose response was lost is retried, and at which worker."""

from __future__ import annotations

from attrs import Factory, define

# Retries of a lost response at the worker that ran the request. Faulty workers corrupt a few
# percent of their responses, so a third failure in a row has another cause.
MAX_RETRIES = 2
# Idle timeout of a resumable stream, in seconds. The request is then sent again on a new
# connection, since the old one may be dead; an event is already late after a gap of 0.3 s.
IDLE_TIMEOUT_SECONDS = 0.6
# Idle timeout after a new connection did not help either, in seconds: the worker is probably
# slow, not unreachable. Both timeouts add up to more than the 2 s after which callers may
# disconnect.
RECONNECTED_IDLE_TIMEOUT_SECONDS = 1.8
# Backoff in seconds before a request whose response has already begun is offered again after
# all workers refused it; doubled each time up to the maximum. Either a slot is free within some
# tens of milliseconds, or the workers stay full for a while.
INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 0.4


@define
class AttemptHistory:
    """The workers that may have run one request, at most `max_workers`.

    `ran_on` counts the sends to each worker. Workers in `unavailable`, whose process ended or
    that cannot be reached, do not count towards the limit.
    """

    max_workers: int
    ran_on: dict[str, int] = Factory(dict)
    unavailable: set[str] = Factory(set)
    idle_timeouts: int = 0
    backoffs: int = 0

    def note_sent(self, worker: str) -> None:
        """Record that the request was sent to a worker."""
        self.ran_on[worker] = self.ran_on.get(worker, 0) + 1

    def note_not_run(self, worker: str) -> None:
        """Record that a worker reported not having run the last send."""
        self.ran_on[worker] -= 1
        if not self.ran_on[worker]:
            del self.ran_on[worker]

    def note_ended(self, worker: str) -> None:
        """Record that a worker's process has ended or cannot be reached."""
        self.unavailable.add(worker)

    def note_silence(self) -> None:
        """Record that a connection was closed by its idle timeout."""
        self.idle_timeouts += 1

    @property
    def silence_limit(self) -> float:
        """Idle timeout in seconds after which the request is retried.

        Reconnecting to a slow worker costs time, so the second connection gets a longer
        timeout, unless another worker may take over: retrying there is faster.
        """
        reconnected = self.idle_timeouts and not self.may_add_worker
        return RECONNECTED_IDLE_TIMEOUT_SECONDS if reconnected else IDLE_TIMEOUT_SECONDS

    @property
    def may_add_worker(self) -> bool:
        """Whether the request may be sent to a worker that has not run it."""
        return sum(worker not in self.unavailable for worker in self.ran_on) < self.max_workers

    def may_repeat(self, worker: str) -> bool:
        """Whether the request may be sent again to a worker that ran it."""
        return worker not in self.unavailable and self.ran_on.get(worker, 0) <= MAX_RETRIES

    def may_send(self, worker: str) -> bool:
        """Whether the request may be sent to a worker, as a retry or for the first time."""
        if worker in self.ran_on:
            return self.may_repeat(worker)
        return worker not in self.unavailable and self.may_add_worker

    def take_pause(self) -> float:
        """Return the backoff in seconds before the request is offered again."""
        seconds = min(INITIAL_BACKOFF_SECONDS * 2**self.backoffs, MAX_BACKOFF_SECONDS)
        self.backoffs += 1
        return seconds

    def may_go_on(self, worker: str, *, leaving: bool, others: bool) -> bool:
        """Whether the request may be sent again, to `worker` or to one of `others`.

        `others` says whether there are any; a `leaving` worker gets no retries.
        """
        return (self.may_repeat(worker) and not leaving) or (self.may_add_worker and others)

"""At which worker a request whose answer was lost goes on, if at any."""

from __future__ import annotations

from attrs import Factory, define

# How often a lost stream is asked for again at the worker that runs it; faulty workers spoil
# a few of a hundred answers, so that a third failure in a row means something else.
MAX_REPEATS = 2
# A resumable stream that is silent for this long is asked for again on a new connection, as
# the old one may be dead; a pause beyond 0.3 s is late already.
STREAM_SILENCE_SECONDS = 0.6
# The same once a new connection was tried in vain: the worker is rather slow than out of touch.
# Together they come to more than the 2 s after which callers may leave.
LATER_SILENCE_SECONDS = 1.8
# A begun answer that no worker took is offered again after this long, doubled up to the second:
# a place is free within some tens of milliseconds, or the workers are full for a while.
FIRST_PAUSE_SECONDS = 0.05
LONGEST_PAUSE_SECONDS = 0.4


@define
class AttemptHistory:
    """The workers that may have run one request; `allowed` is the most that may.

    Workers whose process ended, or that cannot be reached, do not count.
    """

    allowed: int
    ran_on: dict[str, int] = Factory(dict)
    ended: set[str] = Factory(set)
    silences: int = 0
    pauses: int = 0

    def note_sent(self, worker: str) -> None:
        """Note that a worker was sent the request."""
        self.ran_on[worker] = self.ran_on.get(worker, 0) + 1

    def note_not_run(self, worker: str) -> None:
        """Note that a worker said it did not run what it was sent last."""
        self.ran_on[worker] -= 1
        if not self.ran_on[worker]:
            del self.ran_on[worker]

    def note_ended(self, worker: str) -> None:
        """Note that a worker's process is gone or out of reach."""
        self.ended.add(worker)

    def note_silence(self) -> None:
        """Note that a silent connection was given up."""
        self.silences += 1

    @property
    def silence_limit(self) -> float:
        """Seconds of silence after which to look for another way to go on.

        A second connection to a slow worker loses time, so it is given more of it; where
        another worker may take over, time is better spent there.
        """
        tried = self.silences and not self.may_add_worker
        return LATER_SILENCE_SECONDS if tried else STREAM_SILENCE_SECONDS

    @property
    def may_add_worker(self) -> bool:
        """Whether a worker that has not run the request may get it."""
        return sum(worker not in self.ended for worker in self.ran_on) < self.allowed

    def may_repeat(self, worker: str) -> bool:
        """Whether a worker that ran the request may be asked again."""
        return worker not in self.ended and self.ran_on.get(worker, 0) <= MAX_REPEATS

    def may_send(self, worker: str) -> bool:
        """Whether a worker may get the request, be it again or as one more."""
        if worker in self.ran_on:
            return self.may_repeat(worker)
        return worker not in self.ended and self.may_add_worker

    def take_pause(self) -> float:
        """Return for how many seconds to wait before the workers are asked again."""
        seconds = min(FIRST_PAUSE_SECONDS * 2**self.pauses, LONGEST_PAUSE_SECONDS)
        self.pauses += 1
        return seconds

    def may_go_on(self, worker: str, *, leaving: bool, others: bool) -> bool:
        """Whether a begun request may be sent once more: to `worker`, or to one of `others`."""
        return (self.may_repeat(worker) and not leaving) or (self.may_add_worker and others)

"""Runs of workers that said in a response that they are leaving."""

from __future__ import annotations

from attrs import Factory, define

from egretford.entry.models import Worker

# Limit on the remembered runs; a deployment has some hundred workers.
MAX_RUNS = 4_096


@define
class LeavingRuns:
    """The latest leaving run of each worker id, by its list entry; the oldest is dropped first.

    Kept apart from the workers, whose entries may lapse and return while the store is down.
    """

    _runs: dict[str, Worker] = Factory(dict)

    def add(self, worker: Worker) -> None:
        """Record that the run of this entry is leaving."""
        self._runs.pop(worker.id, None)
        self._runs[worker.id] = worker
        if len(self._runs) > MAX_RUNS:
            del self._runs[next(iter(self._runs))]

    def match_entry(self, worker: Worker) -> bool:
        """Whether a list entry is of a leaving run; the entry of another run ends the mark."""
        run = self._runs.get(worker.id)
        if run is None:
            return False
        is_same = is_same_run(run, worker)
        if worker.born:
            if is_same:
                self._runs[worker.id] = worker
            elif run.born:
                del self._runs[worker.id]
        return is_same


def is_same_run(first: Worker, second: Worker) -> bool:
    """Whether two entries with the same id are of the same run.

    If the start time of one is unknown, they are while address and upstream are the same.
    """
    if first.born and second.born:
        return first.born == second.born
    return first.address == second.address and first.upstream == second.upstream

"""Tells by its start time which process of a worker is at the other end of a connection."""

from __future__ import annotations

from typing import Any

from egretford.clock import Clock
from egretford.entry.dialing import shows_end
from egretford.entry.jobs import ForwardingJob
from egretford.entry.workers import TrackedWorker, WorkerTable
from egretford.errors import UpstreamLostError, UpstreamRefusedError, UpstreamUnreachableError
from egretford.http.bodies import read_response
from egretford.http.client import BrokenResponseError, ClientConnection, ConnectError
from egretford.platform.wire import decode_start_time, encode_state_request
from egretford.timeouts import ReplyTimeout

# Timeout, in seconds, and size limit, in bytes, of a worker's report of its state, which takes one
# round trip.
STATE_TIMEOUT_SECONDS = 0.3
MAX_STATE_BYTES = 65_536
# Pause, in seconds, before a process whose answer was lost is asked again.
ASK_AGAIN_SECONDS = 0.05


class WorkerProcesses:
    """Asks workers when they started, and compares that with their entries in the worker list.

    A worker that started again under its id may have another software version, and the list may
    not say so yet.
    """

    def __init__(self, workers: WorkerTable, clock: Clock, log: Any) -> None:
        self._workers = workers
        self._clock = clock
        self._log = log

    async def check(
        self, job: ForwardingJob, tracked: TrackedWorker, connection: ClientConnection
    ) -> None:
        """Check that the process at a connection is the one that the worker list describes.

        Raises UpstreamUnreachableError if it is another process, and UpstreamLostError or
        UpstreamRefusedError if the worker does not answer.
        """
        if not tracked.worker.born:
            return
        worker = tracked.worker.id
        try:
            born = await self._read_start_time(tracked, connection)
        except (BrokenResponseError, TimeoutError) as error:
            if worker in job.history.sends_by_worker:
                # It may still be running an earlier attempt, so it counts as one more retry.
                job.history.record_sent(worker)
                raise UpstreamLostError(f"no state: {error!r}", crashed=False) from error
            self._workers.record_failure(tracked, f"no state: {error!r}")
            raise UpstreamRefusedError("the worker does not report its state") from error
        self._compare(job, tracked, connection, born)

    async def identify(
        self, job: ForwardingJob, tracked: TrackedWorker, connection: ClientConnection
    ) -> ClientConnection:
        """Do the same at the first use of a connection; a worker that does not answer is trusted.

        Returns the connection to use, as an unanswered one is closed.
        """
        if not tracked.worker.born:
            return connection
        try:
            born = await self._read_start_time(tracked, connection)
        except (BrokenResponseError, TimeoutError) as error:
            connection.close()
            self._log.info(
                "a worker does not say which process it is",
                request=job.request.id,
                worker=tracked.worker.id,
                error=repr(error),
            )
            return await self._reconnect(tracked)
        self._compare(job, tracked, connection, born)
        return connection

    async def _reconnect(self, tracked: TrackedWorker) -> ClientConnection:
        try:
            return await self._workers.connect(tracked, 0.0)
        except ConnectError as error:
            self._workers.record_failure(tracked, str(error))
            raise UpstreamUnreachableError(str(error)) from error

    def _compare(
        self,
        job: ForwardingJob,
        tracked: TrackedWorker,
        connection: ClientConnection,
        born: int | None,
    ) -> None:
        connection.finish(self._workers.now)
        expected = tracked.worker.born
        self._log.info(
            "checked the process of a worker",
            request=job.request.id,
            worker=tracked.worker.id,
            expected=expected,
            born=born,
        )
        if not connection.is_usable(self._workers.now):
            raise UpstreamRefusedError("the worker closed the connection after its state")
        if born is not None and born != expected:
            self._workers.record_failure(tracked, "another process has its id")
            raise UpstreamUnreachableError("another process has the worker's id")
        connection.is_process_known = True

    async def is_running(self, tracked: TrackedWorker) -> bool:
        """Whether a worker's process proves that it has not ended, by the time of its start."""
        if not tracked.worker.born:
            return False
        try:
            connection = await self._workers.connect(tracked, 0.0)
        except ConnectError:
            return False
        try:
            return await self._read_start_time(tracked, connection) == tracked.worker.born
        except (BrokenResponseError, TimeoutError):
            return False
        finally:
            connection.close()

    async def has_outlived(self, request_id: str, tracked: TrackedWorker) -> bool:
        """Whether a process goes on after its connection ended, as one that was killed does not.

        Asks until something certain is known, so callers set a timeout. A process that does not
        report when it started has not ended if it answers, since a new one takes longer to start.
        """
        while True:
            try:
                connection = await self._workers.connect(tracked, 0.0)
            except ConnectError as error:
                if shows_end(error):
                    self._log_end(request_id, tracked, goes_on=False, born=None)
                    return False
            else:
                try:
                    born = await self._read_start_time(tracked, connection)
                except (BrokenResponseError, TimeoutError):
                    pass  # It may be silent for a while, or have ended since it was connected.
                else:
                    goes_on = born is None or not tracked.worker.born or born == tracked.worker.born
                    self._log_end(request_id, tracked, goes_on=goes_on, born=born)
                    return goes_on
                finally:
                    connection.close()
            await self._clock.sleep(ASK_AGAIN_SECONDS)

    def _log_end(
        self, request_id: str, tracked: TrackedWorker, *, goes_on: bool, born: int | None
    ) -> None:
        self._log.info(
            "checked whether a worker goes on after an unframed response",
            request=request_id,
            worker=tracked.worker.id,
            goes_on=goes_on,
            expected=tracked.worker.born,
            born=born,
        )

    async def _read_start_time(
        self, tracked: TrackedWorker, connection: ClientConnection
    ) -> int | None:
        connection.send(encode_state_request(tracked.worker))
        async with ReplyTimeout(STATE_TIMEOUT_SECONDS):
            return decode_start_time(*await read_response(connection, MAX_STATE_BYTES))

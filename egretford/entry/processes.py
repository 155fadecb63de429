"""Tells by its start time which process of a worker is at the other end of a connection."""

from __future__ import annotations

import asyncio
from typing import Any

from egretford.clock import Clock
from egretford.entry.dialing import shows_end
from egretford.entry.jobs import ForwardingJob
from egretford.entry.models import WorkerReply
from egretford.entry.replies import read_own_head
from egretford.entry.workers import TrackedWorker, WorkerTable
from egretford.errors import UpstreamLostError, UpstreamRefusedError, UpstreamUnreachableError
from egretford.http.bodies import read_body
from egretford.http.client import BrokenResponseError, ClientConnection, ConnectError
from egretford.platform.wire import decode_process_report, encode_state_request
from egretford.policy.crashes import PROMPT_CONNECT_SECONDS, LossKind
from egretford.timeouts import ReplyTimeout

# Timeout, in seconds, and size limit, in bytes, of a worker's report of its state, which takes one
# round trip.
STATE_TIMEOUT_SECONDS = 0.3
MAX_STATE_BYTES = 65_536
# Time, in seconds, after which a process that gave no sign of life counts as ended.
SILENCE_SECONDS = 2.0
# Seconds after which a process that has not answered is asked again.
ASK_AGAIN_SECONDS = 0.3
# Workers whose start is remembered as they named it; the oldest are dropped.
MAX_SEEN_STARTS = 1_000


class WorkerProcesses:
    """Asks workers when they started, and compares that with their entries in the worker list.

    A worker that started again under its id may have another software version, and the list may
    not say so yet.
    """

    def __init__(self, workers: WorkerTable, clock: Clock, log: Any) -> None:
        self._workers = workers
        self._clock = clock
        self._log = log
        # By worker, the newest start that a process has named, and when it did.
        self._seen_starts: dict[str, tuple[int, float]] = {}

    async def check(
        self, job: ForwardingJob, tracked: TrackedWorker, connection: ClientConnection
    ) -> ClientConnection:
        """Check that the process at a connection is the one that the worker list describes.

        Returns the connection to use, as the worker may close one after its answer. Raises
        UpstreamUnreachableError if it is another process, and UpstreamLostError or
        UpstreamRefusedError if the worker does not answer.
        """
        if not tracked.worker.born:
            return connection
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
        return await self._compare(job, tracked, connection, born)

    async def identify(
        self, job: ForwardingJob, tracked: TrackedWorker, connection: ClientConnection
    ) -> ClientConnection:
        """Do the same at the first use of a connection, but accept a worker that does not answer.

        Returns the connection to use, as an unanswered one is closed. Its `is_process_known` tells
        whether the worker answered.
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
        return await self._compare(job, tracked, connection, born)

    async def _reconnect(self, tracked: TrackedWorker) -> ClientConnection:
        try:
            return await self._workers.connect(tracked, 0.0)
        except ConnectError as error:
            self._workers.record_failure(tracked, str(error))
            raise UpstreamUnreachableError(str(error)) from error

    async def _compare(
        self,
        job: ForwardingJob,
        tracked: TrackedWorker,
        connection: ClientConnection,
        born: int | None,
    ) -> ClientConnection:
        connection.finish(self._workers.now)
        expected = tracked.worker.born
        self._log.info(
            "checked the process of a worker",
            request=job.request.id,
            worker=tracked.worker.id,
            expected=expected,
            born=born,
        )
        if born is not None and born != expected:
            self._workers.record_failure(tracked, "another process has its id")
            raise UpstreamUnreachableError("another process has the worker's id")
        if not connection.is_usable(self._workers.now):
            connection.close()
            connection = await self._replace_closed(tracked)
        connection.is_process_known = True
        return connection

    async def _replace_closed(self, tracked: TrackedWorker) -> ClientConnection:
        """Return a new connection to a process that has just closed one after its answer.

        Raises UpstreamRefusedError if another process may have taken its place.
        """
        message = "the worker closed the connection after its state"
        answered_at = self._clock.monotonic()
        try:
            connection = await self._workers.open_connection(tracked)
        except ConnectError as error:
            raise UpstreamRefusedError(message) from error
        if self._clock.monotonic() - answered_at > PROMPT_CONNECT_SECONDS:
            connection.close()
            raise UpstreamRefusedError(message)
        return connection

    def find_start(self, tracked: TrackedWorker, opened_at: float) -> int:
        """Return when the process started to which a connection was opened, 0 if unknown.

        The worker list may lag behind what the process itself has said by then.
        """
        born, seen_at = self._seen_starts.get(tracked.worker.id, (0, 0.0))
        return max(born, tracked.worker.born) if seen_at <= opened_at else tracked.worker.born

    async def is_running(self, tracked: TrackedWorker, start: int, kind: LossKind) -> bool:
        """Whether the process that started at `start` goes on after it lost a request.

        A sound process may be silent for a while. Unless its connection broke it gets the time for
        that, and any answer is proof if `start` is 0, as it is unknown.
        """
        is_patient = kind is not LossKind.BROKEN
        if not start and not is_patient:
            return False
        give_up_at = self._clock.monotonic() + (SILENCE_SECONDS if is_patient else 0.0)
        while True:
            seconds_left = max(STATE_TIMEOUT_SECONDS, give_up_at - self._clock.monotonic())
            try:
                connection = await self._workers.open_connection(tracked)
                try:
                    born = await self._read_start_time(tracked, connection, seconds_left)
                finally:
                    connection.close()
                return born == start or not start
            except ConnectError as error:
                if shows_end(error):
                    return False
            except (BrokenResponseError, TimeoutError) as error:
                if is_patient and isinstance(error, BrokenResponseError) and error.received:
                    return True
                self._log.info(
                    "a worker does not prove to be running",
                    worker=tracked.worker.id,
                    error=repr(error),
                )
            if self._clock.monotonic() + ASK_AGAIN_SECONDS >= give_up_at:
                return kind is LossKind.TUNNELLED
            await self._clock.sleep(ASK_AGAIN_SECONDS)

    async def has_outlived(self, job: ForwardingJob, tracked: TrackedWorker) -> bool:
        """Whether a process goes on after its connection ended, as one that was killed does not.

        Asks until something certain is known, so callers set a timeout. The first question stays
        open, as a process that is silent for a while may answer it.
        """
        asked_at = self._clock.monotonic()
        first = asyncio.create_task(self._ask(job, tracked, asked_at, None))
        pending = {first}
        try:
            while True:
                done, pending = await asyncio.wait(
                    pending, timeout=ASK_AGAIN_SECONDS, return_when=asyncio.FIRST_COMPLETED
                )
                outcomes = {question.result() for question in done} - {None}
                if outcomes:
                    return False not in outcomes
                if done:
                    await self._clock.sleep(ASK_AGAIN_SECONDS)
                if not pending - {first}:
                    again = self._ask(job, tracked, asked_at, STATE_TIMEOUT_SECONDS)
                    pending.add(asyncio.create_task(again))
        finally:
            for question in pending:
                question.cancel()

    async def _ask(
        self, job: ForwardingJob, tracked: TrackedWorker, asked_at: float, timeout: float | None
    ) -> bool | None:
        """Ask once over a new connection; None if nothing certain is known after `timeout` seconds.

        A process that does not say when it started is the one that sent the response if it accepts
        a connection at once, as another one takes longer to start. `asked_at` is the time of the
        first question.
        """
        born: int | None = None
        try:
            connection = await self._workers.open_connection(tracked)
            is_prompt = self._clock.monotonic() - asked_at <= PROMPT_CONNECT_SECONDS
            try:
                born = await self._read_start_time(tracked, connection, timeout)
            finally:
                connection.close()
            goes_on = True if is_prompt else None
            if job.process_start and born is not None:
                goes_on = born == job.process_start
            reason = "answered"
        except ConnectError as error:
            goes_on = False if shows_end(error) else None
            reason = str(error)
        except (BrokenResponseError, TimeoutError) as error:
            goes_on = None
            reason = repr(error)
        self._log.info(
            "asked whether a worker goes on after an unframed response",
            request=job.request.id,
            worker=tracked.worker.id,
            goes_on=goes_on,
            expected=job.process_start,
            born=born,
            reason=reason,
        )
        return goes_on

    async def _read_start_time(
        self,
        tracked: TrackedWorker,
        connection: ClientConnection,
        timeout: float | None = STATE_TIMEOUT_SECONDS,
    ) -> int | None:
        """Return when a process started, None if it does not say; `timeout` in seconds.

        Raises TimeoutError, and BrokenResponseError also for an unusable or unframed report.
        """

        def handle_skipped(reply: WorkerReply) -> None:
            self._log.info(
                "skipped a response that is no report",
                worker=tracked.worker.id,
                belongs_to=reply.request_id,
            )

        connection.send(encode_state_request(tracked.worker))
        async with ReplyTimeout(timeout):
            head = await read_own_head(connection, "", MAX_STATE_BYTES, handle_skipped)
            body = await read_body(connection, MAX_STATE_BYTES)
        report = decode_process_report(head, body)
        if not report.is_usable or (report.born is None and connection.ended_unframed):
            raise BrokenResponseError("no usable report of its state", received=True)
        if report.born is not None:
            self._seen_starts[tracked.worker.id] = (report.born, self._clock.monotonic())
            if len(self._seen_starts) > MAX_SEEN_STARTS:
                del self._seen_starts[next(iter(self._seen_starts))]
        return report.born

"""Opens connections to workers, directly or by a tunnel through another entry."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from egretford.clock import Clock
from egretford.controllers.loops import TaskGroup
from egretford.entry.models import Worker
from egretford.entry.peers import EntryDirectory
from egretford.http.client import (
    ClientConnection,
    ConnectError,
    TargetRefusedError,
    TargetUnreachableError,
)
from egretford.metrics import Metrics

CONNECT_TIMEOUT_SECONDS = 0.5
# Seconds without a direct connection after which a tunnel is tried as well. Connections to another
# region take some tens of milliseconds.
TUNNEL_DELAY_SECONDS = 0.1
# Entries that are asked for one tunnel, one after the other.
MAX_PEERS_ASKED = 3
# Time for one of them to open the tunnel, in seconds.
TUNNEL_TIMEOUT_SECONDS = 0.25
# Interval, in seconds, at which a worker that cannot be reached directly is tried again; one worker
# at a time.
PROBE_SECONDS = 0.5


class WorkerDialer:
    """Opens connections to workers, and tracks which of them cannot be reached directly.

    A worker counts as blocked once a tunnel reached it and a direct connection did not, and until
    a direct one succeeds. `on_isolated` is called when the first worker is blocked.
    """

    def __init__(self, clock: Clock, metrics: Metrics, log: Any) -> None:
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._tasks = TaskGroup()
        self._directory: EntryDirectory | None = None
        self._blocked: dict[str, str] = {}
        self._probe_task: asyncio.Task[None] | None = None
        self.on_isolated: Callable[[], None] | None = None

    def attach_directory(self, directory: EntryDirectory) -> None:
        """Set where other entries are found; without it there are no tunnels."""
        self._directory = directory

    async def close(self) -> None:
        """Stop trying to reach workers that are blocked."""
        await self._tasks.close()

    @property
    def is_isolated(self) -> bool:
        """Whether some workers cannot be reached directly."""
        return bool(self._blocked)

    def is_blocked(self, address: str) -> bool:
        """Whether the worker at an address is known not to be reachable directly."""
        return address in self._blocked

    def forget(self, worker: Worker) -> None:
        """Drop what is known of a worker that was removed."""
        if self._blocked.pop(worker.address, None) is not None:
            self._log.info("forgot a worker that was blocked", worker=worker.id)

    async def open(self, worker: Worker) -> ClientConnection:
        """Return a connection to a worker; raises ConnectError."""
        if worker.address in self._blocked:
            return await self._open_tunnel(worker)
        attempts = [asyncio.ensure_future(self._open_direct(worker.address))]
        chosen = None
        try:
            await asyncio.wait(attempts, timeout=TUNNEL_DELAY_SECONDS)
            if self._directory is not None and not _has_succeeded(attempts[0]):
                attempts.append(asyncio.ensure_future(self._open_tunnel(worker)))
            chosen = await self._await_first(attempts)
            if chosen.tunnelled:
                self._block(worker, attempts[0])
            return chosen
        finally:
            for attempt in attempts:
                _discard(attempt, chosen)

    async def _await_first(
        self, attempts: list[asyncio.Future[ClientConnection]]
    ) -> ClientConnection:
        """Return the connection that opens first; raises the error of the first attempt."""
        pending = set(attempts)
        while pending:
            _, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for attempt in attempts:
                if _has_succeeded(attempt):
                    return attempt.result()
        return attempts[0].result()

    async def _open_direct(self, address: str) -> ClientConnection:
        return await ClientConnection.open(address, CONNECT_TIMEOUT_SECONDS)

    async def _open_tunnel(self, worker: Worker) -> ClientConnection:
        """Ask several entries for a tunnel, one after the other; raises ConnectError.

        Raises TargetUnreachableError once entries of two failure domains cannot reach the worker.
        """
        peers = await self._directory.list_peers() if self._directory is not None else []
        error: ConnectError = ConnectError("no other entry is known")
        failed_domains: set[str] = set()
        for peer in peers[:MAX_PEERS_ASKED]:
            try:
                connection = await ClientConnection.open_tunnel(
                    peer.address, worker.address, TUNNEL_TIMEOUT_SECONDS
                )
            except TargetUnreachableError as failure:
                self._directory.record_failure(peer)
                failed_domains.add(peer.failure_domain)
                if len(failed_domains) > 1:
                    raise
                error = failure
            except TargetRefusedError as failure:
                self._directory.record_failure(peer)
                self._metrics.count("tunnels.refused")
                error = failure
            except ConnectError as failure:
                self._log.info(
                    "got no tunnel", worker=worker.id, peer=peer.name, error=str(failure)
                )
                self._metrics.count("tunnels.refused")
                self._directory.avoid(peer)
                error = failure
            else:
                self._metrics.count("tunnels.opened")
                return connection
        raise error

    # Workers that are blocked

    def _block(self, worker: Worker, direct: asyncio.Future[ClientConnection]) -> None:
        was_isolated = self.is_isolated
        reason = "no connection yet" if not direct.done() else str(direct.exception())
        self._blocked[worker.address] = worker.id
        self._log.warning("cannot reach a worker directly", worker=worker.id, reason=reason)
        if not was_isolated:
            self._directory.announce_now()
            if self.on_isolated is not None:
                self.on_isolated()
        if self._probe_task is None:
            self._probe_task = self._tasks.spawn(self._probe_blocked())

    async def _probe_blocked(self) -> None:
        """Try one blocked worker after the other until all can be reached."""
        try:
            while self._blocked:
                await self._clock.sleep(PROBE_SECONDS)
                await self._probe_next()
        finally:
            self._probe_task = None
        self._directory.announce_now()

    async def _probe_next(self) -> None:
        """Try the worker that was tried longest ago, and all others if it can be reached."""
        for address, worker_id in list(self._blocked.items()):
            try:
                connection = await self._open_direct(address)
            except ConnectError:
                if self._blocked.pop(address, None) is not None:
                    self._blocked[address] = worker_id
                return
            connection.close()
            if self._blocked.pop(address, None) is not None:
                self._log.info("reaches a worker directly again", worker=worker_id)


def _has_succeeded(attempt: asyncio.Future[ClientConnection]) -> bool:
    return attempt.done() and not attempt.cancelled() and attempt.exception() is None


def _discard(attempt: asyncio.Future[ClientConnection], chosen: ClientConnection | None) -> None:
    """Cancel an attempt, and close its connection unless that is the chosen one."""

    def close(done: asyncio.Future[ClientConnection]) -> None:
        if _has_succeeded(done) and done.result() is not chosen:
            done.result().close()

    attempt.cancel()
    attempt.add_done_callback(close)

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
    ConnectionRefusedByPeerError,
    TargetUnreachableError,
    TunnelsExhaustedError,
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
# Time for tunnels to a worker that refused the connection, in seconds: mostly it has just ended,
# and another worker can take the request. One of the peers may be silent.
DETOUR_TIMEOUT_SECONDS = 0.4
# Interval, in seconds, at which blocked workers are tried directly, and how many at once.
PROBE_SECONDS = 0.5
MAX_PROBES = 4


class WorkerDialer:
    """Opens connections to workers, and tracks which of them cannot be reached directly.

    A worker counts as blocked once a tunnel reached it and a direct connection failed, and until a
    direct one succeeds. `on_blocked` is called with its address, and `is_listed` tells whether a
    worker has an address.
    """

    def __init__(self, clock: Clock, metrics: Metrics, log: Any) -> None:
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._tasks = TaskGroup()
        self._directory: EntryDirectory | None = None
        self._blocked: dict[str, str] = {}
        self._probe_task: asyncio.Task[None] | None = None
        self.on_blocked: Callable[[str], None] = lambda address: None
        self.is_listed: Callable[[str], bool] = lambda address: True

    def attach_directory(self, directory: EntryDirectory) -> None:
        """Set where other entries are found; without it there are no tunnels."""
        self._directory = directory

    async def close(self) -> None:
        """Stop trying to reach workers that are blocked."""
        await self._tasks.close()

    @property
    def blocked_count(self) -> int:
        """The number of workers that cannot be reached directly."""
        return len(self._blocked)

    @property
    def is_isolated(self) -> bool:
        """Whether some workers cannot be reached directly."""
        return bool(self._blocked)

    def is_blocked(self, address: str) -> bool:
        """Whether the worker at an address is known not to be reachable directly."""
        return address in self._blocked

    def forget(self, worker: Worker) -> None:
        """Drop what is known of a worker that was removed."""
        if self._blocked.get(worker.address) == worker.id:
            del self._blocked[worker.address]
            self._log.info("forgot a worker that was blocked", worker=worker.id)

    def record_broken_tunnel(self, server: str) -> None:
        """Prefer other entries for a while after a tunnel through `server` broke."""
        if self._directory is not None:
            self._directory.avoid(server)

    async def open(self, worker: Worker) -> ClientConnection:
        """Return a connection to a worker; raises ConnectError."""
        if worker.address in self._blocked:
            try:
                return await self._open_tunnel(worker)
            except ConnectError:
                connection = await self._open_direct(worker.address)
                self._unblock(worker.address)
                return connection
        direct = asyncio.ensure_future(self._open_direct(worker.address))
        tunnel: asyncio.Future[ClientConnection] | None = None
        chosen = None
        try:
            await asyncio.wait([direct], timeout=TUNNEL_DELAY_SECONDS)
            if self._directory is None or _has_succeeded(direct):
                chosen = await direct
                return chosen
            tunnel = asyncio.ensure_future(self._open_detour(worker, direct))
            chosen = await self._await_first([direct, tunnel])
            if chosen.tunnelled and direct.done():
                self._handle_outcome(worker, direct)
            elif chosen.tunnelled:
                # Its outcome tells a connection that is slow from one that is not possible.
                direct.add_done_callback(lambda done: self._handle_outcome(worker, done))
            return chosen
        finally:
            is_awaited = chosen is not None and chosen.tunnelled
            _discard(direct, chosen, cancel=not is_awaited)
            if tunnel is not None:
                _discard(tunnel, chosen, cancel=True)

    async def _await_first(
        self, attempts: list[asyncio.Future[ClientConnection]]
    ) -> ClientConnection:
        """Return the connection that opens first.

        Raises the error of the first attempt, or that of another one which shows that entries of
        two failure domains cannot reach the worker either.
        """
        pending = set(attempts)
        while pending:
            _, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for attempt in attempts:
                if _has_succeeded(attempt):
                    return attempt.result()
        errors = [attempt.exception() for attempt in attempts]
        certain = [error for error in errors if shows_end(error)]
        raise certain[0] if certain else errors[0]

    async def _open_direct(self, address: str) -> ClientConnection:
        return await ClientConnection.open(address, CONNECT_TIMEOUT_SECONDS)

    async def _open_detour(
        self, worker: Worker, direct: asyncio.Future[ClientConnection]
    ) -> ClientConnection:
        """Open a tunnel; while no worker is blocked, one that refused gets little time."""
        if self._blocked or not direct.done():
            return await self._open_tunnel(worker)
        try:
            async with asyncio.timeout(DETOUR_TIMEOUT_SECONDS):
                return await self._open_tunnel(worker)
        except TimeoutError as error:
            raise ConnectError(f"{worker.address}: no tunnel in time") from error

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
                self._directory.avoid(peer.address)
                failed_domains.add(peer.failure_domain)
                if len(failed_domains) > 1:
                    raise
                error = ConnectError(str(failure))
            except TunnelsExhaustedError as failure:
                self._metrics.count("tunnels.refused")
                error = failure
            except ConnectError as failure:
                self._log.info(
                    "got no tunnel", worker=worker.id, peer=peer.name, error=str(failure)
                )
                self._metrics.count("tunnels.refused")
                self._directory.avoid(peer.address)
                error = failure
            else:
                self._metrics.count("tunnels.opened")
                return connection
        raise error

    # Workers that are blocked

    def _handle_outcome(self, worker: Worker, direct: asyncio.Future[ClientConnection]) -> None:
        """Block a worker that a tunnel reached, if the direct attempt failed in the end."""
        if direct.cancelled() or direct.exception() is None or not self.is_listed(worker.address):
            return
        self._log.warning(
            "cannot reach a worker directly", worker=worker.id, reason=str(direct.exception())
        )
        was_isolated = self.is_isolated
        self._blocked[worker.address] = worker.id
        if not was_isolated:
            self._directory.announce_now()
        self.on_blocked(worker.address)
        if self._probe_task is None:
            self._probe_task = self._tasks.spawn(self._probe_blocked())

    def _unblock(self, address: str) -> None:
        worker_id = self._blocked.pop(address, None)
        if worker_id is not None:
            self._log.info("reaches a worker directly again", worker=worker_id)

    async def _probe_blocked(self) -> None:
        """Try blocked workers in turn until all can be reached; without a pause once one can."""
        try:
            while self._blocked:
                await self._clock.sleep(PROBE_SECONDS)
                while await self._probe_some():
                    pass
        finally:
            self._probe_task = None
        self._directory.announce_now()

    async def _probe_some(self) -> bool:
        """Try the workers that were tried longest ago; returns whether one was reached."""
        for address in [address for address in self._blocked if not self.is_listed(address)]:
            del self._blocked[address]
        batch = list(self._blocked)[:MAX_PROBES]
        reached = await asyncio.gather(*(self._probe(address) for address in batch))
        return any(reached)

    async def _probe(self, address: str) -> bool:
        try:
            connection = await self._open_direct(address)
        except ConnectError:
            if (worker_id := self._blocked.pop(address, None)) is not None:
                self._blocked[address] = worker_id
            return False
        connection.close()
        self._unblock(address)
        return True


def shows_end(error: ConnectError) -> bool:
    """Whether a failed connection shows that the worker has ended or is cut off for all."""
    return isinstance(error, ConnectionRefusedByPeerError | TargetUnreachableError)


def _has_succeeded(attempt: asyncio.Future[ClientConnection]) -> bool:
    return attempt.done() and not attempt.cancelled() and attempt.exception() is None


def _discard(
    attempt: asyncio.Future[ClientConnection], chosen: ClientConnection | None, *, cancel: bool
) -> None:
    """Close the connection of an attempt, now or once it opens, unless it is the chosen one."""

    def close(done: asyncio.Future[ClientConnection]) -> None:
        if _has_succeeded(done) and done.result() is not chosen:
            done.result().close()

    if cancel:
        attempt.cancel()
    attempt.add_done_callback(close)

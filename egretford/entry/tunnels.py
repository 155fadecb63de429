"""Serves tunnels to workers for entries that cannot reach these themselves."""

from __future__ import annotations

from typing import Any

from egretford.entry.dialing import WorkerDialer
from egretford.entry.peers import EntryDirectory
from egretford.entry.workers import WorkerTable
from egretford.http.client import TUNNELS_EXHAUSTED_STATUS
from egretford.http.tunnel import TunnelRefusedError, TunnelServer

# Tunnels that one entry carries at once; each is one request of another entry's callers.
MAX_TUNNELS = 128
# Time for a connection to a worker, in seconds. Less than entries wait for a tunnel, so that they
# learn that it is the worker that cannot be reached.
TARGET_TIMEOUT_SECONDS = 0.15


class WorkerTunnels:
    """Opens tunnels for other entries of the deployment, to workers that this entry reaches.

    A tunnel is never passed on to a third entry. While `draining` is set, new ones are refused.
    """

    def __init__(
        self,
        workers: WorkerTable,
        dialer: WorkerDialer,
        directory: EntryDirectory,
        log: Any,
    ) -> None:
        self._workers = workers
        self._dialer = dialer
        self._directory = directory
        self._server = TunnelServer(self._admit, TARGET_TIMEOUT_SECONDS, log)
        self.draining = False

    async def start(self, address: str) -> None:
        """Listen on `address` (IP:PORT)."""
        await self._server.start(address)

    async def close(self) -> None:
        """Stop listening, and reset the tunnels that are left."""
        await self._server.close()

    @property
    def active(self) -> int:
        """The number of admitted tunnels."""
        return len(self._server.tunnels)

    async def _admit(self, ip: str, target: str) -> None:
        if self.draining:
            raise TunnelRefusedError(503, "this entry stops")
        if self.active >= MAX_TUNNELS:
            raise TunnelRefusedError(TUNNELS_EXHAUSTED_STATUS, f"{MAX_TUNNELS} tunnels are open")
        if not self._workers.has_usable_address(target):
            raise TunnelRefusedError(403, "no worker that may be used has this address")
        if self._dialer.is_blocked(target):
            raise TunnelRefusedError(503, "this entry does not reach the worker either")
        if not await self._directory.knows(ip):
            raise TunnelRefusedError(403, "no entry of the deployment has this IP address")

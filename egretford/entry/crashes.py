"""Shares records of worker crashes among entries through the keepers; nothing is persisted."""

from __future__ import annotations

import asyncio
from typing import Any

from egretford.clock import Clock
from egretford.controllers.loops import TaskGroup, run_every
from egretford.entry.keepers import KeeperClient
from egretford.errors import EgretfordError
from egretford.keeper.messages import CrashList, ShareCrashes
from egretford.policy.crashes import Crash, CrashTable

# Interval of the exchange with the keepers, in seconds.
SHARE_INTERVAL_SECONDS = 1.0


class SharedCrashes:
    """This entry's crash table, merged with those of other entries about once a second."""

    def __init__(self, keepers: KeeperClient, clock: Clock, log: Any) -> None:
        self._keepers = keepers
        self._clock = clock
        self._log = log
        self._table = CrashTable()
        self._unsent: list[Crash] = []
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Start to exchange crashes in the background."""
        self._tasks.spawn(run_every(self._clock, SHARE_INTERVAL_SECONDS, self._share, self._log))

    async def close(self) -> None:
        """Stop the exchange; crashes that were not sent yet are lost to other entries."""
        await self._tasks.close()

    def add(self, crash: Crash) -> None:
        """Record a crash that this entry observed; it is sent at the next exchange if new."""
        if self._table.add(crash, self._clock.monotonic()):
            self._unsent.append(crash)

    def record_success(self, fingerprint: str) -> None:
        """Clear the crashes of a fingerprint after a worker completed such a request."""
        self._table.record_success(fingerprint)

    def blocks(self, fingerprint: str) -> bool:
        """Whether requests with this fingerprint are quarantined."""
        return self._table.blocks(fingerprint, self._clock.monotonic())

    async def _share(self) -> None:
        """Send new crashes to all keepers, or only fetch others' crashes from the nearest.

        Crashes that no keeper received are sent again the next time.
        """
        new_crashes, self._unsent = tuple(self._unsent), []
        targets = self._keepers.list_available() if new_crashes else self._keepers.list_probed()
        message = ShareCrashes(new_crashes)
        requests = [self._keepers.send_request(member, message) for member in targets]
        outcomes = await asyncio.gather(*requests, return_exceptions=True)
        lists = [reply for reply in outcomes if isinstance(reply, CrashList)]
        if not lists:
            self._unsent = [*new_crashes, *self._unsent]
        for reply in lists:
            self._table.merge(reply.crashes, self._clock.monotonic())
        for error in outcomes:
            # The keeper client logs the errors of requests.
            if isinstance(error, Exception) and not isinstance(error, EgretfordError):
                raise error

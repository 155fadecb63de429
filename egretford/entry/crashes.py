"""Shares crashes with other entries by way of the keepers; soft state only."""

from __future__ import annotations

from typing import Any

from egretford.clock import Clock
from egretford.controllers.loops import TaskGroup, run_every
from egretford.entry.keepers import KeeperGroup
from egretford.errors import EgretfordError
from egretford.keeper.messages import CrashList, ShareCrashes
from egretford.policy.crashes import Crash, CrashTable

SHARE_SECONDS = 1.0


class SharedCrashes:
    """This entry's crash table, joined with that of the others about once a second."""

    def __init__(self, keepers: KeeperGroup, clock: Clock, log: Any) -> None:
        self._keepers = keepers
        self._clock = clock
        self._log = log
        self._table = CrashTable()
        self._unshared: list[Crash] = []
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Share in the background."""
        self._tasks.spawn(run_every(self._clock, SHARE_SECONDS, self._share, self._log))

    async def close(self) -> None:
        """Stop sharing."""
        await self._tasks.close()

    def note(self, crash: Crash) -> None:
        """Take a crash that this entry saw."""
        if self._table.note(crash, self._clock.monotonic()):
            self._unshared.append(crash)

    def note_success(self, fingerprint: str) -> None:
        """Forget a fingerprint that a worker survived."""
        self._table.note_success(fingerprint)

    def blocks(self, fingerprint: str) -> bool:
        """Whether no worker should get such a request any more."""
        return self._table.blocks(fingerprint, self._clock.monotonic())

    async def _share(self) -> None:
        """Tell all keepers what is new, or ask the nearest what others saw."""
        members = self._keepers.rank_by_distance(self._keepers.list_answering())
        told, self._unshared = tuple(self._unshared), []
        for member in members if told else members[:1]:
            try:
                reply = await self._keepers.ask_one(member, ShareCrashes(told))
            except EgretfordError:
                # Logged where it was asked; the other keepers were told as well.
                continue
            if isinstance(reply, CrashList):
                self._table.learn(reply.crashes, self._clock.monotonic())

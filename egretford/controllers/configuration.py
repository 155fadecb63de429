"""Follows the tables in the store by watch, slow poll and relay between entries."""

from __future__ import annotations

import contextlib
from typing import Any

import orjson

from egretford.context import Context
from egretford.controllers.loops import TaskGroup, run_every
from egretford.errors import ObjectMissingError, StoreUnavailableError
from egretford.models import TablesMessage
from egretford.platform.objects import Platform, StoredObject
from egretford.policy.configuration import Configuration
from egretford.tables import TABLES_KEY

CONFIG_PREFIX = "config/"
WATCH_PAUSE_SECONDS = 0.05


class ConfigurationController:
    """Keeps the highest revision that the store or any peer has shown."""

    def __init__(self, context: Context, platform: Platform) -> None:
        self.current = Configuration()
        self.store_seen = False
        self._context = context
        self._platform = platform
        self._log = context.make_logger("configuration")
        self._raw_text = "{}"
        self._watch_revision = 0
        self._tasks = TaskGroup()
        self._listeners: list[Any] = []

    def add_listener(self, listener: Any) -> None:
        """Call `listener()` after each change."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Read the tables once, then follow them."""
        try:
            await self.read_store()
        except StoreUnavailableError as error:
            self._log.warning("the store is out; asking peers for tables", error=str(error))
        self._tasks.spawn(
            run_every(self._context.clock, WATCH_PAUSE_SECONDS, self._watch, self._log)
        )

    async def close(self) -> None:
        """Stop following."""
        await self._tasks.close()

    @property
    def is_known(self) -> bool:
        """Whether the store or a peer has said what is in force, if only that nothing is."""
        return self.store_seen or self.current.revision > 0

    async def read_store(self) -> None:
        """Read the tables; raises StoreUnavailableError."""
        with contextlib.suppress(ObjectMissingError):
            self._take(await self._platform.get(TABLES_KEY))
        self.store_seen = True

    async def _watch(self) -> None:
        seconds = self._context.settings.platform.watch
        changes = await self._platform.watch(CONFIG_PREFIX, self._watch_revision, seconds)
        self._watch_revision = changes.revision
        self.store_seen = True
        for item in changes.changed:
            if item.key == TABLES_KEY:
                self._take(item)

    def _take(self, item: StoredObject) -> None:
        self.offer(TablesMessage(item.version, item.value.decode()))

    def offer(self, message: TablesMessage) -> None:
        """Apply tables from the store or a peer, if their revision is higher."""
        if message.revision <= self.current.revision:
            return
        try:
            raw = orjson.loads(message.raw)
        except orjson.JSONDecodeError as error:
            self._log.error("stored tables are not JSON; keeping the last", error=str(error))
            return
        self.current.offer(message.revision, raw)
        self._raw_text = message.raw
        self._log.info("tables in force", revision=message.revision)
        for problem in self.current.problems:
            self._log.error("a row was not taken", problem=str(problem))
        for listener in self._listeners:
            listener()

    def export(self) -> TablesMessage:
        """Return the tables in force for a peer."""
        return TablesMessage(self.current.revision, self._raw_text)

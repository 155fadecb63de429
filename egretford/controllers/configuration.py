"""Keeps the tables current, by watching the store and by exchange between entries."""

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
    """Holds the tables of the highest revision received from the store or a peer."""

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
        """Call `listener()` after each applied revision."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Read the tables once, then watch for changes; an unavailable store is logged."""
        try:
            await self.read_store()
        except StoreUnavailableError as error:
            self._log.warning("store unavailable; tables will come from peers", error=str(error))
        self._tasks.spawn(
            run_every(self._context.clock, WATCH_PAUSE_SECONDS, self._watch, self._log)
        )

    async def close(self) -> None:
        """Stop watching the store."""
        await self._tasks.close()

    @property
    def is_known(self) -> bool:
        """Whether the store has been read, even if it has no tables, or a peer has sent some."""
        return self.store_seen or self.current.revision > 0

    async def read_store(self) -> None:
        """Read the tables from the store; raises StoreUnavailableError."""
        with contextlib.suppress(ObjectMissingError):
            self._apply_object(await self._platform.get(TABLES_KEY))
        self.store_seen = True

    async def _watch(self) -> None:
        seconds = self._context.settings.platform.watch
        changes = await self._platform.watch(CONFIG_PREFIX, self._watch_revision, seconds)
        self._watch_revision = changes.revision
        self.store_seen = True
        for item in changes.changed:
            if item.key == TABLES_KEY:
                self._apply_object(item)

    def _apply_object(self, item: StoredObject) -> None:
        self.offer(TablesMessage(item.version, item.value.decode()))

    def offer(self, message: TablesMessage) -> None:
        """Apply tables from the store or a peer, if their revision is higher than the current."""
        if message.revision <= self.current.revision:
            return
        try:
            raw = orjson.loads(message.raw)
        except orjson.JSONDecodeError as error:
            self._log.error(
                "stored tables are not JSON; keeping the current ones", error=str(error)
            )
            return
        self.current.apply_if_newer(message.revision, raw)
        self._raw_text = message.raw
        self._log.info("tables applied", revision=message.revision)
        for problem in self.current.problems:
            self._log.error("invalid row in the tables skipped", problem=str(problem))
        for listener in self._listeners:
            listener()

    def export(self) -> TablesMessage:
        """Return the current tables as a message to a peer."""
        return TablesMessage(self.current.revision, self._raw_text)

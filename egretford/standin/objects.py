"""The stand-in platform's store, in memory: versions, conditional writes, watches."""

from __future__ import annotations

import asyncio
from collections import deque

from attrs import Factory, define
from sortedcontainers import SortedDict

from egretford.errors import ObjectMissingError, VersionConflictError
from egretford.platform.objects import Changes, StoredObject

MAX_VALUE_BYTES = 1_000_000
PAGE_BYTES = 4_000_000
CHANGE_LOG_LENGTH = 20_000


@define
class ObjectStore:
    """Objects by key; each write gets the next revision as its version."""

    objects: SortedDict = Factory(SortedDict)
    revision: int = 0
    log: deque[tuple[int, str]] = Factory(lambda: deque(maxlen=CHANGE_LOG_LENGTH))
    changed: asyncio.Condition = Factory(asyncio.Condition)

    def get(self, key: str) -> StoredObject:
        """Read one object."""
        found = self.objects.get(key)
        if found is None:
            raise ObjectMissingError(key)
        return found

    def list_page(self, prefix: str, after: str) -> tuple[list[StoredObject], bool]:
        """Read a page of objects, and whether more follow."""
        page: list[StoredObject] = []
        size = 0
        for key in self.objects.irange(minimum=max(prefix, after)):
            if not key.startswith(prefix):
                break
            if key <= after:
                continue
            if size > PAGE_BYTES:
                return page, True
            page.append(self.objects[key])
            size += len(page[-1].value)
        return page, False

    def create(self, key: str, value: bytes) -> int:
        """Create an object that does not exist."""
        if key in self.objects:
            raise VersionConflictError(key)
        return self._write(key, value)

    def update(self, key: str, value: bytes, version: int) -> int:
        """Replace an object that has `version`."""
        if self.get(key).version != version:
            raise VersionConflictError(key)
        return self._write(key, value)

    def delete(self, key: str, version: int | None) -> None:
        """Delete an object, if it has `version`."""
        if version is not None and self.get(key).version != version:
            raise VersionConflictError(key)
        self.get(key)
        del self.objects[key]
        self._note(key)

    def _write(self, key: str, value: bytes) -> int:
        self._note(key)
        self.objects[key] = StoredObject(key, value, self.revision)
        return self.revision

    def _note(self, key: str) -> None:
        self.revision += 1
        self.log.append((self.revision, key))

    async def notify(self) -> None:
        """Wake the watches after a write."""
        async with self.changed:
            self.changed.notify_all()

    async def watch(self, prefix: str, revision: int, seconds: float) -> Changes:
        """Wait for changes under a prefix after `revision`."""
        try:
            async with asyncio.timeout(seconds), self.changed:
                await self.changed.wait_for(lambda: self._find_changed(prefix, revision))
        except TimeoutError:
            pass
        keys = self._find_changed(prefix, revision)
        changed = [self.objects[key] for key in keys if key in self.objects]
        deleted = [key for key in keys if key not in self.objects]
        return Changes(self.revision, changed, deleted)

    def _find_changed(self, prefix: str, revision: int) -> list[str]:
        if self.log and revision < self.log[0][0] - 1:
            return [key for key in self.objects.irange(minimum=prefix) if key.startswith(prefix)]
        recent: dict[str, None] = {}
        for number, key in reversed(self.log):
            if number <= revision:
                break
            if key.startswith(prefix):
                recent[key] = None
        return list(recent)

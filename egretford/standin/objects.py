"""In-memory object store of the stand-in platform: versions, conditional writes, watches."""

from __future__ import annotations

import asyncio
from collections import deque

from attrs import Factory, define
from sortedcontainers import SortedDict

from egretford.errors import ObjectMissingError, VersionConflictError
from egretford.platform.objects import Changes, StoredObject

MAX_VALUE_BYTES = 1_000_000
# A page ends after the object that takes it past this size.
PAGE_BYTES = 4_000_000
# Changes kept for watches; a watch from an older revision gets all objects of its prefix.
CHANGE_LOG_LENGTH = 20_000


@define
class ObjectStore:
    """Objects by key; each write increments `revision`, which becomes the object's version."""

    objects: SortedDict = Factory(SortedDict)
    revision: int = 0
    change_log: deque[tuple[int, str]] = Factory(lambda: deque(maxlen=CHANGE_LOG_LENGTH))
    changed: asyncio.Condition = Factory(asyncio.Condition)

    def get(self, key: str) -> StoredObject:
        """Return one object; raises ObjectMissingError if there is none."""
        found = self.objects.get(key)
        if found is None:
            raise ObjectMissingError(key)
        return found

    def list_page(self, prefix: str, after: str) -> tuple[list[StoredObject], bool]:
        """Return a page of objects with keys greater than `after`, and whether more follow."""
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
        """Create an object and return its version; raises VersionConflictError if it exists."""
        if key in self.objects:
            raise VersionConflictError(key)
        return self._write(key, value)

    def update(self, key: str, value: bytes, version: int) -> int:
        """Replace an object and return its new version.

        Raises ObjectMissingError, or VersionConflictError if the current version differs.
        """
        if self.get(key).version != version:
            raise VersionConflictError(key)
        return self._write(key, value)

    def delete(self, key: str, version: int | None) -> None:
        """Delete an object; `version=None` deletes any version.

        Raises ObjectMissingError, or VersionConflictError if the current version differs.
        """
        if version is not None and self.get(key).version != version:
            raise VersionConflictError(key)
        self.get(key)
        del self.objects[key]
        self._record_change(key)

    def _write(self, key: str, value: bytes) -> int:
        self._record_change(key)
        self.objects[key] = StoredObject(key, value, self.revision)
        return self.revision

    def _record_change(self, key: str) -> None:
        self.revision += 1
        self.change_log.append((self.revision, key))

    async def notify(self) -> None:
        """Wake pending watches; callers await this after each write."""
        async with self.changed:
            self.changed.notify_all()

    async def watch(self, prefix: str, revision: int, seconds: float) -> Changes:
        """Wait up to `seconds` for changes under a prefix after `revision`.

        Returns no changes on timeout.
        """
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
        if self.change_log and revision < self.change_log[0][0] - 1:
            return [key for key in self.objects.irange(minimum=prefix) if key.startswith(prefix)]
        recent: dict[str, None] = {}
        for number, key in reversed(self.change_log):
            if number <= revision:
                break
            if key.startswith(prefix):
                recent[key] = None
        return list(recent)

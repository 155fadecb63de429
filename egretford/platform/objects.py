"""The interface to the platform's object API and instance list."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen


@frozen
class StoredObject:
    """A value with the version that the store assigned; each write gets a higher version."""

    key: str
    value: bytes
    version: int


@frozen
class Changes:
    """Result of a watch: changed objects, deleted keys, and the revision for the next watch."""

    revision: int
    changed: list[StoredObject]
    deleted: list[str]


class Platform(Protocol):
    """Object API with versions, conditional writes and watches.

    Every method raises StoreUnavailableError if there is no response or it reports a server
    error; a write may have taken effect nevertheless.
    """

    async def get(self, key: str) -> StoredObject:
        """Return one object; raises ObjectMissingError."""

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return all objects under a prefix, sorted by key."""

    async def create(self, key: str, value: bytes) -> int:
        """Create an object and return its version; raises VersionConflictError if it exists."""

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replace an object that has `version`; returns the new version.

        Raises VersionConflictError or ObjectMissingError.
        """

    async def delete(self, key: str, version: int | None = None) -> None:
        """Delete an object; with `version`, only if it still has that one.

        Raises VersionConflictError or ObjectMissingError.
        """

    async def watch(self, prefix: str, revision: int, seconds: float) -> Changes:
        """Wait up to `seconds` for changes under a prefix after `revision` (long polling)."""

    async def list_leaving(self) -> set[str]:
        """Return the addresses of leaving instances; the platform's list may be out of date."""

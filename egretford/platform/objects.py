"""The interface to the platform's object API and instance list."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen


@frozen
class StoredObject:
    """A value with the version that the store gave it; versions only grow."""

    key: str
    value: bytes
    version: int


@frozen
class Changes:
    """What a watch saw: changed objects, deleted keys, and the revision to go on from."""

    revision: int
    changed: list[StoredObject]
    deleted: list[str]


class Platform(Protocol):
    """Object API with versions, conditional writes and watches.

    Every method raises StoreUnavailableError when no answer came; a write may then have taken
    effect all the same.
    """

    async def get(self, key: str) -> StoredObject:
        """Read one object; raises ObjectMissingError."""

    async def list(self, prefix: str) -> list[StoredObject]:
        """Read all objects under a prefix, sorted by key."""

    async def create(self, key: str, value: bytes) -> int:
        """Create an object; returns its version, raises VersionConflictError if it exists."""

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replace an object that has `version`.

        Raises VersionConflictError or ObjectMissingError.
        """

    async def delete(self, key: str, version: int | None = None) -> None:
        """Delete an object, if it has `version`.

        Raises VersionConflictError or ObjectMissingError.
        """

    async def watch(self, prefix: str, revision: int, seconds: float) -> Changes:
        """Wait up to `seconds` for changes under a prefix after `revision`."""

    async def list_leaving(self) -> set[str]:
        """Return addresses that the lagging instance list shows as leaving."""

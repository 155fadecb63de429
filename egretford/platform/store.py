"""HTTP client for the platform's metadata store."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from urllib.parse import quote

import orjson
from attrs import frozen

from egretford.clock import Clock
from egretford.errors import (
    ObjectMissingError,
    PlatformError,
    StoreUnavailableError,
    VersionConflictError,
)
from egretford.http.bodies import read_body
from egretford.http.client import BrokenResponseError, ClientConnection, ConnectError
from egretford.http.messages import encode_head
from egretford.platform.json import decode_json
from egretford.timeouts import ReplyTimeout

# A response begins after a few milliseconds, and some hundred while the store is disrupted.
CALL_TIMEOUT_SECONDS = 1.5
CONNECT_TIMEOUT_SECONDS = 0.5
# Longest pause between two parts of a response, and longest time for all of it. A listing takes
# seconds if many instances read it over one link; giving up would only begin it from the start.
MAX_STALL_SECONDS = 1.5
MAX_TRANSFER_SECONDS = 10.0
# How much later than its wait a watch may respond before its connection is closed as silent.
WATCH_GRACE_SECONDS = 0.7
MAX_IDLE_CONNECTIONS = 4
# Connections that were idle for longer are closed rather than reused.
MAX_IDLE_SECONDS = 10.0
# The store sends pages of about 1 MB plus a small envelope.
MAX_RESPONSE_BYTES = 4_000_000
# Limit on all pages of a listing, and approximate memory of an object besides its size on a page,
# in bytes.
MAX_LISTING_BYTES = 32_000_000
OBJECT_BYTES = 1_000


class HistoryGoneError(PlatformError):
    """The store no longer has the changes after the watched revision; list all objects again."""


@frozen
class StoreObject:
    """A stored object; `revision` is the store's revision at its last change."""

    name: str
    revision: int
    content: Any
    status: Any


@frozen
class Listing:
    """All objects of a kind by name; `revision` is where a watch has to start."""

    objects: dict[str, StoreObject]
    revision: int


@frozen
class ObjectChange:
    """One event of a watch; if `removed`, `object` is the deleted object."""

    object: StoreObject
    removed: bool


@frozen
class WatchAnswer:
    """Result of a watch; `revision` is where the next watch has to start."""

    changes: list[ObjectChange]
    revision: int


class MetadataStore:
    """Client for objects by kind and name, with conditional updates and watches.

    Every method raises StoreUnavailableError if there is no usable response. A write may then
    have taken effect, or may still take effect later while its condition holds. The content of an
    object that cannot be decoded is None.
    """

    def __init__(self, address: str, clock: Clock, log: Any) -> None:
        self._address = address
        self._clock = clock
        self._log = log
        self._idle_connections: list[ClientConnection] = []

    async def close(self) -> None:
        """Close all idle connections."""
        for connection in self._idle_connections:
            connection.close()
        self._idle_connections.clear()

    async def list_all(self, kind: str) -> Listing:
        """Return all objects of a kind; reads page by page and skips malformed objects.

        A listing over MAX_LISTING_BYTES counts as no usable response.
        """
        objects: dict[str, StoreObject] = {}
        size = 0
        revision: int | None = None
        after = ""
        while True:
            query = f"?after={quote(after, safe='')}" if after else ""
            page, page_size = await self._call_sized("GET", _kind_path(kind) + query)
            items = _read_list(page, "items")
            # Watching from the first page's revision also reports changes made while paging.
            revision = _read_revision(page) if revision is None else revision
            found = [item for item in map(_decode_object, items) if item is not None]
            objects.update((item.name, item) for item in found)
            size += page_size + OBJECT_BYTES * len(items)
            if size > MAX_LISTING_BYTES:
                raise StoreUnavailableError(f"the {kind} take over {MAX_LISTING_BYTES} bytes")
            if not page.get("more_pages") or not items:
                return Listing(objects, revision)
            if not found or found[-1].name <= after:
                raise StoreUnavailableError(f"no object after {after!r} of {kind} can be read")
            after = found[-1].name

    async def get(self, kind: str, name: str) -> StoreObject:
        """Return one object; raises ObjectMissingError."""
        return _require_object(await self._call("GET", _object_path(kind, name)))

    async def create(self, kind: str, name: str, content: Any) -> StoreObject:
        """Create an object and return it; raises VersionConflictError if it exists."""
        body = {"metadata": {"name": name}, "spec": content}
        return _require_object(await self._call("POST", _kind_path(kind), body))

    async def replace(self, kind: str, name: str, content: Any, revision: int) -> StoreObject:
        """Replace the content of an object that has `revision`.

        Raises VersionConflictError or ObjectMissingError.
        """
        body = {"metadata": {"name": name, "revision": revision}, "spec": content}
        return _require_object(await self._call("PUT", _object_path(kind, name), body))

    async def replace_status(self, kind: str, name: str, status: Any, revision: int) -> StoreObject:
        """Replace the status of an object that has `revision`; its content stays.

        Raises VersionConflictError or ObjectMissingError.
        """
        body = {"metadata": {"name": name, "revision": revision}, "status": status}
        path = _object_path(kind, name) + "/status"
        return _require_object(await self._call("PUT", path, body))

    async def watch(self, kind: str, revision: int, seconds: float) -> WatchAnswer:
        """Wait up to `seconds` for changes after `revision` (long polling).

        Raises HistoryGoneError if the store no longer has these changes.
        """
        path = f"{_kind_path(kind)}?watch={revision}&wait_ms={int(seconds * 1_000)}"
        response = await self._call("GET", path, timeout_seconds=seconds + WATCH_GRACE_SECONDS)
        changes = []
        for event in _read_list(response, "events"):
            found = _decode_object(event.get("object")) if isinstance(event, dict) else None
            if found is not None:
                changes.append(ObjectChange(found, event.get("removed") is True))
        return WatchAnswer(changes, _read_revision(response))

    async def _call(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Any:
        value, _ = await self._call_sized(method, path, body, timeout_seconds)
        return value

    async def _call_sized(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> tuple[Any, int]:
        """Return the decoded response and the size of its body in bytes."""
        data = b"" if body is None else orjson.dumps(body)
        fields = [(b"Host", self._address.encode())]
        if data:
            fields.append((b"Content-Type", b"application/json"))
        if data or method != "GET":
            fields.append((b"Content-Length", b"%d" % len(data)))
        head = encode_head(f"{method} {path} HTTP/1.1".encode(), fields)
        try:
            async with self._acquire_connection() as connection:
                connection.send(head + data)
                async with ReplyTimeout(timeout_seconds):
                    response_head = await connection.read()
                async with ReplyTimeout(MAX_TRANSFER_SECONDS):
                    content = await read_body(
                        connection, MAX_RESPONSE_BYTES, idle_seconds=MAX_STALL_SECONDS
                    )
        except (TimeoutError, ConnectError, BrokenResponseError) as error:
            raise StoreUnavailableError(f"{method} {path}: {error!r}") from error
        call = f"{method} {path}"
        value, undecodable = _decode_response(response_head.status, call, content)
        if undecodable:
            self._log.warning("the store has undecodable objects", call=call, count=undecodable)
        return value, len(content)

    @asynccontextmanager
    async def _acquire_connection(self) -> AsyncIterator[ClientConnection]:
        connection = self._pop_idle_connection()
        if connection is None:
            connection = await ClientConnection.open(self._address, CONNECT_TIMEOUT_SECONDS)
        try:
            yield connection
        except BaseException:
            connection.close()
            raise
        connection.finish(self._clock.monotonic())
        if connection.reusable and len(self._idle_connections) < MAX_IDLE_CONNECTIONS:
            self._idle_connections.append(connection)
        else:
            connection.close()

    def _pop_idle_connection(self) -> ClientConnection | None:
        now = self._clock.monotonic()
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_usable(now) and now - connection.idle_since < MAX_IDLE_SECONDS:
                return connection
            connection.close()
        return None


def _kind_path(kind: str) -> str:
    return "/v1/objects/" + quote(kind, safe="")


def _object_path(kind: str, name: str) -> str:
    return f"{_kind_path(kind)}/{quote(name, safe='')}"


def _decode_object(item: Any) -> StoreObject | None:
    """Decode an object; returns None if it is malformed, since other writers may store anything."""
    if not isinstance(item, dict) or not isinstance(item.get("metadata"), dict):
        return None
    metadata = item["metadata"]
    name, revision = metadata.get("name"), metadata.get("revision")
    if not isinstance(name, str) or type(revision) is not int:
        return None
    return StoreObject(name, revision, item.get("spec"), item.get("status"))


def _require_object(item: Any) -> StoreObject:
    found = _decode_object(item)
    if found is None:
        raise StoreUnavailableError(f"the store returned a malformed object: {item!r:.200}")
    return found


def _read_list(response: Any, name: str) -> list[Any]:
    found = response.get(name) if isinstance(response, dict) else None
    if not isinstance(found, list):
        raise StoreUnavailableError(f"the store returned no {name}: {response!r:.200}")
    return found


def _read_revision(response: dict[str, Any]) -> int:
    revision = response.get("store_revision")
    if type(revision) is not int:
        raise StoreUnavailableError(f"the store returned revision {revision!r:.50}")
    return revision


def _decode_response(status: int, call: str, content: bytes) -> tuple[Any, int]:
    """Return the decoded response, and how many of its parts could not be decoded."""
    match status:
        case 200 | 201:
            try:
                return decode_json(content)
            except ValueError as error:
                raise StoreUnavailableError(f"{call}: the response is not JSON") from error
        case 404:
            raise ObjectMissingError(call)
        case 409:
            raise VersionConflictError(call)
        case 410:
            raise HistoryGoneError(call)
        case _:
            raise StoreUnavailableError(f"{call}: status {status}: {content[:200]!r}")

"""HTTP client for the platform's object API and instance list."""

from __future__ import annotations

import base64
from typing import Any
from urllib.parse import quote

import aiohttp
import orjson

from egretford.errors import ObjectMissingError, StoreUnavailableError, VersionConflictError
from egretford.platform.objects import Changes, StoredObject

# Added to the wait of a watch before the call times out.
WATCH_GRACE_SECONDS = 2.0
# Limit on one response, in bytes. A page has up to 4 MB of values and one more object, in Base64.
MAX_RESPONSE_BYTES = 16_000_000


class HttpPlatform:
    """Client for the object API, with one connection pool.

    `timeout` is in seconds and applies to every call but watches. See `Platform` for errors.
    """

    def __init__(self, url: str, timeout: float) -> None:
        self._url = url.rstrip("/")
        self._timeout = timeout
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        self._session = aiohttp.ClientSession()

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def get(self, key: str) -> StoredObject:
        """Return one object; raises ObjectMissingError."""
        return _read_object(await self._call("GET", _object_path(key)))

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return all objects under a prefix, sorted by key; reads page by page."""
        found: list[StoredObject] = []
        after = ""
        while True:
            params = {"prefix": prefix, "after": after}
            page = await self._call("GET", "/objects", params=params)
            found.extend(_read_object(item) for item in page["objects"])
            if not page["more"]:
                return found
            after = found[-1].key

    async def create(self, key: str, value: bytes) -> int:
        """Create an object and return its version; raises VersionConflictError if it exists."""
        return await self._put(key, value, {"If-None-Match": "*"})

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replace an object that has `version`; returns the new version.

        Raises VersionConflictError or ObjectMissingError.
        """
        return await self._put(key, value, {"If-Match": str(version)})

    async def _put(self, key: str, value: bytes, headers: dict[str, str]) -> int:
        response = await self._call("PUT", _object_path(key), headers=headers, data=value)
        return response["version"]

    async def delete(self, key: str, version: int | None = None) -> None:
        """Delete an object; with `version`, only if it still has that one.

        Raises VersionConflictError or ObjectMissingError.
        """
        headers = {} if version is None else {"If-Match": str(version)}
        await self._call("DELETE", _object_path(key), headers=headers)

    async def watch(self, prefix: str, revision: int, seconds: float) -> Changes:
        """Wait up to `seconds` for changes under a prefix after `revision` (long polling)."""
        params = {"prefix": prefix, "revision": str(revision), "seconds": str(seconds)}
        limit = seconds + WATCH_GRACE_SECONDS
        response = await self._call("GET", "/watch", params=params, timeout=limit)
        changed = [_read_object(item) for item in response["changed"]]
        return Changes(response["revision"], changed, response["deleted"])

    async def list_leaving(self) -> set[str]:
        """Return the addresses of leaving instances; the platform's list may be out of date."""
        response = await self._call("GET", "/instances")
        return {item["address"] for item in response["instances"] if item["state"] == "leaving"}

    async def _call(self, method: str, path: str, timeout: float = 0.0, **options: Any) -> Any:
        if self._session is None:
            raise StoreUnavailableError("the platform client is not started")
        limit = aiohttp.ClientTimeout(total=timeout or self._timeout)
        try:
            async with self._session.request(
                method, self._url + path, timeout=limit, **options
            ) as response:
                return _check_status(response.status, path, await _read_body(response, path))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise StoreUnavailableError(f"{method} {path}: {error!r}") from error


async def _read_body(response: aiohttp.ClientResponse, path: str) -> bytes:
    body = bytearray()
    while part := await response.content.readany():
        body += part
        if len(body) > MAX_RESPONSE_BYTES:
            response.close()
            raise StoreUnavailableError(f"{path}: a response over {MAX_RESPONSE_BYTES} bytes")
    return bytes(body)


def _object_path(key: str) -> str:
    return "/objects/" + quote(key, safe="/")


def _read_object(item: dict[str, Any]) -> StoredObject:
    return StoredObject(item["key"], base64.b64decode(item["value"]), item["version"])


def _check_status(status: int, path: str, body: bytes) -> Any:
    match status:
        case 200 | 201:
            return orjson.loads(body)
        case 404:
            raise ObjectMissingError(path)
        case 409 | 412:
            raise VersionConflictError(path)
        case _:
            raise StoreUnavailableError(f"{path}: status {status}: {body[:200]!r}")

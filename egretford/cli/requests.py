"""HTTP GET requests of the command line."""

from __future__ import annotations

from typing import Any

import aiohttp

from egretford.errors import PlatformError

TIMEOUT_SECONDS = 5.0


class EntryUnreachableError(PlatformError):
    """A process did not answer a request with status 2xx and valid JSON."""


async def fetch_json(url: str) -> Any:
    """Fetch JSON from a URL; raises EntryUnreachableError if that fails for any reason."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url) as response,
        ):
            response.raise_for_status()
            return await response.json()
    except (TimeoutError, aiohttp.ClientError, ValueError) as error:
        raise EntryUnreachableError(f"request to {url} failed: {error}; check the URL") from error

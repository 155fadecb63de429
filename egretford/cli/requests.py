"""Small HTTP reads for the command line."""

from __future__ import annotations

from typing import Any

import aiohttp

from egretford.errors import PlatformError

TIMEOUT_SECONDS = 5.0


class EntryUnreachableError(PlatformError):
    """The process at a URL gave no usable answer."""


async def fetch_json(url: str) -> Any:
    """Read JSON from a URL; raises EntryUnreachableError."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url) as response,
        ):
            response.raise_for_status()
            return await response.json()
    except (TimeoutError, aiohttp.ClientError, ValueError) as error:
        raise EntryUnreachableError(f"{url} gave no answer: {error}; check the address") from error

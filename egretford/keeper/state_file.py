"""Persists a small value that a keeper has to find again after a restart."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any, Generic, TypeVar

from egretford.codec import decode_bytes, encode_bytes
from egretford.keeper.log import DiskError, write_file_durably

T = TypeVar("T")


class StateFile(Generic[T]):
    """The newest value in a file of its own; `default` if the file is missing or unreadable."""

    def __init__(self, path: Path, default: T, log: Any) -> None:
        self._path = path
        self._default = default
        self._log = log
        self._write_lock = asyncio.Lock()

    def load(self) -> T:
        """Return the stored value, or the default if there is none that can be read."""
        try:
            return decode_bytes(self._path.read_bytes(), type(self._default))
        except FileNotFoundError:
            return self._default
        except Exception as error:
            self._log.error(f"could not read the {self._path.name} file", error=repr(error))
            return self._default

    async def store(self, value: T) -> None:
        """Replace the file durably; raises DiskError."""
        async with self._write_lock:
            try:
                data = encode_bytes(value)
                await asyncio.to_thread(write_file_durably, self._path, data)
            except OSError as error:
                raise DiskError(repr(error)) from error

"""Persists up to which generation of the view a keeper has copied all its records."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from egretford.codec import decode_bytes, encode_bytes
from egretford.keeper.log import DiskError, write_file_durably
from egretford.policy.groups import Completion


class CompletionFile:
    """The newest completion in a small file.

    If the file is missing or cannot be read, the keeper copies all records again.
    """

    def __init__(self, path: Path, log: Any) -> None:
        self._path = path
        self._log = log
        self._write_lock = asyncio.Lock()

    def load(self) -> Completion:
        """Return the stored completion, or an empty one if there is none that can be read."""
        try:
            return decode_bytes(self._path.read_bytes(), Completion)
        except FileNotFoundError:
            return Completion()
        except Exception as error:
            self._log.error("could not read the completion file", error=repr(error))
            return Completion()

    async def store(self, completion: Completion) -> None:
        """Replace the file durably; raises DiskError."""
        async with self._write_lock:
            try:
                data = encode_bytes(completion)
                await asyncio.to_thread(write_file_durably, self._path, data)
            except OSError as error:
                raise DiskError(repr(error)) from error

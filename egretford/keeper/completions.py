"""The newest completion of a keeper's copies, on its disk."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from egretford.codec import decode_bytes, encode_bytes
from egretford.keeper.log import DiskError, write_file_durably
from egretford.policy.groups import Completion


class CompletionFile:
    """One small file; without it, or if it cannot be read, everything is copied once more."""

    def __init__(self, path: Path, log: Any) -> None:
        self._path = path
        self._log = log
        self._writing = asyncio.Lock()

    def load(self) -> Completion:
        """Return what was stored last."""
        try:
            return decode_bytes(self._path.read_bytes(), Completion)
        except FileNotFoundError:
            return Completion()
        except Exception as error:
            self._log.error("the completion on disk cannot be read", error=repr(error))
            return Completion()

    async def store(self, completion: Completion) -> None:
        """Write a completion; raises DiskError."""
        async with self._writing:
            try:
                data = encode_bytes(completion)
                await asyncio.to_thread(write_file_durably, self._path, data)
            except OSError as error:
                raise DiskError(repr(error)) from error

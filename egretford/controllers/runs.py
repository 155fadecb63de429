"""A running call: the tokens received so far and the result, for any number of readers."""

from __future__ import annotations

import asyncio

from egretford.errors import RequestError
from egretford.models import CallOutcome, ErrorReply
from egretford.policy.steps import CallProgress


class CallRun:
    """One run of a call on its owner; ends with an outcome or an error.

    `delivered` are tokens that an earlier run has already sent to the caller.
    """

    def __init__(self, fingerprint: str, delivered: list[str]) -> None:
        self.fingerprint = fingerprint
        self.tokens: list[str] = list(delivered)
        self.outcome: CallOutcome | None = None
        self.error: RequestError | None = None
        self._changed = asyncio.Event()

    @property
    def is_done(self) -> bool:
        """Whether the run has ended."""
        return self.outcome is not None or self.error is not None

    def add_token(self, text: str) -> None:
        """Add a token and wake the readers."""
        self.tokens.append(text)
        self._wake_readers()

    def finish(self, outcome: CallOutcome) -> None:
        """Set the outcome and wake the readers."""
        self.outcome = outcome
        self._wake_readers()

    def fail(self, error: RequestError) -> None:
        """Set the error and wake the readers."""
        self.error = error
        self._wake_readers()

    def _wake_readers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def follow(self, cursor: int, wait_seconds: float, *, stream: bool) -> CallProgress:
        """Return the tokens after `cursor`, waiting up to `wait_seconds` if there are none yet.

        Without `stream`, waits only for the end of the run and returns no tokens.
        """
        try:
            async with asyncio.timeout(wait_seconds):
                while not self.is_done and not (stream and len(self.tokens) > cursor):
                    await self._changed.wait()
        except TimeoutError:
            pass
        return CallProgress(
            tokens=self.tokens[cursor:] if stream else [],
            outcome=self.outcome,
            error=ErrorReply.from_error(self.error) if self.error else None,
        )

"""A running call: its tokens so far and its result, followed by any number of readers."""

from __future__ import annotations

import asyncio

from egretford.errors import RequestError
from egretford.models import CallOutcome, ErrorReply
from egretford.policy.steps import CallProgress


class CallRun:
    """One try of a call on its owner; ends with an outcome or an error."""

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
        self._wake()

    def finish(self, outcome: CallOutcome) -> None:
        """End with an outcome."""
        self.outcome = outcome
        self._wake()

    def fail(self, error: RequestError) -> None:
        """End with an error."""
        self.error = error
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def follow(self, cursor: int, wait_seconds: float, *, stream: bool) -> CallProgress:
        """Return the tokens after `cursor`, waiting a while if there are none yet.

        Without `stream` only the end is waited for, and no tokens are returned.
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

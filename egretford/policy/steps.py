"""Messages between a caller's entry and a program's owner about one call."""

from __future__ import annotations

from attrs import frozen

from egretford.models import CallOutcome, CallRequest, ErrorReply


@frozen
class CallStep:
    """A request of a caller's entry to the owner, repeated until the call is done.

    `sending` identifies one HTTP request of the caller, `cursor` counts the tokens that it has
    received. `delivered` has the tokens themselves, and is sent only if the owner may have
    changed. `wait_seconds` is how long the owner may delay its answer.
    """

    program: str
    sending: str
    request: CallRequest
    cursor: int
    delivered: list[str]
    wait_seconds: float
    seconds_left: float
    whole_history: bool = False


@frozen
class CallProgress:
    """The owner's answer to a step; `waiting` is true while the call has not started."""

    tokens: list[str]
    waiting: bool = False
    outcome: CallOutcome | None = None
    error: ErrorReply | None = None
    tenant: str = ""
    urgency: str = ""

    @property
    def is_done(self) -> bool:
        """Whether the call has its outcome or error, so that no more steps are needed."""
        return self.outcome is not None or self.error is not None

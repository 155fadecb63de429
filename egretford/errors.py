"""Exception hierarchy, and the verdicts and error kinds reported to callers."""

from __future__ import annotations

from enum import StrEnum

from attrs import frozen


class Verdict(StrEnum):
    """Whether the request may have run on an upstream."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class ErrorKind(StrEnum):
    """Machine-readable error code in an error response."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNKNOWN_PROGRAM = "unknown_program"
    UNKNOWN_CALL = "unknown_call"
    UNKNOWN_ROUTE = "unknown_route"
    CALL_CONFLICT = "call_conflict"
    DIGEST_MISMATCH = "digest_mismatch"
    OUT_OF_ORDER = "out_of_order"
    PROGRAM_ENDED = "program_ended"
    BUDGET_EXHAUSTED = "budget_exhausted"
    OVERLOADED = "overloaded"
    QUARANTINED = "quarantined"
    NOT_READY = "not_ready"
    STORE_UNAVAILABLE = "store_unavailable"
    OWNER_UNREACHABLE = "owner_unreachable"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_REJECTED = "upstream_rejected"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TIMEOUT = "timeout"
    INTERNAL = "internal"


HTTP_STATUS = {
    ErrorKind.BAD_REQUEST: 400,
    ErrorKind.TOO_LARGE: 413,
    ErrorKind.UNKNOWN_PROGRAM: 404,
    ErrorKind.UNKNOWN_CALL: 404,
    ErrorKind.UNKNOWN_ROUTE: 404,
    ErrorKind.CALL_CONFLICT: 409,
    ErrorKind.DIGEST_MISMATCH: 409,
    ErrorKind.OUT_OF_ORDER: 409,
    ErrorKind.PROGRAM_ENDED: 410,
    ErrorKind.BUDGET_EXHAUSTED: 402,
    ErrorKind.OVERLOADED: 429,
    ErrorKind.QUARANTINED: 422,
    ErrorKind.NOT_READY: 503,
    ErrorKind.STORE_UNAVAILABLE: 503,
    ErrorKind.OWNER_UNREACHABLE: 503,
    ErrorKind.UPSTREAM_FAILED: 502,
    ErrorKind.UPSTREAM_REJECTED: 422,
    ErrorKind.OUTCOME_UNKNOWN: 502,
    ErrorKind.TIMEOUT: 504,
    ErrorKind.INTERNAL: 500,
}


class EgretfordError(Exception):
    """Base class of all errors that egretford raises."""


class RequestError(EgretfordError):
    """An error response to a caller: refusal or failure, and whether the request may have run."""

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        verdict: Verdict = Verdict.NOT_RUN,
        retry_after_seconds: float | None = None,
        last_shared_call: int | None = None,
    ) -> None:
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.verdict = verdict
        self.retry_after_seconds = retry_after_seconds
        self.last_shared_call = last_shared_call


@frozen
class Problem:
    """One error in an input file: its location, its cause and how to fix it."""

    where: str
    what: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.where}: {self.what}; {self.remedy}"


class InputError(EgretfordError):
    """An input file is invalid and none of it was applied; `problems` lists each error."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class PlatformError(EgretfordError):
    """A request to the platform's object API failed."""


class StoreUnavailableError(PlatformError):
    """The store was unreachable or did not respond; a write may have taken effect."""


class ObjectMissingError(PlatformError):
    """The requested object does not exist in the store."""


class VersionConflictError(PlatformError):
    """A conditional write failed: the object already exists or its version differs."""


class JournalSealedError(EgretfordError):
    """Another incarnation sealed this journal to take it over; its owner must stop serving."""


class JournalFullError(EgretfordError):
    """The journal's write buffer is full; the records were not queued."""


class PeerUnreachableError(EgretfordError):
    """A peer did not respond; it may have received the request."""


class PeerDownError(PeerUnreachableError):
    """No process listens at a peer's address, so that nobody can reach the peer."""


class UpstreamError(EgretfordError):
    """An upstream did not return a complete response."""

    def __init__(self, message: str, *, verdict: Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict


class UpstreamRefusedError(UpstreamError):
    """The upstream refused the request before running it, or was unreachable.

    `leaving` is true if it refused because it is shutting down.
    """

    def __init__(self, message: str, *, leaving: bool = False) -> None:
        super().__init__(message, verdict=Verdict.NOT_RUN)
        self.leaving = leaving


class UpstreamUnreachableError(UpstreamRefusedError):
    """The expected worker process is no longer reachable at its address."""


class UpstreamRejectedError(UpstreamError):
    """The upstream rejected the request as invalid; a retry would fail in the same way."""

    def __init__(self, message: str) -> None:
        super().__init__(message, verdict=Verdict.NOT_RUN)


class UpstreamLostError(UpstreamError):
    """The connection closed or timed out after the request was sent.

    `crashed` is true if the upstream process is assumed to have crashed, `silent` if nothing came
    from it in time, so that it may have. `tunnelled` is true if the connection led through another
    instance, which may have failed instead of the upstream.
    """

    def __init__(
        self, message: str, *, crashed: bool, silent: bool = False, tunnelled: bool = False
    ) -> None:
        super().__init__(message, verdict=Verdict.MAY_HAVE_RUN)
        self.crashed = crashed
        self.silent = silent
        self.tunnelled = tunnelled

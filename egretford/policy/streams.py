"""Identifies streams by their content, and the origins that a resumed one may have."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash
from attrs import Factory, define, frozen

from egretford.entry.models import CallerRequest, Route, RouteKind
from egretford.policy.ledger import Charge, StreamOrigin, merge_charges
from egretford.policy.routes import RouteIndex

# Time after a stream has broken off within which its caller resumes it, in seconds.
BREAK_SECONDS = 1.0
# Time in which all entries in touch with the store learn of a change, in seconds.
SPREAD_SECONDS = 2.5


def make_stream_key(request: CallerRequest) -> str:
    """Return a key that is the same for all attempts at one stream.

    Callers repeat a request as it was, with another id and deadline. Streams of equal content
    have equal keys.
    """
    digest = xxhash.xxh3_128()
    parts = [
        request.http.method,
        request.host.encode(),
        request.http.target,
        request.program.encode(),
        request.session.encode(),
        (request.previous_turn or "").encode(),
        *(f"{part.id}:{part.tokens}".encode() for part in request.prompt),
        request.http.body,
    ]
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


def get_split_key(request: CallerRequest, route: Route) -> str:
    """Return the key by which the weights of a route choose the upstream of a request."""
    if request.session:
        return request.session
    is_resumable = route.kind is RouteKind.STREAMING and route.resumable
    return make_stream_key(request) if is_resumable else request.id


def get_stream_seconds(routes: Iterable[Route]) -> float:
    """Return how long after its begin a stream may be resumed, in seconds.

    `routes` are those that it may have had when it began.
    """
    return max(route.timeout for route in routes) + BREAK_SECONDS


@define
class RecentRoutes:
    """The configuration in force, and those before it while streams under them may be resumed.

    Each of these comes with the time until which it matters, in monotonic seconds.
    """

    current: RouteIndex | None = None
    _former: list[tuple[float, RouteIndex]] = Factory(list)

    def replace(self, index: RouteIndex, now: float) -> None:
        """Put a configuration in force."""
        if self.current is not None:
            self._former.append((now + _get_memory_seconds(self.current), self.current))
        self.current = index
        self._forget_old(now)

    def list_former(self, host: str, path: str, now: float) -> list[Route]:
        """Return the routes that requests may have had lately, without the present one."""
        self._forget_old(now)
        found = (index.find(host, path) for _, index in self._former)
        return [route for route in found if route is not None]

    def _forget_old(self, now: float) -> None:
        if any(until < now for until, _ in self._former):
            self._former = [item for item in self._former if item[0] >= now]


def _get_memory_seconds(index: RouteIndex) -> float:
    timeouts = (route.timeout for route in index.table.routes if route.resumable)
    return max(timeouts, default=0.0) + BREAK_SECONDS + SPREAD_SECONDS


@frozen
class AttemptRecord:
    """The record of an attempt at a stream, `age` seconds after a keeper received it."""

    charge: Charge
    age: float


def find_origins(records: Iterable[AttemptRecord], seconds: float) -> set[StreamOrigin]:
    """Return the origins of the attempts that may be resumed.

    These began in the last `seconds`; without any, older ones count. The records of one attempt at
    several keepers are merged. A settled one says that its caller got no event.
    """
    merged: dict[str, AttemptRecord] = {}
    for record in records:
        request = record.charge.request
        known = merged.get(request, record)
        merged[request] = AttemptRecord(
            merge_charges(known.charge, record.charge), min(known.age, record.age)
        )
    begun = [r for r in merged.values() if r.charge.origin is not None and not r.charge.settled]
    recent = [record for record in begun if record.age <= seconds]
    return {
        StreamOrigin(0, record.charge.origin.upstream, record.charge.origin.version)
        for record in recent or begun
    }

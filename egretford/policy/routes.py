"""Finds the route of a request, and the upstream of the route that gets it."""

from __future__ import annotations

import xxhash
from attrs import define, field

from egretford.entry.models import Route, RoutingTable

# Number of values of the 64-bit hash.
HASH_RANGE = float(2**64)


@define
class RouteIndex:
    """The routes of one configuration by host, those with the longest prefix first."""

    table: RoutingTable
    _by_host: dict[str, list[Route]] = field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        for route in self.table.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def choose_upstream(route: Route, key: str) -> str:
    """Return the upstream for `key`, by hash: keys spread in proportion to the weights."""
    total = sum(target.weight for target in route.targets)
    position = xxhash.xxh64_intdigest(key.encode()) / HASH_RANGE * total
    for target in route.targets:
        position -= target.weight
        if position < 0:
            return target.upstream
    return route.targets[-1].upstream

"""Merging of configuration: only higher revisions apply, bad rows keep their last good version."""

from __future__ import annotations

from typing import Any

from attrs import Factory, define, frozen

from egretford.errors import Problem
from egretford.models import CallKind, Pool, PoolKind, Route, Tables
from egretford.tables import parse_rows


@frozen
class Merged:
    """The tables in force after a merge, and the problems of the rejected rows."""

    tables: Tables
    problems: list[Problem]


def merge_tables(raw: Any, last_good: Tables) -> Merged:
    """Parse stored tables; a bad row is reported and keeps its version in `last_good`."""
    parsed = parse_rows(raw, source="tables")
    bad_routes, bad_pools = parsed.bad_names
    routes = parsed.tables.routes + [r for r in last_good.routes if r.name in bad_routes]
    pools = parsed.tables.pools + [p for p in last_good.pools if p.name in bad_pools]
    return Merged(Tables(routes, pools), parsed.problems)


@define
class Configuration:
    """The configuration in force in one entry."""

    revision: int = 0
    raw: Any = None
    tables: Tables = Factory(Tables)
    problems: list[Problem] = Factory(list)

    def offer(self, revision: int, raw: Any) -> bool:
        """Apply stored tables if their revision is higher; returns whether they were applied."""
        if revision <= self.revision:
            return False
        merged = merge_tables(raw, self.tables)
        self.revision, self.raw = revision, raw
        self.tables, self.problems = merged.tables, merged.problems
        return True

    def find_route(self, name: str) -> Route | None:
        """Return the route with this name, or None."""
        return next((route for route in self.tables.routes if route.name == name), None)

    def find_pool(self, name: str) -> Pool | None:
        """Return the pool with this name, or None."""
        return next((pool for pool in self.tables.pools if pool.name == name), None)

    def find_model_route(self, model: str) -> Route | None:
        """Return the first route that matches a model or has its name, or None."""
        for route in self.tables.routes:
            if model in (route.match.model, route.name):
                return route
        return None

    def resolve(self, route: Route, kind: CallKind) -> Pool | None:
        """Return the pool of a route, or None if there is none that serves calls of `kind`."""
        pool = self.find_pool(route.pool)
        if pool is None:
            return None
        required = PoolKind.ENGINE if kind is CallKind.MODEL else PoolKind.SERVICE
        return pool if pool.kind is required else None

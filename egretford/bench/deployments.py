"""Topologies of the two example deployments, Fernhollow and Sialkot."""

from __future__ import annotations

from attrs import frozen

from egretford.models import Worker


@frozen
class Deployment:
    """A deployment: `regions` maps failure domains to regions.

    `cache_weight` is passed on with each placement request.
    """

    name: str
    regions: dict[str, str]
    cache_weight: float

    def list_workers(self) -> list[Worker]:
        """Return two workers per failure domain."""
        return [
            Worker(f"{domain}-{number}", "none", domain)
            for domain in self.regions
            for number in (1, 2)
        ]


FERNHOLLOW = Deployment(
    "fernhollow",
    {"cascadia-a": "cascadia", "cascadia-b": "cascadia", "inland-a": "inland"},
    0.5,
)
SIALKOT = Deployment(
    "sialkot",
    {"sialkot-a": "punjab-north", "lahore-b": "punjab-north", "karachi-a": "sindh-south"},
    3.0,
)

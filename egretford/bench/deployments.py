"""Both users' deployments as the bench sees them."""

from __future__ import annotations

from attrs import frozen

from egretford.models import Worker


@frozen
class Deployment:
    """Failure domains with their regions, workers and cache weight."""

    name: str
    regions: dict[str, str]
    cache_weight: float

    def list_workers(self) -> list[Worker]:
        """Return two workers a failure domain."""
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

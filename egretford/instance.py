"""Settings that describe an instance and the deployment it belongs to."""

from __future__ import annotations

from attrs import frozen


@frozen
class DeploymentBounds:
    """Limits set by the deployment, in seconds.

    `stop_grace` is the time allowed for stopping. Within `change_limit`, a new configuration must
    be in force, and a leaving worker must get no more requests.
    """

    stop_grace: float
    change_limit: float = 2.5


@frozen
class InstanceSettings:
    """Settings of one daemon; addresses are IP:PORT, an empty string means not set.

    `tolerated_losses` is the number of instances that may fail without any data being lost.
    `first_start` is true if the platform says that the deployment starts for the first time; it is
    only logged.
    """

    name: str
    ip: str
    failure_domain: str
    region: str
    regions: dict[str, str]
    peer_port: int
    store_address: str
    bounds: DeploymentBounds
    tolerated_losses: int
    first_start: bool
    callers_address: str = ""
    readiness_address: str = ""
    data_folder: str = ""
    advertised_address: str = ""

    @property
    def peer_address(self) -> str:
        """Address on which this instance listens for other instances."""
        return f"{self.ip}:{self.peer_port}"

    @property
    def reachable_address(self) -> str:
        """Address at which other instances reach this one; may differ from `peer_address`."""
        return self.advertised_address or self.peer_address

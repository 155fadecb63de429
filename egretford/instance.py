"""What an instance knows of itself and of its deployment from its settings."""

from __future__ import annotations

from attrs import frozen


@frozen
class DeploymentBounds:
    """Bounds that the deployment sets; times in seconds."""

    stop_grace: float


@frozen
class InstanceSettings:
    """Settings of one daemon; addresses are IP:PORT."""

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
        """Where this instance listens to others."""
        return f"{self.ip}:{self.peer_port}"

    @property
    def reachable_address(self) -> str:
        """Where other instances reach this one."""
        return self.advertised_address or self.peer_address

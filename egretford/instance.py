"""What an instance knows of itself and of its deployment from its settings."""

from __future__ import annotations

from attrs import Factory, frozen


@frozen
class DeploymentBounds:
    """Bounds that the deployment sets; times in seconds."""

    drain: float
    stop_grace: float
    configuration: float
    recovery: float
    address_reuse: float


@frozen
class InstanceSettings:
    """Settings of one daemon; addresses are IP:PORT, sizes in bytes, rates a second."""

    name: str
    ip: str
    failure_domain: str
    region: str
    regions: dict[str, str]
    peer_port: int
    store_address: str
    store_value_bytes: int
    bounds: DeploymentBounds
    memory_bytes: int
    tolerated_losses: int
    first_start: bool
    worker_heartbeat: float
    callers_address: str = ""
    readiness_address: str = ""
    data_folder: str = ""
    seeds: tuple[str, ...] = Factory(tuple)

    @property
    def peer_address(self) -> str:
        """Where other instances reach this one."""
        return f"{self.ip}:{self.peer_port}"

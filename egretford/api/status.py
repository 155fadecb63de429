"""HTTP routes for health, readiness, status and histograms."""

from __future__ import annotations

from typing import Any

from blacksheep import Request, Response

from egretford.api.bodies import write_json
from egretford.controllers.instance import Instance
from egretford.metrics import Metrics


class StatusRoutes:
    """Handlers of /healthz, /readyz, /v1/status and /v1/histograms."""

    def __init__(self, instance: Instance, metrics: Metrics) -> None:
        self._instance = instance
        self._metrics = metrics

    @property
    def is_ready(self) -> bool:
        """Whether the entry accepts new requests."""
        return self._instance.is_ready

    async def check_health(self, request: Request) -> Response:
        """GET /healthz."""
        return write_json(200, {"state": "alive"})

    async def check_readiness(self, request: Request) -> Response:
        """GET /readyz."""
        state = "ready" if self.is_ready else "not_ready"
        return write_json(200 if self.is_ready else 503, {"state": state})

    async def read_status(self, request: Request) -> Response:
        """GET /v1/status."""
        node = self._instance.node
        configuration = self._instance.configuration.current
        body = {
            "incarnation": node.incarnation,
            "ready": self.is_ready,
            "configuration": {
                "revision": configuration.revision,
                "problems": [str(problem) for problem in configuration.problems],
            },
            "membership": self._describe_members(),
            "journal": {
                "appends": node.journal.appends,
                "bytes_written": node.journal.bytes_written,
                "pending_bytes": node.journal.pending_bytes,
                "segments": len(node.journal.segment_index.sizes),
                "store_failing": node.journal.failing,
            },
            "programs": {
                "held": len(node.table.programs),
                "running_calls": node.owner.running_calls,
                "taken_over": node.takeover.programs_taken_over,
            },
            "queues": self._describe_queues(),
            "counters": self._metrics.counters,
        }
        return write_json(200, body)

    def _describe_members(self) -> list[dict[str, Any]]:
        members = self._instance.node.members
        now = members.now()
        return [
            {
                "incarnation": member.incarnation,
                "instance": member.instance,
                "failure_domain": member.failure_domain,
                "state": member.state,
            }
            for member in members.membership.list_live(now)
        ]

    def _describe_queues(self) -> list[dict[str, Any]]:
        return [
            {
                "pool": name,
                "waiting": len(shard),
                "workers": {
                    state.worker.name: {"running": state.running, "leaving": state.leaving}
                    for state in shard.workers.values()
                },
            }
            for name, shard in self._instance.scheduling.slots.shards.items()
        ]

    async def read_histograms(self, request: Request) -> Response:
        """GET /v1/histograms."""
        return write_json(200, self._metrics.list_histograms())

"""Stand-in tool service that counts the side effects of non-repeatable calls."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import orjson
from attrs import define, field, frozen, validators
from blacksheep import Request, Response

from egretford.api.routing import add_route, create_application
from egretford.codec import explain_error, from_json
from egretford.standin.engine import break_connection
from egretford.standin.platform import reply_json

# A hanging call sleeps this long before it runs.
HANG_SECONDS = 3_600.0
SLOW_REPLY_SECONDS = 4.0
LOAD_LAG_SECONDS = 0.5


@frozen
class ToolCall:
    """Request body of `POST /call`."""

    program: str
    call: int
    messages: list[dict[str, Any]]
    repeatable: bool = False


@frozen
class ServiceFault:
    """Fault of the next `count` calls.

    `hang` blocks before the effect; `slow_reply` delays and `lost_reply` drops the reply
    after it; `refuse` answers 503 without running the call.
    """

    kind: str = field(validator=validators.in_(("hang", "slow_reply", "lost_reply", "refuse")))
    count: int = field(default=1, validator=validators.ge(0))


@define
class EffectCounter:
    """Number of effects by key (`program/call`)."""

    effects: dict[str, int] = field(factory=dict)

    def add(self, key: str) -> int:
        """Count an effect and return the new total of its key."""
        self.effects[key] = self.effects.get(key, 0) + 1
        return self.effects[key]


class ServiceStandin:
    """HTTP routes of the stand-in service.

    `faults` has the number of calls that each kind of fault still affects.
    """

    def __init__(self, seconds_per_call: float = 0.02) -> None:
        self.effect_counter = EffectCounter()
        self.seconds_per_call = seconds_per_call
        self.faults: dict[str, int] = {}
        self.running = 0
        self.leaving = False
        self.boot = str(time.time_ns())
        self.app = create_application()
        add_route(self.app, "POST", "/call", self.call)
        add_route(self.app, "POST", "/faults", self.set_fault)
        add_route(self.app, "GET", "/effects", self.read_effects)
        add_route(self.app, "GET", "/load", self.read_load)
        add_route(self.app, "GET", "/healthz", self.check_health)

    def _consume_fault(self, kind: str) -> bool:
        if self.faults.get(kind, 0) < 1:
            return False
        self.faults[kind] -= 1
        return True

    async def call(self, request: Request) -> Response:
        """Run one call; a non-repeatable one counts as an effect."""
        try:
            body = from_json(orjson.loads(await request.read() or b""), ToolCall)
        except Exception as error:
            return reply_json(400, {"error": explain_error(error)})
        if self.leaving or self._consume_fault("refuse"):
            return reply_json(503, {"error": "leaving" if self.leaving else "refused"})
        self.running += 1
        try:
            return await self._run(body)
        finally:
            self.running -= 1

    async def _run(self, body: ToolCall) -> Response:
        if self._consume_fault("hang"):
            await asyncio.sleep(HANG_SECONDS)
        await asyncio.sleep(self.seconds_per_call)
        key = f"{body.program}/{body.call}"
        count = 0 if body.repeatable else self.effect_counter.add(key)
        if self._consume_fault("slow_reply"):
            await asyncio.sleep(SLOW_REPLY_SECONDS)
        if self._consume_fault("lost_reply"):
            return break_connection()
        request = body.messages[-1].get("content") if body.messages else None
        return reply_json(200, {"result": {"done": request, "key": key, "effects": count}})

    async def set_fault(self, request: Request) -> Response:
        """Set a fault for the next calls, or start or stop leaving."""
        raw = orjson.loads(await request.read() or b"{}")
        if raw.get("kind") in ("leaving", "serving"):
            self.leaving = raw["kind"] == "leaving"
            return reply_json(200, raw)
        try:
            fault = from_json(raw, ServiceFault)
        except Exception as error:
            return reply_json(400, {"error": explain_error(error)})
        self.faults[fault.kind] = fault.count
        return reply_json(200, {"kind": fault.kind, "count": fault.count})

    async def read_effects(self, request: Request) -> Response:
        """Return the number of effects of each key."""
        rows = [{"key": key, "count": count} for key, count in self.effect_counter.effects.items()]
        return reply_json(200, rows)

    async def read_load(self, request: Request) -> Response:
        """Return the number of running calls; the service never queues any."""
        body = {
            "running": self.running,
            "waiting": 0,
            "boot": self.boot,
            "leaving": self.leaving,
        }
        return reply_json(200, body)

    async def check_health(self, request: Request) -> Response:
        """Return the liveness state, also while leaving."""
        return reply_json(200, {"state": "alive", "boot": self.boot})

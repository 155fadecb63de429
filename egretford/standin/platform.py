"""Stand-in platform: object API over HTTP, instance list, injectable faults."""

from __future__ import annotations

import asyncio
import base64
import time
from collections import deque
from typing import Any

import orjson
from blacksheep import Content, Request, Response

from egretford.api.routing import add_route, create_application
from egretford.codec import explain_error, from_json
from egretford.errors import ObjectMissingError, VersionConflictError
from egretford.platform.objects import StoredObject
from egretford.standin.faults import FaultKind, FaultRequest, FaultState
from egretford.standin.objects import MAX_VALUE_BYTES, ObjectStore

# Limits of the platform; further calls within the second get 429.
READS_PER_SECOND = 2_000
WRITES_PER_SECOND = 500
# A new instance list becomes visible to readers this much later.
INSTANCE_LIST_LAG_SECONDS = 2.0
MAX_WATCH_SECONDS = 60.0


def reply_json(status: int, body: Any) -> Response:
    """Return a response with `body` encoded as JSON."""
    return Response(status, content=Content(b"application/json", orjson.dumps(body)))


class RateLimit:
    """Limits calls over a sliding window of one second; counts all accepted ones."""

    def __init__(self, per_second: int) -> None:
        self._per_second = per_second
        self._times: deque[float] = deque()
        self.total = 0

    def try_acquire(self, now: float) -> bool:
        """Count a call; return False without counting when the limit is reached."""
        while self._times and self._times[0] <= now - 1.0:
            self._times.popleft()
        if len(self._times) >= self._per_second:
            return False
        self._times.append(now)
        self.total += 1
        return True


class PlatformStandin:
    """HTTP routes of the stand-in platform; all state is in memory."""

    def __init__(self) -> None:
        self.store = ObjectStore()
        self.faults = FaultState()
        self.reads = RateLimit(READS_PER_SECOND)
        self.writes = RateLimit(WRITES_PER_SECOND)
        self.by_prefix: dict[str, int] = {}
        # All lists with the times they were set, since readers get them late.
        self.instances: list[tuple[float, list[dict[str, str]]]] = []
        self.app = create_application()
        self._add_routes()

    def _add_routes(self) -> None:
        add_route(self.app, "GET", "/objects", self.list_objects)
        add_route(self.app, "GET", "/objects/*", self.get_object)
        add_route(self.app, "PUT", "/objects/*", self.put_object)
        add_route(self.app, "DELETE", "/objects/*", self.delete_object)
        add_route(self.app, "GET", "/watch", self.watch)
        add_route(self.app, "GET", "/instances", self.list_instances)
        add_route(self.app, "PUT", "/instances", self.put_instances)
        add_route(self.app, "POST", "/faults", self.set_fault)
        add_route(self.app, "GET", "/counters", self.read_counters)
        add_route(self.app, "GET", "/healthz", self.check_health)

    async def _admit(self, limit: RateLimit, method: str, key: str) -> Response | None:
        now = time.monotonic()
        prefix = f"{method} {key.split('/', 1)[0]}"
        self.by_prefix[prefix] = self.by_prefix.get(prefix, 0) + 1
        if self.faults.is_active(FaultKind.DOWN, now):
            return reply_json(503, {"error": "down"})
        if not limit.try_acquire(now):
            return reply_json(429, {"error": "too many calls"})
        await asyncio.sleep(self.faults.slow_delay(now))
        return None

    async def list_objects(self, request: Request) -> Response:
        """Return a page of objects under a prefix, and whether more follow."""
        prefix = _query_value(request, "prefix", "")
        refusal = await self._admit(self.reads, "LIST", prefix)
        if refusal is not None:
            return refusal
        page, more = self.store.list_page(prefix, _query_value(request, "after", ""))
        return reply_json(200, {"objects": [_encode_object(o) for o in page], "more": more})

    async def get_object(self, request: Request) -> Response:
        """Return one object, or 404."""
        key = _object_key(request)
        refusal = await self._admit(self.reads, "GET", key)
        if refusal is not None:
            return refusal
        try:
            return reply_json(200, _encode_object(self.store.get(key)))
        except ObjectMissingError:
            return reply_json(404, {"error": "no such object"})

    async def put_object(self, request: Request) -> Response:
        """Create an object, or update the version given by `If-Match`."""
        key = _object_key(request)
        value = await request.read() or b""
        refusal = await self._admit(self.writes, "PUT", key)
        if refusal is not None:
            return refusal
        if len(value) > MAX_VALUE_BYTES:
            return reply_json(413, {"error": "the value is over a megabyte"})
        expected = request.get_first_header(b"If-Match")
        if expected is None:
            return await self._perform_write(lambda: self.store.create(key, value))
        return await self._perform_write(lambda: self.store.update(key, value, int(expected)))

    async def delete_object(self, request: Request) -> Response:
        """Delete an object, if `If-Match` is absent or equals its version."""
        key = _object_key(request)
        refusal = await self._admit(self.writes, "DELETE", key)
        if refusal is not None:
            return refusal
        expected = request.get_first_header(b"If-Match")
        version = int(expected) if expected else None
        return await self._perform_write(lambda: self.store.delete(key, version))

    async def _perform_write(self, write: Any) -> Response:
        try:
            version = write()
        except VersionConflictError:
            return reply_json(409, {"error": "version conflict"})
        except ObjectMissingError:
            return reply_json(404, {"error": "no such object"})
        await self.store.notify()
        if self.faults.loses_answer(time.monotonic()):
            return reply_json(504, {"error": "the answer was lost"})
        return reply_json(200, {"version": version})

    async def watch(self, request: Request) -> Response:
        """Long-poll for changes under a prefix after a revision."""
        prefix = _query_value(request, "prefix", "")
        refusal = await self._admit(self.reads, "WATCH", prefix)
        if refusal is not None:
            return refusal
        seconds = min(float(_query_value(request, "seconds", "10")), MAX_WATCH_SECONDS)
        revision = int(_query_value(request, "revision", "0"))
        changes = await self.store.watch(prefix, revision, seconds)
        body = {
            "revision": changes.revision,
            "changed": [_encode_object(item) for item in changes.changed],
            "deleted": changes.deleted,
        }
        return reply_json(200, body)

    async def list_instances(self, request: Request) -> Response:
        """Return the instance list of `INSTANCE_LIST_LAG_SECONDS` ago."""
        refusal = await self._admit(self.reads, "INSTANCES", "")
        if refusal is not None:
            return refusal
        cutoff = time.monotonic() - INSTANCE_LIST_LAG_SECONDS
        visible = [items for at, items in self.instances if at <= cutoff]
        return reply_json(200, {"instances": visible[-1] if visible else []})

    async def put_instances(self, request: Request) -> Response:
        """Replace the instance list; readers get it after `INSTANCE_LIST_LAG_SECONDS`."""
        items = orjson.loads(await request.read() or b"[]")
        self.instances.append((time.monotonic(), items))
        return reply_json(200, {"instances": len(items)})

    async def set_fault(self, request: Request) -> Response:
        """Start a fault, or end it with zero seconds."""
        try:
            fault = from_json(orjson.loads(await request.read() or b""), FaultRequest)
        except Exception as error:
            return reply_json(400, {"error": explain_error(error)})
        self.faults.set(fault, time.monotonic())
        return reply_json(200, {"kind": fault.kind, "seconds": fault.seconds})

    async def read_counters(self, request: Request) -> Response:
        """Return the number of calls, and the number and total bytes of stored objects."""
        objects = self.store.objects
        body = {
            "reads": self.reads.total,
            "writes": self.writes.total,
            "by_prefix": self.by_prefix,
            "objects": len(objects),
            "bytes": sum(len(item.value) for item in objects.values()),
        }
        return reply_json(200, body)

    async def check_health(self, request: Request) -> Response:
        """Return the liveness state, also while a fault is active."""
        return reply_json(200, {"state": "alive"})


def _query_value(request: Request, name: str, default: str) -> str:
    values = request.query.get(name)
    return values[0] if values else default


def _object_key(request: Request) -> str:
    return request.route_values["tail"] if request.route_values else ""


def _encode_object(item: StoredObject) -> dict[str, Any]:
    value = base64.b64encode(item.value).decode()
    return {"key": item.key, "value": value, "version": item.version}

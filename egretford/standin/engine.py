"""Stand-in model engine: HTTP chat completions, streamed as SSE, over the batching model."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections import deque
from collections.abc import AsyncIterator
from typing import Any

import orjson
from attrs import Factory, define, frozen
from blacksheep import Application, Request, Response

from egretford.api.bodies import stream_events
from egretford.api.routing import add_route, create_application
from egretford.codec import explain_error, from_json
from egretford.standin.batching import BatchModel, EngineProfile, EngineRequest
from egretford.standin.cache import Block
from egretford.standin.platform import reply_json

# A request with this text in a message crashes the engine.
CRASH_MARKER = "CRASH-ENGINE"
# The engine answers 503 for this long after a crash.
RESTART_SECONDS = 1.0
# Load reports and cache events become visible this many seconds late.
LOAD_LAG_SECONDS = 0.5
EVENT_LAG_SECONDS = 1.0
# Cache events whose sequence number is a multiple of this are never delivered.
EVENT_DROP_INTERVAL = 7
# Above this number of streams, half of the finished ones are discarded.
MAX_STREAMS = 512


@frozen
class CompletionRequest:
    """Request body of `POST /v1/chat/completions`."""

    messages: list[dict[str, Any]]
    model: str = ""
    max_tokens: int = 256
    stream: bool = True
    request_id: str = ""
    program: str = ""
    skip_tokens: int = 0


@frozen
class Order:
    """Request body of `POST /orders`: what to load or which role to take, and a fencing number."""

    kind: str
    value: str
    fencing: int


@define
class LiveStream:
    """A request in progress or finished; readers wait on `changed` for more tokens."""

    request: EngineRequest
    broken: bool = False
    changed: asyncio.Event = Factory(asyncio.Event)

    def notify_readers(self) -> None:
        """Wake all readers after new tokens or a failure."""
        self.changed.set()
        self.changed = asyncio.Event()


class StreamBrokenError(Exception):
    """Aborts a response before its last chunk, like a crash of the process."""


def break_connection() -> Response:
    """Return a response whose body fails at once, like a connection to a crashed process."""

    async def fail() -> AsyncIterator[bytes]:
        raise StreamBrokenError("connection broken deliberately")
        yield b""

    return stream_events(fail())


class EngineStandin:
    """HTTP routes and batching loop of the stand-in engine.

    With `fencing_checked`, orders with an outdated fencing number are rejected.
    """

    def __init__(self, profile: EngineProfile, *, fencing_checked: bool = False) -> None:
        self.model = BatchModel(profile)
        self.profile = profile
        self.fencing_checked = fencing_checked
        self.fencing = 0
        self.orders: dict[str, str] = {}
        self.boot = secrets.token_hex(4)
        self.leaving = False
        self.down_until = 0.0
        self.frozen_until = 0.0
        self.streams: dict[str, LiveStream] = {}
        self.load_history: deque[tuple[float, dict[str, Any]]] = deque(maxlen=1_000)
        self.events: list[tuple[float, dict[str, Any]]] = []
        self.prefilled_tokens = 0
        self.app = create_application()
        self.app.on_start += self.start
        self._has_work = asyncio.Event()
        self._batching_task: asyncio.Task[None] | None = None
        self._add_routes()

    def _add_routes(self) -> None:
        add_route(self.app, "POST", "/v1/chat/completions", self.complete)
        add_route(self.app, "GET", "/v1/streams/:request_id", self.resume)
        add_route(self.app, "DELETE", "/v1/streams/:request_id", self.cancel)
        add_route(self.app, "POST", "/release", self.release)
        add_route(self.app, "POST", "/kv/export", self.export_cache)
        add_route(self.app, "POST", "/kv/import", self.import_cache)
        add_route(self.app, "POST", "/orders", self.accept_order)
        add_route(self.app, "GET", "/orders", self.read_orders)
        add_route(self.app, "POST", "/faults", self.set_fault)
        add_route(self.app, "GET", "/load", self.read_load)
        add_route(self.app, "GET", "/events", self.read_events)
        add_route(self.app, "GET", "/memory", self.read_memory)
        add_route(self.app, "GET", "/healthz", self.check_health)

    async def start(self, _: Application) -> None:
        """Start the batching loop when the server starts."""
        self._batching_task = asyncio.create_task(self._run_batching())

    async def _run_batching(self) -> None:
        while True:
            if self.model.is_idle:
                self._record_load()
                self._has_work.clear()
                await self._has_work.wait()
            duration, progressed = self.model.step()
            await asyncio.sleep(duration + max(0.0, self.frozen_until - time.monotonic()))
            for request in progressed:
                self._publish_progress(request)
            self._record_load()

    def _publish_progress(self, request: EngineRequest) -> None:
        stream = self.streams.get(request.request_id)
        if stream is not None:
            stream.notify_readers()
        if request.is_done:
            self._record_event(request)

    def _record_load(self) -> None:
        load = {
            "running": len(self.model.running),
            "waiting": len(self.model.waiting),
            "cache_used": self.model.cache.used_tokens,
            "slots": self.profile.slots,
        }
        self.load_history.append((time.monotonic(), load))

    def _record_event(self, request: EngineRequest) -> None:
        event = {
            "sequence": len(self.events) + 1,
            "program": request.program,
            "tokens": request.prompt_tokens + request.length,
        }
        self.events.append((time.monotonic(), event))

    def _unavailable_response(self) -> Response | None:
        if time.monotonic() < self.down_until:
            return reply_json(503, {"error": "restarting"})
        if self.leaving:
            return reply_json(503, {"error": "leaving"})
        return None

    async def complete(self, request: Request) -> Response:
        """Run a completion, answered as a stream or in one body."""
        refusal = self._unavailable_response()
        if refusal is not None:
            return refusal
        try:
            body = from_json(orjson.loads(await request.read() or b""), CompletionRequest)
        except Exception as error:
            return reply_json(400, {"error": explain_error(error)})
        if any(CRASH_MARKER in str(message.get("content")) for message in body.messages):
            self._crash()
            return break_connection()
        stream = self._submit(body)
        if body.stream:
            return self._stream_response(stream, body.skip_tokens)
        while not stream.request.is_done:
            await stream.changed.wait()
            self._check_broken(stream)
        return reply_json(200, _completion_body(stream.request))

    def _submit(self, body: CompletionRequest) -> LiveStream:
        request = EngineRequest(
            request_id=body.request_id or secrets.token_hex(8),
            program=body.program,
            messages=body.messages,
            max_tokens=body.max_tokens,
            skip=body.skip_tokens,
        )
        stream = LiveStream(request)
        self.streams[request.request_id] = stream
        if len(self.streams) > MAX_STREAMS:
            done = [key for key, live in self.streams.items() if live.request.is_done]
            for key in done[: len(done) // 2]:
                del self.streams[key]
        self.model.submit(request)
        self._has_work.set()
        return stream

    def _stream_response(self, stream: LiveStream, first: int) -> Response:
        return stream_events(self._generate_events(stream, first))

    async def _generate_events(self, stream: LiveStream, first: int) -> AsyncIterator[bytes]:
        index = first
        request = stream.request
        while True:
            self._check_broken(stream)
            changed = stream.changed
            while index < request.emitted:
                yield _encode_event({"token": index, **_delta_chunk(request.token_text(index))})
                index += 1
            if request.is_done:
                break
            await changed.wait()
        yield _encode_event({"usage": _usage(request), "boot": self.boot, "choices": []})
        yield b"data: [DONE]\n\n"

    def _check_broken(self, stream: LiveStream) -> None:
        if stream.broken:
            raise StreamBrokenError(stream.request.request_id)

    async def resume(self, request: Request) -> Response:
        """Stream a request again, starting at the token given by `from`."""
        refusal = self._unavailable_response()
        if refusal is not None and not self.leaving:
            return refusal
        stream = self.streams.get(request.route_values["request_id"])
        if stream is None or stream.broken:
            return reply_json(404, {"error": "no such stream"})
        values = request.query.get("from")
        return self._stream_response(stream, int(values[0]) if values else 0)

    async def cancel(self, request: Request) -> Response:
        """Cancel a request; idempotent."""
        stream = self.streams.pop(request.route_values["request_id"], None)
        if stream is not None and not stream.request.is_done:
            self.model.cancel(stream.request.request_id)
            stream.broken = True
            stream.notify_readers()
        return reply_json(200, {"cancelled": stream is not None})

    def _crash(self) -> None:
        for stream in self.streams.values():
            stream.broken = not stream.request.is_done
            stream.notify_readers()
        self.streams.clear()
        self.model = BatchModel(self.profile)
        self.boot = secrets.token_hex(4)
        self.down_until = time.monotonic() + RESTART_SECONDS

    async def release(self, request: Request) -> Response:
        """Cancel an ended program's requests and free its cached blocks; idempotent."""
        body = orjson.loads(await request.read() or b"{}")
        program = body["program"]
        for key, stream in list(self.streams.items()):
            if stream.request.program == program and not stream.request.is_done:
                self.model.cancel(key)
                stream.broken = True
                stream.notify_readers()
        freed = self.model.cache.release(program)
        return reply_json(200, {"freed": freed, "boot": self.boot})

    async def export_cache(self, request: Request) -> Response:
        """Return a program's cached blocks as `[chain, tokens]`, least recently used first."""
        program = orjson.loads(await request.read() or b"{}")["program"]
        blocks = [
            [chain, cached.tokens]
            for chain, cached in self.model.cache.blocks.items()
            if program in cached.programs
        ]
        return reply_json(200, {"program": program, "blocks": blocks})

    async def import_cache(self, request: Request) -> Response:
        """Insert blocks that another engine exported into the cache."""
        body = orjson.loads(await request.read() or b"{}")
        blocks = [Block(chain, tokens) for chain, tokens in reversed(body["blocks"])]
        self.model.cache.insert(blocks, body["program"])
        return reply_json(200, {"tokens": sum(block.tokens for block in blocks)})

    async def accept_order(self, request: Request) -> Response:
        """Apply an order; 409 for an outdated fencing number if the engine checks them."""
        try:
            order = from_json(orjson.loads(await request.read() or b""), Order)
        except Exception as error:
            return reply_json(400, {"error": explain_error(error)})
        if self.fencing_checked and order.fencing < self.fencing:
            return reply_json(409, {"error": "old fencing number", "fencing": self.fencing})
        self.fencing = max(self.fencing, order.fencing)
        self.orders[order.kind] = order.value
        return reply_json(200, {"orders": self.orders, "fencing": self.fencing})

    async def read_orders(self, request: Request) -> Response:
        """Return the current orders and the highest fencing number seen."""
        return reply_json(200, {"orders": self.orders, "fencing": self.fencing})

    async def set_fault(self, request: Request) -> Response:
        """Crash, freeze for some seconds, or start or stop leaving."""
        body = orjson.loads(await request.read() or b"{}")
        match body.get("kind"):
            case "crash":
                self._crash()
            case "freeze":
                self.frozen_until = time.monotonic() + float(body.get("seconds", 1.0))
            case "leaving":
                self.leaving = True
            case "serving":
                self.leaving = False
            case other:
                return reply_json(400, {"error": f"unknown fault {other!r}"})
        return reply_json(200, {"kind": body["kind"]})

    async def read_load(self, request: Request) -> Response:
        """Return the load of `LOAD_LAG_SECONDS` ago."""
        if time.monotonic() < self.down_until:
            return reply_json(503, {"error": "restarting"})
        cutoff = time.monotonic() - LOAD_LAG_SECONDS
        visible = [load for at, load in self.load_history if at <= cutoff]
        load = visible[-1] if visible else {"running": 0, "waiting": 0, "slots": self.profile.slots}
        return reply_json(200, {**load, "boot": self.boot, "leaving": self.leaving})

    async def read_events(self, request: Request) -> Response:
        """Return cache events after a sequence number, delayed and with some missing."""
        values = request.query.get("after")
        after = int(values[0]) if values else 0
        cutoff = time.monotonic() - EVENT_LAG_SECONDS
        events = [
            event
            for at, event in self.events[after:]
            if at <= cutoff and event["sequence"] % EVENT_DROP_INTERVAL
        ]
        return reply_json(200, {"events": events, "boot": self.boot})

    async def read_memory(self, request: Request) -> Response:
        """Return the currently cached tokens of each program."""
        held = self.model.cache.count_tokens_by_program()
        rows = [{"program": program, "tokens": tokens} for program, tokens in held.items()]
        return reply_json(200, rows)

    async def check_health(self, request: Request) -> Response:
        """Return the liveness state, even during a simulated crash."""
        return reply_json(200, {"state": "alive", "boot": self.boot, "orders": self.orders})


def _usage(request: EngineRequest) -> dict[str, int]:
    return {
        "prompt_tokens": request.prompt_tokens,
        "cached_tokens": request.cached,
        "completion_tokens": request.length - request.skip,
    }


def _delta_chunk(text: str) -> dict[str, Any]:
    return {"choices": [{"index": 0, "delta": {"content": text}}]}


def _completion_body(request: EngineRequest) -> dict[str, Any]:
    message = {"role": "assistant", "content": request.answer_text()}
    return {"choices": [{"index": 0, "message": message}], "usage": _usage(request)}


def _encode_event(body: dict[str, Any]) -> bytes:
    return b"data: " + orjson.dumps(body) + b"\n\n"

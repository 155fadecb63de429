"""Stand-ins of the platform with its protocol: store, workers and callers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import sys
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, unquote

import orjson
from attrs import Factory, define

from egretford.clock import SystemClock
from egretford.http.client import BodyEnd, BodyPart, ClientConnection
from egretford.http.limits import RequestLimits, ServerCapacity
from egretford.http.messages import Headers, HttpRequest, encode_head, encode_status_line
from egretford.http.responder import Responder
from egretford.http.server import HttpServer

# Objects on one page of a listing.
PAGE_SIZE = 50
# Time after a response at which a copy of it is sent, in seconds.
COPY_DELAY_SECONDS = 0.02
# With this value of SO_LINGER, closing a socket sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class NullLog:
    def __getattr__(self, _):
        return lambda *args, **fields: None


def send_json(responder: Responder, status: int, body) -> None:
    responder.send_response(
        status, Headers([(b"Content-Type", b"application/json")]), orjson.dumps(body)
    )


def send_raw(responder: Responder, data: bytes, end: str) -> bool:
    """Write `data` as it is and end the connection; `end` is "close" or "reset"."""
    connection = responder._connection
    connection.write(data)
    responder.finished = connection.close_after_response = True
    if end == "reset":
        sock = connection._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.abort()
    return True


class ListeningStandin:
    """An HTTP server on a free port of the loopback address; subclasses define `handle`."""

    def __init__(self) -> None:
        limits = RequestLimits(idle_timeout=60)
        # Those that the stand-ins stand for have no such limits.
        capacity = ServerCapacity(unread_bytes=sys.maxsize)
        self.server = HttpServer(self.handle, limits, SystemClock(), NullLog(), capacity)

    async def start(self) -> None:
        await self.server.start("127.0.0.1:0")

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server.port}"

    async def close(self) -> None:
        await self.server.close()


class StoreStandin(ListeningStandin):
    """Objects by kind and name, with one revision counter, conditional writes and watches.

    `down` closes connections without a response. `lose_answers` is the number of writes that take
    effect without a response, `silent_watches` the number of watches without any response.
    `compact` drops all events, so that older watches get 410.
    """

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict] = {}
        self.events: list[tuple[int, str, dict, bool]] = []
        self.revision = 7
        self.oldest = 0
        self.down = False
        self.lose_answers = 0
        self.silent_watches = 0
        self.calls: list[tuple[str, str]] = []
        self._changed = asyncio.Event()
        super().__init__()

    def put(self, kind: str, name: str, spec) -> None:
        known = self.objects.get((kind, name))
        created = known["metadata"]["created_rev"] if known else self.revision + 1
        status = known["status"] if known else None
        self._store(kind, name, spec, status, created)

    def remove(self, kind: str, name: str) -> None:
        item = self.objects.pop((kind, name))
        self.revision += 1
        self._emit(kind, item, True)

    def compact(self) -> None:
        self.events.clear()
        self.oldest = self.revision

    def _store(self, kind, name, spec, status, created) -> dict:
        self.revision += 1
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created_rev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self.objects[kind, name] = item
        self._emit(kind, item, False)
        return item

    def _emit(self, kind: str, item: dict, removed: bool) -> None:
        self.events.append((self.revision, kind, item, removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, http: HttpRequest, responder: Responder) -> None:
        self.calls.append((http.method.decode(), http.target.decode()))
        if self.down:
            responder.abort()
            return
        parts = [unquote(part) for part in http.path.decode().split("/")[3:]]
        query = {k: v[0] for k, v in parse_qs(http.target.partition(b"?")[2].decode()).items()}
        if http.method == b"GET" and len(parts) == 1:
            await self._list_or_watch(parts[0], query, responder)
            return
        status, body = self._apply(http, parts)
        if http.method != b"GET" and self.lose_answers:
            self.lose_answers -= 1
            responder.abort()
            return
        send_json(responder, status, body)

    async def _list_or_watch(self, kind, query, responder) -> None:
        if "watch" in query:
            await self._watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000, responder)
            return
        names = sorted(name for k, name in self.objects if k == kind)
        names = [name for name in names if name > query.get("after", "")]
        items = [self.objects[kind, name] for name in names[:PAGE_SIZE]]
        body = {
            "items": items,
            "more_pages": len(names) > PAGE_SIZE,
            "store_revision": self.revision,
        }
        send_json(responder, 200, body)

    async def _watch(self, kind, since, seconds, responder) -> None:
        if self.silent_watches:
            self.silent_watches -= 1
            await asyncio.sleep(30)
        if since < self.oldest:
            send_json(responder, 410, {})
            return
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while True:
            found = [e for e in self.events if e[0] > since and e[1] == kind]
            if found or loop.time() >= end or self.down:
                break
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), end - loop.time())
        if self.down:
            responder.abort()
            return
        events = [{"object": item, "removed": removed} for _, _, item, removed in found]
        send_json(responder, 200, {"events": events, "store_revision": self.revision})

    def _apply(self, http: HttpRequest, parts: list[str]):
        body = orjson.loads(http.body) if http.body else {}
        metadata = body.get("metadata", {})
        match http.method, parts:
            case b"POST", [kind]:
                name = metadata["name"]
                if (kind, name) in self.objects:
                    return 409, self.objects[kind, name]
                return 200, self._store(kind, name, body.get("spec"), None, self.revision + 1)
            case _, [kind, name, *rest] if (kind, name) in self.objects:
                known = self.objects[kind, name]
                if http.method == b"GET":
                    return 200, known
                if metadata.get("revision") not in (None, known["metadata"]["revision"]):
                    return 409, known
                created = known["metadata"]["created_rev"]
                if rest == ["status"]:
                    return 200, self._store(kind, name, known["spec"], body["status"], created)
                return 200, self._store(kind, name, body["spec"], known["status"], created)
        return 404, {}


@define
class Arrival:
    """A request that a worker received; `completed` is set once its response was complete."""

    request_id: str
    body: bytes
    headers: Headers
    http: HttpRequest
    worker: str = ""
    completed: bool = False


Script = Callable[["WorkerStandin", Arrival, Responder], Awaitable[bool]]


class WorkerStandin(ListeningStandin):
    """A worker: an engine streams `events` events, any other worker sends a plain response.

    `script` runs first; if it returns True, it has handled the request. `version` and `born` are
    what the process says of itself, which its entry in the list may not say yet. With `leaving`,
    all responses say so, except those that a script builds without `make_headers`.
    """

    def __init__(self, worker_id: str, upstream: str, zone: str, *, engine: bool) -> None:
        self.id = worker_id
        self.upstream = upstream
        self.zone = zone
        self.engine = engine
        self.events = 4
        self.version = "v1"
        self.born = 1000
        self.report_delay = 0.0
        self.report_fields: list[tuple[bytes, bytes]] = []
        # The status of a report that is sent twice, the second time with the next response.
        self.doubled_report: int | None = None
        self.script: Script | None = None
        self.leaving = False
        self.arrivals: list[Arrival] = []
        super().__init__()

    def describe(self, phase: str = "ready") -> dict:
        return {
            "backend": self.upstream,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 8,
            "phase": phase,
            "cold_remaining_ms": 0,
            "call_seq": 0,
            "born": self.born,
        }

    async def handle(self, http: HttpRequest, responder: Responder) -> None:
        if http.path == b"/v1/report":
            await asyncio.sleep(self.report_delay)
            await self._send_report(responder)
            return
        request_id = http.headers.get_text(b"Request-Id") or ""
        expected = http.headers.get_text(b"Expect-Instance")
        if expected not in (None, self.id):
            headers = self.make_headers((b"Instance-Id", self.id.encode()))
            responder.send_response(421, headers, b"")
            return
        arrival = Arrival(request_id, http.body, http.headers, http, self.id)
        self.arrivals.append(arrival)
        if self.script is not None and await self.script(self, arrival, responder):
            return
        if self.engine:
            await self.stream(arrival, responder)
        else:
            responder.send_response(200, self.sign(request_id), b"done " + request_id.encode())
            arrival.completed = True

    async def _send_report(self, responder: Responder) -> None:
        body = orjson.dumps({"born": self.born, "running": 0})
        if self.doubled_report is not None:
            copy = encode_head(encode_status_line(self.doubled_report), [(b"Content-Length", b"2")])
            loop, connection = asyncio.get_running_loop(), responder._connection
            loop.call_later(COPY_DELAY_SECONDS, connection.write, copy + b"{}")
            send_json(responder, self.doubled_report, {})
            return
        fields = [(b"Content-Type", b"application/json"), *self.report_fields]
        responder.send_response(200, Headers(fields), body)

    def sign(self, request_id: str) -> Headers:
        return self.make_headers(
            (b"Request-Id", request_id.encode()),
            (b"Response-Signature", b"sig." + self.id.encode()),
            (b"Server-Load", b"1,0,8"),
        )

    def make_headers(self, *fields: tuple[bytes, bytes]) -> Headers:
        """Return header fields, with the one of a leaving worker if this one is leaving."""
        return Headers([*fields, *([(b"Server-Leaving", b"1")] if self.leaving else [])])

    async def stream(self, arrival: Arrival, responder: Responder, upto: int | None = None) -> None:
        """Stream events after `Last-Event-Id`; with `upto`, abort before that event."""
        first = int(arrival.headers.get_text(b"Last-Event-Id") or 0) + 1
        responder.start_stream(200, self.sign(arrival.request_id))
        for number in range(first, self.events + 1):
            if number == upto:
                responder.abort()
                return
            await responder.write(make_event(number))
            await asyncio.sleep(0)
        responder.finish_stream()
        arrival.completed = True


def make_event(number: int) -> bytes:
    return b"id: %d\ndata: word %d\n\n" % (number, number)


def join_events(count: int) -> bytes:
    """Return the text that is stored for a complete response of `count` events."""
    return b"".join(b"word %d\n" % number for number in range(1, count + 1))


@define
class Answer:
    """A response as its caller received it; `is_complete` is False if it was cut off."""

    status: int
    headers: Headers
    body: bytes
    is_complete: bool = True


@define
class Caller:
    """Sends requests, each on a new connection unless `connection` is given."""

    address: str
    count: int = 0
    connections: list[ClientConnection] = Factory(list)

    async def ask(
        self,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"",
        host: str = "farm.example",
        request_id: str | None = None,
        deadline_ms: int = 3000,
        connection: ClientConnection | None = None,
        read: Callable[[ClientConnection], Awaitable[Answer]] | None = None,
        **fields: str,
    ) -> Answer:
        """Send a request and return its answer, as read by `read` or in whole."""
        self.count += 1
        headers = [
            (b"Host", host.encode()),
            (b"Request-Id", (request_id or f"r{self.count:04d}").encode()),
            (b"Deadline-Ms", str(deadline_ms).encode()),
        ]
        headers += [(k.replace("_", "-").encode(), v.encode()) for k, v in fields.items()]
        headers.append((b"Content-Length", str(len(body)).encode()))
        own = connection is None
        if own:
            connection = await ClientConnection.open(self.address, 1.0)
        connection.send(encode_head(f"{method} {path} HTTP/1.1".encode(), headers) + body)
        try:
            return await (read or read_answer)(connection)
        finally:
            connection.finish(0.0)
            if own:
                connection.close()


async def read_answer(connection: ClientConnection) -> Answer:
    head = await asyncio.wait_for(connection.read(), 10)
    parts: list[bytes] = []
    try:
        while not isinstance(event := await asyncio.wait_for(connection.read(), 10), BodyEnd):
            if isinstance(event, BodyPart):
                parts.append(event.data)
    except Exception:
        return Answer(head.status, head.headers, b"".join(parts), is_complete=False)
    return Answer(head.status, head.headers, b"".join(parts))

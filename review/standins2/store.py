"""A stand-in of the platform's metadata store."""

from __future__ import annotations

import asyncio
import contextlib
import json
from urllib.parse import parse_qs, unquote

from review.standins2.wire import BrokenError, Message, encode, read_message, reset

PAGE = 500


class Store:
    """Objects by kind and name with one revision counter, conditional writes and watches.

    `refused` has the IP addresses of machines that it turns away with 503, `silent` those that it
    does not answer at all.
    """

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict] = {}
        self.events: list[tuple[int, str, dict, bool]] = []
        self.revision = 7
        self.refused: set[str] = set()
        self.silent: set[str] = set()
        self.down = False
        self.calls = 0
        self.on_write = None
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str, port: int) -> None:
        """Listen on an address."""
        self.address = f"{ip}:{port}"
        self._server = await asyncio.start_server(self._serve, ip, port, limit=8_000_000)

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

    def put(self, kind: str, name: str, spec) -> dict:
        """Create or replace an object, as the operator or a worker does."""
        known = self.objects.get((kind, name))
        status = known["status"] if known else None
        return self._set(kind, name, spec, status)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._emit(kind, item, True)

    def get(self, kind: str, name: str) -> dict | None:
        """Return an object, None if there is none."""
        return self.objects.get((kind, name))

    def _set(self, kind: str, name: str, spec, status) -> dict:
        known = self.objects.get((kind, name))
        if known and known["spec"] == spec and known["status"] == status:
            return known
        self.revision += 1
        created = known["metadata"]["created_rev"] if known else self.revision
        metadata = {"name": name, "revision": self.revision, "created_rev": created}
        metadata |= {"finalizers": [], "deleting": False}
        item = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[kind, name] = item
        self._emit(kind, item, False)
        return item

    def _emit(self, kind: str, item: dict, removed: bool) -> None:
        self.events.append((self.revision, kind, item, removed))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def set_down(self, down: bool) -> None:
        """Begin or end an outage for all; open connections are reset."""
        self.down = down
        self._wake()
        if down:
            for writer in list(self._writers):
                reset(writer)

    async def _serve(self, reader, writer) -> None:
        peer = writer.get_extra_info("peername")[0]
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if self.down:
                    reset(writer)
                    return
                if peer in self.silent:
                    await asyncio.sleep(3600)
                if peer in self.refused:
                    writer.write(encode("HTTP/1.1 503 Busy", {}, b""))
                    continue
                self.calls += 1
                status, value = await self._answer(request)
                if self.down:
                    reset(writer)
                    return
                body = json.dumps(value).encode()
                line = f"HTTP/1.1 {status} Done"
                writer.write(encode(line, {"Content-Type": "application/json"}, body))
                await writer.drain()
        except (BrokenError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message):
        path, _, text = request.target.partition("?")
        parts = [unquote(part) for part in path.split("/")[3:]]
        query = {name: values[0] for name, values in parse_qs(text).items()}
        if request.method == "GET" and len(parts) == 1:
            if "watch" in query:
                return await self._watch(parts[0], int(query["watch"]), int(query["wait_ms"]))
            return 200, self._list(parts[0], query.get("after", ""))
        body = json.loads(request.body) if request.body else {}
        status, value = self._apply(request.method, parts, body)
        if request.method != "GET" and self.on_write is not None:
            self.on_write(request.method, parts, status)
        return status, value

    def _list(self, kind: str, after: str) -> dict:
        names = sorted(name for k, name in self.objects if k == kind and name > after)
        items = [self.objects[kind, name] for name in names[:PAGE]]
        more = len(names) > PAGE
        return {"items": items, "more_pages": more, "store_revision": self.revision}

    async def _watch(self, kind: str, since: int, wait_ms: int):
        end = asyncio.get_running_loop().time() + wait_ms / 1000
        while True:
            found = [e for e in self.events if e[0] > since and e[1] == kind]
            left = end - asyncio.get_running_loop().time()
            if found or left <= 0 or self.down:
                events = [{"object": item, "removed": removed} for _, _, item, removed in found]
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _apply(self, method: str, parts: list[str], body: dict):
        metadata = body.get("metadata") or {}
        if method == "POST" and len(parts) == 1:
            kind, name = parts[0], metadata["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 201, self._set(kind, name, body.get("spec"), None)
        known = self.objects.get((parts[0], parts[1]))
        if known is None:
            return 404, {}
        if method == "GET":
            return 200, known
        if metadata.get("revision") not in (None, known["metadata"]["revision"]):
            return 409, known
        if method == "DELETE":
            self.remove(parts[0], parts[1])
            return 200, known
        if parts[2:] == ["status"]:
            return 200, self._set(parts[0], parts[1], known["spec"], body.get("status"))
        return 200, self._set(parts[0], parts[1], body.get("spec"), known["status"])

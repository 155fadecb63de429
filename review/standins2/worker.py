"""A stand-in of a worker: it streams events or sends plain answers, and keeps a record."""

from __future__ import annotations

import asyncio
import json
import time

from review.standins2.wire import BrokenError, Message, encode, encode_chunk, read_message, reset

SLOTS = 8


class Worker:
    """One worker process; `stop` with `crash` resets all connections and closes its port.

    `plan` is called with each request that it accepts, and may return "crash" to crash at its
    first event, "lose" to run it and reset the connection, or "shed" to refuse it.
    """

    def __init__(self, name: str, service: str, zone: str, ip: str, port: int, record, **more):
        self.name, self.service, self.zone = name, service, zone
        self.ip, self.port = ip, port
        self.record = record
        self.engine = more.get("engine", False)
        self.slots = more.get("slots", SLOTS)
        self.events = more.get("events", 4)
        self.event_seconds = more.get("event_seconds", 0.01)
        self.work_seconds = more.get("work_seconds", 0.02)
        self.plan = more.get("plan", lambda worker, request: "")
        self.on_crash = more.get("on_crash", lambda worker: None)
        self.running = 0
        self.born = 0
        self.is_up = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """Return its address, IP:PORT."""
        return f"{self.ip}:{self.port}"

    def describe(self, phase: str = "ready") -> dict:
        """Return its entry in the list of workers."""
        return {
            "backend": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "phase": phase,
            "cold_remaining_ms": 0,
            "call_seq": 0,
            "born": self.born,
        }

    async def start(self) -> None:
        """Listen; each start is a new process of the worker."""
        self.born = int(time.time() * 1000)
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=8_000_000, reuse_address=True
        )
        self.is_up = True

    def crash(self) -> None:
        """End as a killed process does: the port closes and all connections are reset."""
        if not self.is_up:
            return
        self.is_up = False
        self._server.close()
        for writer in list(self._writers):
            reset(writer)
        for task in list(self._tasks):
            task.cancel()
        self.running = 0
        self.on_crash(self)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while (request := await read_message(reader)) is not None:
                await self._answer(request, writer)
                await writer.drain()
        except (BrokenError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    def _sign(self, request: Message) -> dict[str, str]:
        return {
            "Request-Id": request.get("request-id"),
            "Response-Signature": f"sig.{self.name}.{request.get('request-id')}",
            "Server-Load": f"{self.running},0,{self.slots}",
        }

    async def _answer(self, request: Message, writer) -> None:
        if request.target == "/v1/report":
            report = {"stage": "hybrid", "models": [], "busy": False, "call_seq": 0, "queued": 0}
            report |= {"running": self.running, "born": self.born}
            fields = {"Content-Type": "application/json"}
            writer.write(encode("HTTP/1.1 200 OK", fields, json.dumps(report).encode()))
            return
        if request.target == "/healthz":
            writer.write(encode("HTTP/1.1 200 OK", {"Instance-Id": self.name}))
            return
        if request.get("expect-instance", self.name) != self.name:
            fields = {"Instance-Id": self.name, "Request-Id": request.get("request-id")}
            writer.write(encode("HTTP/1.1 421 Misdirected Request", fields))
            return
        choice = self.plan(self, request)
        if choice == "shed" or self.running >= self.slots:
            fields = {"Not-Executed": "1", "Request-Id": request.get("request-id")}
            writer.write(encode("HTTP/1.1 503 Service Unavailable", fields))
            return
        self.running += 1
        self.record("run", id=request.get("request-id"), worker=self.name, target=request.target)
        try:
            if self.engine:
                await self._stream(request, writer, choice)
            else:
                await self._send(request, writer, choice)
        finally:
            self.running = max(0, self.running - 1)

    async def _send(self, request: Message, writer, choice: str) -> None:
        await asyncio.sleep(self.work_seconds)
        if choice == "crash":
            self.crash()
            raise BrokenError("crashed")
        if choice == "lose":
            reset(writer)
            raise BrokenError("lost")
        body = b"done " + request.get("request-id").encode()
        writer.write(encode("HTTP/1.1 200 OK", self._sign(request), body))

    async def _stream(self, request: Message, writer, choice: str) -> None:
        fields = self._sign(request) | {"Content-Type": "text/event-stream"}
        fields["Transfer-Encoding"] = "chunked"
        first = int(request.get("last-event-id", "0")) + 1
        if choice == "crash":
            await asyncio.sleep(self.event_seconds)
            self.crash()
            raise BrokenError("crashed")
        writer.write(encode("HTTP/1.1 200 OK", fields, None))
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_seconds)
            text = f"word-{request.get('request-id')}-{number}"
            writer.write(encode_chunk(f"id: {number}\ndata: {text}\n\n".encode()))
            await writer.drain()
            if choice == "lose" and number == 2:
                reset(writer)
                raise BrokenError("lost")
        writer.write(b"0\r\n\r\n")

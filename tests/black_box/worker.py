"""A worker that registers itself, serves requests and misbehaves by seeded chance."""

import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
import time
from typing import Any

import wire
from attrs import define, field

FAILURES = ("errors", "garbled", "head", "lost", "reset")
COMMON = (*FAILURES, "extra", "late", "shed")
STREAMS = ("cut", "silent", "preempted", "text", "skip", "later", "truncate", "unframed", "surplus")
PAUSES = {"silent": (1, 3), "preempted": (0.3, 1.5)}
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
TEXTS = (
    b"upstream exhausted\n\n",
    b'{"error": "oom"}\n',
    b"<html>busy</html>",
    b"???\r\n\r\n",
    HEAD,
)


@define(eq=False)
class Request:
    channel: wire.Channel
    method: str
    path: str
    headers: dict[str, str]
    id: str
    body: bytes = b""
    trouble: str = ""
    run: str = ""
    how: str = "dropped"
    answering: bool = False
    sent: list[str] = field(factory=list)


@define(eq=False)
class Worker:
    options: argparse.Namespace
    rng: random.Random
    slots: asyncio.Semaphore
    born: int = field(factory=lambda: time.time_ns() // 1_000_000)
    phase: str = "ready"
    weights: int = 1
    waiting: int = 0
    runs: dict[str, Request] = field(factory=dict)
    late: dict[wire.Channel, bytes] = field(factory=dict)
    channels: dict[wire.Channel, asyncio.Task] = field(factory=dict)
    registering: asyncio.Lock = field(factory=asyncio.Lock)

    def describe(self) -> dict[str, Any]:
        models = [{"name": "m", "version": self.weights, "adapters": []}]
        engine = {"stage": "hybrid", "models": models} if self.options.engine else {}
        return {"phase": self.phase, "born": self.born, "call_seq": 0, **engine}

    async def register(self) -> bool:
        o, path = self.options, "/v1/objects/servers"
        async with self.registering:
            spec = {"backend": o.service, "address": o.address, "zone": o.zone, "slots": o.slots}
            spec |= {"version": o.version, "cold_remaining_ms": 0, **self.describe()}
            entry = {"metadata": {"name": o.id}, "spec": spec}
            with contextlib.suppress(*wire.BROKEN):
                status = await wire.call_store(o.store, "PUT", f"{path}/{o.id}", entry)
                if status == 404:
                    status = await wire.call_store(o.store, "POST", path, entry)
                return status in (200, 201)
        return False

    async def keep_registered(self) -> None:
        while True:
            await self.register()
            await asyncio.sleep(self.options.heartbeat_ms / 1000)

    async def leave(self, heartbeat: asyncio.Task) -> None:
        o, self.phase = self.options, "draining"
        while not await self.register():
            await asyncio.sleep(0.1)
        await asyncio.sleep(o.drain_ms / 1000 + self.rng.uniform(0.2, 1))
        heartbeat.cancel()
        with contextlib.suppress(*wire.BROKEN):
            await wire.call_store(o.store, "DELETE", f"/v1/objects/servers/{o.id}")

    async def serve_channel(self, reader: Any, writer: Any) -> None:
        channel, keep = wire.Channel(reader, writer), True
        self.channels[channel] = asyncio.current_task()
        with contextlib.suppress(*wire.BROKEN):
            while keep:
                start, headers = await asyncio.wait_for(channel.read_head(), self.options.idle_s)
                method, path, _ = start.split(" ")
                request_id = headers.get("request-id", "")
                keep = await self.serve(Request(channel, method, path, headers, request_id))
        self.late.pop(channel, None)
        del self.channels[channel]
        channel.close()

    async def close_channels(self) -> None:
        # Connections that were just accepted appear by then.
        await asyncio.sleep(0.05)
        for channel in self.channels:
            channel.close()
        if self.channels:
            await asyncio.wait(self.channels.values(), timeout=1)

    async def serve(self, request: Request) -> bool:
        headers, health, keep = request.headers, request.path == "/healthz", True
        own = request.path.startswith("/v1/")
        request.trouble = "" if own or health else self.draw_trouble(headers)
        refused = {"Not-Executed": 1, "Instance-Id": self.options.id}
        if request.trouble == "early":
            keep = await self.respond(request, self.rng.choice((503, 400)), refused)
        request.body = await request.channel.read_body(headers)
        if own:
            return await self.answer_call(request)
        if not health:
            content = wire.digest_content(request.method, request.path, request.body)
            seen = {"method": request.method, "path": request.path, "headers": headers}
            body = request.body[:2000].decode("utf-8", "replace")
            self.record(request, "request", content=content, body=body, **seen)
        if request.trouble == "early":
            return keep
        request.channel.writer.write(self.late.pop(request.channel, b""))
        wanted = headers.get("expect-instance"), headers.get("expect-version")
        if wanted[0] not in (None, self.options.id) or wanted[1] not in (None, str(self.weights)):
            return await self.respond(request, 421, refused)
        if not request.id and not health:
            return await self.respond(request, 400, refused)
        # No copy of a run's memory is ever kept here.
        full = self.slots.locked() and self.waiting >= self.options.queue
        if full or "kv-from" in headers or request.trouble == "shed":
            return await self.respond(request, 503, refused | {"Retry-After": 0.05})
        work = asyncio.create_task(self.wait_and_run(request, refused))
        watch = asyncio.create_task(self.watch_close(request.channel))
        try:
            await asyncio.wait((work, watch), return_when=asyncio.FIRST_COMPLETED)
            return work.done() and work.result()
        finally:
            work.cancel(), watch.cancel()
            await asyncio.gather(work, watch, return_exceptions=True)
            if self.runs.pop(request.run, None):
                self.record(request, "end", how=request.how, sent=request.sent)

    async def watch_close(self, channel: wire.Channel) -> None:
        with contextlib.suppress(OSError):
            while await channel.fill():
                pass

    def draw_trouble(self, headers: dict[str, str]) -> str:
        point = self.rng.random()
        large = "transfer-encoding" in headers or int(headers.get("content-length", 0)) > 4096
        fits = [*COMMON, *(STREAMS * self.options.engine), *(("early",) * large)]
        for name, share in self.options.troubles.items():
            if (point := point - share) < 0:
                return name if name in fits else ""
        return ""

    def complete_headers(self, request: Request, headers: dict[str, Any]) -> dict[str, Any]:
        headers = {"Keep-Alive": f"timeout={self.options.idle_s}", **headers}
        headers |= {"Request-Id": request.id} if request.id else {}
        headers |= {"Weight-Versions": self.weights} if self.options.engine else {}
        if self.rng.random() < 0.5:
            headers["Server-Load"] = f"{len(self.runs)},{self.waiting},{self.options.slots}"
        if self.phase == "draining":
            return headers | {"Server-Leaving": 1, "Connection": "close"}
        return headers | ({"Connection": "close"} if self.rng.random() < 0.02 else {})

    async def respond(self, request: Request, status: int, headers: Any, body: bytes = b"") -> bool:
        headers = self.complete_headers(request, headers)
        request.channel.writer.write(wire.render_response(status, headers, body))
        await request.channel.writer.drain()
        return "Connection" not in headers

    def record(self, request: Request, kind: str, **fields: Any) -> None:
        o = self.options
        fields |= {"worker": o.id, "pid": os.getpid(), "service": o.service, "run": request.run}
        fields |= {"id": request.id, "trouble": request.trouble}
        wire.append_record(o.record, kind=kind, **fields)

    async def answer_call(self, request: Request) -> bool:
        path = request.path.partition("?")[0]
        runs = [[r.id, len(r.body), len(r.sent), 0] for r in self.runs.values()]
        report = {"busy": False, "queued": self.waiting, "running": len(runs), "runs": runs}
        report |= {"kv_used": sum(run[1] for run in runs), "kv_total": 400_000, **self.describe()}
        report |= dict.fromkeys(("handles", "pinned", "held", "next"), 0)
        memory = {"epoch": self.born, "next": 1}
        answers = {"GET /v1/report": report, "GET /v1/kv-list": memory | {"held": []}}
        answers["GET /v1/kv-events"] = memory | {"lost": False, "events": []}
        document = answers.get(f"{request.method} {path}", {})
        if path == "/v1/kv-events":
            await asyncio.sleep(min(int(request.headers.get("wait-ms", 0)), 1000) / 1000)
        status = 200 if document else 503 if request.method == "POST" else 404
        headers = {"Content-Type": "application/json"}
        return await self.respond(request, status, headers, json.dumps(document).encode())

    async def wait_and_run(self, request: Request, refused: dict[str, Any]) -> bool:
        self.waiting += 1
        held = False
        try:
            async with asyncio.timeout(int(request.headers.get("deadline-ms", 60000)) / 1000):
                try:
                    held = await self.slots.acquire()
                finally:
                    self.waiting -= 1
                return await self.run(request)
        except TimeoutError:
            if not request.run:
                return await self.respond(request, 503, refused)
            request.how = "deadline"
            if not request.answering:
                return await self.respond(request, 504, {})
            request.channel.close(reset=True)
            return False
        finally:
            if held:
                self.slots.release()

    async def run(self, request: Request) -> bool:
        if request.path == "/healthz":
            headers = {"Instance-Id": self.options.id}
            return await self.respond(request, 200 if self.phase == "ready" else 503, headers)
        await asyncio.sleep(self.rng.uniform(0.002, 0.03))
        request.run = os.urandom(6).hex()
        self.runs[request.run] = request
        self.record(request, "begin")
        if self.options.deadly and self.options.deadly in request.path:
            os.kill(os.getpid(), signal.SIGKILL)
        if request.trouble in FAILURES:
            request.how = request.trouble
            if request.trouble == "errors":
                signature = wire.sign(request.run, request.id, 500, b"failed")
                return await self.respond(
                    request, 500, {"Response-Signature": signature}, b"failed"
                )
            junk = {"garbled": self.rng.randbytes(80), "head": HEAD[: self.rng.randint(5, 50)]}
            request.channel.writer.write(junk.get(request.trouble, b""))
            request.channel.close(reset=request.trouble == "reset")
            return False
        keep = await (self.stream(request) if self.options.engine else self.answer_plain(request))
        if request.trouble in ("extra", "late"):
            headers = {"Request-Id": request.id}
            headers["Response-Signature"] = wire.sign("0", request.id, 200, b"again")
            extra = wire.render_response(200, headers, b"again")
            if request.trouble == "late":
                self.late[request.channel] = extra
            else:
                request.channel.writer.write(extra)
        return keep

    async def answer_plain(self, request: Request) -> bool:
        await asyncio.sleep(self.rng.uniform(0.002, 0.03))
        document = {"id": request.id, "run": request.run, "service": self.options.service}
        body = json.dumps(document | {"pad": "x" * self.rng.randint(0, 800)}).encode()
        signature = wire.sign(request.run, request.id, 200, body)
        request.how = "whole"
        return await self.respond(request, 200, {"Response-Signature": signature}, body)

    async def stream(self, request: Request) -> bool:
        rng, o, write = self.rng, self.options, request.channel.writer.write
        trouble = request.trouble
        content = wire.digest_content(request.method, request.path, request.body)
        total = 4 + int(content, 16) % 9
        due = range(int(request.headers.get("last-event-id", 0)) + 1, total + 1)
        numbers = list(due)
        spot = rng.choice(numbers or [0])
        if trouble == "skip" and numbers[1:-1]:
            numbers.remove(rng.choice(numbers[1:-1]))
        elif trouble == "later" and numbers[1:]:
            del numbers[: rng.randint(1, len(numbers) - 1)]
        elif trouble == "truncate":
            numbers = [n for n in numbers if n < spot]
        headers = {"Response-Signature": wire.sign(request.run, request.id, 200)}
        framed = trouble not in ("unframed", "surplus")
        headers |= {"Transfer-Encoding": "chunked"} if framed else {"Connection": "close"}
        headers = self.complete_headers(request, headers | {"Content-Type": "text/event-stream"})
        write(wire.render_head("HTTP/1.1 200 OK", headers))
        request.answering = True
        names = f"service={o.service} worker={o.id} version={o.version} content={content}"
        end, seen = "\r\n" if rng.random() < o.forms else "\n", self.weights
        for n in numbers:
            await asyncio.sleep(rng.uniform(0.005, 0.03))
            self.weights += rng.random() < o.forms * 0.02
            form = rng.choice(("comment", "blank", "tight", "split")) * (rng.random() < o.forms)
            gap = "\n" if form == "split" else " "
            data = f"run={request.run} n={n} of={total}{gap}{names}"
            lines = [f"weight-versions: {self.weights}"] * (seen != self.weights)
            lines += [f"id: {n}", *(f"data: {line}" for line in data.split("\n")), "", ""]
            lines = [line.replace(": ", ":", 1) if form == "tight" else line for line in lines]
            before = {"comment": f": tick{end}{end}", "blank": end}.get(form, "")
            event, seen = (before + end.join(lines)).encode(), self.weights
            if n == spot and trouble in PAUSES:
                await asyncio.sleep(rng.uniform(*PAUSES[trouble]))
            if n == spot and trouble == "text":
                event = rng.choice(TEXTS)
            cut = n == spot and trouble == "cut"
            event = event[: rng.choice((0, rng.randrange(len(event))))] if cut else event
            write(b"%x\r\n%b\r\n" % (len(event), event) if framed and event else event)
            await request.channel.writer.drain()
            if cut:
                request.how = "cut"
                request.channel.close(reset=rng.random() < 0.5)
                return False
            request.sent += [data] if event not in TEXTS else []
        request.how = "whole" if len(request.sent) == len(due) else trouble
        write(b"0\r\n\r\n" if framed else rng.choice(TEXTS) * (trouble == "surplus"))
        return "Connection" not in headers


async def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("id", "service", "address", "zone", "version", "store", "record"):
        parser.add_argument(f"--{name}", required=True)
    numbers = {"seed": 0, "heartbeat-ms": 300, "drain-ms": 2500, "slots": 4, "queue": 4}
    for name, default in (numbers | {"idle-s": 10}).items():
        parser.add_argument(f"--{name}", type=int, default=default)
    parser.add_argument("--engine", action="store_true")
    parser.add_argument("--deadly", default="", help="ends the worker that runs a path with it")
    parser.add_argument("--troubles", default="forms=0.25")
    options = parser.parse_args()
    pairs = [pair.split("=") for pair in options.troubles.split(",")]
    options.troubles = {name: float(share) for name, share in pairs}
    options.forms = options.troubles.pop("forms", 0.25)
    rng = random.Random(f"{options.seed} {options.id}")
    worker = Worker(options, rng, asyncio.Semaphore(options.slots))
    server = await asyncio.start_server(worker.serve_channel, *options.address.split(":"))
    heartbeat = asyncio.create_task(worker.keep_registered())
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    await worker.leave(heartbeat)
    server.close()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(5):
            while worker.runs:
                await asyncio.sleep(0.05)
    # Python 3.11 reports an error for each connection that it cancels as it ends.
    await worker.close_channels()


if __name__ == "__main__":
    asyncio.run(main())

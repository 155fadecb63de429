"""A local deployment of real processes, with helpers for sending requests and injecting faults."""

import asyncio
import importlib.util
import json
import os
import signal
from pathlib import Path

import aiohttp
from attrs import define

ROOT = Path(__file__).resolve().parents[2]
REQUEST_TIMEOUT_SECONDS = 60.0


def _load_script():
    path = ROOT / "scripts" / "local_deployment.py"
    spec = importlib.util.spec_from_file_location("local_deployment", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


local = _load_script()


@define
class Answer:
    """An HTTP response; `body` is parsed if it is JSON, else text."""

    status: int
    body: object
    headers: dict


@define
class Deployment:
    state: Path
    started: dict

    @classmethod
    def start(cls, state: Path, entries: int = 3, deployment: str = "fernhollow") -> "Deployment":
        assert local.start_deployment(state, entries, deployment) == 0
        return cls(state, json.loads((state / "local.json").read_text()))

    def close(self) -> None:
        (self.state / "local.json").write_text(json.dumps(self.started))
        local.stop_deployment(self.state)

    @property
    def entries(self) -> list[str]:
        return [item["url"] for item in self.started["entries"]]

    @property
    def services(self) -> list[str]:
        return [item["url"] for item in self.started["services"]]

    def signal_entry(self, index: int, signal_number: int) -> None:
        os.kill(self.started["entries"][index]["pid"], signal_number)

    def kill_entry(self, index: int) -> None:
        self.signal_entry(index, signal.SIGKILL)

    async def replace_entry(self, index: int) -> None:
        """Shut an entry down gracefully, then start it again."""
        item = self.started["entries"][index]
        await asyncio.to_thread(local.stop_processes, [item["pid"]])
        await self.start_entry(index)

    async def start_entry(self, index: int) -> None:
        item = self.started["entries"][index]
        item["pid"] = local.spawn_entry(self.state, Path(item["settings"]))
        await asyncio.to_thread(local.wait_ready, item, "/readyz")

    async def set_fault(self, url: str, **fault) -> None:
        assert (await self.send("POST", f"{url}/faults", fault)).status == 200

    async def set_service_faults(self, **fault) -> None:
        await asyncio.gather(*(self.set_fault(url, **fault) for url in self.services))

    async def count_effects(self, program: str) -> dict[str, int]:
        """Return the number of effects of each tool call of a program."""
        counts: dict[str, int] = {}
        for url in self.services:
            for row in (await self.send("GET", f"{url}/effects")).body:
                owner, _, call = row["key"].rpartition("/")
                if owner == program:
                    counts[call] = counts.get(call, 0) + row["count"]
        return counts

    async def send(self, method: str, url: str, body=None, headers=None, data=None) -> Answer:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, json=body, data=data, headers=headers) as response,
        ):
            text = await response.text()
            if response.content_type == "application/json":
                return Answer(response.status, json.loads(text), dict(response.headers))
            return Answer(response.status, text, dict(response.headers))

    async def open(self, entry: int = 0, **changes) -> str:
        body = {
            "route": "agent-models",
            "tenant": "family-walks",
            "class": "interactive",
            "budget": {"tokens": 50_000, "calls": 30, "seconds": 300},
            **changes,
        }
        answer = await self.send("POST", f"{self.entries[entry]}/v1/programs", body)
        assert answer.status == 201, answer
        return answer.body["program"]

    async def call(self, program: str, number: int, text: str, entry: int = 0, **changes) -> Answer:
        body = {
            "call": number,
            "kind": "model",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 16,
            **changes,
        }
        url = f"{self.entries[entry]}/v1/programs/{program}/calls"
        return await self.send("POST", url, body)

    async def book(self, program: str, number: int, entry: int = 0, **changes) -> Answer:
        return await self.call(
            program, number, "book a slot", entry, kind="tool", service="booking-app", **changes
        )

"""A caller as firms write them: sends calls again by number until they are settled."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
from attrs import define, frozen

from egretford.errors import EgretfordError
from egretford.policy.history import extend_digest, start_digest

CALL_SECONDS = 30.0
ATTEMPTS = 12
PAUSE_SECONDS = 0.5
TRANSIENT = {"not_ready", "overloaded", "owner_unreachable", "store_unavailable", "timeout"}
MAY_RESEND = TRANSIENT | {"upstream_failed", "out_of_order"}
_NETWORK_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError, ValueError)


class ProgramFailedError(EgretfordError):
    """A program could not be finished; `is_honest` unless an answer was wrong or missing."""

    def __init__(self, message: str, kind: str, verdict: str, is_honest: bool) -> None:
        super().__init__(f"{kind} ({verdict}): {message}")
        self.kind = kind
        self.verdict = verdict
        self.is_honest = is_honest


@frozen
class CallResult:
    """An answer, and how many of its tokens could have been cached but were not."""

    answer: dict[str, Any]
    usage: dict[str, int]
    wasted_tokens: int


class Caller:
    """Sends requests to entries, the next one after each failure."""

    def __init__(self, session: aiohttp.ClientSession, entries: list[str]) -> None:
        self._session = session
        self.cut_off: list[str] = []
        self._entries = entries
        self._turn = 0

    async def open(self, opening: dict[str, Any], key: str) -> CallerProgram:
        """Open a program; safe to repeat by its key."""
        headers = {"Idempotency-Key": key}
        body = await self.send("POST", "/v1/programs", opening, headers)
        return CallerProgram(self, body["program"], start_digest(body["program"]))

    async def send(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Send until there is an answer that another try would not change."""
        last = ProgramFailedError(
            "no entry answered", "unreachable", "may_have_run", is_honest=False
        )
        for _ in range(ATTEMPTS):
            try:
                return await self._send_once(method, path, body, headers)
            except ProgramFailedError as failure:
                if failure.kind not in MAY_RESEND:
                    raise
                last = failure
            except aiohttp.ClientConnectorError as error:
                last = ProgramFailedError(repr(error), "unreachable", "not_run", is_honest=False)
            except _NETWORK_ERRORS as error:
                self.cut_off.append(f"{method} {path}: {error!r}")
                last = ProgramFailedError(
                    repr(error), "unreachable", "may_have_run", is_honest=False
                )
            self._turn += 1
            await asyncio.sleep(PAUSE_SECONDS)
        raise last

    async def _send_once(
        self, method: str, path: str, body: Any, headers: dict[str, str] | None
    ) -> Any:
        url = self._entries[self._turn % len(self._entries)] + path
        timeout = aiohttp.ClientTimeout(total=CALL_SECONDS + 10, sock_connect=2)
        async with self._session.request(
            method, url, json=body, headers=headers, timeout=timeout
        ) as response:
            answer = await response.json()
        if response.status < 300:
            return answer
        error = answer["error"]
        raise ProgramFailedError(error["message"], error["kind"], answer["verdict"], is_honest=True)


@define
class CallerProgram:
    """A program as its caller sees it; keeps the digest chain itself."""

    caller: Caller
    id: str
    digest: str
    last_call: int = 0
    reusable_tokens: int = 0
    children: int = 0

    async def call(self, body: dict[str, Any]) -> CallResult:
        """Run the next call and check that its answer extends the shared history."""
        number = self.last_call + 1
        whole = {**body, "call": number, "digest": self.digest, "timeout_seconds": CALL_SECONDS}
        reply = await self.caller.send("POST", f"/v1/programs/{self.id}/calls", whole)
        expected = extend_digest(self.digest, body["messages"], reply["answer"])
        if (reply["program"], reply["call"], reply["digest"]) != (self.id, number, expected):
            raise ProgramFailedError(
                f"call {number}: {reply}", "wrong_answer", "ran", is_honest=False
            )
        self.last_call, self.digest = number, expected
        return self._count(reply)

    def _count(self, reply: dict[str, Any]) -> CallResult:
        usage = reply["usage"]
        wasted = 0
        if usage["prompt"]:
            wasted = max(0, min(self.reusable_tokens, usage["prompt"]) - usage["cached"])
            self.reusable_tokens = usage["prompt"] + usage["completion"]
        return CallResult(reply["answer"], usage, wasted)

    async def open_child(self, opening: dict[str, Any]) -> CallerProgram:
        """Open a sub-agent's program."""
        self.children += 1
        key = f"{self.id}/child-{self.children}"
        return await self.caller.open({**opening, "parent": self.id}, key)

    async def end(self) -> None:
        """End the program."""
        await self.caller.send("DELETE", f"/v1/programs/{self.id}")

    async def abandon(self) -> None:
        """End the program if an entry can be reached."""
        try:
            await self.end()
        except ProgramFailedError:
            return

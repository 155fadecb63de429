"""HTTP client that retries each call under the same number until it has a final result."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
from attrs import define, frozen

from egretford.errors import EgretfordError
from egretford.policy.history import extend_digest, start_digest

CALL_SECONDS = 30.0
MAX_ATTEMPTS = 12
RETRY_DELAY_SECONDS = 0.5
TRANSIENT_KINDS = {"not_ready", "overloaded", "owner_unreachable", "store_unavailable", "timeout"}
# Resending is safe even if the request ran: its call number or key makes it idempotent.
RETRYABLE_KINDS = TRANSIENT_KINDS | {"upstream_failed", "out_of_order"}
_NETWORK_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError, ValueError)


class ProgramFailedError(EgretfordError):
    """A program failed; `is_error_reply` is true if an entry answered with an error."""

    def __init__(self, message: str, kind: str, verdict: str, is_error_reply: bool) -> None:
        super().__init__(f"{kind} ({verdict}): {message}")
        self.kind = kind
        self.verdict = verdict
        self.is_error_reply = is_error_reply


@frozen
class CallResult:
    """An answer, and how many of its prompt tokens could have been cached but were not."""

    answer: dict[str, Any]
    usage: dict[str, int]
    wasted_tokens: int


class Caller:
    """Sends requests to one of several entries and switches to the next one on each failure.

    `cut_off` lists requests whose connection broke or whose answer was invalid.
    """

    def __init__(self, session: aiohttp.ClientSession, entries: list[str]) -> None:
        self._session = session
        self.cut_off: list[str] = []
        self._entries = entries
        self._entry_index = 0

    async def open(self, opening: dict[str, Any], key: str) -> CallerProgram:
        """Open a program; a retry with the same idempotency key does not open a second one."""
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
        """Send a request, with retries, and return the answer; raises ProgramFailedError."""
        last_error = ProgramFailedError(
            "no entry answered", "unreachable", "may_have_run", is_error_reply=False
        )
        for _ in range(MAX_ATTEMPTS):
            try:
                return await self._send_once(method, path, body, headers)
            except ProgramFailedError as failure:
                if failure.kind not in RETRYABLE_KINDS:
                    raise
                last_error = failure
            except aiohttp.ClientConnectorError as error:
                last_error = ProgramFailedError(
                    repr(error), "unreachable", "not_run", is_error_reply=False
                )
            except _NETWORK_ERRORS as error:
                self.cut_off.append(f"{method} {path}: {error!r}")
                last_error = ProgramFailedError(
                    repr(error), "unreachable", "may_have_run", is_error_reply=False
                )
            self._entry_index += 1
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        raise last_error

    async def _send_once(
        self, method: str, path: str, body: Any, headers: dict[str, str] | None
    ) -> Any:
        url = self._entries[self._entry_index % len(self._entries)] + path
        timeout = aiohttp.ClientTimeout(total=CALL_SECONDS + 10, sock_connect=2)
        async with self._session.request(
            method, url, json=body, headers=headers, timeout=timeout
        ) as response:
            answer = await response.json()
        if response.status < 300:
            return answer
        error = answer["error"]
        raise ProgramFailedError(
            error["message"], error["kind"], answer["verdict"], is_error_reply=True
        )


@define
class CallerProgram:
    """Client side of one program; computes the digest chain itself to verify the answers."""

    caller: Caller
    id: str
    digest: str
    last_call: int = 0
    cacheable_tokens: int = 0
    child_count: int = 0

    async def call(self, body: dict[str, Any]) -> CallResult:
        """Run the next call and check that its answer extends the shared history.

        Raises ProgramFailedError, also if the answer has another program, call number or digest.
        """
        number = self.last_call + 1
        request = {**body, "call": number, "digest": self.digest, "timeout_seconds": CALL_SECONDS}
        reply = await self.caller.send("POST", f"/v1/programs/{self.id}/calls", request)
        expected = extend_digest(self.digest, body["messages"], reply["answer"])
        if (reply["program"], reply["call"], reply["digest"]) != (self.id, number, expected):
            raise ProgramFailedError(
                f"call {number}: {reply}", "wrong_answer", "ran", is_error_reply=False
            )
        self.last_call, self.digest = number, expected
        return self._build_result(reply)

    def _build_result(self, reply: dict[str, Any]) -> CallResult:
        usage = reply["usage"]
        wasted_tokens = 0
        if usage["prompt"]:
            wasted_tokens = max(0, min(self.cacheable_tokens, usage["prompt"]) - usage["cached"])
            self.cacheable_tokens = usage["prompt"] + usage["completion"]
        return CallResult(reply["answer"], usage, wasted_tokens)

    async def open_child(self, opening: dict[str, Any]) -> CallerProgram:
        """Open a program for a sub-agent, as a child of this one."""
        self.child_count += 1
        key = f"{self.id}/child-{self.child_count}"
        return await self.caller.open({**opening, "parent": self.id}, key)

    async def end(self) -> None:
        """End the program; retried like any request."""
        await self.caller.send("DELETE", f"/v1/programs/{self.id}")

    async def abandon(self) -> None:
        """End the program, ignoring failures to do so."""
        try:
            await self.end()
        except ProgramFailedError:
            return

"""A scenario's caller: retries calls under the same number and records every response."""

import asyncio
from typing import Any

from attrs import Factory, define

from egretford.errors import ErrorKind, RequestError, Verdict
from egretford.models import Budget, CallKind, CallOutcome, CallRequest, OpenRequest, Urgency
from egretford.policy.history import extend_digest, start_digest
from egretford.policy.steps import CallProgress
from tests.faults.world import Host, World

CALL_TIMEOUT_SECONDS = 20.0
MAX_ATTEMPTS = 10
RETRYABLE_KINDS = {
    ErrorKind.NOT_READY,
    ErrorKind.OVERLOADED,
    ErrorKind.OWNER_UNREACHABLE,
    ErrorKind.STORE_UNAVAILABLE,
    ErrorKind.TIMEOUT,
    ErrorKind.UPSTREAM_FAILED,
    ErrorKind.OUT_OF_ORDER,
}


class ConnectionLostError(Exception):
    """The entry died or did not answer in time."""


@define
class Refusal:
    """A refusal of one call, and whether the call had been dispatched by then."""

    program: str
    call: int
    verdict: Verdict
    kind: ErrorKind | None
    was_dispatched: bool


@define
class Ledger:
    """All responses that callers received in a scenario."""

    refusals: list[Refusal] = Factory(list)
    outcomes: list[CallOutcome] = Factory(list)
    errors: list[str] = Factory(list)
    violations: list[str] = Factory(list)
    root_programs: dict[str, str] = Factory(dict)
    ended_programs: list[str] = Factory(list)
    finished: int = 0
    refused: int = 0


@define
class Caller:
    world: World
    ledger: Ledger
    request_count: int = 0

    def _pick_host(self) -> Host:
        hosts = [host for host in self.world.hosts.values() if not host.is_dead]
        hosts = hosts or list(self.world.hosts.values())
        self.request_count += 1
        return hosts[self.request_count % len(hosts)]

    async def _run_on_host(self, host: Host, work: Any, seconds: float) -> Any:
        """Await a request to a host; raises ConnectionLostError if the host dies or times out."""
        task = asyncio.ensure_future(work)
        host_death = asyncio.ensure_future(host.dead.wait())
        host.requests_in_flight += 1
        await asyncio.wait([task, host_death], timeout=seconds, return_when="FIRST_COMPLETED")
        host.requests_in_flight -= 1
        host_death.cancel()
        if host.left_gracefully:
            self.ledger.violations.append(f"{host.name} cut off a request at its graceful shutdown")
        if not task.done() or host.is_dead or self.world.now() < host.frozen_until:
            task.cancel()
            raise ConnectionLostError(host.name)
        return task.result()

    async def send(self, make_request: Any, seconds: float = CALL_TIMEOUT_SECONDS + 5) -> Any:
        error: Exception = ConnectionLostError("never sent")
        for _ in range(MAX_ATTEMPTS):
            host = self._pick_host()
            if host.is_dead or not host.listening or not host.instance.is_ready:
                await asyncio.sleep(0.5)
                continue
            try:
                return await self._run_on_host(host, make_request(host.instance.gateway), seconds)
            except ConnectionLostError as connection_error:
                error = connection_error
            except RequestError as refusal:
                self.record_refusal(refusal, make_request)
                if refusal.kind not in RETRYABLE_KINDS:
                    raise
                error = refusal
            await asyncio.sleep(0.5)
        raise error

    def record_refusal(self, refusal: RequestError, make_request: Any) -> None:
        subject = getattr(make_request, "subject", None)
        if subject is None:
            return
        program, call = subject
        key = f"{program}/{call}"
        dispatched = any(key in worker.dispatched for worker in self.world.workers.values())
        self.ledger.refusals.append(
            Refusal(program, call, refusal.verdict, refusal.kind, dispatched)
        )

    async def open(self, budget: Budget, parent: str | None = None) -> "ProgramClient":
        request = OpenRequest("agents", "tenant", Urgency.INTERACTIVE, budget, parent)
        self.request_count += 1
        key = f"key-{self.request_count}-{len(self.ledger.root_programs)}"
        view = await self.send(lambda gateway: gateway.open(request, key))
        self.ledger.root_programs[view.program] = self.ledger.root_programs.get(
            parent, view.program
        )
        return ProgramClient(self, view.program, start_digest(view.program))


@define
class ProgramClient:
    caller: Caller
    id: str
    digest: str
    last_call: int = 0
    history: list = Factory(list)

    async def call(self, kind: CallKind, text: str, **options: Any) -> CallOutcome:
        number = self.last_call + 1
        messages = [{"role": "user", "content": text}]
        request = CallRequest(
            call=number,
            kind=kind,
            messages=messages,
            max_tokens=12,
            service="tools" if kind is CallKind.TOOL else None,
            digest=self.digest,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
            stream=kind is CallKind.MODEL,
            **options,
        )

        async def make_request(gateway: Any) -> CallProgress:
            text = ""
            async for progress in gateway.run_call(self.id, request):
                text += "".join(progress.tokens)
            return progress, text

        make_request.subject = (self.id, number)
        progress, text = await self.caller.send(make_request)
        self._check(progress.outcome, messages, text)
        self.last_call, self.digest = number, progress.outcome.digest
        return progress.outcome

    def _check(self, outcome: CallOutcome, messages: list, text: str) -> None:
        ledger = self.caller.ledger
        expected = extend_digest(self.digest, messages, outcome.answer)
        if (outcome.program, outcome.call) != (self.id, self.last_call + 1):
            ledger.violations.append(f"answer of {outcome.program}/{outcome.call} to {self.id}")
        if outcome.digest != expected:
            ledger.violations.append(f"history of {self.id} differs after call {outcome.call}")
        if text and outcome.answer and text.strip() != outcome.answer["content"]:
            ledger.violations.append(f"streamed text of {self.id}/{outcome.call} is not its answer")
        ledger.outcomes.append(outcome)

    async def end(self) -> None:
        await self.caller.send(lambda gateway: gateway.end(self.id))
        self.caller.ledger.ended_programs.append(self.id)

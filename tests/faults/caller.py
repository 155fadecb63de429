"""A caller of a scenario: sends calls again by number, and notes all that it is told."""

import asyncio
from typing import Any

from attrs import Factory, define

from egretford.errors import ErrorKind, RequestError, Verdict
from egretford.models import Budget, CallKind, CallOutcome, CallRequest, OpenRequest, Urgency
from egretford.policy.history import extend_digest, start_digest
from egretford.policy.steps import CallProgress
from tests.faults.world import Host, World

CALL_SECONDS = 20.0
SENDINGS = 10
RETRY_KINDS = {
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
class Told:
    """What a caller was told about one call, with the dispatches known at that time."""

    program: str
    call: int
    verdict: Verdict
    kind: ErrorKind | None
    was_dispatched: bool


@define
class Ledger:
    """Everything that callers were told in a scenario."""

    told: list[Told] = Factory(list)
    outcomes: list[CallOutcome] = Factory(list)
    texts: list[str] = Factory(list)
    wrong: list[str] = Factory(list)
    roots: dict[str, str] = Factory(dict)
    ended: list[str] = Factory(list)
    finished: int = 0
    refused: int = 0


@define
class Caller:
    world: World
    ledger: Ledger
    turn: int = 0

    def _pick(self) -> Host:
        hosts = [host for host in self.world.hosts.values() if not host.is_dead]
        hosts = hosts or list(self.world.hosts.values())
        self.turn += 1
        return hosts[self.turn % len(hosts)]

    async def _through(self, host: Host, work: Any, seconds: float) -> Any:
        """Do work through an entry; its death or silence breaks the connection."""
        task = asyncio.ensure_future(work)
        death = asyncio.ensure_future(host.dead.wait())
        host.inflight += 1
        await asyncio.wait([task, death], timeout=seconds, return_when="FIRST_COMPLETED")
        host.inflight -= 1
        death.cancel()
        if host.left:
            self.ledger.wrong.append(f"{host.name} cut off a request at its graceful shutdown")
        if not task.done() or host.is_dead or self.world.now() < host.frozen_until:
            task.cancel()
            raise ConnectionLostError(host.name)
        return task.result()

    async def _send(self, make: Any, seconds: float = CALL_SECONDS + 5) -> Any:
        error: Exception = ConnectionLostError("never sent")
        for _ in range(SENDINGS):
            host = self._pick()
            if host.is_dead or not host.listening or not host.instance.is_ready:
                await asyncio.sleep(0.5)
                continue
            try:
                return await self._through(host, make(host.instance.gateway), seconds)
            except ConnectionLostError as lost:
                error = lost
            except RequestError as refusal:
                self.note_refusal(refusal, make)
                if refusal.kind not in RETRY_KINDS:
                    raise
                error = refusal
            await asyncio.sleep(0.5)
        raise error

    def note_refusal(self, refusal: RequestError, make: Any) -> None:
        subject = getattr(make, "subject", None)
        if subject is None:
            return
        program, call = subject
        key = f"{program}/{call}"
        dispatched = any(key in worker.dispatched for worker in self.world.workers.values())
        self.ledger.told.append(Told(program, call, refusal.verdict, refusal.kind, dispatched))

    async def open(self, budget: Budget, parent: str | None = None) -> "FakeProgram":
        request = OpenRequest("agents", "tenant", Urgency.INTERACTIVE, budget, parent)
        self.turn += 1
        key = f"key-{self.turn}-{len(self.ledger.roots)}"
        view = await self._send(lambda gateway: gateway.open(request, key))
        self.ledger.roots[view.program] = self.ledger.roots.get(parent, view.program)
        return FakeProgram(self, view.program, start_digest(view.program))


@define
class FakeProgram:
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
            timeout_seconds=CALL_SECONDS,
            stream=kind is CallKind.MODEL,
            **options,
        )

        async def make(gateway: Any) -> CallProgress:
            text = ""
            async for progress in gateway.run_call(self.id, request):
                text += "".join(progress.tokens)
            return progress, text

        make.subject = (self.id, number)
        progress, text = await self.caller._send(make)
        self._check(progress.outcome, messages, text)
        self.last_call, self.digest = number, progress.outcome.digest
        return progress.outcome

    def _check(self, outcome: CallOutcome, messages: list, text: str) -> None:
        ledger = self.caller.ledger
        expected = extend_digest(self.digest, messages, outcome.answer)
        if (outcome.program, outcome.call) != (self.id, self.last_call + 1):
            ledger.wrong.append(f"answer of {outcome.program}/{outcome.call} to {self.id}")
        if outcome.digest != expected:
            ledger.wrong.append(f"history of {self.id} differs after call {outcome.call}")
        if text and outcome.answer and text.strip() != outcome.answer["content"]:
            ledger.wrong.append(f"streamed text of {self.id}/{outcome.call} is not its answer")
        ledger.outcomes.append(outcome)

    async def end(self) -> None:
        await self.caller._send(lambda gateway: gateway.end(self.id))
        self.caller.ledger.ended.append(self.id)

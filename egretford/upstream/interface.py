"""The interface to upstreams, and what goes over it."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any, Protocol

from attrs import frozen

from egretford.models import Message, Usage, Worker


@frozen
class ModelDispatch:
    """One attempt of a model call; `skip_tokens` were delivered by earlier attempts."""

    request_id: str
    program: str
    model: str
    messages: list[Message]
    max_tokens: int
    skip_tokens: int = 0


@frozen
class ToolDispatch:
    """One attempt of a tool call."""

    program: str
    call: int
    messages: list[Message]
    repeatable: bool


@frozen
class Token:
    """A piece of the answer; `index` counts from 0 over all attempts."""

    index: int
    text: str


@frozen
class Finish:
    """The end of a whole answer."""

    usage: Usage


@frozen
class LoadReport:
    """What a worker says of itself, some time late; `boot` changes at each restart."""

    running: int
    waiting: int
    boot: str
    leaving: bool = False


@frozen
class Order:
    """A level-triggered order to a worker."""

    kind: str
    value: str
    fencing: int


class Upstream(Protocol):
    """Calls to workers; failures are UpstreamError with the verdict they prove."""

    def run_model(self, worker: Worker, dispatch: ModelDispatch) -> AsyncIterator[Token | Finish]:
        """Stream an answer; a silent connection is replaced while the worker lives."""

    async def run_tool(self, worker: Worker, dispatch: ToolDispatch, seconds: float) -> Any:
        """Run a tool call once; returns its JSON result."""

    async def cancel(self, worker: Worker, request_id: str) -> None:
        """Cancel a model call; errors are ignored."""

    async def release(self, worker: Worker, program: str) -> None:
        """Free the memory of an ended program; raises UpstreamError."""

    async def read_load(self, worker: Worker) -> LoadReport:
        """Read the load; raises UpstreamError."""

    async def read_orders(self, worker: Worker) -> dict[str, str]:
        """Read the orders in force at a worker; raises UpstreamError."""

    async def send_order(self, worker: Worker, order: Order) -> dict[str, str]:
        """Give an order; returns the orders in force at the worker."""

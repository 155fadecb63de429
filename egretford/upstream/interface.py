"""The client interface for upstreams, with its requests and results."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any, Protocol

from attrs import frozen

from egretford.models import Message, Usage, Worker


@frozen
class ModelDispatch:
    """One attempt of a model call; the first `skip_tokens` tokens were already delivered."""

    request_id: str
    program: str
    model: str
    messages: list[Message]
    max_tokens: int
    skip_tokens: int = 0


@frozen
class ToolDispatch:
    """One attempt of a tool call; only if `repeatable` may it run more than once."""

    program: str
    call: int
    messages: list[Message]
    repeatable: bool


@frozen
class Token:
    """One token of a completion; `index` counts from 0 across all attempts."""

    index: int
    text: str


@frozen
class Finish:
    """The end of a complete completion, with its token counts."""

    usage: Usage


@frozen
class LoadReport:
    """A worker's report of its load, which may be out of date; `boot` changes at each restart."""

    running: int
    waiting: int
    boot: str
    leaving: bool = False


@frozen
class Order:
    """An order to a worker: the value that `kind` must have from now on.

    Orders are level-triggered: sending one twice has no further effect. `fencing` is the number of
    the sender's lease.
    """

    kind: str
    value: str
    fencing: int


class Upstream(Protocol):
    """Calls to workers.

    Every method but `cancel` raises UpstreamError; its verdict says if the call may have run.
    """

    def run_model(self, worker: Worker, dispatch: ModelDispatch) -> AsyncIterator[Token | Finish]:
        """Stream a completion; a silent connection is replaced while the worker is alive."""

    async def run_tool(self, worker: Worker, dispatch: ToolDispatch, seconds: float) -> Any:
        """Run a tool call once within `seconds`; returns its decoded JSON result."""

    async def cancel(self, worker: Worker, request_id: str) -> None:
        """Cancel a model call; errors are ignored."""

    async def release(self, worker: Worker, program: str) -> None:
        """Free the memory that a worker holds for an ended program."""

    async def read_load(self, worker: Worker) -> LoadReport:
        """Return the worker's load report."""

    async def read_orders(self, worker: Worker) -> dict[str, str]:
        """Return the orders in force at a worker, by kind."""

    async def send_order(self, worker: Worker, order: Order) -> dict[str, str]:
        """Send an order; returns the orders then in force at the worker, by kind."""

"""Continuous batching of the stand-in engine, in simulated time.

Each step emits one token for every decoding request and prefills a chunk of the
others. The caller applies the returned durations: the engine process sleeps for
them, the bench adds them up.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from attrs import Factory, define, field, frozen

from egretford.standin.cache import Block, PrefixCache, chain_messages

WORDS = ("trail", "farm", "herd", "guide", "slot", "hide", "grain", "ledger", "order", "hold")


@frozen
class EngineProfile:
    """Speed, batch size and cache capacity of one engine; times in seconds."""

    slots: int = 8
    step: float = 0.010
    step_per_request: float = 0.0005
    prefill_tokens_per_second: float = 20_000.0
    prefill_chunk_tokens: int = 2_048
    cache_tokens: int = 60_000


@define
class EngineRequest:
    """A request in the engine; another engine already delivered its first `skip` tokens.

    `length` is the number of completion tokens, between half of `max_tokens` and all of it,
    and is a function of both prompt and `max_tokens`. `emitted` counts skipped tokens too.
    """

    request_id: str
    program: str
    messages: list[dict[str, Any]]
    max_tokens: int
    skip: int = 0
    blocks: list[Block] = Factory(list)
    cached: int = 0
    prefill_left: int = 0
    length: int = 0
    emitted: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.emitted = self.skip
        self.blocks = self.blocks or chain_messages(self.messages)
        half = self.max_tokens // 2
        self.length = self.max_tokens - half + self._seed() % (half + 1)

    def _seed(self) -> int:
        return self.blocks[-1].chain if self.blocks else 0

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt in tokens, cached or not."""
        return sum(block.tokens for block in self.blocks)

    @property
    def is_done(self) -> bool:
        """Whether all `length` tokens of the completion were emitted."""
        return self.emitted >= self.length

    def token_text(self, index: int) -> str:
        """Return a token's text, which depends only on the prompt and the index.

        Any engine therefore continues a completion with the same text.
        """
        return WORDS[(self._seed() >> (index % 48)) % len(WORDS)] + " "

    def final_blocks(self) -> list[Block]:
        """Return the blocks of the prompt and the completion, for the prefix cache."""
        answer = {"role": "assistant", "content": self.answer_text()}
        return chain_messages([*self.messages, answer])

    def answer_text(self) -> str:
        """Return the text of all tokens, including skipped ones."""
        return "".join(self.token_text(index) for index in range(self.length)).strip()


@define
class BatchModel:
    """Queue and running batch of one engine; requests are admitted in order of arrival."""

    profile: EngineProfile
    cache: PrefixCache = field(init=False)
    waiting: deque[EngineRequest] = Factory(deque)
    running: list[EngineRequest] = Factory(list)

    def __attrs_post_init__(self) -> None:
        self.cache = PrefixCache(self.profile.cache_tokens)

    def submit(self, request: EngineRequest) -> None:
        """Append a request to the queue; the next step may admit it."""
        self.waiting.append(request)

    def cancel(self, request_id: str) -> None:
        """Remove an unfinished request; its prefilled tokens are not cached."""
        self.waiting = deque(r for r in self.waiting if r.request_id != request_id)
        self.running = [r for r in self.running if r.request_id != request_id]

    @property
    def is_idle(self) -> bool:
        """Whether no request is queued or running."""
        return not self.waiting and not self.running

    def step(self) -> tuple[float, list[EngineRequest]]:
        """Run one step; return its duration in seconds and the requests that got a token."""
        self._admit()
        prefilled = self._prefill()
        progressed = [r for r in self.running if r.prefill_left <= 0]
        for request in progressed:
            request.emitted += 1
        for request in progressed:
            if request.is_done:
                self._finish(request)
        profile = self.profile
        duration = profile.step + profile.step_per_request * len(progressed)
        return duration + prefilled / profile.prefill_tokens_per_second, progressed

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.profile.slots:
            request = self.waiting.popleft()
            request.cached = self.cache.match(request.blocks)
            request.prefill_left = request.prompt_tokens - request.cached + request.skip
            self.running.append(request)

    def _prefill(self) -> int:
        budget = self.profile.prefill_chunk_tokens
        for request in self.running:
            chunk = min(budget, max(0, request.prefill_left))
            request.prefill_left -= chunk
            budget -= chunk
        return self.profile.prefill_chunk_tokens - budget

    def _finish(self, request: EngineRequest) -> None:
        self.running.remove(request)
        self.cache.insert(request.final_blocks(), request.program)

"""A model of which prompt parts a worker has in its cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from typing import Protocol

from attrs import define, field


class Part(Protocol):
    """A part of a prompt with its number of tokens; equal parts have the same id."""

    id: str
    tokens: int


@define
class PrefixCache:
    """Least-recently-used cache of the prompt parts sent to one worker; `capacity` in tokens."""

    capacity: int
    _parts: OrderedDict[str, int] = field(init=False, factory=OrderedDict)
    _total: int = field(init=False, default=0)

    def count_cached(self, prompt: Sequence[Part]) -> int:
        """Return the number of tokens at the start of the prompt that need no prefill."""
        cached = 0
        for part in prompt:
            if part.id not in self._parts:
                break
            cached += part.tokens
        return cached

    def note_prompt(self, prompt: Sequence[Part]) -> None:
        """Add the parts of a prompt that the worker was sent; evicts parts above the capacity."""
        for part in prompt:
            self._total += part.tokens - self._parts.pop(part.id, 0)
            self._parts[part.id] = part.tokens
        while self._total > self.capacity and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._total -= tokens

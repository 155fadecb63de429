"""Prefix cache of the stand-in engine: blocks keyed by chained hash, with LRU eviction."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

import orjson
import xxhash
from attrs import Factory, define, frozen

CHARACTERS_PER_TOKEN = 4


@frozen
class Block:
    """One message of a prompt: a hash of it and all earlier messages, and its tokens."""

    chain: int
    tokens: int


@define
class CachedBlock:
    """Size of a cached block in tokens, and the programs that used it."""

    tokens: int
    programs: set[str]


def count_tokens(message: dict[str, Any]) -> int:
    """Estimate the tokens of one message; never more than the bytes of its JSON."""
    content = message.get("content")
    text = content if isinstance(content, str) else orjson.dumps(content).decode()
    return max(1, -(-len(text) // CHARACTERS_PER_TOKEN))


def chain_messages(messages: list[dict[str, Any]]) -> list[Block]:
    """Return one block per message; equal prefixes give equal blocks."""
    blocks = []
    chain = 0
    for message in messages:
        data = orjson.dumps(message, option=orjson.OPT_SORT_KEYS)
        chain = xxhash.xxh64_intdigest(data, seed=chain)
        blocks.append(Block(chain, count_tokens(message)))
    return blocks


@define
class PrefixCache:
    """Blocks from the least to the most recently used, limited to `capacity_tokens`."""

    capacity_tokens: int
    blocks: OrderedDict[int, CachedBlock] = Factory(OrderedDict)
    used_tokens: int = 0
    evicted: list[int] = Factory(list)

    def match(self, blocks: list[Block]) -> int:
        """Return the tokens of the prompt's longest cached prefix."""
        cached_tokens = 0
        for block in blocks:
            if block.chain not in self.blocks:
                break
            cached_tokens += block.tokens
        return cached_tokens

    def insert(self, blocks: list[Block], program: str) -> None:
        """Cache a prompt's blocks.

        Earlier blocks count as more recently used, so that eviction shortens prefixes
        from the end.
        """
        for block in reversed(blocks):
            cached = self.blocks.get(block.chain)
            if cached is None:
                cached = CachedBlock(block.tokens, set())
                self.blocks[block.chain] = cached
                self.used_tokens += block.tokens
            cached.programs.add(program)
            self.blocks.move_to_end(block.chain)
        self._evict()

    def _evict(self) -> None:
        while self.used_tokens > self.capacity_tokens:
            chain, cached = self.blocks.popitem(last=False)
            self.used_tokens -= cached.tokens
            self.evicted.append(chain)

    def release(self, program: str) -> int:
        """Drop the blocks that only this program used; return the tokens freed."""
        freed = 0
        for chain, cached in list(self.blocks.items()):
            cached.programs.discard(program)
            if not cached.programs:
                del self.blocks[chain]
                freed += cached.tokens
        self.used_tokens -= freed
        return freed

    def count_tokens_by_program(self) -> dict[str, int]:
        """Return the cached tokens of each program; shared blocks count for every one."""
        held: dict[str, int] = {}
        for cached in self.blocks.values():
            for program in cached.programs:
                held[program] = held.get(program, 0) + cached.tokens
        return held

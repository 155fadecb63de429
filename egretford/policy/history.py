"""Digests that chain a program's history, and fingerprints of requests."""

from __future__ import annotations

import hashlib
from typing import Any

import orjson

from egretford.models import CallRequest, Message

DIGEST_BYTES = 16


def hash_json(*values: Any) -> str:
    """Hash JSON values in canonical form; returns hexadecimal text."""
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for value in values:
        state.update(orjson.dumps(value, option=orjson.OPT_SORT_KEYS))
        state.update(b"\n")
    return state.hexdigest()


def start_digest(program: str) -> str:
    """Return the digest of an empty history; it differs between programs."""
    return hash_json("egretford-history", program)


def extend_digest(digest: str, messages: list[Message], answer: Message | None) -> str:
    """Return the digest after one more settled call."""
    return hash_json(digest, messages, answer)


def fingerprint_request(request: CallRequest) -> str:
    """Return a fingerprint that retries of a call share; how the answer is read does not count."""
    return hash_json(
        request.kind, request.service, request.messages, request.max_tokens, request.is_repeatable
    )


def fingerprint_content(request: CallRequest, route: str) -> str:
    """Return a fingerprint of what an upstream would receive, the same for all programs."""
    return hash_json(route, request.kind, request.messages)


def measure_bytes(messages: list[Message]) -> int:
    """Return the JSON size of messages in bytes: an upper bound of their tokens."""
    return len(orjson.dumps(messages))

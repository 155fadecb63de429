"""JSON from the store, in which other writers may have left values that cannot be decoded."""

from __future__ import annotations

import re
from typing import Any

import orjson

# Strings are matched as a whole, so that brackets inside them are not counted.
_STRING_OR_BRACKET = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{}]', re.DOTALL)
# Nesting of the parts that are replaced, the innermost first: the content of an object in an event
# of a watch, an object in an event or the content of one in a listing, an event or a listed object.
_REPLACED_DEPTHS = (5, 4, 3)


def decode_json(document: bytes) -> tuple[Any, int]:
    """Decode a document; returns its value, and how many of its parts could not be decoded.

    Such parts, which are nested too deeply or hold a number out of range or invalid bytes, are null
    in the value. Raises ValueError if the document cannot be decoded in spite of that.
    """
    try:
        return orjson.loads(document), 0
    except orjson.JSONDecodeError:
        replaced = 0
    for depth in _REPLACED_DEPTHS:
        document, count = _replace_undecodable(document, depth)
        replaced += count
        try:
            return orjson.loads(document), replaced
        except orjson.JSONDecodeError:
            continue
    raise ValueError("the document is not JSON")


def _replace_undecodable(document: bytes, depth: int) -> tuple[bytes, int]:
    """Replace by null the arrays and objects at nesting `depth` that cannot be decoded.

    Returns the changed document and the number of replaced parts.
    """
    pieces: list[bytes] = []
    copied_to = nesting = part_start = replaced = 0
    for found in _STRING_OR_BRACKET.finditer(document):
        match found.group():
            case b"[" | b"{":
                nesting += 1
                if nesting == depth:
                    part_start = found.start()
            case b"]" | b"}":
                if nesting == depth and not _is_decodable(document[part_start : found.end()]):
                    pieces += [document[copied_to:part_start], b"null"]
                    copied_to = found.end()
                    replaced += 1
                nesting -= 1
    return b"".join([*pieces, document[copied_to:]]), replaced


def _is_decodable(part: bytes) -> bool:
    try:
        orjson.loads(part)
    except orjson.JSONDecodeError:
        return False
    return True

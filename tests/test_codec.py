"""Encoding and decoding of tagged unions."""

from __future__ import annotations

import pytest
from attrs import frozen

from egretford.codec import bytes_converter, decode_bytes, encode_bytes, register_union


@frozen
class Used:
    number: int


@frozen
class Unused:
    """No code can be generated for it, as the type of its field is not known."""

    field: Undefined  # noqa: F821


# Guards against slow starts: code for both directions of each message was generated at the start.
def test_code_for_a_message_is_generated_when_it_is_first_used():
    union = Used | Unused
    register_union(union, "kind")
    assert decode_bytes(encode_bytes(Used(3), union), union) == Used(3)
    with pytest.raises(NameError):
        bytes_converter.get_structure_hook(Unused)
    with pytest.raises(NameError):
        encode_bytes(Unused(1), union)


# Guards against messages of one kind that are decoded as another: the code is kept by kind.
def test_members_of_a_union_are_told_apart_by_their_tag():
    @frozen
    class Other:
        number: int

    union = Used | Other
    register_union(union, "kind")
    for _ in range(2):
        for value in (Used(1), Other(1)):
            assert decode_bytes(encode_bytes(value, union), union) == value
    with pytest.raises(KeyError):
        decode_bytes(encode_bytes({"kind": "Unknown", "number": 1}), union)

"""Conversion between attrs classes, JSON values and MessagePack bytes.

Structuring is strict: a value of the wrong type raises an error instead of being coerced,
except that an int is accepted for a float. NaN and unknown fields are errors as well.
"""

from __future__ import annotations

import re
from datetime import datetime
from enum import StrEnum
from functools import cache
from typing import Any, TypeVar, get_args

import msgpack
from cattrs import Converter, transform_error
from cattrs.gen import make_dict_unstructure_fn
from cattrs.preconf.msgpack import make_converter
from cattrs.v import format_exception

T = TypeVar("T")

_JSON_NAMES = {"urgency": "class"}
_FIELD_PATH = re.compile(r"^(?P<what>.*?)(?: @ \$\.?(?P<path>.*))?$")


def _check_exact(expected: type) -> Any:
    def structure(value: Any, _: type) -> Any:
        if type(value) is not expected:
            raise TypeError(f"expected {expected.__name__}, got {type(value).__name__}")
        return value

    return structure


def _check_float(value: Any, _: type) -> float:
    if type(value) not in (int, float) or value != value:
        raise TypeError(f"expected a number, got {type(value).__name__}")
    return float(value)


def _structure_enum(value: Any, kind: type[StrEnum]) -> StrEnum:
    try:
        return kind(value)
    except ValueError:
        allowed = ", ".join(kind)
        raise ValueError(f"{value!r} is none of {allowed}") from None


def _make_converter(*, detailed_validation: bool) -> Converter:
    converter = make_converter(
        forbid_extra_keys=True, omit_if_default=False, detailed_validation=detailed_validation
    )
    for plain in (int, str, bool):
        converter.register_structure_hook(plain, _check_exact(plain))
    # Without a hook of its own, a StrEnum would be handled by the hook for str.
    converter.register_structure_hook(StrEnum, _structure_enum)
    converter.register_structure_hook(float, _check_float)
    converter.register_structure_hook(
        datetime, lambda value, _: datetime.fromisoformat(_check_exact(str)(value, str))
    )
    converter.register_unstructure_hook(datetime, lambda value: value.isoformat())
    return converter


# Input written by people is decoded with detailed validation, which reports the path of each
# invalid field. Messages and records that egretford itself encodes are decoded without it,
# which takes a third of the CPU time (see `scripts/measure_codec.py`).
json_converter = _make_converter(detailed_validation=True)
bytes_converter = _make_converter(detailed_validation=False)
CONVERTERS = (json_converter, bytes_converter)


def register_union(union: Any, tag_name: str) -> None:
    """Encode members of a union with their class name in the field `tag_name`; decode by it.

    The code for a member is generated at its first use, as most processes need few of them.
    """
    for converter in CONVERTERS:
        _register_union(converter, union, tag_name)


def _register_union(converter: Converter, union: Any, tag_name: str) -> None:
    kinds = {kind.__name__: kind for kind in get_args(union)}

    @cache
    def get_encoder(kind: type) -> Any:
        return converter.get_unstructure_hook(kind)

    @cache
    def get_decoder(name: str) -> tuple[type, Any]:
        kind = kinds[name]
        return kind, converter.get_structure_hook(kind)

    def encode(value: Any) -> Any:
        kind = type(value)
        fields = get_encoder(kind)(value)
        fields[tag_name] = kind.__name__
        return fields

    def decode(value: Any, _: Any) -> Any:
        fields = dict(value)
        kind, decode_fields = get_decoder(fields.pop(tag_name))
        return decode_fields(fields, kind)

    converter.register_unstructure_hook(union, encode)
    converter.register_structure_hook(union, decode)


def omit_defaults(kind: type) -> None:
    """Encode a class without fields at their defaults; call before it joins a union."""
    for converter in CONVERTERS:
        converter.register_unstructure_hook_factory(
            lambda other: other is kind,
            lambda _, converter=converter: make_dict_unstructure_fn(
                kind, converter, _cattrs_omit_if_default=True
            ),
        )


def encode_bytes(value: Any, kind: Any = None) -> bytes:
    """Encode an attrs value as MessagePack; for a member of a tagged union, `kind` is the union."""
    return msgpack.packb(bytes_converter.unstructure(value, unstructure_as=kind))


def decode_bytes(data: bytes, kind: type[T]) -> T:
    """Decode MessagePack into `kind`; raises cattrs or msgpack errors on invalid input."""
    return bytes_converter.structure(msgpack.unpackb(data), kind)


def to_json(value: Any) -> Any:
    """Convert an attrs value to dicts, lists and scalars that JSON can represent."""
    return json_converter.unstructure(value)


def from_json(value: Any, kind: type[T]) -> T:
    """Convert parsed JSON to `kind`; pass what it raises on invalid input to `explain_error`."""
    return json_converter.structure(value, kind)


def explain_error(error: BaseException) -> list[tuple[str, str]]:
    """Return (field path, message) for each invalid field of a `from_json` error."""
    messages = transform_error(error, path="$", format_exception=_format_cause)
    return [_split_message(message) for message in messages]


def _format_cause(error: BaseException, kind: type | None) -> str:
    if isinstance(error, KeyError):
        return "required field missing"
    if isinstance(error, ValueError | TypeError) and error.args:
        return str(error.args[0])
    return format_exception(error, kind)


def _split_message(message: str) -> tuple[str, str]:
    found = _FIELD_PATH.match(message)
    path = found.group("path") if found else None
    what = found.group("what") if found else message
    names = [_JSON_NAMES.get(name, name) for name in (path or "(whole)").split(".")]
    return ".".join(names), what

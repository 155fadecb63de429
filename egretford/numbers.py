"""Whole numbers in text from other programs."""

from __future__ import annotations

# More digits than any number in the protocols has; keeps values within 64 bits.
MAX_DIGITS = 15


def parse_whole_number(text: str | bytes, most: int | None = None) -> int | None:
    """Return the number that consists of ASCII digits only; None if it is malformed or over `most`.

    Unlike `int`, it accepts no sign, blank, underscore or digit of another script, and bounds the
    number of digits.
    """
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    number = int(text)
    return None if most is not None and number > most else number

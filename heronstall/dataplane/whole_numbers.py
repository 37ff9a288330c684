"""Parses the whole numbers in requests. Performs no I/O."""

from __future__ import annotations

MAX_DIGITS = 9


def parse_whole_number(text: str) -> int | None:
    """Returns the number that a text of one to nine decimal digits is, or None for any other text."""
    digits = text.strip()
    is_number = digits.isascii() and digits.isdecimal() and len(digits) <= MAX_DIGITS
    return int(digits) if is_number else None

"""Encoding of message fields from parts that are already encoded."""

from __future__ import annotations

from betterproto import encode_varint

LENGTH_DELIMITED = 2  # wire type of strings, bytes and messages


def encode_length_delimited(number: int, encoded: bytes) -> bytes:
    """Returns the encoded field of a string, bytes or a message."""
    return encode_varint(number << 3 | LENGTH_DELIMITED) + encode_varint(len(encoded)) + encoded

"""Encoded fields of messages, for what is put together from parts that are encoded already."""

from __future__ import annotations

from betterproto import encode_varint

LENGTH_DELIMITED = 2  # wire type of texts, bytes and messages


def encode_length_delimited(number: int, encoded: bytes) -> bytes:
    """A field that holds a text, bytes or a message."""
    return encode_varint(number << 3 | LENGTH_DELIMITED) + encode_varint(len(encoded)) + encoded

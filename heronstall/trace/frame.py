"""The frame of a trace file: head and blocks as bytes. No I/O; nothing that comes in is believed."""

from __future__ import annotations

import struct
import zlib
from typing import NamedTuple

import zstandard

MAGIC, VERSION = b"HSTRACE\n", 1
MARK = b"HSBK"
TAIL = b"HSTRACE."
ABOUT, RECORDS, INDEX = 1, 2, 3
ZSTD = 1  # flag: the payload is compressed
LARGEST = 4 * 1024 * 1024  # bytes of one payload, before and after compression
LEVEL = 3
_HEAD = struct.Struct("<8sHH")
_BLOCK = struct.Struct("<4sBBHIIIq")
_CRC = struct.Struct("<I")
_TAIL = struct.Struct("<Q8s")
HEAD_SIZE = _HEAD.size + _CRC.size
BLOCK_SIZE = _BLOCK.size + _CRC.size
TAIL_SIZE = _TAIL.size


class FrameError(ValueError):
    """These bytes are no part of a trace; the message says what is wrong with them."""


class Block(NamedTuple):
    """A block's head. Sizes in bytes, `first` in microseconds."""

    type: int
    flags: int
    sequence: int
    stored: int
    raw: int
    first: int
    crc: int


def head() -> bytes:
    """A file's first bytes."""
    told = _HEAD.pack(MAGIC, VERSION, 0)
    return told + _CRC.pack(zlib.crc32(told))


def check_head(data: bytes) -> None:
    """Raises FrameError unless a file that begins so is a trace that can be read."""
    if len(data) < HEAD_SIZE:
        raise FrameError("shorter than a trace's head")
    magic, version, _ = _HEAD.unpack_from(data)
    if magic != MAGIC:
        raise FrameError("not a trace")
    if _CRC.unpack_from(data, _HEAD.size)[0] != zlib.crc32(data[: _HEAD.size]):
        raise FrameError("the head is damaged")
    if version != VERSION:
        raise FrameError(f"version {version}, and this program reads {VERSION}")


def compressor() -> zstandard.ZstdCompressor:
    """What packs blocks; to be used for many, since making one takes longer than a block does."""
    return zstandard.ZstdCompressor(level=LEVEL)


def block(
    type_: int, sequence: int, first: int, payload: bytes, packer: zstandard.ZstdCompressor | None = None
) -> bytes:
    """A whole block."""
    if len(payload) > LARGEST:
        raise FrameError(f"a payload of {len(payload)} bytes, {LARGEST} at most")
    stored, flags = (packer or compressor()).compress(payload), ZSTD
    if len(stored) >= len(payload):
        stored, flags = payload, 0
    told = _BLOCK.pack(MARK, type_, flags, 0, sequence, len(stored), len(payload), first)
    return told + _CRC.pack(zlib.crc32(stored, zlib.crc32(told))) + stored


def block_head(data: bytes) -> Block:
    """A block's head from its first BLOCK_SIZE bytes. Raises FrameError."""
    if len(data) < BLOCK_SIZE:
        raise FrameError("cut off in a block's head")
    mark, type_, flags, _, sequence, stored, raw, first = _BLOCK.unpack_from(data)
    if mark != MARK:
        raise FrameError("no block begins here")
    if stored > LARGEST or raw > LARGEST:
        raise FrameError(f"a block says that it holds {max(stored, raw)} bytes, {LARGEST} at most")
    return Block(type_, flags, sequence, stored, raw, first, _CRC.unpack_from(data, _BLOCK.size)[0])


def payload(told: Block, head_bytes: bytes, stored: bytes) -> bytes:
    """A block's payload, checked. Raises FrameError.

    The size that a zstd frame names is checked before it is unpacked: memory is never given on its word.
    """
    if zlib.crc32(stored, zlib.crc32(head_bytes[: _BLOCK.size])) != told.crc:
        raise FrameError(f"block {told.sequence} is damaged")
    if not told.flags & ZSTD:
        return stored
    try:
        if zstandard.frame_content_size(stored) != told.raw:
            raise FrameError(f"block {told.sequence} holds another size than it says")
        return zstandard.ZstdDecompressor().decompress(stored, max_output_size=told.raw)
    except zstandard.ZstdError as error:
        raise FrameError(f"block {told.sequence} cannot be unpacked: {error}") from None


def tail(offset: int) -> bytes:
    """A file's last bytes: where its index block begins."""
    return _TAIL.pack(offset, TAIL)


def index_offset(data: bytes) -> int | None:
    """Where the index begins, from a file's last TAIL_SIZE bytes; None where it was cut off before."""
    if len(data) != TAIL_SIZE:
        return None
    offset, magic = _TAIL.unpack(data)
    return int(offset) if magic == TAIL else None

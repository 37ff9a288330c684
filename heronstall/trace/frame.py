"""Encodes and decodes the frame of a trace file: header, blocks and trailer.

This module does no I/O and validates all input.
"""

from __future__ import annotations

import struct
import zlib
from typing import NamedTuple

import zstandard

MAGIC, VERSION = b"HSTRACE\n", 1
BLOCK_MARK = b"HSBK"
TRAILER_MAGIC = b"HSTRACE."
ABOUT, RECORDS, INDEX = 1, 2, 3  # block types
FLAG_ZSTD = 1  # block flag: the payload is compressed
MAX_PAYLOAD_BYTES = 4 * 1024 * 1024  # size limit of a payload, both before and after compression
ZSTD_LEVEL = 3
_FILE_HEADER = struct.Struct("<8sHH")
_BLOCK_HEADER = struct.Struct("<4sBBHIIIq")
_CRC = struct.Struct("<I")
_TRAILER = struct.Struct("<Q8s")
FILE_HEADER_SIZE = _FILE_HEADER.size + _CRC.size
BLOCK_HEADER_SIZE = _BLOCK_HEADER.size + _CRC.size
TRAILER_SIZE = _TRAILER.size


class FrameError(ValueError):
    """The bytes are not valid trace data; the message says why."""


class BlockHeader(NamedTuple):
    """The header of a block.

    `stored` and `raw` are the payload's sizes in bytes, as stored and uncompressed; `first` is the time of
    the first record in microseconds.
    """

    type: int
    flags: int
    sequence: int
    stored: int
    raw: int
    first: int
    crc: int


def file_header() -> bytes:
    """Returns the header of a trace file."""
    header = _FILE_HEADER.pack(MAGIC, VERSION, 0)
    return header + _CRC.pack(zlib.crc32(header))


def check_file_header(data: bytes) -> None:
    """Raises FrameError unless `data` begins with the header of a trace in a supported version."""
    if len(data) < FILE_HEADER_SIZE:
        raise FrameError("shorter than the header of a trace")
    magic, version, _ = _FILE_HEADER.unpack_from(data)
    if magic != MAGIC:
        raise FrameError("not a trace")
    if _CRC.unpack_from(data, _FILE_HEADER.size)[0] != zlib.crc32(data[: _FILE_HEADER.size]):
        raise FrameError("the header is damaged")
    if version != VERSION:
        raise FrameError(f"version {version} is not supported, only {VERSION}")


def new_compressor() -> zstandard.ZstdCompressor:
    """Returns a compressor for blocks. Reuse it: creating one takes longer than compressing a block."""
    return zstandard.ZstdCompressor(level=ZSTD_LEVEL)


def encode_block(
    type_: int,
    sequence: int,
    first: int,
    payload: bytes,
    reused_compressor: zstandard.ZstdCompressor | None = None,
) -> bytes:
    """Returns a complete block: its header and its payload, compressed if that makes it smaller."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise FrameError(f"payload of {len(payload)} bytes exceeds the limit of {MAX_PAYLOAD_BYTES}")
    stored, flags = (reused_compressor or new_compressor()).compress(payload), FLAG_ZSTD
    if len(stored) >= len(payload):
        stored, flags = payload, 0
    header = _BLOCK_HEADER.pack(BLOCK_MARK, type_, flags, 0, sequence, len(stored), len(payload), first)
    return header + _CRC.pack(zlib.crc32(stored, zlib.crc32(header))) + stored


def decode_block_header(data: bytes) -> BlockHeader:
    """Decodes a block's header from its first BLOCK_HEADER_SIZE bytes. Raises FrameError."""
    if len(data) < BLOCK_HEADER_SIZE:
        raise FrameError("truncated block header")
    block_mark, type_, flags, _, sequence, stored, raw, first = _BLOCK_HEADER.unpack_from(data)
    if block_mark != BLOCK_MARK:
        raise FrameError("no block starts here")
    if stored > MAX_PAYLOAD_BYTES or raw > MAX_PAYLOAD_BYTES:
        raise FrameError(f"block size of {max(stored, raw)} bytes exceeds the limit of {MAX_PAYLOAD_BYTES}")
    return BlockHeader(
        type_, flags, sequence, stored, raw, first, _CRC.unpack_from(data, _BLOCK_HEADER.size)[0]
    )


def decode_payload(header: BlockHeader, header_bytes: bytes, stored: bytes) -> bytes:
    """Verifies and decompresses a block's payload. Raises FrameError.

    The size declared in the zstd frame is checked before decompression, so that a forged size cannot cause a
    large allocation.
    """
    if zlib.crc32(stored, zlib.crc32(header_bytes[: _BLOCK_HEADER.size])) != header.crc:
        raise FrameError(f"block {header.sequence} is damaged")
    if not header.flags & FLAG_ZSTD:
        return stored
    try:
        if zstandard.frame_content_size(stored) != header.raw:
            raise FrameError(f"block {header.sequence} declares two different sizes")
        return zstandard.ZstdDecompressor().decompress(stored, max_output_size=header.raw)
    except zstandard.ZstdError as error:
        raise FrameError(f"block {header.sequence} cannot be decompressed: {error}") from None


def encode_trailer(offset: int) -> bytes:
    """Returns the trailer of a file, which holds the offset of the index block."""
    return _TRAILER.pack(offset, TRAILER_MAGIC)


def index_offset(data: bytes) -> int | None:
    """Returns the offset of the index from a file's last TRAILER_SIZE bytes; None if they are no trailer."""
    if len(data) != TRAILER_SIZE:
        return None
    offset, magic = _TRAILER.unpack(data)
    return int(offset) if magic == TRAILER_MAGIC else None

"""Frames of the internal protocol: a fixed-size header followed by an encoded message. Performs no I/O."""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import NamedTuple

HEADER = struct.Struct("!IBBI")  # body length, version and kind, status, call id
VERSION = 1
MAX_BODY_BYTES = 256 * 1024 * 1024  # a longer frame is a protocol error of the sender


class Kind(IntEnum):
    """The message type of a frame. A reply has the kind of its call."""

    GROUP = 1
    SYNC = 2
    SUBMIT = 3
    READ = 4
    BODY = 5
    END = 6
    LEASE = 7
    FINISH = 8
    SESSIONS = 9
    WORKER_END = 10
    PLACE = 11


class Status(IntEnum):
    """The result of a call. docs/result-codes.md explains each value."""

    CALL = 0  # the frame is a call or a one-way message, not a reply
    OK = 1
    NOT_OWNER = 2
    UNSURE = 3
    UNKNOWN = 4
    OVER_QUOTA = 5
    REFUSED = 6
    FAILED = 7


class FrameError(ValueError):
    """Raised when received bytes are not a frame of this protocol."""


class Frame(NamedTuple):
    """One message on the wire. A `call_id` of 0 marks a one-way message, which gets no reply."""

    kind: Kind
    status: Status
    call_id: int
    body: bytes


def encode(frame: Frame) -> bytes:
    """Returns the encoded frame."""
    header = HEADER.pack(len(frame.body), VERSION << 4 | frame.kind, frame.status, frame.call_id)
    return header + frame.body


class FrameReader:
    """Splits a stream of bytes into frames. Raises FrameError on bytes that are not a valid frame."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Adds received bytes and returns the frames completed by them."""
        self._buffer += data
        frames: list[Frame] = []
        start = 0
        while len(self._buffer) - start >= HEADER.size:
            length, kind, status, call_id = HEADER.unpack_from(self._buffer, start)
            if kind >> 4 != VERSION or length > MAX_BODY_BYTES:
                raise FrameError(f"invalid frame header: version {kind >> 4}, length {length}")
            end = start + HEADER.size + length
            if len(self._buffer) < end:
                break
            try:
                kind_and_status = Kind(kind & 0x0F), Status(status)
            except ValueError as error:
                raise FrameError(str(error)) from error
            frames.append(
                Frame(
                    kind_and_status[0],
                    kind_and_status[1],
                    call_id,
                    bytes(self._buffer[start + HEADER.size : end]),
                )
            )
            start = end
        del self._buffer[:start]
        return frames

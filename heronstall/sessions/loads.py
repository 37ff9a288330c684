"""Packed encoding of the load that a dispatcher puts on each of hundreds of workers, sent with every pull."""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from heronstall.transport.messages import Loads

SEPARATOR = "\0"
MAX_COUNT = 0xFFFF  # largest value of a 16-bit count
COUNTS_PER_WORKER = 3  # fields of WorkerLoad besides the worker's id


class WorkerLoad(NamedTuple):
    """Requests and batch items at a worker.

    `failing` counts the dispatchers that recently could not reach it or had a connection broken by it.
    """

    worker: str
    requests: int = 0
    items: int = 0
    failing: int = 0


def pack_loads(loads: Iterable[WorkerLoad]) -> Loads:
    """Encodes loads as a message. Workers whose id contains the separator are omitted."""
    encodable = [load for load in loads if SEPARATOR not in load.worker]
    counts = [min(count, MAX_COUNT) for load in encodable for count in load[1:]]
    return Loads(
        workers=SEPARATOR.join(load.worker for load in encodable),
        counts=struct.pack(f"<{len(counts)}H", *counts),
    )


def unpack_loads(message: Loads) -> Iterator[WorkerLoad]:
    """Decodes the loads of a message; yields nothing if it is malformed."""
    workers = message.workers.split(SEPARATOR) if message.workers else []
    size = struct.calcsize(f"<{COUNTS_PER_WORKER * len(workers)}H")
    if len(message.counts) != size:
        return
    counts = struct.iter_unpack(f"<{COUNTS_PER_WORKER}H", message.counts)
    for worker, (requests, items, failing) in zip(workers, counts, strict=True):
        yield WorkerLoad(worker, requests, items, failing)

"""What dispatchers have at workers, as it is told with every pull: packed, as workers are hundreds."""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from heronstall.transport.messages import Loads

SEPARATOR = "\0"
MAX_COUNT = 0xFFFF  # that one count holds
COUNTS_PER_WORKER = 3  # of a worker


class WorkerLoad(NamedTuple):
    """Requests and batch items at a worker.

    `failing`: dispatchers that lately did not reach it, or whose connections it broke.
    """

    worker: str
    requests: int = 0
    items: int = 0
    failing: int = 0


def pack_loads(loads: Iterable[WorkerLoad]) -> Loads:
    """The message of some loads. A worker whose id holds the separator is left out."""
    told = [load for load in loads if SEPARATOR not in load.worker]
    counts = [min(count, MAX_COUNT) for load in told for count in load[1:]]
    return Loads(
        workers=SEPARATOR.join(load.worker for load in told), counts=struct.pack(f"<{len(counts)}H", *counts)
    )


def unpack_loads(message: Loads) -> Iterator[WorkerLoad]:
    """The loads of a message; none where it is malformed."""
    workers = message.workers.split(SEPARATOR) if message.workers else []
    size = struct.calcsize(f"<{COUNTS_PER_WORKER * len(workers)}H")
    if len(message.counts) != size:
        return
    counts = struct.iter_unpack(f"<{COUNTS_PER_WORKER}H", message.counts)
    for worker, (requests, items, failing) in zip(workers, counts, strict=True):
        yield WorkerLoad(worker, requests, items, failing)

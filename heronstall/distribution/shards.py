"""Names of the shards of the control state."""

from __future__ import annotations

import zlib

CONFIG = "config"
WORKER_SHARDS = tuple(f"workers-{n}" for n in range(2))
BATCH_SHARDS = tuple(f"batch-{n}" for n in range(2))


def worker_shard(service: str) -> str:
    """Returns the registry shard that holds a service's workers."""
    return WORKER_SHARDS[zlib.crc32(service.encode()) % len(WORKER_SHARDS)]


def batch_shard(host: str) -> str:
    """Returns the shard that holds the batch jobs sent to a host."""
    return BATCH_SHARDS[zlib.crc32(host.lower().encode()) % len(BATCH_SHARDS)]

"""Limits of an HTTP server: of one request, and of what all its connections hold together."""

from __future__ import annotations

from dataclasses import dataclass

BYTES_PER_MB = 1024 * 1024
PROGRAM_MEMORY_MB = 64  # of a process that holds no requests
MIN_SHARED_MEMORY_MB = 16  # for requests, however small the machine
# A received byte exists up to five times at once: read, joined, decoded, encoded again, unsent.
RECEIVED_DIVISOR = 5
# A byte that a client does not read exists twice, in the response and in the transport's buffer.
UNSENT_DIVISOR = 8
CONNECTION_MEMORY_BYTES = 32 * 1024  # of a connection without a request
RESERVED_DESCRIPTORS = 200  # for files other than sockets
CONNECTION_SHARE = 0.5  # of the descriptors for sockets; the others lead to other processes
MIN_CONNECTIONS = 32


@dataclass(frozen=True)
class RequestLimits:
    """Limits of one client's requests, in bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True)
class ServerLimits:
    """Limits of all connections of a server together."""

    connections: int
    received_bytes: int  # of requests, until they are answered
    unsent_bytes: int  # of responses that clients do not read


def server_limits(memory_mb: int, max_fds: int) -> ServerLimits:
    """Returns the limits of a process's main server on a machine with this memory and these descriptors."""
    shared_bytes = max(MIN_SHARED_MEMORY_MB, memory_mb - PROGRAM_MEMORY_MB) * BYTES_PER_MB
    sockets = int(CONNECTION_SHARE * (max_fds - RESERVED_DESCRIPTORS))
    return ServerLimits(
        connections=max(MIN_CONNECTIONS, min(sockets, shared_bytes // CONNECTION_MEMORY_BYTES)),
        received_bytes=shared_bytes // RECEIVED_DIVISOR,
        unsent_bytes=shared_bytes // UNSENT_DIVISOR,
    )


# For an address with small requests and responses and few callers, beside the main server of a process.
SMALL_SERVER_LIMITS = ServerLimits(
    connections=MIN_CONNECTIONS, received_bytes=256 * 1024, unsent_bytes=1024 * 1024
)

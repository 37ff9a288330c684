"""Memory and descriptors of processes, with the bytes that wait unread in their sockets."""

from __future__ import annotations

import socket
import struct
import threading
from collections import defaultdict
from collections.abc import Mapping
from pathlib import Path

SAMPLE_INTERVAL_S = 0.05
BYTES_PER_KB = 1024


class UsageMonitor:
    """Samples processes, given by the IP address at which each alone listens, until it is stopped."""

    def __init__(self, pids: Mapping[str, int]) -> None:
        self._pids = dict(pids)
        self._peak_bytes: dict[str, int] = defaultdict(int)
        self._peak_descriptors: dict[str, int] = defaultdict(int)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Ends the sampling."""
        self._stopped.set()
        self._thread.join()

    def peak_memory(self, ip: str) -> int:
        """The largest sum of a process's resident and unread bytes, or a larger peak of the former."""
        return max(self._peak_bytes[ip], _status_bytes(self._pids[ip], "VmHWM"))

    def peak_descriptors(self, ip: str) -> int:
        """The largest number of open descriptors of a process."""
        return self._peak_descriptors[ip]

    def _run(self) -> None:
        while not self._stopped.wait(SAMPLE_INTERVAL_S):
            unread = unread_bytes()
            for ip, pid in self._pids.items():
                held = _status_bytes(pid, "VmRSS") + unread[ip]
                self._peak_bytes[ip] = max(self._peak_bytes[ip], held)
                self._peak_descriptors[ip] = max(self._peak_descriptors[ip], _descriptors(pid))


def unread_bytes() -> dict[str, int]:
    """Received bytes that no process has read yet, by local IPv4 address."""
    found: dict[str, int] = defaultdict(int)
    for line in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        local, state, queues = fields[1], fields[3], fields[4]
        if state == "0A":  # of a listening socket the field counts connections
            continue
        ip = socket.inet_ntoa(struct.pack("=I", int(local.partition(":")[0], 16)))
        found[ip] += int(queues.partition(":")[2], 16)
    return found


def _status_bytes(pid: int, key: str) -> int:
    """A field of a process's status in bytes; 0 for a process that is gone."""
    try:
        status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    except OSError:
        return 0
    values = [line.split()[1] for line in status.splitlines() if line.startswith(f"{key}:")]
    return int(values[0]) * BYTES_PER_KB if values else 0


def _descriptors(pid: int) -> int:
    try:
        return len(list(Path(f"/proc/{pid}/fd").iterdir()))
    except OSError:
        return 0

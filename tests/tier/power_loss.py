"""The files that a power loss leaves of a simulated node: everything synced and any part of the rest."""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from pathlib import Path


class Crashed(BaseException):
    """A node has lost power within a system call; nothing that it was doing continues."""


class SyncedFiles:
    """Records what each file contained at its last sync. `sync` replaces `os.fsync` and `os.fdatasync`."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._synced: dict[Path, bytes] = {}
        self._pending_crashes: dict[Path, Callable[[], None]] = {}
        self.torn_files = 0  # files of which unsynced content was lost or partly kept

    def crash_at_next_sync(self, folder: Path, crash: Callable[[], None]) -> None:
        """Calls `crash` at a node's next sync, before anything reaches the disk."""
        self._pending_crashes[folder] = crash

    def cancel_crash(self, folder: Path) -> bool:
        """Cancels a scheduled crash. Returns whether it had not happened yet."""
        return self._pending_crashes.pop(folder, None) is not None

    def sync(self, descriptor: int) -> None:
        """Records the content of a file. Raises Crashed if a crash is scheduled.

        A folder's entries are taken to be as durable as the files that they name.
        """
        path = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        crash = self._pending_crashes.pop(path.parent if path.is_file() else path, None)
        if crash is not None:
            crash()
            raise Crashed
        if path.is_file():
            self._synced[path] = path.read_bytes()

    def lose_power(self, folder: Path) -> None:
        """Keeps what was synced of each file and all, none or a part of the rest."""
        for path in sorted(folder.iterdir()) if folder.is_dir() else ():
            written, synced = path.read_bytes(), self._synced.get(path)
            if written == synced:
                continue
            self.torn_files += 1
            if synced is None:
                self._truncate_randomly(path, written, b"")
            elif written.startswith(synced):
                self._truncate_randomly(path, written, synced)
            else:  # overwritten in place: the old image, the new one, or a mixture that fails its checksum
                surviving = self._random.choice(
                    (synced, written, written[: len(written) // 2] + synced[len(written) // 2 :])
                )
                path.write_bytes(surviving)

    def _truncate_randomly(self, path: Path, written: bytes, synced: bytes) -> None:
        path.write_bytes(written[: self._random.randint(len(synced), len(written))])

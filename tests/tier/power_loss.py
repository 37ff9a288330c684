"""What a loss of power leaves of a simulated node's files: what was synced, and any part of the rest."""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from pathlib import Path


class Crashed(BaseException):
    """A node has lost power within a call to the system: nothing of what it was doing goes on."""


class SyncedFiles:
    """Remembers what each file held at its last sync. `sync` stands for `os.fsync` and `os.fdatasync`."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._synced: dict[Path, bytes] = {}
        self._doomed: dict[Path, Callable[[], None]] = {}
        self.torn = 0  # files that lost or kept only a part of what was not synced

    def doom(self, folder: Path, strike: Callable[[], None]) -> None:
        """Have a node's next sync be its last moment: `strike` ends it before anything is on the disk."""
        self._doomed[folder] = strike

    def spare(self, folder: Path) -> bool:
        """Take that back; whether it had not happened yet."""
        return self._doomed.pop(folder, None) is not None

    def sync(self, descriptor: int) -> None:
        """Note what a file holds; a folder's names last with the files that they name. Raises Crashed."""
        path = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        strike = self._doomed.pop(path.parent if path.is_file() else path, None)
        if strike is not None:
            strike()
            raise Crashed
        if path.is_file():
            self._synced[path] = path.read_bytes()

    def lose_power(self, folder: Path) -> None:
        """Leave of each file what was synced, and of the rest all, nothing, or a part."""
        for path in sorted(folder.iterdir()) if folder.is_dir() else ():
            held, safe = path.read_bytes(), self._synced.get(path)
            if held == safe:
                continue
            self.torn += 1
            if safe is None:
                self._leave(path, held, b"")
            elif held.startswith(safe):
                self._leave(path, held, safe)
            else:  # written anew in its place: one image, the other, or a mixture that no checksum covers
                kept = self._random.choice((safe, held, held[: len(held) // 2] + safe[len(held) // 2 :]))
                path.write_bytes(kept)

    def _leave(self, path: Path, held: bytes, safe: bytes) -> None:
        path.write_bytes(held[: self._random.randint(len(safe), len(held))])

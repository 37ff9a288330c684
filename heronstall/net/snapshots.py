"""The snapshot's file: read once at the start, written anew when the list has changed.

Imported only where the operator's file names a folder. A folder that is full, read-only or gone costs a log
line and nothing else.
"""

from __future__ import annotations

import contextlib
import logging
import os
from pathlib import Path
from typing import Any

from heronstall import events
from heronstall.config import Config
from heronstall.events import log_event
from heronstall.net.loop import Loop
from heronstall.net.server_table import ServerTable
from heronstall.operator import SnapshotSettings
from heronstall.start.snapshot import MAX_SIZE, UnusableSnapshot, newer_list, pack, unpack

LOOK = 2_000_000  # between looks at whether the list has changed
REWRITE = 600_000_000  # an unchanged one is dated anew so often
AGAIN = 60_000_000  # after a write that failed
log = logging.getLogger("heronstall.snapshots")


class Snapshots:
    """One process's."""

    def __init__(self, config: Config, told: SnapshotSettings, loop: Loop, offset: int) -> None:
        self._config, self._loop, self._offset = config, loop, offset
        self._most_age = round(told.max_age_h * 3.6e9)
        safe = "".join(letter if letter.isalnum() else "_" for letter in config.name)
        self._path = Path(told.dir) / f"heronstall-{safe}.snapshot"
        self._discovery = ":".join(map(str, config.discovery))
        self._written: tuple[int, int] | None = None  # revision, and when it was written

    def start_from(self) -> Any:
        """The list to start from: the snapshot's or the one we are told, whichever is later."""
        snapshot = None
        try:
            if self._path.stat().st_size > MAX_SIZE:
                raise UnusableSnapshot("too large")
            now = self._loop.now + self._offset
            data = self._path.read_bytes()
            snapshot = unpack(self._config.name, self._discovery, data, now, self._most_age)
        except FileNotFoundError:
            pass
        except (OSError, UnusableSnapshot) as error:
            log_event(log, events.SNAPSHOT_IGNORED, path=str(self._path), reason=str(error))
        return newer_list(snapshot, self._config.known)

    def begin(self, table: ServerTable) -> None:
        """Keep the file up to date."""
        self._table = table
        self._loop.at(self._loop.now + LOOK, self._look)

    def _look(self) -> None:
        pause, now = LOOK, self._loop.now
        rev = self._table.rev if self._table.heard else None
        if rev is not None and self._due(rev, now):
            try:
                told = self._table.whole()
                self._write(pack(self._config.name, self._discovery, now + self._offset, told))
                self._written = rev, now
            except OSError as error:
                pause = AGAIN
                log_event(log, events.SNAPSHOT_FAILED, path=str(self._path), reason=str(error))
        self._loop.at(now + pause, self._look)

    def _due(self, rev: int, now: int) -> bool:
        return self._written is None or self._written[0] != rev or now - self._written[1] > REWRITE

    def _write(self, data: bytes) -> None:
        """Beside it and then in its place, so that it is whole at any moment. Not synced: after a loss of
        power its sum tells, and the loop never waits for a disk."""
        aside = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        try:
            aside.write_bytes(data)
            os.replace(aside, self._path)
        except OSError:
            with contextlib.suppress(OSError):
                aside.unlink()
            raise

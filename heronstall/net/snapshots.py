"""Saves the server list in a file: reads it once at the start, and writes it when the list has changed.

Imported only if the operator's file names a directory. A directory that is full, read-only or missing costs
a log line and nothing else.
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

CHECK_INTERVAL_US = 2_000_000  # between checks whether the list has changed
REWRITE_INTERVAL_US = 600_000_000  # after which an unchanged list is written again with the current time
RETRY_DELAY_US = 60_000_000  # after a failed write
log = logging.getLogger("heronstall.snapshots")


class SnapshotStore:
    """The snapshot file of one process."""

    def __init__(self, config: Config, settings: SnapshotSettings, loop: Loop, offset: int) -> None:
        self._config, self._loop, self._offset = config, loop, offset
        self._max_age_us = round(settings.max_age_h * 3.6e9)
        safe_name = "".join(letter if letter.isalnum() else "_" for letter in config.name)
        self._path = Path(settings.dir) / f"heronstall-{safe_name}.snapshot"
        self._discovery = ":".join(map(str, config.discovery))
        self._last_write: tuple[int, int] | None = None  # the revision, and the time of the write

    def load(self) -> Any:
        """Returns the list to start from: the later one of the snapshot and the list in the configuration."""
        snapshot = None
        try:
            if self._path.stat().st_size > MAX_SIZE:
                raise UnusableSnapshot("too large")
            now = self._loop.now + self._offset
            data = self._path.read_bytes()
            snapshot = unpack(self._config.name, self._discovery, data, now, self._max_age_us)
        except FileNotFoundError:
            pass
        except (OSError, UnusableSnapshot) as error:
            log_event(log, events.SNAPSHOT_IGNORED, path=str(self._path), reason=str(error))
        return newer_list(snapshot, self._config.known)

    def start(self, table: ServerTable) -> None:
        """Keeps the file up to date from now on."""
        self._table = table
        self._loop.at(self._loop.now + CHECK_INTERVAL_US, self._check)

    def _check(self) -> None:
        delay, now = CHECK_INTERVAL_US, self._loop.now
        rev = self._table.rev if self._table.answered else None
        if rev is not None and self._is_due(rev, now):
            try:
                server_list = self._table.full_list()
                self._write(pack(self._config.name, self._discovery, now + self._offset, server_list))
                self._last_write = rev, now
            except OSError as error:
                delay = RETRY_DELAY_US
                log_event(log, events.SNAPSHOT_FAILED, path=str(self._path), reason=str(error))
        self._loop.at(now + delay, self._check)

    def _is_due(self, rev: int, now: int) -> bool:
        """Returns whether the file must be written."""
        return (
            self._last_write is None
            or self._last_write[0] != rev
            or now - self._last_write[1] > REWRITE_INTERVAL_US
        )

    def _write(self, data: bytes) -> None:
        """Writes a temporary file and renames it, so that the file is complete at any time.

        The file is not synced, so that the loop never waits for a disk. After a power loss the checksum shows
        whether it is damaged.
        """
        temporary = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        try:
            temporary.write_bytes(data)
            os.replace(temporary, self._path)
        except OSError:
            with contextlib.suppress(OSError):
                temporary.unlink()
            raise

"""The state set by operators: bans and the drain, shared by all processes that serve as this dispatcher."""

from __future__ import annotations

import logging
from pathlib import Path

from heronstall import events
from heronstall.events import log_event
from heronstall.net.loop import Loop
from heronstall.net.server_table import ServerTable
from heronstall.net.shutdown import GracefulShutdown
from heronstall.ops.bans import Bans, TimedFlag
from heronstall.ops.state_files import InvalidFile, State, StateDirectory

# Between reads of the other processes' files: a tenth of the shortest drain grace of any deployment so far.
READ_INTERVAL_US = 200_000
log = logging.getLogger("heronstall.book")


class OperatorState:
    """The bans and the drain, and the files that share them with other processes, if a folder is given."""

    def __init__(self, loop: Loop, offset: int, bans: Bans, shutdown: GracefulShutdown) -> None:
        self._loop, self._offset, self._bans, self._shutdown = loop, offset, bans, shutdown
        self._drain: TimedFlag | None = None
        self._files: StateDirectory | None = None
        self._table: ServerTable | None = None

    def open(self, folder: Path, node: str) -> None:
        """Reads the state in the folder, before anything is sent, and shares later changes through it."""
        try:
            self._files = StateDirectory(folder, node)
        except OSError as error:
            self._disable_files(error)
            return
        self._read_files()
        self._write_file()
        if self._files is not None:
            self._files.remove_stale_files()

    def watch(self, table: ServerTable) -> None:
        """Reads the files repeatedly from now on and informs the table of bans set at other processes."""
        self._table = table
        if self._files is not None:
            self._loop.at(self._loop.now + READ_INTERVAL_US, self._poll)

    def record_change(self) -> None:
        """Records that an operator has changed a ban or the drain."""
        drained = self._shutdown.drained
        if drained != (self._drain is not None and self._drain.out):
            now = self._loop.now + self._offset
            previous = self._drain.at_us if self._drain else 0
            self._drain = TimedFlag(max(now, previous + 1), drained)
        self._write_file()

    def _poll(self) -> None:
        self._read_files()
        if self._files is not None:
            self._loop.at(self._loop.now + READ_INTERVAL_US, self._poll)

    def _read_files(self) -> None:
        if self._files is None:
            return
        try:
            for state in self._files.read():
                if isinstance(state, InvalidFile):
                    log_event(log, events.HANDOVER_IGNORED, path=state.path, reason=state.reason)
                else:
                    self._apply(state)
        except OSError as error:
            self._disable_files(error)

    def _apply(self, state: State) -> None:
        """Adopts what is newer in another process's state."""
        changed = self._bans.merge(state.bans)
        if changed and self._table is not None:
            self._table.apply_bans(changed)
        # Only the drain of a living process counts: a dispatcher that was stopped starts without a drain.
        drain = state.drain
        newer = drain is not None and state.alive and (self._drain is None or drain > self._drain)
        if drain is not None and newer:
            self._drain = drain
            if drain.out:
                self._shutdown.drain()
            else:
                self._shutdown.rejoin()
        # The process that recorded the change may be gone when the next one starts and reads this file.
        if (changed or newer) and self._table is not None:
            self._write_file()

    def _write_file(self) -> None:
        if self._files is not None:
            try:
                self._files.write(State(self._bans.rows(), self._drain))
            except OSError as error:
                self._disable_files(error)

    def _disable_files(self, error: OSError) -> None:
        """Stops using the folder after an error; this process continues with the state that it has."""
        self._files = None
        log_event(log, events.SHARED_STATE_LOST, reason=str(error))

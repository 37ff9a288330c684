"""What operators have said by hand, kept together by all processes that serve as this dispatcher."""

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

LOOK = 200_000  # between looks at what the others have heard: a tenth of the least drain grace met so far
log = logging.getLogger("heronstall.book")


class Book:
    """The bans and the drain, and the files that carry them to other processes, where a folder is told."""

    def __init__(self, loop: Loop, offset: int, bans: Bans, shutdown: GracefulShutdown) -> None:
        self._loop, self._offset, self._bans, self._shutdown = loop, offset, bans, shutdown
        self._drain: TimedFlag | None = None
        self._files: StateDirectory | None = None
        self._table: ServerTable | None = None

    def open(self, folder: Path, node: str) -> None:
        """Take over what is written there, before anything is sent, and keep to it from now on."""
        try:
            self._files = StateDirectory(folder, node)
        except OSError as error:
            self._lost(error)
            return
        self._look()
        self._write()
        if self._files is not None:
            self._files.remove_stale_files()

    def follow(self, table: ServerTable) -> None:
        """Tell the table of each ban that another process hears of."""
        self._table = table
        if self._files is not None:
            self._loop.at(self._loop.now + LOOK, self._again)

    def changed(self) -> None:
        """An operator has taken a server out or in, or begun or ended the drain."""
        drained = self._shutdown.drained
        if drained != (self._drain is not None and self._drain.out):
            now = self._loop.now + self._offset
            before = self._drain.at_us if self._drain else 0
            self._drain = TimedFlag(max(now, before + 1), drained)
        self._write()

    def _again(self) -> None:
        self._look()
        if self._files is not None:
            self._loop.at(self._loop.now + LOOK, self._again)

    def _look(self) -> None:
        if self._files is None:
            return
        try:
            for state in self._files.read():
                if isinstance(state, InvalidFile):
                    log_event(log, events.HANDOVER_IGNORED, path=state.path, reason=state.reason)
                else:
                    self._take(state)
        except OSError as error:
            self._lost(error)

    def _take(self, state: State) -> None:
        changed = self._bans.merge(state.bans)
        if changed and self._table is not None:
            self._table.banned(changed)
        # Only a living process's drain is one of this dispatcher's: a start after a stop is a fresh one.
        word = state.drain
        newer = word is not None and state.alive and (self._drain is None or word > self._drain)
        if word is not None and newer:
            self._drain = word
            if word.out:
                self._shutdown.drain()
            else:
                self._shutdown.rejoin()
        # Whoever said it may be gone when the next process comes; that one asks who is left.
        if (changed or newer) and self._table is not None:
            self._write()

    def _write(self) -> None:
        if self._files is not None:
            try:
                self._files.write(State(self._bans.rows(), self._drain))
            except OSError as error:
                self._lost(error)

    def _lost(self, error: OSError) -> None:
        """The folder cannot be used: this process serves on with what it knows."""
        self._files = None
        log_event(log, events.SHARED_STATE_LOST, reason=str(error))

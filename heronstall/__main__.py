"""The real dispatcher: configuration, logging, start and signals."""

from __future__ import annotations

import gc
import logging
import os
import signal
import socket
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING

from heronstall import events
from heronstall.config import Config, ConfigError, fixed_changes, load, reload
from heronstall.events import say
from heronstall.net.backend import ConnectionPool, HttpBackend
from heronstall.net.dispatcher import Dispatcher
from heronstall.net.frontend import Frontend
from heronstall.net.loop import READ, Coroutine, Loop, monotonic_us
from heronstall.net.server_table import ServerTable
from heronstall.net.shutdown import GracefulShutdown
from heronstall.operator import (
    Operator,
    OperatorError,
    PeersFile,
    SnapshotFile,
    TakeoverFile,
    read,
    start_logging,
)
from heronstall.ops.bans import Bans

if TYPE_CHECKING:
    from heronstall.net.daily import Daily
    from heronstall.net.peers.hub import Peers
    from heronstall.ops.detail import Detail

RESERVED = (
    40  # descriptors for the standard streams, epoll, the listener, the watch and what closes meanwhile
)
# How long the list last held must wait for news before it serves alone: discovery's agent answers in
# milliseconds where it can. Guards a mass restart, at which discovery turns most away, against an idle fleet.
FIRST_LIST = 300_000
LOOK = 100_000  # between looks at how late the loop's own calls come
ENDS = (signal.SIGTERM, signal.SIGINT)
log = logging.getLogger("heronstall")


class Program:
    """The parts, put together and started, and what the signals do to them."""

    def __init__(
        self,
        config: Config,
        loop: Loop,
        folder: Path | None = None,
        told: PeersFile | None = None,
        snapshot: SnapshotFile | None = None,
        takeover: TakeoverFile | None = None,
    ) -> None:
        offset = time.time_ns() // 1000 - monotonic_us()
        born = loop.now
        self.config, self.dispatcher = config, Dispatcher(config, loop)
        self._loop, self._offset = loop, offset
        self.shutdown, bans = GracefulShutdown(loop), Bans()
        self.daily: Daily | None = None
        if config.operator is not None:
            from heronstall.net.daily import Daily  # only here: what is not imported costs a start nothing

            self.daily = Daily(config, config.operator, loop, offset, bans, self.shutdown, folder)
        self.peers: Peers | None = None
        if told is not None:
            from heronstall.net.peers.hub import Peers

            self.peers = Peers(config, told, loop)
        half = self._half()
        pool = ConnectionPool(loop, config, half)
        self.table = table = ServerTable(config, loop, offset, self.dispatcher.post, bans)
        self.dispatcher.table = table
        table.moved = pool.drop_idle
        self.dispatcher.backend = HttpBackend(config, loop, self.dispatcher, pool)

        def settled() -> bool:
            return table.answered or loop.now - born > FIRST_LIST

        def ready() -> bool:
            return table.any_serving() and settled()

        def taking() -> bool:
            return bool(table.listed()) and settled()

        self._pool = pool
        if self.peers is not None:
            self.peers.begin(table, self.dispatcher)
        guard = None
        if self.peers is not None and takeover is not None:
            from heronstall.net.takeover.start import begin

            guard = begin(config, takeover, loop, self.peers, self.dispatcher)
        handed = self.daily.table if self.daily is not None else None
        if snapshot is not None:
            from heronstall.net.snapshots import SnapshotStore

            snapshots = SnapshotStore(config, snapshot, loop, offset)
            handed = handed or snapshots.load()
            snapshots.start(table)
        table.start(handed)
        listener = self.daily.listener if self.daily is not None else None
        self.frontend = Frontend(config, loop, self.dispatcher, ready, half, self.shutdown, listener)
        if self.daily is not None:
            self.daily.begin(self.dispatcher, table, self.frontend, pool, taking, self._half)
            if guard is not None:
                self.daily.operations.takeover = guard.figures

    def _half(self, processes: int = 1) -> int:
        """Descriptors for clients, and as many for servers: a session holds one on either side."""
        kept = RESERVED + sum(part.descriptors for part in (self.daily, self.peers) if part is not None)
        return max(1, (self.config.sockets // processes - kept) // 2)

    def detail(self) -> Detail | None:
        """Have the door tell what a change is judged by; None without a door. Raises ImportError."""
        if self.daily is None:
            return None
        from heronstall.ops.detail import Alarms, Detail

        config, loop, figures = self.config, self._loop, self.dispatcher.figures
        detail = Detail(list(config.classes), config.settings.classes, loop.now + self._offset, os.environ)
        detail.attempts, detail.connects = lambda: figures.forwards, lambda: self._pool.connects
        self.daily.operations.detail = detail.rows
        logging.getLogger("heronstall").addHandler(Alarms(detail))

        def look(due: int) -> None:
            now = monotonic_us()
            detail.delayed(max(0, now - due))
            loop.at(now + LOOK, lambda: look(now + LOOK))

        look(monotonic_us())
        return detail

    def _leave(self) -> None:
        self.shutdown.stop()
        if self.peers is not None:
            self.peers.leave()
        if self.daily is not None:
            self.daily.hand_over()

    def signals(self, waker: socket.socket) -> Coroutine[None]:
        """Carry out the signals whose numbers come in at the waker."""
        while True:
            yield waker.fileno(), READ, None
            for number in waker.recv(64):
                try:
                    self._signal(number)
                except Exception:  # guards the next signal: without it SIGTERM would never be heard
                    say(log, events.UNEXPECTED, where=f"carrying out signal {number}")

    def _signal(self, number: int) -> None:
        if number == signal.SIGHUP:
            self.reload(os.environ)
        elif number in ENDS:
            say(log, events.DRAINING, signal=signal.Signals(number).name)
            self._leave()

    def reload(self, environ: Mapping[str, str]) -> None:
        """Read the configuration again; a wrong one changes nothing."""
        try:
            config = reload(environ)
        except ConfigError as error:
            say(log, events.RELOAD_WRONG, reason=str(error))
            return
        for key in fixed_changes(self.config, config):
            say(log, events.RELOAD_FIXED, key=key)
        say(log, events.RELOADED, host=config.discovery[0], port=config.discovery[1])
        self.table.switch_discovery(config.discovery)


def _catch_signals() -> socket.socket:
    """Where the numbers of signals come in from now on, be it before the loop turns."""
    waker, wakened = socket.socketpair()
    waker.setblocking(False)
    wakened.setblocking(False)
    signal.set_wakeup_fd(wakened.detach(), warn_on_full_buffer=False)
    for number in (*ENDS, signal.SIGHUP):
        signal.signal(number, lambda *_: None)
    return waker


def main() -> int:
    """Serve until SIGTERM or SIGINT; 2 for a wrong configuration."""
    # First of all: guards against a reload or restart that comes early and would kill the process.
    waker = _catch_signals()
    start_logging(Operator())
    try:
        operator = read(os.environ)
        start_logging(operator)
    except OperatorError as error:
        say(log, events.SETTINGS_WRONG, reason=str(error))
        return 2
    try:
        config = load(os.environ)
    except ConfigError as error:
        say(log, events.CONFIG_WRONG, reason=str(error))
        return 2
    loop = Loop()
    host, port = config.listen
    try:
        folder = Path(name) if (name := os.environ.get("TMPDIR")) else None
        program = Program(config, loop, folder, operator.peers, operator.snapshot, operator.takeover)
    except ConfigError as error:  # an address that only the attempt shows to be of no use
        say(log, events.CONFIG_WRONG, reason=str(error))
        return 2
    except OSError as error:
        say(log, events.LISTEN_FAILED, host=host, port=port, reason=str(error))
        return 1
    recorder = None
    if operator.trace_dir:
        try:
            from heronstall.trace.recorder import Recorder
        except ImportError as error:
            say(log, events.SETTINGS_WRONG, reason=f"trace.dir: a trace wants the extra `trace`: {error}")
            return 2
        recorder = Recorder(operator, config.name, config.told, loop.now)
        program.dispatcher.observers.append(recorder)
    if operator.detail:
        try:
            detail = program.detail()
            if detail is not None:
                program.dispatcher.observers.append(detail)
        except ImportError as error:
            reason = f"figures.detail: these figures want the extra `figures`: {error}"
            say(log, events.SETTINGS_WRONG, reason=reason)
            return 2
    loop.spawn(program.signals(waker), "signals")
    gc.freeze()
    gc.set_threshold(50_000, 20, 100)
    say(log, events.STARTED, node=config.name, host=host, port=port)
    loop.run()
    if recorder is not None:
        recorder.close()
    say(log, events.ENDED, node=config.name)
    return 0


if __name__ == "__main__":
    sys.exit(main())

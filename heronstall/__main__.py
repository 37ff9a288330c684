"""The dispatcher program: configuration, logging, start and signals."""

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
from heronstall.config import Config, ConfigError, load, reload, restart_only_changes
from heronstall.events import log_event
from heronstall.net.backend import ConnectionPool, HttpBackend
from heronstall.net.dispatcher import Dispatcher
from heronstall.net.frontend import Frontend
from heronstall.net.loop import READ, Coroutine, Loop, monotonic_us
from heronstall.net.server_table import ServerTable
from heronstall.net.shutdown import GracefulShutdown
from heronstall.operator import (
    OperatorError,
    OperatorSettings,
    PeerSettings,
    SnapshotSettings,
    TakeoverSettings,
    read,
    start_logging,
)
from heronstall.ops.bans import Bans

if TYPE_CHECKING:
    from heronstall.net.operator_interface import OperatorInterface
    from heronstall.net.peers.service import PeerService
    from heronstall.ops.detail import DetailedMetrics

RESERVED_DESCRIPTORS = (
    40  # for the standard streams, epoll, the listener, the watch and connections being closed
)
# Microseconds to wait for a current server list before serving with the previous one. Discovery's agent
# answers in milliseconds if it can. The limit keeps the fleet from idling after a mass restart, in which
# discovery refuses most calls.
LIST_WAIT = 300_000
LOOP_LAG_INTERVAL = 100_000  # microseconds between measurements of the event loop's lag
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
log = logging.getLogger("heronstall")


class Program:
    """The parts of the dispatcher, their start and the handling of signals."""

    def __init__(
        self,
        config: Config,
        loop: Loop,
        folder: Path | None = None,
        peers_file: PeerSettings | None = None,
        snapshot: SnapshotSettings | None = None,
        takeover: TakeoverSettings | None = None,
    ) -> None:
        offset = time.time_ns() // 1000 - monotonic_us()
        started_at = loop.now
        self.config, self.dispatcher = config, Dispatcher(config, loop)
        self._loop, self._offset = loop, offset
        self.shutdown, bans = GracefulShutdown(loop), Bans()
        self.operator_interface: OperatorInterface | None = None
        if config.operator is not None:
            from heronstall.net.operator_interface import (
                OperatorInterface,
            )  # imported only when needed, for a faster start

            self.operator_interface = OperatorInterface(
                config, config.operator, loop, offset, bans, self.shutdown, folder
            )
        self.peers: PeerService | None = None
        if peers_file is not None:
            from heronstall.net.peers.service import PeerService

            self.peers = PeerService(config, peers_file, loop)
        descriptors = self._descriptors_per_side()
        pool = ConnectionPool(loop, config, descriptors)
        self.table = table = ServerTable(config, loop, offset, self.dispatcher.post, bans)
        self.dispatcher.table = table
        table.moved = pool.drop_idle
        self.dispatcher.backend = HttpBackend(config, loop, self.dispatcher, pool)

        def list_wait_over() -> bool:
            return table.answered or loop.now - started_at > LIST_WAIT

        def ready() -> bool:
            return table.any_serving() and list_wait_over()

        def accepting() -> bool:
            return bool(table.listed()) and list_wait_over()

        self._pool = pool
        if self.peers is not None:
            self.peers.start(table, self.dispatcher)
        guard = None
        if self.peers is not None and takeover is not None:
            from heronstall.net.takeover.start import start_takeover

            guard = start_takeover(config, takeover, loop, self.peers, self.dispatcher)
        initial_list = (
            self.operator_interface.inherited_server_list if self.operator_interface is not None else None
        )
        if snapshot is not None:
            from heronstall.net.snapshots import SnapshotStore

            snapshots = SnapshotStore(config, snapshot, loop, offset)
            initial_list = initial_list or snapshots.load()
            snapshots.start(table)
        table.start(initial_list)
        listener = self.operator_interface.inherited_listener if self.operator_interface is not None else None
        self.frontend = Frontend(config, loop, self.dispatcher, ready, descriptors, self.shutdown, listener)
        if self.operator_interface is not None:
            self.operator_interface.start(
                self.dispatcher, table, self.frontend, pool, accepting, self._descriptors_per_side
            )
            if guard is not None:
                self.operator_interface.operations.takeover_figures = guard.figures

    def _descriptors_per_side(self, processes: int = 1) -> int:
        """Returns the descriptors for clients. Servers get as many: a session holds one on each side."""
        reserved = RESERVED_DESCRIPTORS + sum(
            part.descriptors for part in (self.operator_interface, self.peers) if part is not None
        )
        return max(1, (self.config.sockets // processes - reserved) // 2)

    def enable_detail(self) -> DetailedMetrics | None:
        """Enables the figures that rollouts compare; None without operator interface. Raises ImportError."""
        if self.operator_interface is None:
            return None
        from heronstall.ops.detail import AlarmCounter, DetailedMetrics

        config, loop, figures = self.config, self._loop, self.dispatcher.figures
        detail = DetailedMetrics(
            list(config.classes), config.settings.classes, loop.now + self._offset, os.environ
        )
        detail.attempts, detail.connects = lambda: figures.forwards, lambda: self._pool.connects
        self.operator_interface.operations.detail_figures = detail.rows
        logging.getLogger("heronstall").addHandler(AlarmCounter(detail))

        def measure_lag(due: int) -> None:
            now = monotonic_us()
            detail.record_loop_delay(max(0, now - due))
            loop.at(now + LOOP_LAG_INTERVAL, lambda: measure_lag(now + LOOP_LAG_INTERVAL))

        measure_lag(monotonic_us())
        return detail

    def _begin_shutdown(self) -> None:
        self.shutdown.stop()
        if self.peers is not None:
            self.peers.leave()
        if self.operator_interface is not None:
            self.operator_interface.hand_over()

    def handle_signals(self, waker: socket.socket) -> Coroutine[None]:
        """Handles the signals whose numbers arrive on the wake-up socket."""
        while True:
            yield waker.fileno(), READ, None
            for number in waker.recv(64):
                try:
                    self._signal(number)
                except Exception:  # otherwise a later SIGTERM would not be handled
                    log_event(log, events.UNEXPECTED, where=f"handling signal {number}")

    def _signal(self, number: int) -> None:
        if number == signal.SIGHUP:
            self.reload(os.environ)
        elif number in STOP_SIGNALS:
            log_event(log, events.DRAINING, signal=signal.Signals(number).name)
            self._begin_shutdown()

    def reload(self, environ: Mapping[str, str]) -> None:
        """Reads the configuration again; an invalid one changes nothing."""
        try:
            config = reload(environ)
        except ConfigError as error:
            log_event(log, events.RELOAD_REJECTED, reason=str(error))
            return
        for key in restart_only_changes(self.config, config):
            log_event(log, events.RESTART_REQUIRED, key=key)
        log_event(log, events.RELOADED, host=config.discovery[0], port=config.discovery[1])
        self.table.switch_discovery(config.discovery)


def _catch_signals() -> socket.socket:
    """Returns a socket on which signal numbers arrive from now on, even before the loop runs."""
    waker, writer = socket.socketpair()
    waker.setblocking(False)
    writer.setblocking(False)
    signal.set_wakeup_fd(writer.detach(), warn_on_full_buffer=False)
    for number in (*STOP_SIGNALS, signal.SIGHUP):
        signal.signal(number, lambda *_: None)
    return waker


def main() -> int:
    """Serves until SIGTERM or SIGINT. Returns 2 for an invalid configuration."""
    # Must come first: an early signal to reload or restart would otherwise kill the process.
    waker = _catch_signals()
    start_logging(OperatorSettings())
    try:
        operator = read(os.environ)
        start_logging(operator)
    except OperatorError as error:
        log_event(log, events.SETTINGS_INVALID, reason=str(error))
        return 2
    try:
        config = load(os.environ)
    except ConfigError as error:
        log_event(log, events.CONFIG_INVALID, reason=str(error))
        return 2
    loop = Loop()
    host, port = config.listen
    try:
        folder = Path(name) if (name := os.environ.get("TMPDIR")) else None
        program = Program(config, loop, folder, operator.peers, operator.snapshot, operator.takeover)
    except ConfigError as error:  # an address that turns out to be unusable
        log_event(log, events.CONFIG_INVALID, reason=str(error))
        return 2
    except OSError as error:
        log_event(log, events.LISTEN_FAILED, host=host, port=port, reason=str(error))
        return 1
    recorder = None
    if operator.trace_dir:
        try:
            from heronstall.trace.recorder import Recorder
        except ImportError as error:
            log_event(
                log, events.SETTINGS_INVALID, reason=f"trace.dir: tracing requires the extra `trace`: {error}"
            )
            return 2
        recorder = Recorder(operator, config.name, config.settings_json, loop.now)
        program.dispatcher.observers.append(recorder)
    if operator.detail:
        try:
            detail = program.enable_detail()
            if detail is not None:
                program.dispatcher.observers.append(detail)
        except ImportError as error:
            reason = f"figures.detail: detailed figures require the extra `figures`: {error}"
            log_event(log, events.SETTINGS_INVALID, reason=reason)
            return 2
    loop.spawn(program.handle_signals(waker), "signals")
    gc.freeze()
    gc.set_threshold(50_000, 20, 100)
    log_event(log, events.STARTED, node=config.name, host=host, port=port)
    loop.run()
    if recorder is not None:
        recorder.close()
    log_event(log, events.ENDED, node=config.name)
    return 0


if __name__ == "__main__":
    sys.exit(main())

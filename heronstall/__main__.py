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

from heronstall import events
from heronstall.config import Config, ConfigError, fixed_changes, load, reload
from heronstall.events import say
from heronstall.net.backend import HttpBackend, Pool
from heronstall.net.dispatcher import Dispatcher
from heronstall.net.door import CALLERS, Door
from heronstall.net.frontend import Frontend
from heronstall.net.leaving import Leaving
from heronstall.net.loop import READ, Coroutine, Loop, clock
from heronstall.net.operations import Operations
from heronstall.net.server_table import ServerTable
from heronstall.operator import Operator, OperatorError, read, start_logging

RESERVED = (
    40  # descriptors for the standard streams, epoll, the listener, the watch and what closes meanwhile
)
# How long the list last held must wait for news before it serves alone: discovery's agent answers in
# milliseconds where it can. Guards a mass restart, at which discovery turns most away, against an idle fleet.
FIRST_LIST = 300_000
ENDS = (signal.SIGTERM, signal.SIGINT)
log = logging.getLogger("heronstall")


class Program:
    """The parts, put together and started, and what the signals do to them."""

    def __init__(self, config: Config, loop: Loop) -> None:
        offset = time.time_ns() // 1000 - clock()
        born = loop.now
        kept = RESERVED + (CALLERS if config.operator else 0)
        half = (config.sockets - kept) // 2  # a session holds one descriptor on either side
        self.config, self.dispatcher = config, Dispatcher(config, loop)
        pool = Pool(loop, config, half)
        self.table = table = self.dispatcher.table = ServerTable(config, loop, offset, self.dispatcher.post)
        table.moved = pool.forget
        self.dispatcher.backend = HttpBackend(config, loop, self.dispatcher, pool)

        def settled() -> bool:
            return table.heard or loop.now - born > FIRST_LIST

        table.start()
        self.leaving = Leaving(loop)
        self.frontend = Frontend(
            config, loop, self.dispatcher, lambda: table.any_serving() and settled(), half, self.leaving
        )
        if config.operator is not None:
            operations = Operations(
                self.dispatcher, table, self.leaving, lambda: bool(table.listed()) and settled()
            )
            self.door = Door(loop, config.operator, operations)

    def signals(self, waker: socket.socket) -> Coroutine[None]:
        """Carry out the signals whose numbers come in at the waker."""
        while True:
            yield waker.fileno(), READ, None
            for number in waker.recv(64):
                if number == signal.SIGHUP:
                    self.reload(os.environ)
                elif number in ENDS:
                    say(log, events.DRAINING, signal=signal.Signals(number).name)
                    self.leaving.leave()

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
        self.table.follow(config.discovery)


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
        program = Program(config, loop)
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
        program.dispatcher.observer = recorder
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

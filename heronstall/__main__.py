"""The real dispatcher: configuration, logging, start and signals."""

from __future__ import annotations

import gc
import logging
import os
import signal
import socket
import sys
import time
from collections.abc import Callable, Mapping
from pathlib import Path

from heronstall import events
from heronstall.config import Address, Config, ConfigError, fixed_changes, load, reload
from heronstall.events import say
from heronstall.net.backend import HttpBackend, Pool
from heronstall.net.book import Book
from heronstall.net.dispatcher import Dispatcher
from heronstall.net.door import CALLERS, Door
from heronstall.net.frontend import Frontend
from heronstall.net.leaving import Leaving, Stage
from heronstall.net.loop import READ, Coroutine, Loop, clock
from heronstall.net.operations import Operations
from heronstall.net.server_table import ServerTable
from heronstall.net.succession import Claim, Share, Succession, claim
from heronstall.operator import Operator, OperatorError, read, start_logging
from heronstall.ops.bans import Bans

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

    def __init__(self, config: Config, loop: Loop, folder: Path | None = None) -> None:
        offset = time.time_ns() // 1000 - clock()
        born = loop.now
        self.config, self.loop, self.dispatcher = config, loop, Dispatcher(config, loop)
        self.leaving = Leaving(loop)
        bans = Bans()
        self.book = Book(loop, offset, bans, self.leaving)
        half = self._half(False)
        self.pool = pool = Pool(loop, config, half)
        self.table = table = ServerTable(config, loop, offset, self.dispatcher.post, bans)
        self.dispatcher.table = table
        table.moved = pool.forget
        self.dispatcher.backend = HttpBackend(config, loop, self.dispatcher, pool)

        def settled() -> bool:
            return table.heard or loop.now - born > FIRST_LIST

        def taking() -> bool:
            return bool(table.listed()) and settled()

        path = None if folder is None else folder / f"heronstall-{config.name}.sock".replace("/", "_")
        claimed: Claim | None = None
        if config.operator is not None and folder is not None and path is not None:
            self.book.open(folder, config.name)
            claimed = claim(path, config.name, config.listen)
        table.start(claimed.table if claimed is not None else None)
        self.frontend = Frontend(
            config,
            loop,
            self.dispatcher,
            lambda: table.any_serving() and settled(),
            half,
            self.leaving,
            claimed.listener if claimed is not None else None,
        )
        self.succession: Succession | None = None
        if config.operator is not None:
            if path is not None:
                self._succeed(path, claimed, taking)
            self._operate(config.operator, taking)

    def _operate(self, address: Address, taking: Callable[[], bool]) -> None:
        def begun() -> bool:
            # Guards against a yes that has the process before stopped while it knows of no heir yet.
            return taking() if self.succession is None else self.succession.begun

        operations = Operations(self.dispatcher, self.table, self.leaving, begun)
        operations.changed = self.book.changed
        try:
            self.door = Door(self.loop, address, operations)
        except OSError as error:
            raise ConfigError(f"operator: cannot listen on {address[0]}:{address[1]}: {error}") from None

    def _succeed(self, path: Path, claimed: Claim | None, taking: Callable[[], bool]) -> None:
        """Be heir of the process before, if there is one, and ready for the one that comes after."""
        self.book.follow(self.table)
        config, listener = self.config, self.frontend.listener
        self.succession = succession = Succession(
            self.loop, path, config.name, config.listen, listener, taking, self.table.whole
        )
        succession.adopt, succession.know = self.frontend.adopt, self.frontend.know
        succession.shared, succession.orphaned = self._share, self.frontend.take_back
        succession.heired = self._hand_over
        if claimed is not None:
            succession.inherit(claimed.channel)
        succession.begin()

    def _half(self, both: bool) -> int:
        """Descriptors for clients, and as many for servers: a session holds one on either side."""
        kept = RESERVED + (CALLERS if self.config.operator else 0)
        return max(1, (self.config.sockets // (1 + both) - kept) // 2)

    def _share(self, share: Share) -> None:
        """Whether two processes have the dispatcher's room together.

        Each has half of it, until one leaves: then each client's connection is with one of the two, and what
        is left in the other are a few.
        """
        half = self._half(share is not Share.ALONE)
        self.pool.limit(half)
        clients = self._half(False) * 7 // 8 if share is Share.AFTER else half
        self.frontend.share(clients, share is not Share.ALONE)

    def _leave(self) -> None:
        self.leaving.leave()
        self._hand_over()

    def _hand_over(self) -> None:
        """Leave clients to the heir, if there is one and a signal has come, whichever came first."""
        leaving = self.leaving.stage is Stage.LEAVING
        if leaving and self.succession is not None and self.succession.heir:
            self.succession.leave(self.frontend.ids())
            self.pool.rest()
            self.frontend.hand_over(self.succession.pass_on)

    def signals(self, waker: socket.socket) -> Coroutine[None]:
        """Carry out the signals whose numbers come in at the waker."""
        while True:
            yield waker.fileno(), READ, None
            for number in waker.recv(64):
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
        program = Program(config, loop, Path(folder) if (folder := os.environ.get("TMPDIR")) else None)
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

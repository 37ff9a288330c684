"""The real dispatcher: configuration, logging, start and signals."""

from __future__ import annotations

import gc
import logging
import signal
import socket
import sys
import time

from heronstall.config import Config, ConfigError, from_environment
from heronstall.net.backend import HttpBackend, Pool
from heronstall.net.dispatcher import Dispatcher
from heronstall.net.frontend import Frontend
from heronstall.net.loop import READ, Coroutine, Loop, clock
from heronstall.net.server_table import ServerTable

RESERVED = (
    40  # descriptors for the standard streams, epoll, the listener, the watch and what closes meanwhile
)
FIRST_LIST = 2_000_000  # how long the list last held must wait for news before it serves alone
log = logging.getLogger("heronstall")


def build(config: Config, loop: Loop) -> Frontend:
    """Put the parts together and start them."""
    offset = time.time_ns() // 1000 - clock()
    born = loop.now
    half = (config.sockets - RESERVED) // 2  # a session holds one descriptor on either side
    dispatcher = Dispatcher(config, loop)
    pool = Pool(loop, config, half)
    table = dispatcher.table = ServerTable(config, loop, offset, dispatcher.post)
    table.moved = pool.forget
    dispatcher.backend = HttpBackend(config, loop, dispatcher, pool)

    def ready() -> bool:
        return table.any_serving() and (table.heard or loop.now - born > FIRST_LIST)

    table.start()
    return Frontend(config, loop, dispatcher, ready, half)


def _signals(frontend: Frontend, waker: socket.socket) -> Coroutine[None]:
    while True:
        yield waker.fileno(), READ, None
        for number in waker.recv(64):
            log.info("%s: draining", signal.Signals(number).name)
            frontend.drain()


def main() -> int:
    """Serve until SIGTERM or SIGINT; 2 for a wrong configuration."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        config = from_environment()
    except ConfigError as error:
        log.error("configuration: %s", error)
        return 2
    loop = Loop()
    try:
        frontend = build(config, loop)
    except OSError as error:
        log.error("cannot listen on %s:%d: %s", *config.listen, error)
        return 1
    waker, wakened = socket.socketpair()
    waker.setblocking(False)
    wakened.setblocking(False)
    signal.set_wakeup_fd(wakened.fileno(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: None)
    loop.spawn(_signals(frontend, waker), "signals")
    gc.freeze()
    gc.set_threshold(50_000, 20, 100)
    log.info("%s listens on %s:%d", config.name, *config.listen)
    loop.run()
    log.info("%s has answered everything and ends", config.name)
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""The graceful shutdown of a dispatcher, by an operator's drain or by a signal: one state for both."""

from __future__ import annotations

import enum
from collections.abc import Callable

from heronstall.net.loop import Loop, Timer

# By a signal: clients find their way to the others meanwhile; then answers end their connections, and those
# that idle are closed.
SIGNAL_TIME = 750_000  # microseconds
# By a drain: the front asks ten times a second and stops new connections 0.2 s after a no. From then on an
# answer ends its connection. What idles is closed a while later: the more end with an answer, the fewer
# closes cross a request. A drained dispatcher holds nothing idle, and no job of the last 2 s, after 4 s.
DRAIN_TIME, IDLE_TIME = 350_000, 1_400_000  # until answers, and then sweeps, close connections
SWEEP = 100_000  # between two sweeps


class Stage(enum.Enum):
    """How far the shutdown has got."""

    SERVING = "serving"
    DRAINED = "drained"  # by a call: can be taken back
    STOPPING = "leaving"  # by a signal: ends when all is answered; operators read the older word


class GracefulShutdown:
    """The state, and the clock that moves it on. The frontend says what closing means."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self.stage = Stage.SERVING
        self.drained = False  # what was said by hand last, whatever signal has come: a successor goes by it
        self.closing_connections = False  # answers end their connections
        self.signalled_at = 0
        self._timers: list[Timer] = []
        self.close_idle: Callable[[], None] = lambda: None  # called again and again while drained
        self.close_up: Callable[[], None] = lambda: None  # called once after a signal

    @property
    def unavailable(self) -> bool:
        """Whether new clients are to go elsewhere."""
        return self.stage is not Stage.SERVING

    def drain(self) -> None:
        """A drain is asked for; on the way out already, nothing more comes of it here."""
        self.drained = True
        if self.stage is Stage.SERVING:
            self.stage = Stage.DRAINED
            self._in(DRAIN_TIME, self._close_connections)
            self._in(IDLE_TIME, self._sweep)

    def rejoin(self) -> None:
        """A drain is taken back. A signal cannot be."""
        self.drained = False
        if self.stage is Stage.DRAINED:
            self._stop()
            self.stage, self.closing_connections = Stage.SERVING, False

    def begin(self) -> None:
        """A signal has come. What a drain had begun goes on."""
        if self.stage is not Stage.STOPPING:
            self._stop()
            self.stage, self.signalled_at = Stage.STOPPING, self._loop.now
            self._in(SIGNAL_TIME, self._close_connections)
            self._in(SIGNAL_TIME, lambda: self.close_up())

    def _in(self, after: int, call: Callable[[], None]) -> None:
        self._timers.append(self._loop.at(self._loop.now + after, call))

    def _stop(self) -> None:
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()

    def _close_connections(self) -> None:
        self.closing_connections = True

    def _sweep(self) -> None:
        self.close_idle()
        self._stop()
        self._in(SWEEP, self._sweep)

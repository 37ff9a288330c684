"""Whether this dispatcher is on its way out, by a drain or by a signal, and how far. One state for both."""

from __future__ import annotations

import enum
from collections.abc import Callable

from heronstall.net.loop import Loop, Timer

# By a signal: clients find their way to the others meanwhile; then answers end their connections, and those
# that idle are closed.
SIGNAL_TIME = 750_000
# By a drain: the front asks ten times a second and stops new connections 0.2 s after a no. From then on an
# answer ends its connection. What idles is closed a while later: the more end with an answer, the fewer
# closes cross a request. A drained dispatcher holds nothing idle, and no job of the last 2 s, after 4 s.
PART_TIME, IDLE_TIME = 350_000, 1_400_000
SWEEP = 100_000


class Stage(enum.Enum):
    """How far out it is."""

    SERVING = "serving"
    DRAINED = "drained"  # by a call: can be taken back
    LEAVING = "leaving"  # by a signal: ends when all is answered


class Leaving:
    """The state, and the clock that moves it on. The frontend says what closing means."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self.stage = Stage.SERVING
        self.drained = False  # what was said by hand last, whatever signal has come: an heir goes by it
        self.parting = False  # answers end their connections
        self.since = 0  # of the signal
        self._timers: list[Timer] = []
        self.close_idle: Callable[[], None] = lambda: None  # called again and again while drained
        self.close_up: Callable[[], None] = lambda: None  # called once after a signal

    @property
    def away(self) -> bool:
        """Whether new clients are to go elsewhere."""
        return self.stage is not Stage.SERVING

    def drain(self) -> None:
        """A drain is asked for; on the way out already, nothing more comes of it here."""
        self.drained = True
        if self.stage is Stage.SERVING:
            self.stage = Stage.DRAINED
            self._in(PART_TIME, self._part)
            self._in(IDLE_TIME, self._sweep)

    def rejoin(self) -> None:
        """A drain is taken back. A signal cannot be."""
        self.drained = False
        if self.stage is Stage.DRAINED:
            self._stop()
            self.stage, self.parting = Stage.SERVING, False

    def leave(self) -> None:
        """A signal has come. What a drain had begun goes on."""
        if self.stage is not Stage.LEAVING:
            self._stop()
            self.stage, self.since = Stage.LEAVING, self._loop.now
            self._in(SIGNAL_TIME, self._part)
            self._in(SIGNAL_TIME, lambda: self.close_up())

    def _in(self, after: int, call: Callable[[], None]) -> None:
        self._timers.append(self._loop.at(self._loop.now + after, call))

    def _stop(self) -> None:
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()

    def _part(self) -> None:
        self.parting = True

    def _sweep(self) -> None:
        self.close_idle()
        self._stop()
        self._in(SWEEP, self._sweep)

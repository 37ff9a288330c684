"""The graceful shutdown of a dispatcher, by an operator's drain or by a signal: one state for both."""

from __future__ import annotations

import enum
from collections.abc import Callable

from heronstall.net.loop import Loop, Timer

# After a signal: in this time clients are directed to other dispatchers. After it, answers end their
# connections, and idle connections are closed.
SIGNAL_CLOSE_DELAY_US = 750_000
# After a drain call: the load balancer in front checks health ten times a second and stops new connections
# 0.2 s after a negative answer. From then on an answer ends its connection. Idle connections are closed
# later: the more connections end with an answer, the fewer closes cross a request. 4 s after the call, a
# drained dispatcher holds no idle connection and no job accepted in the last 2 s.
DRAIN_CLOSE_DELAY_US, DRAIN_SWEEP_DELAY_US = 350_000, 1_400_000
SWEEP_INTERVAL_US = 100_000


class Stage(enum.Enum):
    """The progress of the shutdown. Operators read the values."""

    SERVING = "serving"
    DRAINED = "drained"  # by a call, which can be revoked
    STOPPING = "leaving"  # by a signal: ends once every request is answered


class GracefulShutdown:
    """The state of the shutdown and its timers. The frontend supplies callbacks that close connections."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self.stage = Stage.SERVING
        # The operator's latest call, whatever signal has arrived since: the successor process continues it.
        self.drained = False
        self.closing_connections = False  # answers end their connections
        self.signalled_at = 0
        self._timers: list[Timer] = []
        self.close_idle: Callable[[], None] = lambda: None  # called repeatedly while drained
        self.close_all: Callable[[], None] = lambda: None  # called once after a signal

    @property
    def unavailable(self) -> bool:
        """Whether new clients should use another dispatcher."""
        return self.stage is not Stage.SERVING

    def drain(self) -> None:
        """Starts a drain. Once the process is stopping, the call is only recorded."""
        self.drained = True
        if self.stage is Stage.SERVING:
            self.stage = Stage.DRAINED
            self._schedule(DRAIN_CLOSE_DELAY_US, self._close_connections)
            self._schedule(DRAIN_SWEEP_DELAY_US, self._sweep)

    def rejoin(self) -> None:
        """Ends a drain. A shutdown by signal cannot be revoked."""
        self.drained = False
        if self.stage is Stage.DRAINED:
            self._cancel_timers()
            self.stage, self.closing_connections = Stage.SERVING, False

    def stop(self) -> None:
        """Starts the shutdown after a signal. If a drain already closes connections, that continues."""
        if self.stage is not Stage.STOPPING:
            self._cancel_timers()
            self.stage, self.signalled_at = Stage.STOPPING, self._loop.now
            self._schedule(SIGNAL_CLOSE_DELAY_US, self._close_connections)
            self._schedule(SIGNAL_CLOSE_DELAY_US, lambda: self.close_all())

    def _schedule(self, delay: int, callback: Callable[[], None]) -> None:
        self._timers.append(self._loop.at(self._loop.now + delay, callback))

    def _cancel_timers(self) -> None:
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()

    def _close_connections(self) -> None:
        self.closing_connections = True

    def _sweep(self) -> None:
        self.close_idle()
        self._cancel_timers()
        self._schedule(SWEEP_INTERVAL_US, self._sweep)

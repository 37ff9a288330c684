"""epoll, generators as coroutines, and timers. Knows nothing of any protocol.

A coroutine yields `(fd, mask, until)` to wait for readiness and is resumed with the events that came, or
with 0 once `until` has passed. `fd` -1 waits for no descriptor, `until` None for no moment; `Task.wake`
resumes it with a value.
"""

from __future__ import annotations

import heapq
import logging
import select
import socket
import time
from collections import deque
from collections.abc import Callable, Generator
from typing import Any, TypeVar

from heronstall import events
from heronstall.events import log_event

R = TypeVar("R")
Wait = tuple[int, int, "int | None"]
Coroutine = Generator[Wait, Any, R]

READ, WRITE = select.EPOLLIN | select.EPOLLRDHUP, select.EPOLLOUT
LEFT = select.EPOLLRDHUP  # only the far end's going away; errors and hang-ups are always told
BATCH = 256
log = logging.getLogger("heronstall.loop")


def clock() -> int:
    """The one clock: monotonic microseconds."""
    return time.monotonic_ns() // 1000


class Timer:
    """A call that is due at a moment, unless cancelled."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """The call will not be made."""
        self.call = None


class Task:
    """A running coroutine."""

    __slots__ = ("_loop", "_coroutine", "name", "_fd", "_timer", "done", "_running")

    def __init__(self, loop: Loop, coroutine: Coroutine[None], name: str) -> None:
        self._loop, self._coroutine, self.name = loop, coroutine, name
        self._fd = -1
        self._timer: Timer | None = None
        self.done = self._running = False

    def wake(self, value: object) -> None:
        """Resume the coroutine with a value in place of what it waits for."""
        self._stop_waiting()
        self._loop.soon(lambda: self.step(value))

    def kill(self) -> None:
        """End the coroutine where it waits; its `finally` clauses run."""
        if not self.done and not self._running:
            self.done = True
            self._stop_waiting()
            self._coroutine.close()

    def step(self, value: object) -> None:
        """Run up to the next wait. An unexpected error ends this coroutine alone, with a traceback."""
        if self.done:
            return
        self._stop_waiting()
        self._running = True
        try:
            fd, mask, until = self._coroutine.send(value)
        except StopIteration:
            self.done = True
        except Exception:
            self.done = True
            log_event(log, events.UNEXPECTED, where=self.name)
        else:
            self._fd = fd
            if until is not None:
                self._timer = self._loop.at(until, lambda: self.step(0))
            if fd >= 0:
                self._arm(fd, mask)
        finally:
            self._running = False

    def _arm(self, fd: int, mask: int) -> None:
        try:
            self._loop.arm(fd, mask, self)
        except OSError:  # the kernel has no such descriptor, or no room: this coroutine alone cannot go on
            log_event(log, events.UNEXPECTED, where=self.name)
            self.done = True
            self._stop_waiting()
            self._loop.soon(self._coroutine.close)

    def _stop_waiting(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._fd >= 0:
            self._loop.disarm(self._fd, self)
            self._fd = -1


class Loop:
    """One thread's epoll. `now` is the time of the batch in hand, in microseconds."""

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._known: set[int] = set()
        self._waiting: dict[int, Task] = {}
        self._soon: deque[Callable[[], None]] = deque()
        self._timers: list[tuple[int, int, Timer]] = []
        self._closing: list[socket.socket] = []
        self._tie = 0
        self._stopped = False
        self.now = clock()

    def spawn(self, coroutine: Coroutine[None], name: str) -> Task:
        """Start a coroutine, once the events in hand are seen to."""
        task = Task(self, coroutine, name)
        self.soon(lambda: task.step(None))
        return task

    def soon(self, call: Callable[[], None]) -> None:
        """Make a call once the events in hand are seen to, before the next wait."""
        self._soon.append(call)

    def at(self, when: int, call: Callable[[], None]) -> Timer:
        """Make a call at a moment or just after it."""
        self._tie += 1
        timer = Timer(call)
        heapq.heappush(self._timers, (when, self._tie, timer))
        return timer

    def arm(self, fd: int, mask: int, task: Task) -> None:
        """Resume the task at the next of these events. One shot: nothing repeats while nobody waits."""
        mask |= select.EPOLLONESHOT
        if fd in self._known:
            self._epoll.modify(fd, mask)
        else:
            self._epoll.register(fd, mask)
            self._known.add(fd)
        self._waiting[fd] = task

    def disarm(self, fd: int, task: Task) -> None:
        """The task waits for this descriptor no more."""
        if self._waiting.get(fd) is task:
            del self._waiting[fd]

    def close(self, sock: socket.socket) -> None:
        """Close a socket at the end of the batch.

        Guards against descriptor reuse inside a batch: were it closed at once, a socket opened meanwhile
        could get its number and then be handed an event that epoll had reported for the old one.
        """
        fd = sock.fileno()
        if fd < 0:
            return
        if fd in self._known:
            self._known.discard(fd)
            self._waiting.pop(fd, None)
            self._epoll.unregister(fd)
        self._closing.append(sock)

    def stop(self) -> None:
        """Return from `run` after the batch in hand."""
        self._stopped = True

    def run(self) -> None:
        """Serve until stopped."""
        while not self._stopped:
            self.turn()
        self._epoll.close()

    def turn(self, longest: float = 60.0) -> None:
        """Wait for one batch of events and see to it."""
        wait = longest
        while self._timers and self._timers[0][2].call is None:
            heapq.heappop(self._timers)
        if self._timers:
            wait = min(wait, max(0.0, (self._timers[0][0] - clock()) / 1e6))
        batch = self._epoll.poll(0 if self._soon else wait, BATCH)
        self.now = clock()
        for fd, mask in batch:
            task = self._waiting.pop(fd, None)
            if task is not None:
                task.step(mask)
        self._close_all()  # before anything is opened: what is about to close holds a descriptor still
        while self._timers and self._timers[0][0] <= self.now:
            call = heapq.heappop(self._timers)[2].call
            if call is not None:
                self._call(call)
        while self._soon:
            self._call(self._soon.popleft())
        self._close_all()

    def _close_all(self) -> None:
        for sock in self._closing:
            sock.close()
        self._closing.clear()

    def _call(self, call: Callable[[], None]) -> None:
        try:
            call()
        except Exception:  # one wrong call must not stop the serving of everything else
            log_event(log, events.UNEXPECTED, where="a call of the loop")


def sleep(until: int) -> Coroutine[None]:
    """Wait for a moment."""
    yield -1, 0, until

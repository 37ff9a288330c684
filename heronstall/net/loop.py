"""A single-threaded event loop: epoll, generators as coroutines, and timers. Independent of any protocol.

A coroutine yields `(fd, mask, until)` to wait until the descriptor is ready. It is resumed with the epoll
events, or with 0 once `until` has passed. With `fd` -1 it waits for no descriptor, with `until` None it has
no time limit; `Task.wake` resumes it with a value.
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
REMOTE_CLOSED = select.EPOLLRDHUP  # only the remote end's close; epoll always reports errors and hang-ups too
MAX_EVENTS_PER_POLL = 256
log = logging.getLogger("heronstall.loop")


def monotonic_us() -> int:
    """Returns the monotonic time in microseconds. All times in the process come from this clock."""
    return time.monotonic_ns() // 1000


class Timer:
    """A callback scheduled for a time; it can be cancelled."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancels the callback."""
        self.callback = None


class Task:
    """A running coroutine."""

    __slots__ = ("_loop", "_coroutine", "name", "_fd", "_timer", "done", "_running")

    def __init__(self, loop: Loop, coroutine: Coroutine[None], name: str) -> None:
        self._loop, self._coroutine, self.name = loop, coroutine, name
        self._fd = -1
        self._timer: Timer | None = None
        self.done = self._running = False

    def wake(self, value: object) -> None:
        """Resumes the coroutine with a value, instead of the event that it waits for."""
        self._stop_waiting()
        self._loop.soon(lambda: self.step(value))

    def kill(self) -> None:
        """Ends the coroutine at the point where it waits; its `finally` clauses run."""
        if not self.done and not self._running:
            self.done = True
            self._stop_waiting()
            self._coroutine.close()

    def step(self, value: object) -> None:
        """Runs the coroutine up to its next wait. An unexpected error is logged and ends this task only."""
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
        """Registers the wait with epoll."""
        try:
            self._loop.arm(fd, mask, self)
        except OSError:  # unknown descriptor, or no memory in the kernel: only this coroutine cannot continue
            log_event(log, events.UNEXPECTED, where=self.name)
            self.done = True
            self._stop_waiting()
            self._loop.soon(self._coroutine.close)

    def _stop_waiting(self) -> None:
        """Cancels the timer and the wait for a descriptor."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._fd >= 0:
            self._loop.disarm(self._fd, self)
            self._fd = -1


class Loop:
    """The event loop of one thread. `now` is the time, in microseconds, at which the current turn began."""

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._registered: set[int] = set()  # descriptors that epoll knows
        self._waiting_tasks: dict[int, Task] = {}  # by descriptor
        self._ready: deque[Callable[[], None]] = deque()
        self._timers: list[tuple[int, int, Timer]] = []
        self._pending_close: list[socket.socket] = []
        self._timer_sequence = 0  # orders timers of the same time by their creation
        self._stopped = False
        self.now = monotonic_us()

    def spawn(self, coroutine: Coroutine[None], name: str) -> Task:
        """Starts a coroutine after the events of the current turn have been handled."""
        task = Task(self, coroutine, name)
        self.soon(lambda: task.step(None))
        return task

    def soon(self, callback: Callable[[], None]) -> None:
        """Schedules a callback after the events of the current turn, before the next wait."""
        self._ready.append(callback)

    def at(self, when: int, callback: Callable[[], None]) -> Timer:
        """Schedules a callback for a time; it runs then or shortly after."""
        self._timer_sequence += 1
        timer = Timer(callback)
        heapq.heappush(self._timers, (when, self._timer_sequence, timer))
        return timer

    def arm(self, fd: int, mask: int, task: Task) -> None:
        """Resumes the task at the next of these events, once; events do not repeat while no task waits."""
        mask |= select.EPOLLONESHOT
        if fd in self._registered:
            self._epoll.modify(fd, mask)
        else:
            self._epoll.register(fd, mask)
            self._registered.add(fd)
        self._waiting_tasks[fd] = task

    def disarm(self, fd: int, task: Task) -> None:
        """Ends the task's wait for this descriptor."""
        if self._waiting_tasks.get(fd) is task:
            del self._waiting_tasks[fd]

    def close(self, sock: socket.socket) -> None:
        """Closes a socket at the end of the turn.

        Guards against descriptor reuse within a turn: if the socket were closed at once, one opened meanwhile
        could get the same descriptor and receive an event that epoll had reported for the closed one.
        """
        fd = sock.fileno()
        if fd < 0:
            return
        if fd in self._registered:
            self._registered.discard(fd)
            self._waiting_tasks.pop(fd, None)
            self._epoll.unregister(fd)
        self._pending_close.append(sock)

    def stop(self) -> None:
        """Makes `run` return after the current turn."""
        self._stopped = True

    def run(self) -> None:
        """Runs until stopped."""
        while not self._stopped:
            self.turn()
        self._epoll.close()

    def turn(self, max_wait_s: float = 60.0) -> None:
        """Waits for one batch of events and handles it."""
        wait = max_wait_s
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        if self._timers:
            wait = min(wait, max(0.0, (self._timers[0][0] - monotonic_us()) / 1e6))
        batch = self._epoll.poll(0 if self._ready else wait, MAX_EVENTS_PER_POLL)
        self.now = monotonic_us()
        for fd, mask in batch:
            task = self._waiting_tasks.pop(fd, None)
            if task is not None:
                task.step(mask)
        self._close_pending()  # before anything is opened: sockets about to be closed still hold descriptors
        while self._timers and self._timers[0][0] <= self.now:
            callback = heapq.heappop(self._timers)[2].callback
            if callback is not None:
                self._run_callback(callback)
        while self._ready:
            self._run_callback(self._ready.popleft())
        self._close_pending()

    def _close_pending(self) -> None:
        for sock in self._pending_close:
            sock.close()
        self._pending_close.clear()

    def _run_callback(self, callback: Callable[[], None]) -> None:
        try:
            callback()
        except Exception:  # a failing callback must not stop the rest of the service
            log_event(log, events.UNEXPECTED, where="a callback of the event loop")


def sleep(until: int) -> Coroutine[None]:
    """Waits until a time."""
    yield -1, 0, until

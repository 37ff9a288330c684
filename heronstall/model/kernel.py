"""Virtual time: a heap of calls. It serves the fleet as its timeline and the live dispatcher as its loop."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable


class Due:
    """A call to come; cancelled ones are passed over when their moment is reached."""

    __slots__ = ("call", "life")

    def __init__(self, call: Callable[[], None], life: Life | None = None) -> None:
        self.call: Callable[[], None] | None = call
        self.life = life  # whose death calls it off

    def cancel(self) -> None:
        """Have it not come."""
        self.call = None


class VirtualTime:
    """A clock that jumps from call to call. `now` is microseconds from the start."""

    def __init__(self) -> None:
        self.now = 0
        self.calls = 0
        self._tie = 0
        self._heap: list[tuple[int, int, Due]] = []
        self._soon: deque[Callable[[], None]] = deque()

    def at(self, when: int, call: Callable[[], None], life: Life | None = None) -> Due:
        """Call at `when`, or now where that has passed; calls of one moment in the order asked for."""
        self._tie += 1
        due = Due(call, life)
        heapq.heappush(self._heap, (when if when > self.now else self.now, self._tie, due))
        return due

    def soon(self, call: Callable[[], None]) -> None:
        """Call at this moment, once the call in hand is done."""
        self._soon.append(call)

    def run(self, until: int, idle: Callable[[], bool] | None = None) -> None:
        """Run until a moment, or until `idle` (asked now and then) says that nothing more is wanted."""
        heap, soon = self._heap, self._soon
        while heap and heap[0][0] <= until:
            when, _, due = heapq.heappop(heap)
            call = due.call
            if call is None or (due.life is not None and due.life.dead):
                continue
            self.now = when
            call()
            self.calls += 1
            while soon:
                soon.popleft()()
            if idle is not None and self.calls % 256 == 0 and idle():
                return
        if idle is None or not idle():
            self.now = max(self.now, until)


class Life:
    """One dispatcher's view of the time while its process lives: nothing is called after its end."""

    def __init__(self, time: VirtualTime) -> None:
        self._time = time
        self.dead = False

    @property
    def now(self) -> int:
        """The present."""
        return self._time.now

    @now.setter
    def now(self, value: int) -> None:
        raise AttributeError("time goes by itself")

    def at(self, when: int, call: Callable[[], None]) -> Due:
        """Call at a moment, if alive then."""
        return self._time.at(when, call, self)

    def soon(self, call: Callable[[], None]) -> None:
        """Call at this moment, if alive."""
        self._time.soon(lambda: None if self.dead else call())

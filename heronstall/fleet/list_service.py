"""The list service of discovery: limits the rate of full lists and the number of waiting requests.

Lists are produced one after the other in the order of the requests. A request that finds all places taken is
rejected immediately. The content of the list is up to the caller.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class ListRequest(NamedTuple):
    """A request for the list and the time of its answer in microseconds; None: it was rejected."""

    at: int
    node: int
    answered: int | None


class ListService:
    """Produces `rate` lists per second (0: unlimited).

    At most `places` requests wait, including the one being served.
    """

    def __init__(self, rate: float, places: int) -> None:
        self._service_time = 1_000_000 / rate if rate else 0.0
        self._max_waiting = places
        self._completion_times: deque[float] = deque()  # of the waiting requests, in order
        self.requests: list[ListRequest] = []

    def request(self, now: int, node: int) -> int | None:
        """Returns the time at which this request's list is ready, or None if it is rejected."""
        while self._completion_times and self._completion_times[0] <= now:
            self._completion_times.popleft()
        ready: int | None = now
        if self._service_time and len(self._completion_times) >= self._max_waiting:
            ready = None
        elif self._service_time:
            self._completion_times.append(
                max(now, self._completion_times[-1] if self._completion_times else 0.0) + self._service_time
            )
            ready = round(self._completion_times[-1])
        self.requests.append(ListRequest(now, node, ready))
        return ready

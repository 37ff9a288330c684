"""Plans which worker prefills a large prompt.

While a worker prefills a long prompt, its other streams nearly stop and the next prompt waits. Dispatchers
learn of each other's requests too late to keep two long prompts apart, so one planner tracks all of them:
which workers have recently prefilled the shared segment of a prompt, and until when each worker is expected
to be busy with prefill. The plan is advisory: a dispatcher that gets no immediate reply selects a worker as
for a small prompt.

All times are in seconds of one clock whose readings the caller passes in.
"""

from __future__ import annotations

import math
import zlib
from collections import OrderedDict
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import NamedTuple

MAX_SEGMENTS = 4096  # shared segments that are remembered; the least recently placed is evicted
MAX_WORKERS_PER_SEGMENT = 3  # workers that are remembered for a segment
CACHE_LIFETIME_S = 30.0  # after this time without a request, a worker is assumed to have evicted a segment
MAX_COMPARED_WORKERS = 64  # workers compared for a prompt, besides those that have cached its segment
MAX_TRACKED_WORKERS = 4096  # workers with a known end of prefill; beyond that, ends in the past are dropped
INITIAL_TOKENS_PER_SECOND = 100_000.0  # prefill rate that is assumed before the first measurement
RATE_STEP = 0.05  # change of the logarithm of the rate for each measurement
# Quantile of the measured rates that the estimate tracks. It is above the median because measurements include
# queueing, which makes the engine look slower than it is.
RATE_QUANTILE = 0.7
CROWDING_COST_S = 0.05  # cost of each request beyond a worker's capacity, and of a fully used capacity
HOME_CACHE_PROBABILITY = 0.5  # that the home worker has cached a segment that the planner has not placed


def affinity(segment: str, worker: str) -> int:
    """Returns the rendezvous hash of a segment and a worker, which is the same at every node.

    The worker with the highest value is the segment's home worker. Homes are spread evenly over the workers.
    """
    return zlib.crc32(f"{worker}|{segment}".encode())


class Prompt(NamedTuple):
    """A prompt to be placed: its largest shared segment, the tokens of that segment, and all other tokens."""

    segment: str
    segment_tokens: int
    other_tokens: int


class Load(NamedTuple):
    """The known number of requests and items at a worker, and its capacity."""

    requests: float
    capacity: int


class PrefillPlacement(NamedTuple):
    """The worker chosen for a prompt, and the number of tokens that it has to prefill."""

    worker: str
    tokens: int


class PrefillPlanner:
    """Places the large prompts of one service."""

    def __init__(self) -> None:
        self._busy_until: dict[str, float] = {}
        self._cached_at: OrderedDict[str, dict[str, float]] = (
            OrderedDict()
        )  # by segment: worker, time of the latest placement there
        self._log_rate = math.log(INITIAL_TOKENS_PER_SECOND)
        self._offset = 0

    @property
    def tokens_per_second(self) -> float:
        """The estimated prefill rate of a worker."""
        return math.exp(self._log_rate)

    def record_prefill(self, tokens: int, seconds: float) -> None:
        """Updates the rate by the tokens prefilled for a prompt and the time to its first event."""
        if tokens <= 0 or seconds <= 0:
            return
        faster = tokens / seconds > self.tokens_per_second
        self._log_rate += RATE_STEP * (RATE_QUANTILE if faster else RATE_QUANTILE - 1)

    def place(
        self, now: float, prompt: Prompt, workers: Sequence[str], load: Callable[[str], Load]
    ) -> PrefillPlacement | None:
        """Returns the worker that would finish the prefill first; None without workers."""
        cached_at = self._cached_at.get(prompt.segment, {})
        cached = any(self._has_cached(now, cached_at, worker) for worker in cached_at)
        home = "" if cached or not prompt.segment else self._home(prompt.segment, workers)
        candidates = self._candidates(workers, (*cached_at, home))
        if not candidates:
            return None

        def expected_tokens(worker: str) -> float:
            if self._has_cached(now, cached_at, worker):
                return prompt.other_tokens
            return prompt.other_tokens + prompt.segment_tokens * (
                1 - HOME_CACHE_PROBABILITY if worker == home else 1
            )

        worker = min(candidates, key=lambda name: self._cost(now, name, expected_tokens(name), load(name)))
        tokens = prompt.other_tokens + (
            0 if self._has_cached(now, cached_at, worker) else prompt.segment_tokens
        )
        begins = max(now, self._busy_until.get(worker, 0.0))
        self._busy_until[worker] = begins + tokens / self.tokens_per_second
        self._drop_past(now)
        if prompt.segment:
            self._record_placement(now, prompt.segment, worker)
        return PrefillPlacement(worker, tokens)

    def _candidates(self, workers: Sequence[str], preferred: Collection[str]) -> Sequence[str]:
        """Returns all workers if they are few, else the preferred ones and a moving window of others."""
        if len(workers) <= MAX_COMPARED_WORKERS:
            return workers
        self._offset = (self._offset + MAX_COMPARED_WORKERS) % len(workers)
        window = [*workers[self._offset :], *workers[: self._offset]][:MAX_COMPARED_WORKERS]
        return window + [worker for worker in workers if worker in preferred]

    @staticmethod
    def _home(segment: str, workers: Sequence[str]) -> str:
        """Returns the home worker of a segment, where a planner without history expects it to be cached."""
        return max(workers, key=lambda worker: affinity(segment, worker), default="")

    def _cost(self, now: float, worker: str, tokens: float, load: Load) -> float:
        """Returns the seconds until the tokens are prefilled at a worker, plus a penalty for its load."""
        wait = max(0.0, self._busy_until.get(worker, 0.0) - now)
        excess = max(0.0, load.requests + 1 - load.capacity)
        crowding = CROWDING_COST_S * (excess + load.requests / load.capacity)
        return wait + tokens / self.tokens_per_second + crowding

    def _drop_past(self, now: float) -> None:
        if len(self._busy_until) > MAX_TRACKED_WORKERS:
            self._busy_until = {name: until for name, until in self._busy_until.items() if until > now}

    @staticmethod
    def _has_cached(now: float, cached_at: Mapping[str, float], worker: str) -> bool:
        placed_at = cached_at.get(worker)
        return placed_at is not None and now - placed_at < CACHE_LIFETIME_S

    def _record_placement(self, now: float, segment: str, worker: str) -> None:
        cached_at = self._cached_at.setdefault(segment, {})
        cached_at[worker] = now
        if len(cached_at) > MAX_WORKERS_PER_SEGMENT:
            del cached_at[min(cached_at, key=cached_at.__getitem__)]
        self._cached_at.move_to_end(segment)
        if len(self._cached_at) > MAX_SEGMENTS:
            self._cached_at.popitem(last=False)

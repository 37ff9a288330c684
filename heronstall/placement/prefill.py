"""Plans which worker reads a large prompt.

While a worker reads a long prompt, all its streams stand nearly still, and the next prompt waits. Dispatchers
hear of each other's requests too late to keep two long prompts apart, so one planner knows of all of them: by
whom the shared part of a prompt was read lately, and until when each worker is taken to read. It is advice
alone: a dispatcher that gets no answer at once draws a worker as it does for small prompts.

Times are seconds of one clock that is handed in.
"""

from __future__ import annotations

import math
import zlib
from collections import OrderedDict
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import NamedTuple

PARTS_MOST = 4096  # shared parts that are remembered, the latest placed
HOLDERS_MOST = 3  # workers that are remembered for a part
HELD_FOR = 30.0  # seconds after which a worker is taken to have forgotten a part that nobody asked for
LOOKED_AT = 64  # workers that are compared at the most, besides those that hold the part
READING_MOST = 4096  # workers whose reading is remembered, before those that have long ended are forgotten
FIRST_SPEED = 100_000.0  # prompt tokens a second, until more is known
SPEED_STEP = 0.05  # of the logarithm of the speed, for each answer
SPEED_QUANTILE = 0.7  # of the answers that are taken to be slower than the engine reads: they waited, too
CROWDED = 0.05  # seconds that each request beyond a worker's places costs, and all places together in use
HOME_HOLDS = 0.5  # chance that a part's home holds it, where the planner has not placed it yet


def affinity(part: str, worker: str) -> int:
    """How strongly a part belongs to a worker: the same at every node, and even over the workers."""
    return zlib.crc32(f"{worker}|{part}".encode())


class Prompt(NamedTuple):
    """A prompt to be placed: its largest shared part, that part's tokens, and all others."""

    part: str
    shared: int
    own: int


class Load(NamedTuple):
    """Requests and items at a worker as far as known, and its places."""

    requests: float
    capacity: int


class Placed(NamedTuple):
    """Where a prompt goes, and the tokens that are to be read there."""

    worker: str
    tokens: int


class ReadingPlanner:
    """Places the large prompts of one service."""

    def __init__(self) -> None:
        self._reads_until: dict[str, float] = {}
        self._holders: OrderedDict[str, dict[str, float]] = (
            OrderedDict()
        )  # by part: worker, when placed there
        self._log_speed = math.log(FIRST_SPEED)
        self._turn = 0

    @property
    def speed(self) -> float:
        """Prompt tokens that a worker reads in a second, as far as learnt."""
        return math.exp(self._log_speed)

    def heard(self, tokens: int, seconds: float) -> None:
        """A prompt's first event came so long after it was sent; so many tokens were to be read for it."""
        if tokens <= 0 or seconds <= 0:
            return
        faster = tokens / seconds > self.speed
        self._log_speed += SPEED_STEP * (SPEED_QUANTILE if faster else SPEED_QUANTILE - 1)

    def place(
        self, now: float, prompt: Prompt, workers: Sequence[str], load: Callable[[str], Load]
    ) -> Placed | None:
        """The worker at which a prompt is read soonest; None without workers."""
        holders = self._holders.get(prompt.part, {})
        held = any(self._holds(now, holders, worker) for worker in holders)
        home = "" if held or not prompt.part else self._home(prompt.part, workers)
        compared = self._compared(workers, (*holders, home))
        if not compared:
            return None

        def to_read(worker: str) -> float:
            if self._holds(now, holders, worker):
                return prompt.own
            return prompt.own + prompt.shared * (1 - HOME_HOLDS if worker == home else 1)

        worker = min(compared, key=lambda name: self._cost(now, name, to_read(name), load(name)))
        tokens = prompt.own + (0 if self._holds(now, holders, worker) else prompt.shared)
        begins = max(now, self._reads_until.get(worker, 0.0))
        self._reads_until[worker] = begins + tokens / self.speed
        self._forget(now)
        if prompt.part:
            self._note(now, prompt.part, worker)
        return Placed(worker, tokens)

    def _compared(self, workers: Sequence[str], holders: Collection[str]) -> Sequence[str]:
        """Those that are looked at: all of a few; of many the holders and a stretch that moves on."""
        if len(workers) <= LOOKED_AT:
            return workers
        self._turn = (self._turn + LOOKED_AT) % len(workers)
        stretch = [*workers[self._turn :], *workers[: self._turn]][:LOOKED_AT]
        return stretch + [worker for worker in workers if worker in holders]

    @staticmethod
    def _home(part: str, workers: Sequence[str]) -> str:
        """Where a part goes that is not known here: a planner that has just begun finds it there."""
        return max(workers, key=lambda worker: affinity(part, worker), default="")

    def _cost(self, now: float, worker: str, tokens: float, load: Load) -> float:
        """Seconds until so many tokens are read there, and what a crowded worker costs beyond."""
        wait = max(0.0, self._reads_until.get(worker, 0.0) - now)
        beyond = max(0.0, load.requests + 1 - load.capacity)
        crowd = CROWDED * (beyond + load.requests / load.capacity)
        return wait + tokens / self.speed + crowd

    def _forget(self, now: float) -> None:
        if len(self._reads_until) > READING_MOST:
            self._reads_until = {name: until for name, until in self._reads_until.items() if until > now}

    @staticmethod
    def _holds(now: float, holders: Mapping[str, float], worker: str) -> bool:
        at = holders.get(worker)
        return at is not None and now - at < HELD_FOR

    def _note(self, now: float, part: str, worker: str) -> None:
        holders = self._holders.setdefault(part, {})
        holders[worker] = now
        if len(holders) > HOLDERS_MOST:
            del holders[min(holders, key=holders.__getitem__)]
        self._holders.move_to_end(part)
        if len(self._holders) > PARTS_MOST:
            self._holders.popitem(last=False)

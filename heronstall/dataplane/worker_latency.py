"""How long workers take to their first event, each against what is usual for such a prompt. Free of I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass

USUAL_LEARNT = 0.03  # weight of a new answer in what is usual
OWN_LEARNT = 0.15  # weight of a new answer in a worker's own pace
FORGET_HALF = 6.0  # seconds after which half of what was learnt of a worker is forgotten
TOLERATED = 1.5  # doublings of the usual time that cost nothing: load and caches make as much
WEIGHT_LEFT = 0.125  # by each doubling beyond that
MOST = 4.0  # doublings that one answer counts for at the most, either way
LEAST_SECONDS = 0.001
SIZE_STEP = 2  # prompts within so many doublings of length are compared with each other


@dataclass
class Pace:
    """Of one worker: by how many doublings its first events come later than usual."""

    doublings: float = 0.0
    at: float = 0.0  # steady time of the latest answer

    def now(self, now: float) -> float:
        """What still counts of it."""
        return self.doublings * math.pow(0.5, max(0.0, now - self.at) / FORGET_HALF)

    def weight(self, now: float) -> float:
        """Factor of the worker's weight in a draw: 1 at a usual pace, less for each doubling beyond."""
        return math.pow(WEIGHT_LEFT, max(0.0, self.now(now) - TOLERATED))


class UsualPace:
    """Mean logarithm of the time to the first event, by service and length of the prompt."""

    def __init__(self) -> None:
        self._usual: dict[tuple[str, int], float] = {}

    def answered(self, worker: Pace, service: str, tokens: int, seconds: float, now: float) -> None:
        """A worker's first event has come so long after the request was sent."""
        key = (service, tokens.bit_length() // SIZE_STEP)
        taken = math.log2(max(LEAST_SECONDS, seconds))
        usual = self._usual.setdefault(key, taken)
        late = max(-MOST, min(MOST, taken - usual))
        self._usual[key] = usual + USUAL_LEARNT * late
        worker.doublings = worker.now(now) + OWN_LEARNT * (late - worker.now(now))
        worker.at = now

"""Compares each worker's time to first event with the usual time for such a prompt. Performs no I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass

BASELINE_SMOOTHING = 0.03  # weight of a new sample in the baseline
WORKER_SMOOTHING = 0.15  # weight of a new sample in a worker's own deviation
HALF_LIFE_S = 6.0  # in which a worker's deviation decays by half
TOLERATED_DOUBLINGS = 1.5  # that cost no weight: load and caches cause as much
WEIGHT_PER_DOUBLING = 0.125  # factor of the weight for each further doubling
MAX_SAMPLE_DOUBLINGS = 4.0  # to which one sample is clamped in either direction
MIN_SAMPLE_S = 0.001
LENGTH_BUCKET_BITS = 2  # prompts whose lengths differ by less than this many doublings share a baseline


@dataclass
class WorkerLatency:
    """A worker's deviation from the baseline, in doublings of the time to first event."""

    doublings: float = 0.0
    updated_at: float = 0.0  # monotonic time of the latest sample

    def decayed(self, now: float) -> float:
        """Returns the deviation, decayed since the latest sample."""
        return self.doublings * math.pow(0.5, max(0.0, now - self.updated_at) / HALF_LIFE_S)

    def weight(self, now: float) -> float:
        """Returns the factor of the worker's selection weight: 1 at usual latency, less when it is slower."""
        return math.pow(WEIGHT_PER_DOUBLING, max(0.0, self.decayed(now) - TOLERATED_DOUBLINGS))


class LatencyBaseline:
    """Tracks the mean logarithm of the time to first event by service and prompt length."""

    def __init__(self) -> None:
        self._means: dict[tuple[str, int], float] = {}

    def record(self, worker: WorkerLatency, service: str, tokens: int, seconds: float, now: float) -> None:
        """Records the time from sending a request to its first event, for the baseline and the worker."""
        key = (service, tokens.bit_length() // LENGTH_BUCKET_BITS)
        sample = math.log2(max(MIN_SAMPLE_S, seconds))
        mean = self._means.setdefault(key, sample)
        deviation = max(-MAX_SAMPLE_DOUBLINGS, min(MAX_SAMPLE_DOUBLINGS, sample - mean))
        self._means[key] = mean + BASELINE_SMOOTHING * deviation
        worker.doublings = worker.decayed(now) + WORKER_SMOOTHING * (deviation - worker.decayed(now))
        worker.updated_at = now

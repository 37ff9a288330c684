"""Whether the model and what it models agree, figure by figure, and which figure differs most. No I/O.

With thousands of samples any difference is significant, so a figure must differ by enough to matter as well.
For distributions that is the mean distance by which one would have to be moved to become the other
(Wasserstein), in the figure's own unit; for run times the mean of the logarithm over servers, each server
against itself. What is asked for is agreement in use, not identity: a real dispatcher takes a millisecond for
what the model does in none.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import numpy as np
from scipy import stats

from heronstall.model.signals import Signals

# Milliseconds; or, where it is more, a part of what the real one takes on the average.
FAR = {"queue_delay": 20.0, "start_latency": 10.0, "probe_latency": 10.0, "report_life": 100.0}
FAR_PART = 0.15
RUN_FAR = 0.07  # of the logarithm: 7% of a run's time
SERVICE_FAR = 0.05
LEVEL = 0.01  # for all figures together
LEAST = 30  # samples on either side
SHUFFLES = 400
FIGURES = tuple(FAR)


@dataclass(frozen=True)
class Agreement:
    """One figure in both. `effect` is how far apart they are as a multiple of what is too far."""

    name: str
    model: float  # means
    real: float
    samples: int
    effect: float
    p: float
    agrees: bool

    def row(self) -> dict[str, Any]:
        """As plain values."""
        return {
            "model": self.model,
            "real": self.real,
            "samples": self.samples,
            "effect": round(self.effect, 4),
            "p": self.p,
            "agrees": self.agrees,
        }


def _distance(name: str, a: list[float], b: list[float], level: float) -> Agreement | None:
    if min(len(a), len(b)) < LEAST:
        return None
    far = max(FAR[name], FAR_PART * float(np.mean(b)))
    distance = float(stats.wasserstein_distance(a, b))
    # What two halves of one and the same heap lie apart is chance: waits at a full server have a long tail,
    # and a few of them move the mean of a short run by milliseconds.
    heap, draws = np.asarray([*a, *b]), np.random.default_rng(len(a))
    halves = (draws.permutation(heap) for _ in range(SHUFFLES))
    chance = [float(stats.wasserstein_distance(h[: len(a)], h[len(a) :])) for h in halves]
    p = (1 + sum(c >= distance for c in chance)) / (1 + SHUFFLES)
    effect = max(0.0, distance - float(np.quantile(chance, 1.0 - level))) / far
    samples = min(len(a), len(b))
    return Agreement(name, float(np.mean(a)), float(np.mean(b)), samples, effect, p, effect < 1.0)


def _run_times(model: Signals, real: Signals, level: float) -> Agreement | None:
    gaps, a, b = [], [], []
    for server, row in model.run_ratio.items():
        other = real.run_ratio.get(server, [])
        if min(len(row), len(other)) >= LEAST // 3:
            # Medians: a job that stood in a crowd for long says little of the server's speed.
            a.append(float(np.median(row)))
            b.append(float(np.median(other)))
            gaps.append(a[-1] - b[-1])
    if len(gaps) < 3:
        return None
    p = float(stats.ttest_1samp(gaps, 0.0).pvalue) if float(np.std(gaps)) > 0.0 else float(not any(gaps))
    mean = float(np.mean(gaps))
    agrees = p >= level or abs(mean) < RUN_FAR
    return Agreement(
        "run_time",
        float(np.exp(np.mean(a))),
        float(np.exp(np.mean(b))),
        len(gaps),
        abs(mean) / RUN_FAR,
        p,
        agrees,
    )


def agreement(model: Signals, real: Signals, services: tuple[float, float] | None = None) -> dict[str, Any]:
    """Each figure, whether all agree, and which differs most."""
    level = LEVEL / (len(FIGURES) + 1)
    found = [_run_times(model, real, level)]
    found += [_distance(name, getattr(model, name), getattr(real, name), level) for name in FIGURES]
    rows = [row for row in found if row is not None]
    if services is not None:
        gap = abs(services[0] - services[1]) / SERVICE_FAR
        rows.append(Agreement("service", *services, 1, gap, 0.0, gap < 1.0))
    wrong = [row for row in rows if not row.agrees]
    worst = max(wrong or rows, key=lambda row: row.effect, default=None)
    return {
        "figures": {row.name: row.row() for row in rows},
        "agrees": not wrong,
        "differs_most": worst.name if worst is not None else None,
    }

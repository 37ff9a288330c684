"""Whether a comparison keeps its level: A against A, and a planted effect of known size.

On the same seeds A differs from itself by nothing, so here B is A on other seeds: all the noise that pairing
takes away is left in. Each comparison has runs of its own. Family-wise: an alarm on any figure counts.
"""

from __future__ import annotations

import argparse
import os
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

import numpy as np

from heronstall.cli.common import read_scenario
from heronstall.model.run import Run
from heronstall.model.stats import compare
from heronstall.model.worker import figures

EFFECT = 0.02  # of service, planted


def play(scenario: Path, seconds: float, seed: int) -> dict[str, float]:
    """The figures of one run."""
    return figures(Run(read_scenario(scenario, seconds), seed).run())


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scenario", type=Path, default=Path("scenarios/silent.cue"))
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--comparisons", type=int, default=200)
    parser.add_argument("--pairs", type=int, default=16)
    told = parser.parse_args()
    seeds = range(1, 2 * told.pairs * told.comparisons + 1)
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        rows = list(pool.map(partial(play, told.scenario, told.seconds), seeds, chunksize=16))
    names = list(rows[0])
    alarms = covered = 0
    by_figure = dict.fromkeys(names, 0)
    for n in range(told.comparisons):
        mine = rows[2 * told.pairs * n : 2 * told.pairs * (n + 1)]
        sides = [
            {name: np.asarray([row[name] for row in half]) for name in names}
            for half in (mine[: told.pairs], mine[told.pairs :])
        ]
        found = compare(sides[0], sides[1], 0.95, 0.01)
        wrong = [f.name for f in found if f.verdict in ("better", "worse")]
        alarms += bool(wrong)
        for name in wrong:
            by_figure[name] += 1
        sides[1]["service"] = sides[1]["service"] + EFFECT
        planted = next(f for f in compare(sides[0], sides[1], 0.95, 0.01) if f.name == "service")
        covered += planted.difference.low <= EFFECT <= planted.difference.high
    share = alarms / told.comparisons
    print(f"{told.scenario.stem}: A against A, {told.comparisons} comparisons of {told.pairs} pairs of runs")
    print(f"  alarms on any of {len(names)} figures: {alarms} ({share:.1%}, 5% stated)")
    print(f"  by figure: { ({name: n for name, n in by_figure.items() if n}) }")
    print(f"  a planted {EFFECT:+} of service lies within the bounds in {covered} of {told.comparisons}")


if __name__ == "__main__":
    main()

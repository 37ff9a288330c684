"""Plays many drawn days of the simulated core and the simulated tier, some beside each other.

    python -m benchmarks.tier_days [--days 1000] [--first 0] [--at-once 8] [--kind tier|core]

Real programs in virtual time (`tests/tier/store_random_runs.py`, `core_random_runs.py`): each day draws its
troubles from its seed, and every promise is checked. Prints a line for each broken one, with what led to it,
then the sums. Ends with 1 where a promise is broken.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from tests.tier import core_random_runs, store_random_runs
from tests.tier.core_simulation import InvariantViolation


class Outcome(NamedTuple):
    """What one day has shown."""

    seed: int
    broken: str
    counts: Counter[str]


def tier_day(seed: int) -> Outcome:
    """A day of core and storage nodes."""
    try:
        day = store_random_runs.simulate(seed)
    except InvariantViolation as violation:
        return Outcome(seed, str(violation), Counter())
    told = {"jobs accepted": day.accepted, "jobs refused": day.refused, "files torn": day.torn}
    return Outcome(seed, "", Counter(told) + day.faults)


def core_day(seed: int) -> Outcome:
    """A day of the core alone: every fourth one has five nodes."""
    try:
        calls = core_random_runs.simulate(seed, size=3 if seed % 4 else 5)
    except InvariantViolation as violation:
        return Outcome(seed, str(violation), Counter())
    return Outcome(seed, "", Counter(f"calls: {call.answer.value}" for call in calls))


KINDS = {"tier": tier_day, "core": core_day}


def main(arguments: Sequence[str] | None = None) -> int:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--days", type=int, default=1000)
    parser.add_argument("--first", type=int, default=0, help="seed of the first day")
    parser.add_argument("--at-once", type=int, default=8)
    parser.add_argument("--kind", choices=sorted(KINDS), default="tier")
    options = parser.parse_args(arguments)
    if options.days < 1 or options.at_once < 1:
        parser.error("--days, --at-once: at least 1")
    began, broken = time.monotonic(), 0
    sums: Counter[str] = Counter()
    seeds = range(options.first, options.first + options.days)
    with ProcessPoolExecutor(options.at_once) as pool:
        for outcome in pool.map(KINDS[options.kind], seeds):
            sums += outcome.counts
            if outcome.broken:
                broken += 1
                print(f"BROKEN {outcome.broken}", flush=True)
    took = time.monotonic() - began
    print(f"{len(seeds)} days, seeds {seeds[0]} to {seeds[-1]}, {took:.0f} s, {broken} broken")
    for name, count in sorted(sums.items()):
        print(f"  {name}: {count}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())

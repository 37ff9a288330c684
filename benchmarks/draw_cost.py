"""Processor time of the tier's decisions for one request: a draw, and a planner's answer.

    python -m benchmarks.draw_cost [--workers 45 600] [--rounds 2000]

Prints microseconds of processor time: the median of ten runs and their spread.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import statistics
import time
from collections.abc import Callable, Sequence

from heronstall.dataplane.admission import Admission
from heronstall.dataplane.prefixes import NO_SHARED_PREFIX, parse_shared_prefix
from heronstall.dataplane.subset import DispatcherPosition
from heronstall.dataplane.workers import WorkerPool
from heronstall.placement.prefill import Load, PrefillPlanner, Prompt
from heronstall.transport.messages import Worker

RUNS = 10
PLACES = 12
SERVICE = "s"


def dispatcher(workers: int) -> Admission:
    """A dispatcher in the middle of its work."""
    pool = WorkerPool()
    rng = random.Random(1)
    pool.update(
        {
            f"i-{k:010x}": Worker(id=f"i-{k:010x}", service=SERVICE, state="ready", capacity=PLACES)
            for k in range(workers)
        }
    )
    pool.position = DispatcherPosition(5, max(2, workers * 3 // 2))
    for worker in pool.by_id.values():
        worker.inflight = int(rng.random() < 0.1)
        worker.peer_requests = rng.uniform(0, PLACES)
    return Admission(pool, rng, "z")


def microseconds(call: Callable[[int], object], rounds: int) -> list[float]:
    """Processor time of a call, by run."""
    found = []
    for _ in range(RUNS):
        began = time.process_time()
        for number in range(rounds):
            call(number)
        found.append((time.process_time() - began) / rounds * 1e6)
    return found


def measured(workers: int, rounds: int) -> dict[str, list[float]]:
    """All figures at a number of workers."""
    admission, planner = dispatcher(workers), PrefillPlanner()
    names = [f"i-{k:010x}" for k in range(workers)]
    prefix = parse_shared_prefix("5c1e07a2:13000,91bd3f06:410,e4402b7d:250")

    def load(worker: str) -> Load:
        return Load(6, PLACES)

    return {
        "draw, small prompt": microseconds(
            lambda _: admission.pick(SERVICE, NO_SHARED_PREFIX, set()), rounds
        ),
        "draw, large prompt": microseconds(lambda _: admission.pick(SERVICE, prefix, set()), rounds),
        "planner, large prompt": microseconds(
            lambda n: planner.place(n * 0.02, Prompt(f"p{n % 800}", 13_000, 3_700), names, load), rounds
        ),
    }


async def run(sizes: Sequence[int], rounds: int) -> None:
    """Measure and print."""
    for workers in sizes:
        for name, found in measured(workers, rounds).items():
            print(
                f"{workers:>4} workers  {name:<22} {statistics.median(found):8.1f} us"
                f"  ({min(found):.1f} to {max(found):.1f})"
            )


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--workers", type=int, nargs="+", default=[45, 600])
    parser.add_argument("--rounds", type=int, default=1000)
    options = parser.parse_args()
    asyncio.run(run(options.workers, options.rounds))


if __name__ == "__main__":
    main()

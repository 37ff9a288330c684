"""`large` (100 dispatchers, 1,000 servers, 60 s) with as many seeds at once as there are cores."""

from __future__ import annotations

import argparse
import os
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from benchmarks.model_cost import run


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=os.cpu_count() or 1)
    parser.add_argument("--seconds", type=float, default=60.0)
    told = parser.parse_args()
    began = time.perf_counter()
    large = Path("scenarios/large.cue")
    with ThreadPoolExecutor(os.cpu_count()) as pool:
        rows = list(
            pool.map(lambda seed: run(large, seed, "--seconds", str(told.seconds)), range(1, told.seeds + 1))
        )
    for row in rows:
        t = row["timing"]
        print(
            f"seed {row['seed']}: {row['requests']} jobs, service {row['service']:.4f}, {t['wall_s']:.0f} s,"
            f" {t['us_per_job']:.0f} us a job, peak {t['peak_mb']:.0f} MB,"
            f" {len(row['rules_broken'])} rules broken"
        )
    print(f"all {told.seeds} seeds: {time.perf_counter() - began:.0f} s")


if __name__ == "__main__":
    main()

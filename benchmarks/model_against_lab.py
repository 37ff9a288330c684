"""The same scenarios and seeds in the model and on loopback, side by side.

The lab plays a few seeds at a time; a run that came late is played again by itself.
"""

from __future__ import annotations

import argparse
import json
import statistics
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from benchmarks.model_cost import run

FIGURES = ("service", "score", "worst_class", "crossings", "waste", "probes")
TRIES = 3


def lab(scenario: Path, seed: int) -> dict[str, Any]:
    """One run on loopback; again where the machine was too slow for a verdict."""
    command = [
        sys.executable,
        "-m",
        "heronstall.cli",
        "lab",
        "run",
        str(scenario),
        "--seed",
        str(seed),
        "--json",
        "-",
    ]
    record: dict[str, Any] = {}
    for _ in range(TRIES):
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        record = json.loads(done.stdout)
        if record["verdict"] == "measured":
            break
    return record


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenarios", nargs="*", default=["calm", "silent", "zone-cut"])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--at-once", type=int, default=4)
    told = parser.parse_args()
    cases = [(name, seed) for name in told.scenarios for seed in range(1, told.seeds + 1)]
    paths = {name: Path(f"scenarios/{name}.cue") for name in told.scenarios}
    with ThreadPoolExecutor(told.at_once) as pool:
        real = dict(zip(cases, pool.map(lambda c: lab(paths[c[0]], c[1]), cases), strict=True))
        model = dict(zip(cases, pool.map(lambda c: run(paths[c[0]], c[1]), cases), strict=True))
    print("| scenario | seed | model service | lab service | difference | model score | lab score | audit |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for case in cases:
        m, r = model[case], real[case]
        broken = len(m["rules_broken"]) + len(r["rules_broken"])
        late = "" if r["verdict"] == "measured" else f", {r['verdict']}"
        print(
            f"| {case[0]} | {case[1]} | {m['service']:.4f} | {r['service']:.4f}"
            f" | {m['service'] - r['service']:+.4f}"
            f" | {m['score']:.4f} | {r['score']:.4f} | {broken} broken{late} |"
        )
    for name in told.scenarios:
        for key in FIGURES:
            gaps = [model[c][key] - real[c][key] for c in cases if c[0] == name]
            print(
                f"{name} {key}: mean difference {statistics.mean(gaps):+.4f},"
                f" largest {max(gaps, key=abs):+.4f}"
            )


if __name__ == "__main__":
    main()

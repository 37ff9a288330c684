"""The model's speed: `calm` against real time, and the cost of a job at 10, 100 and 1,000 servers.

Each figure is the median of some runs, each in a process of its own.
"""

from __future__ import annotations

import json
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

RUNS = 5
SIZES = ((10, 3, 50.0, 20.0), (100, 10, 500.0, 10.0), (1000, 100, 5000.0, 3.0))  # servers, nodes, jobs/s, s


def run(scenario: Path, seed: int, *more: str) -> dict[str, Any]:
    """One run in a process of its own."""
    command = [sys.executable, "-m", "heronstall.cli", "model", "run", str(scenario), "--seed", str(seed)]
    done = subprocess.run([*command, "--json", "-", *more], capture_output=True, text=True, check=False)
    record: dict[str, Any] = json.loads(done.stdout)
    return record


def median(rows: list[dict[str, Any]], key: str) -> float:
    """The median of a figure of timing."""
    return statistics.median(row["timing"][key] for row in rows)


def sized(servers: int, nodes: int, rate: float, folder: Path) -> Path:
    """`calm` at another size."""
    text = Path("scenarios/calm.cue").read_text(encoding="utf-8")
    head, _, tail = text.partition("zones: {")
    tail = tail.partition("}\nkinds:")[2]
    parts = [(0.44, 0.40), (0.34, 0.35), (0.22, 0.25)]
    zones = "".join(
        f'"z{n}": {{dispatchers: {max(1, round(nodes * t))}, servers: {round(servers * s)}, traffic: {t}}}\n'
        for n, (s, t) in enumerate(parts)
    )
    path = folder / f"s{servers}.cue"
    text = f"{head}zones: {{\n{zones}}}\nkinds:{tail}"
    path.write_text(text.replace("rate_per_s: 50", f"rate_per_s: {rate}"), encoding="utf-8")
    return path


def main() -> None:
    """Measure and print."""
    calm = [run(Path("scenarios/calm.cue"), seed) for seed in range(1, RUNS + 1)]
    times = statistics.median(r["timing"]["simulated_s"] / r["timing"]["wall_s"] for r in calm)
    print(f"calm: {times:.0f} times real time (median of {RUNS} seeds)")
    with tempfile.TemporaryDirectory() as made:
        for servers, nodes, rate, seconds in SIZES:
            path = sized(servers, nodes, rate, Path(made))
            rows = [run(path, seed, "--seconds", str(seconds)) for seed in range(1, RUNS + 1)]
            print(
                f"{servers} servers, {nodes} dispatchers, {rate:g} jobs/s:"
                f" {median(rows, 'us_per_job'):.0f} us a job, peak {median(rows, 'peak_mb'):.0f} MB,"
                f" service {statistics.median(r['service'] for r in rows):.4f}"
            )


if __name__ == "__main__":
    main()

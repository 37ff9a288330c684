"""How often `model validate` is right: honest models that pass, and planted errors that are named.

Each try is a seed of its own: a short run on loopback against the model as it is, and against one whose
servers are 20% too fast.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

FAST = 1.2


def faster(scenario: Path, folder: Path) -> Path:
    """The scenario with every server's cores that much faster."""
    command = [sys.executable, "-m", "heronstall.cli", "settings", "show", "--json", str(scenario)]
    record = json.loads(subprocess.run(command, capture_output=True, text=True, check=True).stdout)
    for kind in record["kinds"].values():
        speed = kind["speed"]
        kind["speed"] = [FAST * s for s in speed] if isinstance(speed, list) else FAST * speed
    path = folder / "faster.cue"
    path.write_text("package scenario\n" + json.dumps(record)[1:-1] + "\n", encoding="utf-8")
    return path


def validate(scenario: Path, as_: Path | None, seed: int, seconds: float, folder: Path) -> dict[str, Any]:
    """One try; its record."""
    mine = (
        folder / f"{'fast' if as_ else 'honest'}-{seed}.cue"
    )  # what is remembered of each try stands beside it
    mine.write_text(scenario.read_text(encoding="utf-8"), encoding="utf-8")
    command = [sys.executable, "-m", "heronstall.cli", "model", "validate", str(mine), "--seed", str(seed)]
    command += ["--seconds", str(seconds), "--json", "-", *(["--as", str(as_)] if as_ else [])]
    record: dict[str, Any] = {}
    for _ in range(3):
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        record = json.loads(done.stdout)
        if record["verdict"] == "measured":
            break
    return record


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scenario", type=Path, default=Path("scenarios/calm.cue"))
    parser.add_argument("--tries", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--at-once", type=int, default=5)
    told = parser.parse_args()
    seeds = range(1, told.tries + 1)
    with tempfile.TemporaryDirectory() as made, ThreadPoolExecutor(told.at_once) as pool:
        folder = Path(made)
        fast = faster(told.scenario, folder)
        honest = list(pool.map(lambda s: validate(told.scenario, None, s, told.seconds, folder), seeds))
        planted = list(pool.map(lambda s: validate(told.scenario, fast, s, told.seconds, folder), seeds))
    passed = sum(row["agrees"] for row in honest)
    named = sum(row["differs_most"] == "run_time" and not row["agrees"] for row in planted)
    print(f"honest: {passed} of {told.tries} pass; 20% too fast: {named} of {told.tries} name the run time")
    for row in honest:
        effects = ", ".join(f"{n} {f['effect']:.2f}" for n, f in row["figures"].items())
        said = "agrees" if row["agrees"] else f"disagrees in {row['differs_most']}"
        print(f"  seed {row['seed']}: {said}; {effects}")


if __name__ == "__main__":
    main()

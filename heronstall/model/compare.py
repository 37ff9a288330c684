"""Two choices, run by run on the same seeds, until the answer is narrow enough or the time is up.

Only an unbroken row of seeds counts, from the first on: were whatever has come in so far counted, runs that
take longer (jams, most of all) would be missing from it.
"""

from __future__ import annotations

import json
import os
import queue
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from heronstall.model.choices import Choice, ChoiceError, Worker
from heronstall.model.stats import Figure, compare, enough

STOPS_ON = "service"
Progress = Callable[[int, float, float], None]  # pairs, half-width now, seconds gone


@dataclass(frozen=True)
class Wanted:
    """What is asked of a comparison. `half_width` is of service; `seconds` bounds the whole of it."""

    half_width: float = 0.01
    seconds: float = 300.0
    level: float = 0.95
    most: int = 2000
    first_seed: int = 1
    cores: int = 0


class State:
    """Runs that are done, in memory and in a file to go on from; lines cut off in writing are passed over."""

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self.runs: dict[tuple[str, int], dict[str, Any]] = {}
        if path is not None and path.exists():
            text = path.read_text(encoding="utf-8")
            if text and not text.endswith("\n"):  # or the next run would be lost behind the one cut off
                with path.open("a", encoding="utf-8") as out:
                    out.write("\n")
            for line in text.splitlines():
                try:
                    row = json.loads(line)
                    self.runs[row["choice"], row["seed"]] = row["run"]
                except (ValueError, KeyError, TypeError):
                    continue  # cut off in its writing: that run is played again

    def add(self, choice: str, seed: int, run: dict[str, Any]) -> None:
        """A run is done."""
        self.runs[choice, seed] = run
        if self._path is not None:
            with self._path.open("a", encoding="utf-8") as out:
                out.write(json.dumps({"choice": choice, "seed": seed, "run": run}) + "\n")


class Comparison:
    """A comparison under way."""

    def __init__(
        self,
        a: Choice,
        b: Choice,
        wanted: Wanted,
        state: State | None = None,
        progress: Progress | None = None,
    ) -> None:
        self.a, self.b, self.wanted = a, b, wanted
        self._keys = (a.key(), b.key())
        self._state = state or State(None)
        self._progress = progress
        self._orders: queue.Queue[int | None] = queue.Queue()
        self._done: queue.Queue[int | ChoiceError] = queue.Queue()
        self._lock = threading.Lock()

    def _work(self) -> None:
        workers: list[Worker] = []
        try:
            workers = [Worker(self.a), Worker(self.b)]
            while True:
                seed = self._orders.get()
                if seed is None:
                    return
                for key, worker in zip(self._keys, workers, strict=True):
                    if (key, seed) not in self._state.runs:
                        run = worker.play(seed)
                        with self._lock:
                            self._state.add(key, seed, run)
                self._done.put(seed)
        except ChoiceError as error:
            self._done.put(error)
        finally:
            for worker in workers:
                worker.close()

    def run(self) -> dict[str, Any]:
        """Play until it is enough; the record. Raises ChoiceError where a choice cannot be played."""
        w = self.wanted
        began = time.monotonic()
        cores = w.cores or os.cpu_count() or 1
        threads = [threading.Thread(target=self._work, daemon=True) for _ in range(cores)]
        for thread in threads:
            thread.start()
        ordered = w.first_seed
        finished: set[int] = set()
        pairs = 0
        enough_now = False
        try:
            while not enough_now:
                while ordered - w.first_seed - len(finished) < cores and ordered - w.first_seed < w.most:
                    self._orders.put(ordered)
                    ordered += 1
                left = w.seconds - (time.monotonic() - began)
                if left <= 0.0 or pairs >= w.most:
                    break
                try:
                    got = self._done.get(timeout=min(1.0, left))
                except queue.Empty:
                    continue
                if isinstance(got, ChoiceError):
                    raise got
                finished.add(got)
                # One pair at a time: where it stops follows from the seeds alone, not from which process was
                # the faster one.
                while not enough_now and w.first_seed + pairs in finished:
                    pairs += 1
                    enough_now = self._enough(pairs, time.monotonic() - began)
        finally:
            for _ in threads:
                self._orders.put(None)
        return self._record(pairs, time.monotonic() - began, enough_now)

    def _rows(self, pairs: int) -> tuple[list[dict[str, Any]], list[dict[str, Any]]]:
        seeds = range(self.wanted.first_seed, self.wanted.first_seed + pairs)
        with self._lock:
            return tuple([self._state.runs[key, seed] for seed in seeds] for key in self._keys)  # type: ignore[return-value]

    def _enough(self, pairs: int, gone: float) -> bool:
        a, b = self._rows(pairs)
        differences = np.asarray(
            [y["figures"][STOPS_ON] - x["figures"][STOPS_ON] for x, y in zip(a, b, strict=True)]
        )
        if self._progress is not None:
            spread = float(differences.std(ddof=1)) / np.sqrt(pairs) * 2.0 if pairs > 1 else float("inf")
            self._progress(pairs, spread, gone)
        # Looked at every few pairs only: the bootstrap costs more than a run of a small scenario.
        if pairs % 4:
            return False
        return enough(differences, self.wanted.level, len(a[0]["figures"]), self.wanted.half_width)

    def _record(self, pairs: int, gone: float, narrow: bool) -> dict[str, Any]:
        a, b = self._rows(pairs)
        names = list(a[0]["figures"]) if pairs else []
        columns = [
            {n: np.asarray([row["figures"].get(n, np.nan) for row in rows], dtype=np.float64) for n in names}
            for rows in (a, b)
        ]
        found = compare(columns[0], columns[1], self.wanted.level, self.wanted.half_width)
        by_service = sorted(
            range(pairs), key=lambda n: -abs(b[n]["figures"][STOPS_ON] - a[n]["figures"][STOPS_ON])
        )
        return {
            "kind": "comparison",
            "a": self.a.name,
            "b": self.b.name,
            "scenario": [self.a.record["name"], self.b.record["name"]],
            "level": self.wanted.level,
            "wanted": self.wanted.half_width,
            "figures": {f.name: _row(f) for f in found},
            "verdict": next((f.verdict for f in found if f.name == STOPS_ON), "not enough runs"),
            "narrow": narrow,
            "runs": pairs,
            "rules_broken": {
                "a": sum(len(r["rules_broken"]) for r in a),
                "b": sum(len(r["rules_broken"]) for r in b),
            },
            "apart": [
                {
                    "seed": self.wanted.first_seed + n,
                    "a": a[n]["figures"][STOPS_ON],
                    "b": b[n]["figures"][STOPS_ON],
                }
                for n in by_service[:5]
            ],
            "pairs": {
                name: [list(map(float, columns[0][name])), list(map(float, columns[1][name]))]
                for name in names
            },
            "seconds": [_mean([r["seconds"] for r in rows]) for rows in (a, b)],
            "timing": {"wall_s": round(gone, 2)},
        }


def _mean(rows: list[list[float]]) -> list[float]:
    if not rows:
        return []
    length = min(len(row) for row in rows)
    return [float(np.mean([row[n] for row in rows])) for n in range(length)]


def _row(f: Figure) -> dict[str, Any]:
    return {
        "a": f.a,
        "b": f.b,
        "difference": f.difference.mean,
        "low": f.difference.low,
        "high": f.difference.high,
        "runs": f.runs,
        "verdict": f.verdict,
        "pairing": None if not np.isfinite(f.pairing) else f.pairing,
        "groups": f.groups,
    }

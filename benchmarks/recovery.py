"""Recovery of dispatchers that were killed: learning of others, with a snapshot, with both, with neither.

    python -m benchmarks.recovery lab [--runs 20] [--at-once 3] [--arms neither snapshot peers both]
    python -m benchmarks.recovery model [--runs 200] [--workers 6]

Seven in ten dispatchers are killed at one moment and come back a second later, three in ten servers die in
between, and a quarter of the others turn slow, so that what is left is nearly full. What counts is the worth
lost in the six seconds after the kill, of what was asked for in them; arms are paired by seed, differences
with 95% intervals (t and BCa). `lab`: 24 real dispatchers on loopback. `model`: the same decisions in virtual
time, learning alone (`neither`, `peers`), 12 dispatchers.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

import numpy as np
from scipy import stats

from heronstall.cli.common import read_scenario
from heronstall.fleet.spec import SECOND, Scenario, Trouble
from heronstall.knowledge.observations import Message, ServerObserver, pack, unpack
from heronstall.knowledge.store import ObservationStore
from heronstall.lab.nodes import Nodes
from heronstall.lab.peered import PeeredNodes
from heronstall.lab.run import Run as LabRun
from heronstall.model.run import Run as ModelRun

ROOT = Path(__file__).resolve().parent.parent
SCENARIO = ROOT / "scenarios" / "mass-crash.cue"
KILLED, AFTER = 8, 6  # seconds: of the kill, and that are counted from then on
RATE = 260.0  # jobs a second
ARMS = ("neither", "snapshot", "peers", "both")
ELDERS = 3  # that a newcomer asks
ASKED = SECOND // 10  # after its start


def scenario(dispatchers: int, rate: float) -> Scenario:
    """The evening that all arms play."""
    base = read_scenario(SCENARIO)
    zones = tuple(replace(zone, dispatchers=dispatchers // 2, servers=8) for zone in base.zones)
    troubles = (
        Trouble("dispatcher-crash", KILLED * SECOND, SECOND, part=0.7),
        Trouble("kill", KILLED * SECOND + SECOND // 5, 60 * SECOND, part=0.3),
        Trouble("slow", 4 * SECOND, 60 * SECOND, part=0.25, size=3.0),
    )
    length = (KILLED + AFTER + 2) * SECOND
    return replace(base, zones=zones, troubles=troubles, rate=rate, length=length)


def lost(record: dict[str, Any]) -> float:
    """The part of the worth asked for after the kill that was not served."""
    rows = record["timeline"][KILLED : KILLED + AFTER]
    return 1.0 - sum(row["served"] for row in rows) / max(1.0, sum(row["asked"] for row in rows))


def in_lab(arm: str, seed: int) -> tuple[float, bool]:
    """One run on loopback: what was lost, and whether the machine was late."""
    with tempfile.TemporaryDirectory(prefix="heronstall-recovery-") as folder:
        settings = Path(folder) / "operator.json"
        told: dict[str, Any] = {"log": {"format": "logfmt"}}
        if arm in ("snapshot", "both"):
            told["snapshot"] = {"dir": folder}
        settings.write_text(json.dumps(told))
        nodes = PeeredNodes if arm in ("peers", "both") else Nodes
        run = LabRun(scenario(24, RATE), seed, Path(folder), settings=settings, nodes=nodes)
        record = asyncio.run(run.run())
    return lost(record), record["verdict"] != "measured"


class Learned(ModelRun):
    """Each new process asks some that were there before what they have seen of the servers."""

    def __init__(self, made: Scenario, seed: int) -> None:
        super().__init__(made, seed)
        self._since: dict[int, int] = {}
        for node in self.nodes:
            node.observer = ServerObserver()

    def _started(self, node: int) -> None:
        self.nodes[node].observer = ServerObserver()
        super()._started(node)
        self._since[node] = self.time.now
        self.time.at(self.time.now + ASKED, lambda: self._learn(node))

    def _learn(self, number: int) -> None:
        node, store, now = self.nodes[number], ObservationStore(), self.time.now
        elders = [
            n for n in self.nodes if n.up and self._since.get(n.number, 0) < self._since[number] - 2 * SECOND
        ]
        elders.sort(key=lambda n: (n.zone != node.zone, (n.number * 7919 + number * 104729) % 1009))
        for elder in elders[:ELDERS]:
            servers = [(s.number, s.uid, s.boot_ms) for s in elder.table.listed()]
            message = Message(f"n{elder.number}", (1, 1), tuple(elder.observer.observations(now, servers)))
            store.merge(unpack(pack(message)), now)
        numbers = {(s.uid, s.boot_ms): s.number for s in node.table.listed()}
        for event in store.hearsay(now, lambda uid, boot_ms: numbers.get((uid, boot_ms))):
            node.dispatcher.post(event)


def in_model(arm: str, seed: int) -> tuple[float, bool]:
    """One run in virtual time."""
    run = (Learned if arm == "peers" else ModelRun)(scenario(12, RATE), seed)
    return lost(run.run()), False


def table(made: dict[str, list[float]], late: dict[str, int]) -> None:
    """Each arm, and its difference from `neither`."""
    base = np.array(made["neither"])
    for arm, values in made.items():
        row = np.array(values)
        print(f"{arm:9s} {len(row)} runs, {row.mean():.3f} of the worth lost, late runs {late[arm]}", end="")
        if arm != "neither":
            apart = row - base
            low, high = stats.t.interval(0.95, len(apart) - 1, apart.mean(), stats.sem(apart))
            bca = stats.bootstrap((apart,), np.mean, method="BCa", random_state=1).confidence_interval
            print(
                f"; less neither {apart.mean():+.4f}, t {low:+.4f} to {high:+.4f},"
                f" BCa {bca[0]:+.4f} to {bca[1]:+.4f}"
            )
        else:
            print()


def main() -> None:
    """The command."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("lab", "model"))
    parser.add_argument("--runs", type=int)
    parser.add_argument("--at-once", type=int)
    parser.add_argument("--arms", nargs="+", choices=ARMS)
    args = parser.parse_args()
    lab = args.what == "lab"
    runs = args.runs or (20 if lab else 200)
    arms = args.arms or (ARMS if lab else ("neither", "peers"))
    play = in_lab if lab else in_model
    made: dict[str, list[float]] = {arm: [] for arm in arms}
    late = dict.fromkeys(arms, 0)
    with ProcessPoolExecutor(args.at_once or (3 if lab else 6)) as pool:
        jobs = [(arm, pool.submit(play, arm, seed)) for seed in range(1, runs + 1) for arm in arms]
        for arm, job in jobs:
            value, was_late = job.result()
            made[arm].append(value)
            late[arm] += was_late
    table(made, late)


if __name__ == "__main__":
    sys.exit(main())

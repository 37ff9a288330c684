"""Rollouts measured: the judge in virtual time, and whole rollouts of real processes on loopback.

    python -m benchmarks.rollouts judge [--rollouts 500] [--evenings 8] [--each 24]
    python -m benchmarks.rollouts fleet [--runs 10] [--keepers 3] [--at-once 1]

`judge`: nothing changed (share stopped beside alpha); planted harm of 1, 2, 5 and 10% of worth and of
latency (share stopped, at which stage, jobs harmed, beside changing all at once and beside a rule of
thumb); troubles that are nobody's fault (share blamed, share that went back). `fleet`: a pair of revisions,
a planted bad version and a harmless change of settings, carried through real dispatchers under keepers;
jobs lost, times, memory.
"""

from __future__ import annotations

import argparse
import asyncio
import functools
import os
import pickle
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

from heronstall.cli.common import read_scenario
from heronstall.fleet.spec import SECOND, Scenario, Shape, Trouble
from heronstall.model.rollouts import Evening, Outcome, Plant, Stage, evening
from heronstall.records import loads
from heronstall.rollout.judge import LOOKS, missed_worth
from heronstall.rollout.machine import FleetObservation, RolloutStateMachine, Step
from heronstall.rollout.plan import Plan, parse_plan

ROOT = Path(__file__).resolve().parent.parent
SCENARIO = ROOT / "scenarios" / "rollout.cue"
PLAN = 'package rollout\nname: "x"\nrelease: "/r"\nkeepers: k: "a:1"\njournal: "j"\naway: 2\nevery_s: 2\n'
KEYS = ("took", "stage_s", "back", "served", "refused", "lost", "broken", "mb", "descriptors", "stages")
FASTER = 2.5
PIECE = 8  # rollouts at a time
LEVELS = (0.01, 0.02, 0.05, 0.10)
TROUBLES: dict[str, tuple[Trouble, ...]] = {
    "zone cut": (Trouble("zone-cut", 90 * SECOND, 15 * SECOND, zone="seoul-2"),),
    "release": (
        Trouble("release", 85 * SECOND, 8 * SECOND, 0.5, "daejeon-1", back=SECOND),
        Trouble("release", 105 * SECOND, 8 * SECOND, 0.5, "seoul-2", back=SECOND),
    ),
    "surge": (),
}
SURGE = Shape("surge", 90 * SECOND, 30 * SECOND, 1.5, 2 * SECOND)


class Thumb(RolloutStateMachine):
    """The rule of thumb: at any look, new has missed more worth than old by more than is tolerable."""

    def _watching_steps(self, seen: FleetObservation) -> list[Step]:
        state = self.state
        _, found = self._collect_points(seen)
        new, old = missed_worth(found, state.changed), missed_worth(found, state.unchanged)
        if new[1] and old[1] and new[0] - old[0] > self.plan.tolerances["worth"]:
            return [("back", {"reason": "threshold", "by": "judge"})]
        if seen.at - state.watch_started_at < self.plan.watch_time_of(state.stage):
            return []
        return [("good", {"stage": state.stage}), *self._next_stage_steps()]


class Thumbed(Stage):
    """A rollout judged by the rule of thumb."""

    def begin(self) -> RolloutStateMachine:
        """As ever, with the other machine."""
        super().begin()
        return Thumb(self.plan, self.records)


def _evening(seed: int, kind: str) -> Evening:
    scenario = read_scenario(SCENARIO)
    if kind:
        scenario = replace(scenario, troubles=TROUBLES[kind])
        if kind == "surge":
            scenario = replace(scenario, shapes=(SURGE,))
    return evening(scenario, seed)


def _plan(nth: int) -> Plan:
    made = parse_plan(loads(PLAN.replace('"x"', f'"x{nth}"'), "plan", ("rollout",))[1])
    return replace(made, digest=f"{nth:x}-{made.digest}")


Work = tuple[str, Plant, int, bool]  # label, plant, the rollout's number, by the rule of thumb


def _kept(folder: str, seed: int, kind: str) -> Path:
    return Path(folder) / f"{seed}-{kind.replace(' ', '-')}.pickle"


def _make(row: tuple[str, int, str]) -> None:
    """Play an evening and keep it."""
    _kept(*row).write_bytes(pickle.dumps(_evening(*row[1:])))


def _some(row: tuple[str, int, str, list[Work]]) -> list[tuple[str, bool, Outcome]]:
    """Some rollouts of one evening."""
    folder, seed, kind, rollouts = row
    told = pickle.loads(_kept(folder, seed, kind).read_bytes())
    made = []
    for label, plant, nth, thumb in rollouts:
        out = (Thumbed if thumb else Stage)(told, _plan(nth), plant, nth).play()
        made.append((label, thumb, out._replace(records=[], digests={})))
    return made


def _all_at_once(row: tuple[str, Plant]) -> int:
    """Jobs harmed where every dispatcher is changed after the time before, and nobody stops it."""
    folder, plant = row
    told = pickle.loads(_kept(folder, 1, "").read_bytes())
    stages = ({"part": 1, "watch_s": 1},)
    stage = Stage(told, replace(_plan(0), stages=stages, max_unavailable=1000), plant, 0)
    stage.play()
    while stage.now < told.length:  # done, and nobody looks any more
        stage.tick(None)
    return stage.harmed


def _table(found: dict[tuple[str, bool], list[Outcome]]) -> None:
    for (label, thumb), rows in found.items():
        ends = Counter(out.phase for out in rows)
        by = Counter(out.by for out in rows if out.by)
        stopped = [out for out in rows if out.phase in ("stopped", "going back")]
        stages = dict(sorted(Counter(out.stage + 1 for out in stopped).items()))
        harmed = statistics.median(out.harmed for out in rows)
        took = statistics.median(out.seconds for out in rows)
        told = f"{label:<14}{'thumb' if thumb else 'judge':<7}{len(rows):4d}"
        told += f"  stopped {len(stopped) / len(rows):6.1%}  by {dict(by)}  at stage {stages}"
        print(f"{told}  ends {dict(ends)}  jobs harmed {harmed:.0f}  seconds {took:.0f}", flush=True)
    print(flush=True)


def judge(rollouts: int, evenings: int, each: int) -> None:
    """The tables of `judge`."""
    harms = [(f"worth {h:.0%}", Plant(fails=h)) for h in LEVELS]
    harms += [(f"latency {h:.0%}", Plant(slower=h)) for h in LEVELS]
    work: dict[tuple[int, str], list[Work]] = {}
    nth = 0

    def put(kind: str, label: str, plant: Plant, count: int, thumb: bool) -> None:
        nonlocal nth
        for k in range(count):
            nth += 1
            seed = 1 + k % (max(1, evenings // 4) if kind else evenings)
            work.setdefault((seed, kind), []).append((label, plant, nth, thumb))

    put("", "nothing", Plant(), rollouts, False)
    put("", "nothing", Plant(), rollouts // 5, True)
    for label, plant in harms:
        put("", label, plant, each, False)
        put("", label, plant, each, True)
    for kind in TROUBLES:
        put(kind, kind, Plant(), each, False)
        put(kind, kind, Plant(), each, True)
    found: dict[tuple[str, bool], list[Outcome]] = {}
    began = time.time()
    with tempfile.TemporaryDirectory() as folder, ProcessPoolExecutor(os.cpu_count()) as pool:
        list(pool.map(_make, [(folder, seed, kind) for seed, kind in work]))
        pieces = [
            (folder, seed, kind, rows[at : at + PIECE])
            for (seed, kind), rows in work.items()
            for at in range(0, len(rows), PIECE)
        ]
        for n, some in enumerate(pool.map(_some, pieces)):
            for label, thumb, outcome in some:
                found.setdefault((label, thumb), []).append(outcome)
            if n % 20 == 0:
                _table(found)
        once = list(pool.map(_all_at_once, [(folder, plant) for _, plant in harms]))
    _table(found)
    print(f"{sum(map(len, found.values()))} rollouts over {evenings} evenings in {time.time() - began:.0f} s")
    print(f"24 dispatchers, three stages of 60 s, alpha {_plan(0).alpha}, {LOOKS} looks a watch")
    for (label, _), harmed in zip(harms, once, strict=True):
        print(f"{label:<14}all at once, 240 s: jobs harmed {harmed}")


# ---------------------------------------------------------------------- loopback


def _worktree(folder: Path, revision: str) -> Path:
    """A checked-out tree of a revision."""
    tree = folder / revision.replace("~", "-")
    subprocess.run(
        ["git", "-C", ROOT, "worktree", "add", "--detach", tree, revision], check=True, capture_output=True
    )
    return tree


def _carried(row: tuple[Scenario, int, str, int, Path]) -> dict[str, Any]:
    return asyncio.run(_carry(*row))


async def _carry(scenario: Scenario, seed: int, kind: str, keepers: int, tree: Path) -> dict[str, Any]:
    """One rollout of real processes; `tree` is the other revision's."""
    from heronstall.lab.run import Run
    from heronstall.lab.supervised import Rollout, SupervisedNodes

    with tempfile.TemporaryDirectory(prefix="heronstall-rollout-") as name:
        folder = Path(name)
        run = Run(scenario, seed, folder, nodes=functools.partial(SupervisedNodes, keepers=keepers))
        task = asyncio.create_task(run.run())
        began = asyncio.create_task(run.began.wait())
        await asyncio.wait([task, began], return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            task.result()
        nodes = run.nodes
        assert isinstance(nodes, SupervisedNodes)
        if kind == "revisions":
            new = nodes.release("new", ("-B", "-m", "heronstall"), tree)
        elif kind == "bad":
            new = nodes.release("new", ("-B", "-m", "tests.versions", "refuses"))
        else:
            settings = folder / "settings.json"
            settings.write_text('{"note": "nothing that the program reads"}')
            new = nodes.release("new", ("-B", "-m", "heronstall"), settings=str(settings))
        file = nodes.plan_file(
            "r", new, before_s=12, settle_s=2, watch_s=10, longest_s=60, away=2, every_s=0.5, least_jobs=30
        )
        rollout = Rollout(nodes, file)
        start = time.time()
        await rollout.start()
        most, descriptors = 0.0, 0

        async def measure() -> None:
            nonlocal most, descriptors
            while True:
                for pid, _ in nodes.marked():
                    try:
                        rows = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
                        most = max(most, int(next(r for r in rows if r.startswith("Pss:")).split()[1]) / 1024)
                        descriptors = max(descriptors, len(os.listdir(f"/proc/{pid}/fd")))
                    except (OSError, StopIteration):
                        continue
                await asyncio.sleep(2.0)

        measuring = asyncio.create_task(measure())
        try:
            code = await rollout.end(240.0)
        except Exception:  # the run ends its processes by files that go with the folder
            task.cancel()
            await asyncio.wait([task])
            raise
        finally:
            measuring.cancel()
        took = time.time() - start
        records = rollout.records()
        at = {r["kind"]: r["at"] for r in records}
        back = (at["stopped"] - at["back"]) / 1e6 if "stopped" in at and "back" in at else 0.0
        run.enough()
        result = await task
    moments = [r["at"] / 1e6 for r in records if r["kind"] in ("stage", "done", "back")]
    stages = [b - a for a, b in zip(moments, moments[1:], strict=False)]
    rules = dict(Counter(b["rule"] for b in result["rules_broken"]))
    print(f"  {kind}, seed {seed}: code {code}, {took:.0f} s, {result['verdict']}, {rules}", flush=True)
    return {
        "code": code,
        "took": took,
        "back": back,
        "stage_s": statistics.median(stages) if stages else 0.0,
        "refused": result["refused"],
        "served": result["served"],
        "lost": result["failed"] - result["untried"],  # neither its result nor a refusal
        "broken": len(result["rules_broken"]),
        "verdict": result["verdict"],
        "mb": most,
        "descriptors": descriptors,
        "stages": [r["kind"] for r in records].count("stage"),
        "why": next((r["reason"] for r in records if r["kind"] == "back"), ""),
    }


def fleet(runs: int, keepers: int, before: str, at_once: int) -> None:
    """The table of `fleet`. Several runs at once disturb each other a little, old and new alike."""
    base = read_scenario(SCENARIO)
    zones = tuple(replace(z, servers=max(2, z.servers // 3)) for z in base.zones)
    # Faster servers and more jobs than an evening of the model: every dispatcher is to have some a second.
    kinds = tuple(replace(k, speed=(k.speed[0] * FASTER, k.speed[1] * FASTER)) for k in base.kinds)
    scenario = replace(base, length=300 * SECOND, rate=60.0 * FASTER, zones=zones, kinds=kinds)
    with tempfile.TemporaryDirectory(prefix="heronstall-before-") as folder:
        tree = _worktree(Path(folder), before)
        try:
            for kind in ("harmless", "revisions", "bad"):
                work = [(scenario, seed, kind, keepers, tree) for seed in range(1, runs + 1)]
                with ThreadPoolExecutor(at_once) as pool:  # each run is processes of its own
                    _fleet_table(kind, list(pool.map(_carried, work)), scenario.dispatchers, keepers)
        finally:
            subprocess.run(["git", "-C", ROOT, "worktree", "remove", "--force", tree], check=False)


def _fleet_table(kind: str, rows: list[dict[str, Any]], dispatchers: int, keepers: int) -> None:
    print(f"{kind}: {len(rows)} runs, {dispatchers} dispatchers, {keepers} keepers")
    print(f"  exit codes {dict(Counter(r['code'] for r in rows))}, {Counter(r['why'] for r in rows)}")
    for key in KEYS:
        values = [r[key] for r in rows]
        middle = statistics.median(values)
        print(f"  {key:<12} median {middle:8.1f}  {min(values):8.1f} to {max(values):8.1f}")
    print(f"  verdicts {dict(Counter(r['verdict'] for r in rows))}", flush=True)


def main() -> None:
    """The command."""
    os.environ.setdefault("OPENBLAS_NUM_THREADS", "1")
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("judge", "fleet"))
    parser.add_argument("--rollouts", type=int, default=500)
    parser.add_argument("--evenings", type=int, default=8)
    parser.add_argument("--each", type=int, default=24)
    parser.add_argument("--runs", type=int, default=10)
    parser.add_argument("--keepers", type=int, default=3)
    parser.add_argument("--before", default="HEAD~1", help="the revision that `revisions` changes to")
    parser.add_argument("--at-once", type=int, default=1, help="runs of `fleet` beside each other")
    args = parser.parse_args()
    if args.what == "judge":
        judge(args.rollouts, args.evenings, args.each)
    else:
        fleet(args.runs, args.keepers, args.before, args.at_once)


if __name__ == "__main__":
    sys.exit(main())

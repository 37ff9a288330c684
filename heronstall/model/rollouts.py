"""Rollouts in virtual time: the real plan, machine, judge and places of keepers, over the jobs of a model's
run.

The model plays a scenario once and every dispatcher's jobs are kept, with how each ended and when. A
rollout then runs over that evening: jobs go to the process that serves at that moment, and what a planted
version does to its jobs is done to them. What a version does to others is planted too, as nothing feeds
back into the evening.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import numpy as np

from heronstall import interface as i
from heronstall.fleet.spec import SECOND, Scenario
from heronstall.keeper.dispatcher_state import Action, DispatcherState, Limits, Process
from heronstall.model.run import ORIGIN_MS, Run
from heronstall.ops.detail import DetailedMetrics
from heronstall.rollout.figures import Snapshot
from heronstall.rollout.journal import Record
from heronstall.rollout.machine import FleetObservation, Observation, RolloutStateMachine
from heronstall.rollout.plan import Placement, Plan, assign_stages

ORIGIN = ORIGIN_MS * 1000
STARTING = 300_000  # microseconds from a start to its yes
CPU, MEMORY_KB = 2500, 13_000  # of a job, and of a process at rest
OLD, NEW = "0ld", "new"


class Job(NamedTuple):
    """What became of a job: when it ended, its class, how, after how long, and within what it was in time."""

    at: int
    cls: int
    how: str
    after: int
    intime: int


@dataclass
class Evening:
    """A run of the model, as its dispatchers saw it. `jobs` are in order of time, for each dispatcher."""

    names: list[str]
    classes: tuple[i.RequestClass, ...]
    zones: list[str]
    jobs: list[list[Job]]
    attempts: list[list[int]]  # when each was made
    probes: list[list[int]]
    length: int


class _Ear(DetailedMetrics):
    """Hears one dispatcher of the model."""

    def __init__(self, names: Sequence[str], classes: Sequence[i.RequestClass]) -> None:
        super().__init__(names, classes, 0, {})
        self.jobs: list[Job] = []
        self.sent: list[int] = []
        self.asked: list[int] = []

    def observe(self, now: int, told: Sequence[i.Event], said: Sequence[i.Action]) -> None:
        """One turn."""
        super().observe(now, told, said)
        self.sent += [now for action in said if isinstance(action, i.Send)]
        self.asked += [now for action in said if isinstance(action, i.Probe)]

    def _end_request(self, now: int, request: int, end: str) -> None:
        row = self._open_requests.pop(request, None)
        if row is not None:
            cls, taken, late = row
            self.jobs.append(Job(now, cls, end, now - taken, late - taken))


def evening(scenario: Scenario, seed: int) -> Evening:
    """Play a scenario and keep what its dispatchers saw."""
    run = Run(scenario, seed)
    config = run.config(0, 1)
    names = list(config.classes)
    ears = [_Ear(names, config.settings.classes) for _ in run.nodes]
    for node, ear in zip(run.nodes, ears, strict=True):
        node.observer = ear
    run.run()
    zones = [scenario.zones[node.zone].name for node in run.nodes]
    return Evening(
        names,
        config.settings.classes,
        zones,
        [ear.jobs for ear in ears],
        [ear.sent for ear in ears],
        [ear.asked for ear in ears],
        scenario.length,
    )


@dataclass
class Plant:
    """What a version does, and to whom. Parts are of jobs unless it says otherwise."""

    refuses: float = 0.0
    fails: float = 0.0
    slower: float = 0.0  # latency, as a part of itself
    cls: int | None = None  # only this class
    zone: str | None = None  # only there
    better: int | None = None  # this class is faster by a tenth
    attempts: float = 1.0  # times
    probes: float = 1.0
    cpu: float = 0.0  # microseconds a job
    leak_kb_s: float = 0.0
    shared: float = 0.0  # latency of everybody, times the part of dispatchers that run it
    crash_after: int | None = None  # of its yes
    no_yes: bool = False
    deaf: bool = False  # says yes and is not reached


class _Living:
    """A process in virtual time."""

    def __init__(self, evening: Evening, now: int, token: str, digest: str) -> None:
        self.detail = DetailedMetrics(evening.names, evening.classes, now, {})
        self.detail.cost = lambda: (int(self.cpu), int(self.memory))
        self.detail.attempts = lambda: int(self.attempts)
        self.detail.connects = lambda: int(self.connects)
        self.cpu = self.attempts = self.connects = 0.0
        self.memory = float(MEMORY_KB)
        self.token, self.digest, self.born = token, digest, now
        self.yes_at = 0


@dataclass
class _Stand:
    """A dispatcher: its place, its processes, its own ways."""

    place: DispatcherState
    living: dict[str, _Living] = field(default_factory=dict)
    job: int = 0
    sent: int = 0
    asked: int = 0
    cpu: float = CPU
    memory: float = MEMORY_KB


class Outcome(NamedTuple):
    """How a rollout in virtual time ended."""

    phase: str
    by: str  # what sent it back: "judge", "crash", "trouble", ...
    reason: str
    stage: int
    seconds: float
    changed: int  # dispatchers that ran the new version at some time
    harmed: int  # jobs that the plant has spoilt
    records: list[Record]
    digests: dict[str, str]  # what each dispatcher runs at the end


class Stage:
    """The virtual fleet: an evening, keepers' places, and a plan carried through them."""

    def __init__(self, evening: Evening, plan: Plan, plant: Plant, seed: int) -> None:
        self.evening, self.plan, self.plant = evening, plan, plant
        self._draw = np.random.default_rng(seed)
        self.names = [f"n{n}" for n in range(len(evening.jobs))]
        self.stands = {}
        for name in self.names:
            place = DispatcherState(name, Limits(5_000_000, 5_000_000, 500_000))
            cpu = CPU * math.exp(self._draw.normal(0, 0.1))
            memory = MEMORY_KB * math.exp(self._draw.normal(0, 0.05))
            self.stands[name] = _Stand(place, cpu=cpu, memory=memory)
            place.apply({"kind": "want", "at": 0, "digest": OLD, "epoch": 0})
        self.placements = {
            name: Placement(f"k{n % 3}", evening.zones[n], OLD) for n, name in enumerate(self.names)
        }
        self.records: list[Record] = []
        self.harmed = 0
        self.now = 0
        self._tokens = 0
        self.reached: Callable[[str, int], bool] = lambda name, now: True  # whether a keeper is heard
        self.on_record: Callable[[Record], None] = lambda record: None
        self.kills: list[tuple[int, str]] = []  # (when, whom): by chance

    # ------------------------------------------------------------------ keepers

    def _apply(self, stand: _Stand, kind: str, **fields: Any) -> None:
        stand.place.apply({"kind": kind, "at": ORIGIN + self.now, **fields})

    def _do(self, stand: _Stand, do: Action) -> None:
        if do.kind == "start":
            self._tokens += 1
            token = f"t{self._tokens}"
            self._apply(stand, "start", token=token, **do.fields)
            living = _Living(self.evening, ORIGIN + self.now, token, do.fields["digest"])
            living.memory = stand.memory
            stand.living[token] = living
            self._apply(stand, "born", token=token, pid=self._tokens)
        elif do.kind == "tell":
            self._apply(stand, "tell", **do.fields)
            self._end(stand, do.fields["token"], "exit code 0", "asked")
        else:
            self._apply(stand, "hupped", digest=do.fields["digest"])

    def _end(self, stand: _Stand, token: str, how: str, fault: str) -> None:
        stand.living.pop(token, None)
        self._apply(stand, "ended", token=token, how=how, fault=fault)

    def _planted(self, living: _Living) -> bool:
        return living.digest == NEW

    def _keep(self, stand: _Stand) -> None:
        for do in stand.place.due_actions(ORIGIN + self.now):
            self._do(stand, do)
        for process in list(stand.place.processes):
            living = stand.living.get(process.token)
            if living is None:
                continue
            self._live(stand, process, living)

    def _live(self, stand: _Stand, process: Process, living: _Living) -> None:
        age = ORIGIN + self.now - living.born
        silent = self._planted(living) and self.plant.no_yes
        if not process.yes and age >= STARTING and not silent:
            self._apply(stand, "yes", token=process.token)
            living.yes_at = self.now
        crash = self.plant.crash_after
        due = crash is not None and living.yes_at and self.now - living.yes_at >= crash
        if process.yes and self._planted(living) and due:
            self._end(stand, process.token, "exit code 3", "own")

    # ------------------------------------------------------------------ jobs

    def _serve(self, n: int, stand: _Stand, upto: int) -> None:
        main = stand.place.main
        living = stand.living.get(main.token) if main is not None and main.yes else None
        new_part = self._new_part()
        jobs, sent, asked = self.evening.jobs[n], self.evening.attempts[n], self.evening.probes[n]
        while stand.job < len(jobs) and jobs[stand.job].at < upto:
            job = jobs[stand.job]
            stand.job += 1
            if living is not None:
                self._job(living, job, self.evening.zones[n], new_part)
        for row, name in ((sent, "sent"), (asked, "asked")):
            first = getattr(stand, name)
            last = first
            while last < len(row) and row[last] < upto:
                last += 1
            setattr(stand, name, last)
            if living is None:
                continue
            mine = self._planted(living)
            if name == "sent":
                living.attempts += (last - first) * (self.plant.attempts if mine else 1.0)
                living.connects += 0.1 * (last - first) * (self.plant.attempts if mine else 1.0)
            else:
                living.detail._probes += int((last - first) * (self.plant.probes if mine else 1.0))
        for one in stand.living.values():
            one.memory += (self.plant.leak_kb_s if self._planted(one) else 0.0) * (upto - self.now) / SECOND
            one.memory += float(self._draw.normal(0, 8))
            one.detail.record_loop_delay(int(self._draw.exponential(400)))

    def _new_part(self) -> float:
        mains = [s.place.main for s in self.stands.values()]
        return sum(m is not None and m.digest == NEW and m.yes for m in mains) / len(mains)

    def _job(self, living: _Living, job: Job, zone: str, new_part: float) -> None:
        plant, how, after = self.plant, job.how, job.after
        mine = self._planted(living)
        touched = mine and plant.cls in (None, job.cls) and plant.zone in (None, zone)
        if plant.shared:
            after = int(after * (1 + plant.shared * new_part))
        if mine and plant.deaf:
            self.harmed += 1
            return
        if touched and how == "served":
            draw = self._draw.random()
            if draw < plant.refuses:
                how, after = "refused", 1000
            elif draw < plant.refuses + plant.fails:
                how = "failed"
            after = int(after * (1 + plant.slower))
        if mine and plant.better == job.cls:
            after = int(after * 0.9)
        if mine and (how != job.how or after > job.intime >= job.after):
            self.harmed += 1
        living.detail.record_accepted(job.cls)
        living.detail.record_end(job.cls, how, after, after <= job.intime)
        living.cpu += self._cpu * math.exp(float(self._draw.normal(0, 0.3))) + (plant.cpu if mine else 0.0)

    # ------------------------------------------------------------------ the run

    def seen(self) -> FleetObservation:
        """What a controller sees now."""
        sights = {}
        for name, stand in self.stands.items():
            if not self.reached(name, self.now):
                continue
            told = stand.place.report(ORIGIN + self.now)
            main = stand.place.main
            snapshot = None
            if main is not None and main.yes:
                living = stand.living[main.token]
                rows = dict(living.detail.rows())
                rows["about.pid"] = main.token
                snapshot = Snapshot(ORIGIN + self.now, rows)
            sights[name] = Observation(
                told["digest"],
                told["state"],
                told["crashes"],
                told["lost"],
                told["refused"],
                told["refused_digest"],
                told["refused_epoch"],
                told["ended"],
                False,
                0,
                snapshot,
            )
        return FleetObservation(ORIGIN + self.now, sights)

    def write(self, machine: RolloutStateMachine | None, kind: str, fields: Record) -> None:
        """A record, as a journal has it."""
        record = {"n": len(self.records), "at": ORIGIN + self.now, "kind": kind, **fields}
        self.records.append(record)
        if machine is not None:
            machine.apply(record)
        self.on_record(record)

    def begin(self) -> RolloutStateMachine:
        """The records that a controller writes at first."""
        homes = {name: list(home) for name, home in self.placements.items()}
        rows = assign_stages(self.plan, self.placements)
        self.write(
            None, "begin", {"plan": self.plan.digest, "release": f"v@{NEW}", "homes": homes, "stages": rows}
        )
        self.write(None, "epoch", {"epoch": 1})
        return RolloutStateMachine(self.plan, self.records)

    def tick(self, machine: RolloutStateMachine | None) -> None:
        """Advance to the next look; `machine` is None while no controller lives."""
        upto = self.now + self.plan.poll_interval
        for n, stand in enumerate(self.stands.values()):
            self._cpu = stand.cpu
            self._serve(n, stand, upto)
        self.now = upto
        for at, name in list(self.kills):
            main = self.stands[name].place.main
            if at <= self.now and main is not None:
                self.kills.remove((at, name))
                self._end(self.stands[name], main.token, "killed by SIGKILL", "outside")
        for stand in self.stands.values():
            self._keep(stand)
        if machine is None:
            return
        seen = self.seen()
        while steps := machine.step(seen):
            for kind, fields in steps:
                self.write(machine, kind, fields)
                if machine.state.finished:
                    return
        for name, digest in machine.desired_digests().items():
            place = self.stands[name].place
            refused = (place.refused_digest, place.refused_epoch) == (digest, machine.state.epoch)
            if self.reached(name, self.now) and place.want != digest and not (place.refused and refused):
                self._apply(self.stands[name], "want", digest=digest, epoch=machine.state.epoch)

    def play(self, longest: float = math.inf) -> Outcome:
        """Carry the plan to its end, or until the evening or `longest` (seconds) is over."""
        for _ in range(40):  # everybody comes up
            self.now += 50_000
            for stand in self.stands.values():
                self._keep(stand)
        machine = self.begin()
        end = min(self.evening.length, longest * SECOND)
        while not machine.state.finished and self.now < end:
            self.tick(machine)
        return self.outcome(machine)

    def outcome(self, machine: RolloutStateMachine) -> Outcome:
        """How it stands."""
        state = machine.state
        backs = [r for r in self.records if r["kind"] == "back"]
        mains = {name: stand.place.main for name, stand in self.stands.items()}
        return Outcome(
            state.phase,
            backs[0]["by"] if backs else "",
            state.reason or state.held,
            state.stage,
            self.now / SECOND,
            len(state.change_order),
            self.harmed,
            self.records,
            {name: main.digest if main is not None else "" for name, main in mains.items()},
        )

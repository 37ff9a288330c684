"""The state machine of a rollout: computes the next records from its state and observations. Free of I/O.

The host observes the supervisors, calls `step`, writes each record and applies it, and then requests from the
supervisors what `desired_digests` returns. It repeats this and does nothing else. What exists in memory only
(the memory series, the degradation windows) can at most prolong a watch after a restart.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from typing import Any, NamedTuple

from heronstall.rollout.figures import Snapshot, measure_points, points_to_record
from heronstall.rollout.journal import Record
from heronstall.rollout.judge import (
    LOOKS,
    DegradationMonitor,
    Judge,
    Look,
    cohort_levels,
    find_leaks,
    footprint_alpha,
    look_alpha,
    measure_baseline,
    watch_alpha,
)
from heronstall.rollout.plan import Plan, select_changes
from heronstall.rollout.state import State

LOSSES_TO_ROLL_BACK = 2  # external or unexplained exits in one stage that count as a fault of the release
# A longer pause between observations, in time and in polling intervals, restarts the watch.
OBSERVATION_GAP_US, OBSERVATION_GAP_INTERVALS = 5_000_000, 5
FOOTPRINT_INTERVAL_US = 5_000_000  # between footprint looks during a degradation
MAX_FOOTPRINT_INTERVAL_US = 30_000_000
MAX_RECORDED_FINDINGS = 12  # per look, besides the harmful ones and those of all zones

Step = tuple[str, Record]


class Observation(NamedTuple):
    """What a supervisor reports of a dispatcher, and the dispatcher of itself."""

    digest: str  # of the serving release
    state: str  # "serving", "changing", "waiting", "looping", "stopped"
    crashes: int = 0  # exits caused by the process itself
    losses: int = 0  # exits caused from outside or not observed
    refusal_reason: str = ""  # why the last requested release did not start to serve
    refused_digest: str = ""
    refused_epoch: int = 0
    last_exit: str = ""  # how the last process exited
    drained: bool = False
    guard_alarms: int = 0  # safety rules whose violation this process prevented
    snapshot: Snapshot | None = None

    @property
    def exit_counts(self) -> dict[str, int]:
        """The counts of unrequested exits, in the form they have in a record."""
        return {"crashes": self.crashes, "lost": self.losses}


class FleetObservation(NamedTuple):
    """An observation of all supervisors; unreachable dispatchers are missing."""

    at: int
    dispatchers: dict[str, Observation]

    @property
    def snapshots(self) -> dict[str, Snapshot]:
        """The snapshots of the dispatchers whose admin endpoint answered."""
        return {n: s.snapshot for n, s in self.dispatchers.items() if s.snapshot is not None}


class RolloutStateMachine:
    """Decides the steps of a rollout. Holds its `State` and what a watch needs in memory."""

    def __init__(self, plan: Plan, records: list[Record]) -> None:
        self.plan = plan
        self.state = State.from_records(records)
        self._baseline_series: list[dict[str, Snapshot]] = []  # snapshots of the baseline so far
        self._judge: Judge | None = None
        self._monitor: DegradationMonitor | None = None
        self._memory_series: dict[str, list[tuple[int, float]]] = defaultdict(list)
        self._observed_at = 0
        self._unreachable_since = 0
        self._footprint_at = 0
        self.operator_commands: list[str] = []  # not yet handled: "pause", "resume", "back"

    def apply(self, record: Record) -> None:
        """Applies a record that has been written."""
        self.state.apply(record)
        if record["kind"] in ("watch", "stage", "lost", "calm", "resume"):
            self._memory_series.clear()

    @property
    def new_digest(self) -> str:
        """The digest of the release that is being rolled out."""
        return self.state.release.rpartition("@")[2]

    def desired_digests(self) -> dict[str, str]:
        """Returns the release (digest) that dispatchers should run now; others are left alone."""
        state = self.state
        if state.phase == "going back" or (state.phase == "holding" and state.reason):
            return {name: state.placements[name].digest for name in state.rolling_back}
        return {} if state.finished else dict.fromkeys(state.changing, self.new_digest)

    # ------------------------------------------------------------------ steps

    def step(self, fleet: FleetObservation) -> list[Step]:
        """Returns the records to write now; empty where the next observation has to be awaited."""
        state = self.state
        if state.finished:
            return []
        operator_steps = self._operator_steps()
        if operator_steps:
            return operator_steps
        gap = self._observed_at and fleet.at - self._observed_at > max(
            OBSERVATION_GAP_US, OBSERVATION_GAP_INTERVALS * self.plan.poll_interval
        )
        self._observed_at = fleet.at
        if set(state.change_order) <= set(fleet.snapshots):
            self._unreachable_since = 0
        if state.phase == "going back":
            return self._rollback_steps(fleet)
        failure = self._failure_steps(fleet)
        if failure:
            return failure
        if state.phase == "holding":
            return []
        if not state.baseline_blocks:
            return self._baseline_steps(fleet)
        degradation = self._degradation_steps(fleet)
        if degradation:
            return degradation
        if state.phase == "before":
            return [("stage", {"stage": 0})]
        if state.verdict:
            return self._verdict_steps()
        if state.phase == "changing":
            return (
                self._next_stage_steps()
                if state.last_passed_stage == state.stage
                else self._changing_steps(fleet)
            )
        if gap:
            return [("calm", {"text": "nobody looked for a while: the watch begins anew"})]
        return self._watching_steps(fleet)

    def _operator_steps(self) -> list[Step]:
        state, operator_commands = self.state, self.operator_commands
        while operator_commands:
            command = operator_commands.pop(0)
            if command == "back" and state.phase != "going back":
                return [("back", {"reason": "by hand", "by": "hand"})]
            if command == "pause" and not state.paused and state.phase != "going back":
                return [("pause", {"reason": "by hand"})]
            if command == "resume" and (state.paused or state.phase == "holding"):
                return [("resume", {})]
        return []

    def _failure_steps(self, fleet: FleetObservation) -> list[Step]:
        """Returns the steps for failures that need no statistics."""
        state = self.state
        for name in state.change_order:
            observation = fleet.dispatchers.get(name)
            if observation is None:
                continue
            if name not in state.changed:
                if self._has_refused(observation, self.new_digest):
                    return [
                        ("refused", {"dispatcher": name, "reason": observation.refusal_reason}),
                        (
                            "back",
                            {"reason": f"{name} did not change: {observation.refusal_reason}", "by": "yes"},
                        ),
                    ]
                continue
            exit_counts = state.changed[name]
            if observation.crashes > exit_counts["crashes"] or observation.state == "looping":
                reason = f"{name} crashed with the new release: {observation.last_exit}"
                return [("back", {"reason": reason, "by": "crash"})]
            if observation.guard_alarms > 0 and observation.digest == self.new_digest:
                reason = f"{name}: its own guards met a rule about to break, {observation.guard_alarms} times"
                return [("back", {"reason": reason, "by": "rule"})]
            if observation.losses > exit_counts["lost"]:
                if sum(state.stage_losses.values()) + 1 >= LOSSES_TO_ROLL_BACK:
                    reason = (
                        f"{name} was lost ({observation.last_exit}),"
                        " the second in this stage: no chance any more"
                    )
                    return [("back", {"reason": reason, "by": "crash"})]
                return [
                    (
                        "lost",
                        {"dispatcher": name, "ends": observation.exit_counts, "how": observation.last_exit},
                    )
                ]
        return []

    def _has_refused(self, observation: Observation, digest: str) -> bool:
        """Returns whether the supervisor refused a request of this epoch; older refusals are retried."""
        current = observation.refused_epoch >= self.state.epoch
        return bool(observation.refusal_reason) and observation.refused_digest == digest and current

    def _baseline_steps(self, fleet: FleetObservation) -> list[Step]:
        """Collects the baseline of the fleet."""
        snapshots = fleet.snapshots
        if len(snapshots) < len(self.state.placements):
            self._baseline_series.clear()  # the baseline must cover the whole fleet
            return []
        self._baseline_series.append(snapshots)
        began = min(s.at for s in self._baseline_series[0].values())
        if min(s.at for s in snapshots.values()) - began < self.plan.baseline_time:
            return []
        blocks, baselines, classes = measure_baseline(self._baseline_series, self.state.placements)
        self._baseline_series = []
        return [
            (
                "baseline",
                {
                    "blocks": [
                        {n: points_to_record(values) for n, values in block.items()} for block in blocks
                    ],
                    "usual": {zone: list(baseline) for zone, baseline in baselines.items()},
                    "classes": classes,
                },
            )
        ]

    def _degradation_steps(self, fleet: FleetObservation) -> list[Step]:
        """Returns the steps for a degradation that begins, lasts or ends."""
        state = self.state
        if self._monitor is None:
            self._monitor = DegradationMonitor(self.plan, state.placements, state.baseline)
        snapshots = {n: s.snapshot for n, s in fleet.dispatchers.items() if s.snapshot and not s.drained}
        control = state.unchanged or list(state.placements)  # or the whole fleet if all have changed
        description = self._monitor.look(snapshots, control, bool(state.trouble))
        if description and not state.trouble:
            self._footprint_at = fleet.at
            return [("trouble", {"text": description})]
        if state.trouble and not description:
            return [("calm", {"text": "the fleet does as before the rollout again"})]
        if state.trouble and fleet.at - state.trouble_since > self.plan.degradation_timeout:
            description = f"the fleet does worse than before, and it does not pass: {state.trouble}"
            return [("back", {"reason": description, "by": "trouble"})]
        if state.trouble:
            return self._footprint_steps(fleet)
        return []

    def _footprint_steps(self, fleet: FleetObservation) -> list[Step]:
        state = self.state
        wait = min(MAX_FOOTPRINT_INTERVAL_US, FOOTPRINT_INTERVAL_US * (state.footprint_looks + 1))
        if not state.watch_started_at or fleet.at - self._footprint_at < wait:
            return []
        self._footprint_at = fleet.at
        judge, points = self._collect_points(fleet)
        harmful = judge.footprint(points, state.changed, footprint_alpha(self.plan, state.footprint_looks))
        steps: list[Step] = [("look", {"foot": True, "bad": [f.text() for f in harmful]})]
        if harmful:
            reason = f"in a trouble ({state.trouble}) new sends more than old: {harmful[0].text()}"
            steps.append(("back", {"reason": reason, "by": "footprint"}))
        return steps

    # ------------------------------------------------------------------ a stage

    def _changing_steps(self, fleet: FleetObservation) -> list[Step]:
        state, plan = self.state, self.plan
        for name in state.changing:
            observation = fleet.dispatchers.get(name)
            if (
                observation is not None
                and observation.digest == self.new_digest
                and observation.state == "serving"
            ):
                return [("changed", {"dispatcher": name, "ends": observation.exit_counts})]
        unreachable = [name for name in state.changing if name not in fleet.dispatchers]
        if unreachable and (steps := self._unreachable_steps(fleet, unreachable)):
            return steps
        if state.paused or state.trouble:
            return []
        names = state.stages[state.stage]
        pending = [name for name in names if name not in state.change_order and name in fleet.dispatchers]
        selected = select_changes(pending, state.changing, state.placements, plan.max_unavailable)
        if selected:
            return [("change", {"dispatcher": name, "stage": state.stage}) for name in selected]
        if any(name not in state.changed for name in names):
            return []
        if not names:
            return self._next_stage_steps()
        if fleet.at - state.last_change_at < plan.settle_time:
            return []
        snapshots = fleet.snapshots
        unreachable = [name for name in state.changed if name not in snapshots]
        if unreachable:
            return self._unreachable_steps(fleet, unreachable)
        rows = {n: [s.at, dict(s.rows)] for n, s in snapshots.items()}
        return [("watch", {"stage": state.stage, "snapshots": rows})]

    def _watching_steps(self, fleet: FleetObservation) -> list[Step]:
        state, plan = self.state, self.plan
        snapshots = fleet.snapshots
        unreachable = [name for name in state.changed if name not in snapshots]
        if unreachable:
            return self._unreachable_steps(fleet, unreachable)
        for name, snapshot in snapshots.items():
            if "memory_kb" in snapshot.rows:
                self._memory_series[name].append((snapshot.at, float(snapshot.rows["memory_kb"])))
        elapsed, watch_time = fleet.at - state.watch_started_at, plan.watch_time_of(state.stage)
        due = min(LOOKS, int(elapsed * LOOKS / watch_time))
        if state.paused or state.trouble or due <= state.looks_taken:
            return []
        judge, points = self._collect_points(fleet)
        last = due >= LOOKS
        alpha = sum(
            look_alpha(watch_alpha(plan, state.watch_attempt), k)
            for k in range(state.looks_taken + 1, due + 1)
        )
        look = judge.look(points, state.changed, alpha)
        leaks = find_leaks(self._memory_series, set(state.changed), alpha, plan.tolerances["leak_kb_s"])
        # A burst of a few seconds can fail a single look; real harm also shows in the next look.
        previous = state.previously_harmful
        lasting = [f for f in look.harmful if last or (f.figure, f.zone) in previous]
        harm = [f.text() for f in lasting] + [f"{name} leaks memory" for name in leaks]
        if last and look.short and not harm and elapsed < plan.max_watch_time:
            return []  # undecided: the last look waits for more jobs
        record = _look_fields(
            state.stage, due, look, leaks, elapsed, cohort_levels(judge.figures, points, state.changed)
        )
        verdict = "harm" if harm else "" if not last else "short" if look.short else "good"
        return [("look", {**record, "verdict": verdict, "harm": harm, "short": look.short})]

    def _verdict_steps(self) -> list[Step]:
        """Returns what follows from a recorded look; the controller may have been killed in between."""
        state, look = self.state, self.state.last_look
        if state.verdict == "harm":
            return [("back", {"reason": look["harm"][0], "by": "judge", "all": look["harm"]})]
        if state.verdict == "short":
            shortage = f"fewer than {self.plan.min_jobs} jobs to compare of {', '.join(look['short'])}"
            return [("hold", {"reason": f"too little to tell: {shortage}"})]
        return [("good", {"stage": state.stage, "jobs": look["jobs"]})]

    def _next_stage_steps(self) -> list[Step]:
        number = self.state.stage + 1
        return [("stage", {"stage": number})] if number < len(self.state.stages) else [("done", {})]

    def _unreachable_steps(self, fleet: FleetObservation, names: list[str]) -> list[Step]:
        """Judges nothing while new dispatchers are unreachable; after a timeout, holds for an operator."""
        if not self._unreachable_since:
            self._unreachable_since = fleet.at
        if fleet.at - self._unreachable_since <= self.plan.degradation_timeout:
            return []
        return [("hold", {"reason": f"not heard: {', '.join(sorted(names))}"})]

    def _collect_points(self, fleet: FleetObservation) -> tuple[Judge, dict[str, dict[str, Any]]]:
        state = self.state
        if self._judge is None:
            self._judge = Judge(self.plan, state.placements, state.baseline_blocks, state.classes)
        measured = {}
        for name, observation in fleet.dispatchers.items():
            first = state.start_snapshots.get(name)
            if first is not None and observation.snapshot is not None and not observation.drained:
                row = measure_points(first, observation.snapshot)
                if row:
                    measured[name] = row
        return self._judge, measured

    # ------------------------------------------------------------------ rollback

    def _rollback_steps(self, fleet: FleetObservation) -> list[Step]:
        state = self.state
        for name in state.rolling_back:
            observation, original_digest = fleet.dispatchers.get(name), state.placements[name].digest
            if observation is None:
                continue
            if observation.digest == original_digest and observation.state == "serving":
                return [("returned", {"dispatcher": name})]
            if self._has_refused(observation, original_digest):
                return [("hold", {"reason": f"{name} does not go back: {observation.refusal_reason}"})]
        pending = state.pending_rollback
        selected = select_changes(pending, state.rolling_back, state.placements, self.plan.max_unavailable)
        if selected:
            return [("return", {"dispatcher": name}) for name in selected]
        if not pending and not state.rolling_back:
            return [("stopped", {"reason": state.reason})]
        return []


def _look_fields(
    stage: int, number: int, look: Look, leaks: list[str], elapsed: int, levels: dict[str, list[float]]
) -> Record:
    notable = sorted(look.findings, key=lambda f: (not f.harmful, f.tolerance - f.value))
    rows = [f for k, f in enumerate(notable) if f.harmful or f.zone == "" or k < MAX_RECORDED_FINDINGS]
    return {
        "stage": stage,
        "look": number,
        "elapsed": elapsed,
        "jobs": look.jobs,
        "leaks": leaks,
        "levels": levels,
        "findings": [
            [f.figure, f.zone, round(f.value, 5), round(f.lower_bound, 5), round(f.tolerance, 5), f.harmful]
            for f in rows
        ],
    }


def describe_state(state: State) -> Iterator[str]:
    """Yields the state of a rollout in a few lines for operators."""
    yield f"{state.release or 'nothing begun'}: {state.phase}, epoch {state.epoch}"
    if state.placements:
        changed = len([n for n in state.changed if n not in state.rolled_back])
        yield f"  {changed} of {len(state.placements)} dispatchers run the new release"
    if state.phase in ("changing", "watching"):
        yield f"  stage {state.stage + 1} of {len(state.stages)}: {', '.join(state.stages[state.stage])}"
    for what, why in (
        ("paused", state.paused),
        ("trouble", state.trouble),
        ("holding", state.held),
        ("went back", state.reason),
    ):
        if why:
            yield f"  {what}: {why}"

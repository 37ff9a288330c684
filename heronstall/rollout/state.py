"""The state of a rollout, computed from the records of its journal. Free of I/O.

Every record is written before the step it describes is carried out, so replaying the journal requests the
same steps and no others. The state changes only through `State.apply`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Literal

from heronstall.rollout.figures import Snapshot, points_from_record
from heronstall.rollout.journal import JournalError, Record
from heronstall.rollout.judge import WorthBaseline
from heronstall.rollout.plan import Placement

Phase = Literal["before", "changing", "watching", "holding", "going back", "done", "stopped"]
FINISHED_PHASES = ("done", "stopped")
KINDS = (
    "begin",
    "epoch",
    "baseline",
    "stage",
    "change",
    "changed",
    "refused",
    "lost",
    "watch",
    "look",
    "trouble",
    "calm",
    "good",
    "pause",
    "resume",
    "hold",
    "back",
    "return",
    "returned",
    "done",
    "stopped",
)


@dataclass
class State:
    """The complete state of a rollout. Times are Unix time in microseconds."""

    phase: Phase = "before"
    plan: str = ""  # digest of the plan
    release: str = ""  # name@digest of the new release
    placements: dict[str, Placement] = field(default_factory=dict)
    stages: list[list[str]] = field(default_factory=list)
    epoch: int = 0
    stage: int = -1
    change_order: list[str] = field(default_factory=list)  # dispatchers asked to change, in order
    changed: dict[str, dict[str, int]] = field(default_factory=dict)  # exit counts when it had changed
    stage_losses: dict[str, int] = field(default_factory=dict)  # external or unexplained exits in this stage
    baseline_blocks: list[dict[str, Any]] = field(default_factory=list)
    baseline: dict[str, WorthBaseline] = field(default_factory=dict)
    classes: list[str] = field(default_factory=list)
    last_change_at: int = 0  # time of the last change
    watch_started_at: int = 0  # 0: no watch is running
    start_snapshots: dict[str, Snapshot] = field(default_factory=dict)
    watch_attempt: int = -1  # index of the stage's watch; a watch may be restarted
    looks_taken: int = 0  # looks taken in this watch
    last_look: Record = field(default_factory=dict)
    verdict: str = ""  # of the last look: "good", "harm" or "short"; its consequence is not yet recorded
    last_passed_stage: int = -1  # the last stage with the verdict "good"
    footprint_looks: int = 0  # footprint looks taken in this stage
    trouble: str = ""
    trouble_since: int = 0
    paused: str = ""  # the reason of an operator's pause
    held: str = ""
    reason: str = ""  # of the rollback
    rollback_order: list[str] = field(default_factory=list)  # dispatchers asked to roll back, in order
    rolled_back: list[str] = field(default_factory=list)

    @property
    def changing(self) -> list[str]:
        """Dispatchers that were asked to change and have not yet been observed with the new release."""
        return [name for name in self.change_order if name not in self.changed]

    @property
    def pending_rollback(self) -> list[str]:
        """Dispatchers still to be rolled back; the one changed last comes first."""
        return [name for name in reversed(self.change_order) if name not in self.rollback_order]

    @property
    def rolling_back(self) -> list[str]:
        """Dispatchers that were asked to roll back and have not yet been observed with the old release."""
        return [name for name in self.rollback_order if name not in self.rolled_back]

    @property
    def unchanged(self) -> list[str]:
        """Dispatchers that were never asked to change."""
        return [name for name in self.placements if name not in self.change_order]

    @property
    def previously_harmful(self) -> set[tuple[str, str]]:
        """The (figure, zone) pairs that the last look of this watch found worse than tolerated."""
        return {(row[0], row[1]) for row in self.last_look.get("findings", []) if row[5]}

    @property
    def finished(self) -> bool:
        """Whether the rollout has ended."""
        return self.phase in FINISHED_PHASES

    def apply(self, record: Record) -> None:
        """Applies a record that has been written. Raises JournalError for an unknown kind."""
        kind, at = record["kind"], record["at"]
        name = record.get("dispatcher", "")
        if kind == "begin":
            self.plan, self.release = record["plan"], record["release"]
            self.placements = {n: Placement(*placement) for n, placement in record["homes"].items()}
            self.stages = record["stages"]
        elif kind == "epoch":
            self.epoch = record["epoch"]
        elif kind == "baseline":
            self.baseline_blocks = [
                {n: points_from_record(row) for n, row in block.items()} for block in record["blocks"]
            ]
            self.baseline = {zone: WorthBaseline(*row) for zone, row in record["usual"].items()}
            self.classes = record["classes"]
        elif kind == "stage":
            self.stage, self.phase, self.watch_attempt = record["stage"], "changing", -1
            self.stage_losses, self.footprint_looks, self.last_change_at = {}, 0, at
            self._reset_watch()
        elif kind == "change":
            self.change_order.append(name)
        elif kind == "changed":
            self.changed[name] = record["ends"]
            self.last_change_at = at
        elif kind == "refused":
            pass  # the rollback that follows is a separate record
        elif kind == "lost":
            self.stage_losses[name] = self.stage_losses.get(name, 0) + 1
            self.changed[name] = record["ends"]
            self.last_change_at = at
            self._reset_watch()
        elif kind == "watch":
            self.phase, self.watch_started_at, self.looks_taken, self.last_look = "watching", at, 0, {}
            self.start_snapshots = {n: Snapshot(t, rows) for n, (t, rows) in record["snapshots"].items()}
            self.watch_attempt += 1
        elif kind == "look":
            if record.get("foot"):
                self.footprint_looks += 1
            else:
                self.looks_taken, self.last_look, self.verdict = (
                    record["look"],
                    record,
                    record.get("verdict", ""),
                )
        elif kind == "trouble":
            self.trouble, self.trouble_since = record["text"], at
        elif kind == "calm":
            self.trouble, self.trouble_since = "", 0
            self.last_change_at = at
            if self.phase == "watching":
                self._reset_watch()
        elif kind == "good":
            self.last_passed_stage = record["stage"]
            self._reset_watch()
        elif kind == "pause":
            self.paused = record["reason"]
        elif kind == "resume":
            if self.phase == "holding":
                self.phase = "going back" if self.reason else "changing"
            self.paused = self.held = ""
            self.last_change_at = at
            self._reset_watch()
        elif kind == "hold":
            self.phase, self.held, self.verdict = "holding", record["reason"], ""
        elif kind == "back":
            self.phase, self.reason, self.held, self.paused = "going back", record["reason"], "", ""
            self.trouble, self.trouble_since, self.verdict = "", 0, ""
        elif kind == "return":
            if name not in self.rollback_order:
                self.rollback_order.append(name)
        elif kind == "returned":
            self.rolled_back.append(name)
        elif kind in FINISHED_PHASES:
            self.phase = kind
        else:
            raise JournalError(
                f"record {record.get('n')}: unknown kind {kind!r}; a newer version may have written it"
            )

    def _reset_watch(self) -> None:
        self.watch_started_at, self.start_snapshots, self.verdict = 0, {}, ""
        if self.phase == "watching":
            self.phase = "changing"

    @classmethod
    def from_records(cls, records: list[Record]) -> State:
        """Returns the state after the given records."""
        state = cls()
        for record in records:
            state.apply(record)
        return state

"""Where a rollout stands: a pure function of its journal's records. Free of I/O.

Every record is written before what it says is done, so whoever reads them again asks for the same things
and no others. `State.apply` is the only way in which anything changes.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Literal

from heronstall.rollout.figures import Snapshot, kept
from heronstall.rollout.journal import JournalError, Record
from heronstall.rollout.judge import Usual
from heronstall.rollout.plan import Home

Phase = Literal["before", "changing", "watching", "holding", "going back", "done", "stopped"]
OVER = ("done", "stopped")
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
    """All of it. Times are Unix microseconds."""

    phase: Phase = "before"
    plan: str = ""  # its digest
    release: str = ""  # the new one's name@digest
    homes: dict[str, Home] = field(default_factory=dict)
    stages: list[list[str]] = field(default_factory=list)
    epoch: int = 0
    stage: int = -1
    order: list[str] = field(default_factory=list)  # every dispatcher that was asked to change, in that order
    changed: dict[str, dict[str, int]] = field(default_factory=dict)  # its counts of ends when it had
    losses: dict[str, int] = field(default_factory=dict)  # ends by chance in this stage
    blocks: list[dict[str, Any]] = field(default_factory=list)
    usual: dict[str, Usual] = field(default_factory=dict)
    classes: list[str] = field(default_factory=list)
    settled_at: int = 0  # the last change
    watch_at: int = 0  # 0: not watching yet
    watch: dict[str, Snapshot] = field(default_factory=dict)
    attempt: int = -1  # of this stage's watches
    looks: int = 0  # of this watch
    last_look: Record = field(default_factory=dict)
    verdict: str = (
        ""  # of the last look: "good", "harm" or "short"; what follows from it is yet to be written
    )
    passed: int = -1  # the last stage that has been good
    feet: int = 0  # looks at the footprint in this stage
    trouble: str = ""
    trouble_at: int = 0
    paused: str = ""  # by hand: why
    held: str = ""
    reason: str = ""  # of going back
    returning: list[str] = field(default_factory=list)  # in the order in which they were asked
    returned: list[str] = field(default_factory=list)

    @property
    def under_way(self) -> list[str]:
        """Asked to change, and not seen to have."""
        return [name for name in self.order if name not in self.changed]

    @property
    def to_return(self) -> list[str]:
        """To go back, in the order in which they do: the last one changed goes first."""
        return [name for name in reversed(self.order) if name not in self.returning]

    @property
    def on_return(self) -> list[str]:
        """Asked to go back, and not seen to have."""
        return [name for name in self.returning if name not in self.returned]

    @property
    def old(self) -> list[str]:
        """Never asked to change."""
        return [name for name in self.homes if name not in self.order]

    @property
    def bad_before(self) -> set[tuple[str, str]]:
        """Figures and zones that the last look of this watch found worse than is tolerable."""
        return {(row[0], row[1]) for row in self.last_look.get("findings", []) if row[5]}

    @property
    def over(self) -> bool:
        """Whether nothing more will be done."""
        return self.phase in OVER

    def apply(self, r: Record) -> None:
        """A record that has been written. Raises JournalError for one that is not known."""
        kind, at = r["kind"], r["at"]
        name = r.get("dispatcher", "")
        if kind == "begin":
            self.plan, self.release = r["plan"], r["release"]
            self.homes = {n: Home(*home) for n, home in r["homes"].items()}
            self.stages = r["stages"]
        elif kind == "epoch":
            self.epoch = r["epoch"]
        elif kind == "baseline":
            self.blocks = [{n: kept(row) for n, row in block.items()} for block in r["blocks"]]
            self.usual = {zone: Usual(*row) for zone, row in r["usual"].items()}
            self.classes = r["classes"]
        elif kind == "stage":
            self.stage, self.phase, self.attempt = r["stage"], "changing", -1
            self.losses, self.feet, self.settled_at = {}, 0, at
            self._no_watch()
        elif kind == "change":
            self.order.append(name)
        elif kind == "changed":
            self.changed[name] = r["ends"]
            self.settled_at = at
        elif kind == "refused":
            pass  # what comes of it is a record of its own
        elif kind == "lost":
            self.losses[name] = self.losses.get(name, 0) + 1
            self.changed[name] = r["ends"]
            self.settled_at = at
            self._no_watch()
        elif kind == "watch":
            self.phase, self.watch_at, self.looks, self.last_look = "watching", at, 0, {}
            self.watch = {n: Snapshot(t, rows) for n, (t, rows) in r["snapshots"].items()}
            self.attempt += 1
        elif kind == "look":
            if r.get("foot"):
                self.feet += 1
            else:
                self.looks, self.last_look, self.verdict = r["look"], r, r.get("verdict", "")
        elif kind == "trouble":
            self.trouble, self.trouble_at = r["text"], at
        elif kind == "calm":
            self.trouble, self.trouble_at = "", 0
            self.settled_at = at
            if self.phase == "watching":
                self._no_watch()
        elif kind == "good":
            self.passed = r["stage"]
            self._no_watch()
        elif kind == "pause":
            self.paused = r["reason"]
        elif kind == "resume":
            if self.phase == "holding":
                self.phase = "going back" if self.reason else "changing"
            self.paused = self.held = ""
            self.settled_at = at
            self._no_watch()
        elif kind == "hold":
            self.phase, self.held, self.verdict = "holding", r["reason"], ""
        elif kind == "back":
            self.phase, self.reason, self.held, self.paused = "going back", r["reason"], "", ""
            self.trouble, self.trouble_at, self.verdict = "", 0, ""
        elif kind == "return":
            if name not in self.returning:
                self.returning.append(name)
        elif kind == "returned":
            self.returned.append(name)
        elif kind in OVER:
            self.phase = kind
        else:
            raise JournalError(
                f"record {r.get('n')}: {kind!r} is not known here: written by a newer version?"
            )

    def _no_watch(self) -> None:
        self.watch_at, self.watch, self.verdict = 0, {}, ""
        if self.phase == "watching":
            self.phase = "changing"

    @classmethod
    def of(cls, records: list[Record]) -> State:
        """The state that records come to."""
        state = cls()
        for record in records:
            state.apply(record)
        return state

"""The state of one supervised dispatcher and the actions that follow from it. Free of I/O.

The state changes only through records (`apply`), each written before it is acted upon. The actions depend on
the state alone (`due_actions`), never on what happened last: a supervisor that was killed at any point
resumes by reading its journal, and repeating an action has no further effect.

At most two processes are current: `main` serves; `coming` was started beside it and is not ready. Once it is
ready, it becomes `main`, and the former one is stopped. No process is stopped for one that is not ready.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Literal, NamedTuple

from heronstall.rollout.journal import Record

ExitCause = Literal["asked", "own", "outside", "unseen", "never"]
MAX_RECORDED_EXITS = 32


class Limits(NamedTuple):
    """Limits of the supervisor's settings; times are in microseconds."""

    ready_timeout: int = 10_000_000
    stop_timeout: int = 10_000_000
    restart_delay: int = 500_000
    max_restart_delay: int = 30_000_000
    crash_loop_exits: int = 5
    crash_loop_window: int = 60_000_000


@dataclass
class Process:
    """A process that was started and is not known to have exited."""

    token: str
    digest: str
    door: int  # index of its admin address
    since: int  # time of its start, then of its readiness
    pid: int = 0
    yes: bool = False  # whether it has reported that it is ready
    told: str = ""  # the signal sent to stop it: "TERM" or "KILL"
    told_at: int = 0
    why: str = ""


class Action(NamedTuple):
    """An action to carry out: its record is written first."""

    kind: Literal["start", "tell", "hup"]
    fields: dict[str, Any]


@dataclass
class DispatcherState:
    """The state of a supervised dispatcher."""

    name: str
    limits: Limits = Limits()
    want: str = ""  # the requested release
    last: str = ""  # the last release that served
    stopped: bool = False  # by the operator
    main: Process | None = None
    coming: Process | None = None
    leaving: list[Process] = field(default_factory=list)
    hup: str = ""  # a release that the running process should load on SIGHUP
    crashes: int = 0
    lost: int = 0
    ends: list[int] = field(default_factory=list)  # times of its unrequested exits
    ended: str = ""
    refused: str = ""
    refused_digest: str = ""
    refused_epoch: int = 0
    epoch: int = 0  # of the last controller
    # When this supervisor took over; not recorded. Timeouts do not include the time without a supervisor.
    supervised_since: int = 0

    # ------------------------------------------------------------------ state

    @property
    def processes(self) -> list[Process]:
        """All processes that are not known to have exited."""
        return [p for p in (self.main, self.coming, *self.leaving) if p is not None]

    def process(self, token: str) -> Process | None:
        """Returns the process with the given token."""
        return next((p for p in self.processes if p.token == token), None)

    def apply(self, record: Record) -> None:
        """Applies a record that has been written."""
        kind, at = record["kind"], record["at"]
        process = self.process(record["token"]) if "token" in record else None
        if kind == "want":
            self.want, self.epoch = record["digest"], record["epoch"]
            self.hup = record["digest"] if record.get("hup") else ""
            if record["epoch"] > self.refused_epoch or record["digest"] != self.refused_digest:
                self.refused = self.refused_digest = ""
        elif kind == "stop":
            self.stopped = record["stop"]
        elif kind == "start":
            new_process = Process(record["token"], record["digest"], record["door"], at)
            if self.main is None:
                self.main = new_process
            else:
                self.coming = new_process
        elif kind == "born" and process is not None:
            process.pid = record["pid"]
        elif kind == "yes" and process is not None:
            process.yes, process.since = True, at
            if process is self.coming:
                if self.main is not None:
                    self.leaving.append(self.main)
                self.main, self.coming = process, None
            self.last = process.digest
        elif kind == "tell" and process is not None:
            process.told, process.told_at, process.why = record["signal"], at, record["why"]
        elif kind == "hupped":
            if self.main is not None:
                self.main.digest = self.last = record["digest"]
            self.hup = ""
        elif kind == "ended" and process is not None:
            self._apply_exit(process, at, record["how"], record["fault"])

    def _apply_exit(self, process: Process, at: int, how: str, cause: ExitCause) -> None:
        never_served = not process.yes and process.digest != self.last
        if process in self.leaving:
            self.leaving.remove(process)
            return
        if process is self.coming:
            self.coming = None
        else:
            self.main = None
            if self.coming is not None and self.coming.yes:
                self.main, self.coming = self.coming, None
            if self.stopped and cause == "asked":
                return
        if cause == "never":  # the start was recorded but not carried out: it is repeated
            return
        superseded = self.want != process.digest
        if never_served and not superseded and self.last:
            # The release never served here: request the previous one again, whether it runs or not.
            self.refused = process.why or f"it ended before its yes: {how}"
            self.refused_digest, self.refused_epoch = process.digest, self.epoch
            self.want = self.last
        elif not (superseded and process.told):
            self.ended = process.why or how
            self.ends = [*self.ends, at][-MAX_RECORDED_EXITS:]
            if cause in ("own", "asked"):  # stopped because it was not ready in time
                self.crashes += 1
            else:
                self.lost += 1

    # ------------------------------------------------------------------ actions

    def _recent_exits(self, now: int) -> int:
        return sum(at > now - self.limits.crash_loop_window for at in self.ends)

    def is_crash_looping(self, now: int) -> bool:
        """Returns whether the recent exits form a crash loop."""
        return self._recent_exits(now) >= self.limits.crash_loop_exits

    def restart_at(self, now: int) -> int:
        """Returns when it may be started again: the delay doubles with each recent exit."""
        recent_exits = self._recent_exits(now)
        if not recent_exits:
            return 0
        return self.ends[-1] + min(
            self.limits.max_restart_delay, self.limits.restart_delay * (1 << (recent_exits - 1))
        )

    def _free_slot(self) -> int | None:
        used_slots = {p.door for p in self.processes}
        return next((slot for slot in (0, 1) if slot not in used_slots), None)

    def due_actions(self, now: int) -> list[Action]:
        """Returns the actions that are due now."""
        actions: list[Action] = []

        def send_signal(process: Process, signal: str, why: str) -> None:
            fields = {"token": process.token, "signal": signal, "why": why}
            actions.append(Action("tell", fields))

        for process in self.leaving:
            if not process.told:
                send_signal(process, "TERM", "another process serves")
        for process in self.processes:
            if (
                process.told == "TERM"
                and now - max(process.told_at, self.supervised_since) > self.limits.stop_timeout
            ):
                send_signal(process, "KILL", process.why)
        current = [p for p in (self.main, self.coming) if p is not None]
        for process in current:
            if not process.yes and not process.told:
                if self.coming is process and process.digest != self.want:
                    send_signal(process, "KILL", "turned round")
                elif now - max(process.since, self.supervised_since) > self.limits.ready_timeout:
                    send_signal(process, "KILL", f"no yes in {self.limits.ready_timeout / 1e6:g} s")
        if self.stopped:
            for process in current:
                if not process.told:
                    send_signal(process, "TERM", "stopped by hand")
            return actions
        if self.hup and self.main is not None and self.main.yes and self.coming is None:
            actions.append(Action("hup", {"digest": self.hup}))
        elif self.coming is None and self.want:
            slot = self._free_slot()
            must_replace = self.main is not None and self.main.yes and self.main.digest != self.want
            if slot is not None and (must_replace or (self.main is None and now >= self.restart_at(now))):
                actions.append(Action("start", {"digest": self.want, "door": slot}))
        return actions

    # ------------------------------------------------------------------ reports and records

    def report(self, now: int) -> dict[str, Any]:
        """Returns the dispatcher's fields for INFO."""
        main = self.main
        if self.stopped:
            state, digest = "stopped", self.want
        elif main is None or not main.yes:
            state, digest = ("looping" if self.is_crash_looping(now) else "waiting"), ""
        elif self.coming is not None or self.leaving or main.digest != self.want or self.hup:
            state, digest = "changing", main.digest
        else:
            state, digest = "serving", main.digest
        return {
            "state": state,
            "digest": digest,
            "want": self.want,
            "pid": main.pid if main else 0,
            "processes": len(self.processes),
            "crashes": self.crashes,
            "lost": self.lost,
            "ended": self.ended,
            "refused": self.refused,
            "refused_digest": self.refused_digest,
            "refused_epoch": self.refused_epoch,
        }

    def state_records(self) -> list[tuple[str, Record]]:
        """Returns records that restore this state, for a compacted journal."""
        result: list[tuple[str, Record]] = []

        def add(kind: str, **fields: Any) -> None:
            result.append((kind, {"d": self.name, **fields}))

        add("state", state={k: getattr(self, k) for k in PERSISTED_FIELDS})
        for process in self.processes:
            add("process", seat=self._role(process), process=vars(process).copy())
        return result

    def _role(self, process: Process) -> str:
        return "main" if process is self.main else "coming" if process is self.coming else "leaving"

    def restore(self, record: Record) -> None:
        """Restores the state from a record of `state_records`."""
        if record["kind"] == "state":
            for name in PERSISTED_FIELDS:
                setattr(self, name, record["state"][name])
            return
        process = Process(**record["process"])
        if record["seat"] == "leaving":
            self.leaving.append(process)
        else:
            setattr(self, record["seat"], process)


PERSISTED_FIELDS = (
    "want",
    "last",
    "stopped",
    "hup",
    "crashes",
    "lost",
    "ends",
    "ended",
    "refused",
    "refused_digest",
    "refused_epoch",
    "epoch",
)

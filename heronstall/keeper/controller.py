"""The controller of a rollout: looks at the keepers, has the machine say what comes next, writes it, asks
for it.

It can be killed at any moment and started again. Whoever is asked by two controllers does what the newer
one says. While it runs it is called on loopback at the address in the file beside its journal: STATUS,
PAUSE, RESUME, BACK.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
from collections.abc import Callable
from pathlib import Path
from typing import Any

from heronstall import events
from heronstall.events import say
from heronstall.keeper import calls
from heronstall.keeper.calls import CallError, Desk, Reply, no, rows, yes
from heronstall.keeper.log import Log, unix_us
from heronstall.rollout.figures import Snapshot
from heronstall.rollout.journal import JournalError, Record
from heronstall.rollout.machine import FleetObservation, Observation, RolloutStateMachine, describe_state
from heronstall.rollout.plan import Placement, Plan, assign_stages
from heronstall.rollout.state import State

CALL_TIME, CHECK_TIME = 3.0, 90.0  # seconds that a keeper may take
WORDS = ("PAUSE", "RESUME", "BACK")
log = logging.getLogger("heronstall.rollout")


class RolloutError(RuntimeError):
    """The rollout cannot begin or go on; the message says why."""


class Superseded(RolloutError):
    """Another controller has taken over."""


def beside(journal: Path) -> Path:
    """Where a running controller tells its address."""
    return journal.with_name(journal.name + ".at")


class Fleet:
    """All keepers of a plan, as a controller reaches them."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self.epochs: dict[str, int] = {}
        self.zones: dict[str, tuple[str, str]] = {}  # of each dispatcher: its keeper and zone

    async def ask(self, line: str, longest: float = CALL_TIME) -> dict[str, Reply | CallError]:
        """The same call to every keeper, at the same time."""

        async def one(address: str) -> Reply | CallError:
            try:
                return await calls.call(address, line, longest)
            except CallError as error:
                return error

        found = await asyncio.gather(*(one(at) for at in self._plan.supervisors.values()))
        return dict(zip(self._plan.supervisors, found, strict=True))

    async def look(self) -> FleetObservation:
        """What the keepers that are heard say of their dispatchers."""
        info, figures = await asyncio.gather(self.ask("INFO"), self.ask("FIGURES"))
        seen: dict[str, Observation] = {}
        for keeper, reply in info.items():
            if not isinstance(reply, Reply):
                continue
            told = figures[keeper]
            by_name = _by_name(told.rows) if isinstance(told, Reply) else {}
            with contextlib.suppress(KeyError, ValueError, TypeError):
                self.epochs[keeper] = int(reply.rows["keep.epoch"])
                for name, value in reply.rows.items():
                    if name.startswith("dispatcher."):
                        short = name.removeprefix("dispatcher.")
                        row = json.loads(value)
                        self.zones[short] = keeper, str(row["zone"])
                        seen[short] = sight(row, by_name.get(short, {}))
        return FleetObservation(unix_us(), seen)


def _by_name(table: dict[str, str]) -> dict[str, dict[str, str]]:
    made: dict[str, dict[str, str]] = {}
    for key, value in table.items():
        name, _, figure = key.partition(" ")
        made.setdefault(name, {})[figure] = value
    return made


def sight(row: dict[str, Any], figures: dict[str, str]) -> Observation:
    """One dispatcher. Raises KeyError, TypeError or ValueError for rows that cannot be used."""
    snapshot = None
    # Guards against figures of the process before: those of a process that is not the one that serves.
    if figures.get("about.v") == "1" and figures.get("about.pid") == str(row["pid"]):
        about = ("at", "ping")
        told = {name: value for name, value in figures.items() if name not in about}
        snapshot = Snapshot(int(figures["at"]), told)
    return Observation(
        str(row["digest"]),
        str(row["state"]),
        int(row["crashes"]),
        int(row["lost"]),
        str(row["refused"]),
        str(row["refused_digest"]),
        int(row["refused_epoch"]),
        str(row["ended"]),
        figures.get("ping", "serving") != "serving" or row["state"] == "stopped",
        int(figures.get("alarms", "0")),
        snapshot,
    )


class Controller:
    """One run of a rollout's controller."""

    def __init__(self, plan: Plan, heard: Callable[[Record], None] = lambda record: None) -> None:
        """`heard` is told of each record. Raises Busy, OSError and JournalError as `Log` does."""
        self._plan, self._heard = plan, heard
        self._path = Path(plan.journal)
        self._path.parent.mkdir(parents=True, exist_ok=True)
        self._log = Log(self._path)
        self.fleet = Fleet(plan)
        try:
            self.machine = RolloutStateMachine(plan, self._log.records)
            if self._log.records and self.machine.state.plan != plan.digest:
                told = "its journal was begun with another plan: end that rollout, or name another journal"
                raise RolloutError(f"{plan.journal}: {told}")
        except BaseException:
            self._log.close()
            raise

    def _write(self, kind: str, fields: Record) -> None:
        record = self._log.append(kind, fields)
        self.machine.apply(record)
        self._heard(record)
        told = {key: str(fields[key]) for key in ("dispatcher", "reason", "text", "stage") if key in fields}
        say(log, events.ROLLOUT, step=kind, told=" ".join(f"{k}={v}" for k, v in told.items()))

    async def run(self, words: tuple[str, ...] = ()) -> None:
        """Carry the rollout to its end. `words` are said by hand at the start.

        Raises RolloutError where it cannot begin, Superseded where another controller has taken over.
        """
        desk = Desk(self._answer)
        try:
            at = await desk.open("127.0.0.1:0")
            beside(self._path).write_text(at + "\n", encoding="ascii")
            if not self._log.records:
                await self._begin()
            await self._claim()
            self.machine.operator_commands += [word.lower() for word in words]
            while not self.machine.state.finished:
                await self._turn()
                if not self.machine.state.finished:
                    await asyncio.sleep(self._plan.poll_interval / 1e6)
        finally:
            await desk.close()
            beside(self._path).unlink(missing_ok=True)
            self._log.close()

    async def check(self) -> tuple[str, dict[str, Placement]]:
        """Whether the rollout could begin: the release's name@digest, and where each dispatcher stands.

        Raises RolloutError.
        """
        seen = await self.fleet.look()
        deaf = [keeper for keeper in self._plan.supervisors if keeper not in self.fleet.epochs]
        if deaf:
            raise RolloutError(f"not heard: {', '.join(deaf)}")
        for name, one in seen.dispatchers.items():
            if one.state not in ("serving", "stopped"):
                raise RolloutError(f"{name} does not serve: it is {one.state}")
            if one.snapshot is None and one.state == "serving":
                told = "its door tells no figures (figures.detail in the operator's file of what runs now)"
                raise RolloutError(f"{name}: {told}")
        if not seen.dispatchers:
            raise RolloutError("the keepers keep no dispatcher")
        found = await self.fleet.ask(f"CHECK {self._plan.release}", CHECK_TIME)
        releases = set()
        for keeper, reply in found.items():
            if not isinstance(reply, Reply) or not reply.good:
                told = reply.text if isinstance(reply, Reply) else str(reply)
                raise RolloutError(f"keeper {keeper}: {told}")
            releases.add(reply.text)
        if len(releases) > 1:
            raise RolloutError(f"the keepers' files of the release differ: {', '.join(sorted(releases))}")
        homes = {
            n: Placement(*self.fleet.zones[n], one.digest) for n, one in sorted(seen.dispatchers.items())
        }
        return releases.pop(), homes

    async def _begin(self) -> None:
        release, homes = await self.check()
        self._write(
            "begin",
            {
                "plan": self._plan.digest,
                "name": self._plan.name,
                "release": release,
                "homes": {name: list(home) for name, home in homes.items()},
                "stages": assign_stages(self._plan, homes),
            },
        )

    async def _claim(self) -> None:
        """Be the newest controller that any keeper that is heard knows of."""
        while True:
            await self.fleet.look()
            epoch = max([self.machine.state.epoch, *self.fleet.epochs.values()]) + 1
            self._write("epoch", {"epoch": epoch})
            found = await self.fleet.ask(f"CLAIM {epoch}")
            if not any(isinstance(reply, Reply) and not reply.good for reply in found.values()):
                return

    async def _turn(self) -> None:
        machine = self.machine
        seen = await self.fleet.look()
        mine = machine.state.epoch
        newer = {keeper: epoch for keeper, epoch in self.fleet.epochs.items() if epoch > mine}
        if newer:
            raise Superseded(
                f"another controller has taken over: epoch {max(newer.values())}, ours is {mine}"
            )
        # As many steps as what is seen allows, so that a quick stage does not wait for looks.
        while steps := machine.step(seen):
            for kind, fields in steps:
                self._write(kind, fields)
                if kind == "resume":  # what was refused to the former epoch is tried again
                    await self._claim()
            if machine.state.finished:
                return
        await self._ask_for(machine.desired_digests())

    async def _ask_for(self, wanted: dict[str, str]) -> None:
        homes = self.machine.state.placements

        async def one(name: str, digest: str) -> str:
            address = self._plan.supervisors[homes[name].supervisor]
            try:
                line = f"RUN {self.machine.state.epoch} {name} {digest}"
                reply = await calls.call(address, line, CALL_TIME)
            except CallError:
                return ""  # not heard: it is asked again
            return "" if reply.good else reply.text

        for told in await asyncio.gather(*(one(name, digest) for name, digest in wanted.items())):
            if told.startswith("older than epoch"):
                raise Superseded(f"another controller has taken over: {told}")

    async def _answer(self, words: list[str]) -> str:
        match words:
            case ["STATUS"]:
                return rows(status(self.machine.state))
            case [word] if word in WORDS:
                self.machine.operator_commands.append(word.lower())
                return yes("noted")
        return no("such call")


def status(state: State) -> dict[str, str]:
    """Where a rollout stands, for STATUS and `--json`."""
    made = {"rollout": json.dumps(" | ".join(line.strip() for line in describe_state(state)))}
    for key in ("phase", "release", "epoch", "stage", "paused", "held", "trouble", "reason"):
        made[key] = json.dumps(getattr(state, key))
    made["changed"] = json.dumps([name for name in state.changed if name not in state.rolled_back])
    made["under_way"] = json.dumps(state.changing)
    made["stages"] = json.dumps(state.stages)
    return made


__all__ = ["Controller", "JournalError", "RolloutError", "Superseded", "beside", "status"]

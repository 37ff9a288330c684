"""The controller of a rollout: observes the supervisors, records the next steps and requests them.

It can be killed at any moment and started again. A supervisor called by two controllers obeys the newer one.
A running controller accepts STATUS, PAUSE, RESUME and BACK on loopback, at the address in the file beside its
journal.
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
from heronstall.events import log_event
from heronstall.keeper import calls
from heronstall.keeper.calls import CallError, CallServer, Reply, no_reply, rows_reply, yes_reply
from heronstall.keeper.log import JournalFile, unix_us
from heronstall.rollout.figures import Snapshot
from heronstall.rollout.journal import JournalError, Record
from heronstall.rollout.machine import FleetObservation, Observation, RolloutStateMachine, describe_state
from heronstall.rollout.plan import Placement, Plan, assign_stages
from heronstall.rollout.state import State

CALL_TIMEOUT_S, CHECK_TIMEOUT_S = 3.0, 90.0  # of calls to a supervisor
COMMANDS = ("PAUSE", "RESUME", "BACK")
log = logging.getLogger("heronstall.rollout")


class RolloutError(RuntimeError):
    """The rollout cannot begin or continue; the message states the reason."""


class Superseded(RolloutError):
    """Another controller has taken over."""


def address_file(journal: Path) -> Path:
    """Returns the file in which a running controller writes its address."""
    return journal.with_name(journal.name + ".at")


class Fleet:
    """All supervisors of a plan, as a controller reaches them."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self.epochs: dict[str, int] = {}
        self.zones: dict[str, tuple[str, str]] = {}  # supervisor and zone by dispatcher

    async def ask(self, line: str, timeout_s: float = CALL_TIMEOUT_S) -> dict[str, Reply | CallError]:
        """Makes the same call to every supervisor concurrently."""

        async def call_one(address: str) -> Reply | CallError:
            try:
                return await calls.call(address, line, timeout_s)
            except CallError as error:
                return error

        replies = await asyncio.gather(*(call_one(address) for address in self._plan.supervisors.values()))
        return dict(zip(self._plan.supervisors, replies, strict=True))

    async def look(self) -> FleetObservation:
        """Returns what the reachable supervisors report of their dispatchers."""
        info, figures = await asyncio.gather(self.ask("INFO"), self.ask("FIGURES"))
        observations: dict[str, Observation] = {}
        for supervisor, reply in info.items():
            if not isinstance(reply, Reply):
                continue
            figure_reply = figures[supervisor]
            figures_by_name = (
                _group_by_dispatcher(figure_reply.rows) if isinstance(figure_reply, Reply) else {}
            )
            with contextlib.suppress(KeyError, ValueError, TypeError):
                self.epochs[supervisor] = int(reply.rows["keep.epoch"])
                for name, value in reply.rows.items():
                    if name.startswith("dispatcher."):
                        dispatcher = name.removeprefix("dispatcher.")
                        fields = json.loads(value)
                        self.zones[dispatcher] = supervisor, str(fields["zone"])
                        observations[dispatcher] = parse_observation(
                            fields, figures_by_name.get(dispatcher, {})
                        )
        return FleetObservation(unix_us(), observations)


def _group_by_dispatcher(figure_rows: dict[str, str]) -> dict[str, dict[str, str]]:
    grouped: dict[str, dict[str, str]] = {}
    for key, value in figure_rows.items():
        name, _, figure = key.partition(" ")
        grouped.setdefault(name, {})[figure] = value
    return grouped


def parse_observation(row: dict[str, Any], figures: dict[str, str]) -> Observation:
    """Parses the rows of one dispatcher. Raises KeyError, TypeError or ValueError for unusable rows."""
    snapshot = None
    # The metrics may still be those of the previous process.
    if figures.get("about.v") == "1" and figures.get("about.pid") == str(row["pid"]):
        other_keys = ("at", "ping")
        rows = {name: value for name, value in figures.items() if name not in other_keys}
        snapshot = Snapshot(int(figures["at"]), rows)
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

    def __init__(self, plan: Plan, on_record: Callable[[Record], None] = lambda record: None) -> None:
        """`on_record` is called with each record. Raises JournalLocked, OSError and JournalError."""
        self._plan, self._on_record = plan, on_record
        self._path = Path(plan.journal)
        self._path.parent.mkdir(parents=True, exist_ok=True)
        self._journal = JournalFile(self._path)
        self.fleet = Fleet(plan)
        try:
            self.machine = RolloutStateMachine(plan, self._journal.records)
            if self._journal.records and self.machine.state.plan != plan.digest:
                message = "its journal belongs to another plan: finish that rollout or choose another journal"
                raise RolloutError(f"{plan.journal}: {message}")
        except BaseException:
            self._journal.close()
            raise

    def _write(self, kind: str, fields: Record) -> None:
        record = self._journal.append(kind, fields)
        self.machine.apply(record)
        self._on_record(record)
        details = {
            key: str(fields[key]) for key in ("dispatcher", "reason", "text", "stage") if key in fields
        }
        log_event(log, events.ROLLOUT_STEP, step=kind, told=" ".join(f"{k}={v}" for k, v in details.items()))

    async def run(self, commands: tuple[str, ...] = ()) -> None:
        """Carries the rollout to its end; `commands` are the operator's commands at the start.

        Raises RolloutError if it cannot begin, Superseded if another controller has taken over.
        """
        server = CallServer(self._handle_call)
        try:
            address = await server.open("127.0.0.1:0")
            address_file(self._path).write_text(address + "\n", encoding="ascii")
            if not self._journal.records:
                await self._begin()
            await self._claim_epoch()
            self.machine.operator_commands += [command.lower() for command in commands]
            while not self.machine.state.finished:
                await self._poll()
                if not self.machine.state.finished:
                    await asyncio.sleep(self._plan.poll_interval / 1e6)
        finally:
            await server.close()
            address_file(self._path).unlink(missing_ok=True)
            self._journal.close()

    async def check(self) -> tuple[str, dict[str, Placement]]:
        """Checks whether the rollout could begin; returns the release's name@digest and the placements.

        Raises RolloutError.
        """
        fleet = await self.fleet.look()
        unreachable = [
            supervisor for supervisor in self._plan.supervisors if supervisor not in self.fleet.epochs
        ]
        if unreachable:
            raise RolloutError(f"unreachable: {', '.join(unreachable)}")
        for name, observation in fleet.dispatchers.items():
            if observation.state not in ("serving", "stopped"):
                raise RolloutError(f"{name} does not serve: it is {observation.state}")
            if observation.snapshot is None and observation.state == "serving":
                message = "its admin endpoint gives no metrics (figures.detail of the operator's file)"
                raise RolloutError(f"{name}: {message}")
        if not fleet.dispatchers:
            raise RolloutError("the supervisors have no dispatcher")
        replies = await self.fleet.ask(f"CHECK {self._plan.release}", CHECK_TIMEOUT_S)
        releases = set()
        for supervisor, reply in replies.items():
            if not isinstance(reply, Reply) or not reply.good:
                message = reply.text if isinstance(reply, Reply) else str(reply)
                raise RolloutError(f"supervisor {supervisor}: {message}")
            releases.add(reply.text)
        if len(releases) > 1:
            raise RolloutError(f"the release differs between supervisors: {', '.join(sorted(releases))}")
        placements = {
            n: Placement(*self.fleet.zones[n], observation.digest)
            for n, observation in sorted(fleet.dispatchers.items())
        }
        return releases.pop(), placements

    async def _begin(self) -> None:
        release, placements = await self.check()
        self._write(
            "begin",
            {
                "plan": self._plan.digest,
                "name": self._plan.name,
                "release": release,
                "homes": {name: list(placement) for name, placement in placements.items()},
                "stages": assign_stages(self._plan, placements),
            },
        )

    async def _claim_epoch(self) -> None:
        """Claims an epoch newer than that of any controller known to a reachable supervisor."""
        while True:
            await self.fleet.look()
            epoch = max([self.machine.state.epoch, *self.fleet.epochs.values()]) + 1
            self._write("epoch", {"epoch": epoch})
            replies = await self.fleet.ask(f"CLAIM {epoch}")
            if not any(isinstance(reply, Reply) and not reply.good for reply in replies.values()):
                return

    async def _poll(self) -> None:
        machine = self.machine
        fleet = await self.fleet.look()
        own_epoch = machine.state.epoch
        newer = {supervisor: epoch for supervisor, epoch in self.fleet.epochs.items() if epoch > own_epoch}
        if newer:
            raise Superseded(
                f"another controller has taken over: epoch {max(newer.values())}, ours is {own_epoch}"
            )
        # Take every step that this observation allows, so that a quick stage need not wait for the next one.
        while steps := machine.step(fleet):
            for kind, fields in steps:
                self._write(kind, fields)
                if kind == "resume":  # a new epoch retries what was refused to the former one
                    await self._claim_epoch()
            if machine.state.finished:
                return
        await self._request_releases(machine.desired_digests())

    async def _request_releases(self, wanted: dict[str, str]) -> None:
        placements = self.machine.state.placements

        async def request_one(name: str, digest: str) -> str:
            address = self._plan.supervisors[placements[name].supervisor]
            try:
                line = f"RUN {self.machine.state.epoch} {name} {digest}"
                reply = await calls.call(address, line, CALL_TIMEOUT_S)
            except CallError:
                return ""  # unreachable: the request is repeated
            return "" if reply.good else reply.text

        for refusal in await asyncio.gather(*(request_one(name, digest) for name, digest in wanted.items())):
            if refusal.startswith("older than epoch"):
                raise Superseded(f"another controller has taken over: {refusal}")

    async def _handle_call(self, commands: list[str]) -> str:
        match commands:
            case ["STATUS"]:
                return rows_reply(status(self.machine.state))
            case [command] if command in COMMANDS:
                self.machine.operator_commands.append(command.lower())
                return yes_reply("noted")
        return no_reply("such call")


def status(state: State) -> dict[str, str]:
    """Returns the state of a rollout for STATUS and `--json`."""
    result = {"rollout": json.dumps(" | ".join(line.strip() for line in describe_state(state)))}
    for key in ("phase", "release", "epoch", "stage", "paused", "held", "trouble", "reason"):
        result[key] = json.dumps(getattr(state, key))
    result["changed"] = json.dumps([name for name in state.changed if name not in state.rolled_back])
    result["under_way"] = json.dumps(state.changing)
    result["stages"] = json.dumps(state.stages)
    return result


__all__ = ["Controller", "JournalError", "RolloutError", "Superseded", "address_file", "status"]

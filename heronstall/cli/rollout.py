"""`heronstall rollout`: a change carried through the fleet in stages."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Any

import click

from heronstall.cli.common import BadInput
from heronstall.records import RecordsError, load
from heronstall.rollout.journal import JournalError, Record
from heronstall.rollout.judge import LOOKS
from heronstall.rollout.machine import describe_state
from heronstall.rollout.plan import Plan, PlanError, parse_plan
from heronstall.rollout.state import State

STOPPED, HELD, SUPERSEDED = 3, 4, 5
CALL_TIME = 3.0


@click.group()
def rollout() -> None:
    """Carry a change of the program or its settings through the fleet in stages.

    Exit codes: 0 done, 2 bad input, 3 stopped and gone back, 4 holding for a person, 5 another controller
    has taken over.
    """


class Stopped(click.ClickException):
    """Stopped, and gone back."""

    exit_code = STOPPED


class Held(click.ClickException):
    """Holding for a person."""

    exit_code = HELD


class TakenOver(click.ClickException):
    """Another controller has taken over."""

    exit_code = SUPERSEDED


def read_plan(path: Path) -> Plan:
    """A plan's file; its journal starts from there. Raises BadInput."""
    try:
        record = load(path, ("rollout",))[1]
        record["journal"] = str(path.resolve().parent / record["journal"])
        return parse_plan(record)
    except RecordsError as error:
        raise BadInput(str(error)) from None
    except PlanError as error:
        raise BadInput(f"{path}: {error}") from None


def _state(made: Plan) -> State:
    from heronstall.keeper.log import read_records

    try:
        return State.from_records(read_records(Path(made.journal)))
    except FileNotFoundError:
        raise BadInput(f"{made.journal}: this rollout has not begun") from None
    except (OSError, JournalError) as error:
        raise BadInput(f"{made.journal}: {error}") from None


def _call(made: Plan, word: str) -> bool:
    """Whether a running controller has taken a word."""
    from heronstall.keeper import calls
    from heronstall.keeper.controller import address_file

    try:
        at = address_file(Path(made.journal)).read_text(encoding="ascii").strip()
        return asyncio.run(calls.call(at, word, CALL_TIME)).good
    except (OSError, UnicodeDecodeError):
        return False


def _carry(made: Plan, words: tuple[str, ...], as_json: bool) -> None:
    """Be the controller until the end."""
    from heronstall.keeper.controller import Controller, RolloutError, Superseded
    from heronstall.keeper.log import JournalLocked
    from heronstall.operator import OperatorSettings, start_logging

    start_logging(OperatorSettings(log_level="warning"))

    def heard(record: Record) -> None:
        if as_json:
            click.echo(json.dumps({key: value for key, value in record.items() if key not in BULKY}))
        else:
            click.echo(line(record))

    try:
        controller = Controller(made, heard)
        asyncio.run(controller.run(words))
    except JournalLocked:
        raise BadInput(f"{made.journal}: a controller runs already; `rollout status` asks it") from None
    except Superseded as error:
        raise TakenOver(str(error)) from None
    except (RolloutError, JournalError, OSError) as error:
        raise BadInput(str(error)) from None
    _verdict(controller.machine.state)


def _verdict(state: State) -> None:
    if state.phase == "stopped":
        raise Stopped(f"stopped, and gone back: {state.reason}")
    if state.phase == "holding":
        raise Held(f"holding for a person: {state.held}")


BULKY = ("snapshots", "blocks", "usual", "findings", "homes")


def line(record: Record) -> str:
    """A record for people."""
    at = time.strftime("%H:%M:%S", time.localtime(record["at"] / 1e6))
    return f"{at} {record['kind']:<9} {' '.join(_words(record))}".rstrip()


def _words(record: Record) -> list[str]:
    """What it says. Stages count from 1, as in `check` and `status`."""
    kind, nth = record["kind"], record.get("stage", 0) + 1
    if kind == "begin":
        return [record["release"], *(f"{n + 1}: {' '.join(row)};" for n, row in enumerate(record["stages"]))]
    if kind == "look" and "look" in record:
        jobs = ", ".join(f"{n:.0f} {name}" for name, n in record["jobs"].items())
        shown = "; ".join(record.get("harm", [])) or "no harm shown"
        return [f"stage {nth}, {record['look']} of {LOOKS}: {jobs or 'no jobs'} at new ones; {shown}"]
    skipped = (
        *BULKY,
        "v",
        "n",
        "at",
        "kind",
        "ends",
        "all",
        "plan",
        "name",
        "classes",
        "elapsed",
        "jobs",
        "stage",
    )
    told = [f"{k}={v}" for k, v in record.items() if k not in skipped and v not in ("", [])]
    return [*([f"stage {nth}"] if "stage" in record else []), *told]


@rollout.command("check")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def check(file: Path, as_json: bool) -> None:
    """Whether the plan in FILE could begin: keepers heard, release sound, settings read on each; its stages.

    Example: heronstall rollout check deploy/rollout.cue
    """
    import tempfile
    from dataclasses import replace

    from heronstall.keeper.controller import Controller, RolloutError
    from heronstall.rollout.plan import assign_stages

    made = read_plan(file)
    with tempfile.TemporaryDirectory() as folder:
        controller = Controller(replace(made, journal=f"{folder}/journal"))
        try:
            release, homes = asyncio.run(controller.check())
        except (RolloutError, OSError) as error:
            raise BadInput(str(error)) from None
    rows = assign_stages(made, homes)
    if as_json:
        click.echo(json.dumps({"release": release, "stages": rows}, indent=1))
        return
    click.echo(f"{release}: read by {len(homes)} dispatchers on {len(made.supervisors)} keepers")
    for n, names in enumerate(rows):
        click.echo(
            f"  stage {n + 1}, watched {made.watch_time_of(n) / 1e6:g} s: {', '.join(names) or 'nobody'}"
        )


@rollout.command("start")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Each step as a JSON line.")
def start(file: Path, as_json: bool) -> None:
    """Carry the plan in FILE through, in the foreground; go on with it where it was begun before.

    Example: heronstall rollout start deploy/rollout.cue
    """
    _carry(read_plan(file), (), as_json)


def _say(file: Path, word: str, as_json: bool) -> None:
    """Tell the running controller, or be one where none runs."""
    made = read_plan(file)
    if _call(made, word):
        click.echo("noted")
        return
    if _state(made).finished:
        raise BadInput("this rollout has ended")
    if word == "PAUSE":
        raise BadInput("no controller runs: nothing changes until `rollout start`")
    _carry(made, (word,), as_json)


@rollout.command("pause")
@click.argument("file", type=click.Path(path_type=Path))
def pause(file: Path) -> None:
    """Change nothing more until `resume`."""
    _say(file, "PAUSE", False)


@rollout.command("resume")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Each step as a JSON line.")
def resume(file: Path, as_json: bool) -> None:
    """Go on after `pause`, or where it holds for a person; what was being watched is watched anew."""
    _say(file, "RESUME", as_json)


@rollout.command("back")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Each step as a JSON line.")
def back(file: Path, as_json: bool) -> None:
    """Send every changed dispatcher back to what it ran, the last one first."""
    _say(file, "BACK", as_json)


@rollout.command("status")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def status(file: Path, as_json: bool) -> None:
    """Where the rollout stands, by its journal; exit code as of its end."""
    from heronstall.keeper.controller import status as told

    made = read_plan(file)
    state = _state(made)
    if as_json:
        click.echo(json.dumps({k: json.loads(v) for k, v in told(state).items()}, indent=1))
    else:
        for row in describe_state(state):
            click.echo(row)
        running = _call(made, "STATUS")
        if not state.finished and not running:
            click.echo("  no controller runs: `rollout start` goes on")
    _verdict(state)


@rollout.command("watch")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--seconds", type=float, help="End after so long; without it, at the rollout's end.")
def watch(file: Path, seconds: float | None) -> None:
    """Follow a rollout live: where it stands and what the last look found, and each step as it comes."""
    from heronstall.cli.rollout_view import View

    made = read_plan(file)
    _state(made)
    until = None if seconds is None else time.monotonic() + seconds
    with View(made) as view:
        while True:
            state = _state(made)
            view.show(state)
            if state.finished or (until is not None and time.monotonic() > until):
                break
            time.sleep(0.5)
    _verdict(state)


@rollout.command("report")
@click.argument("file", type=click.Path(path_type=Path))
@click.argument("folder", type=click.Path(path_type=Path))
def report(file: Path, folder: Path) -> None:
    """Write one HTML page on a rollout into FOLDER: each stage's figures, intervals, each step's reason."""
    from heronstall.keeper.log import read_records
    from heronstall.report.rollout import write_rollout_page

    made = read_plan(file)
    _state(made)
    records: list[dict[str, Any]] = read_records(Path(made.journal))
    click.echo(str(write_rollout_page(made, records, folder)))

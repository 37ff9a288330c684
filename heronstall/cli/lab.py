"""`heronstall lab`: a scenario on loopback, with real dispatchers."""

from __future__ import annotations

import asyncio
import shlex
import sys
from pathlib import Path
from typing import Any

import click

from heronstall.cli.common import BadInput, Missed, finish, loopback_address, read_scenario, write_json
from heronstall.fleet.spec import Scenario, ScenarioError


@click.group()
def lab() -> None:
    """Play scenarios on loopback sockets against real dispatcher processes."""


def play(
    made: Scenario,
    seed: int,
    folder: Path | None,
    program: tuple[str, ...] | None,
    quiet: bool,
    settings: Path | None = None,
    talk: bool = False,
) -> dict[str, Any]:
    """One run, with a live table on a terminal. Raises BadInput or Missed."""
    from heronstall.cli.live import LiveTable
    from heronstall.lab.nodes import DEFAULT, LabError, Nodes
    from heronstall.lab.peered import PeeredNodes
    from heronstall.lab.run import play as run

    nodes = PeeredNodes if talk else Nodes
    try:
        with LiveTable(made, quiet or not sys.stderr.isatty()) as table:
            return run(made, seed, folder, program or DEFAULT, table.show, settings, nodes)
    except ScenarioError as error:
        raise BadInput(str(error)) from None
    except LabError as error:
        raise Missed(str(error)) from None


@lab.command("run")
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option(
    "--seed", type=click.IntRange(min=0), default=1, show_default=True, help="Of the fleet and its traffic."
)
@click.option("--seconds", type=click.FloatRange(min=1, max=600), help="Of arrivals, instead of the file's.")
@click.option("--json", "to", metavar="FILE", help="Write the record there; - is standard output.")
@click.option(
    "--report", type=click.Path(path_type=Path), help="Write report.html and the logs into this folder."
)
@click.option("--program", help="The dispatcher's command, instead of this installation's own.")
@click.option("--least", type=float, help="Exit 1 where the score is lower.")
@click.option(
    "--settings",
    type=click.Path(exists=True, path_type=Path),
    help="The dispatchers' operator's file, as JSON.",
)
@click.option("--talk", is_flag=True, help="Dispatchers talk with each other (`peers`).")
def run(
    scenario: Path,
    seed: int,
    seconds: float | None,
    to: str | None,
    report: Path | None,
    program: str | None,
    least: float | None,
    settings: Path | None,
    talk: bool,
) -> None:
    """Play SCENARIO once, in real time.

    Exit 1 without a verdict where the machine was too slow for the load.

    Example: heronstall lab run scenarios/calm.cue --seed 3 --seconds 30 --json - --report out
    """
    made = read_scenario(scenario, seconds)
    command = tuple(shlex.split(program)) if program else None
    record = play(made, seed, report, command, to == "-", settings, talk)
    finish(record, to, report, least)


@lab.command("load")
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option(
    "--to", "targets", required=True, metavar="HOST:PORT,...", help="A dispatcher each, in the zones' order."
)
@click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True, help="Of the traffic.")
@click.option("--seconds", type=click.FloatRange(min=1, max=600), help="Of arrivals, instead of the file's.")
@click.option("--json", "to", metavar="FILE", help="Write the record there; - is standard output.")
def load(scenario: Path, targets: str, seed: int, seconds: float | None, to: str | None) -> None:
    """Send SCENARIO's traffic to dispatchers that run already, open loop; loopback addresses only.

    Latency counts from the moment a request was due.

    Example: heronstall lab load scenarios/calm.cue --to 127.0.0.1:8081 --seconds 10
    """
    from heronstall.lab.standalone import send

    made = read_scenario(scenario, seconds)
    addresses = [loopback_address(text) for text in targets.split(",")]
    if len(addresses) != made.dispatchers:
        raise BadInput(
            f"--to: {len(addresses)} addresses where {made.name} has {made.dispatchers} dispatchers"
        )
    record = asyncio.run(send(made, seed, addresses))
    write_json(record, to)
    if to != "-":
        counts = ", ".join(f"{n} {name}" for name, n in record["ends"].items())
        click.echo(f"{record['requests']} requests, {record['tries']} tries: {counts}")
        for name, row in record["latency"].items():
            click.echo(f"  {name}: " + ", ".join(f"{k} {v:.1f}" for k, v in row.items()))
    if record["verdict"] != "measured":
        raise Missed(f"no verdict, {record['verdict']}")

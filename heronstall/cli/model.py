"""`heronstall model`: a scenario in virtual time."""

from __future__ import annotations

from pathlib import Path

import click

from heronstall.cli.common import BadInput, judge, progress, read_scenario, tell, write_json


@click.group()
def model() -> None:
    """Play scenarios in virtual time: the live decisions and dispatcher, no sockets."""


@model.command("run")
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option("--seed", type=int, default=1, show_default=True, help="Everything random follows from it.")
@click.option(
    "--seconds", type=click.FloatRange(min=0.1, max=3600), help="Of arrivals, instead of the file's."
)
@click.option("--json", "to", metavar="FILE", help="Write the record there; - is standard output.")
@click.option("--report", type=click.Path(path_type=Path), help="Write report.html into this folder.")
@click.option("--least", type=float, help="Exit 1 where the score is lower.")
def run(
    scenario: Path, seed: int, seconds: float | None, to: str | None, report: Path | None, least: float | None
) -> None:
    """Play SCENARIO once.

    Example: heronstall model run scenarios/calm.cue --seed 3 --json -
    """
    from heronstall.model.run import Run

    made = read_scenario(scenario, seconds)
    if seed < 0:
        raise BadInput("--seed: a whole number of at least 0 is wanted")
    with progress(made.name, to == "-") as step:
        record = Run(made, seed).run(step)
    write_json(record, to)
    if to != "-":
        tell(record)
    if report is not None:
        from heronstall.report import write_page

        click.echo(f"  report: {write_page([record], report)}", err=to == "-")
    judge([record], least)

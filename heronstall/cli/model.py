"""`heronstall model`: a scenario in virtual time."""

from __future__ import annotations

from pathlib import Path

import click

from heronstall.cli.common import BadInput, finish, progress, read_scenario, write_json
from heronstall.cli.comparison import pairs_shown, tell_comparison
from heronstall.cli.validating import doubts, validate
from heronstall.records import load


@click.group()
def model() -> None:
    """Play scenarios in virtual time: the live decisions and dispatcher, no sockets."""


model.add_command(validate)


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
    finish(record, to, report, least)


@model.command("compare")
@click.argument("a")
@click.argument("b")
@click.option("--on", type=click.Path(path_type=Path), help="The scenario that both are played on.")
@click.option(
    "--half-width", type=click.FloatRange(min=1e-6), default=0.01, show_default=True, help="Of service."
)
@click.option(
    "--seconds", type=click.FloatRange(min=1), default=300.0, show_default=True, help="At the most."
)
@click.option(
    "--level", type=click.FloatRange(0.5, 0.999), default=0.95, show_default=True, help="Of all figures."
)
@click.option("--most", type=click.IntRange(min=2), default=2000, show_default=True, help="Pairs of runs.")
@click.option(
    "--seed", type=click.IntRange(min=0), default=1, show_default=True, help="The first of the pairs."
)
@click.option(
    "--cores", type=click.IntRange(min=0), default=0, help="Processes of each side; all cores by itself."
)
@click.option("--state", type=click.Path(path_type=Path), help="Keep runs there, and go on from those in it.")
@click.option("--json", "to", metavar="FILE", help="Write the record there; - is standard output.")
@click.option("--report", type=click.Path(path_type=Path), help="Write report.html into this folder.")
def compare(
    a: str,
    b: str,
    on: Path | None,
    half_width: float,
    seconds: float,
    level: float,
    most: int,
    seed: int,
    cores: int,
    state: Path | None,
    to: str | None,
    report: Path | None,
) -> None:
    """Play A and B on the same seeds, pair by pair, and say by how much B is better.

    Each is `this`, `rev:REVISION` of this repository, a scenario's file, or an experiment's.

    Example: heronstall model compare rev:HEAD~3 this --on scenarios/due-date.cue --json -
    """
    import tempfile

    from heronstall.model.choices import ChoiceError, choice
    from heronstall.model.compare import Comparison, State, Wanted

    record_of = None
    if on is not None:
        read_scenario(on)
        record_of = load(on, ("scenario",))[1]
    wanted = Wanted(half_width, seconds, level, most, seed, cores)
    with tempfile.TemporaryDirectory(prefix="heronstall-compare-") as made, pairs_shown(to == "-") as shown:
        try:
            sides = [choice(text, record_of, Path(made)) for text in (a, b)]
            record = Comparison(sides[0], sides[1], wanted, State(state), shown).run()
        except ChoiceError as error:
            raise BadInput(str(error)) from None
    record["doubts"] = doubts(on) if on is not None else ""
    write_json(record, to)
    if to != "-":
        tell_comparison(record)
    if report is not None:
        from heronstall.report import write_comparison

        click.echo(f"  report: {write_comparison(record, report)}", err=to == "-")

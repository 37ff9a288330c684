"""`heronstall demo`: the whole thing on this machine, in half a minute."""

from __future__ import annotations

from pathlib import Path

import click

from heronstall.cli.common import judge, read_scenario, tell

SCENARIO = Path(__file__).resolve().parents[2] / "scenarios" / "demo.cue"


@click.command()
@click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True)
@click.option(
    "--seconds", type=click.FloatRange(min=5, max=600), help="Of arrivals, instead of the scenario's."
)
@click.option(
    "--out", type=click.Path(path_type=Path), default=Path("demo"), show_default=True, help="For the report."
)
def demo(seed: int, seconds: float | None, out: Path) -> None:
    """Three dispatchers, nine servers in three zones, real clients; a silent server and a drain midway.

    Prints a live table, then the score and the audit, and leaves report.html.
    """
    from heronstall.cli.lab import play
    from heronstall.report import write_page

    made = read_scenario(SCENARIO, seconds)
    click.echo(
        f"{made.dispatchers} dispatchers, {made.servers} servers in {len(made.zones)} zones on loopback,"
        f" {made.rate:g} jobs a second for {made.length / 1e6:g} s: {made.about}"
    )
    record = play(made, seed, out, None, False)
    tell(record)
    click.echo(f"  report: {write_page([record], out)}")
    judge([record], None)

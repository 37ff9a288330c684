"""A comparison for people: progress while it runs, a table when it is done."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import click


@contextmanager
def pairs_shown(quiet: bool) -> Iterator[Callable[[int, float, float], None]]:
    """One line that tells how far it is, on a terminal; nothing in a pipe."""
    if quiet or not sys.stderr.isatty():
        yield lambda pairs, half, gone: None
        return

    def show(pairs: int, half: float, gone: float) -> None:
        click.echo(f"\r{pairs} pairs, service within {half:.4f} or so, {gone:.0f} s ", nl=False, err=True)

    yield show
    click.echo("", err=True)


def tell_comparison(record: dict[str, Any]) -> None:
    """The record of a comparison."""
    scenario = " and ".join(dict.fromkeys(record["scenario"]))
    click.echo(f"A {record['a']}, B {record['b']}, on {scenario}: {record['runs']} pairs of runs")
    click.echo(
        f"  {'figure':<18} {'A':>9} {'B':>9} {'B - A':>9}   {record['level']:.0%} bounds, all together"
    )
    for name, row in record["figures"].items():
        bounds = f"[{row['low']:+.4f}, {row['high']:+.4f}]"
        click.echo(
            f"  {name:<18} {row['a']:9.4f} {row['b']:9.4f} {row['difference']:+9.4f}   {bounds:<22}"
            f" {row['verdict']}"
        )
    service = record["figures"].get("service")
    if service is not None:
        if service["pairing"]:
            click.echo(f"  pairing saved a factor of {service['pairing']:.1f} in the variance of service")
        if service["groups"]:
            click.echo(f"  two groups of outcomes: {service['groups']}")
    for row in record["apart"][:3]:
        click.echo(f"  seed {row['seed']}: A {row['a']:.4f}, B {row['b']:.4f}")
    broken = record["rules_broken"]
    if broken["a"] or broken["b"]:
        click.echo(f"  rules broken: A {broken['a']}, B {broken['b']}")
    if record["doubts"]:
        click.echo(f"  beware: {record['doubts']}")
    click.echo(f"  verdict on service: B is {word(record)}")


def word(record: dict[str, Any]) -> str:
    """The verdict as the end of a sentence."""
    verdict, service = record["verdict"], record["figures"].get("service")
    if verdict in ("better", "worse") and service is not None:
        return f"{verdict} by {abs(service['difference']):.4f}"
    if verdict == "no difference" and service is not None:
        return f"no different by over {max(abs(service['low']), abs(service['high'])):.4f}"
    return "not told apart: not enough runs"

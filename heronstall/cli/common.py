"""What the verbs share: exit codes, reading scenarios, writing records, tables for people."""

from __future__ import annotations

import ipaddress
import json
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import click

from heronstall.fleet.spec import SECOND, Scenario, ScenarioError, scenario
from heronstall.records import RecordsError, load

FINE, MISSED, BAD_INPUT = 0, 1, 2  # exit codes: all well; a rule broke or a bound was missed; bad input
FIGURES = (
    ("score", "service less its prices"),
    ("service", "worth answered in time, as the goal weighs it"),
    ("whole", "of the whole run"),
    ("worst_window", "worst 10 s"),
    ("worst_class", "worst class"),
    ("worst_tenant", "worst tenant, within its share"),
    ("waste", "work that served no answer"),
    ("crossings", "between zones, by first try"),
    ("probes", "by first try"),
)


class BadInput(click.ClickException):
    """What was given cannot be used; nothing was changed."""

    exit_code = BAD_INPUT


class Missed(click.ClickException):
    """A rule broke, a bound was missed, or there is no verdict."""

    exit_code = MISSED


def read_scenario(path: Path, seconds: float | None = None) -> Scenario:
    """A scenario file, checked, perhaps of another length. Raises BadInput."""
    try:
        made = scenario(load(path, ("scenario",))[1])
    except (RecordsError, ScenarioError) as error:
        place = f"{path}: " if isinstance(error, ScenarioError) else ""
        raise BadInput(f"{place}{error}") from None
    return made if seconds is None else replace(made, length=round(seconds * SECOND))


def loopback_address(text: str) -> tuple[str, int]:
    """HOST:PORT of option `--to`; load tools send nowhere but to this machine. Raises BadInput."""
    host, _, port = text.strip().rpartition(":")
    try:
        if not ipaddress.ip_address(host).is_loopback:
            raise BadInput(f"--to: {text!r} is not on loopback; the load tool sends nowhere else")
        return host, int(port)
    except ValueError:
        raise BadInput(f"--to: {text!r} is not host:port with an address") from None


def write_json(record: Any, to: str | None) -> None:
    """Write a record to a file, or to standard output for `-`."""
    if to is None:
        return
    text = json.dumps(record, indent=1) + "\n"
    if to == "-":
        sys.stdout.write(text)
        return
    try:
        Path(to).write_text(text, encoding="utf-8")
    except OSError as error:
        raise BadInput(f"--json: cannot write {to}: {error.strerror}") from None


@contextmanager
def progress(title: str, quiet: bool) -> Iterator[Callable[[int, int], None]]:
    """A bar on a terminal, nothing in a pipe."""
    if quiet or not sys.stderr.isatty():
        yield lambda done, of: None
        return
    from rich.console import Console
    from rich.progress import Progress

    with Progress(console=Console(stderr=True), transient=True) as bar:
        task = bar.add_task(title, total=1)
        yield lambda done, of: bar.update(task, completed=done, total=of)


def tell(record: dict[str, Any]) -> None:
    """A run's record for people, on standard error where standard output holds JSON."""
    size, timing = record["size"], record["timing"]
    click.echo(
        f"{record['kind']} of {record['scenario']}, seed {record['seed']}: {size['dispatchers']} dispatchers,"
        f" {size['servers']} servers, {record['requests']} requests at {record['load']:.0%} load,"
        f" {timing['simulated_s']:.1f} s played in {timing['wall_s']:.1f} s"
    )
    for name, about in FIGURES:
        click.echo(f"  {name:<13} {record[name]:7.4f}  {about}")
    for name, row in record["latency"].items():
        told = ", ".join(f"{key[:-3]} {value:.0f} ms" for key, value in row.items() if key.endswith("_ms"))
        click.echo(f"  {name}: {record['classes'][name]:.4f} of its worth; {told}")
    click.echo(f"  served {record['served']}, refused {record['refused']}, failed {record['failed']}")
    breaches = record["rules_broken"]
    for breach in breaches[:10]:
        click.echo(
            f"  broken {breach['rule']} at {breach['at_s']:.3f} s, dispatcher {breach['dispatcher']}:"
            f" {breach['text']}"
        )
        for line in breach["evidence"]:
            click.echo(f"      {line}")
    click.echo(f"  audit: {len(breaches)} rules broken" if breaches else "  audit: every rule kept")
    if record["verdict"] != "measured":
        click.echo(f"  verdict {record['verdict']}")


def judge(records: list[dict[str, Any]], least: float | None) -> None:
    """Raise Missed where a rule broke, a run gave no verdict, or a score lies under `least`."""
    for record in records:
        where = f"{record['scenario']}, seed {record['seed']}"
        if record["rules_broken"]:
            raise Missed(f"{where}: {len(record['rules_broken'])} rules broken")
        if record["verdict"] != "measured":
            raise Missed(f"{where}: no verdict, {record['verdict']}")
        if least is not None and record["score"] < least:
            raise Missed(f"{where}: score {record['score']:.4f} under {least}")


def finish(record: dict[str, Any], to: str | None, report: Path | None, least: float | None) -> None:
    """What `model run` and `lab run` do with a run's record. Raises Missed as `judge` does."""
    write_json(record, to)
    if to != "-":
        tell(record)
    if report is not None:
        from heronstall.report import write_page

        click.echo(f"  report: {write_page([record], report)}", err=to == "-")
    judge([record], least)

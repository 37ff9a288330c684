"""`heronstall settings`: check and show operators' files and scenarios."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click

from heronstall.cli.common import BadInput
from heronstall.fleet.spec import ScenarioError, scenario
from heronstall.records import RecordsError, load


@click.group()
def settings() -> None:
    """Check and show the files that operators write: settings and scenarios."""


def _checked(path: Path) -> tuple[str, dict[str, Any]]:
    kind, record = load(path)
    if kind == "scenario":
        scenario(record)
    return kind, record


@settings.command("check")
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="The problems as JSON.")
def check(files: tuple[Path, ...], as_json: bool) -> None:
    """Check FILES against their schemas: every fault with its line, key and what is wanted.

    Example: heronstall settings check deploy/operator.cue scenarios/*.cue
    """
    problems: list[dict[str, Any]] = []
    for path in files:
        try:
            kind, _ = _checked(path)
        except RecordsError as error:
            for p in error.problems:
                problems.append(
                    {
                        "file": p.position.file,
                        "line": p.position.line,
                        "column": p.position.column,
                        "key": p.path,
                        "text": p.text,
                    }
                )
                if not as_json:
                    click.echo(str(p), err=True)
        except ScenarioError as error:
            key, _, text = str(error).partition(": ")
            problems.append({"file": str(path), "line": 1, "column": 1, "key": key, "text": text})
            if not as_json:
                click.echo(f"{path}: {error}", err=True)
        else:
            if not as_json:
                click.echo(f"{path}: fine ({kind})")
    if as_json:
        click.echo(json.dumps(problems, indent=1))
    if problems:
        raise BadInput(f"{len(problems)} problems in {len(files)} files")


@settings.command("show")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="As JSON; the form that the program itself reads.")
def show(file: Path, as_json: bool) -> None:
    """Show what FILE comes to, with every default.

    Example: heronstall settings show --json deploy/operator.cue > deploy/operator.json
    """
    try:
        _, record = _checked(file)
    except (RecordsError, ScenarioError) as error:
        raise BadInput(str(error)) from None
    if as_json:
        click.echo(json.dumps(record, indent=1))
    else:
        _print(record, "")


def _print(value: Any, path: str) -> None:
    if isinstance(value, dict):
        for name, inner in value.items():
            _print(inner, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and any(isinstance(x, dict) for x in value):
        for n, inner in enumerate(value):
            _print(inner, f"{path}[{n}]")
    else:
        click.echo(f"{path}: {json.dumps(value)}")

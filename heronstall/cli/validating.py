"""`heronstall model validate`: the model beside the lab, and what is remembered of it."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path
from typing import Any

import click

from heronstall.cli.common import BadInput, Missed, read_scenario, write_json
from heronstall.fleet.spec import Scenario, ScenarioError


def note_path(scenario: Path) -> Path:
    """Where a scenario's last validation is kept, beside it."""
    return scenario.with_name(f".{scenario.stem}.validation.json")


def doubts(scenario: Path) -> str:
    """What a comparison on this scenario must say of the model; empty where it agreed or was never tried."""
    try:
        told = json.loads(note_path(scenario).read_text(encoding="utf-8"))
        if told["agrees"]:
            return ""
        return f"the model disagreed with the lab on this scenario, most in {told['differs_most']}"
    except (OSError, ValueError, KeyError, TypeError):
        return ""


def signals_of_model(scenario: Scenario, seed: int) -> tuple[Any, dict[str, Any]]:
    """The signals of a run of the model, and its record."""
    from heronstall.model.run import Run
    from heronstall.model.signals import Listener, Signals

    run, all_ = Run(scenario, seed), Signals()
    listeners = [Listener() for _ in run.nodes]
    for node, listener in zip(run.nodes, listeners, strict=True):
        node.observer = listener
    record = run.run()
    for listener in listeners:
        all_.join(listener.signals)
    return all_, record


def signals_of_lab(scenario: Scenario, seed: int) -> tuple[Any, dict[str, Any]]:
    """The signals of a run on loopback, from the dispatchers' own traces, and its record."""
    from heronstall.lab.run import play
    from heronstall.model.signals import Listener, Signals
    from heronstall.trace.reader import TraceReader

    all_ = Signals()
    with tempfile.TemporaryDirectory(prefix="heronstall-validate-") as made:
        folder = Path(made)
        settings = folder / "operator.json"
        settings.write_text(json.dumps({"trace": {"dir": str(folder / "traces")}}), encoding="utf-8")
        record = play(scenario, seed, folder / "logs", settings=settings)
        for path in sorted((folder / "traces").glob("*.hst")):
            listener = Listener()
            with TraceReader(path) as reader:
                listener.read(reader.items())
            all_.join(listener.signals)
    return all_, record


@click.command("validate")
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option(
    "--as", "as_", type=click.Path(path_type=Path), help="Model this file instead: a fitted one, say."
)
@click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True, help="Of both.")
@click.option("--seconds", type=click.FloatRange(min=1, max=600), help="Of arrivals, not the file's.")
@click.option("--json", "to", metavar="FILE", help="Write the record there; - is standard output.")
def validate(scenario: Path, as_: Path | None, seed: int, seconds: float | None, to: str | None) -> None:
    """Play SCENARIO in the model and on loopback, and say where they disagree.

    Exit 1 where they do; later comparisons on SCENARIO say so too.

    Example: heronstall model validate scenarios/silent.cue
    """
    from heronstall.lab.nodes import LabError
    from heronstall.model.validate import agreement

    real_scenario = read_scenario(scenario, seconds)
    model_scenario = read_scenario(as_, seconds) if as_ is not None else real_scenario
    model, model_record = signals_of_model(model_scenario, seed)
    try:
        real, record = signals_of_lab(real_scenario, seed)
    except ScenarioError as error:
        raise BadInput(str(error)) from None
    except LabError as error:
        raise Missed(str(error)) from None
    told = agreement(model, real, (model_record["service"], record["service"]))
    told = {
        "kind": "validation",
        "scenario": real_scenario.name,
        "seed": seed,
        **told,
        "verdict": record["verdict"],
    }
    write_json(told, to)
    if to != "-":
        click.echo(f"{real_scenario.name}, seed {seed}: model and lab")
        for name, row in told["figures"].items():
            said = "" if row["agrees"] else "  disagrees"
            click.echo(
                f"  {name:<14} {row['model']:10.4f} {row['real']:10.4f}"
                f"  {row['effect']:6.2f} of too far{said}"
            )
    if record["verdict"] != "measured":
        raise Missed(f"no verdict: {record['verdict']}")
    note_path(scenario).write_text(json.dumps(told) + "\n", encoding="utf-8")
    if not told["agrees"]:
        raise Missed(f"the model disagrees with the lab, most in {told['differs_most']}")

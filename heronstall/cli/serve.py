"""`heronstall serve`: the real dispatcher."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click


@click.command()
@click.option(
    "--config", type=click.Path(path_type=Path), help="The platform's JSON; NODE_CONFIG where not given."
)
@click.option(
    "--settings", type=click.Path(path_type=Path), help="The operator's file (.cue, or .json of it)."
)
def serve(config: Path | None, settings: Path | None) -> None:
    """Run one dispatcher in the foreground; the same program as `python -m heronstall`.

    Example: heronstall serve --config /run/balancer/config.json
    """
    from heronstall.__main__ import main as run

    if config is not None:
        os.environ["NODE_CONFIG"] = str(config)
    if settings is not None:
        os.environ["HERONSTALL_SETTINGS"] = str(settings)
    sys.exit(run())

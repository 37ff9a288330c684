"""The root of the command line."""

from __future__ import annotations

import click

from heronstall.cli.lazy import LazyGroup

COMMANDS = ("serve", "demo", "model", "lab", "keep", "rollout", "settings", "ctl", "tier")


@click.group(
    cls=LazyGroup,
    modules={name: f"heronstall.cli.{name}" for name in COMMANDS},
    context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110},
)
@click.version_option(package_name="heronstall", message="%(version)s")
def main() -> None:
    """A job dispatcher, and a fleet of its own to try it on.

    Exit codes: 0 all well, 1 a rule broke or a bound was missed, 2 bad input.
    """

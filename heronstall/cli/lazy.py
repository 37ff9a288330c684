"""A command group that imports the module of a command when the command is used."""

from __future__ import annotations

from collections.abc import Mapping
from importlib import import_module
from typing import Any

import click


class LazyGroup(click.Group):
    """A group whose commands are imported on use.

    A process that runs one command, such as a supervisor that is restarted, does not wait for the imports
    of the others. `modules` maps the name of each command to its module, in which the command is the
    attribute of that name.
    """

    def __init__(self, *args: Any, modules: Mapping[str, str], **options: Any) -> None:
        super().__init__(*args, **options)
        self._modules = modules

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands, in order."""
        return sorted(self._modules)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Returns a command, or None if there is none of this name."""
        module = self._modules.get(cmd_name)
        if module is None:
            return None
        command: click.Command = getattr(import_module(module), cmd_name)
        return command

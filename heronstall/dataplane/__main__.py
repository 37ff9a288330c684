"""The data plane program, which runs one dispatcher of the tier."""

from __future__ import annotations

import heronstall.early_signals  # first: the imports that follow take time
import heronstall.without_tls  # noqa: F401  (before any import of ssl)

# isort: split
import asyncio

import click

from heronstall.config import NodeSettings
from heronstall.tier_process import ending, settings_option, settings_or_exit, tell_started


async def _run(settings: NodeSettings) -> None:
    from heronstall.dataplane.node import DispatcherNode

    ended = ending()
    node = DispatcherNode(settings)
    await node.start()
    tell_started("dispatcher", heronstall.early_signals.LOAD_STARTED_AT)
    await ended.wait()
    await node.stop()


@click.command()
@settings_option
def main(path: str) -> None:
    """Run a dispatcher of the tier."""
    settings = settings_or_exit(path, listens=("front", "readiness"))
    asyncio.run(_run(settings))


if __name__ == "__main__":
    main()

"""The data plane program, which runs one dispatcher of the tier."""

from __future__ import annotations

import heronstall.early_signals  # first: the imports that follow take time
import heronstall.without_tls  # noqa: F401  (before any import of ssl)

# isort: split
import asyncio

import click

from heronstall.allocator import return_large_buffers
from heronstall.config import NodeSettings
from heronstall.tier_process import log_started, settings_option, settings_or_exit, termination_event


async def _run(settings: NodeSettings) -> None:
    from heronstall.dataplane.node import DispatcherNode

    ended = termination_event()
    node = DispatcherNode(settings)
    await node.start()
    log_started("dispatcher", heronstall.early_signals.LOAD_STARTED_AT)
    await ended.wait()
    await node.stop()


@click.command()
@settings_option
def main(path: str) -> None:
    """Run a dispatcher of the tier."""
    settings = settings_or_exit(path, required_listeners=("front", "readiness"))
    return_large_buffers()
    asyncio.run(_run(settings))


if __name__ == "__main__":
    main()

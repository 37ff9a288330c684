"""The data plane program: one dispatcher of the tier."""

from __future__ import annotations

import asyncio
import os
import signal
import sys

import click

from heronstall.config import ConfigError, NodeSettings, node_settings
from heronstall.tier_logs import set_up_logs


async def _run(settings: NodeSettings) -> None:
    from heronstall.dataplane.node import EdgeNode

    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, ended.set)
    loop.add_signal_handler(signal.SIGINT, ended.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    node = EdgeNode(settings)
    await node.start()
    await ended.wait()
    await node.stop()


@click.command()
@click.option(
    "--settings", "path", default=lambda: os.environ.get("HERONSTALL_BOOT", ""), help="Settings file."
)
def main(path: str) -> None:
    """Run a dispatcher of the tier."""
    try:
        settings = node_settings(path)
    except ConfigError as error:
        click.echo(f"settings: {error}", err=True)
        sys.exit(2)
    for name in ("front", "readiness"):
        if name not in settings.listen:
            click.echo(f"settings: listen.{name}: missing", err=True)
            sys.exit(2)
    set_up_logs(settings.name)
    asyncio.run(_run(settings))


if __name__ == "__main__":
    main()

"""The control plane program. The role follows from the settings: a core node, or a storage node."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from typing import Any

import click

from heronstall.config import ConfigError, NodeSettings, node_settings
from heronstall.tier_logs import set_up_logs


async def _core(settings: NodeSettings, ended: asyncio.Event) -> None:
    from aiohttp import web

    from heronstall.controlplane.api import CONFIG_BYTES, ControlApi
    from heronstall.controlplane.core import Core

    core = Core(settings)
    await core.start()
    api = ControlApi(core)
    loop = asyncio.get_running_loop()

    def request(message: Any, payload: Any, protocol: Any, writer: Any, task: Any) -> web.BaseRequest:
        return web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=CONFIG_BYTES)

    server = web.Server(
        api.handle, request_factory=request, access_log=None, max_line_size=65536, max_field_size=65536
    )
    runner = web.ServerRunner(server)
    await runner.setup()
    host, _, port = settings.listen["control"].rpartition(":")
    await web.TCPSite(runner, host, int(port), reuse_address=True, shutdown_timeout=0.1).start()
    await ended.wait()
    await core.stop()
    await runner.cleanup()


async def _storage(settings: NodeSettings, ended: asyncio.Event) -> None:
    from heronstall.controlplane.store import Store

    store = Store(settings)
    await store.start()
    await ended.wait()
    await store.stop()


async def _run(settings: NodeSettings) -> None:
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, ended.set)
    loop.add_signal_handler(signal.SIGINT, ended.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    await (_core if "control" in settings.listen else _storage)(settings, ended)


@click.command()
@click.option(
    "--settings", "path", default=lambda: os.environ.get("HERONSTALL_BOOT", ""), help="Settings file."
)
def main(path: str) -> None:
    """Run a core or a storage node of the tier."""
    try:
        settings = node_settings(path)
    except ConfigError as error:
        click.echo(f"settings: {error}", err=True)
        sys.exit(2)
    if settings.data_dir is None:
        click.echo("settings: data_dir: missing; this role needs a disk", err=True)
        sys.exit(2)
    set_up_logs(settings.name)
    asyncio.run(_run(settings))


if __name__ == "__main__":
    main()

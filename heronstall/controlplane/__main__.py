"""The control plane program. The role follows from the settings: a core node, or a storage node."""

from __future__ import annotations

import heronstall.without_tls  # noqa: F401  (before what would import ssl)

# isort: split
import asyncio
from typing import Any

import click

from heronstall.config import NodeSettings
from heronstall.tier_process import ending, settings_option, settings_or_exit


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
    ended = ending()
    await (_core if "control" in settings.listen else _storage)(settings, ended)


@click.command()
@settings_option
def main(path: str) -> None:
    """Run a core or a storage node of the tier."""
    settings = settings_or_exit(path, disk=True)
    asyncio.run(_run(settings))


if __name__ == "__main__":
    main()

"""The control plane program. The role follows from the settings: a core node, or a storage node."""

from __future__ import annotations

import heronstall.early_signals  # before what takes time
import heronstall.without_tls  # noqa: F401  (before what would import ssl)

# isort: split
import asyncio
import time

import click

from heronstall.config import NodeSettings
from heronstall.tier_process import ending, settings_option, settings_or_exit, tell_started

LAST_MOMENT = 1.0  # seconds of the grace time that are kept for handing the leaderships over


async def _core(settings: NodeSettings, ended: asyncio.Event) -> None:
    from heronstall.controlplane.api import CONFIG_BYTES, ControlApi
    from heronstall.controlplane.core import Core
    from heronstall.transport.http_server import HttpServer

    core = Core(settings)
    await core.start()
    api = HttpServer(ControlApi(core).handle, lambda: CONFIG_BYTES)
    await api.listen(settings.listen["control"])
    tell_started("control", heronstall.early_signals.LOAD_STARTED_AT)
    await ended.wait()
    await api.finish(time.monotonic() + settings.bounds.grace - LAST_MOMENT)
    await core.stop()


async def _storage(settings: NodeSettings, ended: asyncio.Event) -> None:
    from heronstall.controlplane.store import Store

    store = Store(settings)
    await store.start()
    tell_started("storage", heronstall.early_signals.LOAD_STARTED_AT)
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

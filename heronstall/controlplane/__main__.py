"""The control plane program. The settings decide whether it runs a core node or a storage node."""

from __future__ import annotations

import heronstall.early_signals  # before the slow imports
import heronstall.without_tls  # noqa: F401  (before modules that would import ssl)

# isort: split
import asyncio
import time

import click

from heronstall.allocator import return_large_buffers
from heronstall.config import NodeSettings
from heronstall.tier_process import log_started, settings_option, settings_or_exit, termination_event

HANDOVER_RESERVE = 1.0  # seconds of the grace time reserved for handing over leadership


async def _run_core_node(settings: NodeSettings, terminated: asyncio.Event) -> None:
    from heronstall.controlplane.api import REQUEST_LIMITS, ControlApi, body_limit
    from heronstall.controlplane.core import Core
    from heronstall.transport.connection_limits import server_limits
    from heronstall.transport.http_server import HttpServer

    core = Core(settings)
    await core.start()
    api = HttpServer(
        ControlApi(core).handle,
        server_limits(settings.memory_mb, settings.max_fds),
        lambda: REQUEST_LIMITS,
        body_limit,
    )
    await api.listen(settings.listen["control"])
    log_started("control", heronstall.early_signals.LOAD_STARTED_AT)
    await terminated.wait()
    await api.drain(time.monotonic() + settings.bounds.grace - HANDOVER_RESERVE)
    await core.stop()


async def _run_storage_node(settings: NodeSettings, terminated: asyncio.Event) -> None:
    from heronstall.controlplane.store import Store

    store = Store(settings)
    await store.start()
    log_started("storage", heronstall.early_signals.LOAD_STARTED_AT)
    await terminated.wait()
    await store.stop()


async def _run(settings: NodeSettings) -> None:
    terminated = termination_event()
    await (_run_core_node if "control" in settings.listen else _run_storage_node)(settings, terminated)


@click.command()
@settings_option
def main(path: str) -> None:
    """Run a core or a storage node of the tier."""
    settings = settings_or_exit(path, needs_disk=True)
    return_large_buffers()
    asyncio.run(_run(settings))


if __name__ == "__main__":
    main()

"""Bridges to revisions of the host from before the model: what they lack is done without, or by its old name.

Older revisions are played for comparison alone (`choices.overlay`); nothing else needs this.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

from heronstall import interface as i
from heronstall.config import Config
from heronstall.net import backend, dispatcher
from heronstall.net.server_table import ServerTable

OFF_MARGIN = getattr(backend, "OFF_MARGIN", 50_000)
PROBE_TIME = getattr(backend, "PROBE_TIME", 500_000)
PROBES_AT_ONCE = getattr(backend, "PROBES_AT_ONCE", 64)
SWEEP = getattr(backend, "SWEEP", 250_000)
# Whether the host learns how long idle connections live; before it did, it had none of these.
LEARNS_IDLE = hasattr(backend, "KEEP_AGAIN")
KEEP_AGAIN = getattr(backend, "KEEP_AGAIN", 0)
SHORTEST_KEEP = getattr(backend, "SHORTEST_KEEP", 0)
STALE_TIME = getattr(backend, "STALE_TIME", 0)


def make_dispatcher(
    config: Config, loop: Any, decisions: Callable[[i.Settings, int], Any]
) -> dispatcher.Dispatcher:
    """A dispatcher round these decisions."""
    made = decisions(config.settings, config.seed)
    if hasattr(dispatcher, "Decisions"):
        return dispatcher.Dispatcher(config, loop, made)
    host = dispatcher.Dispatcher(config, loop)
    host._balancer = made
    return host


def take_list(table: ServerTable, message: Any, persisted: bool) -> None:
    """Give a server table a list."""
    take = getattr(table, "take", None) or cast(Any, table)._take
    take(message, persisted)


def read_report(config: Config, told: Any) -> i.Report | None:
    """A load report as this revision reads it."""
    return backend.read_report(config.report_slots, told)

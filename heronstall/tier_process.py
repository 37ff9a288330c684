"""What the tier's programs share as processes: settings at the start, signals, logs."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
import time
from collections.abc import Sequence
from typing import NoReturn

import click

from heronstall.config import ConfigError, NodeSettings, node_settings

# structlog loads rich for its console, which is not used here, where it finds it: a third of a restart's time
_rich = sys.modules.get("rich")
sys.modules["rich"] = None  # type: ignore[assignment]
import structlog  # noqa: E402

if _rich is None:
    del sys.modules["rich"]
else:
    sys.modules["rich"] = _rich


def set_up_logs(node: str) -> None:
    """Send events of level info and above to standard error, with the node's name."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(node=node)


settings_option = click.option(
    "--settings", "path", default=lambda: os.environ.get("HERONSTALL_BOOT", ""), help="Settings file."
)


def settings_or_exit(path: str, listens: Sequence[str] = (), disk: bool = False) -> NodeSettings:
    """Read a process's settings; what is wrong or missing ends it with status 2 and a line that names it."""
    try:
        settings = node_settings(path)
    except ConfigError as error:
        _refuse(str(error))
    for name in listens:
        if name not in settings.listen:
            _refuse(f"listen.{name}: missing")
    if disk and settings.data_dir is None:
        _refuse("data_dir: missing; this role needs a disk")
    set_up_logs(settings.name)
    return settings


def _refuse(why: str) -> NoReturn:
    click.echo(f"settings: {why}", err=True)
    sys.exit(2)


def tell_started(role: str, began: float) -> None:
    """Log that the process listens, and how many seconds after it began to load at a steady time."""
    structlog.get_logger().info("started", role=role, seconds=round(time.monotonic() - began, 3))


def ending() -> asyncio.Event:
    """An event that SIGTERM or an interrupt sets."""
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, ended.set)
    loop.add_signal_handler(signal.SIGINT, ended.set)
    return ended

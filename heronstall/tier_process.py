"""Process setup shared by the tier's programs: settings, signals and logging."""

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

# structlog imports rich for its console renderer if it is installed. The renderer is not used here, and the
# import takes a third of a process's restart time.
_rich = sys.modules.get("rich")
sys.modules["rich"] = None  # type: ignore[assignment]
import structlog  # noqa: E402

if _rich is None:
    del sys.modules["rich"]
else:
    sys.modules["rich"] = _rich


def configure_logging(node: str) -> None:
    """Logs events of level info and above to standard error, with the node's name."""
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


def settings_or_exit(
    path: str, required_listeners: Sequence[str] = (), needs_disk: bool = False
) -> NodeSettings:
    """Reads the settings of a process and configures its logging.

    Invalid or missing settings end the process with status 2 and a message that names the setting.
    """
    try:
        settings = node_settings(path)
    except ConfigError as error:
        _exit_with_error(str(error))
    for name in required_listeners:
        if name not in settings.listen:
            _exit_with_error(f"listen.{name}: missing")
    if needs_disk and settings.data_dir is None:
        _exit_with_error("data_dir: missing; this role needs a disk")
    configure_logging(settings.name)
    return settings


def _exit_with_error(message: str) -> NoReturn:
    click.echo(f"settings: {message}", err=True)
    sys.exit(2)


def log_started(role: str, load_began_at: float) -> None:
    """Logs that the process is listening, and the seconds since it began to load (steady time)."""
    structlog.get_logger().info("started", role=role, seconds=round(time.monotonic() - load_began_at, 3))


def termination_event() -> asyncio.Event:
    """Returns an event that SIGTERM and SIGINT set."""
    terminated = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, terminated.set)
    loop.add_signal_handler(signal.SIGINT, terminated.set)
    return terminated

"""Logs of the tier's programs: one line an event, key=value, on standard error."""

from __future__ import annotations

import logging
import sys

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

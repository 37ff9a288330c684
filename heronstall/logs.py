"""Structured log formatters.

They need the libraries of the extra `logs` and are imported only when one of them is configured.
"""

from __future__ import annotations

import logging
from typing import Any

from logfmter import Logfmter
from pythonjsonlogger.json import JsonFormatter


def _record_fields(record: logging.LogRecord) -> dict[str, Any]:
    """Returns a record's level, part, event name and fields; without an event, its message as `msg`."""
    entry: dict[str, Any] = {"level": record.levelname.lower(), "part": record.name}
    event = getattr(record, "event", None)
    if event is None:
        return {**entry, "msg": record.getMessage()}
    return {**entry, "event": event, **getattr(record, "fields", {})}


class LogfmtFormatter(Logfmter):
    """Formats a record as one line of key=value pairs."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line, including a traceback if there is one."""
        entry = {"at": f"{record.created:.6f}", **_record_fields(record)}
        if record.exc_info:
            entry["traceback"] = self.formatException(record.exc_info)
        return str(self.format_params(entry))


class EventJsonFormatter(JsonFormatter):
    """Formats a record as one JSON object per line."""

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        """Returns the object as `add_fields` built it."""
        return log_data

    def add_fields(
        self, log_data: dict[str, Any], record: logging.LogRecord, message_dict: dict[str, Any]
    ) -> None:
        """Fills the JSON object of one record."""
        log_data["at"] = round(record.created, 6)
        log_data.update(_record_fields(record))
        if record.exc_info:
            log_data["traceback"] = self.formatException(record.exc_info)


def create_formatter(name: str) -> logging.Formatter:
    """Returns the formatter for the log format `logfmt` or `json`."""
    return LogfmtFormatter() if name == "logfmt" else EventJsonFormatter()

"""Logs for machines, on libraries of the extra `logs`; imported only where the operator asks for them."""

from __future__ import annotations

import logging
from typing import Any

from logfmter import Logfmter
from pythonjsonlogger.json import JsonFormatter


def _row(record: logging.LogRecord) -> dict[str, Any]:
    """What a line says: level, part, event and its fields; a line that is no event has its text as `msg`."""
    row: dict[str, Any] = {"level": record.levelname.lower(), "part": record.name}
    event = getattr(record, "event", None)
    if event is None:
        return {**row, "msg": record.getMessage()}
    return {**row, "event": event, **getattr(record, "fields", {})}


class LogfmtFormatter(Logfmter):
    """One line of key=value."""

    def format(self, record: logging.LogRecord) -> str:
        """The line, a traceback included."""
        row = {"at": f"{record.created:.6f}", **_row(record)}
        if record.exc_info:
            row["traceback"] = self.formatException(record.exc_info)
        return str(self.format_params(row))


class EventJsonFormatter(JsonFormatter):
    """One JSON object a line."""

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        """As made by `add_fields`."""
        return log_data

    def add_fields(
        self, log_data: dict[str, Any], record: logging.LogRecord, message_dict: dict[str, Any]
    ) -> None:
        """Fill in one line's object."""
        log_data["at"] = round(record.created, 6)
        log_data.update(_row(record))
        if record.exc_info:
            log_data["traceback"] = self.formatException(record.exc_info)


def formatter(name: str) -> logging.Formatter:
    """The formatter of `logfmt` or `json`."""
    return LogfmtFormatter() if name == "logfmt" else EventJsonFormatter()

"""The codec between the simulator's text protocol and `heronstall.interface`."""

from __future__ import annotations

import base64
import binascii
import math
from collections.abc import Callable, Sequence
from typing import Any, cast

from heronstall import interface as i
from heronstall.config import ConfigError, parse_json_object, parse_settings, report_fields


class WireError(ValueError):
    """Malformed input; the message is one sentence that says what is wrong."""


STATUS: dict[str, i.Status] = {
    "GOOD": "ok",
    "BAD": "error",
    "FULL": "rejected",
    "LATE": "timeout",
    "NOCONN": "no_connection",
    "RST": "reset",
    "CXL": "cancelled",
    "NOP": "not_sent",
}
SCOPE = {"Partial": "changes", "Complete": "complete", "Persisted": "persisted", "Error": "error"}


def parse_integer(text: str) -> int:
    """Parses an integer."""
    try:
        return int(text)
    except ValueError:
        raise WireError(f"{text!r} is not an integer") from None


def parse_optional_integer(text: str) -> int:
    """Parses an integer; returns 0 for an absent one."""
    return 0 if text == "-" else parse_integer(text)


def parse_number(text: str) -> float:
    """Parses a finite number; returns 0 for an absent one."""
    if text == "-":
        return 0.0
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"{text!r} is not a number") from None
    if not math.isfinite(value):
        raise WireError(f"{text!r} is not a finite number")
    return value


def parse_flag(text: str) -> bool:
    """Parses a boolean; returns False for an absent one."""
    if text in ("1", "0", "-"):
        return text == "1"
    raise WireError(f"{text!r} is not 1 or 0")


def parse_keyword(table: dict[str, Any], text: str, kind: str) -> Any:
    """Looks up one of a fixed set of keywords."""
    try:
        return table[text]
    except KeyError:
        raise WireError(f"{text!r} is not a known {kind}") from None


class Codec:
    """Decodes one instance's settings and events; the settings name the fields of its load reports."""

    def __init__(self, config: dict[str, Any]) -> None:
        try:
            self._field_slots = [slot for _, slot in report_fields(config)]
            self.settings = parse_settings(config)
        except ConfigError as error:
            raise WireError(f"settings: {error}") from None

    def decode_report(self, text: str) -> i.Report | None:
        """Decodes a load report; returns None for an absent one or one with an implausible value."""
        if text == "-" or not text:
            return None
        values: list[float | None] = [None] * 5
        for slot, value in zip(self._field_slots, text.split(","), strict=False):
            if slot < 0 or value == "-":
                continue
            try:
                parsed = float(value)
            except ValueError:
                raise WireError(f"load report: {value!r} is not a number") from None
            if not 0.0 <= parsed < 1e12:
                return None
            values[slot] = parsed
        return None if values.count(None) == 5 else i.Report(*values)

    def decode_request(self, fields: Sequence[str]) -> i.Event:
        """Decodes REQ."""
        return i.Arrival(
            parse_integer(fields[2]),
            parse_integer(fields[3]),
            parse_integer(fields[6]),
            parse_optional_integer(fields[4]),
            None if fields[5] == "-" else fields[5],
            parse_optional_integer(fields[7]) or None,
            parse_number(fields[8]) or 1.0,
            parse_number(fields[9]),
            parse_flag(fields[10]),
        )

    def decode_outcome(self, fields: Sequence[str]) -> i.Event:
        """Decodes SETTLED."""
        return i.Outcome(
            parse_integer(fields[2]),
            parse_integer(fields[3]),
            parse_integer(fields[8]),
            parse_flag(fields[4]),
            parse_keyword(STATUS, fields[6], "outcome"),
            parse_optional_integer(fields[5]),
            self.decode_report(fields[9]),
        )

    def decode_note(self, fields: Sequence[str]) -> i.Event | None:
        """Decodes HEARTBEAT; returns None for kinds other than start (1) and progress (2)."""
        kind = parse_integer(fields[5])
        if kind not in (1, 2):
            return None
        share = parse_number(fields[6]) if kind == 2 else None
        return i.JobNote(parse_integer(fields[2]), parse_integer(fields[4]), parse_integer(fields[3]), share)

    def decode_stream_started(self, fields: Sequence[str]) -> i.Event:
        """Decodes ACK_FIRST."""
        return i.StreamStarted(parse_integer(fields[2]), parse_integer(fields[3]), parse_integer(fields[4]))

    def decode_client_gone(self, fields: Sequence[str]) -> i.Event:
        """Decodes CLIENT_GONE."""
        return i.ClientGone(parse_integer(fields[2]))

    def decode_timer(self, fields: Sequence[str]) -> i.Event:
        """Decodes TIMER."""
        return i.Timer(fields[2])

    def decode_probe_result(self, fields: Sequence[str]) -> i.Event:
        """Decodes PROBE_DONE."""
        status = parse_keyword(STATUS, fields[3], "outcome")
        return i.ProbeResult(
            parse_integer(fields[2]),
            status == "ok",
            parse_optional_integer(fields[4]),
            self.decode_report(fields[5]),
        )

    def decode_peer_message(self, fields: Sequence[str]) -> i.Event:
        """Decodes INBOX."""
        try:
            data = b"" if fields[3] == "-" else base64.b64decode(fields[3], validate=True)
        except binascii.Error:
            raise WireError("a peer message is not valid base64") from None
        return i.PeerMessage(parse_integer(fields[2]), data)


Reader = Callable[[Codec, Sequence[str]], "i.Event | None"]
READERS: dict[str, tuple[int, Reader]] = {
    "REQ": (11, Codec.decode_request),
    "SETTLED": (10, Codec.decode_outcome),
    "HEARTBEAT": (7, Codec.decode_note),
    "ACK_FIRST": (5, Codec.decode_stream_started),
    "CLIENT_GONE": (3, Codec.decode_client_gone),
    "TIMER": (3, Codec.decode_timer),
    "PROBE_DONE": (6, Codec.decode_probe_result),
    "INBOX": (4, Codec.decode_peer_message),
}


def decode_topology(parts: Sequence[str], rows: Sequence[Sequence[str]]) -> i.Event:
    """Decodes TOPOLOGY with its ENTRY lines, already split into fields."""
    entries = []
    for fields in rows:
        if fields[0] != "ENTRY" or len(fields) < 8:
            raise WireError(f"TOPOLOGY requires an ENTRY line with 7 values, got {' '.join(fields)!r}")
        if fields[5] not in ("active", "leaving", "left"):
            raise WireError(f"unknown state {fields[5]!r}")
        entries.append(
            i.WorkerEntry(
                parse_integer(fields[1]),
                parse_optional_integer(fields[2]),
                parse_optional_integer(fields[3]),
                parse_optional_integer(fields[4]),
                cast(Any, fields[5]),
                parse_number(fields[6]) or 1.0,
                parse_optional_integer(fields[7]) or None,
                mark=parse_integer(fields[1]),
            )
        )
    return i.WorkerList(parse_keyword(SCOPE, parts[2], "scope"), tuple(entries))


def encode(node: int, action: i.Action) -> str:
    """Encodes an action as a line."""
    if isinstance(action, i.Send):
        return f"ASSIGN {node} {action.request} {action.worker} {action.timeout}"
    if isinstance(action, i.WakeAt):
        return f"REMIND {node} {action.at} {action.mark}"
    if isinstance(action, i.Probe):
        return f"HEALTH_CHECK {node} {action.worker}"
    if isinstance(action, i.Cancel):
        return f"ABANDON {node} {action.request} {action.attempt}"
    if isinstance(action, i.Refuse):
        return f"DECLINE {node} {action.request} {action.retry_after}"
    if isinstance(action, i.Fail):
        return f"SURRENDER {node} {action.request}"
    if isinstance(action, i.Subscribe):
        return f"SUBSCRIBE {node} 1"
    return f"JOURNAL_LINE {node} {action.text}"


def parse_settings_object(text: str) -> dict[str, Any]:
    """Parses the JSON object at the end of a LAUNCH line."""
    try:
        return parse_json_object(text, "LAUNCH settings")
    except ConfigError as error:
        raise WireError(str(error)) from None

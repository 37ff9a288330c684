"""Reads the operator's file: the settings that the platform's JSON configuration does not contain.

The environment variable HERONSTALL_SETTINGS names the file; without it, every setting has its default. A
`.cue` file is checked in a separate process because `heronstall.records` and its parser would need more
memory than the deployment leaves to the dispatcher. A `.json` file, the output of
`heronstall settings show --json`, is read directly.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import ujson

from heronstall.config import Address, ConfigError, parse_address

LOG_FORMATS = ("plain", "logfmt", "json")
LOG_LEVELS = ("debug", "info", "warning", "error")
CHECK_TIMEOUT_S = 30.0  # limit for the process that checks a .cue file


class OperatorError(ValueError):
    """The operator's file is invalid; the message names the file, the line if known, and the key."""


@dataclass(frozen=True)
class PeerSettings:
    """How this dispatcher communicates with its peers."""

    port: int
    host: str = ""
    join: tuple[Address, ...] = ()
    cluster: str = ""
    same_endpoints: bool = False
    learn: bool = True
    advertise: Address | None = None


@dataclass(frozen=True)
class TakeoverSettings:
    """Which jobs survive the loss of this dispatcher, and which dispatchers store them as witnesses."""

    witnesses: tuple[tuple[str, ...], ...]
    classes: tuple[str, ...] = ()  # empty: all classes
    identity_header: bytes = b"idempotency-key"
    majority_timeout_us: int = 100_000  # wait for a majority of the witnesses to confirm
    takeovers_per_s: float = 200.0  # rate limit of takeovers
    max_stored_bytes: int = 16 * 1024 * 1024  # memory for the jobs of other dispatchers
    max_body_bytes: int = 16 * 1024  # a job with a larger body is not protected


@dataclass(frozen=True)
class SnapshotSettings:
    """Where the server list is stored for the next start."""

    dir: str
    max_age_h: float = 24.0


@dataclass(frozen=True)
class OperatorSettings:
    """The settings of the operator's file.

    A supervisor checks a release by running a script on it that uses `read`, `OperatorError`, `log_format`,
    `trace_dir` and `detail` (keeper/release.py): their names must not change.
    """

    log_format: str = "plain"
    log_level: str = "info"
    trace_dir: str = ""  # empty: no traces
    trace_rotate_s: float = 3600.0
    trace_keep: int = 24
    detail: bool = False  # whether the admin endpoint serves the detailed metrics that a rollout compares
    peers: PeerSettings | None = None  # None: no communication with other dispatchers
    snapshot: SnapshotSettings | None = None
    takeover: TakeoverSettings | None = None  # None: jobs are lost with their dispatcher


def read(environ: Mapping[str, str]) -> OperatorSettings:
    """Returns the settings of the file that HERONSTALL_SETTINGS names.

    Raises:
        OperatorError: The file cannot be read or is invalid.
    """
    name = environ.get("HERONSTALL_SETTINGS")
    if not name:
        return OperatorSettings()
    text = _check_cue(name) if name.endswith(".cue") else _read_text(name)
    try:
        record = ujson.loads(text)
    except ValueError:
        raise OperatorError(f"{name}: neither a .cue file nor JSON") from None
    return _parse_settings(name, record)


def _read_text(name: str) -> str:
    try:
        return Path(name).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorError(f"{name}: cannot be read: {error}") from None


def _check_cue(name: str) -> str:
    import subprocess  # imported only when needed, to keep the process small

    command = [sys.executable, "-m", "heronstall.records", name]
    try:
        completed = subprocess.run(
            command, capture_output=True, text=True, timeout=CHECK_TIMEOUT_S, check=False
        )
    except (OSError, subprocess.TimeoutExpired) as error:
        raise OperatorError(f"{name}: cannot be checked: {error}") from None
    if completed.returncode:
        messages = completed.stderr.strip().splitlines() or ["cannot be checked"]
        raise OperatorError(messages[-1] if "Error" in messages[-1] else "; ".join(messages))
    return completed.stdout


def _parse_settings(name: str, record: Any) -> OperatorSettings:
    log, trace, figures = (_section(name, record, key) for key in ("log", "trace", "figures"))
    settings = OperatorSettings(
        str(log.get("format", "plain")),
        str(log.get("level", "info")),
        str(trace.get("dir", "")),
        trace.get("rotate_s", 3600.0),
        trace.get("keep", 24),
        figures.get("detail", False),
        _parse_peers(name, _section(name, record, "peers")),
        _parse_snapshot(name, _section(name, record, "snapshot")),
        _parse_takeover(name, _section(name, record, "takeover")),
    )
    if settings.takeover is not None and settings.peers is None:
        raise OperatorError(f"{name}: takeover.witnesses: requires peers.port")
    if not isinstance(settings.detail, bool):
        raise OperatorError(f"{name}: figures.detail: {settings.detail!r}, expected true or false")
    for key, value, allowed in (
        ("log.format", settings.log_format, LOG_FORMATS),
        ("log.level", settings.log_level, LOG_LEVELS),
    ):
        if value not in allowed:
            raise OperatorError(f"{name}: {key}: {value!r}, expected {' or '.join(allowed)}")
    for key, number in (("trace.rotate_s", settings.trace_rotate_s), ("trace.keep", settings.trace_keep)):
        if isinstance(number, bool) or not isinstance(number, (int, float)) or not number >= 1:
            raise OperatorError(f"{name}: {key}: {number!r}, expected a number of at least 1")
    return settings


def _parse_peers(name: str, record: dict[str, Any]) -> PeerSettings | None:
    port, join = record.get("port", 0), record.get("join", [])
    if isinstance(port, bool) or not isinstance(port, int) or not 0 <= port <= 65534:
        raise OperatorError(f"{name}: peers.port: {port!r}, expected a port up to 65534")
    if not isinstance(join, list):
        raise OperatorError(f"{name}: peers.join: expected a list")
    addresses = []
    for n, address in enumerate(join):
        try:
            addresses.append(parse_address(str(address), f"peers.join[{n}]"))
        except ConfigError as error:
            raise OperatorError(f"{name}: {error}") from None
    endpoints = record.get("endpoints", "own")
    if endpoints not in ("own", "same"):
        raise OperatorError(f"{name}: peers.endpoints: {endpoints!r}, expected own or same")
    advertised = record.get("advertise", "")
    try:
        advertise = parse_address(str(advertised), "peers.advertise") if advertised else None
    except ConfigError as error:
        raise OperatorError(f"{name}: {error}") from None
    learn = record.get("learn", True)
    if not isinstance(learn, bool):
        raise OperatorError(f"{name}: peers.learn: {learn!r}, expected true or false")
    if not port:
        return None
    host, cluster = str(record.get("host", "")), str(record.get("cluster", ""))
    return PeerSettings(port, host, tuple(addresses), cluster, endpoints == "same", learn, advertise)


def _parse_takeover(name: str, record: dict[str, Any]) -> TakeoverSettings | None:
    groups, classes = record.get("witnesses", []), record.get("classes", [])
    if not isinstance(groups, list) or not all(isinstance(g, list) and g for g in groups):
        raise OperatorError(f"{name}: takeover.witnesses: expected a list of groups of names")
    if not groups:
        return None
    if len(groups) % 2 == 0 or len(groups) == 1:
        raise OperatorError(f"{name}: takeover.witnesses: {len(groups)} groups, expected 3, 5 or 7")
    names = [str(member) for group in groups for member in group]
    if len(names) > len(set(names)):
        raise OperatorError(f"{name}: takeover.witnesses: a name occurs twice")
    if not isinstance(classes, list):
        raise OperatorError(f"{name}: takeover.classes: expected a list of names")
    limits = {}
    for key, default, minimum in (
        ("wait_ms", 100, 1),
        ("pace", 200, 1),
        ("room_mb", 16, 1),
        ("body_kb", 16, 0),
    ):
        number = record.get(key, default)
        if isinstance(number, bool) or not isinstance(number, (int, float)) or not number >= minimum:
            raise OperatorError(
                f"{name}: takeover.{key}: {number!r}, expected a number of at least {minimum}"
            )
        limits[key] = float(number)
    return TakeoverSettings(
        tuple(tuple(str(member) for member in group) for group in groups),
        tuple(str(cls) for cls in classes),
        str(record.get("identity", "Idempotency-Key")).lower().encode(),
        round(limits["wait_ms"] * 1000),
        limits["pace"],
        round(limits["room_mb"] * 1024 * 1024),
        round(limits["body_kb"] * 1024),
    )


def _parse_snapshot(name: str, record: dict[str, Any]) -> SnapshotSettings | None:
    folder, max_age_h = record.get("dir", ""), record.get("most_h", 24.0)
    if not isinstance(folder, str):
        raise OperatorError(f"{name}: snapshot.dir: {folder!r}, expected a path")
    if isinstance(max_age_h, bool) or not isinstance(max_age_h, (int, float)) or not max_age_h > 0:
        raise OperatorError(f"{name}: snapshot.most_h: {max_age_h!r}, expected a number above 0")
    return SnapshotSettings(folder, max_age_h) if folder else None


def _section(name: str, record: Any, key: str) -> dict[str, Any]:
    section = record.get(key, {}) if isinstance(record, dict) else None
    if not isinstance(section, dict):
        raise OperatorError(f"{name}: {key}: expected a record")
    return section


def start_logging(settings: OperatorSettings) -> None:
    """Configures logging to standard error in the format and at the level of the settings.

    Raises:
        OperatorError: The libraries of the log format are not installed.
    """
    handler = logging.StreamHandler(sys.stderr)
    if settings.log_format == "plain":
        handler.setFormatter(logging.Formatter("%(levelname)s %(name)s: %(message)s"))
    else:
        try:
            from heronstall.logs import create_formatter
        except ImportError as error:
            message = f"log.format: {settings.log_format} requires the extra `logs`: {error}"
            raise OperatorError(message) from None
        handler.setFormatter(create_formatter(settings.log_format))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.log_level.upper())

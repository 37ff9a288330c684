"""The operator's file as the live program reads it: what the platform's JSON does not say.

HERONSTALL_SETTINGS names it; without it everything has its default. A `.cue` file is checked by a process of
its own: `heronstall.records` and its parser would take more memory here than the deployment leaves. A `.json`
file is what `heronstall settings show --json` made of one, and costs nothing.
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

FORMATS = ("plain", "logfmt", "json")
LEVELS = ("debug", "info", "warning", "error")
CHECK_TIME = 30.0  # seconds for the checking process


class OperatorError(ValueError):
    """The file cannot be used; the message names file, line and key."""


@dataclass(frozen=True)
class PeersFile:
    """How this dispatcher talks with others."""

    port: int
    host: str = ""
    join: tuple[Address, ...] = ()
    cluster: str = ""
    same_endpoints: bool = False
    learn: bool = True
    advertise: Address | None = None


@dataclass(frozen=True)
class TakeoverFile:
    """Which jobs survive the loss of this dispatcher, and who keeps them."""

    witnesses: tuple[tuple[str, ...], ...]
    classes: tuple[str, ...] = ()  # empty: all
    header: bytes = b"idempotency-key"
    wait: int = 100_000  # microseconds for a majority's word
    pace: float = 200.0  # jobs a second that are taken over
    room: int = 16 * 1024 * 1024  # bytes kept for others
    body: int = 16 * 1024  # a larger one is not protected


@dataclass(frozen=True)
class SnapshotFile:
    """Where the server list is kept for the next start."""

    dir: str
    most_h: float = 24.0


@dataclass(frozen=True)
class Operator:
    """The settings of the operator's file."""

    log_format: str = "plain"
    log_level: str = "info"
    trace_dir: str = ""  # no trace
    trace_rotate_s: float = 3600.0
    trace_keep: int = 24
    detail: bool = False  # figures that a change is judged by, at the door
    peers: PeersFile | None = None  # no talk among dispatchers
    snapshot: SnapshotFile | None = None
    takeover: TakeoverFile | None = None  # jobs end with their dispatcher


def read(environ: Mapping[str, str]) -> Operator:
    """What HERONSTALL_SETTINGS says. Raises OperatorError."""
    name = environ.get("HERONSTALL_SETTINGS")
    if not name:
        return Operator()
    text = _checked(name) if name.endswith(".cue") else _text(name)
    try:
        record = ujson.loads(text)
    except ValueError:
        raise OperatorError(f"{name}: neither a .cue file nor JSON") from None
    return _operator(name, record)


def _text(name: str) -> str:
    try:
        return Path(name).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorError(f"{name}: cannot be read: {error}") from None


def _checked(name: str) -> str:
    import subprocess  # only where a file is given: the program is small

    command = [sys.executable, "-m", "heronstall.records", name]
    try:
        done = subprocess.run(command, capture_output=True, text=True, timeout=CHECK_TIME, check=False)
    except (OSError, subprocess.TimeoutExpired) as error:
        raise OperatorError(f"{name}: cannot be checked: {error}") from None
    if done.returncode:
        told = done.stderr.strip().splitlines() or ["cannot be checked"]
        raise OperatorError(told[-1] if "Error" in told[-1] else "; ".join(told))
    return done.stdout


def _operator(name: str, record: Any) -> Operator:
    log, trace, figures = (_record(name, record, key) for key in ("log", "trace", "figures"))
    read = Operator(
        str(log.get("format", "plain")),
        str(log.get("level", "info")),
        str(trace.get("dir", "")),
        trace.get("rotate_s", 3600.0),
        trace.get("keep", 24),
        figures.get("detail", False),
        _peers(name, _record(name, record, "peers")),
        _snapshot(name, _record(name, record, "snapshot")),
        _takeover(name, _record(name, record, "takeover")),
    )
    if read.takeover is not None and read.peers is None:
        raise OperatorError(f"{name}: takeover.witnesses: wants peers.port, dispatchers that talk")
    if not isinstance(read.detail, bool):
        raise OperatorError(f"{name}: figures.detail: {read.detail!r} where true or false is wanted")
    for key, value, known in (
        ("log.format", read.log_format, FORMATS),
        ("log.level", read.log_level, LEVELS),
    ):
        if value not in known:
            raise OperatorError(f"{name}: {key}: {value!r} where {' or '.join(known)} is wanted")
    for key, figure in (("trace.rotate_s", read.trace_rotate_s), ("trace.keep", read.trace_keep)):
        if isinstance(figure, bool) or not isinstance(figure, (int, float)) or not figure >= 1:
            raise OperatorError(f"{name}: {key}: {figure!r} where a number of at least 1 is wanted")
    return read


def _peers(name: str, told: dict[str, Any]) -> PeersFile | None:
    port, join = told.get("port", 0), told.get("join", [])
    if isinstance(port, bool) or not isinstance(port, int) or not 0 <= port <= 65534:
        raise OperatorError(f"{name}: peers.port: {port!r} where a port up to 65534 is wanted")
    if not isinstance(join, list):
        raise OperatorError(f"{name}: peers.join: a list is wanted")
    others = []
    for n, one in enumerate(join):
        try:
            others.append(parse_address(str(one), f"peers.join[{n}]"))
        except ConfigError as error:
            raise OperatorError(f"{name}: {error}") from None
    endpoints = told.get("endpoints", "own")
    if endpoints not in ("own", "same"):
        raise OperatorError(f"{name}: peers.endpoints: {endpoints!r} where own or same is wanted")
    shown = told.get("advertise", "")
    try:
        advertise = parse_address(str(shown), "peers.advertise") if shown else None
    except ConfigError as error:
        raise OperatorError(f"{name}: {error}") from None
    learn = told.get("learn", True)
    if not isinstance(learn, bool):
        raise OperatorError(f"{name}: peers.learn: {learn!r} where true or false is wanted")
    if not port:
        return None
    host, cluster = str(told.get("host", "")), str(told.get("cluster", ""))
    return PeersFile(port, host, tuple(others), cluster, endpoints == "same", learn, advertise)


def _takeover(name: str, told: dict[str, Any]) -> TakeoverFile | None:
    groups, classes = told.get("witnesses", []), told.get("classes", [])
    if not isinstance(groups, list) or not all(isinstance(g, list) and g for g in groups):
        raise OperatorError(f"{name}: takeover.witnesses: a list of groups of names is wanted")
    if not groups:
        return None
    if len(groups) % 2 == 0 or len(groups) == 1:
        raise OperatorError(f"{name}: takeover.witnesses: {len(groups)} groups where 3, 5 or 7 are wanted")
    names = [str(one) for group in groups for one in group]
    if len(names) > len(set(names)):
        raise OperatorError(f"{name}: takeover.witnesses: a name stands in it twice")
    if not isinstance(classes, list):
        raise OperatorError(f"{name}: takeover.classes: a list of names is wanted")
    figures = {}
    for key, usual, least in (("wait_ms", 100, 1), ("pace", 200, 1), ("room_mb", 16, 1), ("body_kb", 16, 0)):
        figure = told.get(key, usual)
        if isinstance(figure, bool) or not isinstance(figure, (int, float)) or not figure >= least:
            raise OperatorError(
                f"{name}: takeover.{key}: {figure!r} where a number of at least {least} is wanted"
            )
        figures[key] = float(figure)
    return TakeoverFile(
        tuple(tuple(str(one) for one in group) for group in groups),
        tuple(str(one) for one in classes),
        str(told.get("identity", "Idempotency-Key")).lower().encode(),
        round(figures["wait_ms"] * 1000),
        figures["pace"],
        round(figures["room_mb"] * 1024 * 1024),
        round(figures["body_kb"] * 1024),
    )


def _snapshot(name: str, told: dict[str, Any]) -> SnapshotFile | None:
    folder, hours = told.get("dir", ""), told.get("most_h", 24.0)
    if not isinstance(folder, str):
        raise OperatorError(f"{name}: snapshot.dir: {folder!r} where a path is wanted")
    if isinstance(hours, bool) or not isinstance(hours, (int, float)) or not hours > 0:
        raise OperatorError(f"{name}: snapshot.most_h: {hours!r} where a number above 0 is wanted")
    return SnapshotFile(folder, hours) if folder else None


def _record(name: str, whole: Any, key: str) -> dict[str, Any]:
    inner = whole.get(key, {}) if isinstance(whole, dict) else None
    if not isinstance(inner, dict):
        raise OperatorError(f"{name}: {key}: a record is wanted")
    return inner


def start_logging(operator: Operator) -> None:
    """Log to standard error in the form asked for. Raises OperatorError where its library is missing."""
    handler = logging.StreamHandler(sys.stderr)
    if operator.log_format == "plain":
        handler.setFormatter(logging.Formatter("%(levelname)s %(name)s: %(message)s"))
    else:
        try:
            from heronstall.logs import formatter
        except ImportError as error:
            told = f"log.format: {operator.log_format} wants the extra `logs`: {error}"
            raise OperatorError(told) from None
        handler.setFormatter(formatter(operator.log_format))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(operator.log_level.upper())

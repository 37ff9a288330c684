"""Reads and validates the configuration of all programs, and applies the defaults.

The dispatcher reads the file that NODE_CONFIG names, the simulator adapter the object of a LAUNCH line. The
settings in both have the same form and are read by the same function. Every error is a `ConfigError` that
starts with the path of the key at fault.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any, cast

import ujson

from heronstall import interface as i

REPORT_MODES = {"piggyback": "answers", "pull": "probe", "silent": "none"}
# Fields of `interface.Report` by the names of the reported values, in the settings and on the sockets.
SETTINGS_REPORT_FIELDS = {"cpu_share": "util", "busy_reqs": "inflight", "pending": "queued"}
SOCKET_REPORT_FIELDS = {"cpu_share": "util", "busy_reqs": "inflight", "pending": "queue"}
SECOND = 1_000_000


class ConfigError(ValueError):
    """A key is missing, malformed or out of range; the message starts with its path."""


class _Table:
    """A JSON object and its path, so that every error can name its key."""

    def __init__(self, value: object, path: str = "") -> None:
        if not isinstance(value, dict):
            raise ConfigError(f"{path or 'configuration'}: must be an object")
        self._value: dict[str, Any] = value
        self._path = path

    def _key_path(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key

    def get(self, key: str, default: Any = None) -> Any:
        """Returns the raw value; null counts as absent."""
        value = self._value.get(key)
        return default if value is None else value

    def number(self, key: str, default: float | None, low: float = 0.0, high: float = math.inf) -> float:
        value = self.get(key, default)
        if value is None:
            raise ConfigError(f"{self._key_path(key)}: missing")
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
            raise ConfigError(f"{self._key_path(key)}: {value!r} is not a number")
        if not low <= value <= high:
            raise ConfigError(f"{self._key_path(key)}: {value!r} is out of range ({low:g} to {high:g})")
        return value

    def integer(self, key: str, default: int | None, low: int = 0) -> int:
        return int(self.number(key, default, low))

    def flag(self, key: str) -> bool:
        value = self.get(key, False)
        if not isinstance(value, bool):
            raise ConfigError(f"{self._key_path(key)}: {value!r} is not true or false")
        return value

    def text(self, key: str, default: str | None = None) -> str:
        value = self.get(key, default)
        if not isinstance(value, str) or not value:
            raise ConfigError(
                f"{self._key_path(key)}: " + ("missing" if value is None else f"{value!r} is not a string")
            )
        return value

    def choice(self, key: str, default: str, known: Mapping[str, Any]) -> Any:
        value = self.text(key, default)
        if value not in known:
            raise ConfigError(f"{self._key_path(key)}: {value!r} is not one of {', '.join(known)}")
        return known[value]

    def table(self, key: str) -> _Table:
        return _Table(self.get(key, {}), self._key_path(key))

    def array(self, key: str) -> list[Any]:
        value = self.get(key, [])
        if not isinstance(value, list):
            raise ConfigError(f"{self._key_path(key)}: must be a list")
        return value

    def tables(self, key: str) -> list[_Table]:
        return [_Table(row, f"{self._key_path(key)}[{n}]") for n, row in enumerate(self.array(key))]

    def per_class(self, key: str, count: int, default: float) -> list[float]:
        """Returns a number for each class; a short list is padded with the default."""
        values = self.array(key)
        for n, value in enumerate(values):
            if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
                raise ConfigError(f"{self._key_path(key)}[{n}]: {value!r} is not a number")
        return [*values, *[default] * count][:count]


def parse_settings(config: dict[str, Any]) -> i.Settings:
    """Returns the settings of the decisions from a settings object; unknown keys are ignored."""
    t = _Table(config)
    limits, rules, info, report = (t.table(k) for k in ("policyLimits", "rules", "familyInfo", "loadReport"))
    services = t.tables("services")
    if not services:
        raise ConfigError("services: missing")
    stretches, priorities, kinds = (
        info.per_class(key, len(services), default)
        for key, default in (("classStretch", 0.0), ("classPriority", 0), ("classKind", -1))
    )
    literals = {literal: literal for literal in ("safe", "keyed", "unsafe", "all", "zone", "cell")}
    classes = tuple(
        i.RequestClass(
            aim=c.integer("aim", None),
            deadline=c.integer("deadline", None, 1),
            effect=c.choice("effect", "unsafe", {k: literals[k] for k in ("safe", "keyed", "unsafe")}),
            group=c.choice("group", "all", {k: literals[k] for k in ("all", "zone", "cell")}),
            repeat_window=c.integer("repeatWindow", 0),
            stretch=float(c.number("aimStretch", 0.0) or stretches[n]),
            worth=float(c.number("worth", 1.0)),
            late_worth=float(c.number("lateWorth", 0.0)),
            priority=int(priorities[n]),
            kind=int(kinds[n]),
            streamed=c.flag("streamed"),
        )
        for n, c in enumerate(services)
    )
    read = {
        "tenants": tuple(i.Tenant(float(x.number("quotaPerS", None))) for x in t.tables("tenants")),
        "nodes": t.integer("balancers", 1, 1),
        "me": t.integer("me", -1, -1),
        "zone": t.integer("myZone", 0, -1),
        "tick": t.integer("tick", 1000, 1),
        "discovery_on_request": t.get("discovery") == "on_request",
        "ask_within": rules.integer("askWithin", 10 * SECOND),
        "reports": cast(Any, REPORT_MODES.get(report.get("via", "silent"), "none")),
        "probes": limits.flag("probes"),
        "cancelling": limits.flag("cancelling"),
        "second_copies": limits.flag("parallelTries"),
        "max_attempts": limits.integer("maxAttempts", 1, 1),
        "marks_retry": t.table("callers").flag("marksRetry"),
        "max_retry_after": limits.integer("maxRetryAfter", 0),
        "answer_grace": rules.integer("graceToAnswer", 0),
        "cold": rules.integer("cold", 0),
        "cold_from": float(rules.number("coldFrom", 1.0, 0.0, 1.0)),
        "fall": rules.integer("fall", SECOND, 1),
        "fall_multiple": float(rules.number("fallMultiple", 1.0, 1e-9)),
        "tells_start": info.flag("tellsStart"),
        "progress": info.integer("progress", 0),
        "probe_price": float(t.table("prices").number("probe", 0.0)),
    }
    try:
        return i.Settings(classes=classes, **read)
    except ValueError as error:  # checks that only `Settings` makes
        raise ConfigError(f"settings out of range: {error}") from None


def report_fields(config: dict[str, Any]) -> list[tuple[str, int]]:
    """Returns each reported value's name, in order, and its index in `interface.Report`, or -1 if unused."""
    t = _Table(config)
    info = t.table("familyInfo")
    field_names = dict(SETTINGS_REPORT_FIELDS)
    for name, quantity in (("x0", info.get("reportX0")), ("x1", info.get("reportX1"))):
        if quantity in ("free slots", "free memory"):
            field_names[name] = "free_slots" if quantity == "free slots" else "free_memory"
    fields = [str(name) for name in t.table("loadReport").array("fields")]
    report_slots = i.Report._fields
    return [(name, report_slots.index(field_names[name]) if name in field_names else -1) for name in fields]


def parse_json_object(text: str, source: str) -> dict[str, Any]:
    """Parses a JSON object."""
    try:
        value = ujson.loads(text)
    except ValueError:
        raise ConfigError(f"{source}: not valid JSON") from None
    if not isinstance(value, dict):
        raise ConfigError(f"{source}: not a JSON object")
    return value


Address = tuple[str, int]


def parse_address(text: str, key: str) -> Address:
    """Parses `host:port`; the host must be an IP address, since there is no DNS."""
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    if not host or not port.isdecimal() or not int(port) < 65536:
        raise ConfigError(f"{key}: {text!r} is not host:port")
    return host, int(port)


@dataclass(frozen=True)
class Config:
    """The configuration of the dispatcher. Times are microseconds."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # limit of open sockets
    memory: int  # limit in bytes
    known: dict[str, Any] | None  # the server list that the platform hands over
    settings: i.Settings
    classes: dict[str, int]  # index by name; so are the next three
    tenants: dict[str, int]
    zones: dict[str, int]
    kinds: dict[str, int]
    report_slots: dict[str, int]  # index in `Report` by the name of a value
    connect_timeout: int
    keepalive: int
    drain_grace: int
    settings_json: str  # for a trace
    operator: Address | None = None  # listening address of the operator interface; None to disable it


def load(environ: Mapping[str, str]) -> Config:
    """Reads the file of NODE_CONFIG; the other NODE_ variables override its values."""
    return configuration({**_read_file(environ), **_environment_overrides(environ)})


def reload(environ: Mapping[str, str]) -> Config:
    """Reads the file of NODE_CONFIG again; its `discovery` now overrides NODE_DISCOVERY, which is older."""
    raw = _read_file(environ)
    overrides = {
        key: value
        for key, value in _environment_overrides(environ).items()
        if key != "discovery" or key not in raw
    }
    return configuration({**raw, **overrides})


def restart_only_changes(old: Config, new: Config) -> list[str]:
    """Returns the keys that differ and only take effect after a restart.

    `known` and `seed` are excluded: they are only used at a start, and each file has new ones.
    """
    keys = {key: key for key in ("name", "listen", "operator")}
    keys |= {"sockets": "limits.sockets", "memory": "limits.memory_mb"}
    ignored = ("discovery", "known", "seed", "settings_json")
    changed = [f.name for f in fields(Config) if getattr(old, f.name) != getattr(new, f.name)]
    return sorted({keys.get(name, "settings") for name in changed if name not in ignored})


def _read_file(environ: Mapping[str, str]) -> dict[str, Any]:
    path = environ.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG: not set")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"NODE_CONFIG: cannot read {path}: {error}") from None
    return parse_json_object(text, "NODE_CONFIG")


def _environment_overrides(environ: Mapping[str, str]) -> dict[str, str]:
    names = {
        "NODE_NAME": "name",
        "NODE_LISTEN": "listen",
        "NODE_DISCOVERY": "discovery",
        "NODE_OPERATOR": "operator",
    }
    return {key: environ[name] for name, key in names.items() if environ.get(name)}


def configuration(raw: dict[str, Any]) -> Config:
    """Validates the configuration of the dispatcher."""
    t = _Table(raw)
    if t.get("settings") is None:
        raise ConfigError("settings: missing")
    s = t.table("settings")
    settings_object = t.get("settings")
    limits = s.table("policyLimits")
    seed = t.text("seed", "0")
    try:
        number = int(seed, 16)
    except ValueError:
        raise ConfigError(f"seed: {seed!r} is not a hexadecimal number") from None
    try:
        decision_settings = parse_settings(settings_object)
        slots = dict(report_fields(settings_object))
        names = [[c.text("name") for c in s.tables(key)] for key in ("services", "tenants")]
    except ConfigError as error:
        raise ConfigError(str(error) if str(error).startswith("settings") else f"settings.{error}") from None
    slots |= {
        SOCKET_REPORT_FIELDS[name]: slot for name, slot in slots.items() if name in SOCKET_REPORT_FIELDS
    }
    known = t.get("known")
    if known is not None:
        _Table(known, "known")
    numbered = [
        {str(name): n for n, name in enumerate(row)} for row in (*names, s.array("areas"), s.array("flavors"))
    ]
    return Config(
        name=t.text("name", "dispatcher"),
        listen=parse_address(t.text("listen"), "listen"),
        discovery=parse_address(t.text("discovery"), "discovery"),
        seed=number,
        sockets=t.table("limits").integer("sockets", 1024, 64),
        memory=int(t.table("limits").number("memory_mb", 192, 24) * 1024 * 1024),
        known=known,
        settings=decision_settings,
        classes=numbered[0],
        tenants=numbered[1],
        zones=numbered[2],
        kinds=numbered[3],
        report_slots={name: slot for name, slot in slots.items() if slot >= 0},
        connect_timeout=limits.integer("connectTimeout", 250_000, 1),
        keepalive=limits.integer("keepalive", 5 * SECOND, 1),
        drain_grace=s.table("rules").integer("drainGrace", 2 * SECOND),
        settings_json=ujson.dumps(settings_object),
        operator=None if t.get("operator") is None else parse_address(t.text("operator"), "operator"),
    )


@dataclass(frozen=True)
class NodeBounds:
    """Time limits of the deployment, in seconds."""

    grace: float  # from a stop signal to the end of the process
    config_apply: float
    max_skew: float
    recover: float
    status: float


@dataclass(frozen=True)
class NodeSettings:
    """The settings of a process of the serving tier."""

    name: str
    role: str
    machine_class: str
    ip: str
    zone: str
    region: str
    zones: Mapping[str, str]
    listen: Mapping[str, str]
    port: int  # for messages between nodes; the same on all machines
    seeds: tuple[str, ...]
    bootstrap: bool
    data_dir: str | None
    heartbeat: float  # interval in seconds
    machines_lost: int  # how many machines may be lost at the same time
    memory_mb: int
    disk_mb: int
    max_fds: int
    bounds: NodeBounds
    path: str = ""  # of the settings file

    @property
    def seed_addresses(self) -> list[str]:
        """Returns the message addresses of the seed nodes."""
        return [f"{seed.rpartition(':')[0]}:{self.port}" for seed in self.seeds]

    def reloaded(self) -> NodeSettings:
        """Returns the current settings of the file, or these if the file is invalid."""
        try:
            return node_settings(self.path)
        except ConfigError:
            return self


def node_settings(path: str) -> NodeSettings:
    """Reads the settings file of a tier process. Raises ConfigError, which names the key at fault."""
    try:
        raw = ujson.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error
    table = _Table(raw)
    ports = table.get("port_range")
    if not isinstance(ports, list) or not ports or not all(isinstance(p, int) for p in ports):
        raise ConfigError("port_range: must be a list of two ports")
    seeds = table.get("seed_nodes", [])
    if not isinstance(seeds, list) or not all(isinstance(s, str) and ":" in s for s in seeds):
        raise ConfigError("seed_nodes: must be a list of addresses")
    listen = table.get("listen", {})
    if not isinstance(listen, dict) or not all(isinstance(a, str) and ":" in a for a in listen.values()):
        raise ConfigError("listen: must map names to addresses")
    zones = table.get("zones", {})
    if not isinstance(zones, dict):
        raise ConfigError("zones: must map zones to regions")
    limits = _Table(table.get("limits", {}), "limits")
    tolerance = _Table(table.get("fault_tolerance", {}), "fault_tolerance")
    return NodeSettings(
        name=table.text("node_name"),
        role=table.text("role"),
        machine_class=table.text("machine_class"),
        ip=table.text("ip"),
        zone=table.text("zone"),
        region=table.text("region", "-"),
        zones=zones,
        listen=listen,
        port=ports[0],
        seeds=tuple(seeds),
        bootstrap=table.flag("bootstrap"),
        data_dir=table.get("data_dir"),
        heartbeat=table.number("heartbeat_ms", 1000) / 1000,
        machines_lost=tolerance.integer("machines", 1),
        memory_mb=limits.integer("memory_mb", 256),
        disk_mb=limits.integer("disk_mb", 0),
        max_fds=limits.integer("max_fds", 1024),
        bounds=_node_bounds(_Table(table.get("bounds", {}), "bounds")),
        path=path,
    )


def _node_bounds(bounds: _Table) -> NodeBounds:
    return NodeBounds(
        grace=bounds.number("grace_s", 8),
        config_apply=bounds.number("config_apply_ms", 2000) / 1000,
        max_skew=bounds.number("max_skew_ms", 5000) / 1000,
        recover=bounds.number("recover_s", 12),
        status=bounds.number("status_s", 120),
    )

"""The one place where configuration is read, checked and given defaults, for both programs.

`run` reads the file that NODE_CONFIG names, `sim` the object of a LAUNCH line; the settings in both
are one object and are read by one function. Every complaint is a `ConfigError` that names the
key at fault by its path.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any, cast

import ujson

from heronstall import interface as i

VIA = {"piggyback": "answers", "pull": "probe", "silent": "none"}
# What a reported value means to us, under the name that the settings use and the one on the sockets.
REPORT_SLOT = {"cpu_share": "util", "busy_reqs": "inflight", "pending": "queued"}
ON_SOCKETS = {"cpu_share": "util", "busy_reqs": "inflight", "pending": "queue"}
SECOND = 1_000_000


class ConfigError(ValueError):
    """A key is missing, distorted or out of range; the message begins with its path."""


class _Table:
    """A JSON object and where it stands, so that every complaint can say which key it means."""

    def __init__(self, value: object, path: str = "") -> None:
        if not isinstance(value, dict):
            raise ConfigError(f"{path or 'configuration'}: an object is wanted")
        self._value: dict[str, Any] = value
        self._path = path

    def _at(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key

    def get(self, key: str, default: Any = None) -> Any:
        """The plain value; null counts as absent."""
        value = self._value.get(key)
        return default if value is None else value

    def number(self, key: str, default: float | None, low: float = 0.0, high: float = math.inf) -> float:
        value = self.get(key, default)
        if value is None:
            raise ConfigError(f"{self._at(key)}: missing")
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
            raise ConfigError(f"{self._at(key)}: {value!r} is not a number")
        if not low <= value <= high:
            raise ConfigError(
                f"{self._at(key)}: {value!r} is out of range (at least {low:g}, at most {high:g})"
            )
        return value

    def whole(self, key: str, default: int | None, low: int = 0) -> int:
        return int(self.number(key, default, low))

    def flag(self, key: str) -> bool:
        value = self.get(key, False)
        if not isinstance(value, bool):
            raise ConfigError(f"{self._at(key)}: {value!r} is not true or false")
        return value

    def text(self, key: str, default: str | None = None) -> str:
        value = self.get(key, default)
        if not isinstance(value, str) or not value:
            raise ConfigError(
                f"{self._at(key)}: " + ("missing" if value is None else f"{value!r} is not a text")
            )
        return value

    def choice(self, key: str, default: str, known: Mapping[str, Any]) -> Any:
        value = self.text(key, default)
        if value not in known:
            raise ConfigError(f"{self._at(key)}: {value!r} is not one of {', '.join(known)}")
        return known[value]

    def table(self, key: str) -> _Table:
        return _Table(self.get(key, {}), self._at(key))

    def rows(self, key: str) -> list[Any]:
        value = self.get(key, [])
        if not isinstance(value, list):
            raise ConfigError(f"{self._at(key)}: a list is wanted")
        return value

    def tables(self, key: str) -> list[_Table]:
        return [_Table(row, f"{self._at(key)}[{n}]") for n, row in enumerate(self.rows(key))]

    def per_class(self, key: str, count: int, default: float) -> list[float]:
        """A figure for each class; a short list is filled up with the default."""
        row = self.rows(key)
        for n, value in enumerate(row):
            if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
                raise ConfigError(f"{self._at(key)}[{n}]: {value!r} is not a number")
        return [*row, *[default] * count][:count]


def settings(config: dict[str, Any]) -> i.Settings:
    """The settings object in the decisions' terms; keys that we do not know are ignored."""
    t = _Table(config)
    limits, rules, info, report = (t.table(k) for k in ("policyLimits", "rules", "familyInfo", "loadReport"))
    services = t.tables("services")
    if not services:
        raise ConfigError("services: missing")
    stretches, priorities, kinds = (
        info.per_class(key, len(services), default)
        for key, default in (("classStretch", 0.0), ("classPriority", 0), ("classKind", -1))
    )
    same = {word: word for word in ("safe", "keyed", "unsafe", "all", "zone", "cell")}
    classes = tuple(
        i.RequestClass(
            aim=c.whole("aim", None),
            deadline=c.whole("deadline", None, 1),
            effect=c.choice("effect", "unsafe", {k: same[k] for k in ("safe", "keyed", "unsafe")}),
            group=c.choice("group", "all", {k: same[k] for k in ("all", "zone", "cell")}),
            repeat_window=c.whole("repeatWindow", 0),
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
        "nodes": t.whole("balancers", 1, 1),
        "me": t.whole("me", -1, -1),
        "zone": t.whole("myZone", 0, -1),
        "tick": t.whole("tick", 1000, 1),
        "discovery_on_request": t.get("discovery") == "on_request",
        "ask_within": rules.whole("askWithin", 10 * SECOND),
        "reports": cast(Any, VIA.get(report.get("via", "silent"), "none")),
        "probes": limits.flag("probes"),
        "cancelling": limits.flag("cancelling"),
        "second_copies": limits.flag("parallelTries"),
        "max_attempts": limits.whole("maxAttempts", 1, 1),
        "marks_retry": t.table("callers").flag("marksRetry"),
        "max_retry_after": limits.whole("maxRetryAfter", 0),
        "answer_grace": rules.whole("graceToAnswer", 0),
        "cold": rules.whole("cold", 0),
        "cold_from": float(rules.number("coldFrom", 1.0, 0.0, 1.0)),
        "fall": rules.whole("fall", SECOND, 1),
        "fall_multiple": float(rules.number("fallMultiple", 1.0, 1e-9)),
        "tells_start": info.flag("tellsStart"),
        "progress": info.whole("progress", 0),
        "probe_price": float(t.table("prices").number("probe", 0.0)),
    }
    try:
        return i.Settings(classes=classes, **read)
    except ValueError as error:  # what only the decisions' own check knows
        raise ConfigError(f"settings out of range: {error}") from None


def report_meanings(config: dict[str, Any]) -> list[tuple[str, int]]:
    """Each reported value's name, in order, and its place in `interface.Report`, -1 if of no use to us."""
    t = _Table(config)
    info = t.table("familyInfo")
    meaning = dict(REPORT_SLOT)
    for name, told in (("x0", info.get("reportX0")), ("x1", info.get("reportX1"))):
        if told in ("free slots", "free memory"):
            meaning[name] = "free_slots" if told == "free slots" else "free_memory"
    fields = [str(name) for name in t.table("loadReport").rows("fields")]
    places = i.Report._fields
    return [(f, places.index(meaning[f]) if f in meaning else -1) for f in fields]


def parse(text: str, what: str) -> dict[str, Any]:
    """A JSON object from text."""
    try:
        value = ujson.loads(text)
    except ValueError:
        raise ConfigError(f"{what}: not JSON") from None
    if not isinstance(value, dict):
        raise ConfigError(f"{what}: not an object")
    return value


Address = tuple[str, int]


def address(text: str, key: str) -> Address:
    """Host and port of `host:port`; the host must be an address, since there is no DNS."""
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    if not host or not port.isdecimal() or not int(port) < 65536:
        raise ConfigError(f"{key}: {text!r} is not host:port")
    return host, int(port)


@dataclass(frozen=True)
class Config:
    """What `run` is told. Times are microseconds."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory: int  # bytes
    known: dict[str, Any] | None
    settings: i.Settings
    classes: dict[str, int]
    tenants: dict[str, int]
    zones: dict[str, int]
    kinds: dict[str, int]
    report_slots: dict[str, int]  # name of a value in a report on the sockets: its place in `Report`
    connect_timeout: int
    keepalive: int
    drain_grace: int
    told: str  # the settings object as JSON, for a trace
    operator: Address | None = None  # where the operators' staff call; nothing is opened without it


def load(environ: Mapping[str, str]) -> Config:
    """Read NODE_CONFIG; the other NODE_ variables win over what it says."""
    return configuration({**_file(environ), **_told(environ)})


def reload(environ: Mapping[str, str]) -> Config:
    """Read NODE_CONFIG again. NODE_DISCOVERY told of the start: the file's `discovery` is the newer word."""
    raw = _file(environ)
    told = {key: value for key, value in _told(environ).items() if key != "discovery" or key not in raw}
    return configuration({**raw, **told})


def fixed_changes(old: Config, new: Config) -> list[str]:
    """The keys that differ and cannot be followed before a restart.

    `known` and `seed` are not among them: they are of use at a start only and are new in each file.
    """
    keys = {key: key for key in ("name", "listen", "operator")}
    keys |= {"sockets": "limits.sockets", "memory": "limits.memory_mb"}
    passed = ("discovery", "known", "seed", "told")
    changed = [f.name for f in fields(Config) if getattr(old, f.name) != getattr(new, f.name)]
    return sorted({keys.get(name, "settings") for name in changed if name not in passed})


def _file(environ: Mapping[str, str]) -> dict[str, Any]:
    path = environ.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG: not set")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"NODE_CONFIG: cannot read {path}: {error}") from None
    return parse(text, "NODE_CONFIG")


def _told(environ: Mapping[str, str]) -> dict[str, str]:
    names = {
        "NODE_NAME": "name",
        "NODE_LISTEN": "listen",
        "NODE_DISCOVERY": "discovery",
        "NODE_OPERATOR": "operator",
    }
    return {key: environ[name] for name, key in names.items() if environ.get(name)}


def configuration(raw: dict[str, Any]) -> Config:
    """Check the whole of what `run` is told."""
    t = _Table(raw)
    if t.get("settings") is None:
        raise ConfigError("settings: missing")
    s = t.table("settings")
    told = t.get("settings")
    limits = s.table("policyLimits")
    seed = t.text("seed", "0")
    try:
        number = int(seed, 16)
    except ValueError:
        raise ConfigError(f"seed: {seed!r} is not a hexadecimal number") from None
    try:
        decided = settings(told)
        slots = dict(report_meanings(told))
        names = [[c.text("name") for c in s.tables(key)] for key in ("services", "tenants")]
    except ConfigError as error:
        raise ConfigError(str(error) if str(error).startswith("settings") else f"settings.{error}") from None
    slots |= {ON_SOCKETS[name]: place for name, place in slots.items() if name in ON_SOCKETS}
    known = t.get("known")
    if known is not None:
        _Table(known, "known")
    numbered = [
        {str(name): n for n, name in enumerate(row)} for row in (*names, s.rows("areas"), s.rows("flavors"))
    ]
    return Config(
        name=t.text("name", "dispatcher"),
        listen=address(t.text("listen"), "listen"),
        discovery=address(t.text("discovery"), "discovery"),
        seed=number,
        sockets=t.table("limits").whole("sockets", 1024, 64),
        memory=int(t.table("limits").number("memory_mb", 192, 24) * 1024 * 1024),
        known=known,
        settings=decided,
        classes=numbered[0],
        tenants=numbered[1],
        zones=numbered[2],
        kinds=numbered[3],
        report_slots={name: place for name, place in slots.items() if place >= 0},
        connect_timeout=limits.whole("connectTimeout", 250_000, 1),
        keepalive=limits.whole("keepalive", 5 * SECOND, 1),
        drain_grace=s.table("rules").whole("drainGrace", 2 * SECOND),
        told=ujson.dumps(told),
        operator=None if t.get("operator") is None else address(t.text("operator"), "operator"),
    )


@dataclass(frozen=True)
class NodeBounds:
    """Figures that the rules name; times in seconds."""

    grace: float
    config_apply: float
    max_skew: float
    recover: float
    status: float


@dataclass(frozen=True)
class NodeSettings:
    """What a process of the tier is told at its start."""

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
    heartbeat: float
    machines_lost: int  # counted machines that may be lost at once
    memory_mb: int
    disk_mb: int
    max_fds: int
    bounds: NodeBounds
    path: str = ""  # of the file that this was read from

    @property
    def seed_addresses(self) -> list[str]:
        """Addresses for messages of the nodes that the seeds name."""
        return [f"{seed.rpartition(':')[0]}:{self.port}" for seed in self.seeds]

    def read_again(self) -> NodeSettings:
        """The settings as the file has them now; these where it can't be used."""
        try:
            return node_settings(self.path)
        except ConfigError:
            return self


def node_settings(path: str) -> NodeSettings:
    """Read a tier process's settings file. Raises ConfigError, which names the key at fault."""
    try:
        raw = ujson.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error
    table = _Table(raw)
    ports = table.get("port_range")
    if not isinstance(ports, list) or not ports or not all(isinstance(p, int) for p in ports):
        raise ConfigError("port_range: a list of two ports is wanted")
    seeds = table.get("seed_nodes", [])
    if not isinstance(seeds, list) or not all(isinstance(s, str) and ":" in s for s in seeds):
        raise ConfigError("seed_nodes: a list of addresses is wanted")
    listen = table.get("listen", {})
    if not isinstance(listen, dict) or not all(isinstance(a, str) and ":" in a for a in listen.values()):
        raise ConfigError("listen: addresses by name are wanted")
    zones = table.get("zones", {})
    if not isinstance(zones, dict):
        raise ConfigError("zones: regions by zone are wanted")
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
        machines_lost=tolerance.whole("machines", 1),
        memory_mb=limits.whole("memory_mb", 256),
        disk_mb=limits.whole("disk_mb", 0),
        max_fds=limits.whole("max_fds", 1024),
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

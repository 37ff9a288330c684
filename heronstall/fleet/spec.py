"""Scenario types, built from the validated record of a scenario file. Times are converted to microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Literal

SECOND, MS = 1_000_000, 1_000
Range = tuple[float, float]  # low and high; equal for a single value


class ScenarioError(ValueError):
    """An inconsistent scenario; the message begins with the key."""


def parse_range(value: Any, key: str, factor: float = 1.0) -> Range:
    """Returns a value or range multiplied by `factor`. Raises ScenarioError if low exceeds high."""
    low, high = value if isinstance(value, list) else (value, value)
    if low > high:
        raise ScenarioError(f"{key}: the low end of the range [{low}, {high}] exceeds its high end")
    return low * factor, high * factor


@dataclass(frozen=True)
class Zone:
    """A data centre: the number of its dispatchers and servers, and its weight in the traffic."""

    name: str
    dispatchers: int
    servers: int
    traffic: float


@dataclass(frozen=True)
class ServerKind:
    """A kind of backend server. Speeds are per core; work is measured at speed 1."""

    name: str
    share: float
    cores: int
    slots: int
    speed: Range
    queue: int
    crowding: float
    errors: float
    handshake: Range  # microseconds of work
    probe: Range  # microseconds of work
    connections: int
    connects_per_s: int
    idle: int
    cold: int
    cold_from: float
    drops: bool
    hands_back: bool


@dataclass(frozen=True)
class WorkDistribution:
    """The distribution of the work of a class's jobs; `mean` in microseconds at speed 1."""

    kind: Literal["fixed", "lognormal", "pareto"]
    mean: Range
    sigma: float
    alpha: float
    most: float


@dataclass(frozen=True)
class JobClass:
    """A class of jobs."""

    name: str
    share: float
    effect: Literal["safe", "keyed", "unsafe"]
    group: Literal["zone", "all", "cell"]
    aim: int
    stretch: float
    deadline: int
    worth: float
    priority: int
    window: int
    work: WorkDistribution
    hint: float


@dataclass(frozen=True)
class Tenant:
    """A tenant: its share of the fleet and its weight in the traffic."""

    name: str
    share: float
    traffic: float


@dataclass(frozen=True)
class Shape:
    """A change of the arrival rate over time."""

    kind: Literal["wave", "surge"]
    at: int
    length: int  # of a surge; for a wave, its period
    size: float  # factor of a surge; for a wave, the amplitude relative to the rate
    ramp: int


@dataclass(frozen=True)
class Trouble:
    """A simulated failure from `at` on, for `length`. Unused fields keep their defaults."""

    kind: str
    at: int
    length: int
    part: float = 1.0
    zone: str | None = None
    size: float = 0.0
    cls: str | None = None
    stands: bool = True
    back: int = 0


@dataclass(frozen=True)
class MessageCondition:
    """A message or byte on a link that triggers a fault."""

    link: str
    way: str
    says: str
    unit: str
    nth: int


@dataclass(frozen=True)
class Fault:
    """A fault on a link or of a process; the unit of `size` depends on the fault."""

    do: str
    link: str
    process: str
    way: str
    at: int
    when: MessageCondition | None
    length: int
    size: float
    jitter: float


@dataclass(frozen=True)
class Scenario:
    """A complete scenario."""

    name: str
    about: str
    length: int
    warm: int
    zones: tuple[Zone, ...]
    within: Range
    between: Range
    jitter: float
    kinds: tuple[ServerKind, ...]
    discovery_delay: Range
    blind: Range
    lists_per_s: float
    places: int
    reports: Literal["answers", "probe", "none"]
    report_every: Range
    report_noise: float
    probes: bool
    notes: bool
    progress: int
    retries: int
    wait: Range
    honours: bool
    front: Range
    skew: float
    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...]
    rate: float  # first tries per second
    bursts: float
    shapes: tuple[Shape, ...]
    attempts: int
    connect_timeout: int
    keepalive: int
    retry_after: int
    memory_mb: int
    sockets: int
    tick: int
    drain_grace: int
    fall: int
    fall_multiple: float
    answer_grace: int
    overshare: float
    goal: tuple[float, float, float, float]  # weights of whole, worst window, worst class, worst tenant
    prices: dict[str, float]
    troubles: tuple[Trouble, ...]
    faults: tuple[Fault, ...] = ()

    @property
    def dispatchers(self) -> int:
        """The number of dispatchers."""
        return sum(z.dispatchers for z in self.zones)

    @property
    def servers(self) -> int:
        """The number of backend servers."""
        return sum(z.servers for z in self.zones)


def _to_microseconds(seconds: float) -> int:
    return round(seconds * SECOND)


def _server_kind(name: str, r: dict[str, Any]) -> ServerKind:
    at = f"kinds.{name}"
    if r["slots"] < r["cores"]:
        raise ScenarioError(f"{at}.slots: {r['slots']} is less than the number of cores, {r['cores']}")
    return ServerKind(
        name=name,
        share=r["share"],
        cores=r["cores"],
        slots=r["slots"],
        speed=parse_range(r["speed"], f"{at}.speed"),
        queue=r["queue"],
        crowding=r["crowding"],
        errors=r["errors"],
        handshake=parse_range(r["handshake_ms"], f"{at}.handshake_ms", MS),
        probe=parse_range(r["probe_ms"], f"{at}.probe_ms", MS),
        connections=r["connections"],
        connects_per_s=r["connects_per_s"],
        idle=_to_microseconds(r["idle_s"]),
        cold=_to_microseconds(r["cold_s"]),
        cold_from=r["cold_from"],
        drops=r["drops"],
        hands_back=r["hands_back"],
    )


def _job_class(name: str, r: dict[str, Any]) -> JobClass:
    w = r["work"]
    work = WorkDistribution(
        w["kind"],
        parse_range(w["mean_ms"], f"classes.{name}.work.mean_ms", MS),
        w.get("sigma", 0.0),
        w.get("alpha", 2.0),
        w.get("most", 1.0),
    )
    return JobClass(
        name,
        r["share"],
        r["effect"],
        r["group"],
        _to_microseconds(r["aim_ms"] / 1000),
        r["stretch"],
        _to_microseconds(r["deadline_s"]),
        r["worth"],
        r["priority"],
        _to_microseconds(r["window_s"]),
        work,
        r["hint"],
    )


def _trouble(n: int, r: dict[str, Any], zones: set[str], classes: set[str]) -> Trouble:
    at = f"troubles[{n}]"
    if r.get("zone") is not None and r["zone"] not in zones:
        raise ScenarioError(f"{at}.zone: zone {r['zone']} does not exist")
    if r.get("class") is not None and r["class"] not in classes:
        raise ScenarioError(f"{at}.class: class {r['class']} does not exist")
    size = next((r[key] for key in ("times", "add_s", "share", "after_s") if key in r), 0.0)
    part = r.get("share", 1.0) if r["kind"] in ("heavy-tail", "resets") else r.get("part", 1.0)
    return Trouble(
        r["kind"],
        _to_microseconds(r["at_s"]),
        _to_microseconds(r.get("for_s", 0)),
        part,
        r.get("zone"),
        float(size),
        r.get("class"),
        r.get("stands", True),
        _to_microseconds(r.get("back_s", 0)),
    )


def fault(r: dict[str, Any], at: str) -> Fault:
    """Builds a fault from its validated record. Raises ScenarioError if it is inconsistent."""
    if ("link" in r) == ("process" in r):
        raise ScenarioError(f"{at}: exactly one of link and process is required")
    if ("link" in r) == (r["do"] in ("kill", "stop", "slow", "full-tmp")):
        raise ScenarioError(f"{at}.do: {r['do']} does not apply to a {'link' if 'link' in r else 'process'}")
    if ("at_s" in r) == ("when" in r):
        raise ScenarioError(f"{at}: exactly one of at_s and when is required")
    if r["do"] in ("garble", "loss", "reorder", "slow") and r["size"] > 1:
        raise ScenarioError(f"{at}.size: {r['size']:g} exceeds the maximum of 1")
    w = r.get("when")
    when = MessageCondition(w["link"], w["way"], w["says"], w["unit"], w["nth"]) if w else None
    return Fault(
        r["do"],
        r.get("link", ""),
        r.get("process", ""),
        r["way"],
        _to_microseconds(r.get("at_s", 0)),
        when,
        _to_microseconds(r["for_s"]),
        r["size"],
        r["jitter_ms"],
    )


def scenario(r: dict[str, Any]) -> Scenario:
    """Builds a scenario from its validated record. Raises ScenarioError if it is inconsistent."""
    zones = tuple(Zone(n, z["dispatchers"], z["servers"], z["traffic"]) for n, z in r["zones"].items())
    if not sum(z.servers for z in zones):
        raise ScenarioError("zones: at least one server is required")
    if not sum(z.dispatchers for z in zones):
        raise ScenarioError("zones: at least one dispatcher is required")
    for z in zones:
        if z.traffic and not z.dispatchers:
            raise ScenarioError(f"zones.{z.name}.traffic: a zone with traffic requires a dispatcher")
    for key in ("kinds", "classes"):
        if not r[key]:
            raise ScenarioError(f"{key}: at least one is required")
    goal = r["goal"]
    if abs(sum(goal.values()) - 1.0) > 1e-6:
        raise ScenarioError(f"goal: the weights add up to {sum(goal.values()):g} instead of 1")
    shares = sum(t["share"] for t in r["tenants"].values())
    if shares > 1.0 + 1e-6:
        raise ScenarioError(f"tenants: the shares add up to {shares:g}, which exceeds 1")
    names, classes = {z.name for z in zones}, set(r["classes"])
    limits, rules, clients, reports = r["limits"], r["rules"], r["clients"], r["reports"]
    shapes = tuple(
        Shape("wave", 0, _to_microseconds(s["period_s"]), s["size"], 0)
        if s["kind"] == "wave"
        else Shape(
            "surge",
            _to_microseconds(s["at_s"]),
            _to_microseconds(s["for_s"]),
            s["times"],
            _to_microseconds(s["ramp_s"]),
        )
        for s in r["arrivals"]["shape"]
    )
    return Scenario(
        name=r["name"],
        about=r["about"],
        length=_to_microseconds(r["seconds"]),
        warm=_to_microseconds(r["warm_s"]),
        zones=zones,
        within=parse_range(r["links"]["within_ms"], "links.within_ms", MS),
        between=parse_range(r["links"]["between_ms"], "links.between_ms", MS),
        jitter=r["links"]["jitter"],
        kinds=tuple(_server_kind(n, k) for n, k in r["kinds"].items()),
        discovery_delay=parse_range(r["discovery"]["delay_s"], "discovery.delay_s", SECOND),
        blind=parse_range(r["discovery"]["blind_s"], "discovery.blind_s", SECOND),
        lists_per_s=float(r["discovery"]["lists_per_s"]),
        places=r["discovery"]["places"],
        reports=reports["via"],
        report_every=parse_range(reports["every_ms"], "reports.every_ms", MS),
        report_noise=reports["noise"],
        probes=reports["probes"],
        notes=reports["notes"],
        progress=_to_microseconds(reports["progress_s"]),
        retries=clients["retries"],
        wait=parse_range(clients["wait_s"], "clients.wait_s", SECOND),
        honours=clients["honours"],
        front=parse_range(clients["front_s"], "clients.front_s", SECOND),
        skew=clients["skew"],
        classes=tuple(_job_class(n, c) for n, c in r["classes"].items()),
        tenants=tuple(Tenant(n, t["share"], t["traffic"] or t["share"]) for n, t in r["tenants"].items()),
        rate=r["arrivals"]["rate_per_s"],
        bursts=r["arrivals"]["bursts"],
        shapes=shapes,
        attempts=limits["attempts"],
        connect_timeout=_to_microseconds(limits["connect_ms"] / 1000),
        keepalive=_to_microseconds(limits["keepalive_s"]),
        retry_after=_to_microseconds(limits["retry_after_s"]),
        memory_mb=limits["memory_mb"],
        sockets=limits["sockets"],
        tick=_to_microseconds(limits["tick_ms"] / 1000),
        drain_grace=_to_microseconds(rules["drain_s"]),
        fall=_to_microseconds(rules["fall_s"]),
        fall_multiple=rules["fall_multiple"],
        answer_grace=_to_microseconds(rules["grace_ms"] / 1000),
        overshare=rules["overshare"],
        goal=(goal["whole"], goal["worst_window"], goal["worst_class"], goal["worst_tenant"]),
        prices=dict(r["prices"]),
        troubles=tuple(_trouble(n, t, names, classes) for n, t in enumerate(r["troubles"])),
        faults=tuple(fault(f, f"faults[{n}]") for n, f in enumerate(r["faults"])),
    )

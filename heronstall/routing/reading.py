"""Reads routes, services and limits from the JSON document of a configuration.

The control plane accepts a configuration only if it can be read here, since dispatchers read it with the same
code. Fields that the tier does not use are ignored. A field that is missing or null has its default.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

import ujson

from heronstall.routing.routes import Route, Routes, RouteType, Service, normalize_host
from heronstall.transport.connection_limits import RequestLimits

DEFAULT_HEALTH_CHECK = "/healthz"
DEFAULT_MAX_CONNECTIONS = 64
DEFAULT_TARGET_LATENCY_MS = 1000
DEFAULT_EVENT_GAP_MS = 250
DEFAULT_COMPLETION_TARGET_MS = 10_000
DEFAULT_RETENTION_S = 60
MS_PER_SECOND = 1000

T = TypeVar("T")


class UnreadableConfiguration(ValueError):
    """A configuration cannot be used. The message names the field by its path."""


class _Fields:
    """The fields of one JSON object; each is named by its path in an error."""

    def __init__(self, value: object, path: str) -> None:
        if not isinstance(value, dict):
            raise UnreadableConfiguration(f"{path or 'document'}: an object is wanted")
        self._values: Mapping[str, Any] = value
        self._prefix = f"{path}." if path else ""

    def _read(self, key: str, kind: type[T] | tuple[type[T], ...], wanted: str) -> T | None:
        value = self._values.get(key)
        if value is None:
            return None
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            raise UnreadableConfiguration(f"{self._prefix}{key}: {wanted} is wanted")
        return value

    def require(self, key: str) -> None:
        """Raises UnreadableConfiguration if a field is missing or null."""
        if self._values.get(key) is None:
            raise UnreadableConfiguration(f"{self._prefix}{key}: missing")

    def text(self, key: str, default: str = "") -> str:
        """Returns a text; an empty one counts as missing."""
        return self._read(key, str, "a text") or default

    def flag(self, key: str) -> bool:
        """Returns a truth value."""
        return self._read(key, bool, "true or false") or False

    def number(self, key: str, default: float = 0, at_least: float | None = 0) -> float:
        """Returns a number; 0 counts as missing."""
        value: float = self._read(key, (int, float), "a number") or default
        if at_least is not None and value < at_least:
            raise UnreadableConfiguration(f"{self._prefix}{key}: at least {at_least} is wanted")
        return value

    def seconds(self, key: str, default_ms: float = 0) -> float:
        """Returns a time that the document has in milliseconds."""
        return self.number(key, default_ms) / MS_PER_SECOND

    def object(self, key: str) -> _Fields:
        """Returns the fields of an object; none if it is missing."""
        return _Fields(self._read(key, dict, "an object") or {}, f"{self._prefix}{key}")

    def objects(self, key: str) -> list[_Fields]:
        """Returns the fields of each object of a list; an empty list if it is missing."""
        values = self._read(key, list, "a list") or []
        return [_Fields(value, f"{self._prefix}{key}[{n}]") for n, value in enumerate(values)]


def parse_routes(document: bytes) -> Routes:
    """Reads an encoded configuration. Raises UnreadableConfiguration."""
    try:
        decoded = ujson.loads(document)
    except ValueError as error:
        raise UnreadableConfiguration(f"document: {error}") from error
    return read_routes(decoded)


def read_routes(document: object) -> Routes:
    """Reads a decoded configuration. Raises UnreadableConfiguration."""
    fields = _Fields(document, "")
    for key in ("revision", "routes", "services"):
        fields.require(key)
    routes = Routes(revision=int(fields.number("revision")), limits=_read_limits(fields.object("limits")))
    for service in map(_read_service, fields.objects("services")):
        routes.services[service.name] = service
    for route in map(_read_route, fields.objects("routes")):
        routes.by_host.setdefault(route.host, []).append(route)
    for host_routes in routes.by_host.values():
        host_routes.sort(key=lambda route: -len(route.path_prefix))
    return routes


def _read_service(fields: _Fields) -> Service:
    fields.require("name")
    engine = fields.object("engine")
    return Service(
        name=fields.text("name"),
        health_check=fields.text("health_check", DEFAULT_HEALTH_CHECK),
        max_connections=int(fields.number("max_connections", DEFAULT_MAX_CONNECTIONS)),
        capacity=int(engine.number("capacity")),
        cache_tokens=int(engine.number("kv_cache_tokens")),
    )


def _read_route(fields: _Fields) -> Route:
    for key in ("name", "hostname", "path_prefix", "timeout_ms"):
        fields.require(key)
    return Route(
        name=fields.text("name"),
        host=normalize_host(fields.text("hostname")),
        path_prefix=fields.text("path_prefix"),
        type=_route_type(fields.text("route_type")),
        targets=_read_targets(fields),
        timeout=fields.seconds("timeout_ms"),
        target_latency=fields.seconds("target_latency_ms", DEFAULT_TARGET_LATENCY_MS),
        priority=int(fields.number("priority", at_least=None)),
        max_attempts=max(1, int(fields.number("max_attempts"))),
        resumable=fields.flag("resumable"),
        target_event_gap=fields.seconds("gap_aim_ms", DEFAULT_EVENT_GAP_MS),
        completion_target=fields.seconds("completion_target_ms", DEFAULT_COMPLETION_TARGET_MS),
        retention=fields.number("retention_s", DEFAULT_RETENTION_S),
        max_queued_tokens=int(fields.number("max_queued_tokens")),
    )


def _route_type(name: str) -> RouteType:
    """Returns the type of a route. Requests of a missing or unknown type may run once at most."""
    try:
        return RouteType(name)
    except ValueError:
        return RouteType.NON_IDEMPOTENT


def _read_targets(fields: _Fields) -> tuple[tuple[str, float], ...]:
    targets = []
    for part in fields.objects("traffic_split"):
        part.require("service")
        part.require("weight")
        targets.append((part.text("service"), float(part.number("weight"))))
    if not targets:
        fields.require("service")
        targets.append((fields.text("service"), 1.0))
    return tuple(targets)


def _read_limits(fields: _Fields) -> RequestLimits:
    defaults = RequestLimits()
    return RequestLimits(
        header_bytes=int(fields.number("max_header_bytes", defaults.header_bytes)),
        body_bytes=int(fields.number("max_body_bytes", defaults.body_bytes)),
        header_timeout=fields.seconds("header_timeout_ms", defaults.header_timeout * MS_PER_SECOND),
        idle_timeout=fields.seconds("idle_timeout_ms", defaults.idle_timeout * MS_PER_SECOND),
    )

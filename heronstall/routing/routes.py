"""Routes, services and limits of the operator's configuration, as both programs use them."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

from heronstall.transport.connection_limits import RequestLimits

DEFERRABLE_LATENCY_RATIO = 2.0  # a route with this multiple of the shortest target latency can be deferred


class RouteType(Enum):
    """The kind of a route, which decides whether its requests may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    BATCH = "batch"


@dataclass(frozen=True)
class Route:
    """A route. Times are in seconds."""

    name: str
    host: str
    path_prefix: str
    type: RouteType
    targets: tuple[tuple[str, float], ...]  # service, weight
    timeout: float
    target_latency: float
    priority: int
    max_attempts: int
    resumable: bool  # as configured; `resumes_streams` tells whether it has an effect
    target_event_gap: float
    completion_target: float
    retention: float
    max_queued_tokens: int

    @property
    def resumes_streams(self) -> bool:
        """Whether a stream of this route may be continued at another worker.

        The configuration may have `resumable` on a route of any type; it concerns streams alone.
        """
        return self.type is RouteType.STREAMING and self.resumable

    @property
    def repeatable(self) -> bool:
        """Whether a request of this route may run more than once."""
        return self.type is RouteType.IDEMPOTENT or self.resumes_streams

    @property
    def services(self) -> tuple[str, ...]:
        """The services that receive traffic."""
        return tuple({service: None for service, weight in self.targets if weight > 0})

    def draw_service(self, rng: random.Random) -> str:
        """Returns a service drawn by the route's traffic weights."""
        if len(self.targets) == 1:
            return self.targets[0][0]
        return rng.choices([t[0] for t in self.targets], [t[1] for t in self.targets])[0]


@dataclass(frozen=True)
class Service:
    """A service of the configuration."""

    name: str
    health_check: str
    max_connections: int
    capacity: int
    cache_tokens: int


@dataclass
class Routes:
    """All routes, services and limits of one configuration, which does not change once it has been read."""

    revision: int = 0
    by_host: dict[str, list[Route]] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    limits: RequestLimits = RequestLimits()

    def find(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest matching path prefix."""
        for route in self.by_host.get(normalize_host(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def is_deferrable(self, route: Route) -> bool:
        """Whether a live route has a low priority, or a target latency well above the shortest one."""
        live = [r for routes in self.by_host.values() for r in routes if r.type is not RouteType.BATCH]
        top = min(r.priority for r in live)
        shortest = min(r.target_latency for r in live)
        return route.priority > top or route.target_latency >= DEFERRABLE_LATENCY_RATIO * shortest

    def batch_routes(self) -> list[Route]:
        """Returns the routes for batch jobs."""
        return [r for routes in self.by_host.values() for r in routes if r.type is RouteType.BATCH]

    def batch_route(self, host: str, name: str) -> Route | None:
        """Returns the route for batch jobs with this host and name: the one that accepted a job."""
        return self._batch_routes_by_name.get((host, name))

    @cached_property
    def _batch_routes_by_name(self) -> dict[tuple[str, str], Route]:
        return {(route.host, route.name): route for route in self.batch_routes()}

    def batch_hosts(self) -> set[str]:
        """Returns the hosts that have a route for batch jobs."""
        return {route.host for route in self.batch_routes()}


def normalize_host(host: str) -> str:
    """Returns the name of a Host header without its port, in lower case."""
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdigit() else host).lower()

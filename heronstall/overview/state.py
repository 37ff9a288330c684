"""The state of a tier as its nodes report it, and its problems. Does no I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from enum import Enum
from typing import Any


class NodeState(Enum):
    """How a node replies."""

    FINE = "fine"
    OUT_OF_TOUCH = "out of touch"  # it has not heard from a leader recently and withholds its state
    SILENT = "silent"


@dataclass
class ControlNode:
    """A core node and the versions of the state that it serves to dispatchers."""

    address: str
    state: NodeState
    versions: dict[str, int] = field(default_factory=dict)


@dataclass
class ReplicaView:
    """A replica of a batch shard. `owner` tells whether it considers itself the owner."""

    replica: str
    state: NodeState
    owner: bool = False


@dataclass
class BatchShardView:
    """A batch shard and its replicas."""

    shard: str
    replicas: list[ReplicaView]


@dataclass
class ServiceView:
    """The number of a service's workers by state, and of the routes to it."""

    service: str
    ready: int = 0
    draining: int = 0
    capacity: int = 0  # slots of the ready workers
    routes: int = 0


@dataclass
class Overview:
    """The collected state of the tier."""

    revision: int = 0
    dispatchers: int = 0
    control: list[ControlNode] = field(default_factory=list)
    batch: list[BatchShardView] = field(default_factory=list)
    services: list[ServiceView] = field(default_factory=list)

    def problems(self) -> list[str]:
        """Returns the problems that need attention, the most severe first."""
        return [
            *self._control_problems(),
            *(text for shard in self.batch for text in _shard_problems(shard)),
            *(text for service in self.services for text in _service_problems(service)),
        ]

    def _control_problems(self) -> list[str]:
        found = []
        fine = sum(node.state is NodeState.FINE for node in self.control)
        if 2 * fine <= len(self.control):
            found.append(f"{fine} of {len(self.control)} core nodes are in touch: no majority")
        found += [
            f"core node {node.address} is {node.state.value}"
            for node in self.control
            if node.state is not NodeState.FINE
        ]
        if not self.revision:
            found.append("no configuration is in force")
        if not self.dispatchers:
            found.append("no dispatcher has a session")
        return found

    def record(self) -> dict[str, Any]:
        """Returns the overview with its problems as a JSON object."""
        plain: dict[str, Any] = _enum_values(asdict(self))
        return {**plain, "problems": self.problems()}


def _shard_problems(shard: BatchShardView) -> list[str]:
    owners = [replica.replica for replica in shard.replicas if replica.owner]
    found = []
    if not shard.replicas:
        found.append(f"{shard.shard} has no replicas")
    elif not owners:
        found.append(f"{shard.shard} has no owner")
    elif len(owners) > 1:
        found.append(f"{shard.shard}: {', '.join(owners)} say that they own it")
    found += [
        f"{shard.shard}: replica {replica.replica} is {replica.state.value}"
        for replica in shard.replicas
        if replica.state is not NodeState.FINE
    ]
    return found


def _service_problems(service: ServiceView) -> list[str]:
    if service.routes and not service.ready:
        return [f"service {service.service} has {service.routes} routes and no ready worker"]
    return []


def service_views(document: dict[str, Any], workers: Iterable[tuple[str, str, int]]) -> list[ServiceView]:
    """Returns the services of the configuration's routes and of the workers (service, state, capacity)."""
    found: dict[str, ServiceView] = {}
    for name, count in _route_counts(document).items():
        found[name] = ServiceView(name, routes=count)
    for service, state, capacity in workers:
        view = found.setdefault(service, ServiceView(service))
        if state == "ready":
            view.ready += 1
            view.capacity += capacity
        else:
            view.draining += 1
    return sorted(found.values(), key=lambda view: view.service)


def _route_counts(document: dict[str, Any]) -> Counter[str]:
    counts: Counter[str] = Counter()
    for route in document.get("routes", []):
        parts = route.get("traffic_split") or [{"service": route.get("service"), "weight": 1}]
        counts.update({str(part["service"]) for part in parts if part.get("service")})
    return counts


def _enum_values(value: Any) -> Any:
    """Replaces enum members by their values, also in nested containers."""
    if isinstance(value, dict):
        return {key: _enum_values(inner) for key, inner in value.items()}
    if isinstance(value, list):
        return [_enum_values(inner) for inner in value]
    return value.value if isinstance(value, Enum) else value

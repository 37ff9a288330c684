"""The operator's configuration: its types, which pyserde deserializes, and its validation."""

from __future__ import annotations

import serde
from result import Ok, Result
from serde import field

from heronstall.controlplane.state.documents import ConfigFault, Document, Fault, fault_result


@serde.serde
class Split:
    """A service that receives a share of a route's traffic."""

    service: str
    weight: int | float


@serde.serde
class Route:
    """The validated fields of a route."""

    name: str
    hostname: str
    path_prefix: str
    timeout_ms: int | float
    route_type: str = "idempotent"
    service: str | None = None
    traffic_split: list[Split] = field(default_factory=list)


@serde.serde
class Service:
    """The validated fields of a service."""

    name: str


@serde.serde
class OperatorConfig:
    """The validated fields of a configuration."""

    revision: int
    routes: list[Route]
    services: list[Service]


def apply_patch(current: Document, patch: Document) -> Result[Document, Fault]:
    """Returns the document that results from applying a PATCH to the current one."""
    document = dict(current)
    document["revision"] = patch.get("revision")
    upsert, remove = patch.get("upsert", {}), patch.get("remove", {})
    if not isinstance(upsert, dict) or not isinstance(remove, dict):
        return fault_result(ConfigFault.WRONG_TYPE, "upsert, remove: objects are wanted")
    for key, names in remove.items():
        if not isinstance(names, list):
            return fault_result(ConfigFault.WRONG_TYPE, f"remove.{key}: a list is wanted")
        document[key] = [x for x in document.get(key, []) if x.get("name") not in names]
    for key, items in upsert.items():
        if isinstance(items, dict):
            document[key] = {**document.get(key, {}), **items}
            continue
        if not isinstance(items, list) or not all(isinstance(x, dict) and "name" in x for x in items):
            return fault_result(ConfigFault.WRONG_TYPE, f"upsert.{key}: a list of named items is wanted")
        if len({str(x["name"]) for x in items}) < len(items):
            return fault_result(ConfigFault.DUPLICATE, f"upsert.{key}: a name stands twice")
        new = {x["name"]: x for x in items}
        merged = [new.pop(x["name"], x) for x in document.get(key, [])]
        document[key] = [*merged, *new.values()]
    return Ok(document)


def validate(document: Document, current_revision: int) -> Result[OperatorConfig, Fault]:
    """Validates a document that is to replace the current revision."""
    revision = document.get("revision")
    if isinstance(revision, bool) or not isinstance(revision, int):
        return fault_result(ConfigFault.WRONG_TYPE, "revision: a whole number is wanted")
    try:
        config = serde.from_dict(OperatorConfig, document)
    except Exception as error:  # pyserde passes on any exception of a value's conversion
        return fault_result(ConfigFault.WRONG_TYPE, str(error))
    if revision <= current_revision:
        return fault_result(
            ConfigFault.OLD_REVISION,
            f"revision {revision} is not above {current_revision}",
        )
    for name, items in (("routes", config.routes), ("services", config.services)):
        if len({x.name for x in items}) < len(items):
            return fault_result(ConfigFault.DUPLICATE, f"{name}: a name stands twice")
    return _validate_routes(config)


def _validate_routes(config: OperatorConfig) -> Result[OperatorConfig, Fault]:
    services = {s.name for s in config.services}
    route_matches: set[tuple[str, str]] = set()
    for route in config.routes:
        route_match = (route.hostname.lower(), route.path_prefix)
        if route_match in route_matches:
            return fault_result(
                ConfigFault.SAME_PLACE, f"{route.name}: another route has this host and prefix"
            )
        route_matches.add(route_match)
        if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
            return fault_result(
                ConfigFault.BAD_PREFIX, f"{route.name}: path_prefix must begin and end with a slash"
            )
        targets = {s.service for s in route.traffic_split} | ({route.service} if route.service else set())
        unknown = targets - services
        if unknown or not targets:
            return fault_result(
                ConfigFault.UNKNOWN_SERVICE, f"{route.name}: unknown service {sorted(unknown)}"
            )
        weights = [s.weight for s in route.traffic_split]
        if weights and (sum(weights) <= 0 or min(weights) < 0):
            return fault_result(
                ConfigFault.NO_WEIGHT,
                f"{route.name}: the weights sum to 0",
            )
        if not route.timeout_ms > 0:
            return fault_result(ConfigFault.NO_TIMEOUT, f"{route.name}: timeout_ms must be above 0")
    return Ok(config)

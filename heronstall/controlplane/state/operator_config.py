"""The operator's configuration: its types, which pyserde deserializes, and its validation."""

from __future__ import annotations

import serde
from result import Ok, Result

from heronstall.controlplane.state.documents import ConfigFault, Document, Fault, fault_result
from heronstall.routing.reading import UnreadableConfiguration, read_routes
from heronstall.routing.routes import normalize_host


@serde.serde
class Split:
    """A service that receives a share of a route's traffic."""

    service: str
    weight: int | float


@serde.serde
class Route:
    """The fields of a route that are compared with others; dispatchers' own code checks the rest."""

    name: str
    hostname: str
    path_prefix: str
    timeout_ms: int | float
    service: str | None = None
    traffic_split: list[Split] | None = None


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
        current_items = _named_items(document.get(key, []))
        if current_items is None:
            return fault_result(ConfigFault.WRONG_TYPE, f"remove.{key}: {key} has no named items")
        document[key] = [item for name, item in current_items.items() if name not in names]
    for key, items in upsert.items():
        merged = _merge(document.get(key), items)
        if merged is None:
            return fault_result(ConfigFault.WRONG_TYPE, f"upsert.{key}: a list of named items is wanted")
        if isinstance(items, list) and len({item["name"] for item in items}) < len(items):
            return fault_result(ConfigFault.DUPLICATE, f"upsert.{key}: a name stands twice")
        document[key] = merged
    return Ok(document)


def _named_items(items: object) -> dict[str, Document] | None:
    """Returns the items of a list by name, or None if it is not a list of named objects."""
    if not isinstance(items, list):
        return None
    if not all(isinstance(item, dict) and isinstance(item.get("name"), str) for item in items):
        return None
    return {item["name"]: item for item in items}


def _merge(current: object, items: object) -> Document | list[Document] | None:
    """Returns a part of the document with items added or replaced, or None if it has no such items."""
    if isinstance(items, dict) and (current is None or isinstance(current, dict)):
        return {**(current or {}), **items}
    known, new = _named_items(current or []), _named_items(items)
    return None if known is None or new is None else list({**known, **new}.values())


def validate(document: Document, current_revision: int) -> Result[OperatorConfig, Fault]:
    """Validates a document that is to replace the current revision."""
    revision = document.get("revision")
    if isinstance(revision, bool) or not isinstance(revision, int):
        return fault_result(ConfigFault.WRONG_TYPE, "revision: a whole number is wanted")
    unreadable = _reading_fault(document)
    try:
        config = serde.from_dict(OperatorConfig, document)
    except Exception as error:  # pyserde passes on any exception of a value's conversion
        return fault_result(ConfigFault.WRONG_TYPE, unreadable or str(error))
    if revision <= current_revision:
        return fault_result(
            ConfigFault.OLD_REVISION,
            f"revision {revision} is not above {current_revision}",
        )
    for name, items in (("routes", config.routes), ("services", config.services)):
        if len({x.name for x in items}) < len(items):
            return fault_result(ConfigFault.DUPLICATE, f"{name}: a name stands twice")
    valid = _validate_routes(config)
    if isinstance(valid, Ok) and unreadable:
        return fault_result(ConfigFault.WRONG_TYPE, unreadable)
    return valid


def _reading_fault(document: Document) -> str:
    """Returns why dispatchers could not read a document, by their own code; "" if they can."""
    try:
        read_routes(document)
    except UnreadableConfiguration as error:
        return str(error)
    return ""


def _validate_routes(config: OperatorConfig) -> Result[OperatorConfig, Fault]:
    services = {s.name for s in config.services}
    route_matches: set[tuple[str, str]] = set()
    for route in config.routes:
        route_match = (normalize_host(route.hostname), route.path_prefix)
        if route_match in route_matches:
            return fault_result(
                ConfigFault.SAME_PLACE, f"{route.name}: another route has this host and prefix"
            )
        route_matches.add(route_match)
        if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
            return fault_result(
                ConfigFault.BAD_PREFIX, f"{route.name}: path_prefix must begin and end with a slash"
            )
        split = route.traffic_split or []
        targets = {s.service for s in split} | ({route.service} if route.service else set())
        unknown = targets - services
        if unknown or not targets:
            return fault_result(
                ConfigFault.UNKNOWN_SERVICE, f"{route.name}: unknown service {sorted(unknown)}"
            )
        weights = [s.weight for s in split]
        if weights and (sum(weights) <= 0 or min(weights) < 0):
            return fault_result(
                ConfigFault.NO_WEIGHT,
                f"{route.name}: the weights sum to 0",
            )
        if not route.timeout_ms > 0:
            return fault_result(ConfigFault.NO_TIMEOUT, f"{route.name}: timeout_ms must be above 0")
    return Ok(config)

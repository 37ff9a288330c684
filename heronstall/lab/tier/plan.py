"""Which nodes a local tier has, where they listen, and their settings files."""

from __future__ import annotations

import json
import random
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

FRONT, READY, CONTROL, INTERNAL, WORKER = 8161, 8167, 8166, 7720, 9000  # ports
LAST_OCTETS = {"core": 11, "storage": 31, "edge": 51, "worker": 101}  # of the first machine of a kind
MOST = 20  # machines of a kind: their addresses must not meet
MOST_EDGES = 200
EDGES_A_NET = 49  # further ones have addresses in the next nets
MEMORY_MB, DISK_MB, DESCRIPTORS = 300, 400, 1000
HEARTBEAT_MS = 600
GRACE = 8  # seconds that a node may take to end
PLAN_FILE = "tier.json"


class PlanError(ValueError):
    """A plan that can't be had; the message names the setting."""


@dataclass(frozen=True)
class Sizes:
    """Numbers of machines."""

    cores: int = 3
    stores: int = 3
    edges: int = 2
    workers: int = 1

    def __post_init__(self) -> None:
        for name, least in (("cores", 3), ("stores", 3), ("edges", 1), ("workers", 1)):
            most = MOST_EDGES if name == "edges" else MOST
            if not least <= getattr(self, name) <= most:
                raise PlanError(f"{name}: {getattr(self, name)} is not between {least} and {most}")

    def options(self) -> str:
        """As options of the command line."""
        return " ".join(f"--{name} {count}" for name, count in asdict(self).items())


@dataclass(frozen=True)
class Plan:
    """Addresses of all machines. One counted machine (a core or storage node) may be lost."""

    folder: Path
    net: str
    sizes: Sizes = field(default_factory=Sizes)
    limits: Mapping[str, int] = field(default_factory=dict)  # of each machine, in place of the usual ones

    @property
    def cores(self) -> list[str]:
        """Addresses of core nodes."""
        return self._addresses("core", self.sizes.cores)

    @property
    def stores(self) -> list[str]:
        """Addresses of storage nodes."""
        return self._addresses("storage", self.sizes.stores)

    @property
    def edges(self) -> list[str]:
        """Addresses of dispatchers."""
        return self._addresses("edge", self.sizes.edges)

    @property
    def workers(self) -> list[str]:
        """Addresses of workers, with ports."""
        return [f"{ip}:{WORKER}" for ip in self._addresses("worker", self.sizes.workers)]

    @property
    def fronts(self) -> list[str]:
        """Where dispatchers take clients' requests."""
        return [f"{ip}:{FRONT}" for ip in self.edges]

    @property
    def controls(self) -> list[str]:
        """Where core nodes take the operator's orders and workers' heartbeats."""
        return [f"{ip}:{CONTROL}" for ip in self.cores]

    @property
    def nodes(self) -> list[str]:
        """Addresses of all nodes of the tier."""
        return [*self.cores, *self.stores, *self.edges]

    def disk(self, ip: str) -> Path:
        """The folder that stands for a node's disk."""
        return self.folder / f"disk-{ip}"

    def log(self, ip: str) -> Path:
        """The file with what a node has logged."""
        return self.folder / f"{ip}.log"

    def machine_class(self, ip: str) -> str:
        """Class of a node's machine."""
        return "core" if ip in self.cores else "storage" if ip in self.stores else "edge"

    def write_settings(self, ip: str, bootstrap: bool, bounds: dict[str, float]) -> Path:
        """Write a node's settings file; its path."""
        path = self.folder / f"{ip}.json"
        path.write_text(json.dumps(self._settings(ip, bootstrap, bounds), indent=1), encoding="utf-8")
        return path

    def _addresses(self, kind: str, count: int) -> list[str]:
        first, second, third = (int(part) for part in self.net.split("."))
        nets = [f"{first}.{second}.{third + n}" for n in range(1 + count // EDGES_A_NET)]
        return [f"{nets[n // EDGES_A_NET]}.{LAST_OCTETS[kind] + n % EDGES_A_NET}" for n in range(count)]

    def _settings(self, ip: str, bootstrap: bool, bounds: dict[str, float]) -> dict[str, Any]:
        machine_class = self.machine_class(ip)
        listen = {
            "core": {"control": f"{ip}:{CONTROL}"},
            "storage": {},
            "edge": {"front": f"{ip}:{FRONT}", "readiness": f"{ip}:{READY}"},
        }[machine_class]
        return {
            "node_name": f"{machine_class}-{ip}",
            "role": machine_class,
            "machine_class": machine_class,
            "ip": ip,
            "zone": f"zone-{ip[-1]}",
            "zones": {},
            "listen": listen,
            "port_range": [INTERNAL, INTERNAL + 15],
            "seed_nodes": self.controls,
            "bootstrap": bootstrap,
            "limits": {
                "memory_mb": MEMORY_MB,
                "disk_mb": DISK_MB,
                "max_fds": DESCRIPTORS,
                **self.limits,
            },
            "data_dir": None if machine_class == "edge" else str(self.disk(ip)),
            "heartbeat_ms": HEARTBEAT_MS,
            "fault_tolerance": {"machines": 1},
            "bounds": {"grace_s": GRACE, **bounds},
        }


def drawn(folder: Path, sizes: Sizes | None = None, limits: Mapping[str, int] | None = None) -> Plan:
    """A plan for a first start, with addresses that no other local tier is likely to have."""
    net = f"127.{random.randrange(10, 250)}.{random.randrange(250)}"
    return Plan(folder, net, sizes or Sizes(), limits or {})


def keep(plan: Plan) -> None:
    """Write a plan down, so that the next start finds the same machines."""
    text = json.dumps({"net": plan.net, **asdict(plan.sizes)}) + "\n"
    (plan.folder / PLAN_FILE).write_text(text, encoding="utf-8")


def kept(folder: Path) -> Plan | None:
    """The plan that was written down in a folder; None where there is none. Raises PlanError."""
    path = folder / PLAN_FILE
    if not path.exists():
        return None
    try:
        found = json.loads(path.read_text(encoding="utf-8"))
        net = found.pop("net")
        return Plan(folder, str(net), Sizes(**found))
    except (OSError, ValueError, TypeError, KeyError, AttributeError) as error:
        raise PlanError(f"{path}: {error}") from error

"""Builds the simulated fleet of a scenario and seed, to be driven by a given timeline."""

from __future__ import annotations

from typing import Any

import numpy as np

from heronstall.fleet.client import ClientBalancer, ClientRetries
from heronstall.fleet.discovery import DiscoveryService, Endpoint
from heronstall.fleet.server import RepeatFilter, Server
from heronstall.fleet.spec import Scenario
from heronstall.fleet.streams import Streams
from heronstall.fleet.timeline import Timeline
from heronstall.fleet.traffic import Request, mean_work, quotas, requests
from heronstall.fleet.troubles import Dispatchers, TroubleSchedule
from heronstall.fleet.zone_network import ZoneNetwork


def kinds_of_servers(scenario: Scenario, streams: Streams) -> list[int]:
    """Returns the kind of each server, in random order, as close to the kinds' shares as possible."""
    shares = np.asarray([k.share for k in scenario.kinds])
    count = scenario.servers
    edges = np.round(np.cumsum(shares) / shares.sum() * count).astype(int)
    kinds = np.searchsorted(edges, np.arange(count), side="right").clip(0, len(shares) - 1)
    return [int(kinds[n]) for n in streams.of("kinds").permutation(count)]


def zones_of_servers(scenario: Scenario) -> list[int]:
    """Returns the zone of each server."""
    return [z for z, zone in enumerate(scenario.zones) for _ in range(zone.servers)]


def zones_of_dispatchers(scenario: Scenario) -> list[int]:
    """Returns the zone of each dispatcher."""
    return [z for z, zone in enumerate(scenario.zones) for _ in range(zone.dispatchers)]


class Plan:
    """The parts of a run that are determined before it starts: traffic, quotas and clients.

    Needs no timeline.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.streams = streams = Streams(seed)
        kinds = kinds_of_servers(scenario, streams)
        speeds = [
            streams.draw_from(scenario.kinds[k].speed, "server", n, "speed") for n, k in enumerate(kinds)
        ]
        self.capacity = sum(speed * scenario.kinds[k].cores for speed, k in zip(speeds, kinds, strict=True))
        self.means = mean_work(scenario, streams)
        self.quota = quotas(scenario, self.capacity, self.means)
        self.requests: list[Request] = requests(scenario, streams, self.quota)
        self.client_retries = ClientRetries(scenario, streams)
        self.client_balancer = ClientBalancer(scenario, streams)

    @property
    def load(self) -> float:
        """Returns the offered work relative to what the warm fleet can do during the run."""
        return sum(r.work for r in self.requests) / (self.capacity * self.scenario.length)


class Fleet:
    """The server side of a run: servers, network, discovery and troubles."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        timeline: Timeline,
        endpoint: Endpoint,
        dispatchers: Dispatchers | None,
    ) -> None:
        streams = Streams(seed)
        self.scenario = scenario
        self.network = ZoneNetwork(scenario, streams, timeline)
        repeats = [RepeatFilter() for _ in scenario.zones]
        kinds, zones = kinds_of_servers(scenario, streams), zones_of_servers(scenario)
        self.servers = [
            Server(scenario, streams, timeline, n, zone, kind, repeats[zone])
            for n, (zone, kind) in enumerate(zip(zones, kinds, strict=True))
        ]
        self.discovery = DiscoveryService(scenario, streams, timeline, self.servers, endpoint)
        self.troubles = TroubleSchedule(
            scenario, streams, timeline, self.servers, self.network, self.discovery, dispatchers
        )


def settings_of(plan: Plan, node: int) -> dict[str, Any]:
    """Returns the settings object of a dispatcher, with the names and units of the platform."""
    s = plan.scenario
    zones = zones_of_dispatchers(s)
    return {
        "areas": [z.name for z in s.zones],
        "balancers": s.dispatchers,
        "callers": {"marksRetry": False},
        "discovery": "pushed",
        "family": "jobs",
        "familyInfo": {
            "classKind": [-1] * len(s.classes),
            "classPriority": [c.priority for c in s.classes],
            "classStretch": [c.stretch for c in s.classes],
            "progress": s.progress if s.notes else 0,
            "reportX0": "free slots",
            "tellsStart": s.notes,
        },
        "flavors": [k.name for k in s.kinds],
        "loadReport": {
            "fields": ["failed_ps", "busy_reqs", "cpu_share", "x0"],
            "via": {"answers": "piggyback", "probe": "pull", "none": "silent"}[s.reports],
        },
        "me": node,
        "myZone": zones[node],
        "overShareWorth": s.overshare,
        "policyLimits": {
            "cancelling": True,
            "connectTimeout": s.connect_timeout,
            "keepalive": s.keepalive,
            "maxAttempts": s.attempts,
            "maxRetryAfter": s.retry_after,
            "parallelTries": False,
            "probes": s.probes,
            "retryAfter": True,
        },
        "rules": {
            "askWithin": 10_000_000,
            "cold": max(k.cold for k in s.kinds),
            "coldFrom": min(k.cold_from for k in s.kinds),
            "drainGrace": s.drain_grace,
            "fall": s.fall,
            "fallMultiple": s.fall_multiple,
            "graceToAnswer": s.answer_grace,
        },
        "services": [
            {
                "name": c.name,
                "aim": c.aim,
                "deadline": c.deadline,
                "effect": c.effect,
                "group": c.group,
                "repeatWindow": c.window,
                "worth": c.worth,
                "lateWorth": 0.0,
                "streamed": False,
            }
            for c in s.classes
        ],
        "tenants": [
            {"name": t.name, "share": t.share, "quotaPerS": round(q, 3)}
            for t, q in zip(s.tenants, plan.quota, strict=True)
        ],
        "tick": s.tick,
        "worthBy": "work",
    }


def report_object(report: Any) -> dict[str, float]:
    """Returns a load report with its field names on the wire."""
    return {"eps": report.eps, "inflight": report.inflight, "util": report.util, "x0": report.free}

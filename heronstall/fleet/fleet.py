"""A fleet of one scenario and seed: every part made and wired, ready for whoever brings the timeline."""

from __future__ import annotations

from typing import Any

import numpy as np

from heronstall.fleet.caller import Callers, Front
from heronstall.fleet.roster import Endpoint, Roster
from heronstall.fleet.server import Repeats, Server
from heronstall.fleet.spec import Scenario
from heronstall.fleet.streams import Streams
from heronstall.fleet.timeline import Timeline
from heronstall.fleet.traffic import Request, mean_work, quotas, requests
from heronstall.fleet.troubles import Dispatchers, Troubles
from heronstall.fleet.ways import Ways


def kinds_of_servers(scenario: Scenario, streams: Streams) -> list[int]:
    """The kind of each server: as near the kinds' shares as whole servers allow, in a drawn order."""
    shares = np.asarray([k.share for k in scenario.kinds])
    count = scenario.servers
    edges = np.round(np.cumsum(shares) / shares.sum() * count).astype(int)
    kinds = np.searchsorted(edges, np.arange(count), side="right").clip(0, len(shares) - 1)
    return [int(kinds[n]) for n in streams.of("kinds").permutation(count)]


def zones_of_servers(scenario: Scenario) -> list[int]:
    """The zone of each server."""
    return [z for z, zone in enumerate(scenario.zones) for _ in range(zone.servers)]


def zones_of_dispatchers(scenario: Scenario) -> list[int]:
    """The zone of each dispatcher."""
    return [z for z, zone in enumerate(scenario.zones) for _ in range(zone.dispatchers)]


class Plan:
    """What is known of a run before it starts: traffic, quotas, clients. Needs no timeline."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.streams = streams = Streams(seed)
        kinds = kinds_of_servers(scenario, streams)
        speeds = [streams.figure(scenario.kinds[k].speed, "server", n, "speed") for n, k in enumerate(kinds)]
        self.capacity = sum(speed * scenario.kinds[k].cores for speed, k in zip(speeds, kinds, strict=True))
        self.means = mean_work(scenario, streams)
        self.quota = quotas(scenario, self.capacity, self.means)
        self.requests: list[Request] = requests(scenario, streams, self.quota)
        self.callers = Callers(scenario, streams)
        self.front = Front(scenario, streams)

    @property
    def load(self) -> float:
        """The work asked for, as a part of what the warm fleet can do in the run's time."""
        return sum(r.work for r in self.requests) / (self.capacity * self.scenario.length)


class Fleet:
    """The servers' side of a run."""

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
        self.ways = Ways(scenario, streams, timeline)
        repeats = [Repeats() for _ in scenario.zones]
        kinds, zones = kinds_of_servers(scenario, streams), zones_of_servers(scenario)
        self.servers = [
            Server(scenario, streams, timeline, n, zone, kind, repeats[zone])
            for n, (zone, kind) in enumerate(zip(zones, kinds, strict=True))
        ]
        self.roster = Roster(scenario, streams, timeline, self.servers, endpoint)
        self.troubles = Troubles(
            scenario, streams, timeline, self.servers, self.ways, self.roster, dispatchers
        )


def settings_of(plan: Plan, node: int) -> dict[str, Any]:
    """What the platform tells a dispatcher of this site: the settings object, in its names and units."""
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
    """A load report by its names on the sockets."""
    return {"eps": report.eps, "inflight": report.inflight, "util": report.util, "x0": report.free}

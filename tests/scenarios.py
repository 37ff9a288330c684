"""Small scenarios for tests, validated by the real schema."""

from __future__ import annotations

from heronstall.fleet.spec import Scenario, scenario
from heronstall.records import loads

BASE = """package scenario
name: "test"
seconds: 8
zones: {a: {dispatchers: 1, servers: 2}, b: {dispatchers: 1, servers: 2}}
kinds: m: {cores: 4, slots: 5, speed: 1}
discovery: delay_s: 0.1
classes: {
	keyed: {effect: "keyed", aim_ms: 300, deadline_s: 3, worth: 1
		work: {kind: "lognormal", mean_ms: 150}}
	unsafe: {effect: "unsafe", group: "all", aim_ms: 300, deadline_s: 3, worth: 3, priority: 1
		work: {kind: "lognormal", mean_ms: 100}}
}
tenants: {x: share: 0.7, y: share: 0.3}
"""
RATE = "arrivals: rate_per_s: 40\n"


def small_scenario(extra: str = "", rate: str = RATE) -> Scenario:
    """Returns the small scenario with the text that a test adds."""
    return scenario(loads(BASE + rate + extra, "test.cue", ("scenario",))[1])


COLD = """troubles: [{kind: "release", at_s: 1, for_s: 1, part: 0.25}]
kinds: m: cold_from: 0.1
classes: keyed: group: "all"
"""
DRAIN = """troubles: [{kind: "release", at_s: 1, for_s: 6, part: 0.25}]
kinds: m: hands_back: false
"""
RESETS = 'troubles: [{kind: "resets", at_s: 1, for_s: 6, share: 0.4}]'
SILENT = 'troubles: [{kind: "silent", at_s: 2, for_s: 5, part: 0.5}]'

# For each planted fault: the trouble that exposes it, the rule that it breaks, and the traffic.
FAULTS: dict[str, tuple[str, str, str]] = {
    "mute": (SILENT, "one-answer", RATE),
    "again": (RESETS, "one-effect", RATE),
    "harmless": (RESETS, "one-effect", RATE),
    "deaf": (DRAIN, "drain", RATE),
    "eager": (COLD, "cold", "arrivals: rate_per_s: 90\n"),
}

"""The model: plays, repeats itself to the byte, keeps the rules, and its audit catches planted faults."""

from __future__ import annotations

import contextlib
import json
import os
import subprocess
import sys
from typing import Any
from unittest import mock

import pytest

from heronstall.fleet.fleet import Plan
from heronstall.fleet.spec import Scenario
from heronstall.model import wire
from heronstall.model.kernel import VirtualTime
from heronstall.model.run import Node, Run
from tests.plants import PLANTS
from tests.scenarios import FAULTS, small_scenario

TROUBLES = {
    "silent": '{kind: "silent", at_s: 2, for_s: 3, part: 0.25}',
    "silent-works-on": '{kind: "silent", at_s: 2, for_s: 3, part: 0.25, stands: false}',
    "vanish": '{kind: "vanish", at_s: 2, for_s: 3, part: 0.25}',
    "kill": '{kind: "kill", at_s: 2, for_s: 2, part: 0.25}',
    "release": '{kind: "release", at_s: 2, for_s: 2, part: 0.25}',
    "slow": '{kind: "slow", at_s: 2, for_s: 3, times: 2}',
    "late-reports": '{kind: "late-reports", at_s: 2, for_s: 3, add_s: 2}',
    "heavy-tail": '{kind: "heavy-tail", at_s: 2, for_s: 3, class: "keyed", share: 0.03, times: 10}',
    "zone-cut": '{kind: "zone-cut", at_s: 2, for_s: 3, zone: "a"}',
    "crash": '{kind: "dispatcher-crash", at_s: 2, for_s: 2, part: 0.5}',
    "restart": '{kind: "dispatcher-restart", at_s: 2, for_s: 2, part: 0.5}',
    "resets": '{kind: "resets", at_s: 2, for_s: 3, share: 0.1}',
    "stale": '{kind: "stale", at_s: 2, for_s: 3, after_s: 0.3}',
    "discovery-silent": '{kind: "discovery-silent", at_s: 2, for_s: 4}',
    "cold-fleet": '{kind: "cold-fleet", at_s: 2}',
    "silent-and-killed": '{kind: "silent", at_s: 2, for_s: 4}, {kind: "kill", at_s: 3, for_s: 1, part: 1}',
}


def play(scenario: Scenario, seed: int = 1, **how: Any) -> dict[str, Any]:
    return Run(scenario, seed, **how).run()


def stable(record: dict[str, Any]) -> str:
    return json.dumps({k: v for k, v in record.items() if k != "timing"})


@pytest.mark.parametrize("name", TROUBLES)
def test_every_trouble_is_played_with_all_rules_kept_and_each_request_accounted_for(name: str) -> None:
    record = play(small_scenario(f"troubles: [{TROUBLES[name]}]"))
    assert record["rules_broken"] == []
    assert record["served"] + record["refused"] + record["failed"] == record["requests"]
    assert 0.0 < record["service"] <= 1.0


def test_a_trouble_shows_and_a_calm_run_loses_nothing() -> None:
    calm = play(small_scenario())
    assert (calm["refused"], calm["failed"], calm["rules_broken"]) == (0, 0, [])
    silent = play(small_scenario('troubles: [{kind: "silent", at_s: 2, for_s: 4, part: 0.5}]'))
    assert silent["service"] < calm["service"] - 0.05


def test_one_seed_gives_the_same_bytes_in_processes_of_other_hash_seeds(tmp_path: Any) -> None:
    command = [
        sys.executable,
        "-m",
        "heronstall.cli",
        "model",
        "run",
        "scenarios/restarts.cue",
        "--seconds",
        "6",
    ]
    texts = []
    for hash_seed in ("1", "77"):
        environ = {**os.environ, "PYTHONHASHSEED": hash_seed}
        done = subprocess.run(
            [*command, "--seed", "3", "--json", "-"], capture_output=True, env=environ, check=True
        )
        texts.append(stable(json.loads(done.stdout)))
    assert texts[0] == texts[1]
    record = json.loads(texts[0])
    assert record["score"] > 0 and record["rules_broken"] == []


def test_another_rate_leaves_the_nth_jobs_draws_alone() -> None:
    slow, fast = Plan(small_scenario(), 5), Plan(small_scenario("", "arrivals: rate_per_s: 80\n"), 5)
    for a, b in zip(slow.requests, fast.requests, strict=False):
        assert (a.cls, a.tenant, a.work, a.front) == (b.cls, b.tenant, b.work, b.front)
    assert slow.requests[50].at > fast.requests[50].at


@pytest.mark.parametrize("name", FAULTS)
def test_the_audit_catches_a_module_that_breaks_just_that_rule(name: str) -> None:
    more, rule, rate = FAULTS[name]
    with contextlib.ExitStack() as patches:
        if name == "deaf":
            patches.enter_context(mock.patch.object(wire, "OFF_MARGIN", -(10**12)))
        if name == "mute":
            patches.enter_context(mock.patch.object(Node, "_too_late", lambda self, tried: None))
        record = play(small_scenario(more, rate), decisions=PLANTS[name])
    broken = {row["rule"] for row in record["rules_broken"]}
    assert broken == {rule}
    assert record["rules_broken"][0]["evidence"] or rule == "cold"
    assert play(small_scenario(more, rate))["rules_broken"] == []  # the same day with the real module


def test_calls_come_in_order_of_time_and_asking_and_cancelled_ones_never() -> None:
    time, seen = VirtualTime(), []
    time.at(5, lambda: seen.append("b"))
    time.at(3, lambda: seen.append("a"))
    time.at(5, lambda: seen.append("c"))
    time.at(4, lambda: seen.append("never")).cancel()
    time.at(3, lambda: time.soon(lambda: seen.append("soon")))
    time.run(10)
    assert seen == ["a", "soon", "b", "c"] and time.now == 10

"""Signals and agreement: what is drawn from turns, and whether two sides that differ are told apart."""

from __future__ import annotations

import json
import math
from pathlib import Path
from typing import Any

import numpy as np
import pytest
from click.testing import CliRunner

from heronstall import interface as i
from heronstall.cli import main
from heronstall.cli.validating import doubts, note_path, signals_of_model
from heronstall.model.signals import Listener, Signals
from heronstall.model.validate import agreement
from heronstall.trace.records import TraceRecord
from tests.scenarios import BASE, RATE, small_scenario

MS = 1000


def test_signals_are_drawn_from_turns_alike_for_a_run_and_a_recording() -> None:
    report, newer = i.Report(0.5), i.Report(0.6)
    turns: list[tuple[int, list[i.Event], list[i.Action]]] = [
        (0, [i.Arrival(1, 0, 10**6, work=200 * MS), i.ProbeResult(3, True, 7 * MS, report)], []),
        (5 * MS, [], [i.Send(1, 3)]),
        (9 * MS, [i.JobNote(1, 3, 0)], []),
        (20 * MS, [i.JobNote(1, 3, 0, 0.1)], []),
        (409 * MS, [i.Outcome(1, 3, 0, True, "ok", 404 * MS, newer)], []),
        (410 * MS, [i.Arrival(2, 0, 10**6)], [i.Refuse(2)]),
    ]
    live, read = Listener(), Listener()
    items: list[TraceRecord] = []
    for at, told, said in turns:
        live.observe(at, told, said)
        items += [TraceRecord(at, what) for what in (*told, *said)]
    read.read(items)
    assert live.signals == read.signals
    s = live.signals
    assert (s.queue_delay, s.start_latency, s.probe_latency) == ([5.0], [4.0], [7.0])
    assert s.report_life == [409.0] and s.run_ratio == {3: [pytest.approx(math.log(2.0))]}
    assert (s.served, s.ended) == (1, 2)


def drawn(seed: int, speed: float = 1.0, slower: float = 0.0) -> Signals:
    draws = np.random.default_rng(seed)
    s = Signals()
    s.queue_delay = list(draws.exponential(5.0, 400))
    s.start_latency = list(draws.exponential(20.0, 400) + slower)
    s.probe_latency = list(draws.exponential(20.0, 100))
    s.report_life = list(draws.normal(1000.0, 200.0, 300))
    for server in range(9):
        s.run_ratio[server] = list(
            math.log(1.0 / (0.5 + 0.05 * server)) + draws.normal(0, 0.3, 50) - math.log(speed)
        )
    return s


def test_two_of_a_kind_agree_and_what_differs_most_is_named() -> None:
    for seed in range(20):
        assert agreement(drawn(seed), drawn(100 + seed))["agrees"], seed
        fast = agreement(drawn(seed, speed=1.2), drawn(100 + seed))
        assert (fast["agrees"], fast["differs_most"]) == (False, "run_time")
    slow = agreement(drawn(1), drawn(2, slower=40.0))
    assert (slow["agrees"], slow["differs_most"]) == (False, "start_latency")
    assert agreement(drawn(1), drawn(2), (0.95, 0.85))["differs_most"] == "service"
    few = agreement(Signals(), drawn(1))
    assert few["agrees"] and few["figures"] == {} and few["differs_most"] is None


def test_servers_that_are_too_fast_show_in_the_models_own_run_times() -> None:
    honest, record = signals_of_model(small_scenario(), 1)
    fast, _ = signals_of_model(small_scenario("kinds: m: errors: 0".replace("errors: 0", "crowding: 0.5")), 1)
    assert honest.served == record["served"] and len(honest.run_ratio) == 4
    medians = [float(np.median([x for row in s.run_ratio.values() for x in row])) for s in (honest, fast)]
    assert medians[1] >= medians[0]


def test_validate_plays_both_remembers_and_comparisons_say_so(tmp_path: Path) -> None:
    path, fast = tmp_path / "s.cue", tmp_path / "fast.cue"
    path.write_text(BASE + RATE)
    fast.write_text((BASE + RATE).replace("speed: 1}", "speed: 1.5}"))
    words = ["model", "validate", str(path), "--as", str(fast), "--seconds", "6", "--json", "-"]
    done = CliRunner().invoke(main, words)
    told: dict[str, Any] = json.loads(done.stdout)
    assert not told["agrees"] and told["differs_most"] == "run_time"
    if told["verdict"] == "measured":  # a machine that is too slow gives none, and nothing is remembered
        assert done.exit_code == 1 and note_path(path).exists()
        assert doubts(path) == "the model disagreed with the lab on this scenario, most in run_time"
    note_path(path).write_text("cut off {")
    assert doubts(path) == "" and doubts(tmp_path / "other.cue") == ""

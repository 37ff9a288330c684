"""Tests of the rollout without processes: journal, plan, supervisor state, state machine and judge."""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from dataclasses import replace
from functools import cache
from pathlib import Path
from typing import Any
from unittest import mock

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from heronstall.fleet.spec import Trouble, Zone
from heronstall.keeper.calls import CallError, parse_reply, rows_reply
from heronstall.keeper.dispatcher_state import DispatcherState, Limits
from heronstall.keeper.log import JournalFile, JournalLocked
from heronstall.model.rollouts import NEW, OLD, ORIGIN, Evening, Outcome, Plant, Stage, evening
from heronstall.records import loads
from heronstall.rollout import effects, judge, machine
from heronstall.rollout.effects import BlockValue
from heronstall.rollout.figures import Snapshot, measure_points
from heronstall.rollout.journal import JournalError, Record, decode_records, encode_record
from heronstall.rollout.plan import Placement, Plan, PlanError, assign_stages, parse_plan, select_changes
from heronstall.rollout.state import State
from tests.scenarios import small_scenario

SECOND = 1_000_000
PLAN = """package rollout
name: "x"
release: "/r"
keepers: k: "a:1"
journal: "j"
stages: [{dispatchers: 1}, {part: 0.5}, {part: 1}]
before_s: 20
settle_s: 2
watch_s: 20
longest_s: 40
patience_s: 20
away: 2
every_s: 1
least_jobs: 30
"""


def make_plan(settings: str = "") -> Plan:
    return parse_plan(loads(PLAN + settings, "plan", ("rollout",))[1])


@cache
def recorded_run(*troubles: Trouble) -> Evening:
    zones = (Zone("a", 6, 8, 1.0), Zone("b", 6, 8, 1.0))
    made = small_scenario("clients: skew: 0.4\n", "arrivals: rate_per_s: 100\n")
    return evening(replace(made, zones=zones, length=170 * SECOND, troubles=troubles), 3)


def run_rollout(
    plant: Plant, plan: Plan | None = None, seed: int = 5, *troubles: Trouble, **attributes: Any
) -> Outcome:
    stage = Stage(recorded_run(*troubles), plan or make_plan(), plant, seed)
    for name, value in attributes.items():
        setattr(stage, name, value)
    return stage.play()


# ---------------------------------------------------------------------- journal


def make_journal(count: int = 5) -> bytes:
    return b"".join(encode_record(n, n, "kind", {"x": "y" * n}) for n in range(count))


@given(st.integers(0, 400))
def test_a_journal_truncated_at_any_byte_keeps_its_complete_records(at: int) -> None:
    data = make_journal()[:at]
    records, whole = decode_records(data)
    assert data[:whole].count(b"\n") == len(records) == data.count(b"\n")


@given(st.integers(0, 10_000), st.integers(1, 255))
def test_a_changed_byte_is_detected_or_is_in_the_last_record(at: int, mask: int) -> None:
    data = bytearray(make_journal())
    at %= len(data)
    data[at] ^= mask
    last = bytes(data).rstrip(b"\n").rfind(b"\n") + 1
    try:
        records, _ = decode_records(bytes(data))
    except JournalError:
        return
    assert at >= len(make_journal(4)) - 1 or last < len(make_journal(4))
    assert len(records) <= 4


def test_a_checksum_in_upper_case_is_damage() -> None:
    lines = [encode_record(0, n, "kind", {}) for n in range(40)]
    line = next(line for line in lines if line[:8] != line[:8].upper())
    assert decode_records(line[:8].upper() + line[8:]) == ([], 0)


def test_damage_a_gap_and_a_newer_version_are_reported() -> None:
    lines = make_journal().splitlines(keepends=True)
    with pytest.raises(JournalError, match="record 1 at byte .* damaged"):
        decode_records(lines[0] + lines[1].replace(b"y", b"z") + lines[2])
    with pytest.raises(JournalError, match="found record 2 where record 1 was expected"):
        decode_records(lines[0] + lines[2])
    with mock.patch("heronstall.rollout.journal.VERSION", 2):
        newer = encode_record(0, 0, "kind", {})
    with pytest.raises(JournalError, match="version 2 of record 0 is not supported, only 1"):
        decode_records(newer)
    with pytest.raises(JournalError, match="unknown kind 'dance'"):
        State.from_records([{"n": 0, "at": 0, "kind": "dance"}])


def test_a_full_disk_leaves_no_partial_record_before_later_ones(tmp_path: Path) -> None:
    with JournalFile(tmp_path / "j") as log:
        log.append("one", {"x": 1})
        real = os.write
        with mock.patch("os.write", write_partially(real)), pytest.raises(OSError, match="full"):
            log.append("two", {})
        log.append("three", {})
        with pytest.raises(JournalLocked):
            JournalFile(tmp_path / "j")
    with JournalFile(tmp_path / "j") as log:
        assert [r["kind"] for r in log.records] == ["one", "three"]


def write_partially(real: Callable[[int, bytes], int]) -> Callable[[int, bytes], int]:
    """Returns a write that accepts nine bytes and then fails with a full disk."""
    written: list[int] = []

    def write(fd: int, data: bytes) -> int:
        if written:
            raise OSError("full")
        written.append(1)
        return real(fd, data[:9])

    return write


@given(st.binary(max_size=200))
def test_a_reply_is_complete_or_an_error(data: bytes) -> None:
    try:
        reply = parse_reply(data)
    except CallError:
        return
    assert data.endswith(b"\n")
    assert reply.rows or reply.text is not None


def test_a_truncated_reply_is_an_error() -> None:
    whole = rows_reply({"a": "1", "b": "2"}).encode()
    assert parse_reply(whole).rows == {"a": "1", "b": "2"}
    for at in range(len(whole)):
        with pytest.raises(CallError):
            parse_reply(whole[:at])


# ---------------------------------------------------------------------- plan


def test_stages_take_one_then_a_share_of_each_zone_then_all_without_repeats() -> None:
    homes = {f"n{n}": Placement("k", "a" if n < 8 else "b", "old") for n in range(12)}
    made = assign_stages(make_plan(), homes)
    assert [len(names) for names in made] == [1, 5, 6]
    assert sorted(sum(made, [])) == sorted(homes)
    halves = [sum(homes[n].zone == z for n in made[0] + made[1]) for z in "ab"]
    assert halves == [4, 2]
    assert made == assign_stages(make_plan(), homes)
    firsts = {assign_stages(replace(make_plan(), digest=str(n)), homes)[0][0] for n in range(40)}
    assert len(firsts) > 5  # different plans begin with different dispatchers
    assert select_changes(["n0", "n1", "n8", "n2"], ["n3"], homes, 2) == ["n0", "n8"]


def test_a_plan_that_omits_dispatchers_or_has_a_short_time_limit_is_refused() -> None:
    for text, message in (
        ("stages: [{dispatchers: 1}]\n", "stages: the last"),
        ("watch_s: 50\n", "longest_s"),
    ):
        key = text.split(":")[0]
        body = "\n".join(line for line in PLAN.splitlines() if not line.startswith(key)) + "\n" + text
        with pytest.raises(PlanError, match=f"^{message}"):
            parse_plan(loads(body, "plan", ("rollout",))[1])


# ---------------------------------------------------------------------- the supervisor's state


class SimulatedSupervisor:
    """The state of a dispatcher with simulated processes, whose supervisor may die after any record."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.alive: dict[str, str] = {}  # digest by token
        self.now = 0
        self.place = DispatcherState("n", Limits(5, 5, 1, 8, 3, 20))

    def write(self, kind: str, **fields: Any) -> None:
        record = {"kind": kind, "at": self.now, **fields}
        self.records.append(record)
        self.place.apply(record)

    def restart(self) -> None:
        """Starts a new supervisor that replays the records of the former one."""
        self.place = DispatcherState("n", self.place.limits)
        for record in self.records:
            self.place.apply(record)
        for process in self.place.processes:
            if process.token not in self.alive:
                never_started = not process.pid
                self.write(
                    "ended", token=process.token, how="?", fault="never" if never_started else "unseen"
                )

    def poll(self, ready_digests: set[str], max_records: int = 10**9) -> bool:
        """Carries out the due actions; returns whether the supervisor died after `max_records` records."""
        for action in self.place.due_actions(self.now):
            if len(self.records) >= max_records:
                return True
            if action.kind == "start":
                token = f"t{len(self.records)}"
                self.write("start", token=token, **action.fields)
                if len(self.records) >= max_records:
                    return True  # the start is recorded, but no process exists
                self.alive[token] = action.fields["digest"]
                self.write("born", token=token, pid=1)
            elif action.kind == "tell":
                self.write("tell", **action.fields)
                if self.alive.pop(action.fields["token"], None) is not None:
                    self.write("ended", token=action.fields["token"], how="exit code 0", fault="asked")
        for process in list(self.place.processes):
            if not process.yes and process.digest in ready_digests and process.token in self.alive:
                if len(self.records) >= max_records:
                    return True
                self.write("yes", token=process.token)
        self.now += 1
        return False


def settle(supervisor: SimulatedSupervisor, ready_digests: set[str], polls: int = 40) -> None:
    for _ in range(polls):
        supervisor.poll(ready_digests)


def test_a_dispatcher_reaches_the_same_state_wherever_its_supervisor_dies() -> None:
    for max_records in range(2, 14):
        supervisor = SimulatedSupervisor()
        supervisor.write("want", digest="old", epoch=1)
        settle(supervisor, {"old", "new"}, 3)
        supervisor.write("want", digest="new", epoch=2)
        for _ in range(10):
            if supervisor.poll({"old", "new"}, max_records):
                supervisor.restart()
                max_records = 10**9
        assert list(supervisor.alive.values()) == ["new"], max_records
        assert supervisor.place.report(supervisor.now)["state"] == "serving"
        assert supervisor.place.crashes == 0


def test_the_old_process_is_not_stopped_before_the_new_one_is_ready() -> None:
    supervisor = SimulatedSupervisor()
    supervisor.write("want", digest="old", epoch=1)
    settle(supervisor, {"old"}, 3)
    supervisor.write("want", digest="bad", epoch=2)
    for _ in range(20):
        supervisor.poll({"old"})
        assert "old" in supervisor.alive.values()
        assert len(supervisor.alive) <= 2
    status = supervisor.place.report(supervisor.now)
    assert (status["state"], status["digest"], status["want"]) == ("serving", "old", "old")
    assert status["refused"].startswith("no yes in") and status["refused_digest"] == "bad"
    assert not any(r["kind"] == "tell" and r["signal"] == "TERM" for r in supervisor.records)


def test_a_reverted_change_stops_the_new_process_and_keeps_the_old_one() -> None:
    supervisor = SimulatedSupervisor()
    supervisor.write("want", digest="old", epoch=1)
    settle(supervisor, {"old"}, 3)
    supervisor.write("want", digest="new", epoch=2)
    supervisor.poll({"old"})
    assert sorted(supervisor.alive.values()) == ["new", "old"]
    supervisor.write("want", digest="old", epoch=2)
    settle(supervisor, {"old", "new"}, 5)
    assert list(supervisor.alive.values()) == ["old"]
    assert supervisor.place.refused == "" and supervisor.place.crashes == 0


def test_restart_delays_grow_and_a_crash_loop_is_reported() -> None:
    supervisor = SimulatedSupervisor()
    supervisor.write("want", digest="old", epoch=1)
    starts = []
    for _ in range(30):
        supervisor.poll({"old"})
        for token in list(supervisor.alive):
            starts.append(supervisor.now)
            supervisor.alive.pop(token)
            supervisor.write("ended", token=token, how="exit code 1", fault="own")
    gaps = [b - a for a, b in zip(starts, starts[1:], strict=False)]
    assert gaps[0] < gaps[2] <= 10 and supervisor.place.is_crash_looping(supervisor.now)
    assert supervisor.place.report(supervisor.now)["state"] == "looping"


# ---------------------------------------------------------------------- the state machine in virtual time


def test_a_harmless_release_completes_on_all_dispatchers() -> None:
    out = run_rollout(Plant())
    assert out.phase == "done", out
    assert set(out.digests.values()) == {NEW}


@pytest.mark.parametrize(
    "plant, by, expected",
    [
        (Plant(crash_after=10 * SECOND), "crash", "crashed"),
        (Plant(no_yes=True), "yes", "no yes"),
        (Plant(deaf=True), "judge", "jobs that stay away"),
        (Plant(refuses=0.3, cls=1), "judge", ""),
        (Plant(cpu=20_000), "judge", "CPU"),
        (Plant(leak_kb_s=1000), "judge", "memory"),
        (Plant(attempts=2.0, shared=0.3), "judge", "a job"),
        (Plant(slower=0.8, cls=0, better=1), "judge", ""),
    ],
)
def test_each_faulty_version_is_stopped_early_and_rolled_back(plant: Plant, by: str, expected: str) -> None:
    out = run_rollout(plant)
    assert (out.phase, out.by) == ("stopped", by), out
    assert expected in out.reason
    assert out.stage <= 1 and set(out.digests.values()) == {OLD}


def test_a_version_that_is_worse_in_one_zone_only_is_stopped() -> None:
    for zone in "ab":
        out = run_rollout(Plant(fails=0.4, zone=zone))
        assert (out.phase, out.by) == ("stopped", "judge"), out


def test_one_external_kill_restarts_the_watch_and_a_second_one_rolls_back() -> None:
    first = run_rollout(Plant())
    name = first.records[4]["dispatcher"]
    at = 30 * SECOND
    out = run_rollout(Plant(), kills=[(at, name)])
    assert out.phase == "done", out
    kinds = [r["kind"] for r in out.records]
    assert kinds.count("watch") == [r["kind"] for r in first.records].count("watch") + 1
    out = run_rollout(Plant(), kills=[(at, name), (at + 8 * SECOND, name)])
    assert (out.phase, out.by) == ("stopped", "crash"), out


@pytest.mark.parametrize(
    "trouble",
    [
        Trouble("zone-cut", 30 * SECOND, 8 * SECOND, zone="a"),
        Trouble("release", 28 * SECOND, 4 * SECOND, 0.5, "a", back=SECOND),
        Trouble("slow", 30 * SECOND, 8 * SECOND, 1.0, size=3.0),
    ],
)
def test_a_degradation_of_old_and_new_alike_is_not_attributed_to_the_release(trouble: Trouble) -> None:
    out = run_rollout(Plant(), None, 5, trouble)
    assert out.by in ("", "trouble"), out
    assert "trouble" in [r["kind"] for r in out.records] or out.phase == "done"
    degraded = False
    for r in out.records:  # during a degradation only the footprint is judged
        degraded = r["kind"] == "trouble" or (degraded and r["kind"] != "calm")
        assert not degraded or r["kind"] != "look" or r.get("foot"), r


def test_a_lasting_degradation_rolls_back_with_its_own_reason() -> None:
    out = run_rollout(Plant(), None, 5, Trouble("slow", 30 * SECOND, 130 * SECOND, 1.0, size=4.0))
    assert (out.phase, out.by) == ("stopped", "trouble"), out
    assert "does not pass" in out.reason


def test_too_little_traffic_holds_the_rollout_without_a_good_verdict() -> None:
    out = run_rollout(Plant(), replace(make_plan(), min_jobs=100_000))
    assert out.phase == "holding" and "too little to tell" in out.reason
    assert "good" not in [r["kind"] for r in out.records]


def test_an_unreachable_new_dispatcher_holds_the_rollout() -> None:
    first = run_rollout(Plant())
    name = first.records[4]["dispatcher"]
    out = run_rollout(Plant(fails=0.5), reached=lambda who, now: who != name or now < 24 * SECOND)
    assert out.phase == "holding" and out.reason == f"not heard: {name}", out


def test_a_controller_killed_after_any_record_reaches_the_same_end() -> None:
    quick = replace(
        make_plan(), baseline_time=6 * SECOND, settle_time=SECOND, watch_time=4 * SECOND, min_jobs=5
    )
    for plant, phase in ((Plant(), "done"), (Plant(crash_after=3 * SECOND), "stopped")):
        uninterrupted = Stage(recorded_run(), quick, plant, 5)
        end = uninterrupted.play()
        assert end.phase == phase
        for at in range(2, len(end.records)):
            stage = Stage(recorded_run(), quick, plant, 5)
            out = run_with_kill(stage, at)
            assert out.phase == phase, (at, out)
            assert set(out.digests.values()) == set(end.digests.values()), at
            changed = [r["dispatcher"] for r in out.records if r["kind"] == "change"]
            assert len(changed) == len(set(changed)), at  # no dispatcher is changed twice


def run_with_kill(stage: Stage, at: int) -> Outcome:
    """Runs a rollout whose controller is killed after record `at`, with a new one 2 s later."""

    class Killed(Exception):
        pass

    def kill_at_record(record: Record) -> None:
        if record["n"] == at:
            raise Killed

    for _ in range(40):
        stage.now += 50_000
        for stand in stage.stands.values():
            stage._keep(stand)
    stage.on_record = kill_at_record
    controller = stage.begin()
    while not controller.state.finished and stage.now < stage.evening.length:
        try:
            stage.tick(controller)
        except Killed:
            stage.on_record = lambda record: None
            stage.tick(None)
            stage.tick(None)
            stage.write(None, "epoch", {"epoch": controller.state.epoch + 1})
            controller = machine.RolloutStateMachine(stage.plan, stage.records)
    return stage.outcome(controller)


# ---------------------------------------------------------------------- the judge


def simulate_blocks(
    harm: float, seed: int, dispatchers: int = 12, new: int = 3, jobs: float = 200
) -> list[BlockValue]:
    """Simulates dispatchers and zones with permanent and temporary differences and a base share of 3%."""
    draw = np.random.default_rng(seed)
    dispatcher_offsets = draw.normal(0, 0.01, dispatchers)
    rows = []
    for block in range(6):
        zone_offsets = draw.normal(0, 0.01, 2)
        for n in range(dispatchers):
            is_new = block == 5 and n < new
            noise = draw.normal(0, 0.012)  # fluctuation of one dispatcher
            share = min(
                0.9, max(0.001, 0.03 + dispatcher_offsets[n] + zone_offsets[n % 2] + noise + harm * is_new)
            )
            count = draw.poisson(jobs * (1 + n % 4))
            x = draw.binomial(count, share)
            rows.append(BlockValue(f"n{n}", "ab"[n % 2], block, is_new, x / count, count, float(x)))
    return rows


def test_the_effect_is_unbiased_and_its_alarms_are_as_rare_as_stated() -> None:
    values, alarms, tries = [], 0, 400
    for seed in range(tries):
        found = effects.estimate_effects(simulate_blocks(0.0, seed), False)[""]
        values.append(found.value)
        alarms += found.p < 0.02
    assert abs(float(np.mean(values))) < 3 * float(np.std(values)) / tries**0.5
    assert alarms <= 0.02 * tries + 3 * (0.02 * tries) ** 0.5
    caught = sum(
        effects.estimate_effects(simulate_blocks(0.05, seed), False)[""].p < 0.001 for seed in range(50)
    )
    assert caught >= 40


def fit_without_dispatcher_noise(x: Any, y: Any, n: Any, count: int) -> Any:
    root = np.sqrt(n / 0.03)
    a, b = x * root[:, None], y * root
    inverse = np.linalg.pinv(a.T @ a, hermitian=True)
    return (inverse @ (a.T @ b))[-count:], np.sqrt(np.diag(inverse)[-count:]), 1000


def test_a_model_without_dispatcher_noise_raises_too_many_alarms() -> None:
    # A model that attributes all noise to single jobs underestimates it and raises too many alarms.
    alarms = 0
    with mock.patch.object(effects, "_fit", fit_without_dispatcher_noise):
        for seed in range(100):
            alarms += effects.estimate_effects(simulate_blocks(0.0, seed), False)[""].p < 0.02
    assert alarms > 8  # at a nominal rate of 2 in 100


def test_one_failure_among_few_jobs_is_not_significant() -> None:
    rows = []
    for block in range(6):
        for n in range(8):
            is_new = block == 5 and n == 0
            x = 1.0 if is_new else 0.0
            rows.append(BlockValue(f"n{n}", "a", block, is_new, x / 40, 40.0, x))
    found = effects.estimate_effects(rows, False)[""]
    assert not (found.p < 0.001 and found.exact_p < 0.001)


def test_all_shares_of_alpha_add_up_to_at_most_alpha() -> None:
    settings = make_plan()
    spent = sum(judge.look_alpha(1.0, k) for k in range(1, judge.LOOKS + 1))
    assert spent == pytest.approx(1.0)
    total = sum(judge.watch_alpha(settings, n) + judge.footprint_alpha(settings, n) for n in range(60)) * len(
        settings.stages
    )
    assert total <= settings.alpha + 1e-9


def test_rows_that_are_missing_or_unreadable_give_no_points() -> None:
    full = {"about.pid": "1", "about.born_us": "2", "taken.c": "0", "later.c": "9"}
    for name in ("served", "refused", "failed", "gone", "intime"):
        full[f"{name}.c"] = "0"
    full |= {"worth.c": "1.0", "latency.c": "no histogram", "cpu_us": "x"}
    after = {**full, "served.c": "50", "intime.c": "40", "taken.c": "50"}
    found = measure_points(Snapshot(0, full), Snapshot(SECOND, after))
    assert found["late.c"].x == 10 and "p50.c" not in found and "cpu" not in found
    assert measure_points(Snapshot(0, full), Snapshot(SECOND, {**after, "about.pid": "3"})) == {}
    draw = random.Random(1)
    for _ in range(200):
        some = {key: value for key, value in after.items() if draw.random() < 0.7}
        measure_points(Snapshot(0, full), Snapshot(SECOND, some))


def test_a_leak_is_distinguished_from_startup_growth_and_common_growth() -> None:
    at = [ORIGIN + n * SECOND for n in range(20)]
    flat = [(t, 13_000.0 + n % 3) for n, t in enumerate(at)]
    start = [(t, 13_000.0 + min(n, 5) * 900) for n, t in enumerate(at)]
    climbs = [(t, 13_000.0 + 500 * n) for n, t in enumerate(at)]
    assert judge.find_leaks({"new": climbs, "old": flat}, {"new"}, 0.001, 100) == ["new"]
    assert judge.find_leaks({"new": start, "old": flat}, {"new"}, 0.001, 100) == []
    assert judge.find_leaks({"new": climbs, "old": climbs, "o2": climbs}, {"new"}, 0.001, 100) == []

"""The rollout without processes: journal, plan, places, steps and judge, in virtual time."""

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
from heronstall.keeper.calls import CallError, parse, rows
from heronstall.keeper.log import Busy, Log
from heronstall.keeper.place import Limits, Place
from heronstall.model.rollouts import NEW, OLD, ORIGIN, Evening, Outcome, Plant, Stage, evening
from heronstall.records import loads
from heronstall.rollout import effects, judge, machine
from heronstall.rollout.effects import Row
from heronstall.rollout.figures import Snapshot, points
from heronstall.rollout.journal import JournalError, Record, pack, unpack
from heronstall.rollout.plan import Home, Plan, PlanError, moves, plan, stages
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


def planned(more: str = "") -> Plan:
    return plan(loads(PLAN + more, "plan", ("rollout",))[1])


@cache
def told(*troubles: Trouble) -> Evening:
    zones = (Zone("a", 6, 8, 1.0), Zone("b", 6, 8, 1.0))
    made = small_scenario("clients: skew: 0.4\n", "arrivals: rate_per_s: 100\n")
    return evening(replace(made, zones=zones, length=170 * SECOND, troubles=troubles), 3)


def carry(plant: Plant, plan: Plan | None = None, seed: int = 5, *troubles: Trouble, **more: Any) -> Outcome:
    stage = Stage(told(*troubles), plan or planned(), plant, seed)
    for name, value in more.items():
        setattr(stage, name, value)
    return stage.play()


# ---------------------------------------------------------------------- journal


def journal(count: int = 5) -> bytes:
    return b"".join(pack(n, n, "kind", {"x": "y" * n}) for n in range(count))


@given(st.integers(0, 400))
def test_a_journal_cut_at_any_byte_holds_the_records_before_the_cut(at: int) -> None:
    data = journal()[:at]
    records, whole = unpack(data)
    assert data[:whole].count(b"\n") == len(records) == data.count(b"\n")


@given(st.integers(0, 10_000), st.integers(1, 255))
def test_a_byte_turned_is_found_or_is_in_the_last_record(at: int, by: int) -> None:
    data = bytearray(journal())
    at %= len(data)
    data[at] ^= by
    last = bytes(data).rstrip(b"\n").rfind(b"\n") + 1
    try:
        records, _ = unpack(bytes(data))
    except JournalError:
        return
    assert at >= len(journal(4)) - 1 or last < len(journal(4))
    assert len(records) <= 4


def test_a_sum_in_other_letters_is_damage() -> None:
    lines = [pack(0, n, "kind", {}) for n in range(40)]
    line = next(line for line in lines if line[:8] != line[:8].upper())
    assert unpack(line[:8].upper() + line[8:]) == ([], 0)


def test_damage_a_gap_and_a_newer_version_are_said() -> None:
    lines = journal().splitlines(keepends=True)
    with pytest.raises(JournalError, match="record 1 at byte .* damaged"):
        unpack(lines[0] + lines[1].replace(b"y", b"z") + lines[2])
    with pytest.raises(JournalError, match="record 2 where 1 is wanted"):
        unpack(lines[0] + lines[2])
    with mock.patch("heronstall.rollout.journal.VERSION", 2):
        newer = pack(0, 0, "kind", {})
    with pytest.raises(JournalError, match="version 2 of record 0: 1 is known"):
        unpack(newer)
    with pytest.raises(JournalError, match="'dance' is not known"):
        State.of([{"n": 0, "at": 0, "kind": "dance"}])


def test_a_full_disk_leaves_no_half_record_behind_which_others_follow(tmp_path: Path) -> None:
    with Log(tmp_path / "j") as log:
        log.append("one", {"x": 1})
        real = os.write
        with mock.patch("os.write", half(real)), pytest.raises(OSError, match="full"):
            log.append("two", {})
        log.append("three", {})
        with pytest.raises(Busy):
            Log(tmp_path / "j")
    with Log(tmp_path / "j") as log:
        assert [r["kind"] for r in log.records] == ["one", "three"]


def half(real: Callable[[int, bytes], int]) -> Callable[[int, bytes], int]:
    """A write that takes nine bytes, and nothing more after that."""
    taken: list[int] = []

    def write(fd: int, data: bytes) -> int:
        if taken:
            raise OSError("full")
        taken.append(1)
        return real(fd, data[:9])

    return write


@given(st.binary(max_size=200))
def test_a_reply_is_whole_or_an_error(data: bytes) -> None:
    try:
        reply = parse(data)
    except CallError:
        return
    assert data.endswith(b"\n")
    assert reply.rows or reply.text is not None


def test_a_reply_cut_anywhere_is_no_reply() -> None:
    whole = rows({"a": "1", "b": "2"}).encode()
    assert parse(whole).rows == {"a": "1", "b": "2"}
    for at in range(len(whole)):
        with pytest.raises(CallError):
            parse(whole[:at])


# ---------------------------------------------------------------------- plan


def test_stages_take_one_then_parts_of_each_zone_then_all_and_nobody_twice() -> None:
    homes = {f"n{n}": Home("k", "a" if n < 8 else "b", "old") for n in range(12)}
    made = stages(planned(), homes)
    assert [len(names) for names in made] == [1, 5, 6]
    assert sorted(sum(made, [])) == sorted(homes)
    halves = [sum(homes[n].zone == z for n in made[0] + made[1]) for z in "ab"]
    assert halves == [4, 2]
    assert made == stages(planned(), homes)
    firsts = {stages(replace(planned(), digest=str(n)), homes)[0][0] for n in range(40)}
    assert len(firsts) > 5  # not the same unlucky one each time
    assert moves(["n0", "n1", "n8", "n2"], ["n3"], homes, 2) == ["n0", "n8"]


def test_a_plan_that_leaves_some_behind_or_waits_too_little_is_refused() -> None:
    for text, told in (
        ("stages: [{dispatchers: 1}]\n", "stages: the last"),
        ("watch_s: 50\n", "longest_s"),
    ):
        key = text.split(":")[0]
        body = "\n".join(line for line in PLAN.splitlines() if not line.startswith(key)) + "\n" + text
        with pytest.raises(PlanError, match=f"^{told}"):
            plan(loads(body, "plan", ("rollout",))[1])


# ---------------------------------------------------------------------- places


class Machine:
    """A place whose processes are made up, and whose keeper may die between any two steps."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.alive: dict[str, str] = {}  # token: digest
        self.now = 0
        self.place = Place("n", Limits(5, 5, 1, 8, 3, 20))

    def write(self, kind: str, **fields: Any) -> None:
        record = {"kind": kind, "at": self.now, **fields}
        self.records.append(record)
        self.place.apply(record)

    def again(self) -> None:
        """A new keeper reads what the former one wrote."""
        self.place = Place("n", self.place.limits)
        for record in self.records:
            self.place.apply(record)
        for process in self.place.processes:
            if process.token not in self.alive:
                never = not process.pid
                self.write("ended", token=process.token, how="?", fault="never" if never else "unseen")

    def turn(self, good: set[str], die_after: int = 10**9) -> bool:
        """One look; whether the keeper died at its `die_after`-th record."""
        for do in self.place.due(self.now):
            if len(self.records) >= die_after:
                return True
            if do.kind == "start":
                token = f"t{len(self.records)}"
                self.write("start", token=token, **do.fields)
                if len(self.records) >= die_after:
                    return True  # written, and never started
                self.alive[token] = do.fields["digest"]
                self.write("born", token=token, pid=1)
            elif do.kind == "tell":
                self.write("tell", **do.fields)
                if self.alive.pop(do.fields["token"], None) is not None:
                    self.write("ended", token=do.fields["token"], how="exit code 0", fault="asked")
        for process in list(self.place.processes):
            if not process.yes and process.digest in good and process.token in self.alive:
                if len(self.records) >= die_after:
                    return True
                self.write("yes", token=process.token)
        self.now += 1
        return False


def settled(m: Machine, good: set[str], turns: int = 40) -> None:
    for _ in range(turns):
        m.turn(good)


def test_a_place_comes_to_the_same_wherever_its_keeper_dies() -> None:
    for die_after in range(2, 14):
        m = Machine()
        m.write("want", digest="old", epoch=1)
        settled(m, {"old", "new"}, 3)
        m.write("want", digest="new", epoch=2)
        for _ in range(10):
            if m.turn({"old", "new"}, die_after):
                m.again()
                die_after = 10**9
        assert list(m.alive.values()) == ["new"], die_after
        assert m.place.told(m.now)["state"] == "serving"
        assert m.place.crashes == 0


def test_the_old_one_is_told_nothing_before_the_new_one_has_said_yes() -> None:
    m = Machine()
    m.write("want", digest="old", epoch=1)
    settled(m, {"old"}, 3)
    m.write("want", digest="bad", epoch=2)
    for _ in range(20):
        m.turn({"old"})
        assert "old" in m.alive.values()
        assert len(m.alive) <= 2
    told = m.place.told(m.now)
    assert (told["state"], told["digest"], told["want"]) == ("serving", "old", "old")
    assert told["refused"].startswith("no yes in") and told["refused_digest"] == "bad"
    assert not any(r["kind"] == "tell" and r["signal"] == "TERM" for r in m.records)


def test_a_change_turned_round_ends_the_new_one_and_leaves_the_old_one() -> None:
    m = Machine()
    m.write("want", digest="old", epoch=1)
    settled(m, {"old"}, 3)
    m.write("want", digest="new", epoch=2)
    m.turn({"old"})
    assert sorted(m.alive.values()) == ["new", "old"]
    m.write("want", digest="old", epoch=2)
    settled(m, {"old", "new"}, 5)
    assert list(m.alive.values()) == ["old"]
    assert m.place.refused == "" and m.place.crashes == 0


def test_pauses_grow_and_a_loop_of_crashes_is_told() -> None:
    m = Machine()
    m.write("want", digest="old", epoch=1)
    starts = []
    for _ in range(30):
        m.turn({"old"})
        for token in list(m.alive):
            starts.append(m.now)
            m.alive.pop(token)
            m.write("ended", token=token, how="exit code 1", fault="own")
    gaps = [b - a for a, b in zip(starts, starts[1:], strict=False)]
    assert gaps[0] < gaps[2] <= 10 and m.place.looping(m.now)
    assert m.place.told(m.now)["state"] == "looping"


# ---------------------------------------------------------------------- steps, in virtual time


def test_nothing_changed_goes_through_and_everybody_runs_the_new_release() -> None:
    out = carry(Plant())
    assert out.phase == "done", out
    assert set(out.digests.values()) == {NEW}


@pytest.mark.parametrize(
    "plant, by, part",
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
def test_each_bad_version_is_stopped_in_the_first_stages_and_all_go_back(
    plant: Plant, by: str, part: str
) -> None:
    out = carry(plant)
    assert (out.phase, out.by) == ("stopped", by), out
    assert part in out.reason
    assert out.stage <= 1 and set(out.digests.values()) == {OLD}


def test_a_version_that_is_worse_in_one_zone_alone_is_stopped_when_it_comes_there() -> None:
    for zone in "ab":
        out = carry(Plant(fails=0.4, zone=zone))
        assert (out.phase, out.by) == ("stopped", "judge"), out


def test_a_kill_by_chance_begins_the_watch_anew_and_the_second_one_sends_back() -> None:
    first = carry(Plant())
    name = first.records[4]["dispatcher"]
    at = 30 * SECOND
    out = carry(Plant(), kills=[(at, name)])
    assert out.phase == "done", out
    kinds = [r["kind"] for r in out.records]
    assert kinds.count("watch") == [r["kind"] for r in first.records].count("watch") + 1
    out = carry(Plant(), kills=[(at, name), (at + 8 * SECOND, name)])
    assert (out.phase, out.by) == ("stopped", "crash"), out


@pytest.mark.parametrize(
    "trouble",
    [
        Trouble("zone-cut", 30 * SECOND, 8 * SECOND, zone="a"),
        Trouble("release", 28 * SECOND, 4 * SECOND, 0.5, "a", back=SECOND),
        Trouble("slow", 30 * SECOND, 8 * SECOND, 1.0, size=3.0),
    ],
)
def test_a_trouble_that_hits_old_and_new_alike_is_not_blamed_on_the_change(trouble: Trouble) -> None:
    out = carry(Plant(), None, 5, trouble)
    assert out.by in ("", "trouble"), out
    assert "trouble" in [r["kind"] for r in out.records] or out.phase == "done"
    troubled = False
    for r in out.records:  # what comes in a trouble counts for nothing but the footprint
        troubled = r["kind"] == "trouble" or (troubled and r["kind"] != "calm")
        assert not troubled or r["kind"] != "look" or r.get("foot"), r


def test_a_trouble_that_does_not_pass_sends_back_and_says_that_it_could_not_tell() -> None:
    out = carry(Plant(), None, 5, Trouble("slow", 30 * SECOND, 130 * SECOND, 1.0, size=4.0))
    assert (out.phase, out.by) == ("stopped", "trouble"), out
    assert "does not pass" in out.reason


def test_too_little_traffic_is_undecided_and_holds_and_never_counts_as_good() -> None:
    out = carry(Plant(), replace(planned(), least_jobs=100_000))
    assert out.phase == "holding" and "too little to tell" in out.reason
    assert "good" not in [r["kind"] for r in out.records]


def test_a_new_dispatcher_that_is_not_heard_is_judged_by_nobody() -> None:
    first = carry(Plant())
    name = first.records[4]["dispatcher"]
    out = carry(Plant(fails=0.5), reached=lambda who, now: who != name or now < 24 * SECOND)
    assert out.phase == "holding" and out.reason == f"not heard: {name}", out


def test_a_controller_killed_after_any_record_ends_where_it_ends_uninterrupted() -> None:
    quick = replace(planned(), before=6 * SECOND, settle=SECOND, watch=4 * SECOND, least_jobs=5)
    for plant, phase in ((Plant(), "done"), (Plant(crash_after=3 * SECOND), "stopped")):
        whole = Stage(told(), quick, plant, 5)
        end = whole.play()
        assert end.phase == phase
        for at in range(2, len(end.records)):
            stage = Stage(told(), quick, plant, 5)
            out = killed(stage, at)
            assert out.phase == phase, (at, out)
            assert set(out.digests.values()) == set(end.digests.values()), at
            asked = [r["dispatcher"] for r in out.records if r["kind"] == "change"]
            assert len(asked) == len(set(asked)), at  # nobody is changed twice


def killed(stage: Stage, at: int) -> Outcome:
    """Play with the controller killed right after its `at`-th record, and a new one 2 s later."""

    class Killed(Exception):
        pass

    def look(record: Record) -> None:
        if record["n"] == at:
            raise Killed

    for _ in range(40):
        stage.now += 50_000
        for stand in stage.stands.values():
            stage._keep(stand)
    stage.on_record = look
    made = stage.begin()
    while not made.state.over and stage.now < stage.evening.length:
        try:
            stage.tick(made)
        except Killed:
            stage.on_record = lambda record: None
            stage.tick(None)
            stage.tick(None)
            stage.write(None, "epoch", {"epoch": made.state.epoch + 1})
            made = machine.Machine(stage.plan, stage.records)
    return stage.outcome(made)


# ---------------------------------------------------------------------- the judge


def blocks(harm: float, seed: int, dispatchers: int = 12, new: int = 3, jobs: float = 200) -> list[Row]:
    """Dispatchers that differ for good, zones that have their ups and downs, a share of 3% at rest."""
    draw = np.random.default_rng(seed)
    own = draw.normal(0, 0.01, dispatchers)
    made = []
    for block in range(6):
        zones = draw.normal(0, 0.01, 2)
        for n in range(dispatchers):
            is_new = block == 5 and n < new
            moves = draw.normal(0, 0.012)  # a dispatcher's own ups and downs
            part = min(0.9, max(0.001, 0.03 + own[n] + zones[n % 2] + moves + harm * is_new))
            count = draw.poisson(jobs * (1 + n % 4))
            x = draw.binomial(count, part)
            made.append(Row(f"n{n}", "ab"[n % 2], block, is_new, x / count, count, float(x)))
    return made


def test_the_effect_is_unbiased_and_its_alarms_are_as_rare_as_stated() -> None:
    values, alarms, tries = [], 0, 400
    for seed in range(tries):
        found = effects.effects(blocks(0.0, seed), False)[""]
        values.append(found.value)
        alarms += found.p < 0.02
    assert abs(float(np.mean(values))) < 3 * float(np.std(values)) / tries**0.5
    assert alarms <= 0.02 * tries + 3 * (0.02 * tries) ** 0.5
    caught = sum(effects.effects(blocks(0.05, seed), False)[""].p < 0.001 for seed in range(50))
    assert caught >= 40


def naive(x: Any, y: Any, n: Any, count: int) -> Any:
    root = np.sqrt(n / 0.03)
    a, b = x * root[:, None], y * root
    inverse = np.linalg.pinv(a.T @ a, hermitian=True)
    return (inverse @ (a.T @ b))[-count:], np.sqrt(np.diag(inverse)[-count:]), 1000


def test_a_plant_in_the_statistics_is_seen() -> None:
    # Noise taken to be the jobs' alone, and none of it the dispatchers': alarms come far too often.
    alarms = 0
    with mock.patch.object(effects, "_fit", naive):
        for seed in range(100):
            alarms += effects.effects(blocks(0.0, seed), False)[""].p < 0.02
    assert alarms > 8  # where 2 in a hundred were stated


def test_one_failure_among_few_jobs_is_no_harm_shown() -> None:
    rows = []
    for block in range(6):
        for n in range(8):
            is_new = block == 5 and n == 0
            x = 1.0 if is_new else 0.0
            rows.append(Row(f"n{n}", "a", block, is_new, x / 40, 40.0, x))
    found = effects.effects(rows, False)[""]
    assert not (found.p < 0.001 and found.exact < 0.001)


def test_all_shares_of_alpha_add_up_to_no_more_than_alpha() -> None:
    made = planned()
    spent = sum(judge.spend(1.0, k) for k in range(1, judge.LOOKS + 1))
    assert spent == pytest.approx(1.0)
    total = sum(judge.budget(made, n) + judge.foot_budget(made, n) for n in range(60)) * len(made.stages)
    assert total <= made.alpha + 1e-9


def test_rows_of_another_version_or_cut_make_no_points() -> None:
    full = {"about.pid": "1", "about.born_us": "2", "taken.c": "0", "later.c": "9"}
    for name in ("served", "refused", "failed", "gone", "intime"):
        full[f"{name}.c"] = "0"
    full |= {"worth.c": "1.0", "latency.c": "no histogram", "cpu_us": "x"}
    after = {**full, "served.c": "50", "intime.c": "40", "taken.c": "50"}
    found = points(Snapshot(0, full), Snapshot(SECOND, after))
    assert found["late.c"].x == 10 and "p50.c" not in found and "cpu" not in found
    assert points(Snapshot(0, full), Snapshot(SECOND, {**after, "about.pid": "3"})) == {}
    draw = random.Random(1)
    for _ in range(200):
        some = {key: value for key, value in after.items() if draw.random() < 0.7}
        points(Snapshot(0, full), Snapshot(SECOND, some))


def test_a_leak_is_told_from_a_start_and_from_what_all_do() -> None:
    at = [ORIGIN + n * SECOND for n in range(20)]
    flat = [(t, 13_000.0 + n % 3) for n, t in enumerate(at)]
    start = [(t, 13_000.0 + min(n, 5) * 900) for n, t in enumerate(at)]
    climbs = [(t, 13_000.0 + 500 * n) for n, t in enumerate(at)]
    assert judge.leak({"new": climbs, "old": flat}, {"new"}, 0.001, 100) == ["new"]
    assert judge.leak({"new": start, "old": flat}, {"new"}, 0.001, 100) == []
    assert judge.leak({"new": climbs, "old": climbs, "o2": climbs}, {"new"}, 0.001, 100) == []

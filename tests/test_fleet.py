"""The physics: servers, ways, discovery, traffic and clients, each by itself in virtual time."""

from __future__ import annotations

from typing import Any

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronstall.fleet import boundary as b
from heronstall.fleet.audit import Audit
from heronstall.fleet.caller import Callers, Came, Front
from heronstall.fleet.desk import Desk
from heronstall.fleet.fleet import Fleet, Plan
from heronstall.fleet.score import Costs, Fate, score
from heronstall.fleet.server import Job, Server, Word
from heronstall.fleet.spec import SECOND, Scenario
from heronstall.fleet.streams import Streams, uniforms
from heronstall.model.kernel import VirtualTime
from tests.scenarios import small_scenario

MS = 1000


class Bench:
    """A fleet in virtual time whose servers' words are kept."""

    def __init__(self, scenario: Scenario, seed: int = 1) -> None:
        self.time = VirtualTime()
        self.fleet = Fleet(scenario, seed, self.time, lambda node, s: "127.0.0.1:1", None)
        self.words: list[tuple[str, str, int]] = []
        self.reports: list[Any] = []

    def server(self, number: int = 0) -> Server:
        return self.fleet.servers[number]

    def offer(self, server: Server, id: str, work: float, key: str | None = None, node: int = 0) -> Job:
        def told(word: Word) -> None:
            self.words.append((id, word.said, self.time.now))
            self.reports.append(word.report)

        job = Job(id, 0, key, work, node, told)
        server.offer(job)
        return job

    def said(self, word: str) -> list[str]:
        return [id for id, said, _ in self.words if said == word]

    def at(self, id: str, word: str) -> int:
        return next(at for who, said, at in self.words if (who, said) == (id, word))


def test_jobs_start_in_order_run_at_the_cores_speed_and_the_queue_is_bounded() -> None:
    bench = Bench(small_scenario("kinds: m: {queue: 2, crowding: 0}"))
    server = bench.server()
    for n in range(8):
        bench.offer(server, f"j{n}", 100 * MS)
    assert bench.said("rejected") == ["j7"]  # 5 slots and 2 that wait
    assert bench.said("started") == ["j0", "j1", "j2", "j3", "j4"]
    bench.time.run(SECOND)
    assert bench.at("j0", "done") == 125 * MS  # five jobs on four cores
    assert bench.at("j5", "started") == 125 * MS
    assert sorted(bench.said("done")) == [f"j{n}" for n in range(7)]
    assert server.tally.work == pytest.approx(700 * MS, rel=1e-6)


def test_progress_is_told_each_interval_and_an_error_is_no_result() -> None:
    bench = Bench(small_scenario("kinds: m: errors: 1"))
    bench.offer(bench.server(), "long", 2.5 * SECOND)
    bench.time.run(4 * SECOND)
    assert [said for _, said, _ in bench.words] == ["started", "running", "running", "failed"]


def test_waiting_work_of_a_sender_that_has_gone_is_dropped_and_running_work_goes_on() -> None:
    bench = Bench(small_scenario())
    server = bench.server()
    jobs = [bench.offer(server, f"j{n}", 100 * MS) for n in range(6)]
    server.drop(jobs[0])
    server.drop(jobs[5])
    bench.time.run(SECOND)
    assert "j5" not in bench.said("started") and server.tally.work == pytest.approx(500 * MS)


def test_a_server_takes_so_many_new_connections_a_second_and_closes_the_rest() -> None:
    play = Bench(small_scenario("kinds: m: connects_per_s: 3\n"))
    server = play.server()
    assert [server.connect() for _ in range(5)] == [True, True, True, False, False]
    play.time.run(SECOND - 1)
    assert not server.connect()
    play.time.run(SECOND)
    assert [server.connect() for _ in range(4)] == [True, True, True, False]
    assert server.tally.turned_down == 4 and server.connections == 6


def test_a_silent_server_says_nothing_until_the_trouble_ends_then_its_old_words() -> None:
    for stands in (True, False):
        bench = Bench(small_scenario())
        server = bench.server()
        bench.offer(server, "before", 100 * MS)
        bench.time.run(50 * MS)
        server.silence(True, stands)
        bench.offer(server, "during", 100 * MS)
        bench.time.run(2 * SECOND)
        assert [id for id, said, _ in bench.words if said == "done"] == []
        server.silence(False, stands)
        bench.time.run(4 * SECOND)
        assert bench.at("before", "done") == (2050 * MS if stands else 2 * SECOND)
        assert set(bench.said("done")) == {"before", "during"}


def test_two_troubles_on_one_server_each_undo_their_own_beginning() -> None:
    bench = Bench(small_scenario())
    server = bench.server()
    server.silence(True, True)
    server.silence(True, False)
    server.silence(False, True)
    assert not server.answers and server.pace(0) > 0
    server.kill()
    server.start()
    assert not server.answers  # the trouble outlives the process
    server.silence(False, False)
    assert server.answers
    server.slow(2.0, True)
    server.slow(3.0, True)
    server.slow(2.0, False)
    assert server.capacity(10 * SECOND) == pytest.approx(4 / 3)


def test_a_cold_server_warms_up_and_falls_when_pushed_over_but_not_by_one_job() -> None:
    bench = Bench(small_scenario("kinds: m: {cold_s: 4, cold_from: 0.25}"))
    server, fell = bench.server(), []
    server.on_change.append(lambda s, change: fell.append((change, dict(s.pushers()))))
    bench.time.run(10 * SECOND)
    server.kill()
    server.start()
    assert server.warmth(bench.time.now) == 0.25
    bench.offer(server, "huge", 60 * SECOND)
    assert server.up
    bench.offer(server, "small", 1 * MS, node=1)
    assert not server.up and server.fallen and fell[2] == ("fell", {0: 60.0 * SECOND, 1: 1.0 * MS})
    server.start()
    assert not server.up  # it stays down
    other = bench.server(1)
    other.kill()
    other.start()
    bench.time.run(12 * SECOND)
    assert other.warmth(bench.time.now) == pytest.approx(0.625)


def test_a_drain_hands_back_what_waits_finishes_what_runs_and_takes_nothing() -> None:
    bench = Bench(small_scenario())
    server = bench.server()
    for n in range(6):
        bench.offer(server, f"j{n}", 100 * MS)
    server.drain()
    assert bench.said("returned") == ["j5"]
    bench.offer(server, "new", 1)
    assert bench.said("rejected") == ["new"]
    bench.time.run(SECOND)
    assert len(bench.said("done")) == 5


def test_reports_are_refreshed_now_and_then_and_may_be_late() -> None:
    bench = Bench(small_scenario("reports: {every_ms: 1000, noise: 0}"))
    server = bench.server()
    assert server.report() is None  # nothing measured yet
    bench.time.run(1500 * MS)
    for n in range(4):
        bench.offer(server, f"j{n}", 30 * SECOND)
    assert server.report() is not None and server.report().inflight == 0  # type: ignore[union-attr]
    bench.time.run(4500 * MS)
    fresh = server.report()
    assert fresh is not None and (fresh.inflight, fresh.free, fresh.util) == (4, 1, 1.0)
    server.late_reports(3200 * MS, True)
    late = server.report()
    assert late is not None and late.inflight == 0
    server.late_reports(3200 * MS, False)
    assert server.report() == fresh


def test_keyed_repeats_have_one_effect_in_a_zone_and_window() -> None:
    bench = Bench(small_scenario())
    for number, id in ((0, "a"), (1, "b"), (2, "c")):  # servers 0 and 1 stand in one zone, 2 in the other
        bench.offer(bench.server(number), id, 10 * MS, key="k")
        bench.time.run(bench.time.now + SECOND)
    assert bench.server(0)._repeats.dropped == 1
    assert bench.server(2)._repeats.dropped == 0


def test_a_vanished_server_is_noticed_late_and_a_dead_one_soon() -> None:
    bench = Bench(small_scenario("discovery: blind_s: 5"))
    told: list[tuple[int, int, str]] = []
    roster = bench.fleet.roster
    roster.on_told.append(
        lambda node, m: told.extend(
            (bench.time.now // MS, int(r["uid"][2:], 16), r["state"]) for r in m["targets"]
        )
    )
    bench.server(0).vanish()
    bench.server(1).kill()
    bench.time.run(4 * SECOND)
    assert told == [(100, 1, "DELETED")] * 2
    roster.silence(True)
    bench.time.run(7 * SECOND)
    assert len(told) == 2
    roster.silence(False)
    assert told[2:] == [(7000, 0, "DELETED")] * 2
    assert [row["uid"] for row in roster.whole(0)["targets"]] == ["s-0002", "s-0003"]


def test_the_desk_gives_one_list_after_the_other_and_turns_away_who_finds_no_place() -> None:
    desk = Desk(10, 3)
    assert [desk.ask(0, n) for n in range(4)] == [100_000, 200_000, 300_000, None]
    assert desk.ask(100_000, 4) == 400_000  # one place is free again
    assert desk.ask(2_000_000, 5) == 2_100_000
    assert [row.node for row in desk.asked if row.answered is None] == [3]
    assert [Desk(0, 1).ask(7, n) for n in range(3)] == [7, 7, 7]


def test_ways_take_their_time_and_a_cut_zone_is_reached_by_nobody_but_itself() -> None:
    bench = Bench(small_scenario("links: {within_ms: 1, between_ms: [10, 20], jitter: 0}"))
    ways = bench.fleet.ways
    healed: list[int] = []
    ways.on_heal.append(healed.append)
    assert ways.time(0, 0, 1) == 1000 and 10_000 <= ways.time(0, 1, 1) == ways.time(1, 0, 9) <= 20_000
    ways.cut(0, True)
    ways.cut(0, True)
    assert ways.open(0, 0) and not ways.open(0, 1) and not ways.open(1, 0)
    ways.cut(0, False)
    assert not ways.open(0, 1) and healed == []
    ways.cut(0, False)
    assert ways.open(0, 1) and healed == [0]


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("offer"), st.floats(1, 400)),
        st.tuples(st.sampled_from(["wait", "wait", "silence", "slow", "drop"]), st.floats(0, 300)),
        st.tuples(st.sampled_from(["kill", "start", "vanish", "drain", "probe", "connect"]), st.just(0.0)),
    ),
    max_size=60,
)


@settings(max_examples=120, deadline=None, derandomize=True)
@given(STEPS)
def test_whatever_befalls_a_server_each_job_has_one_last_word_and_no_work_comes_from_nowhere(
    steps: list[tuple[str, float]],
) -> None:
    bench = Bench(small_scenario("kinds: m: {queue: 3, cold_s: 1, cold_from: 0.5}"))
    server, jobs = bench.server(), []
    silences: list[bool] = []
    for n, (what, size) in enumerate(steps):
        now = bench.time.now
        if what == "offer" and server.up and not server.away:
            jobs.append(bench.offer(server, f"j{n}", size * MS))
        elif what == "wait":
            bench.time.run(now + int(size * MS))
        elif what == "silence":
            if silences and size < 150:
                server.silence(False, silences.pop())
            else:
                silences.append(size > 200)
                server.silence(True, silences[-1])
        elif what == "slow":
            server.slow(2.0, True)
            bench.time.run(now + int(size * MS))
            server.slow(2.0, False)
        elif what == "drop" and jobs:
            server.drop(jobs[int(size) % len(jobs)])
        elif what in ("kill", "start", "vanish", "drain"):
            getattr(server, what)()
        elif what == "probe" and server.up:
            server.probe()
        elif what == "connect":
            server.connect()
        assert len(server.running) <= server.spec.slots and len(server.queue) <= server.spec.queue
    last = [id for id, said, _ in bench.words if said in ("done", "failed", "returned", "rejected")]
    assert len(last) == len(set(last))
    offered = sum(job.work for job in jobs)
    assert server.tally.work <= offered + 1 and server.tally.work <= 4.0 * bench.time.now + 1
    done = set(bench.said("done"))
    assert all(job.over and job.left <= 0.5 for job in jobs if job.id in done)


# ------------------------------------------------------------------ traffic and clients


@settings(max_examples=20, deadline=None, derandomize=True)
@given(st.integers(0, 2**32), st.floats(20, 200), st.sampled_from([1.0, 3.0]))
def test_traffic_keeps_its_rate_its_shares_and_its_order(seed: int, rate: float, bursts: float) -> None:
    plan = Plan(
        small_scenario("", f"seconds: 8\narrivals: {{rate_per_s: {rate:.2f}, bursts: {bursts}}}\n"), seed
    )
    rows = plan.requests
    assert all(a.at <= later.at for a, later in zip(rows, rows[1:], strict=False))
    spread = bursts * np.sqrt(8 * rate)
    assert abs(len(rows) - 8 * rate) < 6 * spread + 1
    assert all(r.work > 0 and r.hint > 0 and r.at < r.aim_at <= r.deadline for r in rows)
    assert {r.cls for r in rows} <= {0, 1} and {r.zone for r in rows} <= {0, 1}


def test_a_surge_and_a_wave_move_the_rate_and_heavy_tails_the_work() -> None:
    surge = Plan(
        small_scenario('arrivals: shape: [{kind: "surge", at_s: 4, for_s: 2, times: 5, ramp_s: 0}]'), 3
    ).requests
    before = sum(r.at < 4 * SECOND for r in surge) / 4
    during = sum(4 * SECOND <= r.at < 6 * SECOND for r in surge) / 2
    assert 3.5 < during / before < 6.5
    heavy = 'troubles: [{kind: "heavy-tail", at_s: 0, for_s: 8, class: "keyed", share: 0.5, times: 10}]'
    plain, struck = Plan(small_scenario(), 3).requests, Plan(small_scenario(heavy), 3).requests
    ratios = {round(b.work / a.work) for a, b in zip(plain, struck, strict=True) if a.cls == 0}
    assert ratios == {1, 10}
    assert all(a.work == b.work for a, b in zip(plain, struck, strict=True) if a.cls == 1)


def test_a_tenant_beyond_its_share_is_worth_less() -> None:
    flood = small_scenario("tenants: {x: traffic: 0.1, y: traffic: 0.9}", "arrivals: rate_per_s: 120\n")
    rows = Plan(flood, 1).requests
    beyond = [r for r in rows if not r.within]
    assert len(beyond) > 100 and {r.tenant for r in beyond} == {1}
    assert all(r.worth == pytest.approx(0.2 * flood.classes[r.cls].worth * r.work) for r in beyond)


def test_clients_retry_only_what_is_harmless_and_wait_out_retry_after() -> None:
    scenario = small_scenario("clients: wait_s: 0.1")
    plan = Plan(scenario, 1)
    callers = Callers(scenario, plan.streams)
    request = next(r for r in plan.requests if scenario.classes[r.cls].effect == "unsafe")
    first = callers.first(request)
    ends: tuple[Came, ...] = ("served", "late", "failed", "broke")
    for came in ends:
        assert callers.again(first, came, request.at, 0) is None
    second = callers.again(first, "refused", request.at, SECOND)
    assert second is not None and (second.at, second.nth) == (request.at + SECOND, 1)
    assert second.time_left == request.deadline - second.at and second.id != first.id
    third = callers.again(second, "unreachable", second.at, 0)
    assert third is not None and third.at == second.at + 200 * MS
    assert callers.again(third, "refused", third.at, 0) is None
    assert callers.again(first, "refused", request.deadline - 60 * MS, 0) is None


def test_the_front_keeps_to_the_zone_while_anyone_there_is_known_up() -> None:
    scenario = small_scenario("zones: a: dispatchers: 1")
    front = Front(scenario, Streams(1))
    assert front.pick(0, 0.5) == 0 and front.pick(1, 0.5) == 1
    front.known_up[0] = False
    assert front.pick(0, 0.5) == 1
    front.known_up[1] = False
    assert front.pick(0, 0.5) is None


def test_streams_are_the_same_for_one_name_and_apart_for_others() -> None:
    assert list(Streams(3).of("a", 1).random(4)) == list(Streams(3).of("a", 1).random(4))
    assert list(Streams(3).of("a", 1).random(4)) != list(Streams(3).of("a", 2).random(4))
    table = uniforms(Streams(3), "x")
    assert table[5] == table[5 + 4096] and 0 <= table[7] < 1


# ------------------------------------------------------------------ audit and score


def story(*crossings: b.Crossing, cls: str = "unsafe", shared: bool = False) -> list[str]:
    scenario = small_scenario("rules: grace_ms: 20")
    number = [c.name for c in scenario.classes].index(cls)
    taken = b.Taken(0, 0, "r", number, 3 * SECOND)
    found = Audit(scenario, [0, 0, 1, 1], shared=shared).run([taken, *crossings], 100 * SECOND)
    return [breach.rule for breach in found]


def sent(at: int, server: int, attempt: int, how: str | None = None, over: int = 0) -> list[b.Crossing]:
    rows: list[b.Crossing] = [b.Written(at, 0, server, "r", attempt), b.Arrived(at, 0, server, "r", attempt)]
    if how is not None:
        rows.append(b.Over(over or at + 1, 0, server, "r", attempt, how))  # type: ignore[arg-type]
    return rows


FINE = b.Answered(SECOND, 0, "r", 500)


def test_bytes_that_outlive_their_dispatcher_break_no_rule() -> None:
    """A server reads what a dispatcher wrote before it was killed; the client took the request for unread."""
    killed, asked = b.NodeDown(90 * MS, 0), b.NodeDown(90 * MS, 0, 50 * MS)
    late = [b.Recalled(91 * MS, 0, "r"), *sent(130 * MS, 1, 1, "reset")]
    assert story(killed, *late) == []
    assert story(asked, *late) == ["one-answer"]  # one that was to end finishes what it took
    assert story(killed, b.Recalled(91 * MS, 0, "r"), b.Written(130 * MS, 0, 1, "s", 1)) == ["one-effect"]


def test_the_audit_knows_one_final_answer_in_time_from_none_two_late_or_foreign() -> None:
    done = sent(1, 0, 0, "done")
    assert story(*done, b.Answered(5, 0, "r", 200, True)) == []
    assert story(*done, b.Answered(5, 0, "r", 200, False)) == ["one-answer"]
    assert story(*done, b.Answered(5, 0, "r", 200, True), b.Answered(6, 0, "r", 500)) == ["one-answer"]
    assert story(*done, b.Answered(3 * SECOND + 20_001, 0, "r", 500)) == ["one-answer"]
    assert story(*done) == ["one-answer"]
    assert story(*done, b.Left(SECOND, 0, "r")) == []
    assert story(*done, b.Left(4 * SECOND, 0, "r")) == ["one-answer"]
    assert story(*done, b.Unanswered(SECOND, 0, "r")) == ["one-answer"]


def test_the_audit_excuses_what_a_kill_took_and_what_came_too_late_in_a_restart() -> None:
    gone = b.Unanswered(2 * SECOND, 0, "r")
    assert story(b.NodeDown(2 * SECOND, 0), gone) == []
    assert story(b.NodeDown(2 * SECOND, 0, asked_at=SECOND), gone) == ["one-answer"]
    assert story(b.NodeDown(2 * SECOND, 0, asked_at=-SECOND), gone) == []
    assert story(b.NodeDown(2 * SECOND, 0, None, crashed=True), gone) == ["crash"]


def test_the_audit_sees_copies_and_repeats_and_wrong_refusals() -> None:
    refused = b.Answered(SECOND, 0, "r", 503)
    assert story(*sent(1, 0, 0, "rejected"), *sent(9, 1, 1, "done"), FINE) == []
    assert story(*sent(1, 0, 0, "returned"), refused) == []
    assert story(*sent(1, 0, 0, "broken"), *sent(9, 1, 1, "done"), FINE) == ["one-effect"]
    assert story(*sent(1, 0, 0, "broken"), refused) == ["one-effect"]
    assert story(*sent(1, 0, 0, "closed"), *sent(9, 1, 1, "done"), FINE, cls="keyed") == []
    assert story(*sent(1, 0, 0, "closed"), *sent(9, 2, 1, "done"), FINE, cls="keyed") == ["one-effect"]
    late = sent(11 * SECOND, 1, 1, "done")
    assert "one-effect" in story(*sent(1, 0, 0, "closed"), *late, FINE, cls="keyed")
    both = [*sent(1, 0, 0), *sent(5, 1, 1, "done", 20), b.Over(9, 0, 0, "r", 0, "returned"), FINE]
    assert story(*both, cls="keyed") == ["one-effect"]  # one beside the other
    assert story(b.Written(1, 0, 0, "other", 0), FINE) == ["one-effect"]


def test_the_audit_sees_work_sent_after_a_drain_was_told_and_who_pushed_a_cold_server_over() -> None:
    told = b.ToldOf(0, 0, 0, "DRAINING")
    assert story(told, *sent(2 * SECOND, 0, 0, "done"), b.Answered(2 * SECOND + 5, 0, "r", 500)) == []
    late = [*sent(2 * SECOND + 1, 0, 0, "done"), b.Answered(2 * SECOND + 5, 0, "r", 500)]
    assert story(told, *late) == ["drain"]
    assert story(told, b.ToldOf(SECOND, 0, 0, "SERVING"), *late) == []
    assert story(told, b.ToldOf(SECOND, 0, 0, "DELETED"), *late) == []  # told anew: it counts from then
    anew = b.ToldOf(SECOND, 1, 0, "SERVING", 8)  # to another, of a later process
    first = told._replace(boot_ms=7)
    assert story(first, anew, *late, shared=True) == [] and story(first, anew, *late) == ["drain"]
    assert story(first, anew._replace(boot_ms=7), *late, shared=True) == ["drain"]
    started = b.ToldOf(5 * SECOND, 0, 0, "SERVING")
    fell = b.Fell(6 * SECOND, 0, 4 * SECOND, {0: 700.0, 1: 300.0})
    answered = b.Answered(1, 0, "r", 500)
    assert story(answered, told, started, fell) == ["cold"]
    assert story(answered, fell) == []  # nobody had been told of its start
    assert story(answered, told, started, fell._replace(pushed={0: 600.0, 1: 400.0})) == []


def test_the_score_weighs_worth_in_time_and_takes_prices_off() -> None:
    scenario = small_scenario("warm_s: 0")
    rows = Plan(scenario, 1).requests
    fates = [Fate(r, r.aim_at, 0, r.aim_at, "served", 1) for r in rows]
    best = score(scenario, fates, Costs(100.0, 100.0, len(rows), 0, 0))
    assert best.score == best.service == pytest.approx(1.0)
    late = [
        Fate(r, r.aim_at + 1, 0, r.aim_at + 1, "served", 1) if r.cls else f
        for r, f in zip(rows, fates, strict=True)
    ]
    worse = score(scenario, late, Costs(100.0, 100.0, len(rows), len(rows), 0))
    assert worse.classes == {"keyed": pytest.approx(1.0), "unsafe": 0.0} and worse.worst_class == 0.0
    assert worse.score == pytest.approx(worse.service - 0.025)
    lost = [Fate(r, None, -1, r.deadline, "failed", 1) for r in rows]
    offered = sum(r.work for r in rows)
    none = score(scenario, lost, Costs(offered, 0.0, len(rows), 0, 10 * len(rows)))
    assert none.score == pytest.approx(-0.17 - 0.024 - 0.02)

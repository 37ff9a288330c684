"""Tests of the simulated fleet in virtual time: servers, network, traffic, clients, audit and score."""

from __future__ import annotations

from typing import Any

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronstall.fleet import boundary as b
from heronstall.fleet.audit import Audit
from heronstall.fleet.client import ClientBalancer, ClientRetries, TryResult
from heronstall.fleet.fleet import Fleet, Plan
from heronstall.fleet.list_service import ListService
from heronstall.fleet.score import Costs, RequestOutcome, score
from heronstall.fleet.server import AttemptUpdate, Job, Server
from heronstall.fleet.spec import SECOND, Scenario
from heronstall.fleet.streams import Streams, uniforms
from heronstall.model.kernel import VirtualTime
from tests.scenarios import small_scenario

MS = 1000


class FleetHarness:
    """A fleet in virtual time that records the updates sent by its servers."""

    def __init__(self, scenario: Scenario, seed: int = 1) -> None:
        self.time = VirtualTime()
        self.fleet = Fleet(scenario, seed, self.time, lambda node, s: "127.0.0.1:1", None)
        self.updates: list[tuple[str, str, int]] = []
        self.reports: list[Any] = []

    def server(self, number: int = 0) -> Server:
        return self.fleet.servers[number]

    def offer(self, server: Server, id: str, work: float, key: str | None = None, node: int = 0) -> Job:
        def record_update(update: AttemptUpdate) -> None:
            self.updates.append((id, update.event, self.time.now))
            self.reports.append(update.report)

        job = Job(id, 0, key, work, node, record_update)
        server.offer(job)
        return job

    def updates_named(self, name: str) -> list[str]:
        return [id for id, event, _ in self.updates if event == name]

    def at(self, id: str, name: str) -> int:
        return next(at for job_id, event, at in self.updates if (job_id, event) == (id, name))


def test_jobs_start_in_order_run_at_core_speed_and_the_queue_is_bounded() -> None:
    harness = FleetHarness(small_scenario("kinds: m: {queue: 2, crowding: 0}"))
    server = harness.server()
    for n in range(8):
        harness.offer(server, f"j{n}", 100 * MS)
    assert harness.updates_named("rejected") == ["j7"]  # 5 slots and 2 queue places
    assert harness.updates_named("started") == ["j0", "j1", "j2", "j3", "j4"]
    harness.time.run(SECOND)
    assert harness.at("j0", "done") == 125 * MS  # five jobs on four cores
    assert harness.at("j5", "started") == 125 * MS
    assert sorted(harness.updates_named("done")) == [f"j{n}" for n in range(7)]
    assert server.tally.work == pytest.approx(700 * MS, rel=1e-6)


def test_progress_is_sent_each_interval_and_an_error_is_not_a_result() -> None:
    harness = FleetHarness(small_scenario("kinds: m: errors: 1"))
    harness.offer(harness.server(), "long", 2.5 * SECOND)
    harness.time.run(4 * SECOND)
    assert [event for _, event, _ in harness.updates] == [
        "started",
        "running",
        "running",
        "failed",
    ]


def test_waiting_job_of_a_lost_sender_is_dropped_and_running_job_continues() -> None:
    harness = FleetHarness(small_scenario())
    server = harness.server()
    jobs = [harness.offer(server, f"j{n}", 100 * MS) for n in range(6)]
    server.drop(jobs[0])
    server.drop(jobs[5])
    harness.time.run(SECOND)
    assert "j5" not in harness.updates_named("started") and server.tally.work == pytest.approx(500 * MS)


def test_server_limits_new_connections_per_second() -> None:
    play = FleetHarness(small_scenario("kinds: m: connects_per_s: 3\n"))
    server = play.server()
    assert [server.connect() for _ in range(5)] == [True, True, True, False, False]
    play.time.run(SECOND - 1)
    assert not server.connect()
    play.time.run(SECOND)
    assert [server.connect() for _ in range(4)] == [True, True, True, False]
    assert server.tally.turned_down == 4 and server.connections == 6


def test_silent_server_withholds_updates_until_the_silence_ends() -> None:
    for stands in (True, False):
        harness = FleetHarness(small_scenario())
        server = harness.server()
        harness.offer(server, "before", 100 * MS)
        harness.time.run(50 * MS)
        server.silence(True, stands)
        harness.offer(server, "during", 100 * MS)
        harness.time.run(2 * SECOND)
        assert [id for id, event, _ in harness.updates if event == "done"] == []
        server.silence(False, stands)
        harness.time.run(4 * SECOND)
        assert harness.at("before", "done") == (2050 * MS if stands else 2 * SECOND)
        assert set(harness.updates_named("done")) == {"before", "during"}


def test_overlapping_troubles_on_one_server_revert_only_their_own_effect() -> None:
    harness = FleetHarness(small_scenario())
    server = harness.server()
    server.silence(True, True)
    server.silence(True, False)
    server.silence(False, True)
    assert not server.answers and server.core_rate(0) > 0
    server.kill()
    server.start()
    assert not server.answers  # the silence persists across the restart
    server.silence(False, False)
    assert server.answers
    server.slow(2.0, True)
    server.slow(3.0, True)
    server.slow(2.0, False)
    assert server.capacity(10 * SECOND) == pytest.approx(4 / 3)


def test_cold_server_warms_up_and_fails_from_overload_but_not_from_a_single_job() -> None:
    harness = FleetHarness(small_scenario("kinds: m: {cold_s: 4, cold_from: 0.25}"))
    server, fell = harness.server(), []
    server.on_change.append(lambda s, change: fell.append((change, dict(s.overload_by_dispatcher()))))
    harness.time.run(10 * SECOND)
    server.kill()
    server.start()
    assert server.warm_share(harness.time.now) == 0.25
    harness.offer(server, "huge", 60 * SECOND)
    assert server.up
    harness.offer(server, "small", 1 * MS, node=1)
    assert not server.up and server.fallen and fell[2] == ("fell", {0: 60.0 * SECOND, 1: 1.0 * MS})
    server.start()
    assert not server.up  # a server that failed from overload stays down
    other = harness.server(1)
    other.kill()
    other.start()
    harness.time.run(12 * SECOND)
    assert other.warm_share(harness.time.now) == pytest.approx(0.625)


def test_drain_returns_waiting_jobs_finishes_running_ones_and_rejects_new_ones() -> None:
    harness = FleetHarness(small_scenario())
    server = harness.server()
    for n in range(6):
        harness.offer(server, f"j{n}", 100 * MS)
    server.drain()
    assert harness.updates_named("returned") == ["j5"]
    harness.offer(server, "new", 1)
    assert harness.updates_named("rejected") == ["new"]
    harness.time.run(SECOND)
    assert len(harness.updates_named("done")) == 5


def test_reports_are_refreshed_periodically_and_may_be_delayed() -> None:
    harness = FleetHarness(small_scenario("reports: {every_ms: 1000, noise: 0}"))
    server = harness.server()
    assert server.report() is None  # no snapshot has been taken yet
    harness.time.run(1500 * MS)
    for n in range(4):
        harness.offer(server, f"j{n}", 30 * SECOND)
    assert server.report() is not None and server.report().inflight == 0  # type: ignore[union-attr]
    harness.time.run(4500 * MS)
    fresh = server.report()
    assert fresh is not None and (fresh.inflight, fresh.free, fresh.util) == (4, 1, 1.0)
    server.late_reports(3200 * MS, True)
    late = server.report()
    assert late is not None and late.inflight == 0
    server.late_reports(3200 * MS, False)
    assert server.report() == fresh


def test_keyed_repeats_have_one_effect_per_zone_and_window() -> None:
    harness = FleetHarness(small_scenario())
    for number, id in ((0, "a"), (1, "b"), (2, "c")):  # servers 0 and 1 are in one zone, 2 in the other
        harness.offer(harness.server(number), id, 10 * MS, key="k")
        harness.time.run(harness.time.now + SECOND)
    assert harness.server(0)._repeats.dropped == 1
    assert harness.server(2)._repeats.dropped == 0


def test_vanished_server_is_detected_late_and_a_dead_one_soon() -> None:
    harness = FleetHarness(small_scenario("discovery: blind_s: 5"))
    told: list[tuple[int, int, str]] = []
    discovery = harness.fleet.discovery
    discovery.on_update.append(
        lambda node, m: told.extend(
            (harness.time.now // MS, int(r["uid"][2:], 16), r["state"]) for r in m["targets"]
        )
    )
    harness.server(0).vanish()
    harness.server(1).kill()
    harness.time.run(4 * SECOND)
    assert told == [(100, 1, "DELETED")] * 2
    discovery.silence(True)
    harness.time.run(7 * SECOND)
    assert len(told) == 2
    discovery.silence(False)
    assert told[2:] == [(7000, 0, "DELETED")] * 2
    assert [row["uid"] for row in discovery.full_state(0)["targets"]] == ["s-0002", "s-0003"]


def test_list_service_serves_in_order_and_rejects_requests_without_a_free_place() -> None:
    list_service = ListService(10, 3)
    assert [list_service.request(0, n) for n in range(4)] == [100_000, 200_000, 300_000, None]
    assert list_service.request(100_000, 4) == 400_000  # a place is free again
    assert list_service.request(2_000_000, 5) == 2_100_000
    assert [row.node for row in list_service.requests if row.answered is None] == [3]
    assert [ListService(0, 1).request(7, n) for n in range(3)] == [7, 7, 7]


def test_network_latencies_and_a_cut_zone_is_reachable_only_from_itself() -> None:
    harness = FleetHarness(small_scenario("links: {within_ms: 1, between_ms: [10, 20], jitter: 0}"))
    network = harness.fleet.network
    healed: list[int] = []
    network.on_heal.append(healed.append)
    assert (
        network.latency(0, 0, 1) == 1000
        and 10_000 <= network.latency(0, 1, 1) == network.latency(1, 0, 9) <= 20_000
    )
    network.cut(0, True)
    network.cut(0, True)
    assert network.reachable(0, 0) and not network.reachable(0, 1) and not network.reachable(1, 0)
    network.cut(0, False)
    assert not network.reachable(0, 1) and healed == []
    network.cut(0, False)
    assert network.reachable(0, 1) and healed == [0]


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
def test_each_job_has_one_final_update_and_work_is_conserved_for_any_sequence_of_events(
    steps: list[tuple[str, float]],
) -> None:
    harness = FleetHarness(small_scenario("kinds: m: {queue: 3, cold_s: 1, cold_from: 0.5}"))
    server, jobs = harness.server(), []
    silences: list[bool] = []
    for n, (what, size) in enumerate(steps):
        now = harness.time.now
        if what == "offer" and server.up and not server.vanished:
            jobs.append(harness.offer(server, f"j{n}", size * MS))
        elif what == "wait":
            harness.time.run(now + int(size * MS))
        elif what == "silence":
            if silences and size < 150:
                server.silence(False, silences.pop())
            else:
                silences.append(size > 200)
                server.silence(True, silences[-1])
        elif what == "slow":
            server.slow(2.0, True)
            harness.time.run(now + int(size * MS))
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
    last = [id for id, event, _ in harness.updates if event in ("done", "failed", "returned", "rejected")]
    assert len(last) == len(set(last))
    offered = sum(job.work for job in jobs)
    assert server.tally.work <= offered + 1 and server.tally.work <= 4.0 * harness.time.now + 1
    done = set(harness.updates_named("done"))
    assert all(job.over and job.left <= 0.5 for job in jobs if job.id in done)


# ------------------------------------------------------------------ traffic and clients


@settings(max_examples=20, deadline=None, derandomize=True)
@given(st.integers(0, 2**32), st.floats(20, 200), st.sampled_from([1.0, 3.0]))
def test_traffic_matches_rate_and_shares_and_is_ordered(seed: int, rate: float, bursts: float) -> None:
    plan = Plan(
        small_scenario("", f"seconds: 8\narrivals: {{rate_per_s: {rate:.2f}, bursts: {bursts}}}\n"), seed
    )
    rows = plan.requests
    assert all(a.at <= later.at for a, later in zip(rows, rows[1:], strict=False))
    spread = bursts * np.sqrt(8 * rate)
    assert abs(len(rows) - 8 * rate) < 6 * spread + 1
    assert all(r.work > 0 and r.hint > 0 and r.at < r.aim_at <= r.deadline for r in rows)
    assert {r.cls for r in rows} <= {0, 1} and {r.zone for r in rows} <= {0, 1}


def test_surge_changes_the_rate_and_heavy_tail_changes_the_work() -> None:
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


def test_requests_beyond_a_tenants_share_are_worth_less() -> None:
    flood = small_scenario("tenants: {x: traffic: 0.1, y: traffic: 0.9}", "arrivals: rate_per_s: 120\n")
    rows = Plan(flood, 1).requests
    beyond = [r for r in rows if not r.within]
    assert len(beyond) > 100 and {r.tenant for r in beyond} == {1}
    assert all(r.worth == pytest.approx(0.2 * flood.classes[r.cls].worth * r.work) for r in beyond)


def test_clients_retry_only_when_it_is_safe_and_honour_retry_after() -> None:
    scenario = small_scenario("clients: wait_s: 0.1")
    plan = Plan(scenario, 1)
    retries = ClientRetries(scenario, plan.streams)
    request = next(r for r in plan.requests if scenario.classes[r.cls].effect == "unsafe")
    first = retries.first(request)
    ends: tuple[TryResult, ...] = ("served", "late", "failed", "broke")
    for came in ends:
        assert retries.next_try(first, came, request.at, 0) is None
    second = retries.next_try(first, "refused", request.at, SECOND)
    assert second is not None and (second.at, second.nth) == (request.at + SECOND, 1)
    assert second.time_left == request.deadline - second.at and second.id != first.id
    third = retries.next_try(second, "unreachable", second.at, 0)
    assert third is not None and third.at == second.at + 200 * MS
    assert retries.next_try(third, "refused", third.at, 0) is None
    assert retries.next_try(first, "refused", request.deadline - 60 * MS, 0) is None


def test_client_balancer_stays_in_the_zone_while_a_dispatcher_there_is_known_up() -> None:
    scenario = small_scenario("zones: a: dispatchers: 1")
    balancer = ClientBalancer(scenario, Streams(1))
    assert balancer.pick(0, 0.5) == 0 and balancer.pick(1, 0.5) == 1
    balancer.known_up[0] = False
    assert balancer.pick(0, 0.5) == 1
    balancer.known_up[1] = False
    assert balancer.pick(0, 0.5) is None


def test_streams_are_equal_for_equal_names_and_differ_otherwise() -> None:
    assert list(Streams(3).of("a", 1).random(4)) == list(Streams(3).of("a", 1).random(4))
    assert list(Streams(3).of("a", 1).random(4)) != list(Streams(3).of("a", 2).random(4))
    table = uniforms(Streams(3), "x")
    assert table[5] == table[5 + 4096] and 0 <= table[7] < 1


# ------------------------------------------------------------------ audit and score


def broken_rules(*crossings: b.Crossing, cls: str = "unsafe", shared: bool = False) -> list[str]:
    scenario = small_scenario("rules: grace_ms: 20")
    number = [c.name for c in scenario.classes].index(cls)
    taken = b.Taken(0, 0, "r", number, 3 * SECOND)
    found = Audit(scenario, [0, 0, 1, 1], shared=shared).run([taken, *crossings], 100 * SECOND)
    return [breach.rule for breach in found]


def attempted(at: int, server: int, attempt: int, how: str | None = None, over: int = 0) -> list[b.Crossing]:
    rows: list[b.Crossing] = [b.Written(at, 0, server, "r", attempt), b.Arrived(at, 0, server, "r", attempt)]
    if how is not None:
        rows.append(b.Over(over or at + 1, 0, server, "r", attempt, how))  # type: ignore[arg-type]
    return rows


FINE = b.Answered(SECOND, 0, "r", 500)


def test_bytes_that_arrive_after_their_dispatcher_was_killed_break_no_rule() -> None:
    """A server may read bytes of a killed dispatcher after the client has assumed the request unread."""
    killed, asked = b.NodeDown(90 * MS, 0), b.NodeDown(90 * MS, 0, 50 * MS)
    late = [b.Recalled(91 * MS, 0, "r"), *attempted(130 * MS, 1, 1, "reset")]
    assert broken_rules(killed, *late) == []
    assert broken_rules(asked, *late) == [
        "one-answer"
    ]  # a dispatcher stopped by SIGTERM must finish its requests
    assert broken_rules(killed, b.Recalled(91 * MS, 0, "r"), b.Written(130 * MS, 0, 1, "s", 1)) == [
        "one-effect"
    ]


def test_audit_reports_missing_duplicate_late_and_foreign_answers() -> None:
    done = attempted(1, 0, 0, "done")
    assert broken_rules(*done, b.Answered(5, 0, "r", 200, True)) == []
    assert broken_rules(*done, b.Answered(5, 0, "r", 200, False)) == ["one-answer"]
    assert broken_rules(*done, b.Answered(5, 0, "r", 200, True), b.Answered(6, 0, "r", 500)) == ["one-answer"]
    assert broken_rules(*done, b.Answered(3 * SECOND + 20_001, 0, "r", 500)) == ["one-answer"]
    assert broken_rules(*done) == ["one-answer"]
    assert broken_rules(*done, b.Left(SECOND, 0, "r")) == []
    assert broken_rules(*done, b.Left(4 * SECOND, 0, "r")) == ["one-answer"]
    assert broken_rules(*done, b.Unanswered(SECOND, 0, "r")) == ["one-answer"]


def test_audit_excuses_requests_lost_to_a_kill_or_arriving_too_late_in_a_restart() -> None:
    gone = b.Unanswered(2 * SECOND, 0, "r")
    assert broken_rules(b.NodeDown(2 * SECOND, 0), gone) == []
    assert broken_rules(b.NodeDown(2 * SECOND, 0, asked_at=SECOND), gone) == ["one-answer"]
    assert broken_rules(b.NodeDown(2 * SECOND, 0, asked_at=-SECOND), gone) == []
    assert broken_rules(b.NodeDown(2 * SECOND, 0, None, crashed=True), gone) == ["crash"]


def test_audit_excuses_requests_that_reach_a_killed_dispatcher_until_it_is_gone() -> None:
    """Guards against lost requests reported at a dispatcher whose killed process took long to end."""
    gone = b.Unanswered(2 * MS, 0, "r")  # taken at 0
    assert broken_rules(b.NodeDown(-80 * MS, 0, reaped_at=MS), gone) == []
    assert broken_rules(b.NodeDown(-80 * MS, 0, asked_at=-20 * SECOND, reaped_at=MS), gone) == []
    assert broken_rules(b.NodeDown(-80 * MS, 0, reaped_at=-MS), gone) == ["one-answer"]
    assert broken_rules(b.NodeDown(-80 * MS, 0), gone) == ["one-answer"]


def test_audit_reports_concurrent_attempts_repeats_and_wrong_refusals() -> None:
    refused = b.Answered(SECOND, 0, "r", 503)
    assert broken_rules(*attempted(1, 0, 0, "rejected"), *attempted(9, 1, 1, "done"), FINE) == []
    assert broken_rules(*attempted(1, 0, 0, "returned"), refused) == []
    assert broken_rules(*attempted(1, 0, 0, "broken"), *attempted(9, 1, 1, "done"), FINE) == ["one-effect"]
    assert broken_rules(*attempted(1, 0, 0, "broken"), refused) == ["one-effect"]
    assert broken_rules(*attempted(1, 0, 0, "closed"), *attempted(9, 1, 1, "done"), FINE, cls="keyed") == []
    assert broken_rules(*attempted(1, 0, 0, "closed"), *attempted(9, 2, 1, "done"), FINE, cls="keyed") == [
        "one-effect"
    ]
    late = attempted(11 * SECOND, 1, 1, "done")
    assert "one-effect" in broken_rules(*attempted(1, 0, 0, "closed"), *late, FINE, cls="keyed")
    both = [
        *attempted(1, 0, 0),
        *attempted(5, 1, 1, "done", 20),
        b.Over(9, 0, 0, "r", 0, "returned"),
        FINE,
    ]
    assert broken_rules(*both, cls="keyed") == ["one-effect"]  # concurrent attempts
    assert broken_rules(b.Written(1, 0, 0, "other", 0), FINE) == ["one-effect"]


def test_audit_reports_work_sent_to_draining_servers_and_overload_of_cold_servers() -> None:
    told = b.ToldOf(0, 0, 0, "DRAINING")
    assert (
        broken_rules(told, *attempted(2 * SECOND, 0, 0, "done"), b.Answered(2 * SECOND + 5, 0, "r", 500))
        == []
    )
    late = [*attempted(2 * SECOND + 1, 0, 0, "done"), b.Answered(2 * SECOND + 5, 0, "r", 500)]
    assert broken_rules(told, *late) == ["drain"]
    assert broken_rules(told, b.ToldOf(SECOND, 0, 0, "SERVING"), *late) == []
    assert (
        broken_rules(told, b.ToldOf(SECOND, 0, 0, "DELETED"), *late) == []
    )  # a new state restarts the grace
    restarted = b.ToldOf(SECOND, 1, 0, "SERVING", 8)  # told to another dispatcher, of a later process
    first = told._replace(boot_ms=7)
    assert broken_rules(first, restarted, *late, shared=True) == [] and broken_rules(
        first, restarted, *late
    ) == ["drain"]
    assert broken_rules(first, restarted._replace(boot_ms=7), *late, shared=True) == ["drain"]
    started = b.ToldOf(5 * SECOND, 0, 0, "SERVING")
    fell = b.Fell(6 * SECOND, 0, 4 * SECOND, {0: 700.0, 1: 300.0})
    answered = b.Answered(1, 0, "r", 500)
    assert broken_rules(answered, told, started, fell) == ["cold"]
    assert broken_rules(answered, fell) == []  # no dispatcher had been told of the start
    assert broken_rules(answered, told, started, fell._replace(pushed={0: 600.0, 1: 400.0})) == []


def test_score_weighs_timely_worth_and_subtracts_prices() -> None:
    scenario = small_scenario("warm_s: 0")
    rows = Plan(scenario, 1).requests
    outcomes = [RequestOutcome(r, r.aim_at, 0, r.aim_at, "served", 1) for r in rows]
    best = score(scenario, outcomes, Costs(100.0, 100.0, len(rows), 0, 0))
    assert best.score == best.service == pytest.approx(1.0)
    late = [
        RequestOutcome(r, r.aim_at + 1, 0, r.aim_at + 1, "served", 1) if r.cls else f
        for r, f in zip(rows, outcomes, strict=True)
    ]
    worse = score(scenario, late, Costs(100.0, 100.0, len(rows), len(rows), 0))
    assert worse.classes == {"keyed": pytest.approx(1.0), "unsafe": 0.0} and worse.worst_class == 0.0
    assert worse.score == pytest.approx(worse.service - 0.025)
    lost = [RequestOutcome(r, None, -1, r.deadline, "failed", 1) for r in rows]
    offered = sum(r.work for r in rows)
    none = score(scenario, lost, Costs(offered, 0.0, len(rows), 0, 10 * len(rows)))
    assert none.score == pytest.approx(-0.17 - 0.024 - 0.02)

"""Tests of the four dispatch rules and their edge cases, and a property test over random legal events."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings, strategies

from heronstall.interface import (
    PROVES_NOT_RUN,
    Arrival,
    Cancel,
    ClientGone,
    Event,
    Fail,
    JobNote,
    Outcome,
    ProbeResult,
    Refuse,
    Report,
    RequestClass,
    Send,
    Settings,
    Status,
    StreamStarted,
    Tenant,
    WorkerEntry,
    WorkerList,
)
from tests.balancer_harness import CLASSES, MS, SAFE, BalancerHarness, S, make_settings, workers

STATUSES: list[Status] = [
    "ok",
    "error",
    "rejected",
    "timeout",
    "no_connection",
    "reset",
    "cancelled",
    "not_sent",
]


@pytest.mark.parametrize("cls", range(5))
def test_a_waiting_request_is_answered_before_its_client_leaves(cls: int) -> None:
    harness = BalancerHarness()
    harness.request(1, cls)
    harness.run(CLASSES[cls].deadline - 100 * MS)
    harness.run(150 * MS)
    assert harness.answer(1) == "refused"


@pytest.mark.parametrize(("cls", "answer"), [(0, "refused"), (1, "failed"), (2, "failed"), (4, "refused")])
def test_a_request_whose_attempt_never_ends_is_answered_in_time(cls: int, answer: str) -> None:
    harness = BalancerHarness()
    harness.fleet(*workers(1))
    harness.request(1, cls)
    assert len(harness.sends()) == 1
    harness.started(1)
    harness.run(CLASSES[cls].deadline + 20 * MS)
    assert harness.answer(1) == answer


def test_the_time_left_overrides_the_class_deadline() -> None:
    harness = BalancerHarness()
    harness.request(1, 1, time_left=300 * MS)
    harness.run(290 * MS)
    assert harness.answer(1) == "" or harness.now <= harness.requests[1].client_deadline
    harness.run(30 * MS)
    assert harness.answer(1) == "refused"


def test_a_request_with_almost_no_time_left_is_refused_at_once() -> None:
    harness = BalancerHarness()
    harness.fleet(*workers(2))
    harness.request(1, 0, time_left=3 * MS)
    harness.run(20 * MS)
    assert harness.answer(1) == "refused" and not harness.requests[1].attempts


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("cls", range(5))
def test_each_outcome_with_each_class(status: Status, cls: int) -> None:
    harness = BalancerHarness()
    harness.fleet(*workers(6))
    harness.request(1, cls)
    harness.outcome(1, status)
    harness.run(100 * MS)
    proves_not_run = status in PROVES_NOT_RUN
    if status == "ok":
        assert harness.answer(1) == "served"
    elif CLASSES[cls].effect == "unsafe" and not proves_not_run:
        assert harness.answer(1) == "failed" and len(harness.requests[1].attempts) == 1
    else:
        assert len(harness.requests[1].attempts) == 2, "a repeatable request is retried on another worker"


def test_retries_end_with_the_repeat_window() -> None:
    for wait, tries in ((2900 * MS, 2), (3000 * MS, 1)):
        harness = BalancerHarness()
        harness.fleet(*workers(6))
        harness.request(1, 2)
        harness.started(1)
        harness.now += wait
        harness.report(*range(1, 7))
        harness.outcome(1, "error")
        assert len(harness.requests[1].attempts) == tries
        assert (harness.answer(1) == "failed") == (tries == 1)


def test_a_queued_job_is_not_retried_after_its_repeat_window() -> None:
    harness = BalancerHarness(make_settings(nodes=1))
    harness.fleet(*workers(6))
    harness.request(1, 2)
    harness.report(*range(1, 7), free=0.0)
    harness.now += 2900 * MS
    harness.report(*range(1, 7), free=0.0)
    harness.outcome(1, "error")
    harness.now += 200 * MS
    harness.report(*range(1, 7), free=4.0)
    assert harness.answer(1) == "failed" and len(harness.requests[1].attempts) == 1


def test_no_second_attempt_while_one_is_in_flight() -> None:
    harness = BalancerHarness()
    harness.fleet(*workers(4))
    harness.request(1, 0)
    assert any(isinstance(a, Cancel) for a in harness.run(1200 * MS))
    assert len(harness.requests[1].attempts) == 1
    harness.outcome(1, "cancelled")
    assert len(harness.requests[1].attempts) == 2


@pytest.mark.parametrize("state", ["leaving", "left", "missing"])
def test_a_worker_that_is_not_active_gets_no_jobs(state: str) -> None:
    harness = BalancerHarness()
    harness.fleet(*workers(2))
    if state == "missing":
        harness.step(WorkerList("complete", (workers(2)[1],)))
    else:
        harness.step(WorkerList("changes", (WorkerEntry(1, state=state),)))  # type: ignore[arg-type]
    for n in range(10):
        harness.request(n)
        assert [a.worker for a in harness.sends()] in ([], [2])


def work_sent_to_a_cold_worker(nodes: int, late: int = 0) -> float:
    """Returns the most work that all nodes together send to a just started worker within the rule's window.

    The nodes learn of the worker up to `late` apart, and none sees what the others send.
    """
    sent: list[tuple[int, float]] = []
    for node in range(nodes):
        harness = BalancerHarness(make_settings(nodes=nodes, me=node), seed=node)
        start = harness.now + 20 * S
        harness.fleet(*workers(1))
        harness.now = start + late * node // nodes
        harness.step(WorkerList("changes", (WorkerEntry(1, zone=1, cell=1, started_at=start),)))
        for n in range(40):
            harness.now += 100 * MS
            harness.report(1)
            harness.request(n, 0, work=200 * MS)
            for a in harness.sends():
                sent.append((harness.now, 200.0 * MS))
                if a.request == n:
                    harness.started(n)
                    harness.outcome(n, "rejected" if n % 2 else "ok")
    return max((sum(x for t, x in sent if at <= t < at + S) for at, _ in sent), default=0.0)


@pytest.mark.parametrize(("nodes", "late"), [(1, 0), (2, 0), (8, S), (50, 0), (166, 0), (166, 2 * S)])
def test_cold_budget_over_all_nodes_counts_rejected_sends_too(nodes: int, late: int) -> None:
    capacity = 4 * (0.3 + 0.7 * 4 / 8)  # slots at speed 1, halfway warm as at the end of the run
    assert 200 * MS <= work_sent_to_a_cold_worker(nodes, late) <= 3.0 * capacity * S, (
        "some work, within the budget"
    )


def test_a_restarted_node_sends_nothing_to_a_cold_worker_at_first() -> None:
    harness = BalancerHarness()
    harness.step(WorkerList("persisted", (WorkerEntry(1, started_at=harness.now - S),)))
    harness.request(1, 0, work=10 * MS)
    assert not harness.sends()


def test_a_stream_that_has_begun_has_no_deadline() -> None:
    harness = BalancerHarness(make_settings(classes=(RequestClass(aim=100 * MS, deadline=S, streamed=True),)))
    harness.fleet(*workers(2))
    harness.request(1, 0)
    harness.step(StreamStarted(1, harness.requests[1].attempts[0].worker, 0))
    harness.requests[1].client_deadline = harness.now + 60 * S
    harness.run(10 * S)
    assert harness.answer(1) == ""
    harness.outcome(1, "ok")
    assert harness.answer(1) == "served"


def test_events_of_unknown_requests_change_nothing() -> None:
    harness = BalancerHarness()
    harness.fleet(*workers(2))
    for e in (
        ClientGone(99),
        JobNote(99, 1, 0),
        Outcome(99, 1, 0, True, "ok"),
        StreamStarted(99, 1, 0),
        ProbeResult(55, True, 1, Report(util=0.5)),
        Arrival(98, 77, S),
    ):
        assert not [
            a for a in harness.balancer.handle(harness.now, [e]) if isinstance(a, (Send, Refuse, Fail))
        ]


@pytest.mark.parametrize(
    "invalid",
    [
        {"classes": ()},
        {"nodes": 0},
        {"tick": 0},
        {"max_attempts": 0},
        {"fall": 0},
        {"fall_multiple": 0.0},
        {"cold_from": 1.5},
        {"cold": -1},
        {"tenants": (Tenant(float("nan")),)},
        {"classes": (RequestClass(aim=-1, deadline=5),)},
        {"classes": (RequestClass(aim=1, deadline=5, effect="odd"),)},  # type: ignore[arg-type]
        {"classes": (RequestClass(aim=1, deadline=5, stretch=float("inf")),)},
    ],
)
def test_settings_out_of_range_raise_value_error(invalid: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=r"\w"):
        make_settings(**invalid)


VARIANTS: list[Settings] = [
    make_settings(),
    make_settings(cancelling=False, tells_start=False, probes=False, reports="none"),
    make_settings(second_copies=True, reports="answers", progress=2 * S),
    make_settings(discovery_on_request=True, tenants=(Tenant(5.0), Tenant(1.0)), cold=0),
]


def play_random_events(variant: int, seed: int, steps: int) -> list[str]:
    """Plays random legal events, with the rules checked after each step; returns the actions as text."""
    rng = random.Random(seed)
    harness = BalancerHarness(VARIANTS[variant], seed)
    harness.step(WorkerList("persisted", tuple(workers(3))))
    log: list[str] = []
    request_number = 0
    for _ in range(steps):
        events: list[Event] = []
        for _ in range(rng.randrange(4)):
            request_number += 1
            cls = rng.randrange(5)
            time_left = int(harness.settings.classes[cls].deadline * rng.choice([1.0, 1.0, 0.4, 0.001]))
            work = rng.choice([None, 20 * MS, 300 * MS, 4 * S])
            events.append(
                Arrival(request_number, cls, time_left, rng.randrange(2), None, work, rng.choice([1.0, 2.0]))
            )
        for request, c in list(harness.requests.items()):
            for n, t in enumerate(c.attempts):
                if t.is_open and rng.random() < 0.2:
                    status = rng.choice(STATUSES + ["ok"] * 5)
                    ended = bool(c.answer) or status == "ok"
                    report = Report(util=rng.random(), free_slots=float(rng.randrange(4)))
                    sent_report = report if rng.random() < 0.5 else None
                    events.append(Outcome(request, t.worker, n, ended, status, 1, sent_report))
                    if ended:
                        break
                elif t.is_open and rng.random() < 0.2:
                    events.append(JobNote(request, t.worker, n, rng.choice([None, 0.5])))
        if rng.random() < 0.3 and harness.entries:
            report = Report(util=rng.random(), inflight=2.0, free_slots=float(rng.randrange(5)))
            events.append(ProbeResult(rng.choice(list(harness.entries)), rng.random() < 0.8, 1, report))
        if rng.random() < 0.15:
            started_at = harness.now if rng.random() < 0.5 else None
            changed = workers(8, started_at=started_at)[rng.randrange(8)]
            state = rng.choice(["active", "active", "leaving", "left"])
            events.append(WorkerList("changes", (changed._replace(state=state),)))  # type: ignore[arg-type]
        if rng.random() < 0.02:
            events.append(WorkerList("complete", tuple(rng.sample(workers(8), 4))))
        if rng.random() < 0.02:
            events.append(WorkerList("error"))
        log.append(repr(harness.step(*events, after=rng.choice([4, 8, 40, 400]) * MS)))
    while any(not c.answer for c in harness.requests.values()):
        log.append(repr(harness.step(after=4 * MS)))
    return log


@settings(derandomize=True, deadline=None, max_examples=60)
@given(strategies.integers(0, len(VARIANTS) - 1), strategies.integers(0, 2**32))
def test_random_events_never_break_a_rule(variant: int, seed: int) -> None:
    play_random_events(variant, seed, 60)


def test_equal_events_lead_to_equal_actions() -> None:
    assert play_random_events(0, 11, 80) == play_random_events(0, 11, 80)
    assert SAFE.effect == CLASSES[0].effect

"""Tests of the decisions where no server reports load, so that only own attempts are known."""

from __future__ import annotations

import math
import random

import pytest

from heronstall.interface import RequestClass, Send, WorkerEntry, WorkerList
from tests.balancer_harness import MS, UNSAFE, BalancerHarness, S, make_settings, workers

SHORT = RequestClass(aim=150 * MS, deadline=5 * S, effect="safe", stretch=2.0)
SLOTS, WORK = 5, 200 * MS  # per server, per request
COLD, COLD_FROM, MULTIPLE = 8 * S, 0.3, 3.0


def make_harness(**changes: object) -> BalancerHarness:
    defaults: dict[str, object] = {"reports": "none", "probes": False, "cancelling": False}
    return BalancerHarness(make_settings(**{**defaults, **changes}))


def test_a_job_that_times_out_after_its_aim_is_refused_without_a_retry() -> None:
    harness = make_harness(classes=(SHORT,), nodes=1)
    harness.step(WorkerList("complete", tuple(workers(4))))
    harness.request(1, 0, work=WORK)
    (send,) = harness.sends()
    assert send.timeout == 5 * S // 2
    harness.now += send.timeout
    harness.outcome(1, "timeout")
    assert harness.answer(1) == "refused" and not harness.sends()


def test_a_job_that_times_out_early_enough_is_retried() -> None:
    harness = make_harness(classes=(RequestClass(aim=4 * S, deadline=5 * S, effect="safe"),), nodes=1)
    harness.step(WorkerList("complete", tuple(workers(4))))
    harness.request(1, 0, work=WORK)
    harness.now += 5 * S // 2
    harness.outcome(1, "timeout")
    assert len(harness.requests[1].attempts) == 2


@pytest.mark.parametrize("started", [False, True])
def test_a_server_whose_attempt_times_out_unstarted_is_ejected(started: bool) -> None:
    """A server that started the attempt may be slow with this job only."""
    harness = make_harness(classes=(SHORT, UNSAFE), nodes=1)
    harness.step(WorkerList("complete", tuple(workers(4))))
    harness.request(1, 0, work=WORK)
    (send,) = harness.sends()
    if started:
        harness.started(1)
    harness.now += send.timeout
    harness.outcome(1, "timeout")
    used = set()
    for n in range(2, 60):
        harness.request(n, 1, work=MS)
        used |= {a.worker for a in harness.sends()}
        harness.started(n)
        harness.outcome(n, "ok")
        harness.now += 5 * MS
    assert (send.worker in used) is started
    assert len(used) >= 3


def sent_to_a_cold_server(nodes: int, reports: str, seed: int) -> tuple[int, float]:
    """Returns the most requests that all nodes together send to a just started server within the rule's
    window, and the rule's limit N at that time.

    Ten warm servers use four fifths of their slots. Some nodes have several times the traffic of others, and
    no node knows what another one sends.
    """
    rng = random.Random(seed)
    shares = [rng.choice((0.5, 0.5, 1.0, 3.0)) for _ in range(nodes)]
    rate = 10 * SLOTS * 0.8 / (WORK / S) / sum(shares)  # requests per second for a share of one
    sent: list[int] = []
    start = 0
    for node, share in enumerate(shares):
        settings = make_settings(
            nodes=nodes,
            me=node,
            classes=(RequestClass(aim=S, deadline=5 * S, stretch=2.0),),
            reports=reports,
            probes=reports != "none",
            cold=COLD,
            cold_from=COLD_FROM,
            fall_multiple=MULTIPLE,
        )
        harness = BalancerHarness(settings, seed=seed * 1000 + node)
        harness.step(WorkerList("complete", tuple(workers(10))))
        start = harness.now + 6 * S
        listed = False
        running: list[tuple[int, int]] = []
        number = 0
        next_arrival = harness.now + int(rng.expovariate(rate * share) * S)
        while harness.now < start + 3 * S:
            at = min([next_arrival, *(end for end, _ in running[:1])])
            harness.now = at
            if not listed and harness.now >= start:
                listed = True
                harness.step(WorkerList("changes", (WorkerEntry(99, zone=1, cell=1, started_at=start),)))
            if running and running[0][0] <= at:
                harness.outcome(running.pop(0)[1], "ok")
            else:
                next_arrival = at + int(rng.expovariate(rate * share) * S)
                if reports != "none":
                    harness.report(*harness.entries, free=1.0, util=0.8)
                number += 1
                harness.request(number, 0, work=WORK)
            for action in harness.last_actions:
                if isinstance(action, Send):
                    if action.worker == 99:
                        sent.append(harness.now)
                    harness.started(action.request)
                    running.append((harness.now + WORK, action.request))
    worst = max((sum(at <= t < at + S for t in sent) for at in sent), default=0)
    warmth = COLD_FROM + (1 - COLD_FROM) * 3 / 8  # at the end of the measured time
    return worst, MULTIPLE * SLOTS * warmth / (WORK / S)


@pytest.mark.parametrize("nodes", [1, 5, 20, 30])
@pytest.mark.parametrize("reports", ["none", "answers"])
def test_all_nodes_together_respect_the_budget_of_a_cold_server(nodes: int, reports: str) -> None:
    """At most N + 2 * sqrt(N) + 2 requests of mean work without coordination, but enough to warm it up."""
    for seed in range(3):
        worst, limit = sent_to_a_cold_server(nodes, reports, seed)
        assert worst <= limit + 2 * math.sqrt(limit) + 2, (seed, worst, limit)
        if reports == "none":  # the reports here are invented and may leave no room
            assert worst >= 0.1 * limit, (seed, worst, limit)


@pytest.mark.parametrize("reports", ["none", "answers"])
def test_slow_starts_never_make_a_node_refuse_everything_for_seconds(reports: str) -> None:
    harness = make_harness(classes=(SHORT,), nodes=200, me=3, reports=reports)
    harness.step(WorkerList("complete", tuple(workers(20))))
    sent_at = [harness.now]
    waiting: list[tuple[int, int]] = []
    for number in range(60 * 4):  # a minute at four requests per second
        harness.now += 250 * MS
        for late in [n for at, n in waiting if harness.now >= at + S]:
            waiting = [(at, n) for at, n in waiting if n != late]
            harness.started(late)
            harness.outcome(late, "ok")
        harness.request(number, 0, work=WORK)
        for action in harness.sends():
            sent_at.append(harness.now)
            waiting.append((harness.now, action.request))
    gaps = [b - a for a, b in zip(sent_at, [*sent_at[1:], harness.now], strict=True)]
    assert len(sent_at) < 200, "some are refused"
    assert sum(gap > 4 * S for gap in gaps) <= 1, max(gaps)

"""Tests of the decisions where workers do not signal the start of a job, or report no load at all."""

from __future__ import annotations

from heronstall.interface import JobNote, Outcome, Report, RequestClass, WorkerEntry, WorkerList
from tests.balancer_harness import MS, BalancerHarness, S, make_settings

LONG = RequestClass(aim=3 * S, deadline=25 * S, effect="safe", stretch=2.0, late_worth=0.25)
SHORT = RequestClass(aim=300 * MS, deadline=5 * S, effect="safe", stretch=2.0, late_worth=0.25)
RUN = 2 * S  # running time of a long job


def harness_without_start_signals(**changes: object) -> BalancerHarness:
    """Returns a harness with reports in answers and progress notes every second, but no start signals."""
    defaults: dict[str, object] = {
        "classes": (LONG, SHORT),
        "tells_start": False,
        "progress": S,
        "reports": "answers",
        "probes": False,
        "nodes": 4,
    }
    return BalancerHarness(make_settings(**{**defaults, **changes}))


def serve(harness: BalancerHarness, number: int, **report: float) -> None:
    """Lets the newest attempt of a request succeed, with a report."""
    tries = harness.requests[number].attempts
    last = len(tries) - 1
    harness.step(Outcome(number, tries[last].worker, last, True, "ok", 1000, Report(**report)))


def worker_list(count: int) -> WorkerList:
    return WorkerList("complete", tuple(WorkerEntry(n, zone=n % 2) for n in range(1, count + 1)))


def test_a_first_progress_note_is_not_a_slow_start() -> None:
    """Each job starts at once and sends its first note a second later; none may be refused."""
    harness = harness_without_start_signals()
    harness.step(worker_list(4))
    for number in range(60):
        harness.request(number, 0)
        assert harness.sends(), f"request {number} was not sent though every worker is idle"
        attempt = len(harness.requests[number].attempts) - 1
        harness.step(JobNote(number, harness.requests[number].attempts[-1].worker, attempt, 0.5), after=S)
        harness.now += RUN - S
        serve(harness, number, util=0.2, inflight=1.0, free_slots=4.0)
        assert harness.answer(number) == "served"


def test_the_running_time_without_a_start_signal_counts_from_the_send() -> None:
    """Jobs too short for a progress note still update the mean running time."""
    harness = harness_without_start_signals()
    harness.step(worker_list(2))
    initial = harness.balancer._mean_work[1]
    for number in range(100):
        harness.request(number, 1, work=None)  # type: ignore[arg-type]
        harness.now += 100 * MS
        serve(harness, number, util=0.2, inflight=1.0, free_slots=4.0)
    assert harness.balancer._mean_work[1] < initial / 2


def test_without_start_signals_jobs_go_to_workers_with_free_slots() -> None:
    """A job that waits at a full worker could neither be detected nor moved."""
    harness = harness_without_start_signals(nodes=8)
    harness.step(worker_list(4))
    for worker in range(1, 5):  # a first job there tells each worker's slots
        number = 1000 + worker
        while not any(t.worker == worker for c in harness.requests.values() for t in c.attempts):
            harness.request(number, 1)
            harness.now += 50 * MS
            serve(harness, number, util=0.5, inflight=2.0, free_slots=3.0)
            number += 10
    harness.now += 2 * S
    chosen: list[int] = []
    for number in range(40):
        harness.request(number, 1)
        worker = harness.sends()[0].worker
        chosen.append(worker)
        harness.now += 30 * MS
        free = 4.0 if worker == 1 else 0.0
        serve(harness, number, util=0.5, inflight=5.0 - free, free_slots=free)
    assert chosen[20:].count(1) >= 18


def test_full_workers_are_retried_where_nothing_reports() -> None:
    """A temporary overload of all workers must not exclude them for ever."""
    harness = BalancerHarness(make_settings(classes=(SHORT,), nodes=1, reports="none", probes=False))
    harness.step(worker_list(3))
    for number in range(30):  # no start is signalled, so each worker counts as full
        harness.request(number, 0)
    harness.run(3 * S)
    for number, client in harness.requests.items():
        for k, t in enumerate(client.attempts):
            if t.is_open:
                harness.step(Outcome(number, t.worker, k, False, "cancelled"))
    harness.run(5 * S)
    harness.request(100, 0)
    sent = harness.sends()
    harness.run(200 * MS)
    assert sent or harness.requests[100].attempts, (
        "no worker was retried though all have been idle for seconds"
    )


def test_a_job_of_many_slots_is_sent_where_nothing_reports() -> None:
    """The slots of a worker are unknown there; only its kind can exclude a job."""
    harness = BalancerHarness(make_settings(classes=(SHORT,), nodes=1, reports="none", probes=False))
    harness.step(worker_list(3))
    harness.request(1, 0, slots=4.0)
    assert harness.sends()

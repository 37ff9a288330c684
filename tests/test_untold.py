"""Decisions where workers do not tell when a job starts, or report no load at all."""

from __future__ import annotations

from heronstall.interface import JobNote, Outcome, Report, RequestClass, WorkerEntry, WorkerList
from tests.world import MS, S, World, make_settings

LONG = RequestClass(aim=3 * S, deadline=25 * S, effect="safe", stretch=2.0, late_worth=0.25)
SHORT = RequestClass(aim=300 * MS, deadline=5 * S, effect="safe", stretch=2.0, late_worth=0.25)
RUN = 2 * S  # of a long job


def without_starts(**changes: object) -> World:
    """Reports come in answers; a running job tells its progress every second, not its start."""
    given: dict[str, object] = {
        "classes": (LONG, SHORT),
        "tells_start": False,
        "progress": S,
        "reports": "answers",
        "probes": False,
        "nodes": 4,
    }
    return World(make_settings(**{**given, **changes}))


def served(w: World, number: int, **report: float) -> None:
    """The newest attempt of a request ends well, with a report."""
    tries = w.clients[number].tries
    last = len(tries) - 1
    w.step(Outcome(number, tries[last].worker, last, True, "ok", 1000, Report(**report)))


def list_of(count: int) -> WorkerList:
    return WorkerList("complete", tuple(WorkerEntry(n, zone=n % 2) for n in range(1, count + 1)))


def test_a_first_note_of_progress_is_no_slow_start() -> None:
    """Each job starts at once and tells of itself a second later; none is turned away."""
    w = without_starts()
    w.step(list_of(4))
    for number in range(60):
        w.request(number, 0)
        assert w.sends(), f"request {number} was not sent though every worker is idle"
        attempt = len(w.clients[number].tries) - 1
        w.step(JobNote(number, w.clients[number].tries[-1].worker, attempt, 0.5), after=S)
        w.now += RUN - S
        served(w, number, util=0.2, inflight=1.0, free_slots=4.0)
        assert w.answer(number) == "served"


def test_the_run_of_a_job_without_a_told_start_counts_from_its_sending() -> None:
    """Jobs too short for a note of progress teach the mean running time all the same."""
    w = without_starts()
    w.step(list_of(2))
    before = w.balancer._mean_work[1]
    for number in range(100):
        w.request(number, 1, work=None)  # type: ignore[arg-type]
        w.now += 100 * MS
        served(w, number, util=0.2, inflight=1.0, free_slots=4.0)
    assert w.balancer._mean_work[1] < before / 2


def test_without_told_starts_jobs_go_where_reports_leave_room() -> None:
    """A job that waits at a full worker could not be seen to wait, nor moved."""
    w = without_starts(nodes=8)
    w.step(list_of(4))
    for worker in range(1, 5):  # learn each worker's size by a first job there
        number = 1000 + worker
        while not any(t.worker == worker for c in w.clients.values() for t in c.tries):
            w.request(number, 1)
            w.now += 50 * MS
            served(w, number, util=0.5, inflight=2.0, free_slots=3.0)
            number += 10
    w.now += 2 * S
    chosen: list[int] = []
    for number in range(40):
        w.request(number, 1)
        worker = w.sends()[0].worker
        chosen.append(worker)
        w.now += 30 * MS
        free = 4.0 if worker == 1 else 0.0
        served(w, number, util=0.5, inflight=5.0 - free, free_slots=free)
    assert chosen[20:].count(1) >= 18


def test_workers_seen_full_are_tried_again_where_nothing_reports() -> None:
    """One jam at every worker must not leave a node without any for ever."""
    w = World(make_settings(classes=(SHORT,), nodes=1, reports="none", probes=False))
    w.step(list_of(3))
    for number in range(30):  # fills all; none tells of a start, so each worker is taken for full
        w.request(number, 0)
    w.run(3 * S)
    for number, client in w.clients.items():
        for k, t in enumerate(client.tries):
            if t.out:
                w.step(Outcome(number, t.worker, k, False, "cancelled"))
    w.run(5 * S)
    w.request(100, 0)
    sent = w.sends()
    w.run(200 * MS)
    assert sent or w.clients[100].tries, "no worker was tried again though all have been idle for seconds"


def test_a_job_of_many_slots_is_sent_where_nothing_reports() -> None:
    """What a worker holds is not known there: only its own list of kinds rules a job out."""
    w = World(make_settings(classes=(SHORT,), nodes=1, reports="none", probes=False))
    w.step(list_of(3))
    w.request(1, 0, slots=4.0)
    assert w.sends()

"""Exchange of observations of the servers: encoding, merging and their effect on the decisions."""

from __future__ import annotations

import contextlib
import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heronstall import interface as i
from heronstall.decide import Balancer
from heronstall.knowledge.observations import (
    MAX_FAILURE_AGE_US,
    MAX_OBSERVATION_AGE_US,
    Message,
    Observation,
    ServerObserver,
    UnreadableMessage,
    pack,
    unpack,
)
from heronstall.knowledge.store import SHUN_LOST_ATTEMPTS, SHUN_TIME_US, ObservationStore

SECOND = 1_000_000
FREE = i.Report(util=0.2, inflight=1.0, free_slots=4.0)
FULL = i.Report(util=1.0, inflight=5.0, free_slots=0.0)

figures = st.none() | st.floats(0, 100)
observations = st.builds(
    Observation,
    st.sampled_from(["s-1", "s-2", "s-3", "s-4"]),
    st.integers(0, 2),
    st.integers(0, 12_000).map(lambda ms: ms * 1000),
    figures,
    figures,
    figures,
    st.integers(0, 4),
)
messages = st.builds(
    Message,
    st.sampled_from(["n0", "n1", "n2", "n3"]),
    st.tuples(st.integers(1, 2), st.integers(1, 3)),
    st.lists(observations, max_size=4, unique_by=lambda o: (o.uid, o.boot_ms)).map(tuple),
)


def unique_stamps(generated: list[Message]) -> list[Message]:
    """Keeps one message for each stamp of a process, as a process sends no two with the same stamp."""
    return list({(m.node, m.stamp): m for m in generated}.values())


def find_number(uid: str, boot_ms: int) -> int | None:
    return int(uid[2:]) if boot_ms < 2 else None


# ---------------------------------------------------------------------- encoding


@given(messages)
def test_a_packed_message_unpacks_to_the_same_message(message: Message) -> None:
    assert unpack(pack(message)) == message


@given(
    st.binary(max_size=200)
    | st.recursive(st.none() | st.integers() | st.floats() | st.text(), st.lists).map(
        lambda value: json.dumps(
            {"format": "heronstall.knowledge", "v": 1, "node": "a", "life": 1, "number": 1, "sights": [value]}
        ).encode()
    )
)
def test_any_data_is_a_message_or_unreadable(data: bytes) -> None:
    with contextlib.suppress(UnreadableMessage):
        unpack(data)


def test_unknown_fields_of_a_later_version_are_ignored_and_a_partial_message_is_refused() -> None:
    fields = json.loads(pack(Message("a", (1, 2), (Observation("s-1", 0, 1000, 1.0),))))
    fields["sights"][0].append("more")
    fields["more"] = 1
    assert unpack(json.dumps(fields).encode()).observations[0].free_slots == 1.0
    with pytest.raises(UnreadableMessage, match="version 2"):
        unpack(json.dumps({**fields, "v": 2}).encode())
    for wrong in ("s", True, -1, 1e300):
        fields["sights"].append(["s-2", 0, 1, wrong, None, None, 0])
        with pytest.raises(UnreadableMessage):
            unpack(json.dumps(fields).encode())
        fields["sights"].pop()


# ---------------------------------------------------------------------- merging


@given(st.lists(messages, max_size=8).map(unique_stamps), st.randoms())
def test_messages_merge_to_the_same_in_any_order_number_and_grouping(
    received: list[Message], rng: random.Random
) -> None:
    def hearsay_after(order: list[Message]) -> list[i.Hearsay]:
        store = ObservationStore()
        for message in order:
            store.merge(message, 0)
        return store.hearsay(SECOND, find_number)

    shuffled = [*received, *received]
    rng.shuffle(shuffled)
    assert hearsay_after(shuffled) == hearsay_after(received)
    left, right = ObservationStore(), ObservationStore()
    for n, message in enumerate(received):
        (left, right)[n % 2].merge(message, 0)
    for entry in right.messages.values():  # merges one whole store into another
        left.merge(entry.message, entry.requested_at)
    assert left.hearsay(SECOND, find_number) == hearsay_after(received)


@given(st.lists(messages, max_size=8))
def test_hearsay_has_no_unknown_server_and_no_observation_that_is_too_old(received: list[Message]) -> None:
    store = ObservationStore()
    for message in received:
        store.merge(message, 0)
    for row in store.hearsay(SECOND, find_number):
        assert row.worker in (1, 2, 3, 4) and row.age <= MAX_OBSERVATION_AGE_US
    assert store.hearsay(SECOND, lambda uid, boot_ms: None) == []
    assert store.hearsay(MAX_OBSERVATION_AGE_US + 13 * SECOND, find_number) == []


def hearsay_of(*observed: tuple[str, Observation]) -> dict[int, i.Hearsay]:
    store = ObservationStore()
    for n, (node, observation) in enumerate(observed):
        # Two servers that all processes observe as good.
        others = (Observation("s-8", 0, 0, 3.0), Observation("s-9", 0, 0, 3.0))
        store.merge(Message(node, (1, n), (observation, *others)), 0)
    return {row.worker: row for row in store.hearsay(0, find_number)}


def test_a_single_false_observation_is_outvoted_in_both_directions() -> None:
    good = Observation("s-1", 0, 0, 2.0, 1.0, 0.5)
    lost = Observation("s-1", 0, 0, None, None, None, SHUN_LOST_ATTEMPTS)
    praised = hearsay_of(("a", good), ("b", good), ("liar", good._replace(free_slots=900.0)))[1]
    assert praised.report is not None and praised.report.free_slots == 2.0
    assert hearsay_of(("a", good), ("b", good), ("liar", lost))[1].shun == 0
    assert hearsay_of(("a", lost), ("b", lost), ("liar", good))[1].shun == SHUN_TIME_US
    assert hearsay_of(("alone", lost))[1].shun == SHUN_TIME_US  # no other process has sent a message


def test_no_server_is_shunned_when_most_of_them_have_trouble() -> None:
    store = ObservationStore()
    for node in ("a", "b"):
        store.merge(
            Message(node, (1, 1), tuple(Observation(f"s-{n}", 0, 0, None, None, None, 3) for n in range(5))),
            0,
        )
    assert [row.shun for row in store.hearsay(0, find_number)] == [0] * 5


def test_own_observations_are_sent_and_hearsay_is_not() -> None:
    observer = ServerObserver()
    lost = i.Outcome(1, 3, 0, False, "no_connection")
    observer.observe(0, [i.Hearsay(1, 0, FREE), i.ProbeResult(2, True, 100, FREE), lost, lost], [])
    servers = [(1, "s-1", 0), (2, "s-2", 0), (3, "s-3", 0)]
    assert [(o.uid, o.free_slots, o.lost_attempts) for o in observer.observations(SECOND, servers)] == [
        ("s-2", 4.0, 0),
        ("s-3", None, 2),
    ]
    assert observer.observations(SECOND, servers)[0].age == SECOND
    observer.observe(2 * SECOND, [i.Outcome(2, 3, 0, True, "ok", 1, FULL)], [])
    assert [o.lost_attempts for o in observer.observations(2 * SECOND, servers)] == [0, 0]
    observer.forget(3)  # it has restarted
    assert [o.uid for o in observer.observations(3 * SECOND, servers)] == ["s-2"]
    assert observer.observations(MAX_OBSERVATION_AGE_US + MAX_FAILURE_AGE_US, servers) == []


# ---------------------------------------------------------------------- the effect on the decisions

CLASS = i.RequestClass(aim=2 * SECOND, deadline=4 * SECOND)
SETTINGS = i.Settings(classes=(CLASS,), reports="answers", cold=4 * SECOND, cold_from=0.1)


def started_balancer(states: tuple[str, ...] = ("active", "active"), started: int | None = None) -> Balancer:
    balancer = Balancer(SETTINGS, 1)
    entries = tuple(
        i.WorkerEntry(n + 1, state=state, started_at=started)  # type: ignore[arg-type]
        for n, state in enumerate(states)
    )
    balancer.handle(SECOND, [i.WorkerList("complete", entries)])
    return balancer


def sent_to(balancer: Balancer, now: int, jobs: int = 40) -> list[int]:
    arrivals = [i.Arrival(n + 1, 0, 4 * SECOND) for n in range(jobs)]
    actions = [a for e in arrivals for a in balancer.handle(now, [e])]
    return [a.worker for a in actions if isinstance(a, i.Send)]


def test_no_job_is_sent_to_a_server_that_others_observed_as_full_or_dead() -> None:
    assert set(sent_to(started_balancer(), 2 * SECOND)) == {1, 2}
    full, dead = started_balancer(), started_balancer()
    full.handle(SECOND, [i.Hearsay(1, 100_000, FULL), i.Hearsay(2, 100_000, FREE)])
    dead.handle(SECOND, [i.Hearsay(1, 100_000, None, SHUN_TIME_US)])
    assert sent_to(full, SECOND, 2) == [2, 2]
    assert set(sent_to(dead, SECOND)) == {2}


def test_hearsay_ends_no_drain_adds_no_server_and_admits_no_cold_server() -> None:
    balancer = started_balancer(("active", "leaving"))
    balancer.handle(SECOND, [i.Hearsay(2, 0, FREE), i.Hearsay(7, 0, FREE)])
    assert set(sent_to(balancer, SECOND)) <= {1}
    cold, informed = started_balancer(started=0), started_balancer(started=0)
    informed.handle(SECOND, [i.Hearsay(1, 0, FREE), i.Hearsay(2, 0, FREE)])
    assert len(sent_to(informed, 2 * SECOND + 1)) <= len(sent_to(cold, 2 * SECOND + 1)) + 2


def test_hearsay_older_than_own_observations_is_ignored() -> None:
    balancer = started_balancer()
    balancer.handle(SECOND, [i.ProbeResult(1, True, 1, FREE), i.ProbeResult(2, True, 1, FULL)])
    balancer.handle(
        2 * SECOND, [i.Hearsay(1, SECOND + 1, FULL, SHUN_TIME_US), i.Hearsay(2, SECOND + 1, FREE)]
    )
    assert balancer.ejected_workers(2 * SECOND) == []
    assert set(sent_to(balancer, 2 * SECOND, 3)) == {1}

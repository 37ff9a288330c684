"""What others have seen of the servers: its form, its merging, what the decisions make of it."""

from __future__ import annotations

import contextlib
import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heronstall import interface as i
from heronstall.decide import Balancer
from heronstall.knowledge.book import LOST, SHUN, Book
from heronstall.knowledge.sights import LOST_FOR, OLDEST, Sight, Unreadable, Witness, Word, pack, unpack

SECOND = 1_000_000
FREE = i.Report(util=0.2, inflight=1.0, free_slots=4.0)
FULL = i.Report(util=1.0, inflight=5.0, free_slots=0.0)

figures = st.none() | st.floats(0, 100)
sights = st.builds(
    Sight,
    st.sampled_from(["s-1", "s-2", "s-3", "s-4"]),
    st.integers(0, 2),
    st.integers(0, 12_000).map(lambda ms: ms * 1000),
    figures,
    figures,
    figures,
    st.integers(0, 4),
)
words = st.builds(
    Word,
    st.sampled_from(["n0", "n1", "n2", "n3"]),
    st.tuples(st.integers(1, 2), st.integers(1, 3)),
    st.lists(sights, max_size=4, unique_by=lambda s: (s.uid, s.boot_ms)).map(tuple),
)


def one_each(told: list[Word]) -> list[Word]:
    """A process says one thing under one stamp."""
    return list({(w.node, w.stamp): w for w in told}.values())


def place(uid: str, boot_ms: int) -> int | None:
    return int(uid[2:]) if boot_ms < 2 else None


# ---------------------------------------------------------------------- form


@given(words)
def test_a_word_comes_as_it_was_sent(word: Word) -> None:
    assert unpack(pack(word)) == word


@given(
    st.binary(max_size=200)
    | st.recursive(st.none() | st.integers() | st.floats() | st.text(), st.lists).map(
        lambda told: json.dumps(
            {"format": "heronstall.knowledge", "v": 1, "node": "a", "life": 1, "number": 1, "sights": [told]}
        ).encode()
    )
)
def test_whatever_comes_is_a_word_or_unreadable(data: bytes) -> None:
    with contextlib.suppress(Unreadable):
        unpack(data)


def test_a_later_version_may_say_more_and_half_a_word_counts_for_nothing() -> None:
    told = json.loads(pack(Word("a", (1, 2), (Sight("s-1", 0, 1000, 1.0),))))
    told["sights"][0].append("more")
    told["more"] = 1
    assert unpack(json.dumps(told).encode()).sights[0].free == 1.0
    with pytest.raises(Unreadable, match="version 2"):
        unpack(json.dumps({**told, "v": 2}).encode())
    for wrong in ("s", True, -1, 1e300):
        told["sights"].append(["s-2", 0, 1, wrong, None, None, 0])
        with pytest.raises(Unreadable):
            unpack(json.dumps(told).encode())
        told["sights"].pop()


# ---------------------------------------------------------------------- merging


@given(st.lists(words, max_size=8).map(one_each), st.randoms())
def test_words_merge_to_the_same_in_any_order_number_and_grouping(
    told: list[Word], draw: random.Random
) -> None:
    def after(order: list[Word]) -> list[i.Hearsay]:
        book = Book()
        for word in order:
            book.merge(word, 0)
        return book.hearsay(SECOND, place)

    shuffled = [*told, *told]
    draw.shuffle(shuffled)
    assert after(shuffled) == after(told)
    left, right = Book(), Book()
    for n, word in enumerate(told):
        (left, right)[n % 2].merge(word, 0)
    for heard in right.words.values():  # one whole book into another
        left.merge(heard.word, heard.at)
    assert left.hearsay(SECOND, place) == after(told)


@given(st.lists(words, max_size=8))
def test_hearsay_names_no_server_that_is_not_known_and_none_too_old(told: list[Word]) -> None:
    book = Book()
    for word in told:
        book.merge(word, 0)
    for row in book.hearsay(SECOND, place):
        assert row.worker in (1, 2, 3, 4) and row.age <= OLDEST
    assert book.hearsay(SECOND, lambda uid, boot_ms: None) == []
    assert book.hearsay(OLDEST + 13 * SECOND, place) == []


def told(*said: tuple[str, Sight]) -> dict[int, i.Hearsay]:
    book = Book()
    for n, (node, sight) in enumerate(said):
        more = (Sight("s-8", 0, 0, 3.0), Sight("s-9", 0, 0, 3.0))  # what all find good
        book.merge(Word(node, (1, n), (sight, *more)), 0)
    return {row.worker: row for row in book.hearsay(0, place)}


def test_one_that_lies_is_outvoted_both_ways() -> None:
    good = Sight("s-1", 0, 0, 2.0, 1.0, 0.5)
    lost = Sight("s-1", 0, 0, None, None, None, LOST)
    rosy = told(("a", good), ("b", good), ("liar", good._replace(free=900.0)))[1]
    assert rosy.report is not None and rosy.report.free_slots == 2.0
    assert told(("a", good), ("b", good), ("liar", lost))[1].shun == 0
    assert told(("a", lost), ("b", lost), ("liar", good))[1].shun == SHUN
    assert told(("alone", lost))[1].shun == SHUN  # nobody else has said anything


def test_a_trouble_of_all_leaves_out_none() -> None:
    book = Book()
    for node in ("a", "b"):
        book.merge(Word(node, (1, 1), tuple(Sight(f"s-{n}", 0, 0, None, None, None, 3) for n in range(5))), 0)
    assert [row.shun for row in book.hearsay(0, place)] == [0] * 5


def test_what_was_seen_is_told_and_what_was_heard_is_not() -> None:
    witness = Witness()
    lost = i.Outcome(1, 3, 0, False, "no_connection")
    witness.observe(0, [i.Hearsay(1, 0, FREE), i.ProbeResult(2, True, 100, FREE), lost, lost], [])
    servers = [(1, "s-1", 0), (2, "s-2", 0), (3, "s-3", 0)]
    assert [(s.uid, s.free, s.lost) for s in witness.sights(SECOND, servers)] == [
        ("s-2", 4.0, 0),
        ("s-3", None, 2),
    ]
    assert witness.sights(SECOND, servers)[0].age == SECOND
    witness.observe(2 * SECOND, [i.Outcome(2, 3, 0, True, "ok", 1, FULL)], [])
    assert [s.lost for s in witness.sights(2 * SECOND, servers)] == [0, 0]
    witness.forget(3)  # it started anew
    assert [s.uid for s in witness.sights(3 * SECOND, servers)] == ["s-2"]
    assert witness.sights(OLDEST + LOST_FOR, servers) == []


# ---------------------------------------------------------------------- what the decisions make of it

CLASS = i.RequestClass(aim=2 * SECOND, deadline=4 * SECOND)
SETTINGS = i.Settings(classes=(CLASS,), reports="answers", cold=4 * SECOND, cold_from=0.1)


def begun(states: tuple[str, ...] = ("active", "active"), started: int | None = None) -> Balancer:
    balancer = Balancer(SETTINGS, 1)
    entries = tuple(
        i.WorkerEntry(n + 1, state=state, started_at=started)  # type: ignore[arg-type]
        for n, state in enumerate(states)
    )
    balancer.handle(SECOND, [i.WorkerList("complete", entries)])
    return balancer


def sent_to(balancer: Balancer, now: int, jobs: int = 40) -> list[int]:
    arrivals = [i.Arrival(n + 1, 0, 4 * SECOND) for n in range(jobs)]
    said = [a for e in arrivals for a in balancer.handle(now, [e])]
    return [a.worker for a in said if isinstance(a, i.Send)]


def test_a_full_or_dead_server_that_others_know_of_is_not_found_out_by_jobs() -> None:
    assert set(sent_to(begun(), 2 * SECOND)) == {1, 2}
    full, dead = begun(), begun()
    full.handle(SECOND, [i.Hearsay(1, 100_000, FULL), i.Hearsay(2, 100_000, FREE)])
    dead.handle(SECOND, [i.Hearsay(1, 100_000, None, SHUN)])
    assert sent_to(full, SECOND, 2) == [2, 2]
    assert set(sent_to(dead, SECOND)) == {2}


def test_hearsay_lifts_no_drain_names_nobody_and_opens_no_cold_server() -> None:
    balancer = begun(("active", "leaving"))
    balancer.handle(SECOND, [i.Hearsay(2, 0, FREE), i.Hearsay(7, 0, FREE)])
    assert set(sent_to(balancer, SECOND)) <= {1}
    cold, told = begun(started=0), begun(started=0)
    told.handle(SECOND, [i.Hearsay(1, 0, FREE), i.Hearsay(2, 0, FREE)])
    assert len(sent_to(told, 2 * SECOND + 1)) <= len(sent_to(cold, 2 * SECOND + 1)) + 2


def test_hearsay_older_than_what_was_seen_here_counts_for_nothing() -> None:
    balancer = begun()
    balancer.handle(SECOND, [i.ProbeResult(1, True, 1, FREE), i.ProbeResult(2, True, 1, FULL)])
    balancer.handle(2 * SECOND, [i.Hearsay(1, SECOND + 1, FULL, SHUN), i.Hearsay(2, SECOND + 1, FREE)])
    assert balancer.ejected_workers(2 * SECOND) == []
    assert set(sent_to(balancer, 2 * SECOND, 3)) == {1}

"""The register of a job in hand: its words, its witnesses, its owners, and all their interleavings."""

from __future__ import annotations

import contextlib
import json
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from heronstall.takeover.messages import Job, Phase, State, Unreadable, Word, epoch, pack, unpack
from heronstall.takeover.ownership import Holder, Taker
from heronstall.takeover.succession import Roster, in_order
from heronstall.takeover.witness import Register, Witness
from tests.explore import JOB, KEY, LONG, WITNESSES, begun, crashes, explore, held, owner, steps, takes_over

SECOND = 1_000_000

whole, text = st.integers(0, 1 << 53), st.text(max_size=12)
states = st.builds(
    State, whole, whole, text, whole, st.sampled_from(Phase), text, whole, text, text, text, text
)
words = st.builds(
    Word,
    st.sampled_from(("put", "take", "ask", "ack", "no", "promise", "tell")),
    text,
    whole,
    whole,
    st.none() | states,
    st.booleans(),
    st.booleans(),
    st.none() | st.builds(Job, whole, whole, text),
)


@given(words)
def test_a_word_comes_as_it_was_said(word: Word) -> None:
    assert unpack(pack(word).strip()) == word


@given(
    st.binary(max_size=200)
    | st.recursive(st.none() | st.integers() | st.text() | st.floats(), st.lists).map(
        lambda told: json.dumps(["put", "k", 0, 0, told, 0, 0, told]).encode()
    )
)
def test_whatever_comes_is_a_word_or_unreadable(line: bytes) -> None:
    with contextlib.suppress(Unreadable):
        unpack(line)


@given(st.lists(words, max_size=12))
def test_a_witness_answers_whatever_it_is_told_and_never_goes_back(said: list[Word]) -> None:
    ranks: dict[tuple[str, str], int] = {}
    witness = Witness(-LONG, LONG, 200)
    for word in said:
        if word.kind in ("put", "take", "ask"):
            witness.heard(word, 0)
        for key, register in witness.registers.items():
            rank = register.promised
            if register.state is not None and register.state.answer != "refused":
                assert ranks.get((key, register.state.made), 0) <= rank or word.first
                ranks[key, register.state.made] = rank
    assert witness.held <= 200 + sum(len(w.state.body) for w in said if w.state is not None)


def test_a_later_version_may_say_more() -> None:
    told = json.loads(pack(Word("put", "k", 1, 2, owner("A", 0).state, job=JOB)))
    told[4].append("more")
    told[7].append("more")
    assert unpack(json.dumps([*told, "more"]).encode()).state == owner("A", 0).state


# ---------------------------------------------------------------------- who keeps and who takes


def test_witnesses_follow_from_the_file_alone_and_successors_are_spread() -> None:
    roster = Roster([["a0", "a1"], ["b0", "b1"], ["c0", "c1"]])
    keys = [f"job-{n}" for n in range(300)]
    for key in keys:
        assert [name[0] for name in roster.witnesses(key)] == ["a", "b", "c"]
        assert roster.witnesses(key) == Roster([["a1", "a0"], ["b1", "b0"], ["c1", "c0"]]).witnesses(key)
    counts = [
        sum(roster.successor(key, "c0", lambda name: name != "a0") == name for key in keys)
        for name in ("a1", "b0", "b1", "c0", "c1")
    ]
    assert min(counts) > 20 and sum(counts) >= 200
    assert all(
        roster.successor(key, "c0", lambda name: False) == "c0"
        for key in keys
        if "c0" in roster.witnesses(key)
    )


def test_the_dearest_and_most_urgent_are_taken_first() -> None:
    def register(cls: int, left: int) -> Register:
        made = Register(LONG, 0)
        made.job = Job(cls, left, "")
        return made

    rows = [
        ("cheap", register(1, 5)),
        ("late", register(0, 900)),
        ("soon", register(0, 100)),
        ("none", Register(0, 0)),
    ]
    assert [key for key, _ in in_order(rows, 0, [3.0, 1.0])] == ["soon", "late", "cheap", "none"]


# ---------------------------------------------------------------------- a witness


def put(holder: Holder, witness: Witness, phase: Phase, now: int = 0) -> Word:
    return witness.heard(holder.put(phase), now)


def test_a_witness_that_begun_anew_votes_on_nothing_older_than_itself() -> None:
    young, mine = Witness(0, SECOND, 1 << 20), owner("A", 0)
    assert not put(mine, young, Phase.WRITING).grown  # kept, and no word for that there was none before
    mine.confirmed, mine._first = True, False
    fresh = Witness(0, SECOND, 1 << 20)
    assert put(mine, fresh, Phase.WRITING).kind == "no"
    assert fresh.heard(Word("take", KEY, epoch(1, 1)), 0).kind == "no"
    assert (
        fresh.heard(Word("take", KEY, epoch(1, 1)), SECOND).kind == "promise"
    )  # nothing so old is open any more


def test_a_register_is_forgotten_in_time_and_its_key_is_new_then() -> None:
    witness, first, second = Witness(-SECOND, SECOND, 1 << 20), owner("A", 0), owner("B", 1)
    put(first, witness, Phase.WRITING)
    assert put(second, witness, Phase.WRITING, SECOND - 1).kind == "no"
    assert put(second, witness, Phase.WRITING, SECOND).kind == "ack"
    assert witness.held == len(KEY) * 0 + len(JOB.request)


def test_what_was_refused_may_be_handed_in_anew_and_what_failed_may_not() -> None:
    for answer, kind in (("refused", "ack"), ("failed", "no"), ("served", "no")):
        witness, first = Witness(-SECOND, SECOND, 1 << 20), owner("A", 0)
        put(first, witness, Phase.HELD)
        witness.heard(first.put(Phase.ENDED, answer=answer), 0)
        assert put(owner("B", 1), witness, Phase.WRITING).kind == kind


def test_a_client_back_where_its_job_ended_is_told_of_that_end() -> None:
    """The same process made both registers: only what each was made for tells them apart."""
    witnesses = [Witness(-SECOND, SECOND, 1 << 20) for _ in WITNESSES]
    first = Holder(KEY, WITNESSES, "A", 1, 0, "d", JOB, made="A/1/7")
    again = Holder(KEY, WITNESSES, "A", 1, 0, "d", JOB, made="A/1/8")
    for witness in witnesses:
        put(first, witness, Phase.WRITING)
        witness.heard(first.put(Phase.ENDED, answer="served", body="result"), 0)
    verdicts = [
        again.heard(n, put(again, w, Phase.WRITING)) for n, w in zip(WITNESSES, witnesses, strict=True)
    ]
    assert verdicts[-1] == "known" and again.other is not None and again.other.body == "result"


def test_a_full_witness_takes_no_more_and_says_so() -> None:
    witness = Witness(-SECOND, SECOND, 10)
    assert (
        put(Holder("other", WITNESSES, "A", 1, 0, "d", Job(0, 1, "x" * 20)), witness, Phase.HELD).kind == "no"
    )


# ---------------------------------------------------------------------- all interleavings

ALONE = [steps("A", alone=True), takes_over("B", 1)]


def test_an_owner_at_once_and_a_successor_never_both_write() -> None:
    found = explore(begun(owner("A", 0)), ALONE)
    assert (found.broken, found.states > 10_000) == ("", True), found


def test_a_client_that_comes_back_elsewhere_starts_no_second_run() -> None:
    for more in ([], [crashes(1)]):
        found = explore(begun(owner("A", 0), owner("D", 2)), [steps("A"), steps("D"), *more])
        assert found.broken == "", found


def planted(found_in: object) -> tuple[str, ...]:
    found = found_in
    assert found.broken, "the planted mistake was not found"  # type: ignore[attr-defined]
    trace: tuple[str, ...] = found.trace  # type: ignore[attr-defined]
    return trace


def test_a_witness_that_votes_after_it_has_forgotten_is_found() -> None:
    with mock.patch.object(Witness, "grown", lambda self, now: True):
        trace = planted(explore(begun(owner("A", 0), owner("D", 2)), [steps("A"), steps("D"), crashes(1)]))
    assert any("begins anew" in step for step in trace) and len(trace) < 14, trace


def test_a_write_before_the_majority_is_found() -> None:
    with mock.patch.object(Holder, "majority", 1):
        trace = planted(explore(begun(owner("A", 0), owner("D", 2)), [steps("A"), steps("D")]))
    assert trace[-1].endswith("writes") and len(trace) < 10, trace


def test_an_epoch_that_is_not_compared_is_found() -> None:
    def heard(self: Witness, word: Word, now: int) -> Word:
        register = self.registers.get(word.key)
        if register is not None and word.kind == "put":
            register.promised = 0
        return real(self, word, now)

    real = Witness.heard
    moves = [steps("A", waits=True), takes_over("B", 1)]
    with mock.patch.object(Witness, "heard", heard):
        trace = planted(explore(held("A", 0, confirmed=True), moves))
    assert sum(step.endswith("writes") for step in trace) == 2, trace


def test_a_successor_that_runs_what_may_have_run_is_found() -> None:
    with mock.patch.object(Taker, "may_run", lambda self, repeatable: True):
        trace = planted(explore(begun(owner("A", 0)), ALONE))
    assert sum(step.endswith("writes") for step in trace) == 2, trace

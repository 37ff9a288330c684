"""Takeover: encoding of the messages, witnesses, owners and successors, and all their interleavings."""

from __future__ import annotations

import contextlib
import json
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from heronstall.takeover.messages import Job, Message, Phase, State, UnreadableMessage, epoch, pack, unpack
from heronstall.takeover.ownership import Holder, Successor
from heronstall.takeover.succession import Roster, takeover_order
from heronstall.takeover.witness import Register, Witness
from tests.explore import (
    JOB,
    KEY,
    LIFETIME,
    WITNESSES,
    crashes,
    explore,
    initial_world,
    owner,
    owner_steps,
    queued_world,
    successor_steps,
)

SECOND = 1_000_000

integers, text = st.integers(0, 1 << 53), st.text(max_size=12)
states = st.builds(
    State, integers, integers, text, integers, st.sampled_from(Phase), text, integers, text, text, text, text
)
messages = st.builds(
    Message,
    st.sampled_from(("put", "take", "ask", "ack", "no", "promise", "tell")),
    text,
    integers,
    integers,
    st.none() | states,
    st.booleans(),
    st.booleans(),
    st.none() | st.builds(Job, integers, integers, text),
)


@given(messages)
def test_a_packed_message_unpacks_to_the_same_message(message: Message) -> None:
    assert unpack(pack(message).strip()) == message


@given(
    st.binary(max_size=200)
    | st.recursive(st.none() | st.integers() | st.text() | st.floats(), st.lists).map(
        lambda value: json.dumps(["put", "k", 0, 0, value, 0, 0, value]).encode()
    )
)
def test_any_line_is_a_message_or_unreadable(line: bytes) -> None:
    with contextlib.suppress(UnreadableMessage):
        unpack(line)


@given(st.lists(messages, max_size=12))
def test_a_witness_answers_any_message_and_never_lowers_a_promise(received: list[Message]) -> None:
    ranks: dict[tuple[str, str], int] = {}
    witness = Witness(-LIFETIME, LIFETIME, 200)
    for message in received:
        if message.kind in ("put", "take", "ask"):
            witness.handle_message(message, 0)
        for key, register in witness.registers.items():
            rank = register.promised
            if register.state is not None and register.state.answer != "refused":
                assert ranks.get((key, register.state.register_id), 0) <= rank or message.first
                ranks[key, register.state.register_id] = rank
    assert witness.stored_bytes <= 200 + sum(len(m.state.body) for m in received if m.state is not None)


def test_unknown_fields_of_a_later_version_are_ignored() -> None:
    fields = json.loads(pack(Message("put", "k", 1, 2, owner("A", 0).state, job=JOB)))
    fields[4].append("more")
    fields[7].append("more")
    assert unpack(json.dumps([*fields, "more"]).encode()).state == owner("A", 0).state


# ---------------------------------------------------------------------- witnesses and successors


def test_witnesses_depend_on_the_file_alone_and_successors_are_spread() -> None:
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


def test_jobs_of_the_highest_worth_and_least_time_left_are_taken_over_first() -> None:
    def register(cls: int, time_left: int) -> Register:
        result = Register(LIFETIME, 0)
        result.job = Job(cls, time_left, "")
        return result

    rows = [
        ("cheap", register(1, 5)),
        ("late", register(0, 900)),
        ("soon", register(0, 100)),
        ("none", Register(0, 0)),
    ]
    assert [key for key, _ in takeover_order(rows, 0, [3.0, 1.0])] == ["soon", "late", "cheap", "none"]


# ---------------------------------------------------------------------- a witness


def put(holder: Holder, witness: Witness, phase: Phase, now: int = 0) -> Message:
    return witness.handle_message(holder.put(phase), now)


def test_a_restarted_witness_does_not_vote_on_registers_older_than_itself() -> None:
    young, holder = Witness(0, SECOND, 1 << 20), owner("A", 0)
    assert not put(holder, young, Phase.WRITING).mature  # stored, but an earlier register is not ruled out
    holder.confirmed, holder._first = True, False
    fresh = Witness(0, SECOND, 1 << 20)
    assert put(holder, fresh, Phase.WRITING).kind == "no"
    assert fresh.handle_message(Message("take", KEY, epoch(1, 1)), 0).kind == "no"
    # By now every register older than the witness has expired.
    assert fresh.handle_message(Message("take", KEY, epoch(1, 1)), SECOND).kind == "promise"


def test_a_register_expires_and_its_key_can_be_used_again() -> None:
    witness, first, second = Witness(-SECOND, SECOND, 1 << 20), owner("A", 0), owner("B", 1)
    put(first, witness, Phase.WRITING)
    assert put(second, witness, Phase.WRITING, SECOND - 1).kind == "no"
    assert put(second, witness, Phase.WRITING, SECOND).kind == "ack"
    assert witness.stored_bytes == len(KEY) * 0 + len(JOB.request)


def test_a_refused_job_may_be_submitted_again_and_a_failed_one_may_not() -> None:
    for answer, kind in (("refused", "ack"), ("failed", "no"), ("served", "no")):
        witness, first = Witness(-SECOND, SECOND, 1 << 20), owner("A", 0)
        put(first, witness, Phase.ACCEPTED)
        witness.handle_message(first.put(Phase.ENDED, answer=answer), 0)
        assert put(owner("B", 1), witness, Phase.WRITING).kind == kind


def test_a_client_that_returns_after_its_job_ended_gets_the_stored_answer() -> None:
    """The same process created both registers, so only the register_id tells them apart."""
    witnesses = [Witness(-SECOND, SECOND, 1 << 20) for _ in WITNESSES]
    first = Holder(KEY, WITNESSES, "A", 1, 0, "d", JOB, register_id="A/1/7")
    again = Holder(KEY, WITNESSES, "A", 1, 0, "d", JOB, register_id="A/1/8")
    for witness in witnesses:
        put(first, witness, Phase.WRITING)
        witness.handle_message(first.put(Phase.ENDED, answer="served", body="result"), 0)
    verdicts = [
        again.handle_reply(n, put(again, w, Phase.WRITING)) for n, w in zip(WITNESSES, witnesses, strict=True)
    ]
    assert verdicts[-1] == "known" and again.other is not None and again.other.body == "result"


def test_a_full_witness_refuses_further_registers() -> None:
    witness = Witness(-SECOND, SECOND, 10)
    assert (
        put(Holder("other", WITNESSES, "A", 1, 0, "d", Job(0, 1, "x" * 20)), witness, Phase.ACCEPTED).kind
        == "no"
    )


# ---------------------------------------------------------------------- all interleavings

RUNS_ALONE = [owner_steps("A", alone=True), successor_steps("B", 1)]


def test_an_owner_that_writes_at_once_and_a_successor_never_both_write() -> None:
    result = explore(initial_world(owner("A", 0)), RUNS_ALONE)
    assert (result.violation, result.states > 10_000) == ("", True), result


def test_a_client_that_returns_to_another_dispatcher_starts_no_second_run() -> None:
    for more in ([], [crashes(1)]):
        result = explore(
            initial_world(owner("A", 0), owner("D", 2)), [owner_steps("A"), owner_steps("D"), *more]
        )
        assert result.violation == "", result


def violation_trace(exploration: object) -> tuple[str, ...]:
    result = exploration
    assert result.violation, "the injected fault was not found"  # type: ignore[attr-defined]
    trace: tuple[str, ...] = result.trace  # type: ignore[attr-defined]
    return trace


def test_a_witness_that_votes_after_losing_its_promises_is_detected() -> None:
    with mock.patch.object(Witness, "is_mature", lambda self, now: True):
        trace = violation_trace(
            explore(
                initial_world(owner("A", 0), owner("D", 2)), [owner_steps("A"), owner_steps("D"), crashes(1)]
            )
        )
    assert any("restarts" in step for step in trace) and len(trace) < 14, trace


def test_a_write_before_the_majority_is_detected() -> None:
    with mock.patch.object(Holder, "majority", 1):
        trace = violation_trace(
            explore(initial_world(owner("A", 0), owner("D", 2)), [owner_steps("A"), owner_steps("D")])
        )
    assert trace[-1].endswith("writes") and len(trace) < 10, trace


def test_a_missing_epoch_comparison_is_detected() -> None:
    def handle_message(self: Witness, message: Message, now: int) -> Message:
        register = self.registers.get(message.key)
        if register is not None and message.kind == "put":
            register.promised = 0
        return original(self, message, now)

    original = Witness.handle_message
    moves = [owner_steps("A", waits=True), successor_steps("B", 1)]
    with mock.patch.object(Witness, "handle_message", handle_message):
        trace = violation_trace(explore(queued_world("A", 0, confirmed=True), moves))
    assert sum(step.endswith("writes") for step in trace) == 2, trace


def test_a_successor_that_runs_a_job_that_may_have_run_is_detected() -> None:
    with mock.patch.object(Successor, "may_run", lambda self, repeatable: True):
        trace = violation_trace(explore(initial_world(owner("A", 0)), RUNS_ALONE))
    assert sum(step.endswith("writes") for step in trace) == 2, trace

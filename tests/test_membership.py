"""Membership, the choice of relays and the revisions of the server list, in virtual time."""

from __future__ import annotations

import contextlib
import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heronstall.fleet.list_service import ListService
from heronstall.membership.messages import (
    CHECKSUM_COUNT,
    Duty,
    Message,
    Row,
    State,
    UnreadableMessage,
    pack,
    unpack,
)
from heronstall.membership.relays import (
    MAX_RELAY_SILENCE_US,
    SILENCE_PER_RELAY_US,
    UNCONFIRMED_REVISION_US,
    UNFIT_PERIOD_US,
    ListMessage,
    RelayRole,
    RevisionFilter,
    wanted_branches,
    wanted_relays,
)
from heronstall.membership.swim import Swim
from heronstall.model.mesh import Mesh, Watched

SECOND = 1_000_000
RELAYS = 4
ME = Row(State.ALIVE, "me", 1000, "10.0.0.1", 7000, "a")


def settled_mesh(count: int, seed: int = 1, loss: float = 0.0, settle: int = 8 * SECOND) -> Mesh:
    """Returns members that all know each other."""
    mesh = Mesh(seed, loss=loss)
    mesh.start_all(count, over=SECOND)
    mesh.run(settle)
    assert all(len(member.living()) == count for member in mesh.members.values())
    return mesh


def record_deaths(mesh: Mesh) -> list[tuple[int, str, str]]:
    """Returns a list that gets, from now on, (time, observer, member) for each member declared dead."""
    deaths: list[tuple[int, str, str]] = []

    def on_change(name: str, member: object, before: object) -> None:
        row = member.row  # type: ignore[attr-defined]
        if row.state is State.DEAD:
            deaths.append((mesh.now, name, row.name))

    mesh.said = on_change
    return deaths


# ---------------------------------------------------------------------- messages

rows = st.builds(
    Row,
    st.sampled_from(State),
    st.text(min_size=1, max_size=20),
    st.integers(0, 1 << 53),
    st.text(min_size=1, max_size=20),
    st.integers(1, 65535),
    st.text(max_size=20),
    st.sampled_from(Duty),
    st.text(max_size=20),
)


@given(st.lists(rows, max_size=4), rows, st.booleans())
def test_a_packed_message_unpacks_to_the_same_message(
    sent_rows: list[Row], sender: Row, compares: bool
) -> None:
    checksums = tuple(range(1 << 23, (1 << 23) + CHECKSUM_COUNT)) if compares else ()
    message = Message("gossip", 7, sender, "x", 1, 2, tuple(sent_rows), 3, checksums)
    received = unpack("c", pack("c", message))
    assert received._replace(rows=()) == message._replace(rows=())
    assert received.rows == message.rows[: len(received.rows)]


@given(
    st.binary(max_size=1300)
    | st.recursive(st.none() | st.integers() | st.text(), st.lists).map(
        lambda value: json.dumps(["heronstall", 1, "c", "ping", value, value, value]).encode()
    )
)
def test_any_datagram_is_a_message_or_unreadable(data: bytes) -> None:
    with contextlib.suppress(UnreadableMessage):
        unpack("c", data)


def test_unknown_fields_of_a_later_version_are_ignored_and_another_form_is_refused() -> None:
    fields = json.loads(pack("c", Message("gossip", 1, ME, rows=(ME,))))
    fields[9][0].append("more of a row")
    fields += [[0] * 64, {"more": 1}]
    fields[5][6] = 9  # an unknown duty counts as none
    assert unpack("c", json.dumps(fields).encode()).rows == (ME,)
    for at, value, reason in (
        (0, "x", "not a heronstall datagram"),
        (1, 2, "version 2"),
        (2, "d", "cluster"),
    ):
        wrong = [*fields]
        assert unpack("c", json.dumps(wrong).encode()).sender.duty is Duty.FREE
        wrong[at] = value
        with pytest.raises(UnreadableMessage, match=reason):
            unpack("c", json.dumps(wrong).encode())


# ---------------------------------------------------------------------- rows about a member

statements = st.builds(
    lambda state, inc, port: Row(state, "x", inc, "10.0.0.9", port, "a", Duty.FREE, "y"),
    st.sampled_from(State),
    st.integers(1, 3),
    st.just(7000),
)


@given(st.lists(statements, min_size=1, max_size=6), st.randoms())
def test_rows_in_any_order_and_repeated_lead_to_the_same_state(rows: list[Row], rng: random.Random) -> None:
    first = Row(State.ALIVE, "x", 0, "10.0.0.9", 7000, "a")

    def rank_after(order: list[Row]) -> tuple[int, int]:
        swim = Swim(ME, [], 0, random.Random(1))
        for row in [first, *order]:
            swim._apply(row, 0)
        return swim.members["x"].row.rank

    again = [*rows, *rows]
    rng.shuffle(again)
    assert rank_after(again) == rank_after(rows)


# ---------------------------------------------------------------------- which members are alive


@pytest.mark.parametrize("count", [3, 12, 60])
def test_a_loss_is_known_to_all_within_seconds_and_no_other_member_is_declared_dead(count: int) -> None:
    mesh = settled_mesh(count, loss=0.02)
    deaths = record_deaths(mesh)
    at = mesh.now
    mesh.kill("n1")
    mesh.run(at + 6 * SECOND)
    assert {dead for _, _, dead in deaths} == {"n1"}
    assert all("n1" not in [r.name for r in member.living()] for member in mesh.members.values())


def test_datagram_loss_alone_makes_no_member_dead() -> None:
    mesh = settled_mesh(30, loss=0.05, settle=20 * SECOND)
    deaths = record_deaths(mesh)
    mesh.run(mesh.now + 120 * SECOND)
    assert deaths == []


def test_a_paused_member_suspects_no_other_and_is_alive_again_soon() -> None:
    mesh = settled_mesh(20)
    deaths = record_deaths(mesh)
    at = mesh.now
    mesh.pause("n4", 10 * SECOND)
    mesh.run(at + 10 * SECOND + 1)
    assert {dead for _, _, dead in deaths} == {"n4"}
    deaths.clear()
    mesh.run(at + 13 * SECOND)
    assert [row for row in deaths if row[1] == "n4"] == []
    assert all(len(member.living()) == 20 for member in mesh.members.values())
    assert mesh.members["n4"].health <= 3


def test_a_link_cut_in_one_direction_makes_no_member_dead() -> None:
    mesh = settled_mesh(8)
    deaths = record_deaths(mesh)
    mesh.cut = lambda sender, receiver: (sender, receiver) == ("n2", "n3")
    mesh.run(mesh.now + 60 * SECOND)
    assert deaths == []


def test_the_two_halves_of_a_partition_find_each_other_again() -> None:
    mesh = settled_mesh(12)
    mesh.cut = lambda sender, receiver: int(sender[1:]) % 2 != int(receiver[1:]) % 2
    mesh.run(mesh.now + 20 * SECOND)
    assert all(len(member.living()) == 6 for member in mesh.members.values())
    mesh.cut = lambda sender, receiver: False
    mesh.run(mesh.now + 12 * SECOND)
    assert all(len(member.living()) == 12 for member in mesh.members.values())


def test_a_member_that_leaves_is_known_to_have_left_at_once() -> None:
    mesh = settled_mesh(20)
    mesh.send("n5", mesh.members["n5"].leave())
    mesh.run(mesh.now + SECOND)
    states = {member.members["n5"].row.state for name, member in mesh.members.items() if name != "n5"}
    assert states == {State.LEFT}


def test_the_later_of_two_processes_of_a_name_stays() -> None:
    mesh = settled_mesh(6)
    before = mesh.members["n3"]
    later = Row(State.ALIVE, "n3", before.me.incarnation + 5000, "10.0.0.4", 7001, "b")
    swim = Swim(later, [("10.0.0.1", 7000)], mesh.now, random.Random(5))
    mesh.members["later"] = swim
    mesh._at_address["10.0.0.4", 7001] = "later"
    mesh._wake("later", swim)
    mesh.run(mesh.now + 5 * SECOND)
    assert before.replaced and not swim.replaced
    del mesh.members["n3"]
    mesh.run(mesh.now + 5 * SECOND)
    assert {member.members["n3"].address for n, member in mesh.members.items() if n != "later"} == {
        later[3:5]
    }


def test_a_new_process_whose_clock_was_set_back_is_not_taken_for_the_old_one() -> None:
    mesh = settled_mesh(6)
    swim = mesh.members["n3"]
    ahead = swim.me._replace(incarnation=swim.me.incarnation + 10**9, port=7001)
    mesh.members["n0"]._apply(ahead, mesh.now)
    mesh.run(mesh.now + 5 * SECOND)
    assert not swim.replaced and swim.me.incarnation > ahead.incarnation
    assert all(
        member.members["n3"].address == ("10.0.0.4", 7000) for n, member in mesh.members.items() if n != "n3"
    )


def test_an_unknown_sender_becomes_a_member_only_by_a_sync() -> None:
    swim = Swim(ME, [], 0, random.Random(1))
    stranger = Row(State.ALIVE, "s", 1, "10.0.0.7", 7000, "a")
    assert [out.message.kind for out in swim.handle_message(Message("ping", 1, stranger, "me"), 0)] == [
        "sync"
    ]
    assert swim.handle_message(Message("gossip", 1, stranger, rows=(stranger,)), 0) == [] and not swim.members
    assert swim.handle_message(Message("sync", 1, stranger), 0) and "s" in swim.members


# ---------------------------------------------------------------------- the server list


def members_with_duty(mesh: Watched, duty: Duty = Duty.RELAY) -> list[str]:
    return sorted(name for name, role in mesh.relaying.items() if name in mesh.members and role.duty is duty)


@pytest.mark.parametrize(("count", "most"), [(12, 8), (100, 8), (300, 12)])
def test_a_cold_start_makes_few_calls_to_the_list_service(count: int, most: int) -> None:
    mesh = Watched(3, ListService(7, 8), packed=False)
    mesh.start_all(count, over=3 * SECOND)
    mesh.run(12 * SECOND)
    assert len(mesh.calls) <= most and len(mesh.news) == count
    assert len(members_with_duty(mesh)) == 2 * wanted_relays(count // 2)
    assert len(members_with_duty(mesh, Duty.BRANCH)) == 2 * wanted_branches(count // 2)
    assert max(mesh.news.values()) < 6 * SECOND


def test_dead_relays_are_replaced_and_the_other_members_do_not_ask() -> None:
    mesh = Watched(5, ListService(7, 8))
    mesh.start_all(24, over=SECOND)
    mesh.run(10 * SECOND)
    before, killed = len(mesh.calls), mesh.now
    dead = members_with_duty(mesh)
    for name in dead:
        mesh.kill(name)
    mesh.change(SECOND * 3 // 10)
    mesh.run(mesh.now + 6 * SECOND)
    assert len(members_with_duty(mesh)) == 4 and not set(members_with_duty(mesh)) & set(dead)
    assert len(mesh.calls) - before <= 6
    # Other members replace the dead relays before the suspicions of them have ended.
    assert len(mesh.knew) == 20 and max(mesh.knew.values()) - killed < 1.5 * SECOND


def test_an_unreachable_list_service_is_asked_by_a_few_members_at_a_time() -> None:
    mesh = Watched(5, ListService(0, 8), packed=False)
    mesh.service = lambda name: False
    mesh.start_all(40, over=SECOND)
    mesh.run(60 * SECOND)
    late = [when // SECOND for when, _ in mesh.calls if when > 5 * SECOND]
    assert max(late.count(second) for second in set(late)) <= 2 * RELAYS
    mesh.service = lambda name: True
    mesh.run(60 * SECOND + MAX_RELAY_SILENCE_US + RELAYS * SILENCE_PER_RELAY_US + UNFIT_PERIOD_US)
    assert len(mesh.news) == 40


def test_the_source_of_a_list_is_ahead_if_possible_and_not_suspected() -> None:
    rows = [Row(State.ALIVE, f"r{n}", 1, "10.0.0.7", 7000 + n, "ab"[n % 2], Duty.RELAY) for n in range(4)]
    role = RelayRole(0)
    zones = [row.zone for row in role.sources(0, ME, rows)]
    assert zones == ["a", "a", "b", "b"]
    assert role.sources(0, ME, rows, {"r3"})[0].name == "r3"
    rows[0] = rows[0]._replace(state=State.SUSPECT)
    assert [row.name for row in role.sources(0, ME, rows)][-1] == "r0"
    role.mark_failed("r3", 0)
    assert "r3" not in [row.name for row in role.sources(0, ME, rows, {"r3"})]


def test_a_relay_that_alone_cannot_reach_the_list_service_is_replaced() -> None:
    mesh = Watched(5, ListService(7, 8))
    mesh.start_all(12, over=SECOND)
    mesh.run(8 * SECOND)
    unreachable = members_with_duty(mesh)[0]
    mesh.service = lambda name: name != unreachable
    mesh.run(mesh.now + MAX_RELAY_SILENCE_US + 2 * SECOND)
    assert unreachable not in members_with_duty(mesh) and len(members_with_duty(mesh)) == 4


def test_an_unanswered_relay_considers_all_members_and_reports_no_revision() -> None:
    swim = Swim(ME._replace(duty=Duty.RELAY), [], 0, random.Random(1))
    swim.rev = 3
    for n in range(3):
        row = Row(State.ALIVE, f"p{n}", 1, "10.0.0.7", 7000 + n, "a")
        swim.handle_message(Message("sync", 1, row), 0)
        swim.handle_message(Message("gossip", 2, row, rev=4 if n else 0), 0)
    assert swim.revs(-1) == [4, 4]  # one member reports no revision
    assert swim.ahead(0) == {"p1", "p2"}
    swim.handle_message(Message("gossip", 3, swim.members["p1"].row, rev=9), 0)
    assert swim.ahead(0) == {"p2"}  # a revision that one member alone reports does not count
    swim.handle_message(Message("gossip", 4, swim.members["p1"].row, rev=4), 0)
    assert not swim.is_behind(0)  # a relay compares itself with other relays only
    swim.list_unconfirmed = True
    assert swim.is_behind(0)
    assert {out.message.rev for out in swim.turn(swim.due())} == {0}


def test_an_older_list_message_is_held_back_until_its_sender_catches_up() -> None:
    revisions = RevisionFilter()
    late = RevisionFilter.MAX_DISAGREEMENT_US
    assert revisions.accept(50, "a", 0, 0) == [ListMessage(50, "a")]
    assert revisions.accept(48, "b", 1, 1) == []
    revisions.start_watch()  # another relay is asked
    assert revisions.accept(49, "c", 2, 2) == []
    assert revisions.accept(50, "d", 3, 3) == [ListMessage(49, "c"), ListMessage(50, "d")]
    assert revisions.accept(7, "e", 4, 4) == [] and revisions.release(5) == []
    assert revisions.accept(7, "old", late - 1, late + 5) == []  # true of a time too early to contradict
    # The service has restarted its count.
    assert revisions.release(late) == [ListMessage(7, "e"), ListMessage(7, "old")]
    assert revisions.accept(8, "f", late + 5, late + 5) == [ListMessage(8, "f")]


def test_a_revision_that_only_one_relay_reports_counts_as_fabricated() -> None:
    revisions = RevisionFilter()
    revisions.accept(5, "true", 0, 0)
    revisions.accept(10**9, "made up", 10, 10)

    def is_fabricated(now: int, reported: list[int], relays: list[int] | None = None) -> bool:
        return revisions.is_fabricated(
            now, lambda since, only_relays: (relays or []) if only_relays else reported
        )

    assert not is_fabricated(UNCONFIRMED_REVISION_US // 2, [5, 5, 5, 5])
    assert not is_fabricated(UNCONFIRMED_REVISION_US + 10, [5, 5])  # too few members have reported
    assert not is_fabricated(UNCONFIRMED_REVISION_US + 10, [5, 10**9, 10**9, 5])
    assert is_fabricated(UNCONFIRMED_REVISION_US + 10, [5, 5, 10**9, 5])
    # All the other members were misled.
    assert is_fabricated(UNCONFIRMED_REVISION_US + 10, [10**9, 10**9, 10**9, 5], [5])
    assert not is_fabricated(UNCONFIRMED_REVISION_US + 10, [5, 5, 5, 5], [5, 10**9])


def test_a_table_of_long_names_is_transferred_completely() -> None:
    """A page holds only the rows that fit, so that no row is omitted from every transfer."""
    mesh = Mesh(1)
    long = "x" * 50
    for n in range(12):
        row = Row(State.ALIVE, f"{long}{n}", 1, f"10.0.0.{n + 1}", 7000, long)
        swim = Swim(row, [("10.0.0.1", 7000)], 0, random.Random(n))
        mesh.members[row.name] = swim
        mesh._at_address[row.host, row.port] = row.name
        mesh._wake(row.name, swim)
    mesh.run(6 * SECOND)
    assert all(len(member.living()) == 12 for member in mesh.members.values())

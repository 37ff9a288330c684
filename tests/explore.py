"""Checks all interleavings of a register's parties with an explicit-state model of the production classes.

A state holds every party's state and every message that was ever sent. A message may arrive at any time, any
number of times, in any order, or never. This covers loss, duplication, reordering, delay, pauses and
partitions. Witnesses may crash and restart without their memory. The search is breadth-first, so the trace to
a violation is a shortest one.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from heronstall.takeover.messages import Job, Message, Phase, State, epoch
from heronstall.takeover.ownership import Holder, Successor
from heronstall.takeover.witness import Register, Witness

KEY, LIFETIME = "k", 1_000
WITNESSES = ("w0", "w1", "w2")
JOB = Job(0, LIFETIME, "body")


class Sent(NamedTuple):
    """A message in transit, with its sender and its recipient."""

    sender: str
    to: str
    message: Message


@dataclass
class World:
    """One state of the model."""

    witnesses: dict[str, Witness] = field(default_factory=dict)
    holders: dict[str, Holder] = field(default_factory=dict)
    successors: dict[str, Successor] = field(default_factory=dict)
    sent: frozenset[Sent] = frozenset()
    writes: tuple[str, ...] = ()  # the parties that wrote the job to a server
    answers: frozenset[tuple[str, str]] = frozenset()  # (party, kind of the answer to its client)
    crashes: int = 0
    done: frozenset[str] = frozenset()  # the steps that the parties have taken

    def copy(self) -> World:
        """Returns a copy to be changed. A party in it is cloned before it is changed."""
        return World(
            dict(self.witnesses),
            dict(self.holders),
            dict(self.successors),
            self.sent,
            self.writes,
            self.answers,
            self.crashes,
            self.done,
        )

    def broadcast(self, sender: str, message: Message) -> None:
        """Sends a message to all witnesses."""
        self.sent |= {Sent(sender, name, message) for name in WITNESSES}


def clone(party: Any) -> Any:
    """Returns a copy of a party that shares no mutable part with it."""
    copied = object.__new__(type(party))
    for name, value in party.__dict__.items():
        if name == "registers":
            value = {key: _register(register) for key, register in value.items()}
        elif isinstance(value, set):
            value = set(value)
        copied.__dict__[name] = value
    return copied


def _register(register: Register) -> Register:
    copied = Register(register.expires_at, register.received_at)
    for name in ("promised", "state", "job", "size"):
        setattr(copied, name, getattr(register, name))
    return copied


def fingerprint(world: World) -> Hashable:
    """Returns the value by which states are compared.

    Witnesses are interchangeable and do not communicate with each other. So the value consists of the other
    parties' states and of one part per witness, in no order: what the witness stores, what was sent to it,
    and which parties count its vote.
    """
    parts = []
    for name in WITNESSES:
        w = world.witnesses[name]
        registers = tuple((r.promised, r.state, r.job is None) for r in w.registers.values())
        messages = frozenset((s.sender, s.message) for s in world.sent if s.to == name)
        counts = frozenset((n, name in h._acks, name in h._refusals) for n, h in world.holders.items())
        promises = frozenset((n, name in s._promises) for n, s in world.successors.items())
        parts.append(hash((w.is_mature(0), registers, messages, counts, promises)))
    holders = frozenset(
        (n, h.state, h.verdict, h.confirmed, h._first, h._announced) for n, h in world.holders.items()
    )
    successors = frozenset((n, s.epoch, s.latest, s.verdict) for n, s in world.successors.items())
    return hash(
        (tuple(sorted(parts)), holders, successors, world.writes, world.answers, world.crashes, world.done)
    )


Step = tuple[str, World]
Moves = Callable[[World], Iterator[Step]]


def deliveries(world: World) -> Iterator[Step]:
    """Yields the arrival of each message at a witness; the reply arrives at once, or never.

    A late reply needs no case of its own: it equals one that arrives at once at a party that acts on it late,
    which every party may do, or one that has not arrived yet.
    """
    for sent in world.sent:
        name = f"{sent.sender} to {sent.to}: {text(sent.message)}"
        received = world.copy()
        witness = received.witnesses[sent.to] = clone(world.witnesses[sent.to])
        reply = witness.handle_message(sent.message, 0)
        yield f"{name}, {text(reply)} is lost", received
        after = received.copy()
        if sent.sender in after.holders:
            holder = after.holders[sent.sender] = clone(after.holders[sent.sender])
            holder.handle_reply(sent.to, reply)
        if sent.sender in after.successors:
            successor = after.successors[sent.sender] = clone(after.successors[sent.sender])
            successor.handle_reply(sent.to, reply)
        yield f"{name}, {text(reply)}", after


def crashes(max_crashes: int) -> Moves:
    """Returns the moves in which a witness restarts without its memory."""

    def moves(world: World) -> Iterator[Step]:
        if world.crashes < max_crashes:
            for name in WITNESSES:
                after = world.copy()
                after.witnesses[name] = Witness(1, LIFETIME, 1 << 20)
                after.crashes += 1
                yield f"{name} crashes and restarts", after

    return moves


def initial_world(*holders: Holder) -> World:
    """Returns a state with mature witnesses and owners that have sent nothing yet."""
    world = World({name: Witness(-LIFETIME, LIFETIME, 1 << 20) for name in WITNESSES})
    for holder in holders:
        world.holders[holder.state.owner] = holder
    return world


def queued_world(name: str, position: int, confirmed: bool = False) -> World:
    """Returns a state in which a job waits in its owner's queue.

    All witnesses store the job, and its owner knows this. With `confirmed` the witnesses also store that the
    owner knows it.
    """
    holder = owner(name, position)
    world = initial_world(holder)
    for phase in (Phase.ACCEPTED, Phase.CONFIRMED)[: 1 + confirmed]:
        message = holder.put(phase)
        for witness in WITNESSES:
            holder.handle_reply(witness, world.witnesses[witness].handle_message(message, 0))
    assert holder.verdict == "go"
    return world


def owner(name: str, position: int) -> Holder:
    """Returns a job's first owner, or the dispatcher that the job's client returns to."""
    return Holder(KEY, WITNESSES, name, 1, epoch(0, position), "d", JOB)


def owner_steps(name: str, *, waits: bool = False, alone: bool = False, refuses: bool = False) -> Moves:
    """Returns the moves of an owner: it accepts, writes and ends the job; `waits` queues the job first.

    `alone` lets it write without a majority, `refuses` lets it give the job up.
    """

    def moves(world: World) -> Iterator[Step]:
        holder = world.holders[name]

        def step(label: str, change: Callable[[World, Holder], None]) -> Step:
            after = world.copy()
            after.done |= {f"{name} {label}"}
            changed = after.holders[name] = clone(after.holders[name])
            change(after, changed)
            return f"{name} {label}", after

        def did(label: str) -> bool:
            return f"{name} {label}" in world.done

        def puts(phase: Phase, **changes: Any) -> Callable[[World, Holder], None]:
            return lambda after, h: after.broadcast(name, h.put(phase, **changes))

        def writes(after: World, h: Holder) -> None:
            after.writes += (name,)

        def answers(kind: str) -> Callable[[World, Holder], None]:
            def change(after: World, h: Holder) -> None:
                after.answers |= {(name, kind)}

            return change

        phase, go = holder.state.phase, holder.verdict == "go"
        if not holder._announced:
            yield step("takes the job", puts(Phase.ACCEPTED if waits else Phase.WRITING))
            return
        if phase is Phase.ACCEPTED and go:
            yield step("reports that a majority stores the job", puts(Phase.CONFIRMED))
        if phase is Phase.CONFIRMED and not did("gives up") and not did("is about to write"):
            yield step("is about to write", puts(Phase.WRITING))
            if refuses:
                yield step("gives up", puts(Phase.ENDED, answer="refused"))
        if phase is Phase.ENDED and go and did("gives up") and not did("refuses"):
            yield step("refuses", answers("refused"))
        if phase is Phase.WRITING and go and not did("writes"):
            yield step("writes", writes)
        if alone and holder.may_run_alone() and not did("writes"):
            yield step("writes", writes)
        if did("writes") and phase is Phase.WRITING and not did("serves"):
            yield step("serves", answers("served"))

    return moves


def successor_steps(name: str, position: int, repeatable: bool = False) -> Moves:
    """Returns the moves of a successor: it learns of the register from any witness, and takes it over."""

    def moves(world: World) -> Iterator[Step]:
        successor, holder = world.successors.get(name), world.holders.get(name)
        if successor is None:
            for witness in world.witnesses.values():
                register = witness.registers.get(KEY)
                if register is None or register.state is None or register.state.phase is Phase.ENDED:
                    continue
                after = world.copy()
                created = after.successors[name] = Successor(
                    KEY, WITNESSES, name, 1, position, register.state
                )
                after.broadcast(name, created.take())
                yield f"{name} takes over the register of {register.state.owner}", after
            return
        if holder is None:
            if successor.verdict == "go":
                after = world.copy()
                created_holder = after.holders[name] = successor.to_holder(JOB)
                if successor.may_run(repeatable):
                    after.broadcast(name, created_holder.put(Phase.WRITING))
                    yield f"{name} may run it and is about to write", after
                elif successor.latest.phase is not Phase.ENDED:
                    after.broadcast(name, created_holder.put(Phase.ENDED, answer="failed"))
                    yield f"{name} may not run it and ends it", after
            return
        if (
            holder.verdict == "go"
            and holder.state.phase is Phase.WRITING
            and f"{name} writes" not in world.done
        ):
            after = world.copy()
            after.writes += (name,)
            after.done |= {f"{name} writes"}
            yield f"{name} writes", after

    return moves


class Exploration(NamedTuple):
    """The result of a search. `trace` leads to the `violation`; both are empty where there is none."""

    states: int
    depth: int
    violation: str
    trace: tuple[str, ...]


def explore(first: World, moves: list[Moves], max_states: int = 2_000_000) -> Exploration:
    """Visits all reachable states, or stops at the shortest trace to a violation."""
    seen: dict[Hashable, tuple[Hashable, str] | None] = {}
    start = fingerprint(first)
    seen[start] = None
    layer, depth = [(start, first)], 0
    while layer:
        following = []
        for source, world in layer:
            for generator in (deliveries, *moves):
                for label, after in generator(world):
                    target = fingerprint(after)
                    if target in seen:
                        continue
                    seen[target] = source, label
                    violation = find_violation(after)
                    if violation:
                        return Exploration(len(seen), depth + 1, violation, trace(seen, target))
                    following.append((target, after))
            if len(seen) > max_states:
                raise AssertionError(f"more than {max_states} states")
        layer, depth = following, depth + 1
    return Exploration(len(seen), depth, "", ())


def random_walk(first: World, moves: list[Moves], seed: int, max_steps: int = 60) -> Exploration:
    """Follows one random path through the states, for more parties than an exhaustive search can handle.

    A party is lost from a random moment on: it takes no further step. So each walk contains crashes.
    """
    rng, world, labels = random.Random(seed), first, []
    lost = sorted(name for name in (*first.holders, "B", "C", "E") if rng.random() < 0.5)
    lost_at = {name: rng.randrange(max_steps) for name in lost}
    for at in range(max_steps):
        gone = [name for name in lost if at >= lost_at[name]]
        choices = [step for generator in moves for step in generator(world) if step[0].split()[0] not in gone]
        if not choices or rng.random() < 0.6:
            choices = list(deliveries(world)) or choices
        if not choices:
            break
        label, world = choices[rng.randrange(len(choices))]
        labels.append(label)
        violation = find_violation(world)
        if violation:
            return Exploration(at, at + 1, violation, tuple(labels))
    return Exploration(len(labels), len(labels), "", ())


def find_violation(world: World) -> str:
    """Returns the guarantee that a state violates, or an empty string."""
    if len(world.writes) > 1:
        return f"written twice: by {' and '.join(world.writes)}"
    if world.writes and any(kind == "refused" for _, kind in world.answers):
        return "refused and run"
    return ""


def trace(seen: dict[Hashable, tuple[Hashable, str] | None], at: Hashable) -> tuple[str, ...]:
    """Returns the labels of the steps that lead to a state."""
    labels = []
    step = seen[at]
    while step is not None:
        labels.append(step[1])
        step = seen[step[0]]
    return tuple(reversed(labels))


def text(message: Message) -> str:
    """Returns a readable form of a message."""
    state: State | None = message.state
    described = "" if state is None else f" {state.phase.name.lower()} by {state.owner}"
    young = ", young" if message.kind == "ack" and not message.mature else ""
    return f"{message.kind}{described} (epoch {message.epoch or (state.epoch if state else 0)}{young})"

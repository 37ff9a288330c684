"""All interleavings of a register's parties: an explicit-state model that runs the program's own classes.

A state is what every party holds and every word that was ever said: a word may arrive at any time, any
number of times, in any order, or never, which is loss, doubling, reordering, delay, pause and partition in
one. Witnesses may crash and begin anew with nothing remembered. Breadth first, so that a trace to a broken
rule is a shortest one.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from heronstall.takeover.messages import Job, Phase, State, Word, epoch
from heronstall.takeover.ownership import Holder, Taker
from heronstall.takeover.witness import Register, Witness

KEY, LONG = "k", 1_000
WITNESSES = ("w0", "w1", "w2")
JOB = Job(0, LONG, "body")


class Said(NamedTuple):
    """A word on the way: from whom, to whom."""

    sender: str
    to: str
    word: Word


@dataclass
class World:
    """One state."""

    witnesses: dict[str, Witness] = field(default_factory=dict)
    holders: dict[str, Holder] = field(default_factory=dict)
    takers: dict[str, Taker] = field(default_factory=dict)
    said: frozenset[Said] = frozenset()
    writes: tuple[str, ...] = ()  # who wrote the job to a server
    answers: frozenset[tuple[str, str]] = frozenset()  # who told a client what
    crashes: int = 0
    done: frozenset[str] = frozenset()  # steps that a party has made

    def copy(self) -> World:
        """A state to be changed; a party in it is cloned before it is."""
        return World(
            dict(self.witnesses),
            dict(self.holders),
            dict(self.takers),
            self.said,
            self.writes,
            self.answers,
            self.crashes,
            self.done,
        )

    def say(self, sender: str, word: Word) -> None:
        """A word to all witnesses."""
        self.said |= {Said(sender, name, word) for name in WITNESSES}


def clone(thing: Any) -> Any:
    """A copy as deep as the parties are."""
    made = object.__new__(type(thing))
    for name, value in thing.__dict__.items():
        if name == "registers":
            value = {key: _register(register) for key, register in value.items()}
        elif isinstance(value, set):
            value = set(value)
        made.__dict__[name] = value
    return made


def _register(register: Register) -> Register:
    made = Register(register.until, register.since)
    for name in ("promised", "state", "job", "size"):
        setattr(made, name, getattr(register, name))
    return made


def frozen(world: World) -> Hashable:
    """The state as it is compared. Witnesses are alike and know nothing of each other: it is what the others
    hold, and the parts of the witnesses in no order: what each holds and was told, and who counts it."""
    parts = []
    for name in WITNESSES:
        w = world.witnesses[name]
        registers = tuple((r.promised, r.state, r.job is None) for r in w.registers.values())
        words = frozenset((s.sender, s.word) for s in world.said if s.to == name)
        counts = frozenset((n, name in h._acks, name in h._noes) for n, h in world.holders.items())
        promises = frozenset((n, name in t._promises) for n, t in world.takers.items())
        parts.append(hash((w.grown(0), registers, words, counts, promises)))
    holders = frozenset(
        (n, h.state, h.verdict, h.confirmed, h._first, h._said) for n, h in world.holders.items()
    )
    takers = frozenset((n, t.epoch, t.latest, t.verdict) for n, t in world.takers.items())
    return hash(
        (tuple(sorted(parts)), holders, takers, world.writes, world.answers, world.crashes, world.done)
    )


Step = tuple[str, World]
Moves = Callable[[World], Iterator[Step]]


def deliveries(world: World) -> Iterator[Step]:
    """Each word arrives at a witness; its answer comes at once, or never.

    An answer that comes late is no case of its own: it is one that came at once to a party that acts on it
    late, which every party may, or one that has not come yet.
    """
    for said in world.said:
        name = f"{said.sender} to {said.to}: {text(said.word)}"
        heard = world.copy()
        witness = heard.witnesses[said.to] = clone(world.witnesses[said.to])
        answer = witness.heard(said.word, 0)
        yield f"{name}, {text(answer)} is lost", heard
        after = heard.copy()
        if said.sender in after.holders:
            holder = after.holders[said.sender] = clone(after.holders[said.sender])
            holder.heard(said.to, answer)
        if said.sender in after.takers:
            taker = after.takers[said.sender] = clone(after.takers[said.sender])
            taker.heard(said.to, answer)
        yield f"{name}, {text(answer)}", after


def crashes(most: int) -> Moves:
    """Witnesses that begin anew."""

    def moves(world: World) -> Iterator[Step]:
        if world.crashes < most:
            for name in WITNESSES:
                after = world.copy()
                after.witnesses[name] = Witness(1, LONG, 1 << 20)
                after.crashes += 1
                yield f"{name} crashes and begins anew", after

    return moves


def begun(*holders: Holder) -> World:
    """Grown witnesses, and owners that have said nothing yet."""
    world = World({name: Witness(-LONG, LONG, 1 << 20) for name in WITNESSES})
    for holder in holders:
        world.holders[holder.state.owner] = holder
    return world


def held(name: str, place: int, confirmed: bool = False) -> World:
    """A job that waits in its owner's queue, of which all witnesses know, and its owner that they do; they
    that it does, too, where it has been `confirmed`."""
    holder = owner(name, place)
    world = begun(holder)
    for phase in (Phase.HELD, Phase.CONFIRMED)[: 1 + confirmed]:
        word = holder.put(phase)
        for witness in WITNESSES:
            holder.heard(witness, world.witnesses[witness].heard(word, 0))
    assert holder.verdict == "go"
    return world


def owner(name: str, place: int) -> Holder:
    """A job's first owner, or the dispatcher that its client comes back to."""
    return Holder(KEY, WITNESSES, name, 1, epoch(0, place), "d", JOB)


def steps(name: str, *, waits: bool = False, alone: bool = False, refuses: bool = False) -> Moves:
    """What an owner does in its own time: say that it holds, writes, has ended; `waits`: queued first."""

    def moves(world: World) -> Iterator[Step]:
        holder = world.holders[name]

        def step(label: str, do: Callable[[World, Holder], None]) -> Step:
            after = world.copy()
            after.done |= {f"{name} {label}"}
            mine = after.holders[name] = clone(after.holders[name])
            do(after, mine)
            return f"{name} {label}", after

        def did(label: str) -> bool:
            return f"{name} {label}" in world.done

        def puts(phase: Phase, **more: Any) -> Callable[[World, Holder], None]:
            return lambda after, h: after.say(name, h.put(phase, **more))

        def writes(after: World, h: Holder) -> None:
            after.writes += (name,)

        def answers(kind: str) -> Callable[[World, Holder], None]:
            def do(after: World, h: Holder) -> None:
                after.answers |= {(name, kind)}

            return do

        phase, go = holder.state.phase, holder.verdict == "go"
        if not holder._said:
            yield step("takes the job", puts(Phase.HELD if waits else Phase.WRITING))
            return
        if phase is Phase.HELD and go:
            yield step("says that a majority knows", puts(Phase.CONFIRMED))
        if phase is Phase.CONFIRMED and not did("gives up") and not did("is about to write"):
            yield step("is about to write", puts(Phase.WRITING))
            if refuses:
                yield step("gives up", puts(Phase.ENDED, answer="refused"))
        if phase is Phase.ENDED and go and did("gives up") and not did("refuses"):
            yield step("refuses", answers("refused"))
        if phase is Phase.WRITING and go and not did("writes"):
            yield step("writes", writes)
        if alone and holder.alone() and not did("writes"):
            yield step("writes", writes)
        if did("writes") and phase is Phase.WRITING and not did("serves"):
            yield step("serves", answers("served"))

    return moves


def takes_over(name: str, place: int, repeatable: bool = False) -> Moves:
    """What a successor does: it learns of the register from any witness, at any time, and takes it."""

    def moves(world: World) -> Iterator[Step]:
        taker, holder = world.takers.get(name), world.holders.get(name)
        if taker is None:
            for witness in world.witnesses.values():
                register = witness.registers.get(KEY)
                if register is None or register.state is None or register.state.phase is Phase.ENDED:
                    continue
                after = world.copy()
                made = after.takers[name] = Taker(KEY, WITNESSES, name, 1, place, register.state)
                after.say(name, made.take())
                yield f"{name} takes over what {register.state.owner} had", after
            return
        if holder is None:
            if taker.verdict == "go":
                after = world.copy()
                mine = after.holders[name] = taker.holder(JOB)
                if taker.may_run(repeatable):
                    after.say(name, mine.put(Phase.WRITING))
                    yield f"{name} may run it and is about to write", after
                elif taker.latest.phase is not Phase.ENDED:
                    after.say(name, mine.put(Phase.ENDED, answer="failed"))
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


class Found(NamedTuple):
    """What an exploration saw; `trace` leads to `broken`, both empty where nothing is."""

    states: int
    depth: int
    broken: str
    trace: tuple[str, ...]


def explore(first: World, moves: list[Moves], most: int = 2_000_000) -> Found:
    """All states that can be reached, or the shortest way to one that breaks a rule."""
    seen: dict[Hashable, tuple[Hashable, str] | None] = {}
    start = frozen(first)
    seen[start] = None
    layer, depth = [(start, first)], 0
    while layer:
        following = []
        for at, world in layer:
            for many in (deliveries, *moves):
                for label, after in many(world):
                    to = frozen(after)
                    if to in seen:
                        continue
                    seen[to] = at, label
                    broken = rule(after)
                    if broken:
                        return Found(len(seen), depth + 1, broken, trace(seen, to))
                    following.append((to, after))
            if len(seen) > most:
                raise AssertionError(f"over {most} states")
        layer, depth = following, depth + 1
    return Found(len(seen), depth, "", ())


def wander(first: World, moves: list[Moves], seed: int, most: int = 60) -> Found:
    """One way through the states, drawn from a seed: for more parties than all of whose states can be seen.

    A party is taken as lost from any moment on by being drawn no more, so each way has kills in it.
    """
    draw, world, labels = random.Random(seed), first, []
    lost = sorted(name for name in (*first.holders, "B", "C", "E") if draw.random() < 0.5)
    loss = {name: draw.randrange(most) for name in lost}
    for at in range(most):
        gone = [name for name in lost if at >= loss[name]]
        choices = [step for many in moves for step in many(world) if step[0].split()[0] not in gone]
        if not choices or draw.random() < 0.6:
            choices = list(deliveries(world)) or choices
        if not choices:
            break
        label, world = choices[draw.randrange(len(choices))]
        labels.append(label)
        broken = rule(world)
        if broken:
            return Found(at, at + 1, broken, tuple(labels))
    return Found(len(labels), len(labels), "", ())


def rule(world: World) -> str:
    """The rule that a state breaks."""
    if len(world.writes) > 1:
        return f"written twice: by {' and '.join(world.writes)}"
    if world.writes and any(kind == "refused" for _, kind in world.answers):
        return "refused and run"
    return ""


def trace(seen: dict[Hashable, tuple[Hashable, str] | None], at: Hashable) -> tuple[str, ...]:
    """The way to a state, in words."""
    rows = []
    step = seen[at]
    while step is not None:
        rows.append(step[1])
        step = seen[step[0]]
    return tuple(reversed(rows))


def text(word: Word) -> str:
    """A word for people."""
    state: State | None = word.state
    told = "" if state is None else f" {state.phase.name.lower()} by {state.owner}"
    young = ", young" if word.kind == "ack" and not word.grown else ""
    return f"{word.kind}{told} (epoch {word.epoch or (state.epoch if state else 0)}{young})"

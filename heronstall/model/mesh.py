"""Peers in virtual time: members of `heronstall.membership` and the network between them, from one seed.

A datagram takes `delay` (a range, microseconds) and is lost with `loss`; links can be cut one way, members
paused and killed. Every datagram goes through its packed form unless `packed` is off, which is quicker and
loses nothing but the count of bytes.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from heronstall.fleet.list_service import ListService
from heronstall.membership.messages import Duty, Message, Row, State, pack, unpack
from heronstall.membership.relays import MAX_LIST_AGE_US, SERVING_DUTIES, RelayRole
from heronstall.membership.swim import DEFAULT_LIMITS, Address, Limits, Member, Outgoing, Swim
from heronstall.model.kernel import VirtualTime
from heronstall.start.backoff import CallEnd, DiscoveryBackoff, Refusal

CLUSTER = "model"
START = 1_000_000  # incarnations begin here


class Mesh:
    """Members by name, `n0` on; `said` hears of every change that a member learns of."""

    def __init__(
        self,
        seed: int,
        delay: tuple[int, int] = (200, 2_000),
        loss: float = 0.0,
        limits: Limits = DEFAULT_LIMITS,
        packed: bool = True,
    ) -> None:
        self.time = VirtualTime()
        self.delay, self.loss, self.limits, self.packed = delay, loss, limits, packed
        self.members: dict[str, Swim] = {}
        self.sent = self.bytes = 0
        self.cut: Callable[[str, str], bool] = lambda one, other: False
        self.said: Callable[[str, Member, State | None], None] = lambda name, member, before: None
        self._draw = random.Random(seed)
        self._paused: dict[str, list[Callable[[], None]]] = {}
        self._at_address: dict[Address, str] = {}
        self._lives = 0

    @property
    def now(self) -> int:
        """Microseconds from the start."""
        return self.time.now

    def at(self, when: int, call: Callable[[], None]) -> None:
        """Make a call at a moment."""
        self.time.at(when, call)

    def run(self, until: int) -> None:
        """Let it be `until`."""
        self.time.run(until)

    # ------------------------------------------------------------------ members

    def start(self, name: str, seeds: list[Address], zone: str = "a", address: Address | None = None) -> Swim:
        """A member begins, perhaps again: a later incarnation."""
        self._lives += 1
        number = int(name[1:])
        host, port = address or (f"10.0.{number // 250}.{number % 250 + 1}", 7000)
        me = Row(State.ALIVE, name, START + self.now // 1000 + self._lives, host, port, zone)
        draw = random.Random(self._draw.getrandbits(64))
        swim = Swim(me, seeds, self.now, draw, self.limits)
        swim.on_change = lambda member, before: self.said(name, member, before)
        self.members[name] = swim
        self._at_address[host, port] = name
        self._wake(name, swim)
        return swim

    def start_all(self, count: int, seeds: int = 3, over: int = 0) -> None:
        """Members that begin at one moment, or in the course of `over` microseconds."""
        known = [(f"10.0.{n // 250}.{n % 250 + 1}", 7000) for n in range(seeds)]
        for n in range(count):
            when = self.now + (self._draw.randrange(over) if over else 0)
            self.at(when, lambda n=n: self._start(n, known))  # type: ignore[misc]

    def _start(self, n: int, known: list[Address]) -> None:
        self.start(f"n{n}", known, "ab"[n % 2])

    def kill(self, name: str) -> None:
        """It is gone without a word."""
        del self.members[name]

    def pause(self, name: str, length: int) -> None:
        """It stands still: what is sent to it waits for it."""
        held = self._paused.setdefault(name, [])

        def on() -> None:
            del self._paused[name]
            for call in held:
                call()

        self.at(self.now + length, on)

    def _wake(self, name: str, swim: Swim) -> None:
        def turn() -> None:
            if self.members.get(name) is not swim:
                return
            if name in self._paused:
                self._paused[name].append(turn)
                return
            self.send(name, swim.turn(self.now))
            self.at(max(swim.due(), self.now + 1), turn)

        self.at(max(swim.due(), self.now), turn)

    # ------------------------------------------------------------------ the network

    def send(self, name: str, out: list[Outgoing]) -> None:
        """A member's datagrams are on their way."""
        for to, message in out:
            self.sent += 1
            data = b""
            if self.packed:
                data = pack(CLUSTER, message)
                self.bytes += len(data) + 28  # with the headers of UDP and IP
            far = self._at_address.get(to)
            if far is None or self._draw.random() < self.loss or self.cut(name, far):
                continue
            when = self.now + self._draw.randint(*self.delay)
            self.at(when, lambda far=far, data=data, m=message: self._arrives(far, data, m))  # type: ignore[misc]

    def _arrives(self, name: str, data: bytes, message: Message) -> None:
        swim = self.members.get(name)
        if swim is None:
            return
        if name in self._paused:
            self._paused[name].append(lambda: self._arrives(name, data, message))
            return
        told = unpack(CLUSTER, data) if self.packed else message
        self.send(name, swim.handle_message(told, self.now))


class Watched(Mesh):
    """Members that take the server list from relays, before a list service with a desk.

    `calls` are those that the list service got, `news` is when each life first had a list of it; `service`
    tells whether a member can reach it. Who finds no relay does not ask by itself here, as `net.peers` does
    after a while. `change` makes a change to the list, and `knew` says when each member had it.
    """

    LOOK = 50_000
    UNANSWERED = 2_600_000  # until a call that is not answered is given up

    def __init__(self, seed: int, desk: ListService, **more: Any) -> None:
        super().__init__(seed, **more)
        self.desk = desk
        self.service: Callable[[str], bool] = lambda name: True
        self.calls: list[tuple[int, str]] = []
        self.news: dict[str, int] = {}
        self.relaying: dict[str, RelayRole] = {}
        self.direct: dict[str, int] = {}  # when the list service last told a relay something
        self.fresh: dict[str, int] = {}  # up to when a member knows the list
        self.changed_at: int | None = None  # when the list last changed
        self.knew: dict[str, int] = {}  # when each member came to know that
        self._agent: dict[str, int] = {}  # when each member's own agent does
        self._backoff: dict[str, DiscoveryBackoff] = {}
        self._asked: dict[str, int] = {}  # when a relay's next call is due, or its answer

    def start(self, name: str, seeds: list[Address], zone: str = "a", address: Address | None = None) -> Swim:
        """A member begins, with no list."""
        swim = super().start(name, seeds, zone, address)
        relaying = self.relaying[name] = RelayRole(self.now)
        self._backoff[name] = DiscoveryBackoff(1, random.Random(self._draw.getrandbits(64)))
        for told in (self.news, self.direct, self.fresh, self._asked, self.knew):
            told.pop(name, None)

        def look() -> None:
            if self.members.get(name) is swim:
                if name not in self._paused:
                    self._look(name, swim, relaying)
                self.at(self.now + self.LOOK, look)

        self.at(self.now, look)
        return swim

    def change(self, late: int) -> None:
        """The list changes now; each member's own agent knows within `late` microseconds."""
        self.changed_at, self.knew = self.now, {}
        self._agent = {name: self.now + self._draw.randrange(late + 1) for name in self.members}

    def _knows(self, name: str, source: str | None = None) -> None:
        """A member has heard from a relay, or from the list service: perhaps of the change."""
        if self.changed_at is not None and name not in self.knew:
            told = self.now >= self._agent.get(name, 0) if source is None else source in self.knew
            if told:
                self.knew[name] = self.now
                self.members[name].rev = self.changed_at

    def _look(self, name: str, swim: Swim, relaying: RelayRole) -> None:
        before, now = relaying.duty, self.now
        duty = relaying.decide(now, swim.me, swim.living(), self.direct.get(name))
        if duty is not before:
            swim.announce(duty)
            if duty is not Duty.RELAY:
                self.direct.pop(name, None)
                self._asked.pop(name, None)
        if duty is Duty.RELAY:
            if relaying.is_settled(now):
                self._watch(name)
            return
        for row in relaying.sources(now, swim.me, swim.living())[:1]:
            far = self.relaying.get(row.name) if row.name in self.members else None
            heard = self.fresh.get(row.name) if far is not None and far.duty in SERVING_DUTIES else None
            if heard is None or now - heard > MAX_LIST_AGE_US or self.cut(name, row.name):
                relaying.mark_failed(row.name, now)
                self.send(name, swim.ask(row.name, now))
            else:
                self.fresh[name] = max(self.fresh.get(name, 0), heard)
                self.news.setdefault(name, now)
                self._knows(name, row.name)

    def _watch(self, name: str) -> None:
        up, now = self.service(name), self.now
        if name in self.direct:
            if up:
                self.direct[name] = self.fresh[name] = now
                self._knows(name)
        elif now >= self._asked.get(name, 0):
            self.calls.append((now, name))
            ready = self.desk.request(now, int(name[1:])) if up else None
            backoff, self._asked[name] = self._backoff[name], 1 << 62
            backoff.clients = sum(row.duty is Duty.RELAY for row in self.members[name].living())
            if not up:
                self._asked[name] = now + self.UNANSWERED + backoff.pause(CallEnd.NEVER_ANSWERED)
            elif ready is None:
                self._asked[name] = now + backoff.pause(CallEnd.NEVER_ANSWERED, Refusal())
            else:
                self.at(ready, lambda: self._answered(name))

    def _answered(self, name: str) -> None:
        if name in self.members and self.relaying[name].duty is Duty.RELAY:
            self.direct[name] = self.fresh[name] = self.now
            self.news.setdefault(name, self.now)

"""Membership by SWIM with Lifeguard's refinements. Nothing here does I/O or reads a clock.

Each member probes another one in every period. Without an answer it asks some others to probe that member,
and then suspects it; a suspicion that is not refuted in time means that the member is dead. Changes are
piggybacked on all messages. See Das, Gupta, Motivala, "SWIM" (DSN 2002), and Dadgar, Phillips, Currey,
"Lifeguard: Local Health Awareness" (DSN workshops 2018): a member that is slow itself extends its timeouts,
a suspicion ends sooner the more members confirm it, and a suspected member is informed first.

In addition the two sides of a partition find each other again, since dead members are still contacted now and
then. Tables are compared in partitions (Demers et al., "Epidemic Algorithms for Replicated Database
Maintenance", 1987, section 1.3): equal partitions cause no traffic, and one comparison finds everything that
gossip has missed.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple
from zlib import crc32

from heronstall.membership.messages import (
    CHECKSUM_COUNT,
    MAX_DATAGRAM_BYTES,
    Duty,
    Message,
    Row,
    State,
    encode_row,
    rows_that_fit,
)

Address = tuple[str, int]
MAX_MEMBERS = 4096  # guards against messages that invent one name after the other
MAX_PAGE_ROWS = 16
PULL_ATTEMPTS = 4  # requests for one page
FULL_TABLE = "all"  # marks the sync of a new member, which requests every page
RECENT_US = 1_000_000  # an older report of a member's list revision may be out of date
MAX_COMPARISON_PAGES = 4  # pages that answer a comparison


class Limits(NamedTuple):
    """The parameters of the protocol: times in microseconds, counts, and factors."""

    period: int = 250_000  # between a member's probes
    answer_timeout: int = 100_000  # of a probe, before helpers are asked
    helpers: int = 3  # members that are asked to probe
    gossip_interval: int = 100_000  # between gossip messages, while there are updates
    gossip_fanout: int = 2  # members that each gossip goes to
    gossip_factor: float = 4.0  # times log10 of the members + 1: how often an update is sent
    suspicion_factor: float = 2.0  # times log10 of the members, times a period: a fully confirmed suspicion
    unconfirmed_factor: float = 6.0  # times as long: a suspicion that no other member confirms
    confirmations: int = 3  # further reporters that make a suspicion the shortest
    max_health: int = 8  # upper bound of the health score
    sync_interval: int = 5_000_000  # between comparisons with another table; new members sync more often
    forget_after: int = 120_000_000  # a dead member is remembered, so that old rows of it are recognised


DEFAULT_LIMITS = Limits()


class Outgoing(NamedTuple):
    """A message to be sent."""

    to: Address
    message: Message


@dataclass
class Member:
    """What is known of another dispatcher."""

    row: Row
    state_since: int  # when its state was learned
    suspicion_end: int = 0
    suspicion_start: int = 0
    reporters: set[str] = field(default_factory=set)  # names of the members that suspect it
    rev: int = 0  # revision of its server list, as it last reported itself
    heard_at: int = 0  # when that report arrived

    @property
    def address(self) -> Address:
        """The address that it receives datagrams at."""
        return self.row.host, self.row.port


@dataclass
class _Probe:
    """A pending probe, for this member or on behalf of another one."""

    name: str
    requester: Address | None = None
    requester_seq: int = 0
    pending_helpers: int = 0  # helpers that were asked and have not sent a nack yet
    answered: bool = False


class Swim:
    """The table of members and the messages to be sent.

    `me` is this member's own row. Its incarnation has to be higher than that of any earlier process of its
    name; the start time in milliseconds will do. `seeds` are asked for their table at first, and again while
    no member is known. The methods return the messages to be sent, and `due` is the time of the next call of
    `turn`. `on_change` is called after each change of a member, with the member and its state before.
    """

    def __init__(
        self,
        me: Row,
        seeds: Iterable[Address],
        now: int,
        rng: random.Random,
        limits: Limits = DEFAULT_LIMITS,
    ) -> None:
        self.me, self.limits, self._rng = me, limits, rng
        self.seeds = [seed for seed in seeds if seed != (me.host, me.port)]
        self.members: dict[str, Member] = {}
        self.rev = 0  # revision of the own server list
        self.list_unconfirmed = (
            False  # a relay that the list service has not answered yet: its list may be old
        )
        self.health = 0  # Lifeguard's local health score: 0 is healthy
        self.replaced = False  # a later process has this member's name
        self.on_change: Callable[[Member, State | None], None] = lambda member, before: None
        self._seq = 0
        self._probes: dict[int, _Probe] = {}
        self._round: list[str] = []
        self._updates: dict[str, tuple[Row, int]] = {}  # rows to be spread, and how often each was sent
        self._timers: list[tuple[int, int, Callable[[int], Iterator[Outgoing]]]] = []
        self._timer_count = 0  # orders timers of the same time
        self._sync_delay = 2 * limits.period
        self._requested_page: tuple[Address, int] | None = None  # the peer, and the page's first row
        self._living: list[Row] | None = None  # cached until a row changes
        self._others_alive = 0  # other members that are not known to be gone
        self._rival: Row | None = None  # a later process of this member's name, as others report it
        self._schedule(now + rng.randrange(limits.period), self._probe_next)
        self._schedule(now, self._sync)
        self._schedule(now + limits.gossip_interval, self._gossip)

    # ------------------------------------------------------------------ the table

    def living(self) -> Sequence[Row]:
        """Returns the rows of all members that are not known to be gone, including suspects and `me`."""
        if self._living is None:
            others = [m.row for m in self.members.values() if m.row.state <= State.SUSPECT]
            self._living = others if self.replaced else [self.me, *others]
        return self._living

    def is_behind(self, now: int) -> bool:
        """Returns whether enough members have a later server list.

        These are at least two, and a third of those that reported recently: a single member may be wrong, or
        lie, and mislead a few. A relay gets the list from the list service and considers only other relays.
        """
        recent = self.revs(now - RECENT_US, self.me.duty is Duty.RELAY and not self.list_unconfirmed)
        ahead = sum(rev > self.rev for rev in recent)
        return ahead >= 2 and 3 * ahead >= len(recent)

    def ahead(self, now: int) -> set[str]:
        """Returns the names of the members with a later server list, except one that only one member has."""
        later = [m for m in self._alive_members() if m.heard_at > now - RECENT_US and m.rev > self.rev]
        known = sorted(m.rev for m in later)[:-1]
        return {m.row.name for m in later if known and m.rev <= known[-1]}

    def revs(self, since: int, relays: bool = False, excluded: str = "") -> list[int]:
        """Returns the list revisions of the members that have sent something themselves since a time.

        Members that report no revision are left out; `relays` restricts the result to relays.
        """
        recent = (m for m in self._alive_members() if m.heard_at > since and m.rev and m.row.name != excluded)
        return [m.rev for m in recent if not relays or m.row.duty is Duty.RELAY]

    def _alive_members(self) -> list[Member]:
        return [m for m in self.members.values() if m.row.state <= State.SUSPECT]

    def _log_scale(self) -> float:
        return max(1.0, math.log10(self._others_alive + 1))

    def _adjust_health(self, by: int) -> None:
        self.health = min(self.limits.max_health, max(0, self.health + by))

    # ------------------------------------------------------------------ time

    def due(self) -> int:
        """Returns the time at which `turn` is to be called next."""
        return self._timers[0][0]

    def _schedule(self, when: int, call: Callable[[int], Iterator[Outgoing]]) -> None:
        self._timer_count += 1
        heapq.heappush(self._timers, (when, self._timer_count, call))

    def turn(self, now: int) -> list[Outgoing]:
        """Runs all timers that are due.

        After a late call this member was the slow one. The answers that it waits for may still be unread, so
        pending probes are dropped and suspicions extended.
        """
        late = now - self.due()
        if late > self.limits.period:
            self._adjust_health(1)
            self._probes.clear()
            for member in self.members.values():
                member.suspicion_end += late
        out: list[Outgoing] = []
        while self._timers[0][0] <= now:
            _, _, call = heapq.heappop(self._timers)
            if not self.replaced:
                out.extend(call(now))
            elif not self._timers:  # keeps one timer, so that `due` always has a result
                self._schedule(now + self.limits.forget_after, lambda now: iter(()))
        return out

    # ------------------------------------------------------------------ sending

    def _message(self, to: Address, kind: str, seq: int = 0, **fields: object) -> Outgoing:
        rows = fields.pop("rows", None)
        rev = 0 if self.list_unconfirmed else self.rev  # an old revision would count against current ones
        message = Message(kind, seq, self.me, rev=rev, **fields)  # type: ignore[arg-type]
        chosen = self._updates_for(to) if rows is None else tuple(rows)  # type: ignore[arg-type]
        return Outgoing(to, message._replace(rows=chosen))

    def _updates_for(self, to: Address) -> tuple[Row, ...]:
        """Returns the updates sent least often, as many as fit; those about the recipient come first."""
        if not self._updates:
            return ()
        max_times = math.ceil(self.limits.gossip_factor * self._log_scale())
        free_bytes = MAX_DATAGRAM_BYTES - 300
        rows = []
        order = sorted(
            self._updates.items(), key=lambda item: ((item[1][0].host, item[1][0].port) != to, item[1][1])
        )
        for name, (row, times) in order:
            free_bytes -= (
                3 * len(encode_row(row)) + len(name) + len(row.host) + len(row.zone) + len(row.reporter) + 24
            )
            if free_bytes < 0:
                break
            rows.append(row)
            if times + 1 >= max_times:
                del self._updates[name]
            else:
                self._updates[name] = (row, times + 1)
        return tuple(rows)

    def _spread_update(self, row: Row) -> None:
        self._updates[row.name] = (row, 0)

    def announce(self, duty: Duty) -> None:
        """Announces this member's duty."""
        if duty is not self.me.duty:
            self.me = self.me._replace(duty=duty)
            self._raise_incarnation(self.me.incarnation)

    def _raise_incarnation(self, above: int) -> None:
        self.me = self.me._replace(incarnation=max(self.me.incarnation, above) + 1)
        self._living = None
        self._spread_update(self.me)

    def leave(self) -> list[Outgoing]:
        """Announces to a few members, which spread it, that this member leaves."""
        self.me = self.me._replace(state=State.LEFT)
        self.replaced, self._living = True, None
        alive = self._alive_members()
        chosen = self._rng.sample(alive, min(len(alive), 2 * self.limits.helpers))
        return [self._message(m.address, "gossip", rows=(self.me,)) for m in chosen]

    # ------------------------------------------------------------------ probes, gossip and syncs

    def _probe_next(self, now: int) -> Iterator[Outgoing]:
        self._schedule(now + self.limits.period * (1 + self.health), self._probe_next)
        member = self._next_member()
        if member is not None:
            yield from self._probe(member, now)

    def ask(self, name: str, now: int) -> list[Outgoing]:
        """Probes a member now, out of turn, because something suggests that it is gone: a connection broke.

        It gets the same time to answer, and to refute, as any other member.
        """
        member = self.members.get(name)
        open_already = any(p.name == name and p.requester is None for p in self._probes.values())
        if member is None or member.row.state is not State.ALIVE or open_already:
            return []
        return list(self._probe(member, now))

    def _probe(self, member: Member, now: int) -> Iterator[Outgoing]:
        limits, factor = self.limits, 1 + self.health
        self._seq += 1
        seq, probe = self._seq, _Probe(member.row.name)
        self._probes[seq] = probe
        self._schedule(now + limits.answer_timeout * factor, lambda now: self._ask_helpers(now, seq))
        self._schedule(now + limits.period * factor, lambda now: self._finish_probe(now, seq))
        if member.row.state is State.SUSPECT:
            # The suspect is the first that has to know, so that it can refute.
            self._updates.setdefault(member.row.name, (member.row, 0))
        yield self._message(member.address, "ping", seq, about=member.row.name)

    def _next_member(self) -> Member | None:
        """Returns each member in turn, shuffled in each round, so the time to a probe is bounded."""
        while True:
            while self._round:
                member = self.members.get(self._round.pop())
                if member is not None and member.row.state <= State.SUSPECT:
                    return member
            self._round = [m.row.name for m in self._alive_members()]
            if not self._round:
                return None
            self._rng.shuffle(self._round)

    def _ask_helpers(self, now: int, seq: int) -> Iterator[Outgoing]:
        probe = self._probes.get(seq)
        if probe is None or probe.answered:
            return
        others = [m for m in self._alive_members() if m.row.name != probe.name and m.row.state is State.ALIVE]
        helpers = self._rng.sample(others, min(len(others), self.limits.helpers))
        probe.pending_helpers = len(helpers) or 1  # without helpers this member may itself be cut off
        for helper in helpers:
            yield self._message(helper.address, "request", seq, about=probe.name)

    def _finish_probe(self, now: int, seq: int) -> Iterator[Outgoing]:
        """Evaluates a probe at the end of its period."""
        probe = self._probes.pop(seq, None)
        if probe is None:
            return
        if probe.answered:
            self._adjust_health(-1)
            return
        # Helpers that have not even sent a nack point to this member's own connection, not to the probed one.
        self._adjust_health(probe.pending_helpers)
        member = self.members.get(probe.name)
        if member is not None and member.row.state <= State.SUSPECT:
            self._apply(member.row._replace(state=State.SUSPECT, reporter=self.me.name), now)
        yield from ()

    def _gossip(self, now: int) -> Iterator[Outgoing]:
        self._schedule(now + self.limits.gossip_interval, self._gossip)
        if self._updates and self._others_alive:
            alive = self._alive_members()
            for member in self._rng.sample(alive, min(len(alive), self.limits.gossip_fanout)):
                rows = self._updates_for(member.address)
                if rows:
                    yield self._message(member.address, "gossip", rows=rows)

    def _sync(self, now: int) -> Iterator[Outgoing]:
        """Compares the table with another member's, and contacts addresses that did not answer before."""
        for name in [n for n, m in self.members.items() if _can_forget(m, now, self.limits.forget_after)]:
            del self.members[name]
        alive = self._alive_members()
        if alive:
            self._sync_delay = min(2 * self._sync_delay, self.limits.sync_interval)
        self._schedule(now + (self._sync_delay if alive else self.limits.period), self._sync)
        recipients: list[Address] = []
        if alive:
            recipients.append(self._rng.choice(alive).address)
        known = {m.address for m in alive}
        silent = [m.address for m in self.members.values() if m.row.state is State.DEAD]
        silent = sorted({*silent, *self.seeds} - known)
        if silent:
            recipients += self._rng.sample(silent, min(len(silent), 1 if alive else self.limits.helpers))
        for to in recipients:
            # A new member requests the whole table several times: a page may be lost, and the other member
            # may be new itself.
            if self._sync_delay < self.limits.sync_interval:
                yield from self._request_page(now, to, 0, PULL_ATTEMPTS)
            else:
                yield self._message(to, "sync", rows=(), checksums=self._checksums())

    def _request_page(self, now: int, to: Address, first_row: int, attempts: int) -> Iterator[Outgoing]:
        """Requests a page, and repeats the request without an answer. The answer leads to the next page."""
        self._requested_page = to, first_row
        if attempts > 1:
            self._schedule(
                now + 2 * self.limits.answer_timeout,
                lambda now: self._repeat_request(now, to, first_row, attempts - 1),
            )
        yield self._message(to, "sync", about=FULL_TABLE, first_row=first_row)

    def _repeat_request(self, now: int, to: Address, first_row: int, attempts: int) -> Iterator[Outgoing]:
        if self._requested_page == (to, first_row):
            yield from self._request_page(now, to, first_row, attempts)

    # ------------------------------------------------------------------ receiving

    def handle_message(self, message: Message, now: int) -> list[Outgoing]:
        """Processes a datagram. One of an unknown member counts only if it is a sync or a page."""
        sender = message.sender
        if self.replaced:
            return []
        back = (sender.host, sender.port)
        if sender.name == self.me.name:
            return self._handle_namesake(sender, back)
        known = self.members.get(sender.name)
        if known is None and message.kind not in ("sync", "page"):
            # The message is ignored. The sender knows this member, though, so a page of its table will give
            # what this one has missed of it.
            return [self._message(back, "sync", rows=())] if message.kind == "ping" else []
        if known is not None and known.row.state > State.SUSPECT and sender.rank <= known.row.rank:
            # It counts as gone here, and perhaps this member counts as gone there: each sends the other's row
            # to the other, which refutes it.
            before = self.me.incarnation
            for row in message.rows:
                if row.name == self.me.name:
                    self._apply(row, now)
            kind = "gossip" if self.me.incarnation == before else "sync"
            return [self._message(back, kind, rows=(known.row,))]
        if sender.state <= State.SUSPECT:
            self._apply(sender._replace(state=State.ALIVE, reporter=""), now)
        member = self.members.get(sender.name)
        if member is not None:
            member.rev, member.heard_at = message.rev, now
        for row in message.rows:
            self._apply(row, now, message.kind != "page")
        out = list(self._answer(message, now))
        if known is not None and sender.rank < known.row.rank and known.address != back:
            # An earlier process of this name: nothing else is sent to its address, so it is informed here.
            out.append(self._message(back, "gossip", rows=(known.row,)))
        return out

    def _answer(self, message: Message, now: int) -> Iterator[Outgoing]:
        back = (message.sender.host, message.sender.port)
        kind, seq = message.kind, message.seq
        if kind == "ping":
            if message.about == self.me.name:
                yield self._message(back, "ack", seq, about=self.me.name)
        elif kind == "request":
            yield from self._probe_for_other(message, back, now)
        elif kind in ("ack", "nack"):
            yield from self._handle_probe_answer(message)
        elif kind == "sync" and message.checksums:
            yield from self._answer_comparison(message, back)
        elif kind == "sync":
            yield self._page(message, back)
        elif (
            kind == "page"
            and message.about == FULL_TABLE
            and self._requested_page == (back, message.first_row)
        ):
            self._requested_page = None
            if message.next_row:
                yield from self._request_page(now, back, message.next_row, PULL_ATTEMPTS)

    def _page(self, request: Message, to: Address) -> Outgoing:
        """Returns a page of the table, with dead members, since a member that was away may not know them."""
        rows = [self.me, *(self.members[name].row for name in sorted(self.members))]
        first_row = request.first_row if request.first_row < len(rows) else 0
        chosen = rows_that_fit(rows[first_row : first_row + MAX_PAGE_ROWS])
        next_row = first_row + len(chosen)
        next_row = next_row if next_row < len(rows) else 0
        return self._message(
            to, "page", about=request.about, first_row=first_row, next_row=next_row, rows=chosen
        )

    def _checksums(self) -> tuple[int, ...]:
        """Returns a checksum of each partition: its living members' names and incarnations, in no order."""
        checksums = [0] * CHECKSUM_COUNT
        for row in self.living():
            checksums[_partition(row.name)] ^= crc32(f"{row.name} {row.incarnation}".encode()) >> 8
        return tuple(checksums)

    def _answer_comparison(self, request: Message, to: Address) -> Iterator[Outgoing]:
        """Sends the rows of the partitions that differ, or a random part of them if there are many."""
        pairs = enumerate(zip(self._checksums(), request.checksums, strict=True))
        partitions = {partition for partition, (own, other) in pairs if own != other}
        rows = [
            r for r in (self.me, *(m.row for m in self.members.values())) if _partition(r.name) in partitions
        ]
        self._rng.shuffle(rows)
        for _ in range(MAX_COMPARISON_PAGES):
            if rows:
                chosen = rows_that_fit(rows[:MAX_PAGE_ROWS])
                del rows[: len(chosen)]
                yield self._message(to, "page", rows=chosen)

    def _probe_for_other(self, message: Message, back: Address, now: int) -> Iterator[Outgoing]:
        """Probes a member on behalf of another one, and sends a nack in time if there is no answer."""
        member = self.members.get(message.about)
        if member is None:
            return
        self._seq += 1
        seq = self._seq
        self._probes[seq] = _Probe(message.about, back, message.seq)

        def expire(now: int) -> Iterator[Outgoing]:
            probe = self._probes.pop(seq, None)
            if probe is not None and not probe.answered:
                yield self._message(back, "nack", message.seq, about=message.about)

        self._schedule(now + self.limits.answer_timeout * 4 // 5, expire)
        yield self._message(member.address, "ping", seq, about=message.about)

    def _handle_probe_answer(self, message: Message) -> Iterator[Outgoing]:
        probe = self._probes.get(message.seq)
        if probe is None or message.about != probe.name:
            return
        if message.kind == "nack":
            probe.pending_helpers = max(0, probe.pending_helpers - 1)
            return
        if not probe.answered and probe.requester is not None:
            yield self._message(probe.requester, "ack", probe.requester_seq, about=probe.name)
        probe.answered = True

    # ------------------------------------------------------------------ applying rows

    def _apply_own(self, row: Row, now: int) -> None:
        """Applies a row about this member. A wrong one is refuted, unless a later process has the name."""
        if row.rank <= self.me.rank:
            return
        if row.state is State.ALIVE and (row.host, row.port) != (self.me.host, self.me.port):
            if self._rival is None:
                self._rival = row
                self._schedule(now, lambda now: self._contact_rival(row))
                self._schedule(now + 2 * self.limits.period, lambda now: self._dismiss_rival(row))
            return
        if row.state is not State.ALIVE:
            self._adjust_health(1)
        self._raise_incarnation(row.incarnation)

    def _contact_rival(self, row: Row) -> Iterator[Outgoing]:
        yield self._message((row.host, row.port), "gossip", rows=())

    def _dismiss_rival(self, row: Row) -> Iterator[Outgoing]:
        """Refutes a rival that did not answer: an earlier process of this name, whose clock was ahead."""
        self._rival = None
        if row.rank > self.me.rank:
            self._raise_incarnation(row.incarnation)
        yield from ()

    def _handle_namesake(self, sender: Row, back: Address) -> list[Outgoing]:
        """Handles a message of a living process with this member's name: the later process stays."""
        if back == (self.me.host, self.me.port) or sender.state > State.SUSPECT:
            return []
        if sender.rank < self.me.rank:
            return [self._message(back, "gossip", rows=())]
        self.replaced, self._living = True, None
        return []

    def _apply(self, row: Row, now: int, spread: bool = True) -> None:
        """Applies a row, own or received. `spread`: a new one is passed on to others."""
        if row.name == self.me.name:
            self._apply_own(row, now)
            return
        member = self.members.get(row.name)
        if member is None:
            # An unknown member that is gone needs no entry, and would otherwise be passed on without end.
            if row.state <= State.SUSPECT and len(self.members) < MAX_MEMBERS:
                member = self.members[row.name] = Member(row, now)
                self._others_alive += 1
                self._update(member, row, now, spread or row.state is State.SUSPECT, new=True)
        elif row.rank > member.row.rank:
            self._others_alive += (row.state <= State.SUSPECT) - (member.row.state <= State.SUSPECT)
            self._update(member, row, now, True)
        elif (
            (row.rank, row.state) == (member.row.rank, State.SUSPECT)
            and row.reporter not in member.reporters
            and len(member.reporters) <= self.limits.confirmations
        ):
            self._confirm_suspicion(member, row)  # a further reporter is passed on, too
            self._spread_update(row)

    def _update(self, member: Member, row: Row, now: int, spread: bool, new: bool = False) -> None:
        before = None if new else member.row.state
        member.row, member.state_since, member.reporters = row, now, set()
        self._living = None
        if row.state is State.SUSPECT:
            member.suspicion_start = now
            self._confirm_suspicion(member, row)
            self._schedule_expiry(row, member.suspicion_end)
        if spread:
            self._spread_update(row)
        self.on_change(member, before)

    def _confirm_suspicion(self, member: Member, row: Row) -> None:
        """Sets the end of a suspicion, which is sooner the more members report it (Lifeguard's rule)."""
        limits = self.limits
        member.reporters.add(row.reporter)
        shortest = limits.suspicion_factor * self._log_scale() * limits.period
        longest = limits.unconfirmed_factor * shortest
        wanted = min(limits.confirmations, self._others_alive - 1)  # a small fleet has fewer members
        confirmations = min(len(member.reporters) - 1, wanted)
        part = math.log(confirmations + 1) / math.log(wanted + 1) if wanted > 0 else 1.0
        member.suspicion_end = member.suspicion_start + round(longest - (longest - shortest) * part)
        if confirmations:
            self._schedule_expiry(row, member.suspicion_end)

    def _schedule_expiry(self, row: Row, when: int) -> None:
        self._schedule(when, lambda now: self._expire_suspicion(now, row.name, row.incarnation))

    def _expire_suspicion(self, now: int, name: str, incarnation: int) -> Iterator[Outgoing]:
        """Declares a suspect dead if its time is over, or else waits for the new end."""
        member = self.members.get(name)
        suspected = member is not None and member.row.state is State.SUSPECT
        if member is None or not suspected or member.row.incarnation != incarnation:
            return
        if now < member.suspicion_end:
            self._schedule_expiry(member.row, member.suspicion_end)
        else:
            self._apply(member.row._replace(state=State.DEAD, reporter=self.me.name), now)
        yield from ()


def _partition(name: str) -> int:
    return crc32(name.encode()) % CHECKSUM_COUNT


def _can_forget(member: Member, now: int, after: int) -> bool:
    return member.row.state > State.SUSPECT and now - member.state_since > after

"""Decides which members ask the list service and which take the server list from others.

Nothing here does I/O or reads a clock. In each zone two members, in a large zone three, watch the list
service: the relays. Where each of them would have to serve more than a few dozen followers, further members
take the list from them and pass it on: the branches. So the load on the list service depends on the number of
zones and not on the size of the fleet, and no member is more than two steps away from it.

Both are the first members in an order that all members compute alike (rendezvous hashing: Thaler,
Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998). A member that has taken a duty on keeps
it: otherwise each new member that is earlier in the order would ask the list service, too. A relay that
receives nothing from the list service gives the duty up for a while. So while the service is unreachable to
all, the members take turns in asking, at a bounded rate.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Container, Iterable, Sequence
from typing import Any, NamedTuple

from heronstall.membership.messages import Duty, Row, State

SECOND = 1_000_000
MIN_RELAYS = 2  # in a zone, so that the loss of one has no effect
LARGE_ZONE_MEMBERS = 96  # a zone of this size has one more relay, since the loss of two at once is likelier
FOLLOWERS_PER_RELAY = 32  # members for each relay or branch
SETTLE_US = 300_000  # from taking the duty on to asking; members that took it on together learn of it by then
MAX_FOLLOWERS = 96  # of one relay or branch, after others have gone
GATHER_US = 1_000_000  # from the start until a member relies on what it knows of the others
MAX_RELAY_SILENCE_US = 4_000_000  # without a message from the list service, until another member is to try
SILENCE_PER_RELAY_US = (
    1_000_000  # added for the first message, per relay: one may be answered after all others
)
UNFIT_PERIOD_US = 10_000_000  # until a member that gave the duty up may become a relay again
AVOID_FAILED_US = 2_000_000  # a relay that failed is not asked for this long
AVOID_MISLEADING_US = 60_000_000  # nor is a relay whose revision no other member knows
UNCONFIRMED_REVISION_US = 1_000_000  # until a revision that is later than all others counts as fabricated
DIRECT_REQUEST_SPREAD_US = 100_000  # times the members: the time over which those without a relay spread
MAX_LIST_AGE_US = 4_000_000  # an older list is not relied on
FOLLOWER_LAG_US = 300_000  # with an older list than others have, until another relay is asked
RELAY_LAG_US = 1_000_000  # the same for a relay, until another one replaces it; agents differ by less
UNANSWERED_RELAY_LAG_US = 400_000  # the same for a relay that the list service has not answered yet
EMPTY_RELAY_HOLD_US = 1_000_000  # that a relay without a list keeps a follower waiting
HEARTBEAT_INTERVAL_US = 400_000  # between a relay's messages


def rendezvous_order(name: str, rows: Iterable[Row]) -> list[Row]:
    """Returns rows in the rendezvous order of a name."""

    def score(row: Row) -> bytes:
        return hashlib.blake2b(f"{name}\0{row.name}".encode(), digest_size=8).digest()

    return sorted(rows, key=score)


def wanted_relays(members: int) -> int:
    """Returns how many relays a zone of this size is to have."""
    return MIN_RELAYS + (members >= LARGE_ZONE_MEMBERS)


def wanted_branches(members: int) -> int:
    """Returns how many branches a zone of this size is to have."""
    return max(0, -(-members // FOLLOWERS_PER_RELAY) - wanted_relays(members))


SERVING_DUTIES = (Duty.RELAY, Duty.BRANCH)


class RelayRole:
    """One member's part in the distribution of the server list."""

    def __init__(self, now: int) -> None:
        self._started_at = now
        self.duty = Duty.FREE
        self._duty_since = now
        self._avoid_until: dict[str, int] = {}  # by name of a relay that failed
        self._last_living: Sequence[Row] | None = None  # the rows that the next four attributes derive from
        self._zone_rows: list[Row] = []  # of the own zone
        # The number of relays in all zones; of unsuspected relays and branches in the own zone.
        self._all_relays = self._relays = self._branches = 0
        self._filled = 0  # places of relays in the own zone that are taken

    def is_gathering(self, now: int, me: Row, living: Sequence[Row]) -> bool:
        """Returns whether it is too early to decide: members that start together do not know each other."""
        if now - self._started_at > GATHER_US:
            return False
        return not any(r.duty is Duty.RELAY and r.zone == me.zone for r in living if r.name != me.name)

    def decide(self, now: int, me: Row, living: Sequence[Row], fresh_at: int | None) -> Duty:
        """Returns the member's duty from now on.

        `living` has to be another object whenever a row in it has changed. `fresh_at` is the time of the list
        service's last message to this member.
        """
        if self.duty is Duty.UNFIT and now - self._duty_since > UNFIT_PERIOD_US:
            self.duty = Duty.FREE
        if self.is_gathering(now, me, living):
            return self.duty
        zone_rows = self._update_counts(me, living)
        wanted = wanted_relays(len(zone_rows))
        if self.duty is Duty.RELAY:
            heard_at = max(self._duty_since, fresh_at or 0)
            waits_for_first = fresh_at is None or fresh_at < self._duty_since
            if (
                now - heard_at
                > MAX_RELAY_SILENCE_US + SILENCE_PER_RELAY_US * self._all_relays * waits_for_first
            ):
                self._become(Duty.UNFIT, now)
            # Surplus relays arise where several take the duty on together, or after a partition has healed.
            elif self._relays > wanted and not _is_among_first(me, zone_rows, wanted):
                self._become(Duty.FREE, now)
            return self.duty
        missing = wanted - self._filled
        if missing <= 0:
            if self.duty is not Duty.UNFIT:
                self._decide_branch(now, me, zone_rows)
            return self.duty
        able = [r for r in zone_rows if r.duty in (Duty.FREE, Duty.BRANCH) and r.state is State.ALIVE]
        able = able or [r for r in zone_rows if r.duty is Duty.UNFIT and r.state is State.ALIVE]
        if me in rendezvous_order(me.zone, able)[:missing]:
            self._become(Duty.RELAY, now)
        return self.duty

    def _update_counts(self, me: Row, living: Sequence[Row]) -> list[Row]:
        """Returns the rows of the own zone, including `me`; recomputed only when a row has changed.

        Where all relays are suspected, none of them counts. Waiting until their end is certain would take
        half of the time in which a drain has to reach all members, and a few more members that ask the list
        service for a moment do no harm. While one relay is not suspected, the suspected ones count, too:
        where machines are too slow, every member is suspected now and then.
        """
        if living is not self._last_living:
            self._last_living = living
            self._zone_rows = [r for r in living if r.zone == me.zone and r.name != me.name] + [me]
            self._all_relays = sum(r.duty is Duty.RELAY for r in living)
            duties = [r.duty for r in self._zone_rows if r.state is State.ALIVE]
            self._relays, self._branches = duties.count(Duty.RELAY), duties.count(Duty.BRANCH)
            with_suspects = sum(r.duty is Duty.RELAY for r in self._zone_rows)
            self._filled = with_suspects if self._relays else 0
        return self._zone_rows

    def _decide_branch(self, now: int, me: Row, zone_rows: Sequence[Row]) -> None:
        """Decides whether to pass the list on. Called only while there are relays to take it from."""
        wanted = wanted_branches(len(zone_rows))
        if self.duty is Duty.BRANCH:
            if self._branches > wanted and not _is_among_first(me, zone_rows, wanted):
                self._become(Duty.FREE, now)
            return
        missing = wanted - self._branches
        able = (r for r in zone_rows if r.duty is Duty.FREE and r.state is State.ALIVE)
        if missing > 0 and me in rendezvous_order(me.zone, able)[:missing]:
            self._become(Duty.BRANCH, now)

    @property
    def duty_since(self) -> int:
        """When this duty was taken on."""
        return self._duty_since

    def is_settled(self, now: int) -> bool:
        """Returns whether a relay may ask: surplus relays of the same moment have heard of each other."""
        return now - self._duty_since >= SETTLE_US

    def give_up(self, now: int) -> None:
        """Gives the duty up, because others receive what this member does not."""
        self._become(Duty.UNFIT, now)

    def _become(self, duty: Duty, now: int) -> None:
        self.duty, self._duty_since = duty, now

    def mark_failed(self, relay: str, now: int, avoid_for: int = AVOID_FAILED_US) -> None:
        """Avoids a relay for a while because it could not be used."""
        self._avoid_until[relay] = now + avoid_for

    def sources(self, now: int, me: Row, living: Sequence[Row], ahead: Container[str] = ()) -> list[Row]:
        """Returns the members that may be asked for the list, the best first.

        Members named in `ahead`, whose list is later, come first, then those not suspected, then those of the
        own zone, then the member's own order decides. A branch asks only relays, so that no two members take
        the list from each other.
        """
        self._avoid_until = {name: until for name, until in self._avoid_until.items() if until > now}
        duties = (Duty.RELAY,) if self.duty is Duty.BRANCH else SERVING_DUTIES
        usable = [
            r for r in living if r.duty in duties and r.name not in self._avoid_until and r.name != me.name
        ]
        return sorted(
            rendezvous_order(me.name, usable),
            key=lambda r: (r.name not in ahead, r.state is State.SUSPECT, r.zone != me.zone),
        )


def _is_among_first(me: Row, zone_rows: Sequence[Row], count: int) -> bool:
    """Returns whether `me` is among the first `count` members of its duty."""
    return (
        me
        in rendezvous_order(me.zone, (r for r in zone_rows if r.duty is me.duty and r.state is State.ALIVE))[
            :count
        ]
    )


class ListMessage(NamedTuple):
    """A message of the list service, unchanged, with its revision."""

    rev: int
    message: Any


class RevisionFilter:
    """Selects the list messages that count, where they arrive from sources that are not equally fresh.

    A revision is the list service's count of its changes. A message with a lower one than was accepted is
    older and could restore a server that drains, so it is held back. Either its sender catches up, as agents
    of one service do within a second, or its sender still reports the lower revision for times that are
    `MAX_DISAGREEMENT_US` after the higher one arrived. Then the higher one was fabricated, or the service has
    restarted its count, and the messages held back are released.
    """

    MAX_DISAGREEMENT_US = 1_200_000  # more than agents of one service differ by

    def __init__(self) -> None:
        self.highest: int | None = None
        self._held_back: list[ListMessage] = []
        self._raised_at = 0  # when the highest revision arrived

    def accept(self, rev: int, message: Any, as_of: int, now: int) -> list[ListMessage]:
        """Returns the messages to apply now, in order. `as_of`: the time for which `message` was true."""
        if self.highest is None or rev >= self.highest:
            if self.highest is None or rev > self.highest:
                self._raised_at = now
            self.highest = rev
            released, self._held_back = [*self._held_back, ListMessage(rev, message)], []
            return released
        self._held_back.append(ListMessage(rev, message))
        return self.release(as_of)

    @property
    def is_holding_back(self) -> bool:
        """Whether messages are held back."""
        return bool(self._held_back)

    def start_watch(self) -> None:
        """Begins a watch of another source: its first message, a whole list, replaces those held back."""
        self._held_back = []

    def is_fabricated(self, now: int, revisions: Callable[[int, bool], list[int]]) -> bool:
        """Returns whether, some time after its arrival, the other relays do not know the highest revision.

        Where no other relay reports one, the members decide: at least three, fewer than half of which know
        it. `revisions(since, relays_only)` returns the revisions that members have reported since a time.
        This guards against a relay that reports a revision of its own making, after which true messages would
        not count for a while. Relays take precedence over the other members, which may all have been misled.
        """
        if self.highest is None or now - self._raised_at < UNCONFIRMED_REVISION_US:
            return False
        since, highest = self._raised_at + UNCONFIRMED_REVISION_US // 2, self.highest
        reported = revisions(since, True)
        if reported:
            return max(reported) < highest
        reported = revisions(since, False)
        return len(reported) >= 3 and 2 * sum(rev >= highest for rev in reported) < len(reported)

    def release(self, as_of: int) -> list[ListMessage]:
        """Returns the messages held back once their sender reports on a late enough time."""
        if not self._held_back or as_of - self._raised_at < self.MAX_DISAGREEMENT_US:
            return []
        released, self._held_back = self._held_back, []
        self.highest, self._raised_at = released[-1].rev, as_of
        return released

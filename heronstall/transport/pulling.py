"""Pulls the control state by version vector: a control node holds the call until there is news.

Where the answer is late, another node is asked beside it.
Addresses that did not answer are left out for a while, so that a row of dead ones costs little each.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Collection

import structlog

from heronstall.distribution.view import ControlStateView
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import LOST, Links
from heronstall.transport.messages import Session, SyncReply, SyncRequest

log = structlog.get_logger()

HOLD = 0.6  # seconds that a control node may hold a call without news
FIRST_HOLD = 0.1  # the same while nothing is known here
LATE = 0.25  # seconds beyond that after which another control node is asked beside it
ANSWER_WITHIN = 0.6  # seconds beyond the hold after which a call is given up
CALLS_MOST = 4  # calls at once, each at another node
READ_SEEDS_EVERY = 4  # failed calls in a row after which the settings are read for other seeds
PAUSE = 0.1  # seconds before a node is asked again when none is left that has not failed lately
LEFT_OUT = 3.0  # seconds for which a node that did not answer is asked only where no other is known


class Candidates:
    """Control nodes by when they last failed. Free of I/O."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._failed_at: dict[str, float] = {}

    def failed(self, now: float, address: str) -> None:
        """A node gave no answer, or none that helps."""
        self._failed_at[address] = now

    def answered(self, address: str) -> None:
        """A node has answered."""
        self._failed_at.pop(address, None)

    def choose(
        self, now: float, members: Collection[str], seeds: Collection[str], busy: set[str]
    ) -> str | None:
        """The node to ask next: a member that has not failed lately, then a seed, then who failed first.

        None where all known nodes are being asked.
        """
        for known in (members, seeds):
            sound = sorted(a for a in known if a not in busy and not self._left_out(now, a))
            if sound:
                return self._random.choice(sound)
        rest = sorted({*members, *seeds} - busy)
        return min(rest, key=lambda a: self._failed_at.get(a, 0.0), default=None)

    def all_failed(self, now: float, addresses: Collection[str]) -> bool:
        """Whether none of these nodes is left that has not failed lately."""
        return all(self._left_out(now, address) for address in addresses)

    def _left_out(self, now: float, address: str) -> bool:
        at = self._failed_at.get(address)
        return at is not None and now - at < LEFT_OUT


class Puller:
    """Keeps a view up to date and this node's session alive."""

    def __init__(
        self,
        links: Links,
        view: ControlStateView,
        session: Callable[[], Session],
        seeds: Callable[[], list[str]],
        news: Callable[[set[str]], None],
        answered: Callable[[], None] = lambda: None,
    ) -> None:
        self._links, self._view = links, view
        self._session, self._read_seeds, self._news = session, seeds, news
        self._seeds = seeds()
        self._failures = 0
        self._answered = answered
        self._at = ""  # the node that answered last
        self._candidates = Candidates(random.Random())
        self._calls: dict[str, asyncio.Task[bool]] = {}  # under way, by address
        self.known_at = -1e9  # steady time: the view holds what a control node knew then

    async def run(self) -> None:
        """Pull until cancelled."""
        try:
            while True:
                try:
                    await self._round()
                except Exception as error:  # whatever came of one answer, the next round may do better
                    log.error("pull failed", error=repr(error))
                    await asyncio.sleep(PAUSE)
        finally:
            for call in self._calls.values():
                call.cancel()

    async def _round(self) -> None:
        """Call a node, and others beside it while no answer comes."""
        await self._begin_call()
        if not self._calls:
            await asyncio.sleep(PAUSE)
            return
        patience = self._hold() + LATE if len(self._calls) == 1 else LATE
        done, _ = await asyncio.wait(
            self._calls.values(), timeout=patience, return_when=asyncio.FIRST_COMPLETED
        )
        ended = {address: call for address, call in self._calls.items() if call in done}
        for address in ended:
            del self._calls[address]
        for address, call in ended.items():
            self._ended(address, call.result())

    async def _begin_call(self) -> None:
        """Ask the node that answered last, else another one; none where enough are being asked."""
        if len(self._calls) >= CALLS_MOST:
            return
        now, busy = time.monotonic(), set(self._calls)
        members = self._view.control_addresses or tuple(self._seeds)
        if self._at and self._at not in busy:
            address: str | None = self._at
        else:
            address = self._candidates.choose(now, members, self._seeds, busy)
            if not busy and self._candidates.all_failed(now, {*members, *self._seeds}):
                await asyncio.sleep(PAUSE)
        if address is not None:
            hold = 0.0 if busy else self._hold()  # beside a late call an answer is wanted at once
            self._calls[address] = asyncio.create_task(self._pull(address, hold))

    def _ended(self, address: str, helped: bool) -> None:
        """Take the end of a call. Several may end at once."""
        now = time.monotonic()
        if helped:
            self._at = address
            self._failures = 0
            self._candidates.answered(address)
            for other in list(self._calls):  # late ones: whoever answers is asked next
                self._candidates.failed(now, other)
                self._calls.pop(other).cancel()
            return
        self._at = "" if self._at == address else self._at
        self._candidates.failed(now, address)
        self._failures += 1
        if self._failures % READ_SEEDS_EVERY == 0:
            self._seeds = self._read_seeds()

    def _hold(self) -> float:
        return HOLD if self._view.document else FIRST_HOLD

    async def _pull(self, address: str, hold: float) -> bool:
        """One call, held for so many seconds where there is no news; whether its answer helped."""
        began = time.monotonic()
        request = SyncRequest(self._session(), self._view.version_vector(), int(hold * 1000))
        reply = await self._links.to(address).call(Kind.SYNC, bytes(request), hold + ANSWER_WITHIN)
        if reply is LOST:
            self._links.to(address).drop()
        if reply.status != Status.OK:
            return False
        self.known_at = max(self.known_at, began)
        changed = self._view.apply(SyncReply().parse(reply.body))
        self._answered()
        if changed:
            self._news(changed)
        elif not self._view.document:
            await asyncio.sleep(PAUSE)
        return True

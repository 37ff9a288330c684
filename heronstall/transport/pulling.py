"""Pulls the control state from control nodes by long polling with a version vector.

When an answer is late, a second node is called in parallel. Addresses that failed are avoided for a while, so
that each of several dead nodes delays an update only a little.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Collection

import structlog

from heronstall.distribution.view import ControlStateView
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import CALL_FAILED, Links
from heronstall.transport.messages import Session, SyncReply, SyncRequest

log = structlog.get_logger()

POLL_HOLD = 0.6  # seconds that a control node may hold a call while nothing has changed
FIRST_POLL_HOLD = 0.1  # the same while no configuration is known here
HEDGE_DELAY = 0.25  # seconds beyond the hold after which another control node is called in parallel
ANSWER_TIMEOUT = 0.6  # seconds beyond the hold after which a call fails
MAX_PARALLEL_CALLS = 4  # each to a different node
FAILURES_PER_SEED_RELOAD = 4  # consecutive failed calls after which the seeds are read again
RETRY_DELAY = 0.1  # seconds before the next call when all known nodes failed recently
FAILED_NODE_COOLDOWN = 3.0  # seconds for which a failed node is called only if no other is known


class ControlNodeSelector:
    """Chooses control nodes by their latest failures. Performs no I/O."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._failed_at: dict[str, float] = {}

    def record_failure(self, now: float, address: str) -> None:
        """Records that a node gave no answer, or none with a usable state."""
        self._failed_at[address] = now

    def record_answer(self, address: str) -> None:
        """Records that a node has answered."""
        self._failed_at.pop(address, None)

    def choose(
        self, now: float, members: Collection[str], seeds: Collection[str], busy: set[str]
    ) -> str | None:
        """Returns the node to call next, or None if all known nodes are being called.

        Prefers members that have not failed recently, then such seeds, then the node whose failure is oldest.
        """
        for candidates in (members, seeds):
            available = sorted(a for a in candidates if a not in busy and not self._failed_recently(now, a))
            if available:
                return self._random.choice(available)
        remaining = sorted({*members, *seeds} - busy)
        return min(remaining, key=lambda a: self._failed_at.get(a, 0.0), default=None)

    def all_failed_recently(self, now: float, addresses: Collection[str]) -> bool:
        """Whether all these nodes failed recently."""
        return all(self._failed_recently(now, address) for address in addresses)

    def _failed_recently(self, now: float, address: str) -> bool:
        failed_at = self._failed_at.get(address)
        return failed_at is not None and now - failed_at < FAILED_NODE_COOLDOWN


class StatePuller:
    """Keeps a view of the control state up to date and this node's session alive."""

    def __init__(
        self,
        links: Links,
        view: ControlStateView,
        session: Callable[[], Session],
        seeds: Callable[[], list[str]],
        on_change: Callable[[set[str]], None],
        on_answer: Callable[[], None] = lambda: None,
    ) -> None:
        self._links, self._view = links, view
        self._session, self._read_seeds, self._on_change = session, seeds, on_change
        self._seeds = seeds()
        self._failures = 0
        self._on_answer = on_answer
        self._preferred_node = ""  # the node that answered last, called first
        self._selector = ControlNodeSelector(random.Random())
        self._calls: dict[str, asyncio.Task[bool]] = {}  # running calls, by address
        self.current_as_of = -1e9  # steady time: the view holds the control state as of then

    async def run(self) -> None:
        """Pulls until cancelled."""
        try:
            while True:
                try:
                    await self._run_round()
                except Exception as error:  # a malformed answer must not end the pulling
                    log.error("pull failed", error=repr(error))
                    await asyncio.sleep(RETRY_DELAY)
        finally:
            for call in self._calls.values():
                call.cancel()

    async def _run_round(self) -> None:
        """Calls a node, and others in parallel while no answer arrives."""
        await self._start_call()
        if not self._calls:
            await asyncio.sleep(RETRY_DELAY)
            return
        wait_seconds = self._hold_seconds() + HEDGE_DELAY if len(self._calls) == 1 else HEDGE_DELAY
        done, _ = await asyncio.wait(
            self._calls.values(), timeout=wait_seconds, return_when=asyncio.FIRST_COMPLETED
        )
        ended = {address: call for address, call in self._calls.items() if call in done}
        for address in ended:
            del self._calls[address]
        for address, call in ended.items():
            self._finish_call(address, call.result())

    async def _start_call(self) -> None:
        """Calls the node that answered last, or another one; none while MAX_PARALLEL_CALLS are running."""
        if len(self._calls) >= MAX_PARALLEL_CALLS:
            return
        now, busy = time.monotonic(), set(self._calls)
        members = self._view.control_addresses or tuple(self._seeds)
        if self._preferred_node and self._preferred_node not in busy:
            address: str | None = self._preferred_node
        else:
            address = self._selector.choose(now, members, self._seeds, busy)
            if not busy and self._selector.all_failed_recently(now, {*members, *self._seeds}):
                await asyncio.sleep(RETRY_DELAY)
        if address is not None:
            hold = 0.0 if busy else self._hold_seconds()  # a parallel call asks for an immediate answer
            self._calls[address] = asyncio.create_task(self._pull(address, hold))

    def _finish_call(self, address: str, succeeded: bool) -> None:
        """Handles the end of a call. Several calls may end at the same time."""
        now = time.monotonic()
        if succeeded:
            self._preferred_node = address
            self._failures = 0
            self._selector.record_answer(address)
            for other in list(self._calls):  # late ones; the node that answered is called next
                self._selector.record_failure(now, other)
                self._calls.pop(other).cancel()
            return
        self._preferred_node = "" if self._preferred_node == address else self._preferred_node
        self._selector.record_failure(now, address)
        self._failures += 1
        if self._failures % FAILURES_PER_SEED_RELOAD == 0:
            self._seeds = self._read_seeds()

    def _hold_seconds(self) -> float:
        return POLL_HOLD if self._view.document else FIRST_POLL_HOLD

    async def _pull(self, address: str, hold: float) -> bool:
        """Makes one call, which the node may hold for `hold` seconds. Returns whether the state is usable."""
        started_at = time.monotonic()
        request = SyncRequest(self._session(), self._view.version_vector(), int(hold * 1000))
        reply = await self._links.to(address).call(Kind.SYNC, bytes(request), hold + ANSWER_TIMEOUT)
        if reply is CALL_FAILED:
            self._links.to(address).disconnect()
        if reply.status != Status.OK:
            return False
        self.current_as_of = max(self.current_as_of, started_at)
        changed = self._view.apply(SyncReply().parse(reply.body))
        self._on_answer()
        if changed:
            self._on_change(changed)
        elif not self._view.document:
            await asyncio.sleep(RETRY_DELAY)
        return True

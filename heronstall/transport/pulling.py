"""Pulls the control state: one call at a time to one control node, held there until there is news."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

import structlog

from heronstall.distribution.view import View
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import Links
from heronstall.transport.messages import Session, SyncReply, SyncRequest

log = structlog.get_logger()

HOLD = 0.6  # seconds that a control node may hold a call without news
ANSWER_WITHIN = 0.6  # seconds beyond that until another control node is asked
READ_SEEDS_EVERY = 4  # failed calls in a row after which the settings are read for other seeds
PAUSE = 0.1  # seconds before the next control node is asked


class Puller:
    """Keeps a view up to date and this node's session alive."""

    def __init__(
        self,
        links: Links,
        view: View,
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
        self._at = ""
        self.pulled_at = -1e9  # steady time of the latest answer

    async def run(self) -> None:
        """Pull until cancelled."""
        while True:
            if not self._at:
                self._at = self._choose("")
            if await self._pull(self._at):
                self._failures = 0
            else:
                self._failures += 1
                if self._failures % READ_SEEDS_EVERY == 0:
                    self._seeds = self._read_seeds()
                self._links.to(self._at).drop()
                self._at = self._choose(self._at)
                await asyncio.sleep(PAUSE)

    def _choose(self, failed: str) -> str:
        """Another control node; seeds count as well, since all known ones may have gone."""
        known = sorted({*self._view.control, *self._seeds} - {failed}) or [failed]
        return random.choice(known)

    async def _pull(self, address: str) -> bool:
        hold = HOLD if self._view.document else 0.1
        request = SyncRequest(self._session(), self._view.vector(), int(hold * 1000))
        reply = await self._links.to(address).call(Kind.SYNC, bytes(request), hold + ANSWER_WITHIN)
        if reply.status != Status.OK:
            return False
        self.pulled_at = time.monotonic()
        changed = self._view.take(SyncReply().parse(reply.body))
        self._answered()
        if changed:
            self._news(changed)
        elif not self._view.document:
            await asyncio.sleep(PAUSE)
        return True

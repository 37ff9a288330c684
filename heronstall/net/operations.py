"""The operators' commands on a running dispatcher, independent of the protocol that carries them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from heronstall.net.dispatcher import Dispatcher
from heronstall.net.server_table import ServerTable
from heronstall.net.shutdown import GracefulShutdown, Stage


class Reply(NamedTuple):
    """Whether a command succeeded, or its question is answered with yes, and a short explanation."""

    ok: bool
    text: str


class Operations:
    """Executes operators' commands. Every command is idempotent."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        table: ServerTable,
        shutdown: GracefulShutdown,
        accepting: Callable[[], bool],
    ) -> None:
        self._dispatcher, self._table, self._shutdown, self._accepting = (
            dispatcher,
            table,
            shutdown,
            accepting,
        )
        self.on_change: Callable[[], None] = lambda: None  # called when a ban or the drain has changed
        # Optional figures, set where the operator's file enables them.
        self.detail_figures: Callable[[], Iterator[tuple[str, str]]] | None = None
        self.takeover_figures: Callable[[], Iterator[tuple[str, str]]] | None = None

    def ping(self) -> Reply:
        """Returns whether this process accepts clients; a drained process still does."""
        if self._shutdown.stage is Stage.STOPPING:
            return Reply(False, "leaving")
        if not self._accepting():
            return Reply(False, "no server list yet")
        return Reply(True, self._shutdown.stage.value)

    def figures(self) -> Iterator[tuple[str, int]]:
        """Yields the name and the current value of every figure."""
        yield from self._dispatcher.figures.rows()
        listed = self._table.listed()
        avoided = set(self._dispatcher.avoided())
        yield "discovered", len(listed)
        yield "ejected", sum(s.banned_since is not None or s.number in avoided for s in listed)

    def detach(self, uid: str) -> Reply:
        """Takes a server out of service until `attach`, whatever the server list says."""
        return self._set_banned(uid, True, "detached", "detached already")

    def attach(self, uid: str) -> Reply:
        """Puts a server back into service, however often it was taken out."""
        return self._set_banned(uid, False, "attached", "attached already")

    def _set_banned(self, uid: str, banned: bool, changed_text: str, unchanged_text: str) -> Reply:
        if not self._table.knows(uid):
            return Reply(False, "never listed")
        changed = self._table.ban(uid, banned)
        if changed:
            self.on_change()
        return Reply(True, changed_text if changed else unchanged_text)

    def lameduck(self) -> Reply:
        """Starts a drain: `/healthz` reports unhealthy and clients' connections are closed gradually."""
        before = self._shutdown.stage
        self._shutdown.drain()
        self.on_change()
        return Reply(True, "draining" if before is Stage.SERVING else f"{before.value} already")

    def rejoin(self) -> Reply:
        """Ends a drain. A shutdown that a signal started cannot be reverted."""
        before = self._shutdown.stage
        if before is Stage.STOPPING:
            return Reply(False, "leaving")
        self._shutdown.rejoin()
        self.on_change()
        return Reply(True, "serving" if before is Stage.DRAINED else "serving already")

"""What the operators' staff can have this dispatcher do or tell, in no protocol's words."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from heronstall.net.dispatcher import Dispatcher
from heronstall.net.server_table import ServerTable
from heronstall.net.shutdown import GracefulShutdown, Stage


class Reply(NamedTuple):
    """Whether a call was carried out, or its question is answered yes; and a word for people."""

    good: bool
    text: str


class Operations:
    """The calls. Each is harmless when it is made again."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        table: ServerTable,
        shutdown: GracefulShutdown,
        taking: Callable[[], bool],
    ) -> None:
        self._dispatcher, self._table, self._shutdown, self._taking = dispatcher, table, shutdown, taking
        self.on_change: Callable[[], None] = lambda: None  # a ban or the drain has changed
        # Further figures, where the operator's file asks for what they are of.
        self.detail_figures: Callable[[], Iterator[tuple[str, str]]] | None = None
        self.takeover_figures: Callable[[], Iterator[tuple[str, str]]] | None = None

    def ping(self) -> Reply:
        """Whether this process takes clients. A drained one still takes those who come, so it says yes."""
        if self._shutdown.stage is Stage.STOPPING:
            return Reply(False, "leaving")
        if not self._taking():
            return Reply(False, "no server list yet")
        return Reply(True, self._shutdown.stage.value)

    def figures(self) -> Iterator[tuple[str, int]]:
        """Every figure and its name, as they are now."""
        yield from self._dispatcher.figures.rows()
        listed = self._table.listed()
        avoided = set(self._dispatcher.avoided())
        yield "discovered", len(listed)
        yield "ejected", sum(s.banned_since is not None or s.number in avoided for s in listed)

    def detach(self, uid: str) -> Reply:
        """Take a server out: nothing new goes there, whatever the list says, until `attach`."""
        return self._ban(uid, True, "detached", "detached already")

    def attach(self, uid: str) -> Reply:
        """Put a server back, however often it was taken out."""
        return self._ban(uid, False, "attached", "attached already")

    def _ban(self, uid: str, out: bool, done: str, before: str) -> Reply:
        if not self._table.knows(uid):
            return Reply(False, "never listed")
        changed = self._table.ban(uid, out)
        if changed:
            self.on_change()
        return Reply(True, done if changed else before)

    def lameduck(self) -> Reply:
        """Drain: `/healthz` says no from now on, and clients are led away."""
        before = self._shutdown.stage
        self._shutdown.drain()
        self.on_change()
        return Reply(True, "draining" if before is Stage.SERVING else f"{before.value} already")

    def rejoin(self) -> Reply:
        """End the drain. A signal's cannot be ended."""
        before = self._shutdown.stage
        if before is Stage.STOPPING:
            return Reply(False, "leaving")
        self._shutdown.rejoin()
        self.on_change()
        return Reply(True, "serving" if before is Stage.DRAINED else "serving already")

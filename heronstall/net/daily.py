"""What an operator's address brings: the door, the book and the succession, put together.

Imported only where such an address is told. Guards starts on all other days: the program is read and compiled
anew at each of them, and after a mass kill they are what clients wait for.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from heronstall.config import Address, Config, ConfigError
from heronstall.net.backend import ConnectionPool
from heronstall.net.dispatcher import Dispatcher
from heronstall.net.door import CALLERS, Door
from heronstall.net.frontend import Frontend
from heronstall.net.loop import Loop
from heronstall.net.operations import Operations
from heronstall.net.operator_state import OperatorState
from heronstall.net.server_table import ServerTable
from heronstall.net.shutdown import GracefulShutdown, Stage
from heronstall.net.succession import Share, Succession, claim
from heronstall.ops.bans import Bans


class Daily:
    """Daily operation of one process. Made before anything is sent, begun once everything else stands."""

    descriptors = CALLERS  # that it needs beside those of clients and servers

    def __init__(
        self,
        config: Config,
        address: Address,
        loop: Loop,
        offset: int,
        bans: Bans,
        shutdown: GracefulShutdown,
        folder: Path | None,
    ) -> None:
        self._config, self._address, self._loop, self._shutdown = config, address, loop, shutdown
        self._book = OperatorState(loop, offset, bans, shutdown)
        self._path: Path | None = None
        self._claimed = None
        self._succession: Succession | None = None
        if folder is not None:
            self._book.open(folder, config.name)
            self._path = folder / f"heronstall-{config.name}.sock".replace("/", "_")
            self._claimed = claim(self._path, config.name, config.listen)
        # What the process before has handed over, if one runs.
        self.listener = self._claimed.listener if self._claimed else None
        self.table: Any = self._claimed.table if self._claimed else None
        self.door: Door
        self.operations: Operations

    def begin(
        self,
        dispatcher: Dispatcher,
        table: ServerTable,
        frontend: Frontend,
        pool: ConnectionPool,
        taking: Callable[[], bool],
        half: Callable[[int], int],
    ) -> None:
        """Open the door, be heir of the process before, and be ready for the one that comes after.

        `half`: descriptors for clients, and as many for servers, where so many processes share them. Raises
        ConfigError for an address of no use.
        """
        self._frontend, self._pool, self._half = frontend, pool, half
        if self._path is not None:
            self._book.watch(table)
            self._succeed(self._path, table, taking)

        def begun() -> bool:
            # Guards against a yes that has the process before stopped while it knows of no heir yet.
            return taking() if self._succession is None else self._succession.begun

        self.operations = operations = Operations(dispatcher, table, self._shutdown, begun)
        operations.changed = self._book.record_change
        try:
            self.door = Door(self._loop, self._address, operations)
        except OSError as error:
            host, port = self._address
            raise ConfigError(f"operator: cannot listen on {host}:{port}: {error}") from None

    def _succeed(self, path: Path, table: ServerTable, taking: Callable[[], bool]) -> None:
        config, frontend = self._config, self._frontend
        self._succession = succession = Succession(
            self._loop, path, config.name, config.listen, frontend.listener, taking, table.full_list
        )
        succession.adopt, succession.know = frontend.adopt, frontend.remember_ids
        succession.shared, succession.orphaned = self._share, frontend.resume
        succession.heired = self.hand_over
        if self._claimed is not None:
            succession.inherit(self._claimed.channel)
        succession.begin()

    def _share(self, share: Share) -> None:
        """Whether two processes have the dispatcher's room together.

        Each has half of it, until one leaves: then each client's connection is with one of the two, and what
        is left in the other are a few.
        """
        half = self._half(1 if share is Share.ALONE else 2)
        self._pool.set_limit(half)
        clients = self._half(1) * 7 // 8 if share is Share.AFTER else half
        self._frontend.set_limits(clients, share is not Share.ALONE)

    def hand_over(self) -> None:
        """Leave clients to the heir, if there is one and a signal has come, whichever came first."""
        stopping = self._shutdown.stage is Stage.STOPPING
        if stopping and self._succession is not None and self._succession.heir:
            self._succession.leave(self._frontend.recent_ids())
            self._pool.close_idle()
            self._frontend.hand_over(self._succession.pass_on)

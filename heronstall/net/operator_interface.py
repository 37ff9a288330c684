"""The operator interface: the admin endpoint, the operators' shared state and the handover.

Imported only where an operator address is configured. Every start reads and compiles the program anew, and
after a mass kill clients wait for those starts, so unused modules must not add to their duration.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from heronstall.config import Address, Config, ConfigError
from heronstall.net.admin_endpoint import MAX_CONNECTIONS, AdminEndpoint
from heronstall.net.backend import ConnectionPool
from heronstall.net.dispatcher import Dispatcher
from heronstall.net.frontend import Frontend
from heronstall.net.handover import ProcessHandover, Sharing, connect_predecessor
from heronstall.net.loop import Loop
from heronstall.net.operations import Operations
from heronstall.net.operator_state import OperatorState
from heronstall.net.server_table import ServerTable
from heronstall.net.shutdown import GracefulShutdown, Stage
from heronstall.ops.bans import Bans


class OperatorInterface:
    """One process's operator interface: created before anything is sent, started after all other parts."""

    descriptors = MAX_CONNECTIONS  # needed in addition to those of clients and servers

    def __init__(
        self,
        config: Config,
        address: Address,
        loop: Loop,
        offset: int,
        bans: Bans,
        shutdown: GracefulShutdown,
        directory: Path | None,
    ) -> None:
        self._config, self._address, self._loop, self._shutdown = config, address, loop, shutdown
        self._operator_state = OperatorState(loop, offset, bans, shutdown)
        self._socket_path: Path | None = None
        self._predecessor = None
        self._handover: ProcessHandover | None = None
        if directory is not None:
            self._operator_state.open(directory, config.name)
            self._socket_path = directory / f"heronstall-{config.name}.sock".replace("/", "_")
            self._predecessor = connect_predecessor(self._socket_path, config.name, config.listen)
        # What a running predecessor has handed over, if there is one.
        self.inherited_listener = self._predecessor.listener if self._predecessor else None
        self.inherited_server_list: Any = self._predecessor.server_list if self._predecessor else None
        self.admin_endpoint: AdminEndpoint
        self.operations: Operations

    def start(
        self,
        dispatcher: Dispatcher,
        table: ServerTable,
        frontend: Frontend,
        pool: ConnectionPool,
        accepting: Callable[[], bool],
        descriptor_limit: Callable[[int], int],
    ) -> None:
        """Opens the admin endpoint, succeeds a running predecessor and waits for a successor.

        `descriptor_limit` returns how many descriptors clients may use, and servers likewise, when the given
        number of processes share them. Raises ConfigError for an unusable address.
        """
        self._frontend, self._pool, self._descriptor_limit = frontend, pool, descriptor_limit
        if self._socket_path is not None:
            self._operator_state.watch(table)
            self._start_handover(self._socket_path, table, accepting)

        def announced() -> bool:
            # PING must not succeed earlier: whoever sees it may stop the predecessor, which would not yet
            # know its successor.
            return accepting() if self._handover is None else self._handover.announced

        self.operations = operations = Operations(dispatcher, table, self._shutdown, announced)
        operations.on_change = self._operator_state.record_change
        try:
            self.admin_endpoint = AdminEndpoint(self._loop, self._address, operations)
        except OSError as error:
            host, port = self._address
            raise ConfigError(f"operator: cannot listen on {host}:{port}: {error}") from None

    def _start_handover(self, path: Path, table: ServerTable, accepting: Callable[[], bool]) -> None:
        config, frontend = self._config, self._frontend
        self._handover = handover = ProcessHandover(
            self._loop, path, config.name, config.listen, frontend.listener, accepting, table.full_list
        )
        handover.adopt_connection, handover.add_known_ids = frontend.adopt, frontend.remember_ids
        handover.on_sharing_changed, handover.on_successor_lost = self._apply_sharing, frontend.resume
        handover.on_successor_ready = self.hand_over
        if self._predecessor is not None:
            handover.inherit(self._predecessor.channel)
        handover.announce()

    def _apply_sharing(self, sharing: Sharing) -> None:
        """Adjusts the limits to whether two processes share the dispatcher's descriptors and memory.

        Each has half of the descriptors until one of them stops. From then on each client connection belongs
        to one of the two, and the stopping one holds only a few.
        """
        limit = self._descriptor_limit(1 if sharing is Sharing.NONE else 2)
        self._pool.set_limit(limit)
        clients = self._descriptor_limit(1) * 7 // 8 if sharing is Sharing.WITH_STOPPING_PROCESS else limit
        self._frontend.set_limits(clients, sharing is not Sharing.NONE)

    def hand_over(self) -> None:
        """Hands the clients to the successor once there is one and a signal has arrived, in either order."""
        stopping = self._shutdown.stage is Stage.STOPPING
        if stopping and self._handover is not None and self._handover.has_successor:
            self._handover.leave(self._frontend.recent_ids())
            self._pool.close_idle()
            self._frontend.hand_over(self._handover.pass_connection)

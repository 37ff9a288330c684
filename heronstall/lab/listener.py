"""A listening address that can answer, refuse, or say nothing at all, as the machine behind it would."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Literal

BACKLOG = 256
HOST = "127.0.0.1"
State = Literal["open", "refuse", "mute"]


class Listener:
    """One address on loopback. It keeps its port through every state.

    `refuse`: nobody listens, and the kernel says so. `mute`: connections never come up. The kernel drops a
    connection request whose backlog is full, so a backlog of 0 with one connection of ours in it does that
    without any privilege.
    """

    def __init__(self, accepted: Callable[[socket.socket], None]) -> None:
        self._accepted = accepted
        self._loop = asyncio.get_running_loop()
        self._plug: socket.socket | None = None
        self._sock = self._bound(0)
        self.port: int = self._sock.getsockname()[1]
        self.state: State = "refuse"
        self.set("open")

    @property
    def address(self) -> str:
        """host:port."""
        return f"{HOST}:{self.port}"

    @staticmethod
    def _bound(port: int) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOST, port))
        return sock

    def set(self, state: State) -> None:
        """Change what happens to new connections."""
        if state == self.state:
            return
        before, self.state = self.state, state
        if before == "open":
            self._loop.remove_reader(self._sock)
        if state == "refuse":
            # Bound again at once and not listening: the port stays ours, and connects are refused.
            self._unplug()
            self._sock.close()
            self._sock = self._bound(self.port)
        elif state == "mute":
            self._accept()  # whoever is in the backlog came before
            self._sock.listen(0)
            self._plug = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            self._plug.connect_ex((HOST, self.port))
        else:
            self._unplug()
            self._sock.listen(BACKLOG)
            self._loop.add_reader(self._sock, self._accept)

    def _unplug(self) -> None:
        plug, self._plug = self._plug, None
        if plug is None:
            return
        mine = plug.getsockname()
        plug.close()
        try:
            while True:
                sock, peer = self._sock.accept()
                if peer != mine:  # came up in the moment between
                    sock.setblocking(False)
                    self._accepted(sock)
                else:
                    sock.close()
        except OSError:
            pass

    def _accept(self) -> None:
        try:
            while True:
                sock, _ = self._sock.accept()
                sock.setblocking(False)
                self._accepted(sock)
        except OSError:
            pass

    def close(self) -> None:
        """End it."""
        if self.state == "open":
            self._loop.remove_reader(self._sock)
        if self._plug is not None:
            self._plug.close()
        self._sock.close()

"""Dispatchers of a run that exchange messages with each other, and proxies between them for faults."""

from __future__ import annotations

import asyncio
import json
import random
import socket
from pathlib import Path
from typing import Any

from heronstall.lab.faults import Faults
from heronstall.lab.nodes import Node, Nodes
from heronstall.lab.relay import Carried, Datagrams, Way

PEERS_PORT = 8095
JOIN = 4  # others that everybody is told of
BACKLOG = 128


class PeerProxy(Datagrams):
    """A proxy in front of one dispatcher, at the address that the others know, for datagrams and connections.

    It tells the sender by the source address.
    """

    def __init__(self, node: Node, network: PeerNetwork) -> None:
        super().__init__((node.host, PEERS_PORT), node.number)
        self._number, self._network = node.number, network
        self._sock = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        self._sock.setblocking(False)
        self.address: tuple[str, int] = self._sock.getsockname()
        asyncio.get_running_loop().add_reader(self._sock, self._accept)

    async def begin(self) -> None:
        """Hear datagrams, too, under the same number."""
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=self.address)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """One has come from a dispatcher; answers go to that one's own proxy."""
        sender = self._network.whose.get(addr[0])
        if sender is not None:
            self.carry(self._network.way(sender, self._number), data, self._target)

    def _accept(self) -> None:
        try:
            sock, (host, _) = self._sock.accept()
        except OSError:
            return
        sock.setblocking(False)
        sender = self._network.whose.get(host)
        if sender is None:
            sock.close()
        else:
            self._network.link(sender, self._number).accepted(sock)

    def close(self) -> None:
        """End it."""
        asyncio.get_running_loop().remove_reader(self._sock)
        self._sock.close()
        super().close()


class PeerNetwork:
    """All links among the dispatchers. `nI>nJ` is what nI says to nJ; a fault on it may be one-way."""

    def __init__(self, nodes: list[Node]) -> None:
        self.whose = {node.host: node.number for node in nodes}
        self._nodes = nodes
        self._ways: dict[tuple[int, int], Way] = {}
        self._links: dict[tuple[int, int], Carried] = {}
        self.proxies = [PeerProxy(node, self) for node in nodes]

    def way(self, sender: int, hearer: int) -> Way:
        """One direction between two."""
        at = sender, hearer
        if at not in self._ways:
            self._ways[at] = Way(random.Random(sender * 1009 + hearer))
        return self._ways[at]

    def link(self, sender: int, hearer: int) -> Carried:
        """What one opens to another, and both directions between them."""
        at = sender, hearer
        if at not in self._links:
            target = (self._nodes[hearer].host, PEERS_PORT)
            self._links[at] = Carried(target, self.way(sender, hearer), self.way(hearer, sender))
        return self._links[at]

    def cut(self, sender: int, hearer: int, on: bool = True) -> None:
        """Let nothing through in one direction."""
        self.way(sender, hearer).silence(on)

    def apart(self, one: list[int], other: list[int], on: bool = True) -> None:
        """Cut two groups off from each other."""
        for a in one:
            for b in other:
                self.cut(a, b, on)
                self.cut(b, a, on)

    def close(self) -> None:
        """End it."""
        for proxy in self.proxies:
            proxy.close()
        for link in self._links.values():
            link.close()


class PeeredNodes(Nodes):
    """Each is told the same few to ask at its start; where it is heard follows from its own address, unless
    faults are to stand between them."""

    share = True
    faulty = False

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        told = json.loads(self._settings.read_text(encoding="utf-8")) if self._settings else {}
        self._few = self.all[:: max(1, len(self.all) // JOIN)][:JOIN]
        join = [f"{node.host}:{PEERS_PORT}" for node in self._few]
        told["peers"] = {"port": PEERS_PORT, "join": join, **told.get("peers", {})}
        self._operator = told
        self._settings = Path(self._private.name) / "operator.json"
        self._settings.write_text(json.dumps(told), encoding="utf-8")
        self.peer_network: PeerNetwork | None = None

    def between(self, faults: Faults) -> None:
        """Proxies stand before all dispatchers where a fault is about a way among them."""
        super().between(faults)
        numbers = [node.number for node in self.all]
        names = {(a, b): f"n{a}>n{b}" for a in numbers for b in numbers if a != b}
        concerned = [at for at, name in names.items() if faults.concerns(name)]
        if not concerned and not self.faulty:
            return
        self.peer_network = PeerNetwork(self.all)
        for at in concerned:
            faults.relays[names[at]] = self.peer_network.link(*at)

    def settings(self, node: Node) -> Path | None:
        """A dispatcher's operator's file: behind a proxy it says where the others reach it."""
        if self.peer_network is None:
            return self._settings
        proxies = self.peer_network.proxies
        join = ["{}:{}".format(*proxies[one.number].address) for one in self._few]
        shown = "{}:{}".format(*proxies[node.number].address)
        told = {**self._operator, "peers": {**self._operator["peers"], "join": join, "advertise": shown}}
        path = Path(self._private.name) / f"operator-{node.number}.json"
        path.write_text(json.dumps(told), encoding="utf-8")
        return path

    async def start(self, node: Node, known: dict[str, Any] | None) -> None:
        """Start a process; the first time its proxy with it."""
        if self.peer_network is not None and node.usage.lives == 0:
            await self.peer_network.proxies[node.number].begin()
        await super().start(node, known)

    def kill_all(self) -> None:
        """Whatever happened, leave nothing behind."""
        if self.peer_network is not None:
            self.peer_network.close()
        super().kill_all()


class FaultyNodes(PeeredNodes):
    """With proxies before all of them, whatever the scenario has: for tests that strike by themselves."""

    faulty = True

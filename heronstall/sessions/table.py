"""The sessions that nodes hold with control nodes; tables are told among these."""

from __future__ import annotations

from collections import Counter

from heronstall.sessions.loads import WorkerLoad, unpack
from heronstall.transport.messages import Session

EXPIRE = 2.5  # seconds of silence that end a session
TOLD_WITHIN = 1.0  # seconds: sessions renewed here so lately are told to the other control nodes


class Sessions:
    """Latest news of each node, here or by another control node.

    What dispatchers have at the workers is summed as their words come and go, so that an answer costs
    the workers' number, not its product with the dispatchers'.
    """

    def __init__(self) -> None:
        self._known: dict[str, tuple[float, Session]] = {}
        self._renewed: dict[str, float] = {}
        self._counted: dict[str, tuple[WorkerLoad, ...]] = {}  # by dispatcher: what stands in the sums
        self._told_of: Counter[str] = Counter()  # by worker: dispatchers that say something of it
        self._requests: Counter[str] = Counter()  # by worker
        self._items: Counter[str] = Counter()
        self._failing: Counter[str] = Counter()

    def renew(self, now: float, session: Session) -> None:
        """A node has spoken to this control node."""
        self._note(now, session)
        self._renewed[session.name] = now

    def merge(self, now: float, sessions: list[Session]) -> None:
        """Take what another control node tells."""
        for session in sessions:
            at = now - session.age_ms / 1000
            known = self._known.get(session.name)
            if known is None or at > known[0]:
                self._note(at, session)

    def told(self, now: float) -> list[Session]:
        """What the other control nodes are told."""
        news = []
        for name, at in self._renewed.items():
            if now - at < TOLD_WITHIN:
                session = self._known[name][1]
                session.age_ms = int((now - at) * 1000)
                news.append(session)
        return news

    def live(self, now: float, machine_class: str) -> dict[str, Session]:
        """The live sessions of a class of machines, by node name."""
        return {
            name: session
            for name, (at, session) in self._known.items()
            if session.machine_class == machine_class and now - at < EXPIRE
        }

    def number(self, now: float, session: Session) -> int:
        """A live node's place among those of its class, by name, from 1."""
        live = self.live(now, session.machine_class)
        return 1 + sum(name < session.name for name in live)

    def loads(self, now: float, without: str) -> list[WorkerLoad]:
        """What all dispatchers but one have at each worker, by their latest word."""
        for name in [n for n in self._counted if now - self._known[n][0] >= EXPIRE]:
            self._count(self._counted.pop(name), -1)
        mine = {load.worker: load for load in self._counted.get(without, ())}
        nothing = WorkerLoad("")
        found = []
        for worker in self._told_of:
            less = mine.get(worker, nothing)
            load = WorkerLoad(
                worker=worker,
                requests=self._requests[worker] - less.requests,
                items=self._items[worker] - less.items,
                failing=self._failing[worker] - less.failing,
            )
            if load.requests or load.items or load.failing:
                found.append(load)
        return found

    def at_worker(self, worker: str) -> int:
        """Requests and items that all dispatchers have at a worker, by their latest word."""
        return self._requests[worker] + self._items[worker]

    def expire(self, now: float) -> None:
        """Forget sessions that ended long ago."""
        for name in [n for n, (at, _) in self._known.items() if now - at > 20 * EXPIRE]:
            del self._known[name]
            self._renewed.pop(name, None)
            former = self._counted.pop(name, None)
            if former is not None:
                self._count(former, -1)

    def _note(self, at: float, session: Session) -> None:
        self._known[session.name] = (at, session)
        former = self._counted.pop(session.name, None)
        if former is not None:
            self._count(former, -1)
        if session.machine_class == "edge":
            self._counted[session.name] = tuple(unpack(session.loads))
            self._count(self._counted[session.name], 1)

    def _count(self, loads: tuple[WorkerLoad, ...], sign: int) -> None:
        for load in loads:
            self._requests[load.worker] += sign * load.requests
            self._items[load.worker] += sign * load.items
            self._failing[load.worker] += sign * load.failing
            self._told_of[load.worker] += sign
            if not self._told_of[load.worker]:
                for sums in (self._requests, self._items, self._failing, self._told_of):
                    del sums[load.worker]

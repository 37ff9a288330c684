"""The sessions that nodes hold with control nodes; tables are told among these."""

from __future__ import annotations

from collections import Counter

from heronstall.sessions.loads import WorkerLoad, unpack_loads
from heronstall.transport.messages import Session

SESSION_TIMEOUT = 2.5  # seconds of silence that end a session
GOSSIP_WINDOW = 1.0  # seconds: sessions renewed here so lately are told to the other control nodes


class Sessions:
    """Latest news of each node, here or by another control node.

    What dispatchers have at the workers is summed as their words come and go, so that an answer costs
    the workers' number, not its product with the dispatchers'.
    """

    def __init__(self) -> None:
        self._latest: dict[str, tuple[float, Session]] = {}
        self._renewed_at: dict[str, float] = {}
        self._counted_loads: dict[str, tuple[WorkerLoad, ...]] = {}  # by dispatcher: what stands in the sums
        self._reporting_dispatchers: Counter[str] = (
            Counter()
        )  # by worker: dispatchers that say something of it
        self._requests: Counter[str] = Counter()  # by worker
        self._items: Counter[str] = Counter()
        self._failing: Counter[str] = Counter()

    def renew(self, now: float, session: Session) -> None:
        """A node has spoken to this control node."""
        self._store(now, session)
        self._renewed_at[session.name] = now

    def merge(self, now: float, sessions: list[Session]) -> None:
        """Take what another control node tells."""
        for session in sessions:
            at = now - session.age_ms / 1000
            known = self._latest.get(session.name)
            if known is None or at > known[0]:
                self._store(at, session)

    def recently_renewed(self, now: float) -> list[Session]:
        """What the other control nodes are told."""
        news = []
        for name, at in self._renewed_at.items():
            if now - at < GOSSIP_WINDOW:
                session = self._latest[name][1]
                session.age_ms = int((now - at) * 1000)
                news.append(session)
        return news

    def live_sessions(self, now: float, machine_class: str) -> dict[str, Session]:
        """The live sessions of a class of machines, by node name."""
        return {
            name: session
            for name, (at, session) in self._latest.items()
            if session.machine_class == machine_class and now - at < SESSION_TIMEOUT
        }

    def rank(self, now: float, session: Session) -> int:
        """A live node's place among those of its class, by name, from 1."""
        live = self.live_sessions(now, session.machine_class)
        return 1 + sum(name < session.name for name in live)

    def loads(self, now: float, without: str) -> list[WorkerLoad]:
        """What all dispatchers but one have at each worker, by their latest word."""
        for name in [n for n in self._counted_loads if now - self._latest[n][0] >= SESSION_TIMEOUT]:
            self._add_to_totals(self._counted_loads.pop(name), -1)
        mine = {load.worker: load for load in self._counted_loads.get(without, ())}
        nothing = WorkerLoad("")
        found = []
        for worker in self._reporting_dispatchers:
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

    def total_at_worker(self, worker: str) -> int:
        """Requests and items that all dispatchers have at a worker, by their latest word."""
        return self._requests[worker] + self._items[worker]

    def expire(self, now: float) -> None:
        """Forget sessions that ended long ago."""
        for name in [n for n, (at, _) in self._latest.items() if now - at > 20 * SESSION_TIMEOUT]:
            del self._latest[name]
            self._renewed_at.pop(name, None)
            former = self._counted_loads.pop(name, None)
            if former is not None:
                self._add_to_totals(former, -1)

    def _store(self, at: float, session: Session) -> None:
        self._latest[session.name] = (at, session)
        former = self._counted_loads.pop(session.name, None)
        if former is not None:
            self._add_to_totals(former, -1)
        if session.machine_class == "edge":
            self._counted_loads[session.name] = tuple(unpack_loads(session.loads))
            self._add_to_totals(self._counted_loads[session.name], 1)

    def _add_to_totals(self, loads: tuple[WorkerLoad, ...], sign: int) -> None:
        for load in loads:
            self._requests[load.worker] += sign * load.requests
            self._items[load.worker] += sign * load.items
            self._failing[load.worker] += sign * load.failing
            self._reporting_dispatchers[load.worker] += sign
            if not self._reporting_dispatchers[load.worker]:
                for sums in (self._requests, self._items, self._failing, self._reporting_dispatchers):
                    del sums[load.worker]

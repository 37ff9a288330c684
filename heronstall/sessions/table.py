"""The sessions that nodes hold with control nodes, which exchange them with each other."""

from __future__ import annotations

from collections import Counter

from heronstall.sessions.loads import WorkerLoad, unpack_loads
from heronstall.transport.messages import Session

SESSION_TIMEOUT = 2.5  # seconds of silence after which a session ends
GOSSIP_WINDOW = 1.0  # seconds; sessions renewed here within it are sent to the other control nodes


class Sessions:
    """The latest session of each node, renewed here or at another control node.

    The dispatchers' loads are kept as running sums per worker, so that an answer costs time in proportion to
    the workers, not to the workers times the dispatchers.
    """

    def __init__(self) -> None:
        self._latest: dict[str, tuple[float, Session]] = {}
        self._renewed_at: dict[str, float] = {}
        self._counted_loads: dict[str, tuple[WorkerLoad, ...]] = {}  # by dispatcher: included in the sums
        self._reporting_dispatchers: Counter[str] = Counter()  # by worker: number of dispatchers reporting it
        self._requests: Counter[str] = Counter()  # by worker
        self._items: Counter[str] = Counter()
        self._failing: Counter[str] = Counter()

    def renew(self, now: float, session: Session) -> None:
        """Records a session that a node has renewed with this control node."""
        self._store(now, session)
        self._renewed_at[session.name] = now

    def merge(self, now: float, sessions: list[Session]) -> None:
        """Merges sessions received from another control node."""
        for session in sessions:
            renewed_at = now - session.age_ms / 1000
            known = self._latest.get(session.name)
            if known is None or renewed_at > known[0]:
                self._store(renewed_at, session)

    def recently_renewed(self, now: float) -> list[Session]:
        """Returns the sessions to send to the other control nodes."""
        sessions = []
        for name, renewed_at in self._renewed_at.items():
            if now - renewed_at < GOSSIP_WINDOW:
                session = self._latest[name][1]
                session.age_ms = int((now - renewed_at) * 1000)
                sessions.append(session)
        return sessions

    def live_sessions(self, now: float, machine_class: str) -> dict[str, Session]:
        """Returns the live sessions of a machine class, by node name."""
        return {
            name: session
            for name, (renewed_at, session) in self._latest.items()
            if session.machine_class == machine_class and now - renewed_at < SESSION_TIMEOUT
        }

    def rank(self, now: float, session: Session) -> int:
        """Returns a live node's position among the nodes of its class, ordered by name, starting at 1."""
        live = self.live_sessions(now, session.machine_class)
        return 1 + sum(name < session.name for name in live)

    def loads(self, now: float, excluded: str) -> list[WorkerLoad]:
        """Returns the load that all dispatchers but `excluded` last reported for each worker."""
        for name in [name for name in self._counted_loads if now - self._latest[name][0] >= SESSION_TIMEOUT]:
            self._add_to_totals(self._counted_loads.pop(name), -1)
        excluded_loads = {load.worker: load for load in self._counted_loads.get(excluded, ())}
        no_load = WorkerLoad("")
        loads = []
        for worker in self._reporting_dispatchers:
            own = excluded_loads.get(worker, no_load)
            load = WorkerLoad(
                worker=worker,
                requests=self._requests[worker] - own.requests,
                items=self._items[worker] - own.items,
                failing=self._failing[worker] - own.failing,
            )
            if load.requests or load.items or load.failing:
                loads.append(load)
        return loads

    def total_at_worker(self, worker: str) -> int:
        """Returns the number of requests and items that all dispatchers last reported for a worker."""
        return self._requests[worker] + self._items[worker]

    def expire(self, now: float) -> None:
        """Removes sessions that ended long ago."""
        for name in [
            name for name, (renewed_at, _) in self._latest.items() if now - renewed_at > 20 * SESSION_TIMEOUT
        ]:
            del self._latest[name]
            self._renewed_at.pop(name, None)
            former_loads = self._counted_loads.pop(name, None)
            if former_loads is not None:
                self._add_to_totals(former_loads, -1)

    def _store(self, renewed_at: float, session: Session) -> None:
        self._latest[session.name] = (renewed_at, session)
        former_loads = self._counted_loads.pop(session.name, None)
        if former_loads is not None:
            self._add_to_totals(former_loads, -1)
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

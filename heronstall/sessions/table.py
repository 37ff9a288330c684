"""The sessions that nodes hold with control nodes; tables are told among these."""

from __future__ import annotations

from heronstall.transport.messages import Session, WorkerLoad

EXPIRE = 3.0  # seconds of silence that end a session
TOLD_WITHIN = 1.0  # seconds: sessions renewed here so lately are told to the other control nodes


class Sessions:
    """Latest news of each node, here or by another control node."""

    def __init__(self) -> None:
        self._known: dict[str, tuple[float, Session]] = {}
        self._renewed: dict[str, float] = {}

    def renew(self, now: float, session: Session) -> None:
        """A node has spoken to this control node."""
        self._known[session.name] = (now, session)
        self._renewed[session.name] = now

    def merge(self, now: float, sessions: list[Session]) -> None:
        """Take what another control node tells."""
        for session in sessions:
            at = now - session.age_ms / 1000
            known = self._known.get(session.name)
            if known is None or at > known[0]:
                self._known[session.name] = (at, session)

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

    def loads(self, now: float, without: str) -> list[WorkerLoad]:
        """What all dispatchers but one have at each worker, by their latest word."""
        sums: dict[str, WorkerLoad] = {}
        for name, session in self.live(now, "edge").items():
            if name == without:
                continue
            for load in session.loads:
                total = sums.setdefault(load.worker, WorkerLoad(load.worker))
                total.requests += load.requests
                total.items += load.items
        return list(sums.values())

    def expire(self, now: float) -> None:
        """Forget sessions that ended long ago."""
        for name in [n for n, (at, _) in self._known.items() if now - at > 20 * EXPIRE]:
            del self._known[name]
            self._renewed.pop(name, None)

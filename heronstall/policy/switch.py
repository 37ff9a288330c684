"""The paper's busy/idle switch. Times in whole microseconds."""

from __future__ import annotations

BUSY_AT, IDLE_AT, DWELL = 0.9, 0.6, 30_000_000


class Switch:
    """Turns once utilisation has been past the other threshold for the dwell time; idle at first."""

    def __init__(self) -> None:
        self.busy = False
        self._beyond_since: int | None = None

    def update(self, now: int, utilisation: float) -> None:
        """Take the mean utilisation of a moment; below 0 it is not known."""
        beyond = (0 <= utilisation <= IDLE_AT) if self.busy else utilisation >= BUSY_AT
        if not beyond:
            self._beyond_since = None
        elif self._beyond_since is None:
            self._beyond_since = now
        elif now - self._beyond_since >= DWELL:
            self.busy = not self.busy
            self._beyond_since = None

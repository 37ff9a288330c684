"""The busy/idle switch of the ProFaaStinate paper."""

from __future__ import annotations

BUSY_UTILISATION, IDLE_UTILISATION, DWELL_TIME = 0.9, 0.6, 30_000_000  # the time in microseconds


class Switch:
    """Changes state after utilisation stays beyond the threshold for the dwell time; starts idle."""

    def __init__(self) -> None:
        self.busy = False
        self._beyond_since: int | None = None

    def update(self, now: int, utilisation: float) -> None:
        """Records the mean utilisation at a time in microseconds; a negative one is unknown."""
        beyond = (0 <= utilisation <= IDLE_UTILISATION) if self.busy else utilisation >= BUSY_UTILISATION
        if not beyond:
            self._beyond_since = None
        elif self._beyond_since is None:
            self._beyond_since = now
        elif now - self._beyond_since >= DWELL_TIME:
            self.busy = not self.busy
            self._beyond_since = None

"""How old a node's knowledge of the control state may be for what is answered by it. Free of I/O.

A control node tells its state while it holds all that was acknowledged until TOLD_WITHIN ago. A node that
was answered knows what that control node knew when the call was sent. Together: what a dispatcher knew `age`
seconds ago holds everything that was acknowledged `age + TOLD_WITHIN` seconds ago.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_STATE_STALENESS = 0.6  # seconds
DECISION_MARGIN = 0.2  # seconds between the decision by what is known and its effect


@dataclass(frozen=True)
class StalenessLimits:
    """Ages of the known configuration, in seconds, from which a dispatcher answers 503.

    `refuse`: to a request for which no route is known; a newer configuration may have one.
    `serve`: to every request. Longer than `refuse` by the skew allowed while the core is unstable, and by the
    time in which a core that was lost whole has to be back: until then there may be no majority, so that
    nothing newer can be in force, and a loss of the core stops no traffic.
    """

    unknown_route_limit: float
    service_limit: float

    @classmethod
    def from_bounds(cls, config_apply: float, max_skew: float, recover: float) -> StalenessLimits:
        """The limits that keep an acknowledged configuration's bounds, all in seconds."""
        refuse = max(0.0, config_apply - MAX_STATE_STALENESS - DECISION_MARGIN)
        return cls(refuse, refuse + max_skew + recover)

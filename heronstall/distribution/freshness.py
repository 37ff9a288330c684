"""How old a node's view of the control state may be when it answers requests. Performs no I/O.

A control node serves its state only while it contains everything acknowledged until MAX_STATE_STALENESS
seconds ago. A node that has received an answer knows what that control node knew when the call was sent.
Together: what a dispatcher knew `age` seconds ago contains everything acknowledged `age +
MAX_STATE_STALENESS` seconds ago.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_STATE_STALENESS = 0.6  # seconds by which a control node's state may be stale when it is served
DECISION_MARGIN = 0.2  # seconds between a decision based on the view and its effect


def complete_until(current_as_of: float) -> float:
    """Returns the time until which all committed changes are contained in a view.

    `current_as_of` is when the call was sent whose reply updated the view. Both times are in seconds on this
    node's clock.
    """
    return current_as_of - MAX_STATE_STALENESS


@dataclass(frozen=True)
class StalenessLimits:
    """Ages of the known configuration, in seconds, from which a dispatcher answers 503.

    `unknown_route_limit` applies to requests without a known route, since a newer configuration may have one.
    `service_limit` applies to all requests. It is longer by the skew allowed while the core is unstable and
    by the time within which a core that was lost entirely must be back: until then there may be no majority,
    so nothing newer can be in force, and a loss of the core stops no traffic.
    """

    unknown_route_limit: float
    service_limit: float

    @classmethod
    def from_bounds(cls, config_apply: float, max_skew: float, recover: float) -> StalenessLimits:
        """Returns the limits that keep the bounds on applying a configuration, all in seconds."""
        unknown_route = max(0.0, config_apply - MAX_STATE_STALENESS - DECISION_MARGIN)
        return cls(unknown_route, unknown_route + max_skew + recover)

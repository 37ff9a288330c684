"""lupindock: the decisions of a dispatcher beside each submitter that pushes jobs to workers."""

from lupindock.decide import Balancer
from lupindock.interface import Settings

__all__ = ["Balancer", "Settings"]

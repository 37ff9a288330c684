"""heronstall: the decisions of a dispatcher beside each submitter that pushes jobs to workers."""

from heronstall.decide import Balancer
from heronstall.interface import Settings

__all__ = ["Balancer", "Settings"]

"""heronstall: a job dispatcher beside each client process, and its decisions as a module."""

from heronstall.decide import Balancer
from heronstall.interface import Settings

__all__ = ["Balancer", "Settings"]

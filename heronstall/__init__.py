"""heronstall: a job dispatcher, its decisions as a module, and a serving tier round them."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from heronstall.decide import Balancer
    from heronstall.interface import Settings

__all__ = ["Balancer", "Settings"]


def __getattr__(name: str) -> object:
    """Load the decisions when they are asked for: the tier's processes pay for each import at a start."""
    if name == "Balancer":
        from heronstall.decide import Balancer

        return Balancer
    if name == "Settings":
        from heronstall.interface import Settings

        return Settings
    raise AttributeError(name)

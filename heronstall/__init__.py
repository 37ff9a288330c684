"""A job dispatcher: its decisions as a module, and the serving tier that runs them."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from heronstall.decide import Balancer
    from heronstall.interface import Settings

__all__ = ["Balancer", "Settings"]


def __getattr__(name: str) -> object:
    """Imports the decisions on first use, because each import slows the start of the tier's processes."""
    if name == "Balancer":
        from heronstall.decide import Balancer

        return Balancer
    if name == "Settings":
        from heronstall.interface import Settings

        return Settings
    raise AttributeError(name)

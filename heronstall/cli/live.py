"""A live table of a run on loopback."""

from __future__ import annotations

from types import TracebackType
from typing import Any

from rich.console import Console
from rich.live import Live
from rich.table import Table

from heronstall.fleet.spec import Scenario

BARS = 20


class LiveTable:
    """Zones down, what happens in each across; quiet where nobody watches."""

    def __init__(self, scenario: Scenario, quiet: bool) -> None:
        self._scenario, self._quiet = scenario, quiet
        self._live = Live(console=Console(stderr=True), refresh_per_second=4, transient=False)

    def __enter__(self) -> LiveTable:
        if not self._quiet:
            self._live.__enter__()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if not self._quiet:
            self._live.__exit__(kind, error, trace)

    def show(self, told: dict[str, Any]) -> None:
        """Show the present."""
        if not self._quiet:
            self._live.update(self.table(told))

    def table(self, told: dict[str, Any]) -> Table:
        """The present as a table."""
        counts = told["counts"]
        sums = {name: sum(row[name] for row in counts) for name in counts[0]} if counts else {}
        up = sum(told["dispatchers"])
        table = Table(
            title=f"{self._scenario.name}: {min(told['at_s'], told['of_s']):.0f} of {told['of_s']:.0f} s,"
            f" {up} of {len(told['dispatchers'])} dispatchers up, {told['open']} requests to come or open",
            caption="  ".join(f"{name} {n}" for name, n in sums.items()),
        )
        for name in ("server", "zone", "state", "running", "waiting", "slots in use"):
            table.add_column(name, justify="left" if name in ("server", "zone", "state") else "right")
        for uid, zone, up_, away, draining, answers, running, waiting, slots in told["servers"][:BARS]:
            state = (
                "gone" if not up_ or away else "draining" if draining else "serving" if answers else "silent"
            )
            style = {"gone": "red", "silent": "red", "draining": "yellow"}.get(state, "")
            bar = "#" * running + "." * max(0, slots - running)
            name = self._scenario.zones[zone].name
            table.add_row(uid, name, state, str(running), str(waiting), bar, style=style)
        return table

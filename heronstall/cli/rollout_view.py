"""A live table of a rollout, from its journal."""

from __future__ import annotations

from types import TracebackType

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from heronstall.rollout.machine import describe_state
from heronstall.rollout.plan import Plan
from heronstall.rollout.state import State

ROWS = 16


class View:
    """Where it stands, who runs what, and what the last look found."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._live = Live(console=Console(), refresh_per_second=4)

    def __enter__(self) -> View:
        self._live.__enter__()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._live.__exit__(kind, error, trace)

    def show(self, state: State) -> None:
        """Show the present."""
        self._live.update(Group(Text("\n".join(describe_state(state))), self.fleet(state), self.look(state)))

    def fleet(self, state: State) -> Table:
        """Zones down, dispatchers across."""
        table = Table(title=self._plan.name)
        table.add_column("zone")
        table.add_column("old")
        table.add_column("changing")
        table.add_column("new")
        for zone in sorted({home.zone for home in state.placements.values()}):
            names = [name for name, home in state.placements.items() if home.zone == zone]
            moving = {*state.changing, *state.rolling_back}
            new = [n for n in names if n in state.changed and n not in state.rolled_back and n not in moving]
            old = [n for n in names if n not in new and n not in moving]
            changing = [n for n in names if n in moving]
            table.add_row(zone or "-", " ".join(old), " ".join(changing), " ".join(new))
        return table

    def look(self, state: State) -> Table:
        """The last look's findings, the worst first."""
        told = state.last_look
        caption = " ".join(f"{name}: {n:.0f} jobs" for name, n in told.get("jobs", {}).items())
        table = Table(title=f"look {told['look']} of this watch" if told else "no look yet", caption=caption)
        for name in ("figure", "zone", "worse by", "surely above", "tolerable"):
            table.add_column(name, justify="left" if name in ("figure", "zone") else "right")
        for figure, zone, value, least, tolerable, bad in told.get("findings", [])[:ROWS]:
            row = (figure, zone or "all", f"{value:+.3f}", f"{least:+.3f}", f"{tolerable:.3f}")
            table.add_row(*row, style="red" if bad else "")
        return table

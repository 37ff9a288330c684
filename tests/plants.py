"""Dispatchers that each break one rule on purpose, for the audit to catch.

`python -m tests.plants NAME` is the real program with that fault; `decisions(NAME)` the module for the model.
"""

from __future__ import annotations

import dataclasses
import sys
from collections.abc import Callable, Sequence

from heronstall import interface as i
from heronstall.decide import Balancer

Make = Callable[[i.Settings, int], "Plant"]


class Plant:
    """The real decisions, spoilt on their way in or out."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.settings = settings
        self.real = Balancer(settings, seed)
        self.entries: dict[int, i.WorkerEntry] = {}
        self.last: dict[int, int] = {}

    def handle(self, now: int, events: Sequence[i.Event]) -> list[i.Action]:
        """As the module's own."""
        for event in events:
            if isinstance(event, i.WorkerList):
                self.entries |= {e.worker: e for e in event.entries}
        actions = self.real.handle(now, [self.event(event) for event in events])
        return [spoilt for action in actions if (spoilt := self.action(now, action)) is not None]

    def event(self, event: i.Event) -> i.Event:
        """What the decisions are told."""
        return event

    def action(self, now: int, action: i.Action) -> i.Action | None:
        """What becomes of what they say."""
        if isinstance(action, i.Send):
            self.last[action.request] = action.worker
        return action


class Mute(Plant):
    """Gives up in silence."""

    def action(self, now: int, action: i.Action) -> i.Action | None:
        return None if isinstance(action, (i.Refuse, i.Fail)) else action


class Again(Plant):
    """Sends what may have run once more, whatever its class."""

    def action(self, now: int, action: i.Action) -> i.Action | None:
        if isinstance(action, i.Fail) and action.request in self.last:
            other = next(w for w in self.entries if w != self.last[action.request])
            self.last.pop(action.request)
            return i.Send(action.request, other)
        return super().action(now, action)


class Harmless(Plant):
    """Calls every failure a refusal."""

    def action(self, now: int, action: i.Action) -> i.Action | None:
        return i.Refuse(action.request, 0) if isinstance(action, i.Fail) else action


class Deaf(Plant):
    """Does not hear of drains."""

    def event(self, event: i.Event) -> i.Event:
        if isinstance(event, i.WorkerList):
            kept = tuple(e._replace(state="active") for e in event.entries)
            return event._replace(entries=kept)
        return event


class Eager(Plant):
    """Sends whatever it can to the server that started last."""

    def action(self, now: int, action: i.Action) -> i.Action | None:
        if (
            isinstance(action, i.Send) and action.request not in self.last
        ):  # a repeat elsewhere breaks another rule
            self.last[action.request] = 0
            fresh = [e for e in self.entries.values() if e.started_at and e.state == "active"]
            if fresh:
                return action._replace(worker=max(fresh, key=lambda e: e.started_at or 0).worker)
        return action


class Dies(Plant):
    """Ends the process after a while."""

    handled = 0

    def action(self, now: int, action: i.Action) -> i.Action | None:
        self.handled += 1
        if self.handled > 60:
            sys.stderr.flush()
            import os

            os._exit(3)
        return action


PLANTS: dict[str, type[Plant]] = {
    "mute": Mute,
    "again": Again,
    "harmless": Harmless,
    "deaf": Deaf,
    "eager": Eager,
    "dies": Dies,
}


def main(name: str) -> int:
    """The real program with a fault."""
    from heronstall import __main__ as program
    from heronstall.net import backend, dispatcher

    vars(dispatcher)["Balancer"] = PLANTS[name]
    if name == "deaf":
        vars(backend)["OFF_MARGIN"] = -(10**12)  # the host has a guard of its own against just this
    if name == "mute":
        load = vars(program)["load"]

        def lenient(environ: object) -> object:
            config = load(environ)
            late = dataclasses.replace(config.settings, answer_grace=10_000_000)
            return dataclasses.replace(config, settings=late)

        vars(program)["load"] = lenient
    return program.main()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))

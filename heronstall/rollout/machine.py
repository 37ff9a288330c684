"""The rollout's steps: from where it stands and what is seen, the records to be written next. Free of I/O.

The host looks at the keepers, calls `step`, writes each record, has it applied, and then makes the keepers
so as `wanted` says. It repeats that; nothing else happens. What is in memory alone (a series of memory, the
windows for trouble) is only ever a reason to look longer after a restart.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from typing import Any, NamedTuple

from heronstall.rollout.figures import Snapshot, keep, points
from heronstall.rollout.journal import Record
from heronstall.rollout.judge import (
    LOOKS,
    Judge,
    Look,
    Weather,
    budget,
    foot_budget,
    leak,
    levels,
    spend,
    time_before,
)
from heronstall.rollout.plan import Plan, moves
from heronstall.rollout.state import State

STRIKES = 2  # ends by chance of new dispatchers in one stage that are no chance any more
GAP, GAP_LOOKS = 5_000_000, 5  # unwatched for longer, and for so many looks, a watch begins anew
FOOT_EVERY = 5_000_000  # between looks at the footprint in a trouble
FOOT_LONGEST = 30_000_000
NOTABLE = 12  # findings that a look's record keeps beside the bad ones

Step = tuple[str, Record]


class Sight(NamedTuple):
    """What a keeper says of a dispatcher, and the dispatcher of itself."""

    digest: str  # of the release that serves
    state: str  # "serving", "changing", "waiting", "looping", "stopped"
    crashes: int = 0  # ends by its own doing
    lost: int = 0  # ends that came from outside, or that nobody saw
    refused: str = ""  # why the release that was asked for last did not come to serve
    refused_digest: str = ""
    refused_epoch: int = 0
    ended: str = ""  # how the last process ended
    drained: bool = False
    alarms: int = 0  # rules that its own guards say were about to break, by this process
    snapshot: Snapshot | None = None

    @property
    def ends(self) -> dict[str, int]:
        """How often its processes have ended unasked, for a record."""
        return {"crashes": self.crashes, "lost": self.lost}


class Seen(NamedTuple):
    """A look at all keepers; who is missing was not heard."""

    at: int
    dispatchers: dict[str, Sight]

    @property
    def snapshots(self) -> dict[str, Snapshot]:
        """Of those whose doors were heard."""
        return {n: s.snapshot for n, s in self.dispatchers.items() if s.snapshot is not None}


class Machine:
    """Decides. Holds a `State`, and what a watch needs beside it."""

    def __init__(self, plan: Plan, records: list[Record]) -> None:
        self.plan = plan
        self.state = State.of(records)
        self._series: list[dict[str, Snapshot]] = []  # of the time before
        self._judge: Judge | None = None
        self._weather: Weather | None = None
        self._memory: dict[str, list[tuple[int, float]]] = defaultdict(list)
        self._seen_at = 0
        self._blind_at = 0
        self._foot_at = 0
        self.words: list[str] = []  # by hand, to be seen to: "pause", "resume", "back"

    def apply(self, record: Record) -> None:
        """A record has been written."""
        self.state.apply(record)
        if record["kind"] in ("watch", "stage", "lost", "calm", "resume"):
            self._memory.clear()

    @property
    def new(self) -> str:
        """The digest of the release that is carried through."""
        return self.state.release.rpartition("@")[2]

    def wanted(self) -> dict[str, str]:
        """The release (digest) that each dispatcher is to be brought to now; the others are left alone."""
        state = self.state
        if state.phase == "going back" or (state.phase == "holding" and state.reason):
            return {name: state.homes[name].digest for name in state.on_return}
        return {} if state.over else dict.fromkeys(state.under_way, self.new)

    # ------------------------------------------------------------------ steps

    def step(self, seen: Seen) -> list[Step]:
        """What is to be written now. Empty where nothing is to be done but to look again."""
        state = self.state
        if state.over:
            return []
        by_hand = self._hand()
        if by_hand:
            return by_hand
        gap = self._seen_at and seen.at - self._seen_at > max(GAP, GAP_LOOKS * self.plan.every)
        self._seen_at = seen.at
        if set(state.order) <= set(seen.snapshots):
            self._blind_at = 0
        if state.phase == "going back":
            return self._back(seen)
        harmed = self._harmed(seen)
        if harmed:
            return harmed
        if state.phase == "holding":
            return []
        if not state.blocks:
            return self._before(seen)
        weather = self._look_out(seen)
        if weather:
            return weather
        if state.phase == "before":
            return [("stage", {"stage": 0})]
        if state.verdict:
            return self._follow()
        if state.phase == "changing":
            return self._next() if state.passed == state.stage else self._changing(seen)
        if gap:
            return [("calm", {"text": "nobody looked for a while: the watch begins anew"})]
        return self._watching(seen)

    def _hand(self) -> list[Step]:
        state, words = self.state, self.words
        while words:
            word = words.pop(0)
            if word == "back" and state.phase != "going back":
                return [("back", {"reason": "by hand", "by": "hand"})]
            if word == "pause" and not state.paused and state.phase != "going back":
                return [("pause", {"reason": "by hand"})]
            if word == "resume" and (state.paused or state.phase == "holding"):
                return [("resume", {})]
        return []

    def _harmed(self, seen: Seen) -> list[Step]:
        """What needs no statistics."""
        state = self.state
        for name in state.order:
            sight = seen.dispatchers.get(name)
            if sight is None:
                continue
            if name not in state.changed:
                if self._refuses(sight, self.new):
                    return [
                        ("refused", {"dispatcher": name, "reason": sight.refused}),
                        ("back", {"reason": f"{name} did not change: {sight.refused}", "by": "yes"}),
                    ]
                continue
            before = state.changed[name]
            if sight.crashes > before["crashes"] or sight.state == "looping":
                told = f"{name} crashed with the new release: {sight.ended}"
                return [("back", {"reason": told, "by": "crash"})]
            if sight.alarms > 0 and sight.digest == self.new:
                told = f"{name}: its own guards met a rule about to break, {sight.alarms} times"
                return [("back", {"reason": told, "by": "rule"})]
            if sight.lost > before["lost"]:
                if sum(state.losses.values()) + 1 >= STRIKES:
                    told = f"{name} was lost ({sight.ended}), the second in this stage: no chance any more"
                    return [("back", {"reason": told, "by": "crash"})]
                return [("lost", {"dispatcher": name, "ends": sight.ends, "how": sight.ended})]
        return []

    def _refuses(self, sight: Sight, digest: str) -> bool:
        """Whether a keeper has tried for this controller and in vain. An earlier one's try is made again."""
        mine = sight.refused_epoch >= self.state.epoch
        return bool(sight.refused) and sight.refused_digest == digest and mine

    def _before(self, seen: Seen) -> list[Step]:
        """Gather the fleet's own time before."""
        row = seen.snapshots
        if len(row) < len(self.state.homes):
            self._series.clear()  # all of it, or it tells of another fleet
            return []
        self._series.append(row)
        began = min(s.at for s in self._series[0].values())
        if min(s.at for s in row.values()) - began < self.plan.before:
            return []
        blocks, usual, names = time_before(self._series, self.state.homes)
        self._series = []
        return [
            (
                "baseline",
                {
                    "blocks": [{n: keep(found) for n, found in block.items()} for block in blocks],
                    "usual": {zone: list(row) for zone, row in usual.items()},
                    "classes": names,
                },
            )
        ]

    def _look_out(self, seen: Seen) -> list[Step]:
        """Trouble that comes, lasts or goes."""
        state = self.state
        if self._weather is None:
            self._weather = Weather(self.plan, state.homes, state.usual)
        snapshots = {n: s.snapshot for n, s in seen.dispatchers.items() if s.snapshot and not s.drained}
        old = state.old or list(state.homes)  # nobody is old any more: the whole fleet
        told = self._weather.look(snapshots, old, bool(state.trouble))
        if told and not state.trouble:
            self._foot_at = seen.at
            return [("trouble", {"text": told})]
        if state.trouble and not told:
            return [("calm", {"text": "the fleet does as before the rollout again"})]
        if state.trouble and seen.at - state.trouble_at > self.plan.patience:
            told = f"the fleet does worse than before, and it does not pass: {state.trouble}"
            return [("back", {"reason": told, "by": "trouble"})]
        if state.trouble:
            return self._footprint(seen)
        return []

    def _footprint(self, seen: Seen) -> list[Step]:
        state = self.state
        wait = min(FOOT_LONGEST, FOOT_EVERY * (state.feet + 1))
        if not state.watch_at or seen.at - self._foot_at < wait:
            return []
        self._foot_at = seen.at
        judge, found = self._found(seen)
        bad = judge.footprint(found, state.changed, foot_budget(self.plan, state.feet))
        steps: list[Step] = [("look", {"foot": True, "bad": [f.text() for f in bad]})]
        if bad:
            told = f"in a trouble ({state.trouble}) new sends more than old: {bad[0].text()}"
            steps.append(("back", {"reason": told, "by": "footprint"}))
        return steps

    # ------------------------------------------------------------------ a stage

    def _changing(self, seen: Seen) -> list[Step]:
        state, plan = self.state, self.plan
        for name in state.under_way:
            sight = seen.dispatchers.get(name)
            if sight is not None and sight.digest == self.new and sight.state == "serving":
                return [("changed", {"dispatcher": name, "ends": sight.ends})]
        deaf = [name for name in state.under_way if name not in seen.dispatchers]
        if deaf and (told := self._blind(seen, deaf)):
            return told
        if state.paused or state.trouble:
            return []
        names = state.stages[state.stage]
        waiting = [name for name in names if name not in state.order and name in seen.dispatchers]
        go = moves(waiting, state.under_way, state.homes, plan.away)
        if go:
            return [("change", {"dispatcher": name, "stage": state.stage}) for name in go]
        if any(name not in state.changed for name in names):
            return []
        if not names:
            return self._next()
        if seen.at - state.settled_at < plan.settle:
            return []
        snapshots = seen.snapshots
        deaf = [name for name in state.changed if name not in snapshots]
        if deaf:
            return self._blind(seen, deaf)
        rows = {n: [s.at, dict(s.rows)] for n, s in snapshots.items()}
        return [("watch", {"stage": state.stage, "snapshots": rows})]

    def _watching(self, seen: Seen) -> list[Step]:
        state, plan = self.state, self.plan
        snapshots = seen.snapshots
        deaf = [name for name in state.changed if name not in snapshots]
        if deaf:
            return self._blind(seen, deaf)
        for name, snapshot in snapshots.items():
            if "memory_kb" in snapshot.rows:
                self._memory[name].append((snapshot.at, float(snapshot.rows["memory_kb"])))
        elapsed, whole = seen.at - state.watch_at, plan.watch_of(state.stage)
        due = min(LOOKS, int(elapsed * LOOKS / whole))
        if state.paused or state.trouble or due <= state.looks:
            return []
        judge, found = self._found(seen)
        last = due >= LOOKS
        alpha = sum(spend(budget(plan, state.attempt), k) for k in range(state.looks + 1, due + 1))
        look = judge.look(found, state.changed, alpha)
        leaks = leak(self._memory, set(state.changed), alpha, plan.harm["leak_kb_s"])
        # A burst of a few seconds passes the test that it makes alone; harm is there at the next look, too.
        before = state.bad_before
        lasting = [f for f in look.bad if last or (f.figure, f.zone) in before]
        harm = [f.text() for f in lasting] + [f"{name} leaks memory" for name in leaks]
        if last and look.short and not harm and elapsed < plan.longest:
            return []  # undecided: the last look waits for jobs
        record = _look_record(
            state.stage, due, look, leaks, elapsed, levels(judge.figures, found, state.changed)
        )
        verdict = "harm" if harm else "" if not last else "short" if look.short else "good"
        return [("look", {**record, "verdict": verdict, "harm": harm, "short": look.short})]

    def _follow(self) -> list[Step]:
        """What a look that has been written leads to; the controller may have been killed in between."""
        state, told = self.state, self.state.last_look
        if state.verdict == "harm":
            return [("back", {"reason": told["harm"][0], "by": "judge", "all": told["harm"]})]
        if state.verdict == "short":
            few = f"fewer than {self.plan.least_jobs} jobs to compare of {', '.join(told['short'])}"
            return [("hold", {"reason": f"too little to tell: {few}"})]
        return [("good", {"stage": state.stage, "jobs": told["jobs"]})]

    def _next(self) -> list[Step]:
        nth = self.state.stage + 1
        return [("stage", {"stage": nth})] if nth < len(self.state.stages) else [("done", {})]

    def _blind(self, seen: Seen, names: list[str]) -> list[Step]:
        """New dispatchers that are not heard: nothing is judged, and after a while a person is asked."""
        if not self._blind_at:
            self._blind_at = seen.at
        if seen.at - self._blind_at <= self.plan.patience:
            return []
        return [("hold", {"reason": f"not heard: {', '.join(sorted(names))}"})]

    def _found(self, seen: Seen) -> tuple[Judge, dict[str, dict[str, Any]]]:
        state = self.state
        if self._judge is None:
            self._judge = Judge(self.plan, state.homes, state.blocks, state.classes)
        found = {}
        for name, sight in seen.dispatchers.items():
            first = state.watch.get(name)
            if first is not None and sight.snapshot is not None and not sight.drained:
                row = points(first, sight.snapshot)
                if row:
                    found[name] = row
        return self._judge, found

    # ------------------------------------------------------------------ going back

    def _back(self, seen: Seen) -> list[Step]:
        state = self.state
        for name in state.on_return:
            sight, old = seen.dispatchers.get(name), state.homes[name].digest
            if sight is None:
                continue
            if sight.digest == old and sight.state == "serving":
                return [("returned", {"dispatcher": name})]
            if self._refuses(sight, old):
                return [("hold", {"reason": f"{name} does not go back: {sight.refused}"})]
        waiting = state.to_return
        go = moves(waiting, state.on_return, state.homes, self.plan.away)
        if go:
            return [("return", {"dispatcher": name}) for name in go]
        if not waiting and not state.on_return:
            return [("stopped", {"reason": state.reason})]
        return []


def _look_record(
    stage: int, nth: int, look: Look, leaks: list[str], elapsed: int, cohorts: dict[str, list[float]]
) -> Record:
    notable = sorted(look.findings, key=lambda f: (not f.bad, f.tolerable - f.value))
    rows = [f for k, f in enumerate(notable) if f.bad or f.zone == "" or k < NOTABLE]
    return {
        "stage": stage,
        "look": nth,
        "elapsed": elapsed,
        "jobs": look.jobs,
        "leaks": leaks,
        "levels": cohorts,
        "findings": [
            [f.figure, f.zone, round(f.value, 5), round(f.least, 5), round(f.tolerable, 5), f.bad]
            for f in rows
        ],
    }


def tell(state: State) -> Iterator[str]:
    """Where a rollout stands, in a few lines for people."""
    yield f"{state.release or 'nothing begun'}: {state.phase}, epoch {state.epoch}"
    if state.homes:
        changed = len([n for n in state.changed if n not in state.returned])
        yield f"  {changed} of {len(state.homes)} dispatchers run the new release"
    if state.phase in ("changing", "watching"):
        yield f"  stage {state.stage + 1} of {len(state.stages)}: {', '.join(state.stages[state.stage])}"
    for what, why in (
        ("paused", state.paused),
        ("trouble", state.trouble),
        ("holding", state.held),
        ("went back", state.reason),
    ):
        if why:
            yield f"  {what}: {why}"

"""Cold starts measured: dispatchers that all begin at one moment, and what they ask of the list service.

    python -m benchmarks.cold_start fleet [--dispatchers 100] [--lists 7] [--runs 1] [--rate 200] [--peers]
                                          [--ready 0.3] [--servers 40]
    python -m benchmarks.cold_start asking [--dispatchers 100] [--seeds 8]
    python -m benchmarks.cold_start peers [--dispatchers 100] [--lists 7] [--seeds 8]
    python -m benchmarks.cold_start obeyed [--dispatchers 300] [--lists 7] [--seeds 8]
    python -m benchmarks.cold_start drains [--dispatchers 100] [--runs 1]

`fleet`: real dispatchers of the scenario `mass-crash` on loopback, all killed at once and back a second
later. `--ready`: for so long a dispatcher with an old list waits for news before it says yes.
`asking`: schedules of asking against the desk of a list service, in virtual time.
`peers`: members that take the list from relays, in virtual time; all begin within three seconds.
`obeyed`: the same; all relays are killed in the moment in which the list changes, which agents know within
0.3 s: when the others know.
`drains`: real dispatchers that talk; all relays are killed in the moment in which servers begin to drain.
"""

from __future__ import annotations

import argparse
import asyncio
import heapq
import random
import re
import statistics
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from typing import Any, NamedTuple

from heronstall.cli.common import read_scenario
from heronstall.fleet import boundary as b
from heronstall.fleet.list_service import ListService
from heronstall.lab.nodes import DEFAULT, Nodes
from heronstall.lab.peered import PeeredNodes
from heronstall.lab.run import Run
from heronstall.lab.starts import obeyed as obeyed_after
from heronstall.membership.messages import Duty
from heronstall.model.mesh import Watched
from tests.talks import CRASH, Talk

ROOT = Path(__file__).resolve().parent.parent
SCENARIO = ROOT / "scenarios" / "mass-crash.cue"
PLACES = 8
AGENTS = 300_000  # microseconds within which a list service's agents know of a change
STARTS = 3.0  # seconds that processes take to come up, one after the other
SPEEDS = (1, 7, 50, 1000)


class Way(NamedTuple):
    """A schedule: the first call within `spread` x n seconds; after the k-th 503, `pause` x n seconds times
    growth^k, half to one and a half of it; or, without a pause, until `growth` times what has passed."""

    name: str
    spread: float
    pause: float
    growth: float


WAYS = (
    Way("at once; 0.1 n s", 0.0, 0.1, 1.0),
    Way("at once; 0.1 n s, doubled", 0.0, 0.1, 2.0),
    Way("0.05 n s; 0.1 n s", 0.05, 0.1, 1.0),
    Way("0.1 n s; 0.1 n s", 0.1, 0.1, 1.0),
    Way("0.1 n s; twice what has passed", 0.1, 0.0, 2.0),
    Way("0.02 n s; thrice what has passed", 0.02, 0.0, 3.0),
)


def _play(way: Way, n: int, speed: float, seed: int) -> tuple[float, float, float, float]:
    """Calls a dispatcher, the part turned away, the median and the last news in seconds."""
    draw, desk = random.Random(seed), ListService(speed, PLACES)
    begun = [draw.random() * STARTS for _ in range(n)]
    horizon = [max(0.2, way.spread * n)] * n
    tries = [0] * n
    heap = [(begun[k] + draw.random() * way.spread * n, k) for k in range(n)]
    heapq.heapify(heap)
    news = []
    while heap:
        now, k = heapq.heappop(heap)
        ready = desk.request(round(now * 1e6), k)
        if ready is not None:
            news.append(ready / 1e6)
            continue
        if way.pause:
            wait = way.pause * n * way.growth ** tries[k] * (0.5 + draw.random())
        else:
            passed = now - begun[k]
            horizon[k] = max(horizon[k], passed) * way.growth
            wait = max(0.1, (horizon[k] - passed) * (0.25 + 0.75 * draw.random()))
        tries[k] += 1
        heapq.heappush(heap, (now + wait, k))
    news.sort()
    turned = sum(row.answered is None for row in desk.requests)
    return len(desk.requests) / n, turned / len(desk.requests), news[n // 2], news[-1]


def asking(n: int, seeds: int) -> None:
    """The table of `asking`."""
    for way in WAYS:
        for speed in SPEEDS:
            rows = [_play(way, n, speed, seed) for seed in range(seeds)]
            calls, turned, median, last = (statistics.median(column) for column in zip(*rows, strict=True))
            limit = max(n / speed, STARTS)
            print(
                f"{way.name:<34}{n:5d} dispatchers {speed:5d} lists/s: {calls:5.2f} calls a dispatcher,"
                f" {turned:4.0%} turned away, news after {median:6.1f} s (median) {last:6.1f} s (last,"
                f" {last / limit:.2f} of the limit)"
            )


def peers(n: int, lists: float, seeds: int) -> None:
    """The line of `peers`."""
    rows = []
    for seed in range(seeds):
        made = Watched(seed, ListService(lists, PLACES), packed=False)
        made.start_all(n, over=round(STARTS * 1e6))
        made.run(15_000_000)
        news = sorted(made.news.values())
        turned = sum(row.answered is None for row in made.desk.requests)
        rows.append((len(made.calls), turned, news[len(news) // 2] / 1e6, news[-1] / 1e6, n - len(news)))
    calls, turned, median, last, without = (statistics.median(column) for column in zip(*rows, strict=True))
    print(
        f"{n:5d} members {lists:5g} lists/s: {calls:g} calls, {turned:g} turned away, news after"
        f" {median:.1f} s (median) {last:.1f} s (last), {without:g} without; medians of {seeds} seeds",
        flush=True,
    )


def obeyed(n: int, lists: float, seeds: int) -> None:
    """The line of `obeyed`."""
    rows = []
    for seed in range(seeds):
        made = Watched(seed, ListService(lists, PLACES), packed=False)
        made.start_all(n, over=round(STARTS * 1e6))
        made.run(25_000_000)
        calls = len(made.calls)
        relays = [name for name, one in made.relaying.items() if one.duty is Duty.RELAY]
        for name in relays:
            made.kill(name)
        changed = made.now
        made.change(AGENTS)
        made.run(changed + 6_000_000)
        took = sorted((made.knew.get(name, made.now) - changed) / 1e6 for name in made.members)
        without = sum(name not in made.knew for name in made.members)
        rows.append((took[len(took) // 2], took[-1], len(relays), len(made.calls) - calls, without))
    medians, lasts, relays_, asked, without_ = zip(*rows, strict=True)
    print(
        f"{n:5d} members {lists:5g} lists/s, {max(relays_)} relays killed: the others know after"
        f" {statistics.median(medians):.2f} s (median), {statistics.median(lasts):.2f} s (last; most of all"
        f" seeds {max(lasts):.2f} s), {statistics.median(asked):g} calls,"
        f" {sum(without_)} without after 6 s; {seeds} seeds",
        flush=True,
    )


async def drained(n: int) -> str:
    """A run of `drains`."""
    async with Talk(CRASH, 120, each=n // 2) as talk:
        await talk.second(8)
        known = time.monotonic() + 60
        while time.monotonic() < known:  # until all have heard, and nobody has become a relay for a while
            before = talk.relays()
            await asyncio.sleep(2)
            heard = sum("event=watch.answered" in talk.life(k) for k in range(n))
            if heard == n and before and talk.relays() == before:
                break
        dead = talk.relays()
        for k in dead:
            talk.kill(k)
        talk.drain()
        await talk.second(5)
        after = talk.relays()
    words = obeyed_after(talk.run.crossings, tuple(dead))
    broken = sum(row["dispatcher"] not in dead for row in talk.record["rules_broken"])
    return (
        f"{n} dispatchers, {len(dead)} relays killed as {len(words)} servers begin to drain: obeyed after"
        f" {', '.join(f'{took:.2f}' for took in words)} s; {len(after)} relays after;"
        f" rules broken {broken}; calls {talk.record['starts']['calls']}; {talk.record['verdict']}"
    )


def heard(folder: Path) -> list[float]:
    """Seconds from the first start after the crash to each dispatcher's first list then, by their logs: what
    comes by way of another is in nobody's books."""
    starts, lists = [], []
    for path in folder.glob("n*.log"):
        text = path.read_text(errors="replace")
        life = text[text.rfind("event=started") :]
        found = re.search(r"^at=([0-9.]+) .*event=watch.answered", life, re.MULTILINE)
        begun = text.rfind("\n", 0, text.rfind("event=started")) + 1
        starts.append(float(text[begun:].split(" ", 1)[0].removeprefix("at=")))
        if found is not None:
            lists.append(float(found[1]))
    return sorted(at - min(starts) for at in lists)


def part(record: dict[str, Any], at: float) -> float:
    """Of the worth that was asked for in a second, how much was served."""
    row = record["timeline"][int(at)]
    return float(row["served"] / max(1.0, row["asked"]))


def back(record: dict[str, Any], start: float) -> float:
    """Seconds until 95% of what was served before the crash is served again, for two seconds on end."""
    steady = 0.95 * part(record, start - 2)
    rows = range(int(start) + 1, len(record["timeline"]) - 1)
    good = (at for at in rows if part(record, at) >= steady and part(record, at + 1) >= steady)
    return next((at - int(start) for at in good), float("nan"))


def late_yes(seconds: float) -> tuple[str, ...]:
    """The program, with another time for which it waits for news before it serves with its old list."""
    text = f"import sys, heronstall.__main__ as m; m.LIST_WAIT = {seconds * 1e6:.0f}; sys.exit(m.main())"
    return sys.executable, "-B", "-c", text


def fleet(
    n: int, lists: float, runs: int, rate: float, peers: bool, ready: float | None, servers: int
) -> None:
    """The table of `fleet`."""
    base = read_scenario(SCENARIO)
    count = len(base.zones)
    zones = tuple(replace(zone, dispatchers=n // count, servers=servers // count) for zone in base.zones)
    scenario = replace(base, zones=zones, lists_per_s=lists, rate=rate)
    for seed in range(1, runs + 1):
        with tempfile.TemporaryDirectory(prefix="heronstall-cold-") as folder:
            settings = Path(folder) / "operator.json"
            settings.write_text('{"log": {"format": "logfmt"}}')
            nodes = PeeredNodes if peers else Nodes
            program = DEFAULT if ready is None else late_yes(ready)
            run = Run(scenario, seed, Path(folder), program, settings=settings, nodes=nodes)
            record = asyncio.run(run.run())
            news = heard(Path(folder)) or [float("nan")]  # where nobody had any, all columns say so
        written = sum(isinstance(c, b.Written) for c in run.crossings)
        told, ups = record["starts"], [c.at for c in run.crossings if isinstance(c, b.NodeUp) and c.at > 0]
        print(
            f"seed {seed}{', peers' * peers}{f', {ready:g} s for news' if ready is not None else ''}:"
            f" {told['dispatchers']} dispatchers, {servers} servers, {lists:g} lists/s:"
            f" {told['calls']} calls,"
            f" {told['turned_away']} turned away, {told['calls_worst_s']} in the worst second; news after"
            f" {statistics.median(news):.1f} s (median), {news[-1]:.1f} s (last),"
            f" {told['dispatchers'] - sum(at == at for at in news)} without;"
            f" new connections {told['connects']}, {told['connects_worst_s']} in the worst second,"
            f" {told['connects_worst_s_one']} at one server; {written} jobs written;"
            f" served {record['served']}, refused"
            f" {record['refused']}, failed {record['failed']}, in the second before the crash"
            f" {part(record, min(ups) / 1e6 - 2):.0%} of the worth, back at 95% of that"
            f" {back(record, min(ups) / 1e6):g} s after the first start; rules broken"
            f" {sorted({row['rule'] for row in record['rules_broken']})}; {record['verdict']}",
            flush=True,
        )


def main() -> None:
    """The command."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("fleet", "asking", "peers", "obeyed", "drains"))
    parser.add_argument("--dispatchers", type=int, default=100)
    parser.add_argument("--lists", type=float, default=7.0)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--rate", type=float, default=200.0)
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--peers", action="store_true")
    parser.add_argument("--ready", type=float)
    parser.add_argument("--servers", type=int, default=40)
    args = parser.parse_args()
    if args.what == "asking":
        asking(args.dispatchers, args.seeds)
    elif args.what == "peers":
        peers(args.dispatchers, args.lists, args.seeds)
    elif args.what == "drains":
        for _ in range(args.runs):
            print(asyncio.run(drained(args.dispatchers)), flush=True)
    elif args.what == "obeyed":
        obeyed(args.dispatchers, args.lists, args.seeds)
    else:
        fleet(args.dispatchers, args.lists, args.runs, args.rate, args.peers, args.ready, args.servers)


if __name__ == "__main__":
    sys.exit(main())

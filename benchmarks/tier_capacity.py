"""What the tier's control costs by size: CPU and bytes of its messages, fitted, and set against the target.

    python -m benchmarks.tier_capacity measure [--seeds 3] [--seconds 0.2] [--most SIZE] [--out FILE]
    python -m benchmarks.tier_capacity page

`measure` runs the tier's own modules (sessions, registry, views, batch shards, messages) without sockets, at
five sizes and several seeds each, and writes every raw figure. `page` puts the tables made of the committed
results into docs/CAPACITY.md. CPU is this process's own time: nothing of sockets, event loop or kernel.
"""

from __future__ import annotations

import argparse
import json
import math
import platform
import random
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import ujson
from scipy import stats

from heronstall.batch import jobs as batch
from heronstall.batch.items import set_items
from heronstall.batch.jobs import BatchShard
from heronstall.batch.leases import LeaseQueue
from heronstall.controlplane.state.worker_shard import WorkerShard, encode_put
from heronstall.distribution.view import ControlStateView
from heronstall.routing.reading import parse_routes
from heronstall.sessions.loads import WorkerLoad, pack_loads
from heronstall.sessions.table import Sessions
from heronstall.transport import messages as m

RESULTS = Path("benchmarks/results/tier_capacity.json")
PAGE = Path("docs/CAPACITY.md")
STRAIGHT = 0.15  # part of the measured value by which a line may miss it
BEGIN, END = "<!-- figures: begin -->", "<!-- figures: end -->"
MOST_SIZE = 5_000  # workers, routes or items: beyond that a run takes minutes and gigabytes
BUSY = (
    57  # workers where a dispatcher has something in hand: at the target 28 pieces of work a second, 2 s each
)
PULL_EVERY, GOSSIP_EVERY = 0.6, 0.3  # seconds
TARGET_DISPATCHERS, TARGET_WORKERS, TARGET_ROUTES, TARGET_CORES = 350, 600, 350, 4
TARGET_ITEMS = 330_000_000 / 86_400  # a second
ITEMS_A_JOB = 100  # of the batch job whose cost an item is taken from
CPU_BUDGET, BYTES_BUDGET = 0.027, 8_000  # cores, and bytes a second, for control a dispatcher


@dataclass(frozen=True)
class Point:
    """One measurement."""

    name: str
    size: int
    seed: int
    cpu_us: float
    bytes: int


@dataclass(frozen=True)
class Fit:
    """A line through all but the largest size, and what it says of that."""

    name: str
    base: float
    slope: float
    slope_error: float  # half of the 95% interval
    predicted: float
    measured: float
    straight: bool  # the largest size, which is not fitted, lies near the line

    def at(self, size: float) -> float:
        """The line's value."""
        return self.base + self.slope * size


def cpu_us(work: Callable[[], object], seconds: float) -> float:
    """Microseconds of this process's time that one call takes, over at least so many seconds."""
    calls, began = 0, time.process_time()
    while (spent := time.process_time() - began) < seconds:
        work()
        calls += 1
    return spent / calls * 1e6


def loads(rng: random.Random, workers: int, busy: int) -> m.Loads:
    """A dispatcher's word of the workers where it has something."""
    chosen = rng.sample(range(workers), min(workers, busy))
    return pack_loads(WorkerLoad(f"i-{k:08x}", rng.randrange(1, 4), rng.randrange(3)) for k in chosen)


def session(rng: random.Random, number: int, workers: int) -> m.Session:
    """A dispatcher's session."""
    return m.Session(
        name=f"edge-zone-a-{number}",
        machine_class="edge",
        address=f"10.1.{number // 250}.{number % 250}:7720",
        zone="zone-a",
        loads=loads(rng, workers, BUSY),
    )


def pulls(rng: random.Random, workers: int, seconds: float) -> list[tuple[str, float, int]]:
    """A dispatcher's pull without news: at the core node, and at the dispatcher."""
    table = Sessions()
    for number in range(100):
        table.renew(0.0, session(rng, number, workers))
    request = bytes(m.SyncRequest(session(rng, 1, workers), [m.ShardVersion("config", 9)], 600))

    def answer() -> bytes:
        call = m.SyncRequest().parse(request)
        table.renew(0.0, call.session)
        reply = m.SyncReply(config_version=9, edges=100, control=["10.1.0.1:7720"] * 5)
        reply.loads = pack_loads(table.loads(0.0, call.session.name))
        return bytes(reply)

    reply = answer()
    view, own = ControlStateView(), session(rng, 1, workers)

    def pull() -> None:
        bytes(m.SyncRequest(own, view.version_vector(), 600))
        view.apply(m.SyncReply().parse(reply))

    return [
        ("core node: answer to a pull", cpu_us(answer, seconds), len(request) + len(reply)),
        ("dispatcher: a pull", cpu_us(pull, seconds), len(request) + len(reply)),
    ]


def gossip(rng: random.Random, dispatchers: int, seconds: float) -> list[tuple[str, float, int]]:
    """The sessions that one core node tells another, and taking them."""
    own = Sessions()
    for number in range(dispatchers):
        own.renew(0.0, session(rng, number, TARGET_WORKERS))
    table = bytes(m.SessionTable(own.recently_renewed(0.1)))
    other = Sessions()

    def take() -> None:
        other.merge(1.0, m.SessionTable().parse(table).sessions)

    return [
        (
            "core node: telling sessions",
            cpu_us(lambda: bytes(m.SessionTable(own.recently_renewed(0.1))), seconds),
            len(table),
        ),
        ("core node: taking told sessions", cpu_us(take, seconds), len(table)),
    ]


def registry(rng: random.Random, workers: int, seconds: float) -> list[tuple[str, float, int]]:
    """All workers for a dispatcher that has just started."""
    shard = WorkerShard()
    for k in range(workers):
        entry = m.Worker(f"i-{k:08x}", "lm", f"10.9.{k // 250}.{k % 250}:8080", "zone-a", "ready", 8, k)
        shard.apply(k + 1, encode_put(entry))

    def tell() -> bytes:
        delta = shard.changes_since("workers-0", 0)
        assert delta is not None
        return bytes(m.SyncReply(workers=[delta]))

    told = tell()
    taking = cpu_us(lambda: ControlStateView().apply(m.SyncReply().parse(told)), seconds)
    return [
        ("core node: the registry for a new dispatcher", cpu_us(tell, seconds), len(told)),
        ("dispatcher: taking the registry", taking, len(told)),
    ]


def configuration(rng: random.Random, routes: int, seconds: float) -> list[tuple[str, float, int]]:
    """A whole configuration at a dispatcher."""
    entries = [
        {
            "name": f"r-{rng.getrandbits(32):08x}",
            "hostname": f"host{k % 40}.example",
            "path_prefix": f"/p{k}/",
            "route_type": "streaming",
            "timeout_ms": 6000,
            "target_latency_ms": 380,
            "priority": 0,
            "service": "lm",
            "max_attempts": 2,
            "session_affinity": True,
            "resumable": True,
            "gap_aim_ms": 45,
        }
        for k in range(routes)
    ]
    document = ujson.dumps({"revision": 3, "routes": entries, "services": [{"name": "lm"}]}).encode()
    return [
        ("dispatcher: a new configuration", cpu_us(lambda: parse_routes(document), seconds), len(document))
    ]


def items(rng: random.Random, count: int, seconds: float) -> list[tuple[str, float, int]]:
    """A batch job at its shard's owner: taken, leased one by one, its results listed ten at a time."""
    headers = [
        m.Header("Heronstall-Model-Id", "m"),
        m.Header("Heronstall-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"),
    ]
    body = rng.randbytes(600)
    given = [m.BatchItem(f"item-{k:08x}", "/lots/x", headers, body, 1200) for k in range(count)]
    job = set_items(m.BatchJob("job", "r", "h", [], 0, 8000, 60_000, 3), given)
    request = bytes(m.SubmitRequest(job, 0, "batch-0"))

    def live() -> None:
        shard = BatchShard()
        queue = LeaseQueue(shard)
        shard.listener = queue
        queue.set_ownership(0.0, True)
        shard.apply(1, batch.encode_accept(m.SubmitRequest().parse(request).job))
        held = []
        while got := queue.lease_items(1.0, "edge", 1):
            record, name, number = got[0]
            leased = m.LeasedItem("job", "h", record.open_items[name].encoded, 8000, "r", number)
            bytes(m.LeaseReply([leased], [], queue.waiting))
            held.append(name)
        for at in range(0, len(held), 10):
            reports = [m.ItemReport("job", name, 1, b"x" * 800) for name in held[at : at + 10]]
            call = m.FinishRequest().parse(bytes(m.FinishRequest("edge", reports, "batch-0")))
            listed = [m.ItemResult(r.job, r.item, True, r.text) for r in call.reports]
            shard.apply(2 + at, batch.encode_results(listed))

    return [("owner: a batch job's life", cpu_us(live, seconds), len(request))]


MEASURES: tuple[
    tuple[Callable[[random.Random, int, float], list[tuple[str, float, int]]], tuple[int, ...]], ...
] = (
    (pulls, (75, 150, 300, 600, 900)),
    (gossip, (25, 50, 100, 200, 350)),
    (registry, (75, 150, 300, 600, 900)),
    (configuration, (50, 100, 200, 350, 525)),
    (items, (10, 25, 50, 100, 200)),
)


def measure(seeds: int, seconds: float, most: int) -> list[Point]:
    """All measurements up to a size."""
    points = []
    for work, sizes in MEASURES:
        for size in sizes:
            for seed in range(seeds if size <= most else 0):
                for name, cpu, length in work(random.Random(seed), size, seconds):
                    points.append(Point(name, size, seed, round(cpu, 2), length))
    return points


def fitted(points: Sequence[Point], value: Callable[[Point], float]) -> Fit:
    """The line through all but the largest size of one measure."""
    largest = max(p.size for p in points)
    known = [p for p in points if p.size < largest]
    sizes, values = [float(p.size) for p in known], [value(p) for p in known]
    line = stats.linregress(sizes, values)
    half = float(line.stderr * stats.t.ppf(0.975, len(known) - 2))
    held_out = [value(p) for p in points if p.size == largest]
    measured = sum(held_out) / len(held_out)
    predicted = float(line.intercept + line.slope * largest)
    off = abs(measured - predicted) / measured
    return Fit(
        points[0].name, float(line.intercept), float(line.slope), half, predicted, measured, off < 0.15
    )


def fits(points: Sequence[Point]) -> dict[str, tuple[Fit, Fit]]:
    """Lines of CPU and of bytes, by measure."""
    names = dict.fromkeys(p.name for p in points)
    by_name = {name: [p for p in points if p.name == name] for name in names}
    return {
        n: (fitted(ps, lambda p: p.cpu_us), fitted(ps, lambda p: float(p.bytes))) for n, ps in by_name.items()
    }


def row(*cells: str) -> str:
    """A row of a table."""
    return "| " + " | ".join(cells) + " |"


def tables(results: dict[str, Any]) -> str:
    """The page's tables, from the results."""
    points = [Point(**p) for p in results["points"]]
    lines = fits(points)
    made = results["made"]
    where = f"{made['machine']}, Python {made['python']}, revision {made['revision']}"
    head = ("measure", "sizes fitted", "us, base", "us a unit (95%)", "bytes, base", "bytes a unit")
    held_out = ("largest size", "predicted us", "measured us", "a line")
    rows = [
        f"Measured on {where}, {made['seeds']} seeds a size.",
        "",
        row(*head, *held_out),
        row(*["---"] * (len(head) + len(held_out))),
        *(_line_row([p for p in points if p.name == name], *line) for name, line in lines.items()),
    ]
    return "\n".join([*rows, "", *at_target(lines)])


def _line_row(points: Sequence[Point], cpu: Fit, size: Fit) -> str:
    sizes = sorted({p.size for p in points})
    return row(
        cpu.name,
        f"{sizes[0]} to {sizes[-2]}",
        f"{cpu.base:.0f}",
        f"{cpu.slope:.2f} ± {cpu.slope_error:.2f}",
        f"{size.base:.0f}",
        f"{size.slope:.1f}",
        f"{sizes[-1]}",
        f"{cpu.predicted:.0f}",
        f"{cpu.measured:.0f}",
        _yes(cpu.straight),
    )


def _yes(holds: bool) -> str:
    return "yes" if holds else "no"


def at_target(lines: dict[str, tuple[Fit, Fit]]) -> list[str]:
    """Rows of what the target asks, by the lines."""

    def cpu(name: str, size: float) -> float:
        return lines[name][0].at(size) / 1e6

    def length(name: str, size: float) -> float:
        return lines[name][1].at(size)

    pull = cpu("dispatcher: a pull", TARGET_WORKERS) / PULL_EVERY
    pulled = length("dispatcher: a pull", TARGET_WORKERS) / PULL_EVERY
    answers = (
        cpu("core node: answer to a pull", TARGET_WORKERS) * TARGET_DISPATCHERS / PULL_EVERY / TARGET_CORES
    )
    each, others = TARGET_DISPATCHERS / TARGET_CORES, TARGET_CORES - 1
    telling = cpu("core node: telling sessions", each) / GOSSIP_EVERY
    taking = cpu("core node: taking told sessions", each) * others / GOSSIP_EVERY
    told = length("core node: telling sessions", each) * others / GOSSIP_EVERY
    core = answers + telling + taking
    start = cpu("dispatcher: taking the registry", TARGET_WORKERS)
    news = cpu("dispatcher: a new configuration", TARGET_ROUTES)
    item = cpu("owner: a batch job's life", ITEMS_A_JOB) / ITEMS_A_JOB
    owners = math.ceil(TARGET_ITEMS * item)
    budget, most = f"{CPU_BUDGET:.1%} of a core", f"{BYTES_BUDGET / 1000:.0f} KB/s"
    return [
        f"At {TARGET_DISPATCHERS} dispatchers, {TARGET_WORKERS} workers and {TARGET_CORES} core nodes:",
        "",
        row("what", "at the target", "budget", "holds"),
        row("---", "---", "---", "---"),
        row("control at a dispatcher, CPU", f"{pull:.1%} of a core", budget, _yes(pull <= CPU_BUDGET)),
        row(
            "control at a dispatcher, bytes", f"{pulled / 1000:.1f} KB/s", most, _yes(pulled <= BYTES_BUDGET)
        ),
        row("core node: answers to pulls", f"{answers:.0%} of a core", "", ""),
        row("core node: telling sessions", f"{telling:.0%} of a core, {told / 1e6:.2f} MB/s", "", ""),
        row("core node: taking told sessions", f"{taking:.0%} of a core", "", ""),
        row(
            "core node: these three",
            f"{core:.0%} of a core; one is full at {TARGET_DISPATCHERS / core:.0f} dispatchers",
            "one core",
            _yes(core <= 1),
        ),
        row("a dispatcher's start: the registry", f"{start * 1000:.1f} ms", "-", "-"),
        row("a configuration at a dispatcher", f"{news * 1000:.1f} ms", "3 s everywhere", "yes"),
        row(
            "batch items at one owner",
            f"{item * 1e6:.0f} us each, {1 / item:.0f} a second at most",
            f"{TARGET_ITEMS:.0f} a second",
            _yes(owners <= 1) + f": {owners} owners at least",
        ),
    ]


def page_with(page: str, text: str) -> str:
    """The page with its tables made anew. Raises ValueError where the marks are missing."""
    before, _, rest = page.partition(BEGIN)
    _, found, after = rest.partition(END)
    if not found:
        raise ValueError(f"{PAGE}: {BEGIN} and {END} are wanted")
    return f"{before}{BEGIN}\n\n{text}\n\n{END}{after}"


def _made(seeds: int) -> dict[str, Any]:
    revision = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False
    )
    return {
        "machine": f"{platform.machine()}, {platform.system()}",
        "python": platform.python_version(),
        "revision": revision.stdout.strip() or "unknown",
        "seeds": seeds,
    }


def main(arguments: list[str] | None = None) -> int:
    """Measure, or write the page; 2 with the reason for what cannot be."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    verbs = parser.add_subparsers(dest="verb", required=True)
    measuring = verbs.add_parser("measure")
    measuring.add_argument("--seeds", type=int, default=3)
    measuring.add_argument("--seconds", type=float, default=0.2)
    measuring.add_argument("--most", type=int, default=MOST_SIZE)
    measuring.add_argument("--out", type=Path, default=RESULTS)
    verbs.add_parser("page")
    told = parser.parse_args(arguments)
    try:
        if told.verb == "page":
            text = page_with(PAGE.read_text(encoding="utf-8"), tables(json.loads(RESULTS.read_text())))
            PAGE.write_text(text, encoding="utf-8")
            return 0
        if not 1 <= told.seeds <= 100 or not 0 < told.seconds <= 10 or not 1 <= told.most <= MOST_SIZE:
            print(
                f"--seeds 1 to 100, --seconds up to 10, --most up to {MOST_SIZE} are wanted", file=sys.stderr
            )
            return 2
        points = measure(told.seeds, told.seconds, told.most)
        found = {"made": _made(told.seeds), "points": [asdict(p) for p in points]}
        told.out.write_text(json.dumps(found, indent=0) + "\n", encoding="utf-8")
    except (OSError, ValueError) as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())

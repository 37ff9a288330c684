"""CPU time of the decisions by what they are told, and of a start, at 10 and at 60 backend servers.

    python -m benchmarks.decision_cost [--servers 10 60] [--nodes 4 40] [--rounds 400]

Prints microseconds of CPU: the median of the rounds and their spread (10th to 90th percentile). A job is
its arrival, its start and its outcome with a report; a push changes three servers' states; a tick is the
housekeeping alone. `start` is the program's own start up to the point where it listens, in milliseconds.
"""

from __future__ import annotations

import argparse
import json
import os
import resource
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from functools import partial
from typing import Literal

from heronstall.decide import Balancer
from heronstall.interface import (
    Arrival,
    JobNote,
    Outcome,
    ProbeResult,
    Report,
    RequestClass,
    Send,
    Settings,
    Timer,
    WorkerEntry,
    WorkerList,
)

MS, S = 1_000, 1_000_000


def node(servers: int, nodes: int) -> tuple[Balancer, list[WorkerEntry]]:
    """A node that has heard of every server, in the middle of its work."""
    keyed = RequestClass(
        aim=250 * MS, deadline=6 * S, effect="keyed", group="zone", repeat_window=10 * S, stretch=2.5
    )
    unsafe = RequestClass(aim=250 * MS, deadline=5 * S, effect="unsafe", stretch=2.5, priority=1)
    settings = Settings(
        classes=(keyed, unsafe),
        nodes=nodes,
        me=1,
        reports="answers",
        probes=True,
        cancelling=True,
        tells_start=True,
        progress=S,
        cold=8 * S,
        cold_from=0.3,
        fall_multiple=3.0,
        max_attempts=5,
    )
    balancer = Balancer(settings, 1)
    entries = [WorkerEntry(n, zone=n % 3, kind=n % 2, mark=n * 7919) for n in range(1, servers + 1)]
    balancer.handle(0, [WorkerList("complete", tuple(entries))])
    told = [ProbeResult(e.worker, True, MS, Report(0.5, 3.0, None, 2.0)) for e in entries]
    balancer.handle(S, told)
    return balancer, entries


def timed(call: Callable[[], object]) -> float:
    """Microseconds of CPU that one call takes."""
    began = time.process_time_ns()
    call()
    return (time.process_time_ns() - began) / 1000


def measure(servers: int, nodes: int, rounds: int) -> dict[str, list[float]]:
    """Rounds of each kind of work, in microseconds."""
    balancer, entries = node(servers, nodes)
    now, taken = 2 * S, {"job": list[float](), "push": list[float](), "tick": list[float]()}
    for n in range(rounds):
        now += 75 * MS  # off the pace of the housekeeping, which is measured by itself
        balancer.handle(now, [Timer()])

        def job(n: int = n, now: int = now) -> None:
            said = balancer.handle(now, [Arrival(n, n % 2, 5 * S, work=270 * MS)])
            for a in said:
                if isinstance(a, Send):
                    balancer.handle(now + MS, [JobNote(n, a.worker, 0)])
                    report = Report(0.5, 3.0, None, 2.0)
                    balancer.handle(now + 2 * MS, [Outcome(n, a.worker, 0, True, "ok", 2 * MS, report)])

        taken["job"].append(timed(job))
        some = [entries[(3 * n + k) % servers] for k in range(3)]
        state: Literal["leaving", "active"] = "leaving" if n % 2 else "active"
        push = WorkerList("changes", tuple(e._replace(state=state) for e in some))
        taken["push"].append(timed(partial(balancer.handle, now + 3 * MS, [push])))
        balancer.handle(now + 4 * MS, [WorkerList("changes", tuple(some))])
        now += 300 * MS
        taken["tick"].append(timed(partial(balancer.handle, now, [Timer()])))
    return taken


def start(servers: int) -> float:
    """Milliseconds of CPU that `run` takes until it listens, its list of that many servers read."""
    with socket.create_server(("127.0.0.1", 0)) as free, socket.create_server(("127.0.0.1", 0)) as mute:
        listen, discovery = (f"127.0.0.1:{s.getsockname()[1]}" for s in (free, mute))
        free.close()
        target = {"az": "a", "model": "m", "state": "SERVING", "boot_ms": 0, "endpoint": "127.0.0.1:9"}
        targets = [{**target, "uid": f"s-{n}"} for n in range(servers)]
        config = {
            "listen": listen,
            "discovery": discovery,
            "limits": {"sockets": 256, "memory_mb": 80},
            "known": {"rev": 1, "all": True, "targets": targets},
            "settings": {
                "services": [{"name": "x", "aim": 1, "deadline": S}],
                "areas": ["a"],
                "balancers": 40,
            },
        }
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(json.dumps(config))
            file.flush()
            before = resource.getrusage(resource.RUSAGE_CHILDREN)
            child = subprocess.Popen(
                [sys.executable, "-B", "-m", "heronstall"],
                env={**os.environ, "NODE_CONFIG": file.name},
                stderr=subprocess.PIPE,
                text=True,
            )
            assert child.stderr is not None
            child.stderr.readline()  # it listens
            child.send_signal(signal.SIGKILL)
            child.communicate()
            after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return (after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime) * 1000


def row(values: list[float]) -> str:
    """Median and spread."""
    tenths = statistics.quantiles(values, n=10, method="inclusive")  # never beyond what was seen
    return f"{statistics.median(values):8.0f} ({tenths[0]:.0f} to {tenths[-1]:.0f})"


def main() -> None:
    """Print one table."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--servers", type=int, nargs="+", default=[10, 60])
    parser.add_argument("--nodes", type=int, nargs="+", default=[4, 40])
    parser.add_argument("--rounds", type=int, default=400)
    args = parser.parse_args()
    if len(args.servers) != len(args.nodes):
        parser.error("--servers and --nodes go in pairs")
    if min(args.servers) < 3 or min(args.nodes) < 1 or args.rounds < 10:
        parser.error("at least 3 servers, 1 node and 10 rounds are wanted")
    for nodes, servers in zip(args.nodes, args.servers, strict=True):
        taken = measure(servers, nodes, args.rounds)
        print(f"{servers} servers, {nodes} nodes")
        for name, values in taken.items():
            print(f"  {name:6} {row(values)} us")
        print(f"  start  {row([start(servers) for _ in range(5)])} ms")


if __name__ == "__main__":
    main()

"""Membership in virtual time: who notices a loss and when, who is wrongly taken for gone, what it costs.

    python -m benchmarks.membership [--members 10 100 500] [--minutes 10] [--loss 0.02] [--kills 20]

For each size: members begin within three seconds; then the time until all know all; then kills, one at a
time, each followed by ten seconds; then quiet minutes with loss, in which every word of an end is a false
one. Beside them SWIM's own figure for the time to the first suspicion: on average e / (e - 1) = 1.58
periods (Das, Gupta, Motivala, DSN 2002, section 3.2).
"""

from __future__ import annotations

import argparse
import statistics
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from heronstall.membership.messages import State
from heronstall.membership.swim import DEFAULT_LIMITS
from heronstall.model.mesh import Mesh

SECOND = 1_000_000


def measure(count: int, minutes: float, loss: float, kills: int, seed: int) -> dict[str, Any]:
    """One size."""
    began = time.perf_counter()
    mesh = Mesh(seed, loss=loss)
    said: list[tuple[int, str, State]] = []
    mesh.said = lambda name, member, before: said.append((mesh.now, member.row.name, member.row.state))
    mesh.start_all(count, over=3 * SECOND)
    whole = None
    while whole is None and mesh.now < 60 * SECOND:
        mesh.run(mesh.now + SECOND // 10)
        if len(mesh.members) == count and all(len(s.living()) == count for s in mesh.members.values()):
            whole = mesh.now / SECOND
    mesh.run(mesh.now + 10 * SECOND)
    first, gone, last = [], [], []
    for k in range(min(kills, count // 2)):
        name, at = f"n{count - 1 - k}", mesh.now
        said.clear()
        mesh.kill(name)
        mesh.run(at + 10 * SECOND)
        suspected = [when for when, who, state in said if who == name and state is State.SUSPECT]
        ended = [when for when, who, state in said if who == name and state is State.DEAD]
        first.append((min(suspected) - at) / SECOND)
        gone.append((min(ended) - at) / SECOND)
        last.append((max(ended) - at) / SECOND if len(ended) >= len(mesh.members) else float("inf"))
    said.clear()
    sent, size, quiet = mesh.sent, mesh.bytes, mesh.now
    mesh.run(quiet + round(minutes * 60 * SECOND))
    left, seconds = len(mesh.members), (mesh.now - quiet) / SECOND
    wrong = {(who, when // (5 * SECOND)) for when, who, state in said if state is State.DEAD}
    suspected = {(who, when // (5 * SECOND)) for when, who, state in said if state is State.SUSPECT}
    return {
        "members": count,
        "all know all after s": whole or float("nan"),
        "first suspicion s": statistics.mean(first),
        "first end s": statistics.median(gone),
        "first end, most": max(gone),
        "all know s": statistics.median(last),
        "all know, most": max(last),
        "false ends an hour": len(wrong) * 3600 / seconds,
        "false suspicions an hour": len(suspected) * 3600 / seconds,
        "messages a second": (mesh.sent - sent) / left / seconds,
        "bytes a second": (mesh.bytes - size) / left / seconds,
        "took s": time.perf_counter() - began,
    }


def main() -> None:
    """The command."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--members", type=int, nargs="+", default=[10, 100, 500])
    parser.add_argument("--minutes", type=float, default=10.0)
    parser.add_argument("--loss", type=float, default=0.02)
    parser.add_argument("--kills", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--workers", type=int, default=3)
    args = parser.parse_args()
    print(
        f"SWIM's mean to the first suspicion: {1.58 * DEFAULT_LIMITS.period / SECOND:.2f} s "
        f"of {DEFAULT_LIMITS}"
    )
    with ProcessPoolExecutor(args.workers) as pool:
        jobs = [pool.submit(measure, n, args.minutes, args.loss, args.kills, args.seed) for n in args.members]
        for job in jobs:
            print("; ".join(f"{key} {value:.4g}" for key, value in job.result().items()), flush=True)


if __name__ == "__main__":
    sys.exit(main())

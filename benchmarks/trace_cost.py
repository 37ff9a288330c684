"""What recording costs: CPU a job, bytes a job on disk, records lost.

Turns of the live decisions are taken from runs of the model, then written as the live program would: the CPU
of the whole process counts, the writing thread's too. Once at the runs' own pace, where a block is closed for
its age; once as if time went 50 times as fast, where blocks are full; then with no pause at all.
"""

from __future__ import annotations

import argparse
import gc
import statistics
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

from heronstall import interface as i
from heronstall.cli.common import read_scenario
from heronstall.fleet.spec import Scenario
from heronstall.model.run import Run
from heronstall.trace import trace_pb2 as pb
from heronstall.trace.reader import TraceReader
from heronstall.trace.writer import MAX_QUEUED_BLOCKS, TraceWriter

HTTP_US = 679.0  # CPU of a job in the live program, HTTP included: what the cost is a part of
BUSY = 50  # times
Turn = tuple[int, Sequence[i.Event], Sequence[i.Action]]


class Kept:
    """Observes, and keeps every turn."""

    def __init__(self) -> None:
        self.turns: list[Turn] = []

    def observe(self, now: int, told: Sequence[i.Event], said: Sequence[i.Action]) -> None:
        """One turn."""
        self.turns.append((now, list(told), list(said)))


def turns_of(scenario: Scenario, seed: int) -> tuple[list[list[Turn]], int]:
    """The turns of each dispatcher in a run, and its jobs."""
    run = Run(scenario, seed)
    kept = [Kept() for _ in run.nodes]
    for node, keeper in zip(run.nodes, kept, strict=True):
        node.observer = keeper
    record = run.run()
    return [keeper.turns for keeper in kept], record["requests"]


def write(turns: list[Turn], path: Path, paced: bool) -> tuple[float, int]:
    """CPU seconds of writing them, and records lost."""
    began = time.process_time()
    writer = TraceWriter(path, pb.About(format=1), 0, print)
    for turn in turns:
        writer.observe(*turn)
        if paced and writer._queue.qsize() > MAX_QUEUED_BLOCKS // 2:
            time.sleep(0.002)
    writer.close()
    return time.process_time() - began, writer.dropped


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scenario", type=Path, default=Path("scenarios/due-date.cue"))
    parser.add_argument("--runs", type=int, default=5)
    told = parser.parse_args()
    scenario = read_scenario(told.scenario)
    costs, busy, sizes, lost, flat_out = [], [], [], 0, 0
    with tempfile.TemporaryDirectory() as made:
        for seed in range(1, told.runs + 1):
            all_turns, jobs = turns_of(scenario, seed)
            gc.freeze()  # as the live program does, or the collector's passes would be counted
            gc.set_threshold(50_000, 20, 100)
            cpu = cpu_busy = size = 0.0
            for n, turns in enumerate(all_turns):
                path = Path(made) / f"{seed}-{n}.hst"
                used, dropped = write(turns, path, True)
                cpu, lost, size = cpu + used, lost + dropped, size + path.stat().st_size
                with TraceReader(path) as reader:
                    assert sum(1 for _ in reader.items()) and not reader.diagnostics.truncated
                fast = [(at // BUSY, events, actions) for at, events, actions in turns]
                cpu_busy += write(fast, Path(made) / f"busy-{seed}-{n}.hst", True)[0]
                flat_out += write(turns, Path(made) / f"fast-{seed}-{n}.hst", False)[1]
            costs.append(cpu * 1e6 / jobs)
            busy.append(cpu_busy * 1e6 / jobs)
            sizes.append(size / jobs)
    cost, full = statistics.median(costs), statistics.median(busy)
    print(
        f"{scenario.name}: {cost:.1f} us of CPU a job ({cost / HTTP_US:.1%} of {HTTP_US:g}),"
        f" {full:.1f} us ({full / HTTP_US:.1%}) where blocks are full,"
        f" {statistics.median(sizes):.0f} bytes a job on disk; records lost: {lost}, with no pause {flat_out}"
    )


if __name__ == "__main__":
    main()

"""Long-lived tasks go on after a failure, and say so."""

from __future__ import annotations

import asyncio
import re
import time
import unittest
from pathlib import Path
from unittest import mock

import structlog

from heronstall.background_tasks import (
    INITIAL_RESTART_DELAY_S,
    MAX_RESTART_DELAY_S,
    STABLE_AFTER_S,
    BackgroundTasks,
)
from heronstall.controlplane.store import Store
from heronstall.dataplane.attempts import Attempts
from heronstall.dataplane.batch_runner import BatchRunner
from heronstall.dataplane.deferred import DeferredQueue
from tests.tier.batch_play import BatchPlay, play, route
from tests.tier.virtual_loop import run_virtually

ROOT = Path(__file__).parents[2] / "heronstall"
PROGRAM_PACKAGES = ("dataplane", "controlplane", "transport", "storage")
SERVICE = "trade-assist"
LISTED_S = 10.0


class Restarts(unittest.TestCase):
    def play(self, fails_after: tuple[float, ...], seconds: float) -> list[float]:
        """Returns the times at which a task was started that fails after these times, then runs on."""
        starts: list[float] = []

        async def run() -> None:
            number = len(starts)
            starts.append(time.monotonic())
            if number < len(fails_after):
                await asyncio.sleep(fails_after[number])
                raise RuntimeError("planned")
            await asyncio.Event().wait()

        async def main() -> None:
            tasks = BackgroundTasks()
            tasks.start("planned", run)
            await asyncio.sleep(seconds)
            tasks.cancel()

        run_virtually(main())
        return [start - starts[0] for start in starts]

    def test_a_task_that_fails_is_logged_and_started_again_with_growing_delays(self) -> None:
        with structlog.testing.capture_logs() as logged:
            starts = self.play((0.0,) * 8, 60.0)
        delays = [after - before for before, after in zip(starts, starts[1:], strict=False)]
        self.assertEqual(len(delays), 8)
        self.assertAlmostEqual(delays[0], INITIAL_RESTART_DELAY_S)
        self.assertAlmostEqual(delays[-1], MAX_RESTART_DELAY_S)
        self.assertEqual([entry["event"] for entry in logged], ["background task failed"] * 8)
        self.assertEqual({entry["task"] for entry in logged}, {"planned"})
        self.assertTrue(all(entry["exc_info"] for entry in logged))

    def test_failures_are_forgotten_after_a_while(self) -> None:
        starts = self.play((0.0,) * 6 + (STABLE_AFTER_S + 1,), 120.0)
        self.assertAlmostEqual(starts[-1] - starts[-2], STABLE_AFTER_S + 1 + INITIAL_RESTART_DELAY_S)

    def test_a_task_that_must_not_go_on_is_logged_alone(self) -> None:
        async def main() -> int:
            run = mock.AsyncMock(side_effect=RuntimeError("planned"))
            tasks = BackgroundTasks()
            tasks.start_once("planned", run)
            await asyncio.sleep(60)
            return run.await_count

        with structlog.testing.capture_logs() as logged:
            self.assertEqual(run_virtually(main()), 1)
        self.assertEqual([entry["event"] for entry in logged], ["background task failed"])


class Failures(unittest.TestCase):
    """Each loop of a dispatcher and of a storage node fails once; a job is run all the same."""

    def test_a_job_is_run_after_one_failure_of_each_loop(self) -> None:
        failing = {
            "end silent attempts": (Attempts, "end_silent"),
            "release deferred work": (DeferredQueue, "release_ready"),
            "release of one work": (BatchRunner, "_may_start"),
            "poll": (BatchRunner, "_lease_shares"),
            "send reports": (BatchRunner, "_send_reports"),
            "maintenance": (Store, "_remove_expired"),
        }
        for name, (owner, method) in failing.items():
            original = getattr(owner, method)
            failed: list[str] = []

            def fail_once(*args: object, _original: object = original, _failed: list[str] = failed) -> object:
                if not _failed:
                    _failed.append("once")
                    raise RuntimeError("planned")
                assert callable(_original)
                return _original(*args)

            async def use(batch: BatchPlay) -> None:
                batch.configure(route("notes", SERVICE))
                batch.register(("w1", SERVICE))
                await batch.submit("notes", "job", 10)
                self.assertEqual(await batch.until_listed(["job"], LISTED_S), [])

            with self.subTest(name), mock.patch.object(owner, method, fail_once):
                run_virtually(play(use))


class Owners(unittest.TestCase):
    def test_long_lived_tasks_are_started_through_their_owner(self) -> None:
        """A task whose result nobody awaits must be one of `BackgroundTasks`."""
        awaited = {
            "batch_runner.py": {"call", "slot_wait", "item.task"},
            "pulling.py": {"self._calls[address]"},
            "links.py": {"self._connecting", "task"},
            "http_server.py": {"starting"},
            "workers.py": {""},  # closes connections; nothing depends on it
        }
        started = re.compile(r"^ *(?:(\S+) = )?\S*create_task\(", re.MULTILINE)
        for package in PROGRAM_PACKAGES:
            for path in sorted((ROOT / package).rglob("*.py")):
                source = path.read_text()
                targets = [found.group(1) or "" for found in started.finditer(source)]
                with self.subTest(file=path.name):
                    self.assertEqual(len(targets), source.count("create_task("))
                    self.assertLessEqual(set(targets), awaited.get(path.name, set()))


if __name__ == "__main__":
    unittest.main()

"""A local tier: its plan, its command line, its demo and what the demo's audit finds."""

from __future__ import annotations

import asyncio
import copy
import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

import aiohttp

from heronstall.config import node_settings
from heronstall.lab.tier import demo
from heronstall.lab.tier.batch_load import BatchLoop
from heronstall.lab.tier.client import HOST, STREAM, Streamed
from heronstall.lab.tier.load import MALFORMED, OpenLoop, due_times
from heronstall.lab.tier.plan import PLAN_FILE, Plan, PlanError, Sizes, drawn, keep, kept
from heronstall.lab.tier.promises import Broken
from heronstall.lab.tier.worker import text_of

ROOT = Path(__file__).parents[2]
LONGEST = 120.0  # seconds of one command
UP = (sys.executable, "-m", "heronstall.cli", "tier", "up", "--json", "--workers", "1", "--edges", "1")


class InFolder(unittest.TestCase):
    def setUp(self) -> None:
        made = tempfile.TemporaryDirectory(prefix="heronstall-")
        self.addCleanup(made.cleanup)
        self.folder = Path(made.name)


class Plans(InFolder):
    def test_too_few_or_too_many_machines_are_refused_by_name(self) -> None:
        for sizes in ({"cores": 2}, {"stores": 0}, {"edges": 0}, {"workers": 21}):
            with self.subTest(**sizes), self.assertRaisesRegex(PlanError, next(iter(sizes))):
                Sizes(**sizes)

    def test_a_plan_is_found_again(self) -> None:
        self.assertIsNone(kept(self.folder))
        plan = drawn(self.folder, Sizes(edges=3, workers=2))
        keep(plan)
        self.assertEqual(kept(self.folder), plan)
        addresses = [*plan.nodes, *plan.workers]
        self.assertEqual(len(set(addresses)), 3 + 3 + 3 + 2)

    def test_a_damaged_plan_is_refused_by_file(self) -> None:
        for text in (
            "",
            "[]",
            '{"cores": 3}',
            '{"net": "127.1.2", "racks": 1}',
            '{"net": "127.1.2", "cores": 1}',
        ):
            (self.folder / PLAN_FILE).write_text(text)
            with self.subTest(text), self.assertRaisesRegex(PlanError, PLAN_FILE):
                kept(self.folder)

    def test_nodes_take_their_settings(self) -> None:
        plan = drawn(self.folder)
        for ip in plan.nodes:
            settings = node_settings(str(plan.write_settings(ip, True, {"status_s": 60})))
            self.assertEqual((settings.ip, settings.machine_class), (ip, plan.machine_class(ip)))
            self.assertEqual(settings.data_dir is None, ip in plan.edges)


class Audit(unittest.IsolatedAsyncioTestCase):
    """The demo's checks on answers that break a promise."""

    async def asyncSetUp(self) -> None:
        self.client = mock.Mock()
        tier = mock.Mock(client=self.client, plan=Plan(Path("/nowhere"), "127.1.2"))
        self.demo = demo.Demo(tier)
        self.demo._listed["job"] = []
        self.whole = [
            {"id": f"job-{n}", "state": "succeeded", "text": text_of(f"job-{n}")} for n in range(demo.ITEMS)
        ]

    async def check(self, *answers: list[dict[str, Any]]) -> None:
        """Check a job of which the dispatchers give these results."""
        self.client.results = mock.AsyncMock(side_effect=answers)
        await self.demo._check("job")

    async def broken(self, text: str, *answers: list[dict[str, Any]]) -> None:
        """As `check`, and it must be found."""
        with self.assertRaisesRegex(Broken, text):
            await self.check(*answers)

    async def test_what_is_whole_is_taken_again_and_again(self) -> None:
        await self.check(self.whole, self.whole)
        await self.check(self.whole, self.whole)

    async def test_what_breaks_a_promise_is_found(self) -> None:
        other = list(reversed(self.whole))
        await self.broken("different results", self.whole, other)
        twice = [self.whole[0], *self.whole[:-1]]
        await self.broken("missing or stand twice", twice, twice)
        cut, dead = copy.deepcopy(self.whole), copy.deepcopy(self.whole)
        cut[3]["text"] = cut[3]["text"][:-2]
        dead[3]["state"] = "dead_letter"
        await self.broken("job-3 is succeeded", cut, cut)
        await self.broken("job-3 is dead_letter", dead, dead)
        await self.check(self.whole, self.whole)
        await self.broken("position has changed", other, other)

    def test_a_stream_that_is_cut_or_unsigned_is_found(self) -> None:
        data = "".join(f"id: {n}\ndata: s-{n}\n\n" for n in range(1, 6))
        demo._check_stream("s", Streamed(200, "sig-s", data, 0.1))
        for wrong in (
            Streamed(503, "sig-s", data, 0.1),
            Streamed(200, "", data, 0.1),
            Streamed(200, "sig-s", data[:-20], 0.1),
            Streamed(200, "sig-s", data + data[-16:], 0.1),
        ):
            with self.subTest(wrong), self.assertRaises(Broken):
                demo._check_stream("s", wrong)

    async def test_a_step_that_fails_ends_the_demo_and_says_why(self) -> None:
        told: list[demo.Step] = []
        self.demo._told = told.append
        self.demo._tier.start = mock.AsyncMock(side_effect=Broken("planted"))  # type: ignore[method-assign]
        await self.demo.play()
        self.assertEqual([(s.name, s.kept, s.why) for s in told], [("start", False, "planted")])
        self.assertFalse(self.demo.report()["kept"])


class Load(unittest.IsolatedAsyncioTestCase):
    def test_arrivals_are_the_same_for_the_same_seed_and_as_many_as_asked_for(self) -> None:
        times = due_times(100.0, 20.0, 7)
        self.assertEqual(times, due_times(100.0, 20.0, 7))
        self.assertNotEqual(times, due_times(100.0, 20.0, 8))
        self.assertEqual(times, sorted(times))
        self.assertLess(abs(len(times) - 2000), 5 * 2000**0.5)
        self.assertLess(times[-1], 20_000_000)

    async def test_answers_are_counted_by_what_came(self) -> None:
        name_of = mock.AsyncMock(side_effect=self.answer)
        with mock.patch("heronstall.lab.tier.load.stream_at", name_of):
            record = await OpenLoop(["127.0.0.1:1", "127.0.0.1:2"], 100.0, 1.0, 3).play()
        self.assertEqual(sum(record["came"].values()), record["requests"])
        self.assertEqual(set(record["came"]), {"200", "503", "TimeoutError", MALFORMED})
        self.assertGreaterEqual(record["first_event_ms"]["p50"], 200)
        asked = {call.args[1] for call in name_of.await_args_list}
        self.assertEqual(asked, {"127.0.0.1:1", "127.0.0.1:2"})

    async def answer(self, _calls: object, _address: str, name: str) -> Streamed:
        """Four kinds of answers in turn."""
        number = int(name.rpartition("-")[2])
        data = "".join(f"data: {name}-{n}\n\n" for n in range(1, 6))
        if number % 4 == 3:
            raise TimeoutError
        answers = (
            Streamed(200, f"sig-{name}", data, 0.2),
            Streamed(503, "", "", 0.2),
            Streamed(200, f"sig-{name}", data[:-9], 0.2),
        )
        return answers[number % 4]


class BatchLoad(unittest.IsolatedAsyncioTestCase):
    """Batch jobs in open loop against answers that are made up."""

    ITEMS = 3
    SECONDS = 0.5

    async def asyncSetUp(self) -> None:
        self.results: dict[str, list[dict[str, Any]]] = {}
        self.statuses: list[int] = []
        self.calls: list[str] = []
        for name, made in (("submit_at", self.submit), ("read_at", self.read)):
            patch = mock.patch(f"heronstall.lab.tier.batch_load.{name}", made)
            patch.start()
            self.addCleanup(patch.stop)

    async def submit(self, _calls: object, address: str, job: str, items: int) -> int:
        """Answer with the statuses in turn, 202 after them."""
        self.calls.append(f"{address} {job}")
        status = self.statuses.pop(0) if self.statuses else 202
        if status == 202:
            names = [f"{job}-{n}" for n in range(items)]
            self.results[job] = [{"id": n, "state": "succeeded", "text": text_of(n)} for n in names]
        return status

    async def read(
        self, _calls: object, address: str, job: str, start: int, _wait: int
    ) -> tuple[int, list[dict[str, Any]]]:
        """One result a call."""
        return 200, copy.deepcopy(self.results[job][start : start + 1])

    async def play(self) -> dict[str, Any]:
        """One run; there is at least one job in it."""
        loop = BatchLoop(["127.0.0.1:1", "127.0.0.1:2"], 20.0, self.SECONDS, 3, self.ITEMS)
        record = await loop.play()
        self.assertGreater(record["jobs"], 1)
        return record

    async def test_jobs_are_followed_to_their_end(self) -> None:
        record = await self.play()
        self.assertEqual((record["came"], record["broken"]), ({"202": record["jobs"]}, []))
        self.assertEqual(len(self.results), record["jobs"])

    async def test_what_has_no_clear_answer_is_sent_again_elsewhere_and_what_is_refused_is_not(self) -> None:
        self.statuses = [504]
        record = await self.play()
        self.assertEqual(record["came"], {"202": record["jobs"]})
        first = [call for call in self.calls if call.split()[1] == self.calls[0].split()[1]]
        self.assertEqual(len({call.split()[0] for call in first}), 2)
        self.calls.clear()
        self.statuses = [429] * 100
        record = await self.play()
        self.assertEqual(record["came"], {"429": record["jobs"]})
        self.assertEqual(len(self.calls), record["jobs"])

    async def test_what_breaks_a_promise_is_found(self) -> None:
        whole = self.read

        async def cut(calls: object, address: str, job: str, start: int, wait: int) -> Any:
            status, found = await whole(calls, address, job, start, wait)
            return status, [{**result, "text": result["text"][:-1]} for result in found]

        async def unknown(*_: object) -> Any:
            return 404, []

        async def twice(calls: object, address: str, job: str, start: int, wait: int) -> Any:
            return await whole(calls, address, job, 0, wait)

        async def changing(calls: object, address: str, job: str, start: int, wait: int) -> Any:
            self.results[job].reverse()
            return 200, copy.deepcopy(self.results[job][start:])

        for planted, told in (
            (cut, "is succeeded"),
            (unknown, "not known"),
            (twice, "stand twice"),
            (changing, "other results"),
        ):
            with (
                self.subTest(told),
                mock.patch("heronstall.lab.tier.batch_load.read_at", planted),
            ):
                record = await self.play()
                self.assertEqual(record["came"]["broken"], record["jobs"])
                self.assertIn(told, record["broken"][0])


class CommandLine(InFolder):
    def command(self, *words: str) -> subprocess.CompletedProcess[str]:
        """Run `heronstall tier` to its end."""
        command = [sys.executable, "-m", "heronstall.cli", "tier", *words]
        return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=LONGEST)

    def refused(self, text: str, *words: str) -> None:
        """A line that names what is wrong, and status 2."""
        done = self.command(*words)
        self.assertEqual(done.returncode, 2, done.stderr)
        self.assertIn(text, done.stderr)
        self.assertNotIn("Traceback", done.stderr)

    def test_bad_input_is_refused_and_touches_nothing(self) -> None:
        self.refused("--cores: 2", "up", "--cores", "2")
        self.refused("--pause", "up", "--pause", "-1")
        self.refused("not on loopback", "load", "--to", "10.0.0.1:80")
        self.refused("--items", "load", "--to", "127.0.0.1:80", "--items", "201")
        self.refused("--rate", "load", "--to", "127.0.0.1:80", "--rate", "0")
        foreign = self.folder / "letter.txt"
        foreign.write_text("mine")
        self.refused(str(self.folder), "up", "--folder", str(self.folder))
        self.refused(str(foreign), "up", "--folder", str(foreign))
        self.assertEqual([p.name for p in self.folder.iterdir()], ["letter.txt"])

    def test_a_folder_of_another_tier_is_refused(self) -> None:
        keep(drawn(self.folder, Sizes(edges=5)))
        self.refused("--edges 5", "up", "--folder", str(self.folder))
        keep(drawn(self.folder, Sizes(workers=2)))
        self.refused("holds a tier already", "demo", "--folder", str(self.folder))

    def test_the_demo_keeps_every_promise(self) -> None:
        done = self.command("demo", "--json", "-")
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        report = json.loads(done.stdout)
        self.assertTrue(report["kept"])
        self.assertEqual([step["kept"] for step in report["steps"]], [True] * 6)

    def test_what_is_up_ends_with_a_signal_and_comes_back_with_its_state(self) -> None:
        for sign in (signal.SIGINT, signal.SIGTERM):
            with self.subTest(sign):
                self.up_once(sign)
        self.assertTrue((self.folder / PLAN_FILE).exists())

    def up_once(self, sign: int) -> None:
        """Start, send a request, end by a signal; a second start finds the configuration of the first."""
        command = [*UP, "--folder", str(self.folder)]
        with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True) as process:
            self.addCleanup(process.kill)
            assert process.stdout is not None
            told = json.loads(process.stdout.readline())
            status = asyncio.run(self.request(told["dispatchers"][0]))
            loaded = self.command(
                "load", "--to", told["dispatchers"][0], "--rate", "20", "--seconds", "2", "--json", "-"
            )
            children = _children(process.pid)
            process.send_signal(sign)
            self.assertEqual(process.wait(LONGEST), 0)
        self.assertEqual(status, 200)
        record = json.loads(loaded.stdout)
        self.assertEqual(record["came"], {"200": record["requests"]})
        self.assertEqual(len(children), 3 + 3 + 1)
        self.assertFalse([pid for pid in children if Path(f"/proc/{pid}").exists()])

    @staticmethod
    async def request(dispatcher: str) -> int:
        """A streamed request; its status."""
        headers = {"Host": HOST, "Heronstall-Request-Id": f"r{os.getpid()}"}
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"http://{dispatcher}{STREAM}x", headers=headers, data=b"p") as answer,
        ):
            await answer.read()
            return answer.status


def _children(pid: int) -> list[str]:
    return Path(f"/proc/{pid}/task/{pid}/children").read_text().split()


if __name__ == "__main__":
    unittest.main()

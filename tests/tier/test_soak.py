"""Planned work in series that overlap, on real processes; and the judge of its clients' requests."""

from __future__ import annotations

import asyncio
import random
import tempfile
import unittest
from pathlib import Path

from benchmarks.tier_soak import play
from heronstall.lab.tier.kept_clients import CLOSE_WITHIN, TIME_OUT, End, Ended, Judge, KeptClient
from heronstall.lab.tier.plan import FRONT, Sizes
from heronstall.lab.tier.worker import text_of

SEED = 7
SECONDS = 40.0
HOST = "127.93.17.4"
SIGNED = "Heronstall-Response-Signature: sig-c-1\r\n"


def ended(end: End, after: float = 0.1) -> Ended:
    return Ended("c-1", HOST, end, "", after)


class Judged(unittest.TestCase):
    def broken(self, end: Ended, runs: int) -> str:
        judge = Judge()
        judge.take(end)
        return " ".join(judge.broken({"c-1": runs}))

    def test_what_is_allowed(self) -> None:
        for end, runs in ((End.WHOLE, 1), (End.FAILED, 1), (End.REFUSED, 0), (End.CLOSED, 0)):
            with self.subTest(end=end):
                self.assertEqual(self.broken(ended(end), runs), "")
        self.assertEqual(self.broken(ended(End.CUT, TIME_OUT), 1), "")

    def test_what_a_killed_dispatcher_had_in_hand_may_end_in_any_way(self) -> None:
        for end in (End.CUT, End.SILENT, End.CLOSED):
            with self.subTest(end=end):
                cut = Ended("c-1", HOST, end, "", 0.5, at=100.0)
                for killed_at, edge, broken in (
                    (99.8, HOST, False),  # while it had the request
                    (99.2, HOST, True),  # before
                    (100.2, HOST, True),  # after
                    (99.8, "127.93.17.5", True),  # another one
                ):
                    judge = Judge()
                    judge.killed(edge, killed_at)
                    judge.take(cut)
                    self.assertEqual(bool(judge.broken({"c-1": 1})), broken, (killed_at, edge))

    def test_a_kill_excuses_no_refusal_of_what_ran(self) -> None:
        judge = Judge()
        judge.killed(HOST, 99.8)
        judge.take(Ended("c-1", HOST, End.REFUSED, "", 0.5, at=100.0))
        self.assertTrue(judge.broken({"c-1": 1}))

    def test_what_breaks_a_promise(self) -> None:
        for end, runs, why in (
            (ended(End.CUT), 1, "its answer was cut"),
            (ended(End.SILENT), 0, "no answer"),
            (ended(End.REFUSED), 1, "refused, and a worker ran it"),
            (ended(End.CLOSED), 1, "a worker ran it"),
            (ended(End.CLOSED, CLOSE_WITHIN + 0.1), 0, "closed late"),
        ):
            with self.subTest(end=end):
                self.assertIn(why, self.broken(end, runs))


class Answers(unittest.IsolatedAsyncioTestCase):
    """What a client makes of the bytes of an answer and of its connection's end."""

    async def end(self, answer: bytes) -> End:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            writer.close()

        server = await asyncio.start_server(serve, HOST, FRONT)
        judge, stopping = Judge(), asyncio.Event()
        client = KeptClient("c", [HOST], judge, random.Random(3))
        run = asyncio.create_task(client.run(stopping))
        while not judge.counts:
            await asyncio.sleep(0.01)
        stopping.set()
        await run
        server.close()
        first = judge.open_ends[0].end if judge.open_ends else End.WHOLE
        return first

    async def test_each_end(self) -> None:
        events = "".join(f"id: {n}\ndata: {line}\n\n" for n, line in enumerate(text_of("c-1").split("\n")))
        head = f"HTTP/1.1 200 OK\r\n{SIGNED}Transfer-Encoding: chunked\r\n\r\n"
        body = f"{len(events):x}\r\n{events}\r\n"
        refused = "HTTP/1.1 503 S\r\nRetry-After: 0.2\r\nContent-Length: 0\r\n\r\n"
        for answer, end in (
            (head + body + "0\r\n\r\n", End.WHOLE),
            (head + body, End.CUT),
            (head, End.CUT),
            (head.replace("c-1", "c-2") + body + "0\r\n\r\n", End.CUT),
            (refused, End.REFUSED),
            (refused.replace("Retry-After: 0.2\r\n", ""), End.FAILED),
            ("HTTP/1.1 504 S\r\nContent-Length: 0\r\n\r\n", End.FAILED),
            ("", End.CLOSED),
        ):
            with self.subTest(answer=answer[:60], end=end):
                self.assertIs(await self.end(answer.encode()), end)


class PlannedWork(unittest.IsolatedAsyncioTestCase):
    async def test_planned_work_in_series_breaks_no_promise(self) -> None:
        with tempfile.TemporaryDirectory(prefix="heronstall-") as folder:
            soak = await play(Path(folder), SEED, SECONDS, Sizes(edges=5, workers=4))
        self.assertEqual(soak.audit.broken, [])
        self.assertGreater(soak.work["edge: restarts"], 8)
        self.assertGreater(soak.work["changes"], 25)
        self.assertGreater(soak.judge.counts[End.WHOLE], 300)
        self.assertGreater(len(soak.audit.accepted), 8)


if __name__ == "__main__":
    unittest.main()

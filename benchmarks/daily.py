"""Daily operation measured on loopback: the door's latency and cost, and replacements under load.

    python -m benchmarks.daily door                    # PING idle, under load, in a crowd; INFO's cost
    python -m benchmarks.daily replace [--way ports]   # 20 replacements; `ports`: by SO_REUSEPORT alone

One dispatcher, two backend servers, closed-loop clients on kept connections, all on 127.0.0.1. Times are
milliseconds. A client counts what it sees of the door between it and the dispatcher: connections refused,
requests that got no answer, and closes between requests, which are harmless unless they cross one.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

CLIENTS, WORK = 40, 0.03  # clients at a time; seconds that a job takes
SETTINGS: dict[str, Any] = {
    "services": [{"name": "job", "aim": 2_000_000, "deadline": 3_000_000, "effect": "safe"}],
    "areas": ["a"],
    "flavors": ["m"],
    "tenants": [{"name": "t", "quotaPerS": 10_000.0}],
    "policyLimits": {"probes": True, "cancelling": True, "maxAttempts": 3, "keepalive": 5_000_000},
    "loadReport": {"fields": ["x0"], "via": "piggyback"},
    "familyInfo": {"reportX0": "free slots", "tellsStart": True},
    "rules": {"drainGrace": 2_000_000, "graceToAnswer": 50_000},
}


def free_port() -> int:
    """A port that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


async def head(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """An HTTP message's head and body, by its length."""
    told = await reader.readuntil(b"\r\n\r\n")
    length = next(
        (int(row.split(b":")[1]) for row in told.split(b"\r\n") if row.lower().startswith(b"content-length")),
        0,
    )
    return told, await reader.readexactly(length)


async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A backend server's end of a connection."""
    try:
        while True:
            told, _ = await head(reader)
            if told.startswith(b"GET"):
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"x0":50}')
                continue
            name = next(row for row in told.split(b"\r\n") if row.lower().startswith(b"req-id")).split(b": ")[
                1
            ]
            await asyncio.sleep(WORK)
            lines = [
                json.dumps({"id": name.decode(), "state": "started"}),
                json.dumps({"id": name.decode(), "state": "done", "result": "ok", "load": {"x0": 50}}),
            ]
            chunks = b"".join(b"%x\r\n%s\n\r\n" % (len(x) + 1, x.encode()) for x in lines)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n")
    except (OSError, EOFError):
        writer.close()


async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, targets: list[Any]) -> None:
    """A watch that names the servers and beats."""
    try:
        await reader.readuntil(b"\r\n\r\n")
        line = json.dumps({"rev": 1, "all": True, "targets": targets}).encode() + b"\n"
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line))
        while True:
            await asyncio.sleep(2.0)
            writer.write(b"1\r\n\n\r\n")
            await writer.drain()
    except (OSError, EOFError, asyncio.CancelledError):
        writer.close()


class Bench:
    """One dispatcher address and everything round it."""

    def __init__(self, folder: Path, handed: bool) -> None:
        self._folder, self._handed = folder, handed
        self.port, self.seen = free_port(), Counter[str]()
        self.latencies: list[float] = []
        self._next = 0

    async def begin(self) -> None:
        """Servers and discovery."""
        targets = []
        for n in range(2):
            server = await asyncio.start_server(backend, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            targets.append(
                {
                    "uid": f"s-{n}",
                    "endpoint": f"127.0.0.1:{port}",
                    "az": "a",
                    "model": "m",
                    "state": "SERVING",
                }
            )
        watch = await asyncio.start_server(lambda r, w: discovery(r, w, targets), "127.0.0.1", 0)
        config = {
            "name": "n",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{watch.sockets[0].getsockname()[1]}",
            "seed": "1",
            "limits": {"sockets": 1024, "memory_mb": 192},
            "settings": SETTINGS,
        }
        (self._folder / "config.json").write_text(json.dumps(config))

    async def start(self) -> tuple[asyncio.subprocess.Process, int]:
        """A process and its door, once it says yes."""
        door = free_port()
        environ = {k: v for k, v in os.environ.items() if k != "TMPDIR" and not k.startswith("NODE_")}
        environ |= {"NODE_CONFIG": str(self._folder / "config.json"), "NODE_OPERATOR": f"127.0.0.1:{door}"}
        if self._handed:
            environ["TMPDIR"] = str(self._folder)
        with (self._folder / "log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-B", "-m", "heronstall", stderr=log, env=environ
            )
        while not (await self.call(door, "PING")).startswith("YES"):
            await asyncio.sleep(0.02)
        return process, door

    async def call(self, door: int, line: str) -> str:
        """A call at a door; empty where nobody answers."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", door)
            writer.write(line.encode() + b"\n")
            told = await reader.read()
            writer.close()
            return told.decode()
        except OSError:
            return ""

    async def client(self, until: float) -> None:
        """One client: a job, a short rest, the next, on one connection for as long as it is kept."""
        draw = random.Random(id(asyncio.current_task()))
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while time.monotonic() < until:
            try:
                if streams is None:
                    self.seen["connections"] += 1
                    streams = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                self.seen["refused connections"] += 1
                await asyncio.sleep(0.05)
                continue
            reader, writer = streams
            self._next += 1
            request = (
                f"POST /api HTTP/1.1\r\nHost: o\r\nReq-Id: r{self._next}\r\nReq-Kind: job\r\nReq-Owner: t\r\n"
                "Req-Deadline: 3.0\r\nReq-Cost: 30000\r\nContent-Length: 3\r\n\r\npay"
            )
            began = time.monotonic()
            writer.write(request.encode())
            try:
                told, _ = await head(reader)
            except (OSError, EOFError):
                self.seen["requests without an answer"] += 1
                writer.close()
                streams = None
                continue
            self.latencies.append(time.monotonic() - began)
            self.seen[f"answers {told.split()[1].decode()}"] += 1
            if b"connection: close" in told.lower():
                self.seen["closed with an answer"] += 1
                writer.close()
                streams = None
                continue
            await asyncio.sleep(draw.uniform(0.0, 0.1))
            if reader.at_eof():
                self.seen["closed between requests"] += 1
                writer.close()
                streams = None


def spread(row: list[float]) -> str:
    """Median, 99th percentile and maximum, in ms."""
    row = sorted(row)
    median, rare, worst = (1e3 * row[at] for at in (len(row) // 2, int(len(row) * 0.99), -1))
    return f"median {median:.2f}, p99 {rare:.2f}, max {worst:.2f} ms"


def cpu(process: asyncio.subprocess.Process) -> float:
    """CPU seconds of a process so far."""
    told = Path(f"/proc/{process.pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(told[11]) + int(told[12])) / os.sysconf("SC_CLK_TCK")


def memory(process: asyncio.subprocess.Process) -> tuple[float, float, int]:
    """Resident and own (PSS) megabytes, and descriptors, of a process."""
    rows = Path(f"/proc/{process.pid}/smaps_rollup").read_text().splitlines()
    sizes = {row.split(":")[0]: int(row.split()[1]) / 1024 for row in rows[1:]}
    return sizes["Rss"], sizes["Pss"], len(os.listdir(f"/proc/{process.pid}/fd"))


async def pings(bench: Bench, door: int, seconds: float) -> list[float]:
    """Latencies of calls, some 50 a second."""
    row, until = [], time.monotonic() + seconds
    while time.monotonic() < until:
        began = time.monotonic()
        told = await bench.call(door, "PING")
        row.append(time.monotonic() - began if told.startswith("YES") else float("inf"))
        await asyncio.sleep(0.02)
    return row


async def door(bench: Bench) -> None:
    """The door's figures."""
    process, at = await bench.start()
    print("idle:           ", spread(await pings(bench, at, 5)))
    costs: dict[int, list[float]] = {}
    for rate in (0, 10, 0, 10):
        before, until = cpu(process), time.monotonic() + 3.5
        while time.monotonic() < until:
            if rate:
                await bench.call(at, "INFO")
            await asyncio.sleep(0.1)
        costs.setdefault(rate, []).append((cpu(process) - before) / 3.5)
    print(f"CPU without and with ten INFO a second: {costs[0]}, {costs[10]}")
    load = [asyncio.create_task(bench.client(time.monotonic() + 18)) for _ in range(4 * CLIENTS)]
    await asyncio.sleep(1)
    before = cpu(process)
    print("under load:     ", spread(await pings(bench, at, 10)))
    print(f"                 {(cpu(process) - before) / 10:.0%} of a core")
    crowd = []
    for _ in range(400):
        crowd.append(await asyncio.open_connection("127.0.0.1", bench.port))
    for n in range(12):
        crowd.append(await asyncio.open_connection("127.0.0.1", at))
        crowd[-1][1].write(b"PI" if n % 2 else b"")
    print("and in a crowd: ", spread(await pings(bench, at, 4)))
    for _, writer in crowd:
        writer.close()
    await asyncio.gather(*load)
    print("clients:", dict(bench.seen), spread(bench.latencies))
    process.send_signal(signal.SIGTERM)
    await process.wait()


async def replace(bench: Bench, times: int) -> None:
    """Replacements under load."""
    process, _ = await bench.start()
    load = [asyncio.create_task(bench.client(time.monotonic() + 2.0 * times)) for _ in range(CLIENTS)]
    ready, ended, both = [], [], (0.0, 0.0, 0)
    for _ in range(times):
        await asyncio.sleep(0.5)
        began = time.monotonic()
        after, _ = await bench.start()
        ready.append(time.monotonic() - began)
        sizes = [memory(process), memory(after)]
        both = max(both, (sum(s[1] for s in sizes), sum(s[0] for s in sizes), sum(s[2] for s in sizes)))
        began = time.monotonic()
        process.send_signal(signal.SIGTERM)
        if await process.wait():
            bench.seen["exits other than 0"] += 1
        ended.append(time.monotonic() - began)
        process = after
    await asyncio.gather(*load)
    print(f"{times} replacements; yes after {spread(ready)}; the old one ended after {spread(ended)}")
    print(f"at most, both together: {both[0]:.1f} MB PSS, {both[1]:.1f} MB RSS, {both[2]} descriptors")
    print("clients:", dict(sorted(bench.seen.items())), spread(bench.latencies))
    process.send_signal(signal.SIGTERM)
    await process.wait()


async def main() -> None:
    """Measure what the command line asks for."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("door", "replace"))
    parser.add_argument("--way", choices=("handed", "ports"), default="handed")
    parser.add_argument("--times", type=int, default=20)
    asked = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="heronstall-") as folder:
        bench = Bench(Path(folder), asked.way == "handed")
        await bench.begin()
        await (door(bench) if asked.what == "door" else replace(bench, asked.times))


if __name__ == "__main__":
    asyncio.run(main())

"""Real processes that are restarted together: nine in ten are ready within ten seconds."""

from __future__ import annotations

import contextlib
import json
import os
import select
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.test_net import ROOT, SETTINGS, STREAM

PROCESSES = 10
READY_WITHIN = 10.0  # seconds
HEALTH = b"GET /healthz HTTP/1.1\r\nHost: o\r\nConnection: close\r\n\r\n"
LIST = {
    "rev": 1,
    "all": True,
    "targets": [{"uid": "s-1", "endpoint": "127.0.0.1:9", "az": "a", "model": "m", "state": "SERVING"}],
}


def free_ports(count: int) -> list[int]:
    """Ports that nobody listens on just now."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.create_server(("127.0.0.1", 0))) for _ in range(count)]
        return [sock.getsockname()[1] for sock in socks]


@contextlib.contextmanager
def started(discovery: socket.socket, known: bool, folder: Path) -> Iterator[list[int]]:
    """Ten dispatchers, started at one moment; their ports."""
    ports = free_ports(PROCESSES)
    host, port = discovery.getsockname()
    processes = []
    try:
        for number, listen in enumerate(ports):
            file = folder / f"{number}.json"
            told = {
                "name": f"n{number}",
                "listen": f"127.0.0.1:{listen}",
                "discovery": f"{host}:{port}",
                "seed": f"{number:x}",
                "settings": {**SETTINGS, "balancers": PROCESSES, "me": number},
                "known": LIST if known else None,
            }
            file.write_text(json.dumps(told))
            env = {name: value for name, value in os.environ.items() if not name.startswith("NODE_")}
            command = [sys.executable, "-m", "heronstall"]
            processes.append(
                subprocess.Popen(
                    command, cwd=ROOT, env={**env, "NODE_CONFIG": str(file)}, stderr=subprocess.DEVNULL
                )
            )
        yield ports
    finally:
        for process in processes:
            process.kill()
            process.wait()


def healthy(port: int) -> bool:
    """Whether a dispatcher says that it is ready."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=1.0) as sock:
            sock.sendall(HEALTH)
            return sock.recv(64).startswith(b"HTTP/1.1 200 ")
    except OSError:
        return False


@pytest.mark.parametrize("lists", [True, False])
def test_nine_in_ten_processes_that_start_together_are_ready_within_ten_seconds(
    lists: bool, tmp_path: Path
) -> None:
    """Where the list service answers one after the other, and where it is silent and an old list is held."""
    with (
        socket.create_server(("127.0.0.1", 0), backlog=64) as discovery,
        started(discovery, not lists, tmp_path) as ports,
    ):
        began = time.monotonic()
        ready: set[int] = set()
        calls: list[socket.socket] = []
        line = json.dumps(LIST).encode() + b"\n"
        while len(ready) < PROCESSES and time.monotonic() - began < 2 * READY_WITHIN:
            if select.select([discovery], [], [], 0.05)[0]:
                call = discovery.accept()[0]
                calls.append(call)
                if lists:
                    call.sendall(STREAM + b"%x\r\n%s\r\n" % (len(line), line))
            if time.monotonic() - began < READY_WITHIN:
                ready |= {port for port in ports if port not in ready and healthy(port)}
            else:
                break
        for call in calls:
            call.close()
        assert len(ready) >= 0.9 * PROCESSES

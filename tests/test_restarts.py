"""Real processes that are restarted together: nine in ten are ready within ten seconds."""

from __future__ import annotations

import contextlib
import json
import os
import select
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.test_net import ROOT, SETTINGS, STREAM

Process = subprocess.Popen[bytes]
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


def start(number: int, listen: int, discovery: socket.socket, known: Any, folder: Path) -> Process:
    """One dispatcher, as a process."""
    host, port = discovery.getsockname()
    file = folder / f"{number}.json"
    told = {
        "name": f"n{number}",
        "listen": f"127.0.0.1:{listen}",
        "discovery": f"{host}:{port}",
        "seed": f"{number:x}",
        "settings": {**SETTINGS, "balancers": PROCESSES, "me": number},
        "known": known,
    }
    file.write_text(json.dumps(told))
    env = {name: value for name, value in os.environ.items() if not name.startswith("NODE_")}
    return subprocess.Popen(
        [sys.executable, "-m", "heronstall"],
        cwd=ROOT,
        env={**env, "NODE_CONFIG": str(file)},
        stderr=subprocess.DEVNULL,
    )


def end(process: Process) -> None:
    """End a process of this test's own at once."""
    process.kill()
    process.wait()


@contextlib.contextmanager
def started(discovery: socket.socket, known: Any, folder: Path) -> Iterator[list[int]]:
    """Ten dispatchers, started at one moment; their ports."""
    ports = free_ports(PROCESSES)
    processes = []
    try:
        for number, listen in enumerate(ports):
            processes.append(start(number, listen, discovery, known, folder))
        yield ports
    finally:
        for process in processes:
            end(process)


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
        started(discovery, None if lists else LIST, tmp_path) as ports,
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


def wait_until_healthy(port: int) -> None:
    until = time.monotonic() + READY_WITHIN
    while not healthy(port):
        assert time.monotonic() < until, "never ready"
        time.sleep(0.02)


def test_a_kill_right_after_an_accept_runs_nothing_and_the_next_process_serves_the_same_address(
    tmp_path: Path,
) -> None:
    """The process is stopped while the kernel accepts a client and its request, and then killed."""
    job = (
        b"POST /api HTTP/1.1\r\nHost: o\r\nReq-Id: id-%d\r\nReq-Kind: unsafe\r\nReq-Deadline: 9.0\r\n"
        b"Content-Length: 3\r\n\r\npay"
    )
    done = b'{"id":"id-2","state":"done","result":"paid"}\n'
    with (
        socket.create_server(("127.0.0.1", 0)) as discovery,
        socket.create_server(("127.0.0.1", 0)) as server,
    ):
        host, server_port = server.getsockname()
        row = {**LIST["targets"][0], "endpoint": f"{host}:{server_port}"}  # type: ignore[index]
        known = {**LIST, "targets": [row]}
        (port,) = free_ports(1)
        process = start(0, port, discovery, known, tmp_path)
        try:
            wait_until_healthy(port)
            process.send_signal(signal.SIGSTOP)
            with socket.create_connection(("127.0.0.1", port)) as client:
                client.sendall(job % 1)
                end(process)
                client.settimeout(READY_WITHIN)
                with contextlib.suppress(ConnectionResetError):
                    assert client.recv(100) == b""  # told at once, and nothing else
            process = start(1, port, discovery, known, tmp_path)
            wait_until_healthy(port)
            with socket.create_connection(("127.0.0.1", port)) as client:
                client.sendall(job % 2)
                server.settimeout(READY_WITHIN)
                got = b""
                while b"Req-Id" not in got:  # probes may come before
                    asked, _ = server.accept()
                    asked.settimeout(READY_WITHIN)
                    got = asked.recv(4096)
                assert b"Req-Id: id-2" in got  # the first one was never sent on
                asked.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(done), done))
                client.settimeout(READY_WITHIN)
                assert client.recv(100).startswith(b"HTTP/1.1 200 ")
                asked.close()
        finally:
            end(process)

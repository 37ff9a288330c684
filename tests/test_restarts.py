"""Restarts of real processes: many at the same time, and one after a kill with a client in its backlog."""

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
SERVER_LIST = {
    "rev": 1,
    "all": True,
    "targets": [{"uid": "s-1", "endpoint": "127.0.0.1:9", "az": "a", "model": "m", "state": "SERVING"}],
}


def free_ports(count: int) -> list[int]:
    """Returns ports on which no process listens at present."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.create_server(("127.0.0.1", 0))) for _ in range(count)]
        return [sock.getsockname()[1] for sock in socks]


def start(number: int, listen: int, discovery: socket.socket, known: Any, directory: Path) -> Process:
    """Starts a dispatcher as a process."""
    host, port = discovery.getsockname()
    file = directory / f"{number}.json"
    config = {
        "name": f"n{number}",
        "listen": f"127.0.0.1:{listen}",
        "discovery": f"{host}:{port}",
        "seed": f"{number:x}",
        "settings": {**SETTINGS, "balancers": PROCESSES, "me": number},
        "known": known,
    }
    file.write_text(json.dumps(config))
    env = {name: value for name, value in os.environ.items() if not name.startswith("NODE_")}
    return subprocess.Popen(
        [sys.executable, "-m", "heronstall"],
        cwd=ROOT,
        env={**env, "NODE_CONFIG": str(file)},
        stderr=subprocess.DEVNULL,
    )


def kill(process: Process) -> None:
    """Kills a process that this test has started."""
    process.kill()
    process.wait()


@contextlib.contextmanager
def started(discovery: socket.socket, known: Any, directory: Path) -> Iterator[list[int]]:
    """Starts ten dispatchers at the same time; yields their ports."""
    ports = free_ports(PROCESSES)
    processes = []
    try:
        for number, listen in enumerate(ports):
            processes.append(start(number, listen, discovery, known, directory))
        yield ports
    finally:
        for process in processes:
            kill(process)


def healthy(port: int) -> bool:
    """Returns whether a dispatcher reports that it is ready."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=1.0) as sock:
            sock.sendall(HEALTH)
            return sock.recv(64).startswith(b"HTTP/1.1 200 ")
    except OSError:
        return False


@pytest.mark.parametrize("discovery_answers", [True, False])
def test_nine_in_ten_processes_that_start_together_are_ready_within_ten_seconds(
    discovery_answers: bool, tmp_path: Path
) -> None:
    """The list service answers one request after the other, or is silent and the configured list is used."""
    with (
        socket.create_server(("127.0.0.1", 0), backlog=64) as discovery,
        started(discovery, None if discovery_answers else SERVER_LIST, tmp_path) as ports,
    ):
        started_at = time.monotonic()
        ready: set[int] = set()
        watches: list[socket.socket] = []
        line = json.dumps(SERVER_LIST).encode() + b"\n"
        while len(ready) < PROCESSES and time.monotonic() - started_at < 2 * READY_WITHIN:
            if select.select([discovery], [], [], 0.05)[0]:
                watch = discovery.accept()[0]
                watches.append(watch)
                if discovery_answers:
                    watch.sendall(STREAM + b"%x\r\n%s\r\n" % (len(line), line))
            if time.monotonic() - started_at < READY_WITHIN:
                ready |= {port for port in ports if port not in ready and healthy(port)}
            else:
                break
        for watch in watches:
            watch.close()
        assert len(ready) >= 0.9 * PROCESSES


def wait_until_healthy(port: int) -> None:
    deadline = time.monotonic() + READY_WITHIN
    while not healthy(port):
        assert time.monotonic() < deadline, "not ready in time"
        time.sleep(0.02)


def test_a_job_in_a_killed_process_is_not_run_and_the_next_process_serves_the_same_address(
    tmp_path: Path,
) -> None:
    """The kernel accepts a client and its request while the process is stopped; then it is killed."""
    request = (
        b"POST /api HTTP/1.1\r\nHost: o\r\nReq-Id: id-%d\r\nReq-Kind: unsafe\r\nReq-Deadline: 9.0\r\n"
        b"Content-Length: 3\r\n\r\npay"
    )
    answer = b'{"id":"id-2","state":"done","result":"paid"}\n'
    with (
        socket.create_server(("127.0.0.1", 0)) as discovery,
        socket.create_server(("127.0.0.1", 0)) as server,
    ):
        host, server_port = server.getsockname()
        row = {**SERVER_LIST["targets"][0], "endpoint": f"{host}:{server_port}"}  # type: ignore[index]
        known = {**SERVER_LIST, "targets": [row]}
        (port,) = free_ports(1)
        process = start(0, port, discovery, known, tmp_path)
        try:
            wait_until_healthy(port)
            process.send_signal(signal.SIGSTOP)
            with socket.create_connection(("127.0.0.1", port)) as client:
                client.sendall(request % 1)
                kill(process)
                client.settimeout(READY_WITHIN)
                with contextlib.suppress(ConnectionResetError):
                    assert client.recv(100) == b""  # closed at once, without an answer
            process = start(1, port, discovery, known, tmp_path)
            wait_until_healthy(port)
            with socket.create_connection(("127.0.0.1", port)) as client:
                client.sendall(request % 2)
                server.settimeout(READY_WITHIN)
                received = b""
                while b"Req-Id" not in received:  # probes may arrive first
                    connection, _ = server.accept()
                    connection.settimeout(READY_WITHIN)
                    received = connection.recv(4096)
                assert b"Req-Id: id-2" in received  # the first job was never sent to the server
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(answer), answer))
                client.settimeout(READY_WITHIN)
                assert client.recv(100).startswith(b"HTTP/1.1 200 ")
                connection.close()
        finally:
            kill(process)

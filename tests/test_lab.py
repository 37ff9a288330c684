"""The lab: real dispatchers on loopback, played short; the same plants as in the model are caught."""

from __future__ import annotations

import asyncio
import json
import socket
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

import pytest

from heronstall.cli.common import Missed, judge
from heronstall.fleet import boundary as b
from heronstall.fleet.fleet import Plan
from heronstall.fleet.list_service import ListRequest
from heronstall.fleet.spec import ScenarioError
from heronstall.lab import run as lab_run
from heronstall.lab.clock import RealTime, monotonic
from heronstall.lab.connection import ServerConnection
from heronstall.lab.listener import Listener
from heronstall.lab.nodes import Nodes
from heronstall.lab.starts import starts
from tests.scenarios import BASE, FAULTS, RATE, small_scenario

QUICK = "arrivals: rate_per_s: 20\n"


def command(folder: Path, name: str, text: str, *more: str) -> list[str]:
    path = folder / f"{name}.cue"
    path.write_text(text)
    return [sys.executable, "-m", "heronstall.cli", "lab", "run", str(path), "--json", "-", *more]


def play(call: list[str]) -> tuple[int, dict[str, Any], str]:
    done = subprocess.run(call, capture_output=True, text=True, timeout=120, check=False)
    assert done.stdout, done.stderr
    return done.returncode, json.loads(done.stdout), done.stderr


Record = dict[str, Any]
Played = dict[str, tuple[int, Record, str]]


@pytest.fixture(scope="module")
def played(tmp_path_factory: pytest.TempPathFactory) -> Played:
    """The plays of planted faults and of the real program, all at once; exit code, record and messages."""
    folder = tmp_path_factory.mktemp("plays")
    calls: dict[str, list[str]] = {}
    for name, (more, _, rate) in FAULTS.items():
        program = f"{sys.executable} -m tests.plants {name}"
        calls[name] = command(folder, name, BASE + rate + more, "--program", program)
    crash = f"{sys.executable} -m tests.plants dies"
    calls["dies"] = command(folder, "dies", BASE + QUICK, "--program", crash, "--seconds", "5")
    release = FAULTS["deaf"][0]
    restart = ', {kind: "dispatcher-restart", at_s: 2, for_s: 2, part: 0.5}]'
    crashed = ', {kind: "dispatcher-crash", at_s: 5, for_s: 1, part: 0.5}]'
    for name, more in (("restart", restart), ("crash", crashed)):
        calls[name] = command(folder, name, BASE + RATE + release.replace("]", more, 1))
    with ThreadPoolExecutor(len(calls)) as pool:
        return dict(zip(calls, pool.map(play, calls.values()), strict=True))


@pytest.mark.parametrize("name", FAULTS)
def test_a_plant_is_caught_on_sockets(played: Played, name: str) -> None:
    _, rule, _ = FAULTS[name]
    code, record, _ = played[name]
    others = [row for row in record["rules_broken"] if row["rule"] != rule]
    assert others == [], (others, record["verdict"], record["timing"])
    assert {row["rule"] for row in record["rules_broken"]} == {rule}, record["verdict"]
    assert code == 1


def test_a_plant_that_dies_is_caught_on_sockets(played: Played) -> None:
    assert "crash" in {row["rule"] for row in played["dies"][1]["rules_broken"]}


@pytest.mark.parametrize("name", ["restart", "crash"])
def test_the_real_program_keeps_every_rule(played: Played, name: str) -> None:
    _, record, _ = played[name]
    assert record["rules_broken"] == [], record["rules_broken"][:3]
    assert record["served"] > 0.8 * record["requests"]
    assert record["served"] + record["refused"] + record["failed"] == record["requests"]


def test_two_killed_at_once_come_back_before_a_list_service_that_holds_one_asker(tmp_path: Path) -> None:
    slow = "discovery: {lists_per_s: 1, places: 1}\n"
    crash = 'troubles: [{kind: "dispatcher-crash", at_s: 3, for_s: 0.5, part: 1}]'
    _, record, said = play(command(tmp_path, "mass", BASE + QUICK + slow + crash))
    told = record["starts"]
    assert told["dispatchers"] == 2 and told["unheard"] == 0, (told, said)
    assert told["turned_away"] >= 1 and told["calls"] == 2 + told["turned_away"], told
    first_ms, second_ms = (round(seconds * 1000) for seconds in told["news_s"])
    assert second_ms - first_ms >= 1000, told
    assert not record["rules_broken"], record["rules_broken"][:3]


def test_times_of_starts_a_second_apart_stay_a_second_apart() -> None:
    """Guards against a lab run that counts as wrong by the rounding of its record."""
    for first in (1_131_001, 10_501):  # rounding to the nearest millisecond shortens the second
        asked = [ListRequest(1, node, first + node * 1_000_000) for node in (0, 1)]
        told = starts(asked, [], [b.NodeUp(1, 0), b.NodeUp(1, 1)])
        first_ms, second_ms = (round(seconds * 1000) for seconds in told["news_s"])
        assert second_ms - first_ms == 1000, told


def test_more_pairs_than_descriptors_is_told_before_anything_starts() -> None:
    large = small_scenario("zones: c: {dispatchers: 1000, servers: 10000}")
    with (
        mock.patch("resource.getrlimit", return_value=(1024, 4096)),
        mock.patch("resource.setrlimit"),
        pytest.raises(
            ScenarioError, match="^zones: 1002 dispatchers x 10004 servers want .* 4096 are allowed"
        ),
    ):
        lab_run.check_room(large)


def test_a_machine_too_slow_for_the_load_gives_no_verdict() -> None:
    short = replace(small_scenario("", QUICK), length=1_000_000)
    with mock.patch.object(lab_run, "LATE_P99", 0.0):
        record = lab_run.play(short, 1)
    assert record["verdict"].startswith("none: ") and "ran late" in record["verdict"]
    with pytest.raises(Missed, match="no verdict"):
        judge([record], None)


def test_a_killed_dispatcher_counts_as_ending_until_its_process_is_gone(tmp_path: Path) -> None:
    """Guards against lost requests reported at a dispatcher whose killed process took long to end."""

    async def story() -> list[b.NodeDown]:
        time, ended = RealTime(), asyncio.Event()
        time.begin(monotonic())
        process = mock.Mock(pid=0, wait=mock.AsyncMock(side_effect=ended.wait))
        plan = Plan(small_scenario("", QUICK), 1)
        nodes = Nodes(plan, time, tmp_path, ["127.0.0.1:1"] * plan.scenario.dispatchers)
        with mock.patch("asyncio.create_subprocess_exec", mock.AsyncMock(return_value=process)):
            await nodes.start(nodes.all[0], None)
        nodes.kill(nodes.all[0])
        await asyncio.sleep(0.1)
        ended.set()
        await nodes.gone(nodes.all[0])
        return [c for c in nodes.crossings if isinstance(c, b.NodeDown)]

    (down,) = asyncio.run(story())
    assert down.asked_at is None and not down.crashed
    assert down.gone_at - down.at >= 100_000


def test_a_listener_refuses_says_nothing_and_comes_back_on_the_same_port() -> None:
    async def story() -> None:
        accepted: list[socket.socket] = []
        listener = Listener(accepted.append)

        async def connect(longest: float) -> str:
            sock = socket.socket()
            sock.setblocking(False)
            try:
                made = asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", listener.port))
                await asyncio.wait_for(made, longest)
                return "up"
            except ConnectionRefusedError:
                return "refused"
            except TimeoutError:
                return "nothing"
            finally:
                sock.close()

        assert await connect(5.0) == "up"
        listener.set("refuse")
        assert await connect(5.0) == "refused"
        listener.set("mute")  # from refusing, too
        assert await connect(0.3) == "nothing"
        listener.set("open")
        assert await connect(5.0) == "up"
        await asyncio.sleep(0.05)
        assert len(accepted) == 2
        for sock in accepted:
            sock.close()
        listener.close()

    asyncio.run(story())


def test_calls_wait_for_the_start_and_a_step_of_the_wall_clock_moves_nothing() -> None:
    async def story() -> None:
        time, seen = RealTime(), []
        time.at(0, lambda: seen.append("first"))
        time.at(30_000, lambda: seen.append("second"))
        time.at(10_000, lambda: seen.append("never")).cancel()
        await asyncio.sleep(0.02)
        assert time.now == 0 and seen == []
        with mock.patch("time.time", return_value=0.0), mock.patch("time.time_ns", return_value=0):
            time.begin(monotonic())
            while len(seen) < 2:
                await asyncio.sleep(0.005)
        assert seen == ["first", "second"] and time.now >= 30_000

    asyncio.run(story())


def test_a_call_that_fails_does_not_stop_the_clock_for_those_after_it() -> None:
    """It did: a run went on for its whole length with servers that never ended a job."""

    async def story() -> list[str]:
        time, seen = RealTime(), []
        told = asyncio.get_running_loop()
        told.set_exception_handler(lambda loop, context: seen.append(type(context["exception"]).__name__))
        time.begin(monotonic())
        time.at(1_000, lambda: [][0])
        time.at(2_000, lambda: seen.append("later"))
        for _ in range(200):
            if len(seen) == 2:
                break
            await asyncio.sleep(0.01)
        return seen

    assert asyncio.run(story()) == ["IndexError", "later"]


def test_a_connection_whose_server_dies_before_it_is_made_is_reset_when_it_is() -> None:
    host, server = mock.Mock(), mock.Mock()
    connection = ServerConnection(host, 0, 0, server)
    connection.reset()
    transport = mock.Mock(spec=asyncio.Transport)
    connection.connection_made(transport)
    assert transport.abort.called and not server.connect.called

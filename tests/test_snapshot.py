"""Tests of the snapshot of the server list for the next start."""

from __future__ import annotations

import os
import resource
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heronstall.__main__ import Program
from heronstall.config import configuration
from heronstall.net.loop import Loop
from heronstall.operator import SnapshotSettings
from heronstall.start.snapshot import UnusableSnapshot, newer_list, pack, unpack
from tests.test_net import raw_config

HOUR = 3_600_000_000
OLD = {"rev": 4, "all": True, "targets": []}


def list_message(rev: int, *uids: str) -> dict[str, Any]:
    rows = [
        {"uid": uid, "endpoint": "127.0.0.1:9", "az": "a", "model": "m", "state": "SERVING"} for uid in uids
    ]
    return {"rev": rev, "all": True, "targets": rows}


def test_a_snapshot_is_read_back_and_unusable_ones_are_refused() -> None:
    data = pack("n/0", "h:1", 5 * HOUR, list_message(7, "s-1"))
    assert unpack("n/0", "h:1", data, 6 * HOUR, 2 * HOUR).server_list == list_message(7, "s-1")
    for wrong, message in (
        (("n1", "h:1", data, 6 * HOUR, HOUR), "another dispatcher"),
        (("n/0", "h:2", data, 6 * HOUR, HOUR), "another list service"),
        (("n/0", "h:1", data, 8 * HOUR, HOUR), "3.0 h old"),
        (("n/0", "h:1", data, 1 * HOUR, HOUR), "h old"),
        (("n/0", "h:1", data.replace(b'"v":1', b'"v":2'), 6 * HOUR, HOUR), "version 2"),
        (("n/0", "h:1", data.replace(b"s-1", b"s-2"), 6 * HOUR, HOUR), "sum"),
        (("n/0", "h:1", b'{"format": "x"}', 6 * HOUR, HOUR), "not a snapshot"),
    ):
        with pytest.raises(UnusableSnapshot, match=message):
            unpack(*wrong)
    for cut in range(len(data)):
        with pytest.raises(UnusableSnapshot):
            unpack("n/0", "h:1", data[:cut], 6 * HOUR, 2 * HOUR)


@given(st.binary(max_size=300), st.integers(0, 400))
def test_damage_anywhere_is_detected(noise: bytes, at: int) -> None:
    data = pack("n", "h:1", HOUR, list_message(7, "s-1"))
    broken = data[:at] + noise + data[at + len(noise) :]
    try:
        assert unpack("n", "h:1", broken, HOUR, HOUR).server_list == list_message(7, "s-1")
    except UnusableSnapshot:
        assert broken != data


def test_the_list_with_the_higher_revision_is_used() -> None:
    snapshot = unpack("n", "h:1", pack("n", "h:1", HOUR, list_message(7, "s-1")), HOUR, HOUR)
    assert newer_list(snapshot, list_message(8, "s-2")) == list_message(8, "s-2")
    assert newer_list(snapshot, OLD) == newer_list(snapshot, None) == list_message(7, "s-1")
    assert newer_list(None, OLD) == OLD


def program(folder: Path, known: Any) -> tuple[Program, Loop]:
    loop = Loop()
    config = configuration(raw_config(known=known))
    return Program(config, loop, None, None, SnapshotSettings(str(folder))), loop


def test_a_start_takes_the_snapshot_and_writes_the_next_one(tmp_path: Path) -> None:
    path = tmp_path / "heronstall-n.snapshot"
    now = os.stat(tmp_path).st_mtime_ns // 1000
    path.write_bytes(pack("n", "127.0.0.1:9", now, list_message(7, "s-1", "s-2")))
    first, loop = program(tmp_path, OLD)
    assert sorted(server.uid for server in first.table.listed()) == ["s-1", "s-2"]
    first.table.answered = True
    first.table.take(list_message(9, "s-3"))
    assert first.table._watch is not None
    first.table._watch.rev = 9
    written = path.stat().st_ino
    while path.stat().st_ino == written:
        loop.turn(0.5)
    second, _ = program(tmp_path, OLD)
    assert [server.uid for server in second.table.listed()] == ["s-3"]


def test_an_unusable_snapshot_or_folder_does_not_prevent_the_start(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    (tmp_path / "heronstall-n.snapshot").write_bytes(b"{")
    first, loop = program(tmp_path, list_message(5, "s-9"))
    assert [server.uid for server in first.table.listed()] == ["s-9"] and "ignored" in caplog.text
    first.table.answered = True
    soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (0, hard))  # as on a full disk
    try:
        while "cannot be written" not in caplog.text:
            loop.turn(0.5)
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, (soft, hard))
    assert (tmp_path / "heronstall-n.snapshot").read_bytes() == b"{" and len(list(tmp_path.iterdir())) == 1
    program(tmp_path / "gone", OLD)

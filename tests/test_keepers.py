"""Rollouts through real keepers and dispatchers with faults between them; the stories are in
`tests/stories.py`.

Each is a run of its own, in a process of its own, a few of them at a time.
"""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import pytest

from tests.stories import STORIES

AT_ONCE = max(1, (os.cpu_count() or 2) * 3 // 8)
LONGEST = 240.0
Played = Future[subprocess.CompletedProcess[str]]


def play(name: str) -> subprocess.CompletedProcess[str]:
    """One story."""
    call = [sys.executable, "-m", "tests.stories", name]
    return subprocess.run(call, capture_output=True, text=True, timeout=LONGEST, check=False)


@pytest.fixture(scope="module")
def played() -> Iterator[dict[str, Played]]:
    """All stories, begun."""
    with ThreadPoolExecutor(AT_ONCE) as pool:
        yield {name: pool.submit(play, name) for name in STORIES}


@pytest.mark.parametrize("name", STORIES)
def test_story(played: dict[str, Played], name: str) -> None:
    done = played[name].result()
    assert done.returncode == 0, done.stdout[-2000:] + done.stderr[-4000:]

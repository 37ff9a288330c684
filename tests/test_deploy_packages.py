"""The Debian packages that `deploy/system.toml` lists: all that its build and its programs call or link."""

from __future__ import annotations

import re
import shlex
import subprocess
import tomllib
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).resolve().parent.parent
DEPENDENCIES = ROOT / "target" / "deps"
SHELL = "sh"  # the build is handed to it
SHELL_SYNTAX = frozenset({"||", "&&", ";", "(", ")", "|", "&"})
SHELL_BUILTINS = frozenset({"[", "cd", "echo", "exit", "export", "set", "test", "true", "false"})
# Debian's word on which package brings what (`dpkg -S`).
BROUGHT_BY = {
    "sh": "dash",
    "cp": "coreutils",
    "mkdir": "coreutils",
    "mv": "coreutils",
    "rm": "coreutils",
    "cmp": "diffutils",
    "python3": "python3",
    "python3 -m pip": "python3-pip",
    "python3 -m venv": "python3-venv",
    "gcc": "gcc",
    "make": "make",
}
STANDARD_MODULES = frozenset({"compileall"})  # in python3 itself
LIBRARIES = {"libgcc_s.so.1": "libgcc-s1", "libstdc++.so.6": "libstdc++6"}
# Of the C library, on which every package above depends, and the kernel's own.
EVERYWHERE = re.compile(r"(lib(c|m|pthread|dl|rt|util)\.so\.\d+|ld-linux[-\w]*\.so\.\d+|linux-vdso\.so\.1)$")
OWN_PROGRAMS = ("heronstall.dataplane", "heronstall.controlplane")


class UnlistedError(AssertionError):
    """Something is called or linked that no listed package brings."""


def deploy() -> dict[str, Any]:
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))


def commands(line: str) -> Iterator[list[str]]:
    """The commands of a shell line, each with its arguments."""
    lexer = shlex.shlex(line, posix=True, punctuation_chars=True)
    lexer.whitespace_split = True
    command: list[str] = []
    for token in lexer:
        if token in SHELL_SYNTAX:
            if command:
                yield command
            command = []
        else:
            command.append(token)
    if command:
        yield command


def executables(line: str) -> set[str]:
    """What a shell line calls, modules of Python by the way in which they are called."""
    called = set()
    for command in commands(line):
        if command[0] in SHELL_BUILTINS:
            continue
        called.add(command[0])
        if command[1:2] == ["-m"] and command[2] not in STANDARD_MODULES:
            called.add(" ".join(command[:3]))
    return called


def check_listed(called: Iterable[str], packages: Iterable[str], brought_by: dict[str, str]) -> None:
    """Raise UnlistedError for what no listed package brings."""
    listed = set(packages)
    for name in sorted(called):
        package = brought_by.get(name)
        if package is None:
            raise UnlistedError(f"{name}: no package is known that brings it")
        if package not in listed:
            raise UnlistedError(f"{name}: {package} is not listed under `packages`")


def linked(library: Path) -> set[str]:
    """The shared libraries that one needs, by name, those of the C library left out."""
    told = subprocess.run(["ldd", str(library)], capture_output=True, text=True, check=True).stdout
    names = {Path(line.split()[0]).name for line in told.splitlines() if line.strip()}
    return {name for name in names if not EVERYWHERE.match(name)}


def test_every_executable_of_the_build_is_brought_by_a_listed_package() -> None:
    told = deploy()
    check_listed(executables(told["build"]) | {SHELL}, told["packages"], BROUGHT_BY)


def test_the_programs_call_nothing_but_python() -> None:
    told = deploy()
    for role in told["roles"].values():
        called = executables(role["run"]) - {f"python3 -m {program}" for program in OWN_PROGRAMS}
        check_listed(called, told["packages"], BROUGHT_BY)


def test_every_library_that_the_wheels_link_is_brought_by_a_listed_package() -> None:
    libraries = sorted(DEPENDENCIES.rglob("*.so"))
    assert libraries, "the tier's build has to run before the tests, as `scripts/check` has it"
    check_listed(set().union(*map(linked, libraries)), deploy()["packages"], LIBRARIES)


def test_no_pinned_requirement_compiles() -> None:
    """A wheel that was built here bears the tag of this machine alone, and would need a compiler there."""
    tags = {
        wheel.parent.name: re.findall(r"^Tag: (.*)$", wheel.read_text(encoding="utf-8"), re.MULTILINE)
        for wheel in DEPENDENCIES.glob("*.dist-info/WHEEL")
    }
    assert tags
    built_here = {name for name, found in tags.items() if any(re.search(r"-linux_\w+$", t) for t in found)}
    assert not built_here, built_here


@pytest.mark.parametrize(
    ("build", "missing"),
    [
        ("gcc -o target/a a.c", "gcc: gcc is not listed"),
        ("true || (cd x && make)", "make: make is not listed"),
        ("python3 -m venv target/venv", "python3 -m venv: python3-venv is not listed"),
        ("unheard-of target", "unheard-of: no package is known"),
        ("cmp a b;unheard-of", "unheard-of: no package is known"),
    ],
)
def test_an_executable_that_no_listed_package_brings_is_found(build: str, missing: str) -> None:
    with pytest.raises(UnlistedError, match=missing):
        check_listed(executables(build), deploy()["packages"], BROUGHT_BY)


def test_a_package_that_is_not_listed_any_more_is_found() -> None:
    told = deploy()
    for package in ("diffutils", "python3-pip", "coreutils", "python3", "dash"):
        fewer = [name for name in told["packages"] if name != package]
        with pytest.raises(UnlistedError, match=f"{package} is not listed"):
            check_listed(executables(told["build"]) | {SHELL}, fewer, BROUGHT_BY)

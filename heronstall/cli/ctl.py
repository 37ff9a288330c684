"""`heronstall ctl`: the operator's orders to a running tier."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from heronstall.cli.common import BadInput, Missed
from heronstall.controlplane.client import ControlAnswer, ControlClient, NoAnswer

if TYPE_CHECKING:
    from heronstall.overview.state import Overview

CONTROL = click.option(
    "--control",
    "addresses",
    multiple=True,
    required=True,
    help="HOST:PORT of a control node; may come again.",
)
WITHIN = click.option("--within", default=10.0, show_default=True, help="Seconds to try for.")
JSON = click.option("--json", "as_json", is_flag=True, help="The answer as JSON.")


@click.group()
def ctl() -> None:
    """Give orders to a running tier: its configuration, its storage nodes."""


@ctl.command("status")
@click.option(
    "--node",
    "addresses",
    multiple=True,
    required=True,
    help="IP:PORT of a core node for messages between nodes (its first of port_range); may come again.",
)
@JSON
def status(addresses: tuple[str, ...], as_json: bool) -> None:
    """Show nodes, owners of batch shards, services and the configuration in force.

    Exit 1 where something needs attention: it is listed last.

    Example: heronstall ctl status --node 10.1.0.13:7720 --node 10.2.0.43:7720
    """
    import asyncio

    from heronstall.overview.collector import NoCoreNodeError, collect_overview

    for address in addresses:
        if not _is_address(address):
            raise BadInput(f"--node {address}: IP:PORT is wanted")
    try:
        found = asyncio.run(collect_overview(addresses))
    except NoCoreNodeError as error:
        raise Missed(f"no core node in touch answers at {error}") from None
    if as_json:
        click.echo(json.dumps(found.record()))
    else:
        _show(found)
    problems = found.problems()
    if problems:
        raise Missed("; ".join(problems))


def _show(found: Overview) -> None:
    """Print an overview, a line a node, shard or service."""
    click.echo(f"configuration  revision {found.revision}, {found.dispatchers} dispatchers with a session")
    for node in found.control:
        versions = ", ".join(f"{name} {version}" for name, version in sorted(node.versions.items()))
        click.echo(f"core node      {node.address}: {node.state.value}  {versions}".rstrip())
    for shard in found.batch:
        for replica in shard.replicas:
            role = "owner" if replica.owner else replica.state.value
            click.echo(f"{shard.shard:<14} {replica.replica}: {role}")
    for service in found.services:
        ready = f"{service.ready} ready workers with {service.capacity} places"
        others = f"{service.draining} draining, {service.routes} routes"
        click.echo(f"service        {service.service}: {ready}, {others}")


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65536


@ctl.group("config")
def config() -> None:
    """Check, show and change the configuration."""


def _call(addresses: tuple[str, ...], within: float, *order: Any) -> ControlAnswer:
    for address in addresses:
        if not _is_address(address):
            raise BadInput(f"--control {address}: HOST:PORT is wanted")
    try:
        return ControlClient(addresses, within).call(*order)
    except NoAnswer as error:
        raise Missed(f"no clear answer within {within:g} s; last: {error}") from None


def _refused(answer: ControlAnswer) -> Missed:
    try:
        said = json.loads(answer.body)
        text = f"code {said['code']}: {said['error']}" if "code" in said else str(said.get("error"))
    except (ValueError, TypeError, AttributeError):
        text = ""
    return Missed(f"{answer.address} answers {answer.status} {text}".rstrip())


@config.command("check")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--above", default=0, help="The revision that it is to follow.")
def check(file: Path, above: int) -> None:
    """Check FILE as a node would, without any node.

    Example: heronstall ctl config check routes.json --above 7
    """
    from result import Err

    from heronstall.controlplane.state import documents, operator_config

    try:
        body = file.read_bytes()
    except OSError as error:
        raise BadInput(f"{file}: {error.strerror}") from None
    read = documents.read_object(body)
    found = read if isinstance(read, Err) else operator_config.checked(read.ok_value, above)
    if isinstance(found, Err):
        code, text = found.err_value
        raise BadInput(f"{file}: {int(code)} {code.name}: {text}")
    valid = found.ok_value
    click.echo(f"{file}: fine (revision {valid.revision}, {len(valid.routes)} routes)")


@config.command("show")
@CONTROL
@WITHIN
def show(addresses: tuple[str, ...], within: float) -> None:
    """Print the newest configuration.

    Example: heronstall ctl config show --control 10.1.0.13:8166
    """
    answer = _call(addresses, within, "GET", "/-/config")
    if answer.status != 200:
        raise _refused(answer)
    click.echo(json.dumps(json.loads(answer.body), indent=2))


@config.command("apply")
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--on", "base", type=int, required=True, help="The revision that FILE was made from; 0: the first."
)
@click.option("--patch", is_flag=True, help="FILE holds named items to change, not the whole.")
@CONTROL
@WITHIN
@JSON
def apply(
    file: Path, base: int, patch: bool, addresses: tuple[str, ...], within: float, as_json: bool
) -> None:
    """Bring the configuration in FILE into force.

    Example: heronstall ctl config apply routes.json --on 7 --control 10.1.0.13:8166
    """
    try:
        body = file.read_bytes()
    except OSError as error:
        raise BadInput(f"{file}: {error.strerror}") from None
    answer = _call(addresses, within, "PATCH" if patch else "PUT", "/-/config", body, str(base))
    if answer.status != 200:
        raise _refused(answer)
    said = json.loads(answer.body)
    click.echo(json.dumps(said) if as_json else f"revision {said.get('revision')} is in force")


@ctl.command("retire")
@click.argument("node")
@click.option("--deadline", default=60.0, show_default=True, help="Seconds that emptying may take.")
@click.option("--status", "only_status", is_flag=True, help="Only say how far it is.")
@CONTROL
@WITHIN
@JSON
def retire(
    node: str, deadline: float, only_status: bool, addresses: tuple[str, ...], within: float, as_json: bool
) -> None:
    """Empty the storage machine NODE so that it can be taken away.

    Example: heronstall ctl retire storage-a-1 --control 10.1.0.13:8166
    """
    path = f"/-/retire/{node}"
    if not only_status:
        body = json.dumps({"deadline_s": deadline}).encode()
        answer = _call(addresses, within, "POST", path, body)
        if answer.status != 200:
            raise _refused(answer)
    answer = _call(addresses, within, "GET", path)
    if answer.status != 200:
        raise _refused(answer)
    said = json.loads(answer.body)
    click.echo(json.dumps(said) if as_json else f"{node}: {said.get('state')}")

"""`heronstall keep`: a machine's dispatchers."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import click

from heronstall.cli.common import BadInput
from heronstall.records import RecordsError, load


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--wait", default=10.0, show_default=True, help="Seconds for a keeper before this one to end.")
def keep(file: Path, wait: float) -> None:
    """Run this machine's dispatchers as FILE says, in the foreground. SIGTERM ends the keeper alone.

    Example: heronstall keep deploy/keeper.cue
    """
    from heronstall.keeper.calls import CallError
    from heronstall.keeper.log import JournalError, JournalLocked
    from heronstall.keeper.release import ReleaseError
    from heronstall.keeper.supervisor import Supervisor, parse_supervisor_config
    from heronstall.operator import OperatorSettings, start_logging

    start_logging(OperatorSettings())
    try:
        record = load(file, ("keeper",))[1]
    except RecordsError as error:
        raise BadInput(str(error)) from None

    async def run() -> None:
        done = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, done.set)
        until = asyncio.get_running_loop().time() + wait
        while True:
            try:
                keeper = Supervisor(parse_supervisor_config(record, file.resolve().parent))
                break
            except JournalLocked:
                if asyncio.get_running_loop().time() > until or done.is_set():
                    raise
                await asyncio.sleep(0.05)
        await keeper.run(done)

    try:
        asyncio.run(run())
    except (JournalError, ReleaseError, CallError) as error:
        raise BadInput(str(error)) from None
    except OSError as error:
        raise BadInput(f"cannot keep: {error}") from None

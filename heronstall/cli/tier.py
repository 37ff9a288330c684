"""`heronstall tier`: a whole serving tier on this machine."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from heronstall.cli.common import BadInput, Missed, loopback_address, write_json

if TYPE_CHECKING:
    from heronstall.lab.tier.demo import Step
    from heronstall.lab.tier.plan import Plan, Sizes
    from heronstall.lab.tier.tier import LocalTier
    from heronstall.report.misses import TimeInterval

LOOK = 0.5  # seconds between looks at the processes


@click.group()
def tier() -> None:
    """Run a small serving tier of real processes on this machine's loopback addresses."""


def _sizes(cores: int, stores: int, edges: int, workers: int) -> Sizes:
    from heronstall.lab.tier.plan import PlanError, Sizes

    try:
        return Sizes(cores, stores, edges, workers)
    except PlanError as error:
        raise BadInput(f"--{error}") from None


def _plan(folder: Path, sizes: Sizes) -> tuple[Plan, bool]:
    """The plan of a folder, and whether it is started for the first time."""
    from heronstall.lab.tier.plan import PlanError, drawn, keep, kept

    try:
        folder.mkdir(parents=True, exist_ok=True)
        found = kept(folder)
        if found is None and any(folder.iterdir()):
            raise BadInput(f"--folder {folder}: there are files in it and none of them is a tier's plan")
        if found is not None and found.sizes != sizes:
            raise BadInput(f"--folder {folder}: it holds a tier of other sizes: {found.sizes.options()}")
        plan = found or drawn(folder, sizes)
        keep(plan)
    except PlanError as error:
        raise BadInput(str(error)) from None
    except OSError as error:
        raise BadInput(f"--folder {folder}: {error.strerror}") from None
    return plan, found is None


@contextlib.contextmanager
def _folder(given: Path | None) -> Iterator[Path]:
    if given is not None:
        yield given.resolve()
        return
    with tempfile.TemporaryDirectory(prefix="heronstall-tier-") as made:
        yield Path(made)


def _describe(plan: Plan) -> dict[str, str | list[str]]:
    from heronstall.lab.tier.client import HOST, LOTS, STREAM

    return {
        "folder": str(plan.folder),
        "control": plan.controls,
        "storage": plan.stores,
        "dispatchers": plan.fronts,
        "workers": plan.workers,
        "host": HOST,
        "streams": STREAM,
        "batch jobs": LOTS,
    }


def _show(plan: Plan) -> None:
    from heronstall.lab.tier.client import HOST, STREAM

    for name, value in _describe(plan).items():
        click.echo(f"{name:<12} {', '.join(value) if isinstance(value, list) else value}")
    click.echo(
        "\nA streamed request:\n"
        f"  curl -N -H 'Host: {HOST}' -H 'Heronstall-Request-Id: r1' -d prompt http://{plan.fronts[0]}{STREAM}x\n"
        "Load:\n"
        f"  heronstall tier load --to {','.join(plan.fronts)}\n"
        "The configuration:\n"
        f"  heronstall ctl config show --control {plan.controls[0]}\n"
        "Ctrl-C ends everything."
    )


@tier.command("up")
@click.option("--folder", type=click.Path(path_type=Path), help="Keeps the disks; else they go at the end.")
@click.option("--cores", default=3, show_default=True, help="Core nodes.")
@click.option("--stores", default=3, show_default=True, help="Storage nodes.")
@click.option("--edges", default=2, show_default=True, help="Dispatchers.")
@click.option("--workers", default=2, show_default=True, help="Stand-ins for model workers.")
@click.option(
    "--pause",
    type=click.FloatRange(min=0),
    default=0.1,
    show_default=True,
    help="Seconds between a worker's events.",
)
@click.option("--json", "as_json", is_flag=True, help="The addresses as one line of JSON.")
def up(
    folder: Path | None, cores: int, stores: int, edges: int, workers: int, pause: float, as_json: bool
) -> None:
    """Start a tier and keep it running until Ctrl-C. A FOLDER that was used before is taken up again.

    Example: heronstall tier up --folder /tmp/tier --edges 3
    """
    sizes = _sizes(cores, stores, edges, workers)
    with _folder(folder) as where:
        plan, first = _plan(where, sizes)

        def show() -> None:
            if as_json:
                click.echo(json.dumps(_describe(plan)))
            else:
                _show(plan)

        asyncio.run(_stay_up(plan, first, pause, show))


async def _stay_up(plan: Plan, first: bool, pause: float, show: Callable[[], None]) -> None:
    """Start, show, and wait for a signal. Raises Missed where a node ends by itself or nothing gets ready."""
    from heronstall.lab.tier.tier import LocalTier
    from heronstall.transport.waits import at_most

    local = LocalTier(plan, pause=pause)
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(name, ended.set)
    orderly = False
    try:
        await local.start(first)
        if not await _begin(local, first, ended):
            return
        show()
        while not ended.is_set():
            await at_most(ended, LOOK)
            _complain(local)
        orderly = True
    finally:
        await local.stop(orderly)


async def _begin(local: LocalTier, first: bool, ended: asyncio.Event) -> bool:
    """Wait until the tier serves, with a configuration if it has none; False where a signal came before."""
    from heronstall.lab.tier.client import configuration

    async def begin() -> None:
        if first:
            await local.client.configure(configuration(1), 0)
        await local.client.ready()

    begun = asyncio.create_task(begin())
    stop = asyncio.create_task(ended.wait())
    await asyncio.wait((begun, stop), return_when=asyncio.FIRST_COMPLETED)
    stop.cancel()
    if not begun.done():
        begun.cancel()
        return False
    _complain(local)
    try:
        begun.result()
    except TimeoutError:
        raise Missed(f"the tier does not serve; see the logs in {local.plan.folder}") from None
    return True


def _complain(local: LocalTier) -> None:
    for ip, status in local.nodes.ended().items():
        node = f"{local.plan.machine_class(ip)} node {ip}"
        raise Missed(f"{node} has ended with status {status}; its log is {local.plan.log(ip)}")


@tier.command("demo")
@click.option("--folder", type=click.Path(path_type=Path), help="Keeps disks and logs; else they go.")
@click.option("--json", "to", help="The report as JSON: a file, or - for standard output.")
def demo(folder: Path | None, to: str | None) -> None:
    """Half a minute of a tier: streams, batch jobs, lost disks, lost nodes; then an audit.

    Example: heronstall tier demo
    """
    from heronstall.lab.tier.demo import Demo
    from heronstall.lab.tier.tier import LocalTier

    quiet = to == "-"
    with _folder(folder) as where:
        plan, first = _plan(where, _sizes(3, 3, 2, 2))
        if not first:
            raise BadInput(f"--folder {where}: it holds a tier already; the demo starts a new one")

        async def play() -> Demo:
            local = LocalTier(plan)
            played = Demo(local, lambda step: None if quiet else _tell(step))
            try:
                await played.play()
            finally:
                await local.stop()
            return played

        played = asyncio.run(play())
        write_json(played.report(), to)
    if not played.kept:
        raise Missed(f"{played.steps[-1].name}: {played.steps[-1].why}")
    click.echo("audit: every promise kept", err=quiet)


@tier.command("load")
@click.option("--to", "targets", required=True, metavar="HOST:PORT,...", help="Dispatchers, in turn.")
@click.option("--rate", type=click.FloatRange(min=0.1, max=2000), default=50.0, show_default=True)
@click.option("--seconds", type=click.FloatRange(min=1, max=600), default=10.0, show_default=True)
@click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True, help="Of the arrivals.")
@click.option(
    "--items",
    type=click.IntRange(1, 200),
    help="Batch jobs of so many items in place of streamed requests; RATE counts jobs.",
)
@click.option("--json", "to", metavar="FILE", help="Write the record there; - is standard output.")
def load(targets: str, rate: float, seconds: float, seed: int, items: int | None, to: str | None) -> None:
    """Send streamed requests or batch jobs to a tier that is up, in open loop; loopback addresses only.

    Latency counts from the moment a request or job was due. Each job is read to its end, and once more at
    another dispatcher. Exit 1 where an answer was cut or unsigned, a job was lost or has changed, or where
    this tool itself ran late.

    Example: heronstall tier load --to 127.20.8.51:8161,127.20.8.52:8161 --rate 2 --items 30
    """
    addresses = [f"{host}:{port}" for host, port in map(loopback_address, targets.split(","))]
    if items is None:
        record, broken = _stream_load(addresses, rate, seconds, seed)
    else:
        record, broken = _batch_load(addresses, rate, seconds, seed, items)
    write_json(record, to)
    if to != "-":
        _tell_load(record)
    if broken:
        raise Missed(broken)
    if record["verdict"] != "measured":
        raise Missed(f"no verdict, {record['verdict']}")


def _stream_load(
    addresses: list[str], rate: float, seconds: float, seed: int
) -> tuple[dict[str, Any], str | None]:
    """The record of a load of streamed requests, and which promise it found broken."""
    from heronstall.lab.tier.load import MALFORMED, OpenLoop

    record = asyncio.run(OpenLoop(addresses, rate, seconds, seed).play())
    cut = record["came"].get(MALFORMED)
    return record, f"{cut} answers were cut or unsigned" if cut else None


def _batch_load(
    addresses: list[str], rate: float, seconds: float, seed: int, items: int
) -> tuple[dict[str, Any], str | None]:
    """The record of a load of batch jobs, and which promise it found broken."""
    from heronstall.lab.tier.batch_load import BatchLoop

    record = asyncio.run(BatchLoop(addresses, rate, seconds, seed, items).play())
    if record["broken"]:
        return record, record["broken"][0]
    undone = record["came"].get("not done")
    return record, f"{undone} accepted jobs were not done in time" if undone else None


def _tell_load(record: dict[str, Any]) -> None:
    """Print what came, and each list of percentiles."""
    came = ", ".join(f"{count} {name}" for name, count in record["came"].items())
    sent = f"{record['jobs']} jobs" if "jobs" in record else f"{record['requests']} requests"
    click.echo(f"{sent}: {came}")
    for name in [name for name in record if name.endswith("_ms")]:
        click.echo(f"  {name}: " + ", ".join(f"{k} {v:.1f}" for k, v in record[name].items()))


@tier.command("misses")
@click.argument("logs", type=click.Path(path_type=Path))
@click.option(
    "--moment",
    "moments",
    multiple=True,
    metavar="NAME:FROM:TO",
    help="A stretch of time to count apart, in seconds by the logs' clock; the first that fits counts.",
)
@click.option("--json", "as_json", is_flag=True, help="The table as JSON.")
def misses(logs: Path, moments: tuple[str, ...], as_json: bool) -> None:
    """Which requests missed their objective, by route, moment and reason. LOGS: a file, or a folder of *.log.

    Example: heronstall tier misses tier --moment burst:10:13
    """
    from heronstall.report.misses import LogError, count_misses, log_files, read_events

    named = [_moment(text) for text in moments]
    try:
        table = count_misses(read_events(log_files(logs)), named)
    except LogError as error:
        raise BadInput(str(error)) from None
    if as_json:
        click.echo(json.dumps(table.record()))
        return
    for line in table.lines():
        click.echo(line)


def _moment(text: str) -> TimeInterval:
    from heronstall.report.misses import TimeInterval

    name, begin, end = (text.rsplit(":", 2) + ["", ""])[:3]
    try:
        moment = TimeInterval(name, float(begin), float(end))
    except ValueError:
        raise BadInput(f"--moment {text}: NAME:FROM:TO is wanted, FROM and TO in seconds") from None
    if not name or not moment.begin < moment.end:
        raise BadInput(f"--moment {text}: a name is wanted, and FROM before TO")
    return moment


def _tell(step: Step) -> None:
    click.echo(f"{'kept  ' if step.kept else 'BROKEN'} {step.seconds:5.1f} s  {step.name}: {step.promise}")
    for name, value in step.figures.items():
        click.echo(f"                 {name}: {value:g}")

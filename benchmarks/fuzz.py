"""Every decoder of what another process, or a disk, hands us, fed with bytes that a fuzzer makes up.

    pip install -r requirements-fuzz.txt
    python -m benchmarks.fuzz DECODER [--seconds 60]

The fuzzer (atheris, libFuzzer's way of following coverage) begins with what the encoder writes and ends at
the first input that a decoder answers with anything but its own error, or that does not come back the same
when it is packed again; it writes that input to a file `crash-*`.
"""

from __future__ import annotations

import argparse
import random
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import atheris
import ujson

with atheris.instrument_imports(include=["heronstall"]):
    from heronstall.config import configuration
    from heronstall.knowledge import observations
    from heronstall.membership import messages
    from heronstall.net.connection import ConnectionEnded
    from heronstall.net.loop import Loop
    from heronstall.net.server_table import ServerTable
    from heronstall.ops import state_files
    from heronstall.start import snapshot
    from heronstall.takeover import messages as takeover_messages

CLUSTER, NODE, SERVICE = "c", "n0", "127.0.0.1:80"
AGE = 60_000_000  # of a snapshot, microseconds
CONFIG: dict[str, Any] = {
    "name": NODE,
    "listen": "127.0.0.1:8081",
    "discovery": SERVICE,
    "settings": {
        "areas": ["a", "b"],
        "balancers": 2,
        "discovery": "pushed",
        "loadReport": {"fields": ["x0"], "via": "pull"},
        "rules": {
            "graceToAnswer": 16000,
            "cold": 8000000,
            "coldFrom": 0.3,
            "fall": 1000000,
            "fallMultiple": 3,
        },
        "services": [
            {"name": "j", "aim": 150000, "deadline": 5000000, "effect": "safe", "group": "all", "worth": 1.0}
        ],
    },
}


class Decoder(NamedTuple):
    """One of them: its own errors, what it makes of bytes, that as bytes again (if asked), examples."""

    errors: tuple[type[Exception], ...]
    read: Callable[[bytes], Any]
    write: Callable[[Any], bytes] | None
    examples: tuple[bytes, ...]


def _member() -> Decoder:
    row = messages.Row(messages.State.SUSPECT, "n1", 7, "10.0.0.1", 8095, "a", messages.Duty.RELAY, "n2")
    sums = tuple(range(messages.CHECKSUM_COUNT))
    told = messages.Message("page", 3, row, "n1", 1, 2, (row, row), 9, sums)
    return Decoder(
        (messages.UnreadableMessage,),
        lambda data: messages.unpack(CLUSTER, data),
        lambda message: messages.pack(CLUSTER, message),
        (messages.pack(CLUSTER, told), messages.pack(CLUSTER, messages.Message("ping", 1, row))),
    )


def _word() -> Decoder:
    state = takeover_messages.State(
        5, 1, "n0", 7, takeover_messages.Phase.WRITING, "w1", 1, "", "", "ab", "n0/7/1"
    )
    told = takeover_messages.Message(
        "put", "0/k", 5, 1, state, True, False, takeover_messages.Job(0, 10**6, "{}")
    )
    return Decoder(
        (takeover_messages.UnreadableMessage,),
        takeover_messages.unpack,
        takeover_messages.pack,
        (takeover_messages.pack(told), takeover_messages.pack(takeover_messages.Message("ask", "0/k"))),
    )


def _snapshot() -> Decoder:
    told = {"rev": 3, "all": True, "targets": [{"uid": "s-1", "endpoint": "10.0.0.1:80", "state": "SERVING"}]}
    return Decoder(
        (snapshot.UnusableSnapshot,),
        lambda data: snapshot.unpack(NODE, SERVICE, data, AGE, AGE),
        None,  # keys that are not known are dropped
        (snapshot.pack(NODE, SERVICE, AGE // 2, told),),
    )


def _sight() -> Decoder:
    return Decoder(
        (observations.UnreadableMessage,),
        observations.unpack,
        None,
        (observations.pack(observations.Message("n0", (1, 2), ())),),
    )


def _state() -> Decoder:
    bans = [("s-1", state_files.TimedFlag(5, True)), ("s-2", state_files.TimedFlag(6, False))]
    told = state_files.State(bans, state_files.TimedFlag(7, True))
    return Decoder(
        (ValueError,),
        lambda data: state_files.unpack(NODE, data),
        None,
        (state_files.pack(NODE, told),),
    )


def _list() -> Decoder:
    loop = Loop()

    def read(data: bytes) -> None:
        try:
            told = ujson.loads(data)
        except ValueError:
            return  # who reads the connection has its own word for it
        ServerTable(configuration(CONFIG), loop, 0, lambda told: None).take(told, relayed=True)

    row = {"uid": "s-1", "endpoint": "10.0.0.1:80", "state": "SERVING", "boot_ms": 7, "capacity_hint": 2.0}
    whole = {"rev": 3, "all": True, "targets": [{**row, "az": "a", "model": "m", "pod_group": 1}]}
    return Decoder((ConnectionEnded,), read, None, (ujson.dumps(whole).encode(),))


DECODERS = {
    "member": _member,
    "word": _word,
    "snapshot": _snapshot,
    "sight": _sight,
    "state": _state,
    "list": _list,
}


def main() -> None:
    """The command."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("decoder", choices=DECODERS)
    parser.add_argument("--seconds", type=int, default=60)
    args = parser.parse_args()
    decoder = DECODERS[args.decoder]()

    def one(data: bytes) -> None:
        try:
            told = decoder.read(data)
        except decoder.errors:
            return
        if decoder.write is not None:
            again = decoder.read(decoder.write(told))
            if again != told:
                raise AssertionError(f"{told!r} comes back as {again!r}")

    with tempfile.TemporaryDirectory(prefix="heronstall-fuzz-") as corpus:
        draw = random.Random(1)
        for n, example in enumerate(decoder.examples):
            one(example)  # an example that is not read would show nothing
            Path(corpus, f"whole-{n}").write_bytes(example)
            for k in range(4):
                Path(corpus, f"cut-{n}-{k}").write_bytes(example[: draw.randrange(len(example))])
        atheris.Setup([sys.argv[0], f"-max_total_time={args.seconds}", "-max_len=4096", corpus], one)
        atheris.Fuzz()


if __name__ == "__main__":
    main()

"""The simulator adapter: hosts balancer instances that read batches from stdin and reply on stdout."""

from __future__ import annotations

import gc
import sys
import traceback
from typing import TextIO

from heronstall.decide import Balancer
from heronstall.interface import Event
from heronstall.wire import (
    READERS,
    Codec,
    WireError,
    decode_topology,
    encode,
    parse_integer,
    parse_settings_object,
)


class Host:
    """The balancer instances of one process, which share nothing but this loop."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self._source = source
        self._sink = sink
        self._nodes: dict[int, tuple[Codec, Balancer]] = {}

    def run(self) -> None:
        """Answers batches until the input ends. Raises WireError for malformed input."""
        while True:
            line = self._source.readline()
            if not line:
                return
            if line == "\n":
                continue
            parts = line.split()
            if len(parts) < 2 or parts[0] != "TICK":
                raise WireError(f"a batch starts with TICK and the time, not {line.strip()[:80]!r}")
            self._read_batch(parse_integer(parts[1]))

    def _read_line(self) -> str:
        line = self._source.readline()
        if not line.endswith("\n"):
            raise WireError("the input ended inside a batch")
        return line

    def _read_batch(self, now: int) -> None:
        pending: dict[int, list[Event]] = {}
        while True:
            line = self._read_line()
            parts = line.split()
            name = parts[0] if parts else ""
            if name == "EOB":
                break
            reader = READERS.get(name)
            if reader is not None:
                if len(parts) < reader[0]:
                    raise WireError(f"{name} requires {reader[0] - 1} values, got {len(parts) - 1}")
                node = parse_integer(parts[1])
                event = reader[1](self._codec_of(node), parts)
                if event is not None:
                    pending.setdefault(node, []).append(event)
            elif name == "TOPOLOGY":
                if len(parts) < 5:
                    raise WireError(f"TOPOLOGY requires 4 values, got {len(parts) - 1}")
                node, count = parse_integer(parts[1]), parse_integer(parts[4])
                self._codec_of(node)
                rows = [self._read_line().split() for _ in range(count)]
                pending.setdefault(node, []).append(decode_topology(parts, [row or [""] for row in rows]))
            elif name == "LAUNCH":
                fields = line.rstrip("\n").split(" ", 3)
                if len(fields) < 4:
                    raise WireError("LAUNCH requires an instance, a seed and settings")
                codec = Codec(parse_settings_object(fields[3]))
                node = parse_integer(fields[1])
                self._nodes[node] = (codec, Balancer(codec.settings, parse_integer(fields[2])))
                pending[node] = []
            elif name == "KILL":
                if len(parts) < 2:
                    raise WireError("KILL requires an instance")
                node = parse_integer(parts[1])
                self._nodes.pop(node, None)
                pending.pop(node, None)
            else:
                raise WireError(f"unknown message {name!r}")
        self._write_replies(now, pending)

    def _codec_of(self, node: int) -> Codec:
        try:
            return self._nodes[node][0]
        except KeyError:
            raise WireError(f"event for instance {node}, which is not running") from None

    def _write_replies(self, now: int, pending: dict[int, list[Event]]) -> None:
        lines: list[str] = []
        for node, events in pending.items():
            try:
                lines += [encode(node, action) for action in self._nodes[node][1].handle(now, events)]
            except Exception as error:  # the protocol reports any failure of the decisions
                text = " ".join(f"{type(error).__name__}: {error}".split())
                lines.append(f"BUG {node} {text}")
                traceback.print_exc(file=sys.stderr)
        lines.append("FINISHED\n")
        self._sink.write("\n".join(lines))
        self._sink.flush()


def main() -> int:
    """Runs on the standard streams; returns 0 if the input ends between batches, else 2."""
    gc.freeze()
    gc.set_threshold(50_000, 20, 100)
    try:
        Host(sys.stdin, sys.stdout).run()
    except WireError as error:
        print(f"heronstall: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())

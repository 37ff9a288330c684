"""The simulator's adapter: reads batches on standard input, hosts the instances, writes replies."""

from __future__ import annotations

import gc
import sys
import traceback
from typing import TextIO

from heronstall.decide import Balancer
from heronstall.interface import Event
from heronstall.wire import READERS, Codec, WireError, config_object, encode, integer, topology


class Host:
    """The instances of one process. They share nothing but this loop."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self._source = source
        self._sink = sink
        self._nodes: dict[int, tuple[Codec, Balancer]] = {}

    def run(self) -> None:
        """Answer batches until the input ends; raises WireError for what is malformed."""
        while True:
            line = self._source.readline()
            if not line:
                return
            if line == "\n":
                continue
            parts = line.split()
            if len(parts) < 2 or parts[0] != "TICK":
                raise WireError(f"a batch begins with TICK and the time, not {line.strip()[:80]!r}")
            self._batch(integer(parts[1]))

    def _line(self) -> str:
        line = self._source.readline()
        if not line.endswith("\n"):
            raise WireError("the input ended inside a batch")
        return line

    def _batch(self, now: int) -> None:
        waiting: dict[int, list[Event]] = {}
        while True:
            line = self._line()
            parts = line.split()
            name = parts[0] if parts else ""
            if name == "EOB":
                break
            reader = READERS.get(name)
            if reader is not None:
                if len(parts) < reader[0]:
                    raise WireError(f"{name} wants {reader[0] - 1} values and has {len(parts) - 1}")
                node = integer(parts[1])
                event = reader[1](self._codec(node), parts)
                if event is not None:
                    waiting.setdefault(node, []).append(event)
            elif name == "TOPOLOGY":
                if len(parts) < 5:
                    raise WireError(f"TOPOLOGY wants 4 values and has {len(parts) - 1}")
                node, count = integer(parts[1]), integer(parts[4])
                self._codec(node)
                rows = [self._line().split() for _ in range(count)]
                waiting.setdefault(node, []).append(topology(parts, [row or [""] for row in rows]))
            elif name == "LAUNCH":
                words = line.rstrip("\n").split(" ", 3)
                if len(words) < 4:
                    raise WireError("LAUNCH wants an instance, a seed and settings")
                codec = Codec(config_object(words[3]))
                node = integer(words[1])
                self._nodes[node] = (codec, Balancer(codec.settings, integer(words[2])))
                waiting[node] = []
            elif name == "KILL":
                if len(parts) < 2:
                    raise WireError("KILL wants an instance")
                node = integer(parts[1])
                self._nodes.pop(node, None)
                waiting.pop(node, None)
            else:
                raise WireError(f"{name!r} is not a known message")
        self._reply(now, waiting)

    def _codec(self, node: int) -> Codec:
        try:
            return self._nodes[node][0]
        except KeyError:
            raise WireError(f"an event names instance {node}, which is not running") from None

    def _reply(self, now: int, waiting: dict[int, list[Event]]) -> None:
        out: list[str] = []
        for node, events in waiting.items():
            try:
                out += [encode(node, action) for action in self._nodes[node][1].handle(now, events)]
            except Exception as error:  # the simulator wants to be told of any failure of the decisions
                text = " ".join(f"{type(error).__name__}: {error}".split())
                out.append(f"BUG {node} {text}")
                traceback.print_exc(file=sys.stderr)
        out.append("FINISHED\n")
        self._sink.write("\n".join(out))
        self._sink.flush()


def main() -> int:
    """Run on the standard streams; 0 when the input ended between batches."""
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

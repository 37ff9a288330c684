"""A model worker's engine in virtual time: steps, reading of prompts, a cache of their parts.

Prompts are read in order of arrival, a chunk in each step, and every running request gets one token a step: a
long prompt slows the streams of all others beside it. Tokens reach a caller in events of `stride` tokens.
Times are seconds, unless a name ends in `_at`, which is microseconds of the model's clock.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from heronstall.model.kernel import Due, VirtualTime

MICROSECONDS = 1_000_000
THOUSAND = 1000
MILLION = 1_000_000


class PromptPart(NamedTuple):
    """A part of a prompt: its name, and its tokens."""

    name: str
    tokens: int


@dataclass(frozen=True)
class EngineSpec:
    """An engine's capacity and speed."""

    places: int = 12
    queue: int = 36
    step: float = 0.00185
    step_per_request: float = 0.00000967
    step_per_thousand_tokens: float = 0.00000508  # of all running requests
    tokens_per_second: float = 128_000.0  # read from prompts
    pair_seconds_per_million: float = 0.000000183 * 1000  # token pairs of a prompt
    chunk: int = 2048  # prompt tokens of one step
    stride: int = 21  # tokens of one event
    cache_tokens: int = 368_944


@dataclass(eq=False)
class EngineRequest:
    """A request at an engine."""

    parts: tuple[PromptPart, ...]
    output: int  # tokens
    first: Callable[[], None]  # its first event has been made
    done: Callable[[], None]
    to_read: int = 0
    made: int = 0  # tokens
    event_at: float = 0.0  # microseconds: latest event
    longest_gap: float = 0.0  # seconds between two events
    context: int = field(init=False)

    def __post_init__(self) -> None:
        self.context = sum(part.tokens for part in self.parts)


class PartCache:
    """Parts of prompts that were read; those unused the longest give way. A part needs its parents."""

    def __init__(self, tokens: int) -> None:
        self._most = tokens
        self._kept: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def found(self, parts: Iterable[PromptPart]) -> int:
        """Tokens at the beginning of a prompt that need not be read."""
        tokens = 0
        for part in parts:
            if part.name not in self._kept:
                break
            self._kept.move_to_end(part.name)
            tokens += part.tokens
        return tokens

    def keep(self, parts: Iterable[PromptPart], running: int) -> None:
        """Keep a prompt that was read, beside so many tokens of running requests."""
        for part in parts:
            if part.name not in self._kept:
                self._kept[part.name] = part.tokens
                self._tokens += part.tokens
            self._kept.move_to_end(part.name)
        while self._kept and self._tokens > self._most - running:
            _, tokens = self._kept.popitem(last=False)
            self._tokens -= tokens


class Engine:
    """One engine."""

    def __init__(self, time: VirtualTime, spec: EngineSpec) -> None:
        self._time, self._spec = time, spec
        self._queue: deque[EngineRequest] = deque()
        self._reading: deque[EngineRequest] = deque()
        self._running: list[EngineRequest] = []
        self._cache = PartCache(spec.cache_tokens)
        self._plan: Due | None = None
        self._began_at = 0
        self._steps, self._step = 0, 0.0
        self.read = 0  # prompt tokens
        self.found = 0  # prompt tokens that were in the cache
        self.busy = 0.0  # seconds in which a prompt was read

    @property
    def load(self) -> int:
        """Requests here."""
        return len(self._queue) + len(self._reading) + len(self._running)

    @property
    def backlog(self) -> int:
        """Prompt tokens that wait to be read."""
        return sum(request.to_read for request in self._reading)

    def submit(self, request: EngineRequest) -> bool:
        """Take a request; False where all places and the queue are full."""
        if self.load >= self._spec.places + self._spec.queue:
            return False
        self._queue.append(request)
        if self._plan is None:
            self._admit()
            self._begin()
        else:
            self._shorten()
        return True

    def _admit(self) -> None:
        while self._queue and len(self._reading) + len(self._running) < self._spec.places:
            request = self._queue.popleft()
            found = self._cache.found(request.parts)
            request.to_read = max(1, request.context - found)
            self.found += found
            self.read += request.to_read
            self._reading.append(request)

    def _begin(self) -> None:
        """Plan the next step, or all steps until the next request is done where no prompt is being read."""
        if not self._reading and not self._running:
            self._plan = None
            return
        spec = self._spec
        context = sum(r.context + r.made for r in self._running)
        self._step = (
            spec.step
            + spec.step_per_request * (len(self._running) + len(self._reading))
            + spec.step_per_thousand_tokens * context / THOUSAND
        )
        if self._reading:
            self._steps = 1
            self._step += self._reading_time()
            self.busy += self._step
        else:
            self._steps = min(r.output - r.made for r in self._running)
        self._began_at = self._time.now
        self._plan = self._time.at(self._end_at(self._steps), self._finish)

    def _reading_time(self) -> float:
        left, seconds = self._spec.chunk, 0.0
        for request in self._reading:
            piece = min(left, request.to_read)
            before = request.context - request.to_read
            pairs = piece * (before + piece / 2)
            seconds += piece / self._spec.tokens_per_second
            seconds += pairs / MILLION * self._spec.pair_seconds_per_million
            left -= piece
            if not left:
                break
        return seconds

    def _end_at(self, steps: int) -> int:
        return self._began_at + math.ceil(steps * self._step * MICROSECONDS)

    def _shorten(self) -> None:
        """A request has come: what is planned ends with the step in hand."""
        passed = (self._time.now - self._began_at) / MICROSECONDS
        steps = max(1, math.ceil(passed / self._step))
        if steps < self._steps and self._plan is not None:
            self._plan.cancel()
            self._steps = steps
            self._plan = self._time.at(self._end_at(steps), self._finish)

    def _finish(self) -> None:
        read = self._read_chunk()
        done = [request for request in self._running if self._make(request, self._steps)]
        self._running = [request for request in self._running if request.made < request.output]
        for request in read:
            request.made, request.event_at = 1, self._time.now
            request.first()
            if request.made < request.output:
                self._running.append(request)
            else:
                done.append(request)
        for request in done:
            request.done()
        self._admit()
        self._begin()

    def _read_chunk(self) -> list[EngineRequest]:
        """Read a step's chunk; the requests whose prompts are whole by it."""
        left, whole = self._spec.chunk, []
        while self._reading and left:
            request = self._reading[0]
            piece = min(left, request.to_read)
            request.to_read -= piece
            left -= piece
            if request.to_read:
                break
            self._reading.popleft()
            self._cache.keep(request.parts, sum(r.context + r.made for r in self._running))
            whole.append(request)
        return whole

    def _make(self, request: EngineRequest, steps: int) -> bool:
        """Give a request its tokens of some steps; whether it is done."""
        stride = self._spec.stride
        before = (request.made - 1) // stride
        request.made += steps
        events = (request.made - 1) // stride - before
        if events:
            into = request.made - 1 - (before + 1) * stride  # steps since its first event of these
            first_event_at = self._time.now - into * self._step * MICROSECONDS
            gap = (first_event_at - request.event_at) / MICROSECONDS
            if events > 1:
                gap = max(gap, stride * self._step)
            request.longest_gap = max(request.longest_gap, gap)
            since = (request.made - 1) % stride
            request.event_at = self._time.now - since * self._step * MICROSECONDS
        if request.made < request.output:
            return False
        gap = (self._time.now - request.event_at) / MICROSECONDS
        request.longest_gap = max(request.longest_gap, gap)
        return True

"""The jobs of a batch shard, built from its log: accepted jobs, positioned results and ended jobs."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum

from heronstall.batch.fields import encode_length_delimited
from heronstall.batch.items import StoredItem, encode_with_items, set_stored_items, stored_items
from heronstall.transport.messages import (
    BatchJob,
    BatchState,
    ItemResult,
    ItemResults,
    JobNames,
    JobState,
)

ITEM_OVERHEAD = 200  # bytes of memory per item besides its encoded form
JOBS_FIELD = 1  # of BatchState
JOB_FIELD = 1  # of JobState
RESULT_OVERHEAD = 300  # bytes of memory per result besides its text


class Command(IntEnum):
    """The first byte of a command."""

    ACCEPT = 1
    RESULTS = 2
    END = 3
    FORGET = 4


def encode_accept(job: BatchJob) -> bytes:
    """Returns the command that accepts a job."""
    return bytes([Command.ACCEPT]) + bytes(job)


def encode_results(item_results: list[ItemResult]) -> bytes:
    """Returns the command that appends results to their jobs."""
    return bytes([Command.RESULTS]) + bytes(ItemResults(item_results))


def encode_end(job: str) -> bytes:
    """Returns the command that ends a job."""
    return bytes([Command.END]) + job.encode()


def encode_forget(jobs: list[str]) -> bytes:
    """Returns the command that removes jobs that are no longer retained."""
    return bytes([Command.FORGET]) + bytes(JobNames(jobs))


def _encode_job_state(job: Job) -> bytes:
    """Returns the encoded JobState of a job."""
    record = encode_length_delimited(JOB_FIELD, encode_with_items(job.record, job.open_items))
    return record + bytes(JobState(results=job.results, ended=job.ended))


def _item_memory(item: StoredItem) -> int:
    return len(item.encoded) + ITEM_OVERHEAD


@dataclass
class Job:
    """A batch job. The item lists of its record are empty; `open_items` and `results` replace them."""

    record: BatchJob
    accepted_at: float  # seconds on this node's monotonic clock
    open_items: dict[str, StoredItem] = field(default_factory=dict)
    results: list[ItemResult] = field(default_factory=list)
    ended: bool = False

    @property
    def total(self) -> int:
        """Number of items."""
        return len(self.results) + len(self.open_items)

    @property
    def is_finished(self) -> bool:
        """Whether no work is left."""
        return self.ended or not self.open_items


class JobListener:
    """Receives the changes of a shard. The default implementation ignores them."""

    def on_reset(self) -> None:
        """Called when all jobs may have changed."""

    def on_job_accepted(self, job: Job) -> None:
        """Called when a job was accepted."""

    def on_result_recorded(self, job: Job, item: str) -> None:
        """Called when an item has got its result."""

    def on_job_ended(self, job: Job) -> None:
        """Called when a job was ended."""


class BatchShard:
    """The state machine of a batch shard.

    Both clocks return seconds; the steady one is the clock of `Job.accepted_at`. The default is the
    `time` module's at the time of construction.
    """

    def __init__(
        self,
        steady_clock: Callable[[], float] | None = None,
        wall_clock: Callable[[], float] | None = None,
    ) -> None:
        self.jobs: dict[str, Job] = {}
        self.waiting_tokens: Counter[str] = Counter()  # by route
        self.memory_bytes = 0  # approximate size of items and result texts
        self.listener = JobListener()
        self._steady_clock = steady_clock or time.monotonic
        self._wall_clock = wall_clock or time.time

    def apply(self, index: int, data: bytes) -> bool:
        """Applies a command and returns whether it changed anything."""
        kind, body = data[0], data[1:]
        if kind == Command.ACCEPT:
            return self._accept_job(BatchJob().parse(body))
        if kind == Command.RESULTS:
            for result in ItemResults().parse(body).results:
                self._record_result(result)
            return True
        if kind == Command.END:
            return self._end_job(body.decode())
        if kind == Command.FORGET:
            return self._forget_jobs(JobNames().parse(body).jobs)
        return False  # a command of a newer release

    def dump(self) -> bytes:
        """Returns the encoded state."""
        return b"".join(
            encode_length_delimited(JOBS_FIELD, _encode_job_state(job)) for job in self.jobs.values()
        )

    def restore(self, state: bytes) -> None:
        """Replaces the state by an encoded one."""
        self.jobs.clear()
        self.waiting_tokens.clear()
        self.memory_bytes = 0
        for job_state in BatchState().parse(state).jobs:
            job = self._add_job(job_state.job)
            job.results, job.ended = list(job_state.results), job_state.ended
            self.memory_bytes += sum(len(result.text) + RESULT_OVERHEAD for result in job.results)
            if not job.ended:
                self.waiting_tokens[job.record.route] += sum(item.tokens for item in job.open_items.values())
        self.listener.on_reset()

    def _add_job(self, record: BatchJob) -> Job:
        age = max(0.0, self._wall_clock() - record.accepted_unix_ms / 1000)
        job = Job(record, self._steady_clock() - age, stored_items(record))
        set_stored_items(record, {})
        self.jobs[record.id] = job
        self.memory_bytes += sum(map(_item_memory, job.open_items.values()))
        return job

    def _accept_job(self, record: BatchJob) -> bool:
        if record.id in self.jobs:
            return False
        job = self._add_job(record)
        self.waiting_tokens[record.route] += sum(item.tokens for item in job.open_items.values())
        self.listener.on_job_accepted(job)
        return True

    def _record_result(self, result: ItemResult) -> None:
        job = self.jobs.get(result.job)
        if job is None:
            return
        item = job.open_items.pop(result.item, None)
        if item is None:
            return  # a result and its position never change
        job.results.append(result)
        self.memory_bytes += len(result.text) + RESULT_OVERHEAD - _item_memory(item)
        if not job.ended:
            self.waiting_tokens[job.record.route] -= item.tokens
        self.listener.on_result_recorded(job, result.item)

    def _end_job(self, name: str) -> bool:
        job = self.jobs.get(name)
        if job is None or job.ended:
            return False
        job.ended = True
        self.waiting_tokens[job.record.route] -= sum(item.tokens for item in job.open_items.values())
        self.listener.on_job_ended(job)
        return True

    def _forget_jobs(self, names: list[str]) -> bool:
        for name in names:
            job = self.jobs.pop(name, None)
            if job is None:
                continue
            self.memory_bytes -= sum(len(result.text) + RESULT_OVERHEAD for result in job.results)
            self.memory_bytes -= sum(map(_item_memory, job.open_items.values()))
            if not job.ended:
                self.waiting_tokens[job.record.route] -= sum(item.tokens for item in job.open_items.values())
        return True

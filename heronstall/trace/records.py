"""Encodes events and actions of the decision module into the columns of a block, and decodes them. No I/O.

The records of an open block are kept as objects and are encoded column by column only when the block is
closed: one protobuf message per record cost several times as much.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterator, Sequence
from itertools import repeat
from operator import sub
from typing import Any, NamedTuple, Union

from heronstall import interface as i
from heronstall.trace import trace_pb2 as pb

STATUSES: tuple[i.Status, ...] = (
    "ok",
    "error",
    "rejected",
    "timeout",
    "no_connection",
    "reset",
    "cancelled",
    "not_sent",
)
SCOPES = ("changes", "complete", "persisted", "error")
STATES = ("active", "leaving", "left")
UINT32_MAX = 2**32 - 1  # durations in microseconds and other values are stored as uint32
ARRIVAL, SEND, NOTE, OUTCOME, REFUSAL, FAILURE, SERVERS, PROBE, GONE, CANCEL = range(5, 15)
KINDS: dict[type, int] = {
    i.Arrival: ARRIVAL,
    i.Send: SEND,
    i.JobNote: NOTE,
    i.Outcome: OUTCOME,
    i.Refuse: REFUSAL,
    i.Fail: FAILURE,
    i.WorkerList: SERVERS,
    i.ProbeResult: PROBE,
    i.ClientGone: GONE,
    i.Cancel: CANCEL,
}
_STATUS = {status: n for n, status in enumerate(STATUSES)}
_SCOPE = {scope: n for n, scope in enumerate(SCOPES)}
_STATE = {state: n for n, state in enumerate(STATES)}
_REPORT_FIELDS = ("util", "inflight", "queued", "free_slots", "free_memory")

Content = Union[i.Event, i.Action]


class TraceRecord(NamedTuple):
    """One record of a trace, with its time on the dispatcher's clock in microseconds."""

    at: int
    content: Content


class ColumnError(ValueError):
    """The columns of a block are inconsistent."""


def hash_key(key: str) -> int:
    """Returns the hash that a trace stores in place of a request's key; never 0."""
    return int.from_bytes(hashlib.blake2b(key.encode(), digest_size=8).digest(), "little") or 1


def _clamp_to_uint32(values: list[int]) -> list[int]:
    """Returns the values clamped to the range of uint32."""
    if min(values) >= 0 and max(values) <= UINT32_MAX:
        return values
    return [0 if value < 0 else UINT32_MAX if value > UINT32_MAX else value for value in values]


# ------------------------------------------------------------------ encoding


def _encode_reports(out: pb.Reports, rows: list[i.Report | None]) -> None:
    out.there = bytes(row is not None for row in rows)
    there = [row for row in rows if row is not None]
    for place, name in enumerate(_REPORT_FIELDS):
        values = [row[place] for row in there]
        if any(value is not None for value in values):
            getattr(out, name).extend([0.0 if value is None else value + 1.0 for value in values])


def _encode_arrivals(out: pb.Records, rows: list[i.Arrival]) -> None:
    a = out.arrival
    a.session.extend([r.request for r in rows])
    a.cls.extend([r.cls for r in rows])
    a.tenant.extend([r.tenant + 1 for r in rows])
    a.time_left.extend(_clamp_to_uint32([r.time_left for r in rows]))
    a.work.extend(_clamp_to_uint32([r.work or 0 for r in rows]))
    if any(r.slots != 1.0 for r in rows):
        a.slots.extend([r.slots for r in rows])
    if any(r.retry for r in rows):
        a.retry.extend([r.retry for r in rows])
    if any(r.key is not None for r in rows):
        a.key.extend([0 if r.key is None else hash_key(r.key) for r in rows])


def _encode_sends(out: pb.Records, rows: list[i.Send]) -> None:
    out.send.session.extend([r.request for r in rows])
    out.send.server.extend([r.worker for r in rows])
    if any(r.timeout for r in rows):
        out.send.timeout.extend(_clamp_to_uint32([r.timeout for r in rows]))


def _encode_notes(out: pb.Records, rows: list[i.JobNote]) -> None:
    out.note.session.extend([r.request for r in rows])
    out.note.attempt.extend([r.attempt for r in rows])
    out.note.share.extend([-1.0 if r.share is None else r.share for r in rows])
    out.note.server.extend([r.worker for r in rows])


def _encode_outcomes(out: pb.Records, rows: list[i.Outcome]) -> None:
    o = out.outcome
    o.session.extend([r.request for r in rows])
    o.server.extend([r.worker for r in rows])
    o.attempt.extend([r.attempt for r in rows])
    o.ended = bytes([r.ended for r in rows])
    o.status = bytes([_STATUS[r.status] for r in rows])
    o.latency.extend(_clamp_to_uint32([r.latency for r in rows]))
    _encode_reports(o.report, [r.report for r in rows])


def _encode_probes(out: pb.Records, rows: list[i.ProbeResult]) -> None:
    out.probe.server.extend([r.worker for r in rows])
    out.probe.ok = bytes([r.ok for r in rows])
    out.probe.latency.extend(_clamp_to_uint32([r.latency for r in rows]))
    _encode_reports(out.probe.report, [r.report for r in rows])


def _encode_refusals(out: pb.Records, rows: list[i.Refuse]) -> None:
    out.refusal.session.extend([r.request for r in rows])
    out.refusal.retry_after.extend(_clamp_to_uint32([r.retry_after for r in rows]))


def _encode_cancels(out: pb.Records, rows: list[i.Cancel]) -> None:
    out.cancel.session.extend([r.request for r in rows])
    out.cancel.attempt.extend([r.attempt for r in rows])


def _encode_servers(out: pb.Records, rows: list[i.WorkerList]) -> None:
    for row in rows:
        server_list = out.servers.add()
        server_list.scope = _SCOPE[row.scope]
        for entry in row.entries:
            server = server_list.server.add()
            server.server, server.zone, server.kind = entry.worker, max(0, entry.zone), max(0, entry.kind)
            server.cell = max(0, entry.cell) & UINT32_MAX
            server.state, server.weight = _STATE[entry.state], entry.weight
            server.mark = entry.mark & UINT32_MAX
            if entry.started_at is not None:
                server.started_at, server.started_known = entry.started_at, True


def _encode_failures(out: pb.Records, rows: list[i.Fail]) -> None:
    out.failure.session.extend([r.request for r in rows])


def _encode_gone(out: pb.Records, rows: list[i.ClientGone]) -> None:
    out.gone.session.extend([r.request for r in rows])


_ENCODERS: dict[int, Callable[[pb.Records, Any], None]] = {
    ARRIVAL: _encode_arrivals,
    SEND: _encode_sends,
    NOTE: _encode_notes,
    OUTCOME: _encode_outcomes,
    REFUSAL: _encode_refusals,
    FAILURE: _encode_failures,
    SERVERS: _encode_servers,
    PROBE: _encode_probes,
    GONE: _encode_gone,
    CANCEL: _encode_cancels,
}


class BlockEncoder:
    """Collects the records of one block and encodes them."""

    def __init__(self, at: int, dropped: int = 0) -> None:
        self.first = at
        self._dropped = dropped
        self._kinds = bytearray()
        self._times: list[int] = []
        self._records_by_kind: dict[int, list[Content]] = {kind: [] for kind in _ENCODERS}

    @property
    def count(self) -> int:
        """The number of records so far."""
        return len(self._kinds)

    @property
    def last(self) -> int:
        """The time of the last record, or of the start if there is none."""
        return self._times[-1] if self._times else self.first

    def add(self, at: int, events: Sequence[i.Event], actions: Sequence[i.Action]) -> int:
        """Adds the events and actions of one decision; returns the number of records."""
        kinds, times, records_by_kind = self._kinds, self._times, self._records_by_kind
        for group in (events, actions):
            for content in group:
                kind = KINDS.get(type(content))
                if kind is not None:
                    kinds.append(kind)
                    times.append(at)
                    records_by_kind[kind].append(content)
        return len(kinds)

    def encode(self) -> bytes:
        """Returns the block's payload."""
        block = pb.Records(at=self.first, dropped=self._dropped, kind=bytes(self._kinds))
        times = self._times
        gaps = list(map(sub, times, [self.first, *times]))
        block.after.extend(_clamp_to_uint32(gaps) if gaps else gaps)
        for kind, records in self._records_by_kind.items():
            if records:
                _ENCODERS[kind](block, records)
        return block.SerializeToString()


# ------------------------------------------------------------------ decoding


def _column(values: Sequence[Any], count: int, default: Any) -> Sequence[Any] | repeat[Any]:
    """Returns a column of `count` values, or defaults if it is empty. Raises ColumnError otherwise."""
    if not len(values):
        return repeat(default, count)
    if len(values) != count:
        raise ColumnError(f"column of {len(values)} values, expected {count}")
    return values


def _decode_reports(column: pb.Reports, count: int) -> list[i.Report | None]:
    there = list(_column(column.there, count, 0))
    report_count = sum(1 for flag in there if flag)
    columns = [_column(getattr(column, name), report_count, 0.0) for name in _REPORT_FIELDS]
    reports = iter(
        [
            i.Report(*(None if v == 0.0 else round(v - 1.0, 6) for v in row))
            for row in zip(*columns, strict=True)
        ]
    )
    return [next(reports) if flag else None for flag in there]


def _decode_arrivals(block: pb.Records, count: int) -> Iterator[Content]:
    a = block.arrival
    columns = (
        _column(a.session, count, 0),
        _column(a.cls, count, 0),
        _column(a.time_left, count, 0),
        _column(a.tenant, count, 0),
        _column(a.key, count, 0),
        _column(a.work, count, 0),
        _column(a.slots, count, 1.0),
        _column(a.retry, count, False),
    )
    for session, cls, left, tenant, key, work, slots, retry in zip(*columns, strict=True):
        key_hash = f"{key:016x}" if key else None
        yield i.Arrival(session, cls, left, tenant - 1, key_hash, work or None, slots, 0.0, retry)


def _decode_sends(block: pb.Records, count: int) -> Iterator[Content]:
    s = block.send
    columns = (_column(s.session, count, 0), _column(s.server, count, 0), _column(s.timeout, count, 0))
    yield from map(i.Send, *columns)


def _decode_notes(block: pb.Records, count: int) -> Iterator[Content]:
    n = block.note
    columns = (
        _column(n.session, count, 0),
        _column(n.server, count, 0),
        _column(n.attempt, count, 0),
        _column(n.share, count, 0.0),
    )
    for session, server, attempt, share in zip(*columns, strict=True):
        yield i.JobNote(session, server, attempt, None if share < 0 else share)


def _decode_outcomes(block: pb.Records, count: int) -> Iterator[Content]:
    o = block.outcome
    columns = (
        _column(o.session, count, 0),
        _column(o.server, count, 0),
        _column(o.attempt, count, 0),
        _column(o.ended, count, 0),
        _column(o.status, count, 0),
        _column(o.latency, count, 0),
        _decode_reports(o.report, count),
    )
    for session, server, attempt, ended, status, latency, report in zip(*columns, strict=True):
        # An unknown status was written by a later release; treat it as an error.
        status_name: i.Status = STATUSES[status] if status < len(STATUSES) else "error"
        yield i.Outcome(session, server, attempt, bool(ended), status_name, latency, report)


def _decode_probes(block: pb.Records, count: int) -> Iterator[Content]:
    p = block.probe
    columns = (
        _column(p.server, count, 0),
        _column(p.ok, count, 0),
        _column(p.latency, count, 0),
        _decode_reports(p.report, count),
    )
    for server, ok, latency, report in zip(*columns, strict=True):
        yield i.ProbeResult(server, bool(ok), latency, report)


def _decode_refusals(block: pb.Records, count: int) -> Iterator[Content]:
    r = block.refusal
    yield from map(i.Refuse, _column(r.session, count, 0), _column(r.retry_after, count, 0))


def _decode_failures(block: pb.Records, count: int) -> Iterator[Content]:
    yield from map(i.Fail, _column(block.failure.session, count, 0))


def _decode_gone(block: pb.Records, count: int) -> Iterator[Content]:
    yield from map(i.ClientGone, _column(block.gone.session, count, 0))


def _decode_cancels(block: pb.Records, count: int) -> Iterator[Content]:
    c = block.cancel
    yield from map(i.Cancel, _column(c.session, count, 0), _column(c.attempt, count, 0))


def _decode_servers(block: pb.Records, count: int) -> Iterator[Content]:
    if len(block.servers) != count:
        raise ColumnError(f"{len(block.servers)} server lists, expected {count}")
    for server_list in block.servers:
        entries = tuple(
            i.WorkerEntry(
                s.server,
                s.zone,
                s.kind,
                s.cell,
                "active" if s.state == 0 else "leaving" if s.state == 1 else "left",
                s.weight,
                s.started_at if s.started_known else None,
                s.mark,
            )
            for s in server_list.server
        )
        if server_list.scope == 0:
            yield i.WorkerList("changes", entries)
        else:
            scope = server_list.scope
            yield i.WorkerList("complete" if scope == 1 else "persisted" if scope == 2 else "error", entries)


_DECODERS: dict[int, Callable[[pb.Records, int], Iterator[Content]]] = {
    ARRIVAL: _decode_arrivals,
    SEND: _decode_sends,
    NOTE: _decode_notes,
    OUTCOME: _decode_outcomes,
    REFUSAL: _decode_refusals,
    FAILURE: _decode_failures,
    SERVERS: _decode_servers,
    PROBE: _decode_probes,
    GONE: _decode_gone,
    CANCEL: _decode_cancels,
}


def decode(block: pb.Records) -> list[TraceRecord]:
    """Returns a block's records in order; skips unknown kinds. Raises ColumnError."""
    kinds = block.kind
    after = _column(block.after, len(kinds), 0)
    counts: dict[int, int] = {}
    for kind in kinds:
        counts[kind] = counts.get(kind, 0) + 1
    sources = {kind: iter(list(_DECODERS[kind](block, n))) for kind, n in counts.items() if kind in _DECODERS}
    at, items = block.at, []
    for kind, gap in zip(kinds, after, strict=True):
        at += gap
        if kind in sources:
            items.append(TraceRecord(at, next(sources[kind])))
    return items

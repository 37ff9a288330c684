"""Log events of the dispatcher: each has a name, a level, a message text and typed fields.

docs/oncall.md documents every event by name; a test checks that both lists agree. The log format `plain`
writes the message text, `logfmt` and `json` write the event's name and its fields.
"""

from __future__ import annotations

import logging
from typing import NamedTuple

Field = str | int | float | None


class Event(NamedTuple):
    """A kind of log line. `text` is a %-style template for the fields."""

    name: str
    level: int
    text: str


INFO, WARNING, ERROR = logging.INFO, logging.WARNING, logging.ERROR

CONFIG_INVALID = Event("config.wrong", ERROR, "configuration: %(reason)s")
SETTINGS_INVALID = Event("settings.wrong", ERROR, "settings: %(reason)s")
LISTEN_FAILED = Event("listen.failed", ERROR, "cannot listen on %(host)s:%(port)d: %(reason)s")
STARTED = Event("started", INFO, "%(node)s listens on %(host)s:%(port)d")
ADMIN_ENDPOINT_OPEN = Event("door.open", INFO, "admin endpoint listens on %(host)s:%(port)d")
ADMIN_COMMAND = Event("door.call", INFO, "admin command %(call)s: %(reply)s")
SUCCESSOR_READY = Event("heir", INFO, "a successor accepts clients beside this process")
SUCCESSOR_LOST = Event("heir.lost", INFO, "the successor has ended")
PREDECESSOR_ENDED = Event(
    "inherited", INFO, "the predecessor has ended; %(connections)d connections were handed over"
)
HANDOVER_FAILED = Event("handover.none", WARNING, "handover failed: %(reason)s")
HANDOVER_IMPOSSIBLE = Event(
    "handover.impossible", WARNING, "no handover to a successor is possible: %(reason)s; serving continues"
)
HANDOVER_IGNORED = Event("handover.ignored", WARNING, "%(path)s ignored: %(reason)s")
SHARED_STATE_LOST = Event(
    "handover.lost", WARNING, "bans and the drain are no longer shared with other processes: %(reason)s"
)
DRAINING = Event("draining", INFO, "%(signal)s: draining")
ENDED = Event("ended", INFO, "%(node)s has answered all requests and exits")
RELOAD_REJECTED = Event("reload.wrong", ERROR, "SIGHUP: configuration rejected: %(reason)s")
RESTART_REQUIRED = Event(
    "reload.fixed", WARNING, "SIGHUP: the change of %(key)s needs a restart; the previous value stays in use"
)
RELOADED = Event("reloaded", INFO, "SIGHUP: configuration reloaded, discovery %(host)s:%(port)d")
WATCH_ANSWERED = Event(
    "watch.answered", INFO, "watch on %(host)s:%(port)d answered, revision %(rev)s, %(servers)d servers"
)
WATCH_ENDED = Event(
    "watch.ended",
    WARNING,
    "watch on %(host)s:%(port)d ended, the table of revision %(rev)s remains in use: %(reason)s",
)
KNOWN_SERVERS_IGNORED = Event("known.ignored", WARNING, "known server list ignored: %(reason)s")
UNKNOWN_SERVER_STATE = Event(
    "server.state_unknown", WARNING, "server %(server)s has the unknown state %(state)r: treated as draining"
)
COUNTS = Event("counts", INFO, "last 10 s: sessions open=%(open)d; %(counts)s")
DECISION_LOG = Event("decisions", INFO, "decisions: %(text)s")
ACCEPT_FAILED = Event("accept.failed", WARNING, "cannot accept: %(reason)s")
NO_DESCRIPTOR = Event(
    "backend.no_descriptor", WARNING, "no file descriptor available for backend server %(server)s"
)
UNUSABLE_RESPONSE = Event(
    "backend.unusable",
    WARNING,
    "backend server %(server)s: %(status)d for request %(request)s: answered 400",
)
MALFORMED_RESPONSE = Event(
    "backend.malformed", WARNING, "backend server %(server)s: malformed response: %(reason)s"
)
MALFORMED_PROBE_RESPONSE = Event(
    "probe.malformed", WARNING, "backend server %(server)s: malformed response to a probe: %(reason)s"
)
REQUEST_UNANSWERED = Event("session.no_answer", ERROR, "request %(request)s was not answered by its deadline")
REQUEST_LATE_IN_DRAIN = Event(
    "session.late_in_drain",
    WARNING,
    "request %(request)s arrived late in a drain: failed before the process is killed",
)
DISPATCH_FAILED = Event(
    "dispatch.not_made", ERROR, "dispatch %(dispatch)d of request %(session)d was not started"
)
DISPATCH_UNKNOWN_REQUEST = Event(
    "dispatch.unknown_session", ERROR, "the decision module dispatched the unknown request %(session)d"
)
TRACE_STARTED = Event("trace.begun", INFO, "trace %(path)s begun")
TRACE_ENDED = Event("trace.ended", INFO, "trace %(path)s ended, %(dropped)d records dropped")
TRACE_FAILED = Event("trace.failed", ERROR, "trace %(path)s failed: %(reason)s; serving continues without it")
SUPERVISOR_STARTED = Event(
    "keep.open", INFO, "supervisor %(keeper)s listens on %(address)s and runs %(dispatchers)d dispatchers"
)
SUPERVISOR_STOPPED = Event("keep.closed", INFO, "supervisor %(keeper)s exits; its dispatchers keep running")
PROCESS_STARTED = Event(
    "keep.started", INFO, "%(dispatcher)s started as process %(pid)d from %(release)s (%(digest)s)"
)
PROCESS_READY = Event("keep.yes", INFO, "%(dispatcher)s: process %(pid)d accepts clients with %(digest)s")
PROCESS_RELOADED = Event(
    "keep.reloaded", INFO, "%(dispatcher)s: process %(pid)d was signalled to reload %(digest)s"
)
PROCESS_ENDED = Event("keep.ended", INFO, "%(dispatcher)s: process %(pid)d ended (%(fault)s): %(how)s")
PROCESS_ACTION_FAILED = Event("keep.failed", WARNING, "%(dispatcher)s: %(what)s failed: %(reason)s")
PROCESS_ADOPTED = Event(
    "keep.adopted",
    INFO,
    "%(dispatcher)s: process %(pid)d from %(release)s was already running and is adopted",
)
PROCESS_SIGNALLED = Event(
    "keep.told", INFO, "%(dispatcher)s: process %(pid)d was sent %(signal)s: %(reason)s"
)
ROLLOUT_STEP = Event("rollout.step", INFO, "%(step)s %(told)s")
CRASH_LOOP = Event(
    "keep.looping", ERROR, "%(dispatcher)s is in a crash loop: it ended %(ends)d times recently"
)
PEERS_OPEN = Event("peers.open", INFO, "peers: listening on %(host)s:%(port)d, %(join)d join addresses")
PEER_STATE_CHANGED = Event("peers.member", INFO, "%(peer)s is %(state)s; %(living)d dispatchers are alive")
PEERS_ROLE = Event("peers.duty", INFO, "role in the distribution of the server list: %(duty)s")
PEERS_FOLLOWS = Event("peers.follows", INFO, "follows the server list of %(source)s")
PEERS_UNREADABLE = Event(
    "peers.unreadable", WARNING, "%(count)d datagrams ignored, the last one from %(host)s: %(reason)s"
)
PEERS_SOURCE_AVOIDED = Event(
    "peers.misled",
    WARNING,
    "no other process knows revision %(rev)d of %(source)s, which is avoided from now on",
)
PEERS_REPLACED = Event("peers.replaced", INFO, "a later process with the same name has joined the peers")
OBSERVATIONS_RECEIVED = Event(
    "knowledge.heard",
    INFO,
    "received observations of %(servers)d servers from %(peers)d processes; %(shunned)d are avoided at first",
)
OBSERVATIONS_IGNORED = Event("knowledge.ignored", WARNING, "no observations from %(peer)s: %(reason)s")
JOB_TAKEN_OVER = Event("takeover.job", INFO, "took over job %(job)s of %(owner)s")
TAKEOVER_OWNER_LOST = Event(
    "takeover.gone", WARNING, "%(owner)s is gone; this process has registers of %(jobs)d of its jobs"
)
TAKEOVER_COUNTS = Event("takeover.counts", INFO, "%(counts)s; %(kept)d registers kept for others")
TAKEOVER_UNREADABLE = Event("takeover.unreadable", WARNING, "ignored a message from %(peer)s: %(reason)s")
SNAPSHOT_IGNORED = Event("snapshot.ignored", WARNING, "snapshot %(path)s ignored: %(reason)s")
SNAPSHOT_FAILED = Event("snapshot.failed", WARNING, "snapshot %(path)s cannot be written: %(reason)s")
UNEXPECTED = Event("unexpected", ERROR, "unexpected error in %(where)s")

ALL_EVENTS = tuple(value for value in list(vars().values()) if isinstance(value, Event))


def log_event(log: logging.Logger, event: Event, /, **fields: Field) -> None:
    """Logs an event. `UNEXPECTED` includes the traceback of the exception that is being handled."""
    if log.isEnabledFor(event.level):
        log.log(
            event.level,
            event.text,
            *([fields] if fields else []),  # logging would count an empty mapping as a positional argument
            exc_info=event is UNEXPECTED,
            extra={"event": event.name, "fields": fields},
        )

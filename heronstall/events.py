"""Every line that the live program logs, as an event: a name, a level, a text for people, and typed fields.

docs/oncall.md explains each one under its name; a test holds the two lists together. In the `plain` form a
line is its text, as ever; in `logfmt` and `json` it is the event's name and its fields.
"""

from __future__ import annotations

import logging
from typing import NamedTuple

Field = str | int | float | None


class Event(NamedTuple):
    """A kind of line. `text` is filled in with the fields, %-style."""

    name: str
    level: int
    text: str


INFO, WARNING, ERROR = logging.INFO, logging.WARNING, logging.ERROR

CONFIG_WRONG = Event("config.wrong", ERROR, "configuration: %(reason)s")
SETTINGS_WRONG = Event("settings.wrong", ERROR, "settings: %(reason)s")
LISTEN_FAILED = Event("listen.failed", ERROR, "cannot listen on %(host)s:%(port)d: %(reason)s")
STARTED = Event("started", INFO, "%(node)s listens on %(host)s:%(port)d")
DOOR_OPEN = Event("door.open", INFO, "admin endpoint listens on %(host)s:%(port)d")
CALL = Event("door.call", INFO, "admin command %(call)s: %(reply)s")
HEIR = Event("heir", INFO, "a successor accepts clients beside this process")
HEIR_LOST = Event("heir.lost", INFO, "the successor has ended")
INHERITED = Event(
    "inherited", INFO, "the predecessor has ended; %(connections)d connections were handed over"
)
NOT_HANDED = Event("handover.none", WARNING, "handover failed: %(reason)s")
NO_SUCCESSION = Event(
    "handover.impossible", WARNING, "no handover to a successor is possible: %(reason)s; serving continues"
)
HANDOVER_IGNORED = Event("handover.ignored", WARNING, "%(path)s ignored: %(reason)s")
HANDOVER_LOST = Event(
    "handover.lost", WARNING, "bans and the drain are no longer shared with other processes: %(reason)s"
)
DRAINING = Event("draining", INFO, "%(signal)s: draining")
ENDED = Event("ended", INFO, "%(node)s has answered everything and ends")
RELOAD_WRONG = Event("reload.wrong", ERROR, "SIGHUP: configuration not taken: %(reason)s")
RELOAD_FIXED = Event(
    "reload.fixed", WARNING, "SIGHUP: %(key)s has changed and takes a restart: goes on as before"
)
RELOADED = Event("reloaded", INFO, "SIGHUP: configuration read again, discovery %(host)s:%(port)d")
WATCH_ANSWERED = Event(
    "watch.answered", INFO, "watch on %(host)s:%(port)d answered, revision %(rev)s, %(servers)d servers"
)
WATCH_ENDED = Event(
    "watch.ended",
    WARNING,
    "watch on %(host)s:%(port)d ended, table of revision %(rev)s stays valid: %(reason)s",
)
KNOWN_IGNORED = Event("known.ignored", WARNING, "known list ignored: %(reason)s")
STATE_UNKNOWN = Event(
    "server.state_unknown", WARNING, "server %(server)s has the unknown state %(state)r: taken as draining"
)
COUNTS = Event("counts", INFO, "last 10 s: sessions open=%(open)d; %(counts)s")
DECISIONS = Event("decisions", INFO, "decisions: %(text)s")
ACCEPT_FAILED = Event("accept.failed", WARNING, "cannot accept: %(reason)s")
NO_DESCRIPTOR = Event("backend.no_descriptor", WARNING, "no descriptor left for backend server %(server)s")
UNUSABLE = Event(
    "backend.unusable",
    WARNING,
    "backend server %(server)s: %(status)d for request %(request)s: answered 400",
)
MALFORMED_ANSWER = Event(
    "backend.malformed", WARNING, "backend server %(server)s: malformed answer: %(reason)s"
)
MALFORMED_PROBE = Event(
    "probe.malformed", WARNING, "backend server %(server)s: malformed answer to a probe: %(reason)s"
)
NO_ANSWER = Event("session.no_answer", ERROR, "session %(request)s had no answer by its deadline")
LATE_IN_DRAIN = Event(
    "session.late_in_drain", WARNING, "session %(request)s came late in a drain: failed before the kill"
)
NOT_MADE = Event("dispatch.not_made", ERROR, "dispatch %(dispatch)d of session %(session)d not made")
UNKNOWN_SESSION = Event("dispatch.unknown_session", ERROR, "decisions sent unknown session %(session)d")
TRACE_BEGUN = Event("trace.begun", INFO, "trace %(path)s begun")
TRACE_ENDED = Event("trace.ended", INFO, "trace %(path)s ended, %(dropped)d records dropped")
TRACE_FAILED = Event("trace.failed", ERROR, "trace %(path)s failed: %(reason)s; serving goes on without it")
KEEPING = Event(
    "keep.open", INFO, "keeper %(keeper)s is heard on %(address)s and keeps %(dispatchers)d dispatchers"
)
KEPT = Event("keep.closed", INFO, "keeper %(keeper)s ends; its dispatchers go on")
KEEP_STARTED = Event(
    "keep.started", INFO, "%(dispatcher)s started as process %(pid)d with %(release)s (%(digest)s)"
)
KEEP_YES = Event("keep.yes", INFO, "%(dispatcher)s: process %(pid)d takes clients with %(digest)s")
KEEP_RELOADED = Event("keep.reloaded", INFO, "%(dispatcher)s: process %(pid)d was told to read %(digest)s")
KEEP_ENDED = Event("keep.ended", INFO, "%(dispatcher)s: process %(pid)d ended (%(fault)s): %(how)s")
KEEP_FAILED = Event("keep.failed", WARNING, "%(dispatcher)s: %(what)s failed: %(reason)s")
ADOPTED = Event(
    "keep.adopted", INFO, "%(dispatcher)s: process %(pid)d with %(release)s was running and is kept on"
)
TOLD = Event("keep.told", INFO, "%(dispatcher)s: process %(pid)d was sent %(signal)s: %(reason)s")
ROLLOUT = Event("rollout.step", INFO, "%(step)s %(told)s")
LOOPING = Event("keep.looping", ERROR, "%(dispatcher)s ends again and again, %(ends)d times of late")
PEERS_OPEN = Event("peers.open", INFO, "peers: listening on %(host)s:%(port)d, %(join)d addresses to join")
PEER = Event("peers.member", INFO, "%(peer)s is %(state)s; %(living)d dispatchers are alive")
PEERS_DUTY = Event("peers.duty", INFO, "role in the distribution of the server list: %(duty)s")
PEERS_FOLLOWS = Event("peers.follows", INFO, "follows the server list of %(source)s")
PEERS_UNREADABLE = Event(
    "peers.unreadable", WARNING, "%(count)d datagrams ignored, the last one from %(host)s: %(reason)s"
)
PEERS_MISLED = Event(
    "peers.misled",
    WARNING,
    "no other process knows revision %(rev)d of %(source)s, which is avoided from now on",
)
PEERS_REPLACED = Event("peers.replaced", INFO, "a later process with the same name has joined the peers")
KNOWLEDGE_HEARD = Event(
    "knowledge.heard",
    INFO,
    "received observations of %(servers)d servers from %(peers)d processes; %(shunned)d are avoided at first",
)
KNOWLEDGE_IGNORED = Event("knowledge.ignored", WARNING, "no observations from %(peer)s: %(reason)s")
TAKEN_OVER = Event("takeover.job", INFO, "took over job %(job)s of %(owner)s")
TAKEOVER_GONE = Event(
    "takeover.gone", WARNING, "%(owner)s is gone; this process has registers of %(jobs)d of its jobs"
)
TAKEOVER_COUNTS = Event("takeover.counts", INFO, "%(counts)s; %(kept)d registers kept for others")
TAKEOVER_UNREADABLE = Event("takeover.unreadable", WARNING, "ignored a message from %(peer)s: %(reason)s")
SNAPSHOT_IGNORED = Event("snapshot.ignored", WARNING, "snapshot %(path)s ignored: %(reason)s")
SNAPSHOT_FAILED = Event("snapshot.failed", WARNING, "snapshot %(path)s cannot be written: %(reason)s")
UNEXPECTED = Event("unexpected", ERROR, "unexpected error in %(where)s")

ALL = tuple(value for value in list(vars().values()) if isinstance(value, Event))


def say(log: logging.Logger, event: Event, /, **fields: Field) -> None:
    """Log an event. Inside an `except` clause, `UNEXPECTED` brings its traceback."""
    if log.isEnabledFor(event.level):
        log.log(
            event.level,
            event.text,
            *([fields] if fields else []),  # an empty mapping would count as one argument too many
            exc_info=event is UNEXPECTED,
            extra={"event": event.name, "fields": fields},
        )

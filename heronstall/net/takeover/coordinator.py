"""One process's part in takeover: its own jobs' registers, its witness, and the jobs that it takes over.

The coordinator is the `Dispatcher`'s `guard`: it is told of each session, asked before an attempt's first
byte is written, and told of each end. A session whose job another process has is delegated: it is withdrawn
from the decisions, and its client is answered once the register records the job's end.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Iterator
from hashlib import blake2b
from typing import Any

import ujson

from heronstall import events
from heronstall import interface as i
from heronstall.config import Config
from heronstall.events import log_event
from heronstall.net.backend import Job
from heronstall.net.connection import STATUS_BY_ENDING, ConnectionEnded, Ending
from heronstall.net.dispatcher import Answer, Dispatcher, Session
from heronstall.net.loop import Coroutine, Loop, Task
from heronstall.net.server_table import BackendServer
from heronstall.operator import TakeoverSettings
from heronstall.takeover.messages import Job as HeldJob
from heronstall.takeover.messages import Message, Phase
from heronstall.takeover.ownership import Holder, Successor
from heronstall.takeover.succession import Roster, takeover_order
from heronstall.takeover.witness import Register, Witness

RESULT_RETENTION_US = 2_000_000  # beyond the longest deadline, for clients that repeat a job
POLL_INTERVAL_US = 30_000  # between queries of a register that another process will end
SWEEP_INTERVAL_US = 1_000_000
LOG_INTERVAL_US = 10_000_000  # between log lines with the counts
TAKEOVER_DELAY_US = 100_000  # after the loss of an owner, so that its last messages have arrived
PROMISE_TIMEOUT_US = 300_000  # for the promises of a majority
MAX_CONCURRENT_TAKEOVERS = 16
MIN_TIME_LEFT_US = 200_000  # of the client's deadline; with less left a job is not run
MAX_STORED_BODY_BYTES = 64 * 1024  # of an answer in a register
COUNTS = ("unprotected", "alone", "returned", "lost", "run", "ended", "unsure")
log = logging.getLogger("heronstall.takeover")


class ProtectedSession:
    """A session whose job has a register."""

    __slots__ = ("session", "holder", "task", "delegated", "refusal")

    def __init__(self, session: Session, holder: Holder) -> None:
        self.session, self.holder = session, holder
        self.task: Task | None = None  # the attempt that waits until a majority knows of it
        self.delegated = False
        self.refusal: Answer | None = None  # held back until a majority knows of it

    def wake(self) -> None:
        """Wakes the waiting attempt, once, since it may wait for something else by the next call."""
        task, self.task = self.task, None
        if task is not None:
            task.wake(0)

    @property
    def register_id(self) -> str:
        """The identity of the register whose end this session waits for."""
        other = self.holder.other
        return self.holder.state.register_id if other is None else other.register_id


class TakeoverCoordinator:
    """Replicates this process's jobs to witnesses, and takes over the jobs of lost processes."""

    def __init__(self, config: Config, settings: TakeoverSettings, loop: Loop, name: str, life: int) -> None:
        self._config, self._settings, self._loop = config, settings, loop
        self._name, self._life = name, life
        self._roster = Roster(settings.witnesses)
        longest = max(c.deadline for c in config.settings.classes) + RESULT_RETENTION_US
        self.witness = Witness(loop.now, longest, settings.max_stored_bytes)
        self._majority_timeout = settings.majority_timeout_us
        self._protected_classes = {
            n for c, n in config.classes.items() if not settings.classes or c in settings.classes
        }
        self._owned: dict[str, ProtectedSession] = {}
        self._by_session: dict[int, ProtectedSession] = {}
        self._takeovers: dict[str, tuple[Successor, Register, int]] = {}
        self._gone_owners: dict[tuple[str, int], int] = {}  # and when their loss was reported
        self.counts: Counter[str] = Counter()
        self._totals: Counter[str] = Counter()  # of counts that have been logged
        self._counts_logged_at = loop.now
        # Sends to another process's witness.
        self.send: Callable[[str, Message], None] = lambda name, message: None
        self.is_reachable: Callable[[str], bool] = lambda name: False

    def start(self, dispatcher: Dispatcher) -> None:
        """Protects the dispatcher's jobs from now on."""
        self._dispatcher = dispatcher
        dispatcher.guard = self
        self._loop.at(self._loop.now + SWEEP_INTERVAL_US, self._sweep)
        self._loop.at(self._loop.now + POLL_INTERVAL_US, self._poll_delegated)

    def figures(self) -> Iterator[tuple[str, str]]:
        """Yields the numbers of registers kept for others and of own ones, and the counts since the start."""
        yield "takeover.kept", str(len(self.witness.registers))
        yield "takeover.held", str(len(self._owned))
        totals = self._totals + self.counts
        for name in COUNTS:
            yield f"takeover.{name}", str(totals[name])

    # ------------------------------------------------------------------ own jobs

    def session_created(self, session: Session) -> None:
        """Registers a new session's job. The first message is sent after the next turn of the decisions."""
        job: Job = session.job
        identity = _identity(job, self._settings.identity_header)
        if (
            session.cls not in self._protected_classes
            or not identity
            or len(job.body) > self._settings.max_body_bytes
        ):
            self.counts["unprotected"] += 1
            return
        key = f"{session.cls}/{identity}"
        digest = blake2b(job.target + b"\0" + job.body, digest_size=8).hexdigest()
        witnesses = self._roster.witnesses(key)
        if key in self._owned or not self._majority_reachable(witnesses):
            if key in self._owned:
                self._join_owned(session, key, digest)
            elif not self._fail_if_may_have_run(session, key):
                self.counts["unprotected"] += 1
            return
        time_left = session.deadline - self._loop.now
        holder = Holder(
            key,
            witnesses,
            self._name,
            self._life,
            0,
            digest,
            HeldJob(session.cls, time_left, pack_request(session)),
            True,
            f"{self._name}/{self._life}/{session.number}",
        )
        self._protect(session, holder)
        self._loop.soon(lambda: self._announce(key, holder))

    def _majority_reachable(self, witnesses: tuple[str, ...]) -> bool:
        """Returns whether a majority of the witnesses is reachable; true for a job without a register."""
        reachable = sum(name == self._name or self.is_reachable(name) for name in witnesses)
        return not witnesses or reachable > len(witnesses) // 2

    def _fail_if_may_have_run(self, session: Session, key: str) -> bool:
        """Answers a job at once that its register here shows as another's, while no majority is reachable.

        This applies to a job that may not run twice and was not refused. Returns whether it was answered.
        """
        register = self.witness.registers.get(key)
        state = None if register is None else register.state
        unsafe = self._config.settings.classes[session.cls].effect == "unsafe"
        if state is None or not unsafe or state.answer == "refused":
            return False
        kind, body = (state.answer, state.body) if state.phase is Phase.ENDED else ("failed", "")
        protected = ProtectedSession(session, Holder(key, (), self._name, self._life, 0, state.digest, None))
        self._dispatcher.hand_off(session)
        self._loop.soon(lambda: self._settle(protected, kind, body))
        return True

    def _protect(self, session: Session, holder: Holder) -> ProtectedSession:
        protected = self._owned[holder.key] = self._by_session[session.number] = ProtectedSession(
            session, holder
        )
        return protected

    def _announce(self, key: str, holder: Holder) -> None:
        protected = self._owned.get(key)
        if (
            protected is not None
            and protected.holder is holder
            and not holder.announced
            and not protected.session.over
        ):
            self._broadcast(holder.put(Phase.ACCEPTED), holder)

    def _join_owned(self, session: Session, key: str, digest: str) -> None:
        """Lets a session wait for the end of the same job in an earlier session of this process."""
        self.counts["returned"] += 1
        first = self._owned[key]
        if first.holder.state.digest != digest:
            self._loop.soon(lambda: self._dispatcher.deliver_answer(session, Answer("unusable")))
            return
        self._dispatcher.hand_off(session)
        waiting = ProtectedSession(session, first.holder)
        waiting.delegated = True
        self._by_session[session.number] = waiting

    def attempt_starting(self, session: Session, server: BackendServer, index: int) -> None:
        """Announces that an attempt is about to be made."""
        protected = self._by_session.get(session.number)
        if protected is not None and not protected.delegated:
            self._broadcast(
                protected.holder.put(Phase.WRITING, server=server.uid, attempt=index), protected.holder
            )

    def wait_until_writable(self, session: Session, task: Task | None, until: int) -> Coroutine[None]:
        """Waits until a majority knows that an attempt begins. Raises ConnectionEnded if it must not."""
        protected = self._by_session.get(session.number)
        if protected is None:
            if session.over:
                raise ConnectionEnded(Ending.WITHDRAWN, "the session was answered in the meantime")
            return
        holder = protected.holder
        alone_at = self._loop.now + self._majority_timeout
        while True:
            if protected.delegated or session.over or holder.verdict in ("known", "lost"):
                raise ConnectionEnded(Ending.WITHDRAWN, "another process has the job")
            if holder.verdict == "go":
                return
            repeatable = self._config.settings.classes[session.cls].effect != "unsafe"
            no_majority = self._loop.now >= alone_at or holder.majority_impossible()
            if no_majority and (holder.may_run_alone() or repeatable):
                self.counts["alone"] += 1
                return
            if no_majority and holder.yield_to_other():
                self._delegate(protected)
                continue
            if self._loop.now >= until:
                raise ConnectionEnded(Ending.UNSENT_IN_TIME)
            protected.task = task
            yield -1, 0, min(until, alone_at) if self._loop.now < alone_at else until
            protected.task = None

    def attempt_ended(self, session: Session, ending: Ending) -> None:
        """Handles an attempt's end. One that certainly did not run is undone in the job's register."""
        protected = self._by_session.get(session.number)
        if (
            protected is None
            or protected.delegated
            or session.over
            or protected.holder.verdict in ("known", "lost")
        ):
            return
        if STATUS_BY_ENDING[ending] in i.PROVES_NOT_RUN:
            phase = Phase.CONFIRMED if protected.holder.confirmed else Phase.ACCEPTED
            self._broadcast(protected.holder.put(phase, server="", attempt=0), protected.holder)

    def defers_answer(self, session: Session, answer: Answer) -> bool:
        """Records a session's answer and returns whether the answer has to wait.

        A refusal states that nothing was done, so it is held back until no other process can run the job any
        more. Every other answer is given at once.
        """
        protected = self._by_session.get(session.number)
        if protected is None or protected.delegated:
            return False
        holder = protected.holder
        ran = holder.announced and holder.state.phase is Phase.WRITING
        if answer.kind == "refused" and holder.confirmed:
            protected.refusal = answer
            self._broadcast(holder.put(Phase.ENDED, answer="refused"), holder)
            if protected.refusal is not None:  # the own witness may have replied that the job was taken over
                self._loop.at(
                    self._loop.now + self._majority_timeout, lambda: self._fail_unconfirmed_refusal(protected)
                )
            return True
        kind = answer.kind if answer.kind in ("served", "unusable") or ran else "refused"
        body = answer.body.decode("latin-1") if len(answer.body) <= MAX_STORED_BODY_BYTES else ""
        if kind == "served" and not body and answer.body:
            kind = "failed"  # too large to be stored for clients that repeat the job
        self._close_register(protected, kind, body)
        return False

    def client_gone(self, session: Session) -> None:
        """Handles the departure of a session's client."""
        protected = self._by_session.get(session.number)
        if protected is not None and not protected.delegated:
            ran = protected.holder.announced and protected.holder.state.phase is Phase.WRITING
            self._close_register(protected, "failed" if ran else "refused", "")
        elif protected is not None:
            self._remove(protected)

    def _close_register(self, protected: ProtectedSession, kind: str, body: str) -> None:
        holder = protected.holder
        if holder.announced and holder.verdict not in ("known", "lost"):
            self._broadcast(holder.put(Phase.ENDED, answer=kind, body=body), holder)
        self._settle_joined(protected, kind, body)

    def _settle_joined(self, protected: ProtectedSession, kind: str, body: str) -> None:
        """Answers the other sessions of this process that wait for the same job's end."""
        self._remove(protected)
        for other in [p for p in self._by_session.values() if p.holder is protected.holder]:
            self._settle(other, kind, body)

    def _remove(self, protected: ProtectedSession) -> None:
        self._by_session.pop(protected.session.number, None)
        owned = self._owned.get(protected.holder.key)
        if owned is protected:
            del self._owned[protected.holder.key]

    def _fail_unconfirmed_refusal(self, protected: ProtectedSession) -> None:
        """Answers with a failure, because no majority knows of the refusal: the job might still be run."""
        if protected.refusal is not None:
            protected.refusal = None
            self.counts["unsure"] += 1
            self._settle_joined(protected, "failed", "")
            self._dispatcher.deliver_answer(protected.session, Answer("failed"))

    # ------------------------------------------------------------------ messages

    def _broadcast(self, message: Message, holder: Holder) -> None:
        for name in holder.witnesses:
            self._send_to(name, message)

    def _send_to(self, name: str, message: Message) -> None:
        if name == self._name:
            self.handle_reply(name, self.handle_message(message))
        else:
            self.send(name, message)

    def handle_message(self, message: Message) -> Message:
        """Passes a message to this process's witness and returns the reply."""
        return self.witness.handle_message(message, self._loop.now)

    def handle_reply(self, witness: str, message: Message) -> None:
        """Processes a witness's reply."""
        takeover = self._takeovers.get(message.key)
        if takeover is not None and message.kind in ("promise", "no") and message.epoch == takeover[0].epoch:
            takeover[0].handle_reply(witness, message)
            self._check_takeover(message.key)
            return
        protected = self._owned.get(message.key)
        if protected is not None and message.kind in ("ack", "no"):
            before = protected.holder.verdict
            after = protected.holder.handle_reply(witness, message)
            if after != before:
                self._apply_verdict(protected, after)
            elif protected.holder.majority_impossible():
                protected.wake()
        if message.kind == "tell" and message.state is not None and message.state.phase is Phase.ENDED:
            for waiting in [
                p for p in self._by_session.values() if p.delegated and p.holder.key == message.key
            ]:
                if message.state.register_id == waiting.register_id:
                    self._settle(waiting, message.state.answer, message.state.body)

    def _apply_verdict(self, protected: ProtectedSession, verdict: str) -> None:
        holder = protected.holder
        if verdict == "go" and holder.state.phase is Phase.ACCEPTED:
            self._broadcast(holder.put(Phase.CONFIRMED), holder)
        if verdict == "go" and protected.refusal is not None:
            answer, protected.refusal = protected.refusal, None
            self._settle_joined(protected, "refused", "")
            self._dispatcher.deliver_answer(protected.session, answer)
        elif verdict in ("known", "lost") and protected.refusal is not None:
            self._fail_unconfirmed_refusal(protected)
        elif verdict in ("known", "lost") and not protected.delegated:
            self._delegate(protected)
        protected.wake()

    def _delegate(self, protected: ProtectedSession) -> None:
        """Lets a session wait for the end of its job at the other process that has it."""
        other, holder = protected.holder.other, protected.holder
        self.counts["returned" if holder.verdict == "known" else "lost"] += 1
        protected.delegated = True
        if (
            holder.verdict == "known" and holder.announced
        ):  # a register that it made at a witness has no owner
            self._broadcast(holder.withdrawal(), holder)
        if self._owned.get(holder.key) is protected:
            del self._owned[holder.key]
        if holder.verdict == "known" and other is not None and other.digest != holder.state.digest:
            self._remove(protected)
            self._dispatcher.deliver_answer(protected.session, Answer("unusable"))
            return
        self._dispatcher.hand_off(protected.session)
        if other is not None and other.phase is Phase.ENDED:
            self._settle(protected, other.answer, other.body)

    def _settle(self, protected: ProtectedSession, kind: str, body: str) -> None:
        """Answers a delegated session."""
        self._remove(protected)
        answers: dict[str, Any] = {"served": "served", "refused": "refused", "unusable": "unusable"}
        self._dispatcher.deliver_answer(
            protected.session, Answer(answers.get(kind, "failed"), body.encode("latin-1"))
        )

    def _poll_delegated(self) -> None:
        """Asks for the state of the delegated sessions' jobs, and fails sessions whose time is over."""
        now = self._loop.now
        for protected in [p for p in self._by_session.values() if p.delegated]:
            if now >= protected.session.deadline - POLL_INTERVAL_US or not self._majority_reachable(
                protected.holder.witnesses
            ):
                self._settle(protected, "failed", "")
            elif protected.holder.key not in self._owned:
                for name in protected.holder.witnesses:
                    self._send_to(name, Message("ask", protected.holder.key))
        self._loop.at(now + POLL_INTERVAL_US, self._poll_delegated)

    # ------------------------------------------------------------------ taking over

    def owner_gone(self, name: str, life: int) -> None:
        """Handles the loss of a process: members reported it, or a later process of its name connected."""
        if name != self._name and (name, life) not in self._gone_owners:
            self._gone_owners[name, life] = self._loop.now
            jobs = sum(1 for _ in self.witness.open_registers(name))
            log_event(log, events.TAKEOVER_OWNER_LOST, owner=name, jobs=jobs)
            self._loop.at(self._loop.now + TAKEOVER_DELAY_US, self._start_takeovers)

    def _orphaned_registers(self) -> Iterator[tuple[str, Register]]:
        def lives(name: str) -> bool:
            return self.is_reachable(name) and name not in gone

        gone = {name for name, _ in self._gone_owners}  # their connections may still be open
        for name, life in list(self._gone_owners):
            for key, register in self.witness.open_registers(name):
                state = register.state
                if state is None or state.life != life or key in self._takeovers:
                    continue
                if self._roster.successor(key, self._name, lives) == self._name:
                    yield key, register

    def _start_takeovers(self) -> None:
        """Starts to take over the most valuable orphaned jobs, a bounded number at a time."""
        now, classes = self._loop.now, self._config.settings.classes
        found = list(self._orphaned_registers())
        for key, register in takeover_order(found, now, [c.worth for c in classes]):
            if len(self._takeovers) >= MAX_CONCURRENT_TAKEOVERS:
                break
            if register.state is None:
                continue
            successor = Successor(
                key,
                self._roster.witnesses(key),
                self._name,
                self._life,
                self._roster.position(self._name),
                register.state,
            )
            self._takeovers[key] = successor, register, now
            for name in successor.witnesses:
                self._send_to(name, successor.take())
        if found:
            self._loop.at(
                now + max(5_000, round(1e6 / self._settings.takeovers_per_s)), self._start_takeovers
            )

    def _check_takeover(self, key: str) -> None:
        successor, register, _ = self._takeovers[key]
        if successor.verdict == "lost":
            del self._takeovers[key]
        elif successor.verdict == "go":
            del self._takeovers[key]
            self._complete_takeover(successor, register)

    def _complete_takeover(self, successor: Successor, register: Register) -> None:
        """Runs or ends a job whose register this process has taken over."""
        now, job, latest = self._loop.now, register.job, successor.latest
        if latest.phase is Phase.ENDED:
            return
        holder = successor.to_holder(job)
        time_left = 0 if job is None else job.time_left - (now - register.received_at)
        cls = None if job is None else self._config.settings.classes[job.cls]
        repeatable = cls is not None and (
            cls.effect == "safe" or (cls.effect == "keyed" and cls.group == "all")
        )
        if cls is None or job is None or time_left < MIN_TIME_LEFT_US or not successor.may_run(repeatable):
            self.counts["ended"] += 1
            never_ran = latest.phase is Phase.CONFIRMED
            self._broadcast(holder.put(Phase.ENDED, answer="refused" if never_ran else "failed"), holder)
            return
        self.counts["run"] += 1
        self._broadcast(holder.put(latest.phase), holder)  # the register has an owner again
        arrival, request = unpack_request(job.request)
        session = self._dispatcher.submit(
            arrival._replace(time_left=time_left), request, lambda answer: None, guarded=True
        )
        returned = self._owned.get(holder.key)  # its client may have repeated the job here already
        self._protect(session, holder)
        if returned is not None:
            returned.delegated, returned.holder = True, holder
            self._dispatcher.hand_off(returned.session)
            returned.wake()
        log_event(log, events.JOB_TAKEN_OVER, owner=latest.owner, job=request.id)

    def _sweep(self) -> None:
        now = self._loop.now
        self.witness.sweep(now)
        if self.counts and now - self._counts_logged_at > LOG_INTERVAL_US:
            text = " ".join(f"{name}={count}" for name, count in sorted(self.counts.items()))
            log_event(log, events.TAKEOVER_COUNTS, counts=text, kept=len(self.witness.registers))
            self._counts_logged_at = now
            self._totals += self.counts
            self.counts.clear()
        for key in [
            key for key, (_, _, started) in self._takeovers.items() if now - started > PROMISE_TIMEOUT_US
        ]:
            del self._takeovers[key]  # there was no majority; a later attempt may find one
        if self._gone_owners:
            self._start_takeovers()
            self._gone_owners = {
                owner: since for owner, since in self._gone_owners.items() if now - since < 30_000_000
            }
        self._loop.at(now + SWEEP_INTERVAL_US, self._sweep)


def _identity(job: Job, header: bytes) -> str:
    for name, value in job.headers:
        if name.lower() == header:
            return value.decode("latin-1")[:200]
    return ""


def pack_request(session: Session) -> str:
    """Encodes a session's request for a successor."""
    job: Job = session.job
    headers = [[name.decode("latin-1"), value.decode("latin-1")] for name, value in job.headers]
    request = [
        job.id,
        job.method.decode("latin-1"),
        job.target.decode("latin-1"),
        headers,
        job.body.decode("latin-1"),
    ]
    text: str = ujson.dumps([list(session.arrival), request], escape_forward_slashes=False)
    return text


def unpack_request(text: str) -> tuple[i.Arrival, Job]:
    """Decodes a request. Raises ValueError."""
    arrival, (id_, method, target, headers, body) = ujson.loads(text)
    rows = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
    job = Job(id_, method.encode("latin-1"), target.encode("latin-1"), rows, body.encode("latin-1"))
    return i.Arrival(*arrival), job

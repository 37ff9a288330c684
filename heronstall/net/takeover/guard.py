"""One process's part: its own jobs' registers, those that it keeps for others, and what it takes over.

Hooked on to the `Dispatcher` as its `guard`: told of each session, asked before a first byte, told of each
end. A job whose identity somebody else has is lent: the decisions are done with it, its client is answered
from the register's end.
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
from heronstall.events import say
from heronstall.net.backend import Job
from heronstall.net.connection import STATUS_BY_ENDING, ConnectionEnded, Ending
from heronstall.net.dispatcher import Answer, Dispatcher, Session
from heronstall.net.loop import Coroutine, Loop, Task
from heronstall.net.server_table import BackendServer
from heronstall.operator import TakeoverFile
from heronstall.takeover.holder import Holder, Taker
from heronstall.takeover.succession import Roster, in_order
from heronstall.takeover.witness import Register, Witness
from heronstall.takeover.words import Job as HeldJob
from heronstall.takeover.words import Phase, Word

GRACE = 2_000_000  # beyond the longest deadline: so long a result is kept for whoever comes back
ASK_EVERY = 30_000  # between looks at a register that somebody else ends
SWEEP = 1_000_000
COUNTS_EVERY = 10_000_000
FIRST_LOOK = 100_000  # after a loss, so that its last words have come
TAKE_TIME = 300_000  # for a majority's promises
AT_ONCE = 16  # registers that are being taken
AHEAD = 200_000  # of a client's time: with less left nothing is begun
BODY = 64 * 1024  # of an answer that is kept
COUNTS = ("unprotected", "alone", "returned", "lost", "run", "ended", "unsure")
log = logging.getLogger("heronstall.takeover")


class Held:
    """A session whose job has a register."""

    __slots__ = ("session", "holder", "task", "lent", "refusal")

    def __init__(self, session: Session, holder: Holder) -> None:
        self.session, self.holder = session, holder
        self.task: Task | None = None  # the dispatch that waits for its word to be known
        self.lent = False
        self.refusal: Answer | None = None  # waits until a majority knows of it

    def wake(self) -> None:
        """Let the dispatch that waits look again; once, since it may wait for something else by then."""
        task, self.task = self.task, None
        if task is not None:
            task.wake(0)

    @property
    def made(self) -> str:
        """The register whose end is waited for."""
        other = self.holder.other
        return self.holder.state.made if other is None else other.made


class Guard:
    """All of it."""

    def __init__(self, config: Config, told: TakeoverFile, loop: Loop, name: str, life: int) -> None:
        self._config, self._told, self._loop = config, told, loop
        self._name, self._life = name, life
        self._roster = Roster(told.witnesses)
        longest = max(c.deadline for c in config.settings.classes) + GRACE
        self.witness = Witness(loop.now, longest, told.room)
        self._wait = told.wait
        self._protected = {n for c, n in config.classes.items() if not told.classes or c in told.classes}
        self._held: dict[str, Held] = {}
        self._by_session: dict[int, Held] = {}
        self._takers: dict[str, tuple[Taker, Register, int]] = {}
        self._gone: dict[tuple[str, int], int] = {}  # owners that are, and when that was heard
        self.counts: Counter[str] = Counter()
        self._totals: Counter[str] = Counter()  # of counts that have been told in the log
        self._counted = loop.now
        self.tell: Callable[[str, Word], None] = lambda name, word: None  # a word to another's witness
        self.lives: Callable[[str], bool] = lambda name: False

    def begin(self, dispatcher: Dispatcher) -> None:
        """Guard its jobs from now on."""
        self._dispatcher = dispatcher
        dispatcher.guard = self
        self._loop.at(self._loop.now + SWEEP, self._sweep)
        self._loop.at(self._loop.now + ASK_EVERY, self._look)

    def figures(self) -> Iterator[tuple[str, str]]:
        """Every figure and its name: others' jobs that are kept, own ones that are, counts of this life."""
        yield "takeover.kept", str(len(self.witness.registers))
        yield "takeover.held", str(len(self._held))
        totals = self._totals + self.counts
        for name in COUNTS:
            yield f"takeover.{name}", str(totals[name])

    # ------------------------------------------------------------------ own jobs

    def session_created(self, session: Session) -> None:
        """A session was made. Its first word is said when the decisions have had their turn."""
        job: Job = session.job
        identity = _identity(job, self._told.header)
        if session.cls not in self._protected or not identity or len(job.body) > self._told.body:
            self.counts["unprotected"] += 1
            return
        key = f"{session.cls}/{identity}"
        digest = blake2b(job.target + b"\0" + job.body, digest_size=8).hexdigest()
        witnesses = self._roster.witnesses(key)
        if key in self._held or not self._reachable(witnesses):
            if key in self._held:
                self._joins(session, key, digest)
            elif not self._may_have_run(session, key):
                self.counts["unprotected"] += 1
            return
        left = session.deadline - self._loop.now
        holder = Holder(
            key,
            witnesses,
            self._name,
            self._life,
            0,
            digest,
            HeldJob(session.cls, left, pack(session)),
            True,
            f"{self._name}/{self._life}/{session.number}",
        )
        self._guards(session, holder)
        self._loop.soon(lambda: self._first(key, holder))

    def _reachable(self, witnesses: tuple[str, ...]) -> bool:
        """Whether a majority of them can be spoken to; of those of a job that is not kept, too."""
        there = sum(name == self._name or self.lives(name) for name in witnesses)
        return not witnesses or there > len(witnesses) // 2

    def _may_have_run(self, session: Session, key: str) -> bool:
        """Without a majority: whether this process alone knows that a job was somebody's, and may not run
        twice. Then its client is told at once that it failed."""
        register = self.witness.registers.get(key)
        state = None if register is None else register.state
        unsafe = self._config.settings.classes[session.cls].effect == "unsafe"
        if state is None or not unsafe or state.answer == "refused":
            return False
        kind, body = (state.answer, state.body) if state.phase is Phase.ENDED else ("failed", "")
        held = Held(session, Holder(key, (), self._name, self._life, 0, state.digest, None))
        self._dispatcher.hand_off(session)
        self._loop.soon(lambda: self._give(held, kind, body))
        return True

    def _guards(self, session: Session, holder: Holder) -> Held:
        held = self._held[holder.key] = self._by_session[session.number] = Held(session, holder)
        return held

    def _first(self, key: str, holder: Holder) -> None:
        held = self._held.get(key)
        if held is not None and held.holder is holder and not holder.said and not held.session.over:
            self._say(holder.put(Phase.HELD), holder)

    def _joins(self, session: Session, key: str, digest: str) -> None:
        """The same job has come to us twice: the later one waits for the end of the first."""
        self.counts["returned"] += 1
        first = self._held[key]
        if first.holder.state.digest != digest:
            self._loop.soon(lambda: self._dispatcher.deliver_answer(session, Answer("unusable")))
            return
        self._dispatcher.hand_off(session)
        waiting = Held(session, first.holder)
        waiting.lent = True
        self._by_session[session.number] = waiting

    def attempt_starting(self, session: Session, server: BackendServer, index: int) -> None:
        """An attempt is about to be made."""
        held = self._by_session.get(session.number)
        if held is not None and not held.lent:
            self._say(held.holder.put(Phase.WRITING, server=server.uid, attempt=index), held.holder)

    def wait_until_writable(self, session: Session, task: Task | None, until: int) -> Coroutine[None]:
        """Wait until a majority knows that an attempt begins. Raises ConnectionEnded where it may not."""
        held = self._by_session.get(session.number)
        if held is None:
            if session.over:
                raise ConnectionEnded(Ending.WITHDRAWN, "it was answered meanwhile")
            return
        holder = held.holder
        alone_at = self._loop.now + self._wait
        while True:
            if held.lent or session.over or holder.verdict in ("known", "lost"):
                raise ConnectionEnded(Ending.WITHDRAWN, "somebody else has the job")
            if holder.verdict == "go":
                return
            repeatable = self._config.settings.classes[session.cls].effect != "unsafe"
            no_use = self._loop.now >= alone_at or holder.hopeless()
            if no_use and (holder.alone() or repeatable):
                self.counts["alone"] += 1
                return
            if no_use and holder.gives_way():
                self._lend(held)
                continue
            if self._loop.now >= until:
                raise ConnectionEnded(Ending.UNSENT_IN_TIME)
            held.task = task
            yield -1, 0, min(until, alone_at) if self._loop.now < alone_at else until
            held.task = None

    def attempt_ended(self, session: Session, ending: Ending) -> None:
        """An attempt has: one that certainly has not run leaves the job as if it had never been made."""
        held = self._by_session.get(session.number)
        if held is None or held.lent or session.over or held.holder.verdict in ("known", "lost"):
            return
        if STATUS_BY_ENDING[ending] in i.PROVES_NOT_RUN:
            phase = Phase.CONFIRMED if held.holder.confirmed else Phase.HELD
            self._say(held.holder.put(phase, server="", attempt=0), held.holder)

    def defers_answer(self, session: Session, answer: Answer) -> bool:
        """A session's answer: whether it has to wait. A refusal says that nothing was done, and is given once
        nobody else can do it any more; every other answer goes at once."""
        held = self._by_session.get(session.number)
        if held is None or held.lent:
            return False
        holder = held.holder
        ran = holder.said and holder.state.phase is Phase.WRITING
        if answer.kind == "refused" and holder.confirmed:
            held.refusal = answer
            self._say(holder.put(Phase.ENDED, answer="refused"), holder)
            if held.refusal is not None:  # our own witness may have said already that the job was taken
                self._loop.at(self._loop.now + self._wait, lambda: self._unsure(held))
            return True
        kind = answer.kind if answer.kind in ("served", "unusable") or ran else "refused"
        body = answer.body.decode("latin-1") if len(answer.body) <= BODY else ""
        if kind == "served" and not body and answer.body:
            kind = "failed"  # too large to be kept for whoever comes back
        self._close(held, kind, body)
        return False

    def client_gone(self, session: Session) -> None:
        """Its client has left."""
        held = self._by_session.get(session.number)
        if held is not None and not held.lent:
            ran = held.holder.said and held.holder.state.phase is Phase.WRITING
            self._close(held, "failed" if ran else "refused", "")
        elif held is not None:
            self._drop(held)

    def _close(self, held: Held, kind: str, body: str) -> None:
        holder = held.holder
        if holder.said and holder.verdict not in ("known", "lost"):
            self._say(holder.put(Phase.ENDED, answer=kind, body=body), holder)
        self._end_joined(held, kind, body)

    def _end_joined(self, held: Held, kind: str, body: str) -> None:
        """A job's end, for those that came here with it again."""
        self._drop(held)
        for other in [h for h in self._by_session.values() if h.holder is held.holder]:
            self._give(other, kind, body)

    def _drop(self, held: Held) -> None:
        self._by_session.pop(held.session.number, None)
        mine = self._held.get(held.holder.key)
        if mine is held:
            del self._held[held.holder.key]

    def _unsure(self, held: Held) -> None:
        """No majority has said that it knows of a refusal: then nothing may be said of what was done."""
        if held.refusal is not None:
            held.refusal = None
            self.counts["unsure"] += 1
            self._end_joined(held, "failed", "")
            self._dispatcher.deliver_answer(held.session, Answer("failed"))

    # ------------------------------------------------------------------ words

    def _say(self, word: Word, holder: Holder) -> None:
        for name in holder.witnesses:
            self._to(name, word)

    def _to(self, name: str, word: Word) -> None:
        if name == self._name:
            self.reply(name, self.heard(word))
        else:
            self.tell(name, word)

    def heard(self, word: Word) -> Word:
        """A word to this process's witness; its answer."""
        return self.witness.heard(word, self._loop.now)

    def reply(self, witness: str, word: Word) -> None:
        """A witness's answer."""
        taker = self._takers.get(word.key)
        if taker is not None and word.kind in ("promise", "no") and word.epoch == taker[0].epoch:
            taker[0].heard(witness, word)
            self._decided(word.key)
            return
        held = self._held.get(word.key)
        if held is not None and word.kind in ("ack", "no"):
            before = held.holder.verdict
            after = held.holder.heard(witness, word)
            if after != before:
                self._verdict(held, after)
            elif held.holder.hopeless():
                held.wake()
        if word.kind == "tell" and word.state is not None and word.state.phase is Phase.ENDED:
            for waiting in [h for h in self._by_session.values() if h.lent and h.holder.key == word.key]:
                if word.state.made == waiting.made:
                    self._give(waiting, word.state.answer, word.state.body)

    def _verdict(self, held: Held, verdict: str) -> None:
        holder = held.holder
        if verdict == "go" and holder.state.phase is Phase.HELD:
            self._say(holder.put(Phase.CONFIRMED), holder)
        if verdict == "go" and held.refusal is not None:
            answer, held.refusal = held.refusal, None
            self._end_joined(held, "refused", "")
            self._dispatcher.deliver_answer(held.session, answer)
        elif verdict in ("known", "lost") and held.refusal is not None:
            self._unsure(held)
        elif verdict in ("known", "lost") and not held.lent:
            self._lend(held)
        held.wake()

    def _lend(self, held: Held) -> None:
        """Somebody else has the job: its client waits for that one's end."""
        other, holder = held.holder.other, held.holder
        self.counts["returned" if holder.verdict == "known" else "lost"] += 1
        held.lent = True
        if holder.verdict == "known" and holder.said:  # what we made of it at a witness is nobody's
            self._say(holder.withdrawn(), holder)
        if self._held.get(holder.key) is held:
            del self._held[holder.key]
        if holder.verdict == "known" and other is not None and other.digest != holder.state.digest:
            self._drop(held)
            self._dispatcher.deliver_answer(held.session, Answer("unusable"))
            return
        self._dispatcher.hand_off(held.session)
        if other is not None and other.phase is Phase.ENDED:
            self._give(held, other.answer, other.body)

    def _give(self, held: Held, kind: str, body: str) -> None:
        """A lent session's end."""
        self._drop(held)
        answers: dict[str, Any] = {"served": "served", "refused": "refused", "unusable": "unusable"}
        self._dispatcher.deliver_answer(
            held.session, Answer(answers.get(kind, "failed"), body.encode("latin-1"))
        )

    def _look(self) -> None:
        """Ask how the jobs of lent sessions go; give up those whose time is over."""
        now = self._loop.now
        for held in [h for h in self._by_session.values() if h.lent]:
            if now >= held.session.deadline - ASK_EVERY or not self._reachable(held.holder.witnesses):
                self._give(held, "failed", "")
            elif held.holder.key not in self._held:
                for name in held.holder.witnesses:
                    self._to(name, Word("ask", held.holder.key))
        self._loop.at(now + ASK_EVERY, self._look)

    # ------------------------------------------------------------------ taking over

    def owner_gone(self, name: str, life: int) -> None:
        """A process is gone, by what members say or because a later one of its name speaks."""
        if name != self._name and (name, life) not in self._gone:
            self._gone[name, life] = self._loop.now
            jobs = sum(1 for _ in self.witness.of(name))
            say(log, events.TAKEOVER_GONE, owner=name, jobs=jobs)
            self._loop.at(self._loop.now + FIRST_LOOK, self._take_some)

    def _orphans(self) -> Iterator[tuple[str, Register]]:
        def lives(name: str) -> bool:
            return self.lives(name) and name not in gone

        gone = {name for name, _ in self._gone}  # their connections may stand still
        for name, life in list(self._gone):
            for key, register in self.witness.of(name):
                state = register.state
                if state is None or state.life != life or key in self._takers:
                    continue
                if self._roster.successor(key, self._name, lives) == self._name:
                    yield key, register

    def _take_some(self) -> None:
        """Take what is most worth taking, a bounded number at a time."""
        now, classes = self._loop.now, self._config.settings.classes
        found = list(self._orphans())
        for key, register in in_order(found, now, [c.worth for c in classes]):
            if len(self._takers) >= AT_ONCE:
                break
            if register.state is None:
                continue
            taker = Taker(
                key,
                self._roster.witnesses(key),
                self._name,
                self._life,
                self._roster.place(self._name),
                register.state,
            )
            self._takers[key] = taker, register, now
            for name in taker.witnesses:
                self._to(name, taker.take())
        if found:
            self._loop.at(now + max(5_000, round(1e6 / self._told.pace)), self._take_some)

    def _decided(self, key: str) -> None:
        taker, register, _ = self._takers[key]
        if taker.verdict == "lost":
            del self._takers[key]
        elif taker.verdict == "go":
            del self._takers[key]
            self._succeeds(taker, register)

    def _succeeds(self, taker: Taker, register: Register) -> None:
        """The register is ours: run the job, or end it."""
        now, job, latest = self._loop.now, register.job, taker.latest
        if latest.phase is Phase.ENDED:
            return
        holder = taker.holder(job)
        left = 0 if job is None else job.left - (now - register.since)
        cls = None if job is None else self._config.settings.classes[job.cls]
        again = cls is not None and (cls.effect == "safe" or (cls.effect == "keyed" and cls.group == "all"))
        if cls is None or job is None or left < AHEAD or not taker.may_run(again):
            self.counts["ended"] += 1
            never = latest.phase is Phase.CONFIRMED
            self._say(holder.put(Phase.ENDED, answer="refused" if never else "failed"), holder)
            return
        self.counts["run"] += 1
        self._say(holder.put(latest.phase), holder)  # from here on it is no orphan
        arrival, passed = unpack(job.request)
        session = self._dispatcher.submit(
            arrival._replace(time_left=left), passed, lambda answer: None, guarded=True
        )
        back = self._held.get(holder.key)  # its client may have come here already
        self._guards(session, holder)
        if back is not None:
            back.lent, back.holder = True, holder
            self._dispatcher.hand_off(back.session)
            back.wake()
        say(log, events.TAKEN_OVER, owner=latest.owner, job=passed.id)

    def _sweep(self) -> None:
        now = self._loop.now
        self.witness.sweep(now)
        if self.counts and now - self._counted > COUNTS_EVERY:
            told = " ".join(f"{name}={count}" for name, count in sorted(self.counts.items()))
            say(log, events.TAKEOVER_COUNTS, counts=told, kept=len(self.witness.registers))
            self._counted = now
            self._totals += self.counts
            self.counts.clear()
        for key in [key for key, (_, _, at) in self._takers.items() if now - at > TAKE_TIME]:
            del self._takers[key]  # no majority: another look may find one
        if self._gone:
            self._take_some()
            self._gone = {who: at for who, at in self._gone.items() if now - at < 30_000_000}
        self._loop.at(now + SWEEP, self._sweep)


def _identity(job: Job, header: bytes) -> str:
    for name, value in job.headers:
        if name.lower() == header:
            return value.decode("latin-1")[:200]
    return ""


def pack(session: Session) -> str:
    """A session's request, as a successor wants it."""
    job: Job = session.job
    headers = [[name.decode("latin-1"), value.decode("latin-1")] for name, value in job.headers]
    passed = [
        job.id,
        job.method.decode("latin-1"),
        job.target.decode("latin-1"),
        headers,
        job.body.decode("latin-1"),
    ]
    told: str = ujson.dumps([list(session.arrival), passed], escape_forward_slashes=False)
    return told


def unpack(text: str) -> tuple[i.Arrival, Job]:
    """The request again. Raises ValueError."""
    arrival, (id_, method, target, headers, body) = ujson.loads(text)
    rows = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
    job = Job(id_, method.encode("latin-1"), target.encode("latin-1"), rows, body.encode("latin-1"))
    return i.Arrival(*arrival), job

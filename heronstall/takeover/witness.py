"""A witness: it keeps registers for others, votes, and forgets in time.

A word is taken if its epoch is no lower than what was promised (single-decree Paxos: Lamport, "The Part-Time
Parliament", 1998). A witness that has begun anew has forgotten what it promised before: on what it does not
know it votes only once it has lived for longer than any job does.
"""

from __future__ import annotations

from collections.abc import Iterator

from heronstall.takeover.messages import Job, Phase, State, Word

AGAIN = frozenset({"refused"})  # ended, and a client may hand it in anew as if for the first time


class Register:
    """One job, as this witness knows it."""

    __slots__ = ("promised", "state", "job", "until", "since", "size")

    def __init__(self, until: int, since: int) -> None:
        self.promised = 0
        self.state: State | None = None
        self.job: Job | None = None
        self.until = until  # from then on nobody asks for it
        self.since = since  # when its job came here, for its time left
        self.size = 0


class Witness:
    """All registers of one process. Times are microseconds of one clock."""

    def __init__(self, born: int, longest: int, room: int) -> None:
        """`longest`: a job's life, from its arrival until nobody asks for it any more; `room`: bytes."""
        self._grown_at, self._longest, self._room = born + longest, longest, room
        self.registers: dict[str, Register] = {}
        self.held = 0  # bytes

    def grown(self, now: int) -> bool:
        """Whether it has lived for longer than any job does."""
        return now >= self._grown_at

    def heard(self, word: Word, now: int) -> Word:
        """The answer to a put, a take or an ask."""
        if word.kind == "put":
            return self._put(word, now)
        if word.kind == "take":
            return self._take(word, now)
        register = self._known(word.key, now)
        state = None if register is None else register.state
        return Word("tell", word.key, state=state, grown=self.grown(now))

    def _known(self, key: str, now: int) -> Register | None:
        register = self.registers.get(key)
        if register is not None and now >= register.until:
            self._drop(key)
            return None
        return register

    def _put(self, word: Word, now: int) -> Word:
        state, register = word.state, self._known(word.key, now)
        if state is None:
            return self._no(word, register, now)
        if register is None:
            if not word.first and not self.grown(now):
                return self._no(word, None, now)  # it may be older than this witness, who may have promised
            if not self._make(word, now):
                return self._no(word, None, now)
            return self._ack(word, now)
        held = register.state
        if word.first and held is not None and held.made != state.made:
            if held.phase is not Phase.ENDED or held.answer not in AGAIN:
                return self._no(word, register, now)
            register.promised = 0  # it is handed in anew, and is a new job
            held = register.state = register.job = None
        if held is not None and held.made != state.made:
            return self._no(word, register, now)  # a late word on a job that had this key before
        if state.epoch < register.promised:
            return self._no(word, register, now)
        if held is None or state.rank > held.rank:
            register.state, register.promised = state, state.epoch
            self._keep(register, word.job, now)
        return self._ack(word, now)

    def _take(self, word: Word, now: int) -> Word:
        register = self._known(word.key, now)
        if register is None:
            if not self.grown(now) or not self._make(word, now):
                return self._no(word, None, now)
            register = self.registers[word.key]
        other = (
            register.state is not None and word.state is not None and register.state.made != word.state.made
        )
        if word.epoch <= register.promised or other:
            return self._no(word, register, now)
        register.promised = word.epoch
        return Word("promise", word.key, word.epoch, 0, register.state, grown=self.grown(now))

    def _ack(self, word: Word, now: int) -> Word:
        assert word.state is not None
        return Word("ack", word.key, word.state.epoch, word.state.number, grown=self.grown(now))

    def _no(self, word: Word, register: Register | None, now: int) -> Word:
        of = word.epoch if word.kind == "take" or word.state is None else word.state.epoch
        number = 0 if word.state is None else word.state.number
        state = None if register is None else register.state
        promised = 0 if register is None else register.promised
        return Word("no", word.key, of, number, state, promised > of, self.grown(now))

    # ------------------------------------------------------------------ memory

    def _make(self, word: Word, now: int) -> bool:
        register = Register(now + self._longest, now)
        if not self._fits(register, word):
            return False
        self.registers[word.key] = register
        register.state = word.state if word.kind == "put" else None
        register.promised = word.state.epoch if word.kind == "put" and word.state is not None else 0
        self._keep(register, word.job, now)
        return True

    def _fits(self, register: Register, word: Word) -> bool:
        size = len(word.key) + (0 if word.job is None else len(word.job.request))
        return self.held + size <= self._room

    def _keep(self, register: Register, job: Job | None, now: int) -> None:
        if job is not None and register.job is None:
            register.job, register.since = job, now
        state = register.state
        if state is not None and state.phase is Phase.ENDED:
            register.job = None  # nobody will run it
        size = (0 if register.job is None else len(register.job.request)) + len(state.body if state else "")
        self.held += size - register.size
        register.size = size

    def _drop(self, key: str) -> None:
        self.held -= self.registers.pop(key).size

    def sweep(self, now: int) -> None:
        """Forget what nobody asks for any more."""
        for key in [key for key, register in self.registers.items() if now >= register.until]:
            self._drop(key)

    def of(self, owner: str) -> Iterator[tuple[str, Register]]:
        """The registers of an owner whose jobs have not ended."""
        for key, register in self.registers.items():
            state = register.state
            if state is not None and state.owner == owner and state.phase is not Phase.ENDED:
                yield key, register

"""An owner's part in a job's register, and a successor's. Both decide from witnesses' words alone.

Neither trusts a clock: what an owner may do hangs on a majority's words about its epoch, so one that was
stopped for ten seconds finds, when it goes on, that its words are refused.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Literal

from heronstall.takeover.messages import EPOCHS, Job, Phase, State, Word, epoch

Verdict = Literal["open", "go", "known", "lost"]


class Holder:
    """One job's owner. Each call returns the word that is to go to all witnesses.

    `verdict` is about the latest word: `go` once a majority has taken it, `known` where somebody else has the
    job, `lost` where a successor has taken it, `open` before.
    """

    def __init__(
        self,
        key: str,
        witnesses: Sequence[str],
        owner: str,
        life: int,
        at: int,
        digest: str,
        job: Job | None,
        first: bool = True,
        made: str = "",
    ) -> None:
        self.key, self.witnesses = key, tuple(witnesses)
        self.state = State(at, 0, owner, life, Phase.HELD, digest=digest, made=made or f"{owner}/{life}/{at}")
        self.job = job
        self.verdict: Verdict = "open"
        self.other: State | None = None  # of whoever has it
        self.confirmed = False  # a majority has had a word of ours
        self._first = first  # no majority has: a register is to be made
        self._said = False
        self._acks: set[str] = set()
        self._noes: set[str] = set()

    @property
    def said(self) -> bool:
        """Whether a word has been said of it."""
        return self._said

    @property
    def majority(self) -> int:
        """How many witnesses are enough."""
        return len(self.witnesses) // 2 + 1

    def put(self, phase: Phase, **more: object) -> Word:
        """Say how far the job has come."""
        number = self.state.number + int(self._said)
        self._said = True
        self.state = self.state._replace(phase=phase, number=number, **more)  # type: ignore[arg-type]
        self._acks, self._noes = set(), set()
        if self.verdict != "lost":
            self.verdict = "open"
        job = self.job if self._first and phase is not Phase.ENDED else None
        return Word("put", self.key, state=self.state, first=self._first, job=job)

    def withdrawn(self) -> Word:
        """The word that takes back what was made at a minority: whoever has the job goes on with it."""
        state = self.state._replace(phase=Phase.ENDED, number=self.state.number + 1, answer="refused")
        return Word("put", self.key, state=state)

    def heard(self, witness: str, word: Word) -> Verdict:
        """An ack or a no, of this word or of one before it."""
        if word.key != self.key or witness not in self.witnesses or word.epoch != self.state.epoch:
            return self.verdict
        if word.kind == "ack":
            if word.number == self.state.number and self.verdict == "open":
                # The first word makes the register: only who would know of another one can say there is none.
                if word.grown or not self._first:
                    self._acks.add(witness)
                else:
                    self._noes.add(witness)
                if len(self._acks) >= self.majority:
                    self.verdict, self.confirmed, self._first = "go", True, False
        elif word.kind == "no" and self.verdict in ("open", "go"):
            theirs = word.state
            if theirs is not None and theirs.made != self.state.made:
                self._refused(witness, theirs)
            elif word.first:  # a higher epoch was promised
                self.verdict = "lost"
            else:
                self._noes.add(witness)
        return self.verdict

    def _refused(self, witness: str, theirs: State) -> None:
        """A witness has somebody else's word. A majority may not: two that begin at once share the witnesses,
        and whoever gets more of them has the job; one that is beyond its first word had a majority."""
        self._noes.add(witness)
        if self.confirmed:
            if theirs.epoch // EPOCHS > self.state.epoch // EPOCHS:
                self.other, self.verdict = theirs, "lost"
            return
        if self.other is None or theirs.rank > self.other.rank:
            self.other = theirs
        first = theirs.number == 0 and theirs.epoch < EPOCHS and theirs.phase in (Phase.HELD, Phase.WRITING)
        if not first or self.hopeless():
            self.verdict = "known"

    def hopeless(self) -> bool:
        """Whether no majority can come any more: too many cannot vote."""
        return len(self.witnesses) - len(self._noes) < self.majority

    def alone(self) -> bool:
        """Whether the job may be served without a majority: nobody else may run it then.

        A first word of `WRITING` reads as "may have run" wherever it got; one of `HELD` that was not
        confirmed is taken for the same.
        """
        return not self.confirmed and self.verdict == "open" and self.other is None

    def gives_way(self) -> bool:
        """No majority will say anything, and somebody else is known to have had the job: it is not ours."""
        if self.other is not None and not self.confirmed and self.verdict == "open":
            self.verdict = "known"
        return self.verdict == "known"


class Taker:
    """A successor: it wants a register of an owner that is gone."""

    def __init__(
        self, key: str, witnesses: Sequence[str], name: str, life: int, place: int, held: State
    ) -> None:
        self.key, self.witnesses = key, tuple(witnesses)
        self._name, self._life, self._place = name, life, place
        self.epoch = epoch(held.epoch // EPOCHS + 1, place)
        self.latest: State = held
        self.verdict: Verdict = "open"
        self._promises: set[str] = set()

    def take(self) -> Word:
        """The word that is to go to all witnesses."""
        return Word("take", self.key, self.epoch, state=self.latest)

    def heard(self, witness: str, word: Word) -> Verdict:
        """A promise or a no."""
        if word.key != self.key or witness not in self.witnesses or word.epoch != self.epoch:
            return self.verdict
        if word.state is not None and word.state.rank > self.latest.rank:
            self.latest = word.state
        if word.kind == "promise" and self.verdict == "open":
            self._promises.add(witness)
            if len(self._promises) >= len(self.witnesses) // 2 + 1:
                self.verdict = "go"
        elif word.kind == "no" and word.first and self.verdict == "open":
            self.verdict = "lost"  # somebody else has promised more
        return self.verdict

    def holder(self, job: Job | None) -> Holder:
        """What goes on once a majority has promised: the register is ours, under this epoch."""
        assert self.verdict == "go"
        made = Holder(
            self.key,
            self.witnesses,
            self._name,
            self._life,
            self.epoch,
            self.latest.digest,
            job,
            False,
            self.latest.made,
        )
        made.confirmed = True  # nothing of it may be done alone: others may take it over in turn
        return made

    def may_run(self, repeatable: bool) -> bool:
        """Whether the job may be run: it was certainly never written, or may run twice."""
        if self.latest.phase is Phase.ENDED:
            return False
        return self.latest.phase is Phase.CONFIRMED or repeatable

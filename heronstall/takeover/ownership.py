"""The protocol of a job's owner and of its successor. Both decide from the witnesses' replies alone.

Neither relies on a clock: what an owner may do depends on a majority's replies to its epoch. So an owner
that was stopped for ten seconds finds its messages refused when it resumes.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Literal

from heronstall.takeover.messages import EPOCHS_PER_ROUND, Job, Message, Phase, State, epoch

Verdict = Literal["open", "go", "known", "lost"]


class Holder:
    """The owner of one job. The messages that its methods return are to be sent to all witnesses.

    `verdict` refers to the latest message: `go` once a majority has accepted it, `known` where another
    process has the job, `lost` where a successor has taken it over, `open` before that.
    """

    def __init__(
        self,
        key: str,
        witnesses: Sequence[str],
        owner: str,
        life: int,
        epoch: int,
        digest: str,
        job: Job | None,
        first: bool = True,
        register_id: str = "",
    ) -> None:
        self.key, self.witnesses = key, tuple(witnesses)
        self.state = State(
            epoch,
            0,
            owner,
            life,
            Phase.ACCEPTED,
            digest=digest,
            register_id=register_id or f"{owner}/{life}/{epoch}",
        )
        self.job = job
        self.verdict: Verdict = "open"
        self.other: State | None = None  # of the other process that has the job
        self.confirmed = False  # a majority has accepted a message of this owner
        self._first = first  # no majority has accepted one yet: the register is to be created
        self._announced = False
        self._acks: set[str] = set()
        self._refusals: set[str] = set()

    @property
    def announced(self) -> bool:
        """Whether a message about the job has been created."""
        return self._announced

    @property
    def majority(self) -> int:
        """The number of witnesses that form a majority."""
        return len(self.witnesses) // 2 + 1

    def put(self, phase: Phase, **changes: object) -> Message:
        """Records the job's progress and returns the put message that reports it."""
        number = self.state.number + int(self._announced)
        self._announced = True
        self.state = self.state._replace(phase=phase, number=number, **changes)  # type: ignore[arg-type]
        self._acks, self._refusals = set(), set()
        if self.verdict != "lost":
            self.verdict = "open"
        job = self.job if self._first and phase is not Phase.ENDED else None
        return Message("put", self.key, state=self.state, first=self._first, job=job)

    def withdrawal(self) -> Message:
        """Returns the message that withdraws a register created at a minority of the witnesses.

        The other process that has the job continues with it.
        """
        state = self.state._replace(phase=Phase.ENDED, number=self.state.number + 1, answer="refused")
        return Message("put", self.key, state=state)

    def handle_reply(self, witness: str, message: Message) -> Verdict:
        """Processes an ack or a no, which may answer the latest message or an earlier one."""
        if message.key != self.key or witness not in self.witnesses or message.epoch != self.state.epoch:
            return self.verdict
        if message.kind == "ack":
            if message.number == self.state.number and self.verdict == "open":
                # The first put creates the register: only a mature witness, which would know an earlier
                # register, can confirm that there is none.
                if message.mature or not self._first:
                    self._acks.add(witness)
                else:
                    self._refusals.add(witness)
                if len(self._acks) >= self.majority:
                    self.verdict, self.confirmed, self._first = "go", True, False
        elif message.kind == "no" and self.verdict in ("open", "go"):
            other = message.state
            if other is not None and other.register_id != self.state.register_id:
                self._handle_conflict(witness, other)
            elif message.first:  # a higher epoch was promised
                self.verdict = "lost"
            else:
                self._refusals.add(witness)
        return self.verdict

    def _handle_conflict(self, witness: str, other: State) -> None:
        """Processes a witness's report that it has another owner's register.

        A majority may not have it: two owners that begin at the same time divide the witnesses, and the one
        with more of them has the job. An owner beyond its first message had a majority.
        """
        self._refusals.add(witness)
        if self.confirmed:
            if other.epoch // EPOCHS_PER_ROUND > self.state.epoch // EPOCHS_PER_ROUND:
                self.other, self.verdict = other, "lost"
            return
        if self.other is None or other.rank > self.other.rank:
            self.other = other
        first = (
            other.number == 0
            and other.epoch < EPOCHS_PER_ROUND
            and other.phase in (Phase.ACCEPTED, Phase.WRITING)
        )
        if not first or self.majority_impossible():
            self.verdict = "known"

    def majority_impossible(self) -> bool:
        """Returns whether too many witnesses have refused for a majority to be possible."""
        return len(self.witnesses) - len(self._refusals) < self.majority

    def may_run_alone(self) -> bool:
        """Returns whether the job may run without a majority, since no other process may run it then.

        A witness that has a first message of `WRITING` shows that the job may have run. An unconfirmed
        `ACCEPTED` is treated in the same way.
        """
        return not self.confirmed and self.verdict == "open" and self.other is None

    def yield_to_other(self) -> bool:
        """Gives the job up where no majority replies and another process is known to have had it.

        Returns whether the job belongs to another process.
        """
        if self.other is not None and not self.confirmed and self.verdict == "open":
            self.verdict = "known"
        return self.verdict == "known"


class Successor:
    """A successor that requests the register of an owner that is gone."""

    def __init__(
        self, key: str, witnesses: Sequence[str], name: str, life: int, position: int, state: State
    ) -> None:
        self.key, self.witnesses = key, tuple(witnesses)
        self._name, self._life, self._position = name, life, position
        self.epoch = epoch(state.epoch // EPOCHS_PER_ROUND + 1, position)
        self.latest: State = state
        self.verdict: Verdict = "open"
        self._promises: set[str] = set()

    def take(self) -> Message:
        """Returns the take message for all witnesses."""
        return Message("take", self.key, self.epoch, state=self.latest)

    def handle_reply(self, witness: str, message: Message) -> Verdict:
        """Processes a promise or a no."""
        if message.key != self.key or witness not in self.witnesses or message.epoch != self.epoch:
            return self.verdict
        if message.state is not None and message.state.rank > self.latest.rank:
            self.latest = message.state
        if message.kind == "promise" and self.verdict == "open":
            self._promises.add(witness)
            if len(self._promises) >= len(self.witnesses) // 2 + 1:
                self.verdict = "go"
        elif message.kind == "no" and message.first and self.verdict == "open":
            self.verdict = "lost"  # a higher epoch was promised to another successor
        return self.verdict

    def to_holder(self, job: Job | None) -> Holder:
        """Returns the job's new owner, under this epoch, once a majority has promised the register."""
        assert self.verdict == "go"
        holder = Holder(
            self.key,
            self.witnesses,
            self._name,
            self._life,
            self.epoch,
            self.latest.digest,
            job,
            False,
            self.latest.register_id,
        )
        holder.confirmed = True  # forbids running the job alone, since others may take it over in turn
        return holder

    def may_run(self, repeatable: bool) -> bool:
        """Returns whether the job may run: it was certainly never written to a server, or may run twice."""
        if self.latest.phase is Phase.ENDED:
            return False
        return self.latest.phase is Phase.CONFIRMED or repeatable

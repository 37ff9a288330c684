"""A witness: it stores registers for other processes, votes, and drops expired registers.

A message is accepted if its epoch is no lower than the promised one (single-decree Paxos: Lamport, "The
Part-Time Parliament", 1998). A witness that has restarted has lost its promises: on a register that it does
not know it votes only once it has been running for longer than the lifetime of any job.
"""

from __future__ import annotations

from collections.abc import Iterator

from heronstall.takeover.messages import Job, Message, Phase, State

RESUBMITTABLE_ANSWERS = frozenset({"refused"})  # a client may submit such an ended job again as a new one


class Register:
    """One job as this witness knows it."""

    __slots__ = ("promised", "state", "job", "expires_at", "received_at", "size")

    def __init__(self, expires_at: int, received_at: int) -> None:
        self.promised = 0
        self.state: State | None = None
        self.job: Job | None = None
        self.expires_at = expires_at  # no process asks for the register from then on
        self.received_at = received_at  # when the job arrived here, to compute its time left
        self.size = 0


class Witness:
    """All registers of one process. Times are microseconds of one clock."""

    def __init__(self, started_at: int, max_lifetime: int, max_bytes: int) -> None:
        """`max_lifetime`: the longest time from a job's arrival until no process asks for it any more."""
        self._mature_at, self._max_lifetime, self._max_bytes = (
            started_at + max_lifetime,
            max_lifetime,
            max_bytes,
        )
        self.registers: dict[str, Register] = {}
        self.stored_bytes = 0

    def is_mature(self, now: int) -> bool:
        """Returns whether the witness has been running for longer than the lifetime of any job."""
        return now >= self._mature_at

    def handle_message(self, message: Message, now: int) -> Message:
        """Returns the answer to a put, a take or an ask."""
        if message.kind == "put":
            return self._put(message, now)
        if message.kind == "take":
            return self._take(message, now)
        register = self._lookup(message.key, now)
        state = None if register is None else register.state
        return Message("tell", message.key, state=state, mature=self.is_mature(now))

    def _lookup(self, key: str, now: int) -> Register | None:
        register = self.registers.get(key)
        if register is not None and now >= register.expires_at:
            self._drop(key)
            return None
        return register

    def _put(self, message: Message, now: int) -> Message:
        state, register = message.state, self._lookup(message.key, now)
        if state is None:
            return self._refuse(message, register, now)
        if register is None:
            if not message.first and not self.is_mature(now):
                # The register may be older than this witness, which may have promised a higher epoch.
                return self._refuse(message, None, now)
            if not self._create(message, now):
                return self._refuse(message, None, now)
            return self._ack(message, now)
        current = register.state
        if message.first and current is not None and current.register_id != state.register_id:
            if current.phase is not Phase.ENDED or current.answer not in RESUBMITTABLE_ANSWERS:
                return self._refuse(message, register, now)
            register.promised = 0  # the job was submitted again and counts as a new one
            current = register.state = register.job = None
        if current is not None and current.register_id != state.register_id:
            return self._refuse(message, register, now)  # a late message on an earlier job with this key
        if state.epoch < register.promised:
            return self._refuse(message, register, now)
        if current is None or state.rank > current.rank:
            register.state, register.promised = state, state.epoch
            self._update_job(register, message.job, now)
        return self._ack(message, now)

    def _take(self, message: Message, now: int) -> Message:
        register = self._lookup(message.key, now)
        if register is None:
            if not self.is_mature(now) or not self._create(message, now):
                return self._refuse(message, None, now)
            register = self.registers[message.key]
        different = (
            register.state is not None
            and message.state is not None
            and register.state.register_id != message.state.register_id
        )
        if message.epoch <= register.promised or different:
            return self._refuse(message, register, now)
        register.promised = message.epoch
        return Message("promise", message.key, message.epoch, 0, register.state, mature=self.is_mature(now))

    def _ack(self, message: Message, now: int) -> Message:
        assert message.state is not None
        return Message(
            "ack", message.key, message.state.epoch, message.state.number, mature=self.is_mature(now)
        )

    def _refuse(self, message: Message, register: Register | None, now: int) -> Message:
        epoch = message.epoch if message.kind == "take" or message.state is None else message.state.epoch
        number = 0 if message.state is None else message.state.number
        state = None if register is None else register.state
        promised = 0 if register is None else register.promised
        return Message("no", message.key, epoch, number, state, promised > epoch, self.is_mature(now))

    # ------------------------------------------------------------------ storage

    def _create(self, message: Message, now: int) -> bool:
        register = Register(now + self._max_lifetime, now)
        if not self._fits(register, message):
            return False
        self.registers[message.key] = register
        register.state = message.state if message.kind == "put" else None
        register.promised = message.state.epoch if message.kind == "put" and message.state is not None else 0
        self._update_job(register, message.job, now)
        return True

    def _fits(self, register: Register, message: Message) -> bool:
        size = len(message.key) + (0 if message.job is None else len(message.job.request))
        return self.stored_bytes + size <= self._max_bytes

    def _update_job(self, register: Register, job: Job | None, now: int) -> None:
        if job is not None and register.job is None:
            register.job, register.received_at = job, now
        state = register.state
        if state is not None and state.phase is Phase.ENDED:
            register.job = None  # it will not run again
        size = (0 if register.job is None else len(register.job.request)) + len(state.body if state else "")
        self.stored_bytes += size - register.size
        register.size = size

    def _drop(self, key: str) -> None:
        self.stored_bytes -= self.registers.pop(key).size

    def sweep(self, now: int) -> None:
        """Drops all expired registers."""
        for key in [key for key, register in self.registers.items() if now >= register.expires_at]:
            self._drop(key)

    def open_registers(self, owner: str) -> Iterator[tuple[str, Register]]:
        """Yields an owner's registers whose jobs have not ended."""
        for key, register in self.registers.items():
            state = register.state
            if state is not None and state.owner == owner and state.phase is not Phase.ENDED:
                yield key, register

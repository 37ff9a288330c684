"""A core node: the shards of the control state, sessions, and the chores of their leaders."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import structlog

from heronstall.config import NodeSettings
from heronstall.controlplane.hosting import Superseded
from heronstall.controlplane.planning import ReadingPlans
from heronstall.controlplane.replica_node import ReplicaNode
from heronstall.controlplane.state import worker_shard
from heronstall.controlplane.state.config_shard import (
    ChangeOutcome,
    Command,
    ConfigShard,
    StoreStage,
    command,
)
from heronstall.controlplane.state.worker_shard import WorkerShard
from heronstall.distribution.freshness import MAX_STATE_STALENESS
from heronstall.distribution.shards import BATCH_SHARDS, CONFIG, WORKER_SHARDS
from heronstall.distribution.shards import worker_shard as shard_of_service
from heronstall.ownership.placement import PlacementCandidate, initial_placements, repaired_placements
from heronstall.replication import membership
from heronstall.replication.protocol import address_of
from heronstall.replication.replica import Replica
from heronstall.sessions.loads import pack_loads
from heronstall.sessions.table import SESSION_TIMEOUT, Sessions
from heronstall.transport.frames import Kind, Status
from heronstall.transport.links import Reply
from heronstall.transport.messages import (
    ConfigChange,
    Placement,
    PlaceRequest,
    SessionTable,
    StoreNode,
    SyncReply,
    SyncRequest,
    WorkerEnd,
)

log = structlog.get_logger()

CHORES = 0.3  # seconds between rounds of chores
SETTLE = SESSION_TIMEOUT + 0.5  # seconds of a process's life before a silent node counts as dead
LED_LEAST = 1.0  # seconds of leading before that: nodes that called the former leader call another by then
READ_SEEDS_EVERY = 2.0  # seconds
GATHER = 1.0  # seconds that a first placement waits for more storage nodes
LOG_LIMIT = 8 * 1024 * 1024  # bytes of log before a slot is written
DISK_PARTS = 8  # of the disk, of which the log takes one at the most
COMMIT_WITHIN = 2.5  # seconds
CONFIRM_WITHIN = 0.5  # seconds for the answers of a majority
SILENT_BEATS = 3.2  # heartbeats that a worker may miss
FRESH_LOOK = 0.01  # seconds between looks whether this node may tell its views


class Core(ReplicaNode):
    """All that a core node holds and does, but for its HTTP interface."""

    def __init__(self, settings: NodeSettings) -> None:
        super().__init__(settings, LOG_LIMIT, DISK_PARTS)
        self.sessions = Sessions()
        self.plans = ReadingPlans(self.sessions, time.monotonic)
        self.config = ConfigShard()
        self.workers = {name: WorkerShard() for name in WORKER_SHARDS}
        self.heard: dict[str, float] = {}  # by worker: its latest heartbeat at this node
        self._news = asyncio.Event()
        self._led_since: dict[str, float] = {}
        self._placing_since: float | None = None
        self._started_at = self.host.now()
        self._seeds_after = self._started_at + READ_SEEDS_EVERY

    async def start(self) -> None:
        """Join the groups and begin to serve other nodes."""
        seeds = self.settings.seed_addresses
        known = set(self.host.recovered_groups)
        self.host.add(CONFIG, self.config)
        for name, shard in self.workers.items():
            self.host.add(name, shard)
        for group, hosted in self.host.groups.items():
            forms = self.settings.bootstrap and self.address in seeds and group not in known
            if forms and self.host.me.endswith("#0"):
                hosted.replica.bootstrap(self.host.now(), tuple(sorted(f"{s}#0" for s in seeds)))
        await self._begin(self._stay_in_touch(), self._chores())

    # ------------------------------------------------------------------ what the interface asks

    def replica(self, group: str) -> Replica:
        """This node's replica of a group."""
        return self.host.groups[group].replica

    def leads(self, group: str) -> bool:
        """Whether this node may answer for a group."""
        return self.replica(group).holds_lease(self.host.now())

    def leader_address(self, group: str) -> str | None:
        """Internal address of a group's leader, where it is known and another node."""
        hint = self.replica(group).leader_hint(self.host.now())
        return address_of(hint) if hint and hint != self.host.me else None

    async def commit(self, group: str, data: bytes) -> bool | None:
        """Commit a command: what it did, or None where that is not known."""
        done = await self._applied_to(group, data)
        return None if done is None else bool(done)

    async def change_config(self, change: ConfigChange) -> ChangeOutcome | None:
        """Commit a change of the configuration: what became of it, or None where nothing can be said.

        None too where another leader's entry took its place: the change itself was not at fault.
        """
        outcome = await self._applied_to(CONFIG, command(Command.CHANGE, change))
        assert outcome is None or isinstance(outcome, ChangeOutcome)
        return outcome

    async def _applied_to(self, group: str, data: bytes) -> Any:
        """What applying a command gave; None where it was superseded, or nothing is known of it."""
        try:
            return await self.host.propose(group, data, COMMIT_WITHIN)
        except (Superseded, TimeoutError):
            return None

    async def confirmed(self, group: str) -> bool:
        """Whether a majority says, after this call, that this node leads: its state is then the newest."""
        try:
            await self.host.confirm(group, CONFIRM_WITHIN)
        except TimeoutError:
            return False
        return self.leads(group)

    async def remove_worker(self, group: str, worker: str) -> bool:
        """Note in a registry shard that a worker has ended, here or at the shard's leader."""
        if self.leads(group):
            removal = worker_shard.remove(worker_shard.Command.REMOVE, worker)
            gone = self.workers[group].is_gone(worker)
            return gone or await self.commit(group, removal) is not None
        address = self.leader_address(group)
        if address is None:
            return False
        body = bytes(WorkerEnd(group, worker))
        reply = await self.links.to(address).call(Kind.WORKER_END, body, COMMIT_WITHIN)
        return reply.status == Status.OK

    async def _serve_end(self, request: WorkerEnd) -> Reply:
        if request.shard not in self.workers:
            return Reply(Status.REFUSED)
        if not self.leads(request.shard):
            return Reply(Status.NOT_OWNER)
        done = await self.remove_worker(request.shard, request.worker)
        return Reply(Status.OK if done else Status.UNSURE)

    def live_stores(self) -> set[str]:
        """Replica identities of the storage nodes that have a session."""
        return {s.replica for s in self.sessions.live_sessions(self.host.now(), "storage").values()}

    @property
    def copies(self) -> int:
        """Replicas of a batch shard that the tolerated losses need."""
        return 2 * self.settings.machines_lost + 1

    def settled(self) -> bool:
        """Whether this node knows which storage nodes live.

        Sessions are told to followers as well: one that has run for long need not lead for long.
        """
        now, since = self.host.now(), self._led_since.get(CONFIG)
        return since is not None and now - since > LED_LEAST and now - self._started_at > SETTLE

    # ------------------------------------------------------------------ other nodes

    async def _serve(self, kind: Kind, body: bytes) -> Reply:
        if kind == Kind.SYNC:
            return await self._sync(SyncRequest().parse(body))
        if kind == Kind.PLACE:
            return self._place_prompt(PlaceRequest().parse(body))
        if kind == Kind.WORKER_END:
            return await self._serve_end(WorkerEnd().parse(body))
        return Reply(Status.REFUSED)

    def _one_way(self, kind: Kind, body: bytes) -> None:
        if kind == Kind.SESSIONS:
            self.sessions.merge(self.host.now(), SessionTable().parse(body).sessions)
        else:
            super()._one_way(kind, body)

    async def _sync(self, request: SyncRequest) -> Reply:
        self.sessions.renew(self.host.now(), request.session)
        versions = {v.shard: v.version for v in request.versions}
        deadline = self.host.now() + request.wait_ms / 1000
        while True:
            left = deadline - self.host.now()
            if not self.fresh():
                # A caller that knows nothing waits: it has just started, as this node perhaps has too.
                if versions.get(CONFIG) or left <= 0:
                    return Reply(Status.UNSURE)
                await asyncio.sleep(min(left, FRESH_LOOK))
                continue
            news = self._news_since(versions)
            if news or left <= 0:
                reply = self._sync_reply(versions)
                if request.session.machine_class == "edge":
                    reply.loads = pack_loads(self.sessions.loads(self.host.now(), request.session.name))
                    reply.edge_number = self.sessions.rank(self.host.now(), request.session)
                return Reply(Status.OK, bytes(reply))
            try:
                async with asyncio.timeout(min(left, MAX_STATE_STALENESS / 2)):
                    await self._news.wait()
            except TimeoutError:
                continue

    def _place_prompt(self, request: PlaceRequest) -> Reply:
        """Advise where a prompt is to be read. A node out of touch knows neither workers nor loads."""
        if not self.fresh():
            return Reply(Status.UNSURE)
        return self.plans.answer(request, self.workers[shard_of_service(request.service)].workers)

    def fresh(self) -> bool:
        """Whether this node's views hold all that was acknowledged until lately, so that they may be told."""
        now = self.host.now()
        return all(h.replica.is_fresh(now, MAX_STATE_STALENESS) for h in self.host.groups.values())

    def _news_since(self, versions: dict[str, int]) -> bool:
        state = self.config.state
        return (
            state.config_version > versions.get("config", 0)
            or state.placement_version > versions.get("placement", 0)
            or any(w.version > versions.get(name, 0) for name, w in self.workers.items())
        )

    def _sync_reply(self, versions: dict[str, int]) -> SyncReply:
        state = self.config.state
        reply = SyncReply(config_version=state.config_version, placement_version=state.placement_version)
        if state.config_version > versions.get("config", 0):
            reply.document = state.document
        if state.placement_version > versions.get("placement", 0):
            reply.placements = state.placements
        for name, shard in self.workers.items():
            delta = shard.since(name, versions.get(name, 0))
            if delta is not None:
                reply.workers.append(delta)
        reply.control = [address_of(m) for m in self.replica(CONFIG).log.members]
        reply.edges = len(self.sessions.live_sessions(self.host.now(), "edge"))
        return reply

    def _applied(self, group: str) -> None:
        self._news.set()
        self._news = asyncio.Event()

    def _role(self, group: str, leads: bool) -> None:
        if leads:
            self._led_since[group] = self.host.now()
            shard = self.workers.get(group)
            if shard is not None:
                self.heard.update({worker: self.host.now() for worker in shard.workers})
        else:
            self._led_since.pop(group, None)

    # ------------------------------------------------------------------ chores

    async def _stay_in_touch(self) -> None:
        """Memberships and sessions, which must not wait for a commit: others take silence for an end."""
        while True:
            await asyncio.sleep(CHORES)
            self._members()
            self._gossip()

    async def _chores(self) -> None:
        """What leaders do; each commit may take seconds on a slow disk."""
        while True:
            await asyncio.sleep(CHORES)
            started = time.monotonic()
            try:
                await self._expire_workers()
                if self.leads(CONFIG):
                    await self._note_stores()
                    await self._place()
                    await self._finish_retiring()
                else:
                    self._placing_since = None
            except (Superseded, TimeoutError):
                log.info("chores put off", after=round(time.monotonic() - started, 2))

    def _members(self) -> None:
        now = self.host.now()
        if not self.fresh():
            self._read_seeds(now)
        seeds = [f"{seed}#" for seed in self.settings.seed_addresses]
        for hosted in self.host.groups.values():
            replica = hosted.replica
            wanted = membership.desired_voters(replica, self.copies, now, self.timing)
            if wanted:
                membership.advance_membership(replica, wanted, now, self.timing)
            others = [m for m in replica.log.members if m != self.host.me]
            replica.request_join(now, [*others, *(s for s in seeds if address_of(s) != self.address)])
        self.host.flush_soon()

    def _read_seeds(self, now: float) -> None:
        """A node that hears of no leader may have seeds that are gone: the file may name others."""
        if now >= self._seeds_after:
            self._seeds_after = now + READ_SEEDS_EVERY
            self.settings = self.settings.reloaded()

    def _gossip(self) -> None:
        now = self.host.now()
        table = bytes(SessionTable(self.sessions.recently_renewed(now)))
        self.sessions.expire(now)
        if table:
            for member in self.replica(CONFIG).log.members:
                if address_of(member) != self.address:
                    self.links.to(address_of(member)).send(Kind.SESSIONS, table)

    async def _expire_workers(self) -> None:
        now = self.host.now()
        silent_for = SILENT_BEATS * self.settings.heartbeat + 0.5
        for group, shard in self.workers.items():
            if not self.leads(group) or now - self._led_since.get(group, now) < silent_for:
                continue
            for worker in list(shard.workers):
                if now - self.heard.get(worker, now) > silent_for:
                    log.info("worker silent", worker=worker)
                    expired = worker_shard.remove(worker_shard.Command.EXPIRE, worker)
                    await self.host.propose(group, expired, COMMIT_WITHIN)

    async def _note_stores(self) -> None:
        for session in self.sessions.live_sessions(self.host.now(), "storage").values():
            known = self.config.store(session.name)
            if known is None or known.replica != session.replica:
                stage = StoreStage.ACTIVE if known is None else known.stage
                node = StoreNode(session.name, session.replica, session.zone, stage)
                await self.host.propose(CONFIG, command(Command.STORE, node), COMMIT_WITHIN)

    def _candidates(self) -> list[PlacementCandidate]:
        """Storage nodes; before this node knows who lives, those that hold replicas count as living."""
        live = self.live_stores()
        if not self.settled():
            live |= {r for placement in self.config.state.placements for r in placement.replicas}
        return [
            PlacementCandidate(s.replica, s.zone, s.replica in live, s.stage == StoreStage.ACTIVE)
            for s in self.config.state.stores
        ]

    async def _place(self) -> None:
        nodes = self._candidates()
        missing = [s for s in BATCH_SHARDS if not self.config.placement(s)]
        placed = {s: self.config.placement(s) for s in BATCH_SHARDS if s not in missing}
        changes: dict[str, tuple[str, ...]] = {}
        usable = sum(n.is_usable for n in nodes)
        now = self.host.now()
        if missing and usable:
            self._placing_since = self._placing_since or now
            patience = GATHER if usable >= self.copies else 6 * GATHER
            if now - self._placing_since > patience:
                changes = initial_placements(missing, nodes, self.copies)
        else:
            changes = repaired_placements(placed, nodes, self.copies)
        for shard, replicas in changes.items():
            log.info("place", shard=shard, replicas=list(replicas))
            placement = Placement(shard, list(replicas), shard in missing)
            await self.host.propose(CONFIG, command(Command.PLACE, placement), COMMIT_WITHIN)

    async def _finish_retiring(self) -> None:
        for node in self.config.state.stores:
            if node.stage != StoreStage.RETIRING or not self._emptied(node.replica):
                continue
            retired = StoreNode(node.name, node.replica, node.zone, StoreStage.RETIRED)
            await self.host.propose(CONFIG, command(Command.STORE, retired), COMMIT_WITHIN)

    def _emptied(self, replica: str) -> bool:
        """Whether all shards live elsewhere, as their own leaders say.

        What a leader told before it knew the present placement says nothing: it may still move away from it.
        """
        told: dict[str, tuple[int, tuple[str, ...]]] = {}
        present = self.config.state.placement_version
        for session in self.sessions.live_sessions(self.host.now(), "storage").values():
            if session.placement_version < present:
                continue
            for status in session.shards:
                if status.leader == session.replica and status.term >= told.get(status.shard, (0, ()))[0]:
                    told[status.shard] = (status.term, tuple(status.voters))
        for shard in BATCH_SHARDS:
            wanted = self.config.placement(shard)
            if not wanted:
                continue
            _, voters = told.get(shard, (0, ()))
            if replica in wanted or set(voters) != set(wanted):
                return False
        return True

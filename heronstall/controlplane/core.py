"""A core node: the shards of the control state, the sessions, and the periodic work of shard leaders."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import structlog

from heronstall.config import NodeSettings
from heronstall.controlplane.hosting import Superseded
from heronstall.controlplane.planning import ReadingPlanners
from heronstall.controlplane.replica_node import ReplicaNode
from heronstall.controlplane.state import worker_shard
from heronstall.controlplane.state.config_shard import (
    ChangeOutcome,
    Command,
    ConfigShard,
    StoreStage,
    encode_command,
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

MAINTENANCE_INTERVAL = 0.3  # seconds between rounds of periodic work
SETTLE_TIME = SESSION_TIMEOUT + 0.5  # seconds after a process start before a silent node counts as dead
MIN_LEADING_TIME = 1.0  # seconds of leadership required too; by then callers have left the former leader
SEED_RELOAD_INTERVAL = 2.0  # seconds
PLACEMENT_WAIT = 1.0  # seconds that the first placement waits for more storage nodes
MAX_LOG_BYTES = 8 * 1024 * 1024  # log size at which the state is written to a slot
LOG_DISK_DIVISOR = 8  # the log may take 1 / LOG_DISK_DIVISOR of the disk
COMMIT_TIMEOUT = 2.5  # seconds
CONFIRM_TIMEOUT = 0.5  # seconds to wait for a majority's answers
MISSED_HEARTBEATS_ALLOWED = 3.2  # heartbeat intervals without a heartbeat until a worker expires
FRESHNESS_POLL_INTERVAL = 0.01  # seconds between checks whether this node's views are fresh


class Core(ReplicaNode):
    """The state and the behavior of a core node, except for its HTTP API."""

    def __init__(self, settings: NodeSettings) -> None:
        super().__init__(settings, MAX_LOG_BYTES, LOG_DISK_DIVISOR)
        self.sessions = Sessions()
        self.reading_planners = ReadingPlanners(self.sessions, time.monotonic)
        self.config = ConfigShard()
        self.workers = {name: WorkerShard() for name in WORKER_SHARDS}
        self.last_heartbeat_at: dict[str, float] = {}  # by worker, for heartbeats received by this node
        self._state_changed = asyncio.Event()
        self._led_since: dict[str, float] = {}
        self._placing_since: float | None = None
        self._started_at = self.host.now()
        self._next_seed_reload_at = self._started_at + SEED_RELOAD_INTERVAL

    async def start(self) -> None:
        """Joins the groups and starts to serve other nodes."""
        seeds = self.settings.seed_addresses
        known = set(self.host.recovered_groups)
        self.host.add(CONFIG, self.config)
        for name, shard in self.workers.items():
            self.host.add(name, shard)
        for group, hosted in self.host.groups.items():
            forms_group = self.settings.bootstrap and self.address in seeds and group not in known
            if forms_group and self.host.replica_id.endswith("#0"):
                hosted.replica.bootstrap(self.host.now(), tuple(sorted(f"{s}#0" for s in seeds)))
        await self._start_serving(
            membership=self._maintain_membership_and_sessions, maintenance=self._run_maintenance
        )

    # ------------------------------------------------------------------ used by the HTTP API

    def replica(self, group: str) -> Replica:
        """Returns this node's replica of a group."""
        return self.host.groups[group].replica

    def leads(self, group: str) -> bool:
        """Whether this node holds the leader lease of a group."""
        return self.replica(group).holds_lease(self.host.now())

    def leader_address(self, group: str) -> str | None:
        """Returns the internal address of a group's leader if it is known and another node."""
        hint = self.replica(group).leader_hint(self.host.now())
        return address_of(hint) if hint and hint != self.host.replica_id else None

    async def commit(self, group: str, data: bytes) -> bool | None:
        """Commits a command. Returns whether it changed the state, or None if that is not known."""
        done = await self._propose(group, data)
        return None if done is None else bool(done)

    async def change_config(self, change: ConfigChange) -> ChangeOutcome | None:
        """Commits a configuration change. Returns its outcome, or None if that is not known.

        Also returns None if another leader's entry took its place: the change itself may be valid.
        """
        outcome = await self._propose(CONFIG, encode_command(Command.CHANGE, change))
        assert outcome is None or isinstance(outcome, ChangeOutcome)
        return outcome

    async def _propose(self, group: str, data: bytes) -> Any:
        """Returns the result of applying a command, or None if it was superseded or is undecided."""
        try:
            return await self.host.propose(group, data, COMMIT_TIMEOUT)
        except (Superseded, TimeoutError):
            return None

    async def confirm_leadership(self, group: str) -> bool:
        """Whether a majority confirms, after this call, that this node leads and so has the newest state."""
        try:
            await self.host.confirm(group, CONFIRM_TIMEOUT)
        except TimeoutError:
            return False
        return self.leads(group)

    async def remove_worker(self, group: str, worker: str) -> bool:
        """Records a worker's removal in a registry shard, here or at the shard's leader."""
        if self.leads(group):
            removal = worker_shard.encode_removal(worker_shard.Command.REMOVE, worker)
            already_gone = self.workers[group].is_gone(worker)
            return already_gone or await self.commit(group, removal) is not None
        address = self.leader_address(group)
        if address is None:
            return False
        body = bytes(WorkerEnd(group, worker))
        reply = await self.links.to(address).call(Kind.WORKER_END, body, COMMIT_TIMEOUT)
        return reply.status == Status.OK

    async def _handle_worker_end(self, request: WorkerEnd) -> Reply:
        if request.shard not in self.workers:
            return Reply(Status.REFUSED)
        if not self.leads(request.shard):
            return Reply(Status.NOT_OWNER)
        done = await self.remove_worker(request.shard, request.worker)
        return Reply(Status.OK if done else Status.UNSURE)

    def live_storage_replicas(self) -> set[str]:
        """Returns the replica ids of the storage nodes that have a session."""
        return {s.replica for s in self.sessions.live_sessions(self.host.now(), "storage").values()}

    @property
    def replicas_per_shard(self) -> int:
        """The replicas that a batch shard needs to survive the tolerated number of lost machines."""
        return 2 * self.settings.machines_lost + 1

    def knows_live_stores(self) -> bool:
        """Whether this node knows which storage nodes are alive.

        Followers receive sessions too, so a process that has run for long needs only a short time as leader.
        """
        now, since = self.host.now(), self._led_since.get(CONFIG)
        return since is not None and now - since > MIN_LEADING_TIME and now - self._started_at > SETTLE_TIME

    # ------------------------------------------------------------------ other nodes

    async def _handle_call(self, kind: Kind, body: bytes) -> Reply:
        if kind == Kind.SYNC:
            return await self._sync(SyncRequest().parse(body))
        if kind == Kind.PLACE:
            return self._place_prompt(PlaceRequest().parse(body))
        if kind == Kind.WORKER_END:
            return await self._handle_worker_end(WorkerEnd().parse(body))
        return Reply(Status.REFUSED)

    def _handle_one_way(self, kind: Kind, body: bytes) -> None:
        if kind == Kind.SESSIONS:
            self.sessions.merge(self.host.now(), SessionTable().parse(body).sessions)
        else:
            super()._handle_one_way(kind, body)

    async def _sync(self, request: SyncRequest) -> Reply:
        self.sessions.renew(self.host.now(), request.session)
        versions = {v.shard: v.version for v in request.versions}
        deadline = self.host.now() + request.wait_ms / 1000
        while True:
            left = deadline - self.host.now()
            if not self.is_fresh():
                # A caller without any state waits: it has just started, and so may have this node.
                if versions.get(CONFIG) or left <= 0:
                    return Reply(Status.UNSURE)
                await asyncio.sleep(min(left, FRESHNESS_POLL_INTERVAL))
                continue
            changed = self._changed_since(versions)
            if changed or left <= 0:
                reply = self._sync_reply(versions)
                if request.session.machine_class == "edge":
                    reply.loads = pack_loads(self.sessions.loads(self.host.now(), request.session.name))
                    reply.edge_number = self.sessions.rank(self.host.now(), request.session)
                return Reply(Status.OK, bytes(reply))
            try:
                async with asyncio.timeout(min(left, MAX_STATE_STALENESS / 2)):
                    await self._state_changed.wait()
            except TimeoutError:
                continue

    def _place_prompt(self, request: PlaceRequest) -> Reply:
        """Chooses the worker to read a prompt. A node with stale views knows neither workers nor loads."""
        if not self.is_fresh():
            return Reply(Status.UNSURE)
        return self.reading_planners.place_prompt(
            request, self.workers[shard_of_service(request.service)].workers
        )

    def is_fresh(self) -> bool:
        """Whether this node's views have all writes acknowledged until recently, so others may use them."""
        now = self.host.now()
        return all(h.replica.is_fresh(now, MAX_STATE_STALENESS) for h in self.host.groups.values())

    def _changed_since(self, versions: dict[str, int]) -> bool:
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
            delta = shard.changes_since(name, versions.get(name, 0))
            if delta is not None:
                reply.workers.append(delta)
        reply.control = [address_of(m) for m in self.replica(CONFIG).log.members]
        reply.edges = len(self.sessions.live_sessions(self.host.now(), "edge"))
        return reply

    def _on_applied(self, group: str) -> None:
        self._state_changed.set()
        self._state_changed = asyncio.Event()

    def _on_role_change(self, group: str, leads: bool) -> None:
        if leads:
            self._led_since[group] = self.host.now()
            shard = self.workers.get(group)
            if shard is not None:
                self.last_heartbeat_at.update({worker: self.host.now() for worker in shard.workers})
        else:
            self._led_since.pop(group, None)

    # ------------------------------------------------------------------ periodic work

    async def _maintain_membership_and_sessions(self) -> None:
        """Maintains memberships and sessions.

        They must not wait for a commit, since other nodes treat a silent node as dead.
        """
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL)
            self._update_memberships()
            self._gossip_sessions()

    async def _run_maintenance(self) -> None:
        """Performs the leaders' periodic work, in which each commit may take seconds on a slow disk."""
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL)
            started = time.monotonic()
            try:
                await self._expire_workers()
                if self.leads(CONFIG):
                    await self._register_storage_nodes()
                    await self._place_shards()
                    await self._finish_retiring()
                else:
                    self._placing_since = None
            except (Superseded, TimeoutError):
                log.info("chores put off", after=round(time.monotonic() - started, 2))

    def _update_memberships(self) -> None:
        now = self.host.now()
        if not self.is_fresh():
            self._read_seeds(now)
        seeds = [f"{seed}#" for seed in self.settings.seed_addresses]
        for hosted in self.host.groups.values():
            replica = hosted.replica
            wanted = membership.desired_voters(replica, self.replicas_per_shard, now, self.timing)
            if wanted:
                membership.advance_membership(replica, wanted, now, self.timing)
            others = [m for m in replica.log.members if m != self.host.replica_id]
            replica.request_join(now, [*others, *(s for s in seeds if address_of(s) != self.address)])
        self.host.flush_soon()

    def _read_seeds(self, now: float) -> None:
        """Reads the seeds again: a node without a leader may have outdated seeds."""
        if now >= self._next_seed_reload_at:
            self._next_seed_reload_at = now + SEED_RELOAD_INTERVAL
            self.settings = self.settings.reloaded()

    def _gossip_sessions(self) -> None:
        now = self.host.now()
        table = bytes(SessionTable(self.sessions.recently_renewed(now)))
        self.sessions.expire(now)
        if table:
            for member in self.replica(CONFIG).log.members:
                if address_of(member) != self.address:
                    self.links.to(address_of(member)).send(Kind.SESSIONS, table)

    async def _expire_workers(self) -> None:
        now = self.host.now()
        silent_for = MISSED_HEARTBEATS_ALLOWED * self.settings.heartbeat + 0.5
        for group, shard in self.workers.items():
            if not self.leads(group) or now - self._led_since.get(group, now) < silent_for:
                continue
            for worker in list(shard.workers):
                if now - self.last_heartbeat_at.get(worker, now) > silent_for:
                    log.info("worker silent", worker=worker)
                    expired = worker_shard.encode_removal(worker_shard.Command.EXPIRE, worker)
                    await self.host.propose(group, expired, COMMIT_TIMEOUT)

    async def _register_storage_nodes(self) -> None:
        for session in self.sessions.live_sessions(self.host.now(), "storage").values():
            known = self.config.storage_node(session.name)
            if known is None or known.replica != session.replica:
                stage = StoreStage.ACTIVE if known is None else known.stage
                node = StoreNode(session.name, session.replica, session.zone, stage)
                await self.host.propose(CONFIG, encode_command(Command.STORE, node), COMMIT_TIMEOUT)

    def _candidates(self) -> list[PlacementCandidate]:
        """Returns the storage nodes. Until live nodes are known, those with replicas count as live."""
        live = self.live_storage_replicas()
        if not self.knows_live_stores():
            live |= {r for placement in self.config.state.placements for r in placement.replicas}
        return [
            PlacementCandidate(s.replica, s.zone, s.replica in live, s.stage == StoreStage.ACTIVE)
            for s in self.config.state.stores
        ]

    async def _place_shards(self) -> None:
        nodes = self._candidates()
        unplaced = [s for s in BATCH_SHARDS if not self.config.placement(s)]
        placed = {s: self.config.placement(s) for s in BATCH_SHARDS if s not in unplaced}
        changes: dict[str, tuple[str, ...]] = {}
        usable = sum(n.is_usable for n in nodes)
        now = self.host.now()
        if unplaced and usable:
            self._placing_since = self._placing_since or now
            max_wait = PLACEMENT_WAIT if usable >= self.replicas_per_shard else 6 * PLACEMENT_WAIT
            if now - self._placing_since > max_wait:
                changes = initial_placements(unplaced, nodes, self.replicas_per_shard)
        else:
            changes = repaired_placements(placed, nodes, self.replicas_per_shard)
        for shard, replicas in changes.items():
            log.info("place", shard=shard, replicas=list(replicas))
            placement = Placement(shard, list(replicas), shard in unplaced)
            await self.host.propose(CONFIG, encode_command(Command.PLACE, placement), COMMIT_TIMEOUT)

    async def _finish_retiring(self) -> None:
        for node in self.config.state.stores:
            if node.stage != StoreStage.RETIRING or not self._holds_no_shards(node.replica):
                continue
            retired = StoreNode(node.name, node.replica, node.zone, StoreStage.RETIRED)
            await self.host.propose(CONFIG, encode_command(Command.STORE, retired), COMMIT_TIMEOUT)

    def _holds_no_shards(self, replica: str) -> bool:
        """Whether no shard has a voter on this replica any more, according to the shards' leaders.

        A report of a leader that did not know the current placement is ignored: its voters may still change.
        """
        reported: dict[str, tuple[int, tuple[str, ...]]] = {}
        current_placement = self.config.state.placement_version
        for session in self.sessions.live_sessions(self.host.now(), "storage").values():
            if session.placement_version < current_placement:
                continue
            for status in session.shards:
                if status.leader == session.replica and status.term >= reported.get(status.shard, (0, ()))[0]:
                    reported[status.shard] = (status.term, tuple(status.voters))
        for shard in BATCH_SHARDS:
            wanted = self.config.placement(shard)
            if not wanted:
                continue
            _, voters = reported.get(shard, (0, ()))
            if replica in wanted or set(voters) != set(wanted):
                return False
        return True

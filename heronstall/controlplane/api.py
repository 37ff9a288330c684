"""The HTTP API of a core node, for operators and for worker heartbeats."""

from __future__ import annotations

import hashlib
from collections.abc import Awaitable, Callable
from typing import Any

import structlog
import ujson
from aiohttp import web
from result import Err, Ok, Result

from heronstall.controlplane.core import Core
from heronstall.controlplane.state import worker_shard
from heronstall.controlplane.state.config_shard import ChangeOutcome, Command, StoreStage, encode_command
from heronstall.controlplane.state.documents import ConfigFault, Document, Fault, canonical_json, parse_object
from heronstall.distribution.shards import BATCH_SHARDS, CONFIG
from heronstall.distribution.shards import worker_shard as shard_of_service
from heronstall.json_size import exceeds_containers
from heronstall.transport.connection_limits import RequestLimits
from heronstall.transport.http_connection import read_body
from heronstall.transport.messages import ConfigChange, StoreNode, Worker

log = structlog.get_logger()

MAX_CONFIG_BYTES = 4 * 1024 * 1024  # some 12,000 routes
MAX_CONTAINERS = 100_000  # JSON objects and lists in a configuration
MAX_OTHER_BODY_BYTES = 256 * 1024  # of heartbeats and other calls
CONFIG_PATH = "/-/config"
REQUEST_LIMITS = RequestLimits(idle_timeout=75.0)  # of workers and operators; bodies: `body_limit`
RETRY_AFTER_SECONDS = 0.3  # Retry-After of a response that reports an unknown outcome

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def body_limit(path: str) -> int:
    """Returns the largest body in bytes that a path takes."""
    return MAX_CONFIG_BYTES if path.partition("?")[0] == CONFIG_PATH else MAX_OTHER_BODY_BYTES


def json_response(status: int, body: Document | None = None) -> web.Response:
    """Returns a JSON response."""
    text = ujson.dumps(body if body is not None else {}, escape_forward_slashes=False)
    return web.Response(status=status, text=text, content_type="application/json")


def unavailable_response(text: str) -> web.Response:
    """Returns a 503 response: this node cannot answer, but another one may."""
    response = json_response(503, {"error": text})
    response.headers["Retry-After"] = str(RETRY_AFTER_SECONDS)
    return response


class ControlApi:
    """Handles requests to paths under `/-/` on the control address."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._control_port = core.settings.listen["control"].rpartition(":")[2]

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles one request."""
        path, method = request.path, request.method
        if path == CONFIG_PATH:
            return await self._handle_config(request, method)
        if path.startswith("/-/instances/"):
            return await self._handle_instance(request, method, path.removeprefix("/-/instances/"))
        if path.startswith("/-/retire/"):
            return await self._handle_retirement(method, path.removeprefix("/-/retire/"), request)
        if path == "/-/readyz":
            return json_response(200)
        return json_response(404, {"error": "no such path"})

    def _redirect_to_leader(self, group: str, request: web.BaseRequest) -> web.Response:
        """Redirects the caller to the group's leader, or responds with 503 if none is known."""
        address = self._core.leader_address(group)
        if address is None:
            return unavailable_response("no leader is known here")
        response = json_response(307)
        host = address.rpartition(":")[0]
        response.headers["Location"] = f"http://{host}:{self._control_port}{request.raw_path}"
        return response

    # ------------------------------------------------------------------ configuration

    async def _handle_config(self, request: web.BaseRequest, method: str) -> web.StreamResponse:
        """Responds with the newest state: a majority confirms the leadership after the request arrived."""
        if method not in ("GET", "PUT", "PATCH"):
            return json_response(405, {"error": "GET, PUT or PATCH is wanted"})
        body = await read_body(request)
        if not await self._is_confirmed_leader(CONFIG):
            return self._redirect_to_leader(CONFIG, request)
        if method == "GET":
            return self._read_config()
        return await self._change_config(method, request.headers.get("If-Match", ""), body)

    async def _is_confirmed_leader(self, group: str) -> bool:
        """Whether a majority confirms, after this call, that this node leads a group."""
        return self._core.leads(group) and await self._core.confirm_leadership(group)

    def _read_config(self) -> web.Response:
        document = self._core.config.state.document
        if not document:
            return unavailable_response("no configuration yet")
        return web.Response(body=document, content_type="application/json")

    async def _change_config(self, method: str, if_match: str, body: bytes) -> web.StreamResponse:
        if exceeds_containers(body, MAX_CONTAINERS):
            return self._reject(ConfigFault.UNREADABLE, f"over {MAX_CONTAINERS} objects and lists")
        change = self._read_change(method, if_match, body)
        if isinstance(change, web.Response):
            return change
        # The decoded configuration, many times as large as its text, is not kept during the commit.
        outcome = await self._core.change_config(change)
        if outcome is None:
            return unavailable_response("it may or may not have been taken")
        if outcome is ChangeOutcome.REFUSED:
            revision = self._core.config.state.revision
            return self._reject(ConfigFault.WRONG_BASE, f"revision {revision} is current")
        log.info("configuration taken", revision=change.revision, again=outcome is ChangeOutcome.REPEATED)
        return json_response(200, {"revision": change.revision})

    def _read_change(self, method: str, if_match: str, body: bytes) -> ConfigChange | web.Response:
        """Returns the change that an order asks for, or the response if there is none to commit."""
        config = self._core.config
        current = config.state.revision
        parsed = parse_object(body)
        if isinstance(parsed, Err):
            return self._reject(*parsed.err_value)
        submitted = parsed.ok_value
        base = if_match.strip('" ')
        digest = hashlib.sha256(method.encode() + base.encode() + canonical_json(submitted)).hexdigest()[:32]
        known_revision = config.accepted_revision(digest)
        if known_revision is not None:
            return json_response(200, {"revision": known_revision})
        if base != str(current):
            revision = submitted.get("revision")
            if isinstance(revision, int) and config.may_be_forgotten(revision):
                return unavailable_response("so old a change may have been taken")
            return self._reject(ConfigFault.WRONG_BASE, f"revision {current} is current")
        successor = self._build_successor(method, submitted)
        if isinstance(successor, Err):
            return self._reject(*successor.err_value)
        document = successor.ok_value
        text = ujson.dumps(document, escape_forward_slashes=False).encode()
        return ConfigChange(current, document["revision"], text, digest)

    def _build_successor(self, method: str, submitted: Document) -> Result[Document, Fault]:
        """Returns the validated document that results from a change."""
        # Importing pyserde costs 0.7 s of CPU time and 10 MB; it is done for a change, not at a restart.
        from heronstall.controlplane.state import operator_config

        document = submitted
        if method == "PATCH":
            successor = operator_config.apply_patch(self._core.config.document, submitted)
            if isinstance(successor, Err):
                return successor
            document = successor.ok_value
        valid = operator_config.validate(document, self._core.config.state.revision)
        return valid if isinstance(valid, Err) else Ok(document)

    @staticmethod
    def _reject(code: ConfigFault, text: str) -> web.Response:
        log.info("configuration refused", code=int(code), why=text)
        status = 412 if code == ConfigFault.WRONG_BASE else 400
        return json_response(status, {"code": int(code), "error": text})

    # ------------------------------------------------------------------ workers

    async def _handle_instance(
        self, request: web.BaseRequest, method: str, worker: str
    ) -> web.StreamResponse:
        if method == "DELETE":
            return await self._deregister(request, worker)
        if method != "PUT":
            return json_response(405, {"error": "PUT or DELETE is wanted"})
        parsed = parse_object(await read_body(request))
        if isinstance(parsed, Err):
            return json_response(400, {"error": parsed.err_value[1]})
        heartbeat = _parse_heartbeat(worker, parsed.ok_value)
        if heartbeat is None:
            return json_response(400, {"error": "service, address and state are wanted"})
        group = shard_of_service(heartbeat.service)
        if not self._core.leads(group):
            return self._redirect_to_leader(group, request)
        shard = self._core.workers[group]
        self._core.last_heartbeat_at[worker] = self._core.host.now()
        known = shard.workers.get(worker)
        has_news = _differs(known, heartbeat) and not shard.is_gone(worker)
        if has_news and await self._core.commit(group, worker_shard.encode_put(heartbeat)) is None:
            return unavailable_response("not known to be kept")
        return json_response(200, {"heartbeat_url": self._core.settings.listen["control"]})

    async def _deregister(self, request: web.BaseRequest, worker: str) -> web.StreamResponse:
        """Removes a worker that shuts down.

        If no shard knows the worker, all shards record its removal: a delayed heartbeat may still arrive.
        """
        core = self._core
        groups = [name for name, shard in core.workers.items() if shard.knows(worker)]
        if not groups and not core.is_fresh():
            return unavailable_response("out of touch with the leaders")
        for group in groups:
            if not core.leads(group):
                return self._redirect_to_leader(group, request)
        for group in groups or core.workers:
            if not await core.remove_worker(group, worker):
                return unavailable_response("not known to be kept")
        return json_response(200)

    # ------------------------------------------------------------------ storage nodes

    async def _handle_retirement(
        self, method: str, node: str, request: web.BaseRequest
    ) -> web.StreamResponse:
        core = self._core
        if not await self._is_confirmed_leader(CONFIG):
            return self._redirect_to_leader(CONFIG, request)
        known = core.config.storage_node(node)
        if known is None:
            return (
                json_response(404, {"error": "no such storage node"})
                if core.knows_live_stores()
                else unavailable_response("just started")
            )
        if method == "GET":
            succeeded = known.stage == StoreStage.RETIRED
            return json_response(200, {"state": "succeeded" if succeeded else "active"})
        if method != "POST":
            return json_response(405, {"error": "GET or POST is wanted"})
        if known.stage != StoreStage.ACTIVE:
            return json_response(200)
        if not core.knows_live_stores():
            return unavailable_response("just started")
        live = core.live_storage_replicas()
        staying = [s for s in core.config.state.stores if s.stage == StoreStage.ACTIVE and s.replica in live]
        if len([s for s in staying if s.name != node]) < core.replicas_per_shard:
            return json_response(409, {"error": f"{core.replicas_per_shard} storage nodes must remain"})
        retiring = StoreNode(known.name, known.replica, known.zone, StoreStage.RETIRING)
        if await core.commit(CONFIG, encode_command(Command.STORE, retiring)) is None:
            return unavailable_response("it may or may not have been taken")
        log.info("retiring", node=node, shards=len(BATCH_SHARDS))
        return json_response(200)


def _parse_heartbeat(name: str, heartbeat: Document) -> Worker | None:
    """Returns the worker that a heartbeat describes, or None if a field is invalid."""
    texts: dict[str, Any] = {
        key: heartbeat.get(key, "") for key in ("service", "address", "zone", "state", "revision")
    }
    if not all(isinstance(v, str) for v in texts.values()) or not texts["service"]:
        return None
    if ":" not in texts["address"] or texts["state"] not in ("ready", "draining"):
        return None
    numbers = [heartbeat.get(key, 0) for key in ("capacity", "sequence", "cold_remaining_ms")]
    if not all(isinstance(n, (int, float)) and not isinstance(n, bool) and n >= 0 for n in numbers):
        return None
    return Worker(
        id=name,
        service=texts["service"],
        address=texts["address"],
        zone=texts["zone"],
        state=texts["state"],
        capacity=int(numbers[0]),
        sequence=int(numbers[1]),
        revision=texts["revision"],
        cold_ms=int(numbers[2]),
    )


def _differs(known: Worker | None, heartbeat: Worker) -> bool:
    """Whether a heartbeat changes anything that dispatchers must know."""
    if known is None:
        return True
    if heartbeat.sequence < known.sequence:
        return False
    reported = (
        heartbeat.service,
        heartbeat.address,
        heartbeat.zone,
        heartbeat.state,
        heartbeat.capacity,
        heartbeat.revision,
    )
    return reported != (known.service, known.address, known.zone, known.state, known.capacity, known.revision)

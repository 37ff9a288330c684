"""The HTTP interface of a core node: the operator's API and the workers' heartbeats."""

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
from heronstall.controlplane.state.config_shard import ChangeOutcome, Command, StoreStage, command
from heronstall.controlplane.state.documents import ConfigFault, Document, Fault, canonical, read_object
from heronstall.distribution.shards import BATCH_SHARDS, CONFIG
from heronstall.distribution.shards import worker_shard as shard_of
from heronstall.transport.messages import ConfigChange, StoreNode, Worker

log = structlog.get_logger()

BEAT_BYTES = 4096  # of a heartbeat's answer at the most; of its body much less is used
CONFIG_BYTES = 64 * 1024 * 1024
LATER = 0.3  # seconds after which an unsure caller had best come again

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def answer(status: int, body: Document | None = None) -> web.Response:
    """A JSON answer."""
    text = ujson.dumps(body if body is not None else {}, escape_forward_slashes=False)
    return web.Response(status=status, text=text, content_type="application/json")


def unsure(text: str) -> web.Response:
    """This node can't say; another may."""
    response = answer(503, {"error": text})
    response.headers["Retry-After"] = str(LATER)
    return response


class ControlApi:
    """Answers calls to `/-/` on the control address."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._control_port = core.settings.listen["control"].rpartition(":")[2]

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        path, method = request.path, request.method
        if path == "/-/config":
            return await self._config(request, method)
        if path.startswith("/-/instances/"):
            return await self._instance(request, method, path.removeprefix("/-/instances/"))
        if path.startswith("/-/retire/"):
            return await self._retire(method, path.removeprefix("/-/retire/"), request)
        if path == "/-/readyz":
            return answer(200)
        return answer(404, {"error": "no such path"})

    def _elsewhere(self, group: str, request: web.BaseRequest) -> web.Response:
        """Send the caller to the group's leader, or away."""
        address = self._core.leader_address(group)
        if address is None:
            return unsure("no leader is known here")
        response = answer(307)
        host = address.rpartition(":")[0]
        response.headers["Location"] = f"http://{host}:{self._control_port}{request.raw_path}"
        return response

    # ------------------------------------------------------------------ configuration

    async def _config(self, request: web.BaseRequest, method: str) -> web.StreamResponse:
        """Answer by the newest state: a majority has confirmed it after the call came."""
        if method not in ("GET", "PUT", "PATCH"):
            return answer(405, {"error": "GET, PUT or PATCH is wanted"})
        body = await request.read()
        if not await self._confirmed(CONFIG):
            return self._elsewhere(CONFIG, request)
        if method == "GET":
            return self._read_config()
        return await self._change(method, request.headers.get("If-Match", ""), body)

    async def _confirmed(self, group: str) -> bool:
        """Whether this node leads a group, as a majority says after this call."""
        return self._core.leads(group) and await self._core.confirmed(group)

    def _read_config(self) -> web.Response:
        document = self._core.config.state.document
        if not document:
            return unsure("no configuration yet")
        return web.Response(body=document, content_type="application/json")

    async def _change(self, method: str, base_text: str, body: bytes) -> web.StreamResponse:
        config = self._core.config
        current = config.state.revision
        parsed = read_object(body)
        if isinstance(parsed, Err):
            return self._refused(*parsed.err_value)
        given = parsed.ok_value
        base = base_text.strip('" ')
        digest = hashlib.sha256(method.encode() + base.encode() + canonical(given)).hexdigest()[:32]
        earlier = config.taken(digest)
        if earlier is not None:
            return answer(200, {"revision": earlier})
        if base != str(current):
            revision = given.get("revision")
            if isinstance(revision, int) and config.may_be_forgotten(revision):
                return unsure("so old a change may have been taken")
            return self._refused(ConfigFault.WRONG_BASE, f"revision {current} is current")
        made = self._successor(method, given)
        if isinstance(made, Err):
            return self._refused(*made.err_value)
        document = made.ok_value
        text = ujson.dumps(document, escape_forward_slashes=False).encode()
        change = ConfigChange(current, document["revision"], text, digest)
        outcome = await self._core.change_config(change)
        if outcome is None:
            return unsure("it may or may not have been taken")
        if outcome is ChangeOutcome.REFUSED:
            return self._refused(ConfigFault.WRONG_BASE, f"revision {config.state.revision} is current")
        log.info("configuration taken", revision=change.revision, again=outcome is ChangeOutcome.REPEATED)
        return answer(200, {"revision": change.revision})

    def _successor(self, method: str, given: Document) -> Result[Document, Fault]:
        """The whole document that a change makes, checked."""
        # pyserde costs 0.7 s of processor time and 10 MB: not at a restart, only where a change comes
        from heronstall.controlplane.state import operator_config

        document = given
        if method == "PATCH":
            made = operator_config.patched(self._core.config.document, given)
            if isinstance(made, Err):
                return made
            document = made.ok_value
        valid = operator_config.checked(document, self._core.config.state.revision)
        return valid if isinstance(valid, Err) else Ok(document)

    @staticmethod
    def _refused(code: ConfigFault, text: str) -> web.Response:
        log.info("configuration refused", code=int(code), why=text)
        status = 412 if code == ConfigFault.WRONG_BASE else 400
        return answer(status, {"code": int(code), "error": text})

    # ------------------------------------------------------------------ workers

    async def _instance(self, request: web.BaseRequest, method: str, worker: str) -> web.StreamResponse:
        if method == "DELETE":
            return await self._leave(request, worker)
        if method != "PUT":
            return answer(405, {"error": "PUT or DELETE is wanted"})
        parsed = read_object(await request.read())
        if isinstance(parsed, Err):
            return answer(400, {"error": parsed.err_value[1]})
        beat = _worker(worker, parsed.ok_value)
        if beat is None:
            return answer(400, {"error": "service, address and state are wanted"})
        group = shard_of(beat.service)
        if not self._core.leads(group):
            return self._elsewhere(group, request)
        shard = self._core.workers[group]
        self._core.heard[worker] = self._core.host.now()
        known = shard.workers.get(worker)
        news = _changed(known, beat) and not shard.is_gone(worker)
        if news and await self._core.commit(group, worker_shard.put(beat)) is None:
            return unsure("not known to be kept")
        return answer(200, {"heartbeat_url": self._core.settings.listen["control"]})

    async def _leave(self, request: web.BaseRequest, worker: str) -> web.StreamResponse:
        """A worker ends. Where no shard knows it, all note its end: a heartbeat of it may yet come."""
        core = self._core
        held = [name for name, shard in core.workers.items() if shard.knows(worker)]
        if not held and not core.fresh():
            return unsure("out of touch with the leaders")
        for group in held:
            if not core.leads(group):
                return self._elsewhere(group, request)
        for group in held or core.workers:
            if not await core.remove_worker(group, worker):
                return unsure("not known to be kept")
        return answer(200)

    # ------------------------------------------------------------------ storage nodes

    async def _retire(self, method: str, node: str, request: web.BaseRequest) -> web.StreamResponse:
        core = self._core
        if not await self._confirmed(CONFIG):
            return self._elsewhere(CONFIG, request)
        known = core.config.store(node)
        if known is None:
            return (
                answer(404, {"error": "no such storage node"}) if core.settled() else unsure("just started")
            )
        if method == "GET":
            succeeded = known.stage == StoreStage.RETIRED
            return answer(200, {"state": "succeeded" if succeeded else "active"})
        if method != "POST":
            return answer(405, {"error": "GET or POST is wanted"})
        if known.stage != StoreStage.ACTIVE:
            return answer(200)
        if not core.settled():
            return unsure("just started")
        live = core.live_stores()
        staying = [s for s in core.config.state.stores if s.stage == StoreStage.ACTIVE and s.replica in live]
        if len([s for s in staying if s.name != node]) < core.copies:
            return answer(409, {"error": f"{core.copies} storage nodes must remain"})
        retiring = StoreNode(known.name, known.replica, known.zone, StoreStage.RETIRING)
        if await core.commit(CONFIG, command(Command.STORE, retiring)) is None:
            return unsure("it may or may not have been taken")
        log.info("retiring", node=node, shards=len(BATCH_SHARDS))
        return answer(200)


def _worker(name: str, beat: Document) -> Worker | None:
    """A worker as its heartbeat tells; None where a field has the wrong type."""
    texts: dict[str, Any] = {
        key: beat.get(key, "") for key in ("service", "address", "zone", "state", "revision")
    }
    if not all(isinstance(v, str) for v in texts.values()) or not texts["service"]:
        return None
    if ":" not in texts["address"] or texts["state"] not in ("ready", "draining"):
        return None
    numbers = [beat.get(key, 0) for key in ("capacity", "sequence", "cold_remaining_ms")]
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


def _changed(known: Worker | None, beat: Worker) -> bool:
    """Whether a heartbeat says anything that dispatchers must know."""
    if known is None:
        return True
    if beat.sequence < known.sequence:
        return False
    told = (beat.service, beat.address, beat.zone, beat.state, beat.capacity, beat.revision)
    return told != (known.service, known.address, known.zone, known.state, known.capacity, known.revision)

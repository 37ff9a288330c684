"""What a client's request asks for, checked. Free of I/O: it sees parsed heads, and raw ones for framing."""

from __future__ import annotations

import re

import h11

from heronstall import interface as i
from heronstall.config import Config
from heronstall.net.backend import Job
from heronstall.net.connection import MAX_BODY_BYTES

PATH, HEALTH = b"/api", b"/healthz"
LENGTH_DIGITS = 9  # of a Content-Length at the most
# Twice the same of these and two readers may each believe another one: such a request is passed to nobody.
ONCE = re.compile(rb"(content-length|transfer-encoding|cookie|idempotency-key|expect|req-[a-z-]+)\Z")
LENGTH = re.compile(rb"^content-length[ \t]*:([^\r\n]*)", re.IGNORECASE | re.MULTILINE)
HEAD_END = re.compile(rb"\n\r?\n")
ID = re.compile(rb"[!-~]{1,128}\Z")
SECONDS = re.compile(rb"[0-9]{1,7}(\.[0-9]*)?\Z")
# Framing and hop-by-hop headers are ours to set; everything else passes through.
OWN = frozenset(
    b"connection content-length transfer-encoding keep-alive te trailer upgrade proxy-connection expect"
    b" req-deadline".split()
)


class BadRequest(Exception):
    """Input that never reaches a backend server."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class RequestCheck:
    """Reads heads by the classes and tenants that the settings name."""

    def __init__(self, config: Config) -> None:
        self._config = config

    def arrival(self, request: h11.Request) -> i.Arrival | None:
        """What a head asks for; None for /healthz. Raises BadRequest for one that can't be used."""
        path = request.target.partition(b"?")[0]
        if path == HEALTH:
            if request.method != b"GET":
                raise BadRequest(405, "GET only")
            return None
        if path != PATH:
            raise BadRequest(404, "no such path")
        if request.method != b"POST":
            raise BadRequest(405, "POST only")
        names = [name for name, _ in request.headers if ONCE.match(name)]
        if len(names) > len(set(names)):
            twice = next(name for name in names if names.count(name) > 1)
            raise BadRequest(400, f"{twice.decode()}: more than once")
        return self._arrival(dict(request.headers))

    def _arrival(self, headers: dict[bytes, bytes]) -> i.Arrival:
        config = self._config
        cls = config.classes.get(headers.get(b"req-kind", b"").decode("latin-1"))
        if cls is None:
            raise BadRequest(400, "Req-Kind: no known class")
        deadline = headers.get(b"req-deadline", b"")
        if not SECONDS.match(deadline):
            raise BadRequest(400, "Req-Deadline: seconds are wanted")
        if not ID.match(headers.get(b"req-id", b"")):
            raise BadRequest(400, "Req-Id: missing, too long or not plain text")
        if config.settings.classes[cls].effect == "keyed" and not headers.get(b"idempotency-key"):
            raise BadRequest(400, "Idempotency-Key: missing, and the class is keyed")
        extra = dict(part.partition(b"=")[::2] for part in headers.get(b"req-extra", b"").split(b","))
        return i.Arrival(
            request=0,
            cls=cls,
            # No client waits longer than its class allows; the decisions learn from the longest wait.
            time_left=min(int(float(deadline) * 1e6), config.settings.classes[cls].deadline),
            tenant=config.tenants.get(headers.get(b"req-owner", b"").decode("latin-1"), -1),
            key=_object_key(headers.get(b"cookie", b"")),
            work=int(_figure(headers.get(b"req-cost"), 0.0)) or None,
            slots=_figure(extra.get(b"slots"), 0.0) or 1.0,
            memory=_figure(extra.get(b"memory"), 0.0),
            retry=headers.get(b"req-retry") == b"1",
        )


def job_of(request: h11.Request, body: bytes) -> Job:
    """What of a request that was checked is passed on."""
    name = dict(request.headers)[b"req-id"]
    passed = [(field, value) for field, value in request.headers.raw_items() if field.lower() not in OWN]
    return Job(name.decode("latin-1"), request.method, request.target, passed, body)


def check_framing(head: bytes, request: h11.Request) -> None:
    """Raise BadRequest unless there is one way only to say where the body ends.

    Guards against a request that hides in the body of another: a length beside an encoding, or a second
    length, lets two readers disagree. h11 takes the encoding, and folds equal lengths into one.
    """
    lengths = LENGTH.findall(HEAD_END.split(head, 1)[0])
    encoded = any(name == b"transfer-encoding" for name, _ in request.headers)
    if len(lengths) + encoded > 1 or any(b"," in length for length in lengths):
        raise BadRequest(400, "more than one way to tell the body's length")
    if lengths and (len(lengths[0].strip()) > LENGTH_DIGITS or int(lengths[0]) > MAX_BODY_BYTES):
        raise BadRequest(413, "body over 64 KiB")


def _object_key(cookie: bytes) -> str | None:
    """The cookie `obj`: what the request is about."""
    crumbs = (part.strip().partition(b"=") for part in cookie.split(b";"))
    keys = [value.decode("latin-1") for crumb, _, value in crumbs if crumb == b"obj"]
    if len(keys) > 1:
        raise BadRequest(400, "Cookie: obj more than once")
    return keys[0] if keys else None


def _figure(text: bytes | None, default: float) -> float:
    """A figure that is only a help: what is not one counts as absent."""
    return float(text) if text is not None and SECONDS.match(text) else default

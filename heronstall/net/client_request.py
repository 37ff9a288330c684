"""Validates clients' requests. Free of I/O: works on parsed heads, and on raw heads to check the framing."""

from __future__ import annotations

import re

import h11

from heronstall import interface as i
from heronstall.config import Config
from heronstall.net.backend import Job
from heronstall.net.connection import MAX_BODY_BYTES

JOB_PATH, HEALTH_PATH = b"/api", b"/healthz"
MAX_LENGTH_DIGITS = 9  # of a Content-Length
# Headers that must not be repeated: two readers could each use a different value, so that such a request is
# not forwarded.
UNIQUE_HEADER = re.compile(rb"(content-length|transfer-encoding|cookie|idempotency-key|expect|req-[a-z-]+)\Z")
CONTENT_LENGTH = re.compile(rb"^content-length[ \t]*:([^\r\n]*)", re.IGNORECASE | re.MULTILINE)
HEAD_END = re.compile(rb"\n\r?\n")
REQUEST_ID = re.compile(rb"[!-~]{1,128}\Z")
SECONDS = re.compile(rb"[0-9]{1,7}(\.[0-9]*)?\Z")
# Framing and hop-by-hop headers are set by the dispatcher; all others are forwarded unchanged.
NOT_FORWARDED = frozenset(
    b"connection content-length transfer-encoding keep-alive te trailer upgrade proxy-connection expect"
    b" req-deadline".split()
)


class BadRequest(Exception):
    """An invalid request, which never reaches a backend server."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class RequestParser:
    """Parses request heads according to the classes and tenants in the settings."""

    def __init__(self, config: Config) -> None:
        self._config = config

    def parse(self, request: h11.Request) -> i.Arrival | None:
        """Returns the arrival that a head describes; None for /healthz. Raises BadRequest."""
        path = request.target.partition(b"?")[0]
        if path == HEALTH_PATH:
            if request.method != b"GET":
                raise BadRequest(405, "GET only")
            return None
        if path != JOB_PATH:
            raise BadRequest(404, "no such path")
        if request.method != b"POST":
            raise BadRequest(405, "POST only")
        names = [name for name, _ in request.headers if UNIQUE_HEADER.match(name)]
        if len(names) > len(set(names)):
            repeated = next(name for name in names if names.count(name) > 1)
            raise BadRequest(400, f"{repeated.decode()}: more than once")
        return self._parse_headers(dict(request.headers))

    def _parse_headers(self, headers: dict[bytes, bytes]) -> i.Arrival:
        """Returns the arrival that the headers of a job request describe. Raises BadRequest."""
        config = self._config
        cls = config.classes.get(headers.get(b"req-kind", b"").decode("latin-1"))
        if cls is None:
            raise BadRequest(400, "Req-Kind: no known class")
        deadline = headers.get(b"req-deadline", b"")
        if not SECONDS.match(deadline):
            raise BadRequest(400, "Req-Deadline: seconds are wanted")
        if not REQUEST_ID.match(headers.get(b"req-id", b"")):
            raise BadRequest(400, "Req-Id: missing, too long or not plain text")
        if config.settings.classes[cls].effect == "keyed" and not headers.get(b"idempotency-key"):
            raise BadRequest(400, "Idempotency-Key: missing, and the class is keyed")
        extra = dict(part.partition(b"=")[::2] for part in headers.get(b"req-extra", b"").split(b","))
        return i.Arrival(
            request=0,
            cls=cls,
            # Limited to the class's deadline, since the decision module learns from the longest wait.
            time_left=min(int(float(deadline) * 1e6), config.settings.classes[cls].deadline),
            tenant=config.tenants.get(headers.get(b"req-owner", b"").decode("latin-1"), -1),
            key=_object_key(headers.get(b"cookie", b"")),
            work=int(_optional_number(headers.get(b"req-cost"), 0.0)) or None,
            slots=_optional_number(extra.get(b"slots"), 0.0) or 1.0,
            memory=_optional_number(extra.get(b"memory"), 0.0),
            retry=headers.get(b"req-retry") == b"1",
        )


def make_job(request: h11.Request, body: bytes) -> Job:
    """Returns the parts of a validated request that are forwarded."""
    job_id = dict(request.headers)[b"req-id"]
    headers = [
        (name, value) for name, value in request.headers.raw_items() if name.lower() not in NOT_FORWARDED
    ]
    return Job(job_id.decode("latin-1"), request.method, request.target, headers, body)


def check_framing(head: bytes, request: h11.Request) -> None:
    """Raises BadRequest if a head specifies the end of the body in more than one way.

    Guards against request smuggling: with a length beside a transfer encoding, or with two lengths, two
    readers may disagree about the end of the body. h11 prefers the encoding and merges equal lengths.
    """
    lengths = CONTENT_LENGTH.findall(HEAD_END.split(head, 1)[0])
    encoded = any(name == b"transfer-encoding" for name, _ in request.headers)
    if len(lengths) + encoded > 1 or any(b"," in length for length in lengths):
        raise BadRequest(400, "more than one way to tell the body's length")
    if lengths and (len(lengths[0].strip()) > MAX_LENGTH_DIGITS or int(lengths[0]) > MAX_BODY_BYTES):
        raise BadRequest(413, "body over 64 KiB")


def _object_key(cookie: bytes) -> str | None:
    """Returns the cookie `obj`, which names the object of the request."""
    pairs = (part.strip().partition(b"=") for part in cookie.split(b";"))
    keys = [value.decode("latin-1") for name, _, value in pairs if name == b"obj"]
    if len(keys) > 1:
        raise BadRequest(400, "Cookie: obj more than once")
    return keys[0] if keys else None


def _optional_number(text: bytes | None, default: float) -> float:
    """Parses an optional number; an invalid one counts as absent."""
    return float(text) if text is not None and SECONDS.match(text) else default

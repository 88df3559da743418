"""Headers and paths that callers, upstreams and look-ups use."""

from collections.abc import Iterable
import json
from typing import NamedTuple
from urllib import parse

from gooseberryweir.connection import hop_headers
from gooseberryweir.connection.http_messages import Headers
from gooseberryweir.platform import units

READINESS_PATH = "/-/readiness"
LOOK_UP_PATH = "/-/resolve"
# Status of an upstream that is not the one that a request names.
MISDIRECTED = 421

# Headers that are not passed on: those of one connection, and those of the body
# that is framed anew.
_DROPPED = hop_headers.HOP_BY_HOP | {"content-length", "expect"}
# Headers that this system sets or takes away on the way to an upstream.
_REPLACED = frozenset(
    {"authorization", "tenant-id", "deadline-ms", "expect-instance"}
)
_SCHEME = "bearer "


class CallerHeaders(NamedTuple):
    """What the headers of a request say.

    Attributes:
        host: The Host header.
        request_id: Identifies one attempt of a caller.
        key: The key, or empty.
        affinity_key: Names the object that the request is about, or empty.
        patience: Seconds that the caller will wait, or None.
        passed_on: Headers that go to the upstream as they are.
    """

    host: str
    request_id: str
    key: str
    affinity_key: str
    patience: float | None
    passed_on: Headers


class UpstreamLoad(NamedTuple):
    """What an upstream says of its load.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait for a slot.
        slots: Requests that it runs at once.
    """

    running: int
    waiting: int
    slots: int


class AnswerHeaders(NamedTuple):
    """What the headers of an upstream's answer say.

    Attributes:
        not_run: Whether the upstream did not run the request.
        load: The upstream's load, if it says so.
        passed_on: Headers that go to the caller as they are.
    """

    not_run: bool
    load: UpstreamLoad | None
    passed_on: Headers


class LookUp(NamedTuple):
    """A look-up of the hosts to use.

    Attributes:
        host: The Host header that the caller is going to use.
        region: Region of the caller.
        zone: Availability zone of the caller.
    """

    host: str
    region: str
    zone: str


def _number(text: str | None) -> float | None:
    try:
        return None if text is None else float(text)
    except ValueError:
        # A header that is no number says nothing.
        return None


def decode_request(headers: Headers) -> CallerHeaders:
    """Reads the headers of a caller's request."""
    first: dict[str, str] = {}
    for name, value in headers:
        first.setdefault(name.lower(), value)
    authorization = first.get("authorization", "")
    key = ""
    if authorization.lower().startswith(_SCHEME):
        key = authorization[len(_SCHEME) :].strip()
    dropped = _DROPPED | _REPLACED | hop_headers.connection_options(headers)
    milliseconds = _number(first.get("deadline-ms"))
    return CallerHeaders(
        host=first.get("host", ""),
        request_id=first.get("request-id", ""),
        key=key,
        affinity_key=first.get("affinity-key", ""),
        patience=None if milliseconds is None else milliseconds / 1000,
        passed_on=tuple(
            (name, value)
            for name, value in headers
            if name.lower() not in dropped
        ),
    )


def encode_request(
    passed_on: Headers, upstream: str, account: str, patience: float
) -> list[tuple[str, str]]:
    """Returns the headers of a request to an upstream.

    Args:
        passed_on: Headers of the caller that are passed on.
        upstream: Name of the start of the upstream that may run it.
        account: The client account, or empty.
        patience: Seconds that are left.
    """
    headers = list(passed_on)
    headers.append(("Expect-Instance", upstream))
    headers.append(("Deadline-Ms", str(max(1, int(patience * 1000)))))
    if account:
        headers.append(("Tenant-Id", account))
    return headers


def decode_answer(status: int, headers: Headers) -> AnswerHeaders:
    """Reads the headers of an upstream's answer."""
    first: dict[str, str] = {}
    for name, value in headers:
        first.setdefault(name.lower(), value)
    dropped = _DROPPED | hop_headers.connection_options(headers)
    return AnswerHeaders(
        not_run="not-executed" in first or status == MISDIRECTED,
        load=_load(first.get("server-load", "")),
        passed_on=tuple(
            (name, value)
            for name, value in headers
            if name.lower() not in dropped
        ),
    )


def answered_id(headers: Headers) -> str:
    """Returns the id of the request that an upstream's answer is for."""
    return _first(headers, "request-id")


def idle_seconds(headers: Headers) -> float | None:
    """Returns how long an upstream keeps an idle connection, or None."""
    for part in _first(headers, "keep-alive").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout":
            return _number(value)
    return None


def _first(headers: Headers, wanted: str) -> str:
    """Returns the first value of a header, or an empty one."""
    return next(
        (value for name, value in headers if name.lower() == wanted), ""
    )


def _load(text: str) -> UpstreamLoad | None:
    parts = text.split(",")
    if len(parts) != 3 or not all(each.strip().isdigit() for each in parts):
        return None
    running, waiting, slots = (int(each) for each in parts)
    return UpstreamLoad(running, waiting, slots)


def retry_after(seconds: float) -> tuple[str, str]:
    """Returns the header that says when to come back; fractions count."""
    return ("Retry-After", f"{seconds:.2f}")


def decode_look_up(query: str) -> LookUp:
    """Reads the query of a look-up."""
    values = {name: found[0] for name, found in parse.parse_qs(query).items()}
    return LookUp(
        values.get("name", ""), values.get("region", ""), values.get("zone", "")
    )


def encode_look_up(addresses: Iterable[str], ttl: float) -> bytes:
    """Returns the body that answers a look-up."""
    document = {
        "addresses": list(addresses),
        "ttl": units.render_duration(ttl),
    }
    return json.dumps(document).encode()

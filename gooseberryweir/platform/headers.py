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
MISDIRECTED_STATUS = 421

# Headers that are not passed on: those of one connection, and those of the body
# that is framed anew.
_NOT_FORWARDED = hop_headers.HOP_BY_HOP | {"content-length", "expect"}
# Headers that this system sets or takes away on the way to an upstream.
_REPLACED_BY_HOST = frozenset(
    {"authorization", "tenant-id", "deadline-ms", "expect-instance"}
)
_BEARER_PREFIX = "bearer "


class RequestHeaders(NamedTuple):
    """What the headers of a request say.

    Attributes:
        host: The Host header.
        request_id: Identifies one attempt of a caller.
        key: The key, or empty.
        affinity_key: Names the object that the request is about, or empty.
        timeout_seconds: Seconds that the caller will wait, or None.
        forwarded: Headers that go to the upstream as they are.
    """

    host: str
    request_id: str
    key: str
    affinity_key: str
    timeout_seconds: float | None
    forwarded: Headers


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


class ResponseHeaders(NamedTuple):
    """What the headers of an upstream's answer say.

    Attributes:
        not_executed: Whether the upstream did not run the request.
        load: The upstream's load, if it says so.
        forwarded: Headers that go to the caller as they are.
    """

    not_executed: bool
    load: UpstreamLoad | None
    forwarded: Headers


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


def _parse_number(text: str | None) -> float | None:
    try:
        return None if text is None else float(text)
    except ValueError:
        # A header that is no number says nothing.
        return None


def decode_request(headers: Headers) -> RequestHeaders:
    """Reads the headers of a caller's request."""
    first_values: dict[str, str] = {}
    for name, value in headers:
        first_values.setdefault(name.lower(), value)
    authorization = first_values.get("authorization", "")
    key = ""
    if authorization.lower().startswith(_BEARER_PREFIX):
        key = authorization[len(_BEARER_PREFIX) :].strip()
    excluded = (
        _NOT_FORWARDED | _REPLACED_BY_HOST | hop_headers.named_by(headers)
    )
    milliseconds = _parse_number(first_values.get("deadline-ms"))
    return RequestHeaders(
        host=first_values.get("host", ""),
        request_id=first_values.get("request-id", ""),
        key=key,
        affinity_key=first_values.get("affinity-key", ""),
        timeout_seconds=None if milliseconds is None else milliseconds / 1000,
        forwarded=tuple(
            (name, value)
            for name, value in headers
            if name.lower() not in excluded
        ),
    )


def encode_request(
    forwarded: Headers, upstream: str, account: str, timeout_seconds: float
) -> list[tuple[str, str]]:
    """Returns the headers of a request to an upstream.

    Args:
        forwarded: Headers of the caller that are passed on.
        upstream: Name of the start of the upstream that may run it.
        account: The client account, or empty.
        timeout_seconds: Seconds that are left.
    """
    headers = list(forwarded)
    headers.append(("Expect-Instance", upstream))
    headers.append(("Deadline-Ms", str(max(1, int(timeout_seconds * 1000)))))
    if account:
        headers.append(("Tenant-Id", account))
    return headers


def decode_response(status: int, headers: Headers) -> ResponseHeaders:
    """Reads the headers of an upstream's answer."""
    first_values: dict[str, str] = {}
    for name, value in headers:
        first_values.setdefault(name.lower(), value)
    excluded = _NOT_FORWARDED | hop_headers.named_by(headers)
    return ResponseHeaders(
        not_executed="not-executed" in first_values
        or status == MISDIRECTED_STATUS,
        load=_parse_load(first_values.get("server-load", "")),
        forwarded=tuple(
            (name, value)
            for name, value in headers
            if name.lower() not in excluded
        ),
    )


def response_request_id(headers: Headers) -> str:
    """Returns the id of the request that an upstream's answer is for."""
    return _first_value(headers, "request-id")


def keep_alive_seconds(headers: Headers) -> float | None:
    """Returns how long an upstream keeps an idle connection, or None."""
    for part in _first_value(headers, "keep-alive").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout":
            return _parse_number(value)
    return None


def _first_value(headers: Headers, lower_name: str) -> str:
    """Returns the first value of a header, or an empty one."""
    return next(
        (value for name, value in headers if name.lower() == lower_name), ""
    )


def _parse_load(text: str) -> UpstreamLoad | None:
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
    values = {
        name: query_values[0]
        for name, query_values in parse.parse_qs(query).items()
    }
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

"""Decodes and encodes the HTTP headers and paths that the platform defines."""

from collections.abc import Iterable
import json
import math
import re
from typing import NamedTuple
from urllib import parse

from gooseberryweir.connection import hop_headers
from gooseberryweir.connection.http_messages import Headers
from gooseberryweir.platform import units

READINESS_PATH = "/-/readiness"
LOOK_UP_PATH = "/-/resolve"
# HTTP status with which an upstream turns a request away.
OVERLOADED_STATUS = 503
# HTTP status with which an upstream refuses a request whose Expect-Instance
# header names another upstream.
MISDIRECTED_STATUS = 421
# HTTP statuses from which callers conclude that a request has not run and never
# will.
NOT_RUN_STATUSES = frozenset({408, MISDIRECTED_STATUS, 429, OVERLOADED_STATUS})

# Headers that are not forwarded: hop-by-hop headers, and headers about the
# transfer of the body, which each hop sets itself.
_NOT_FORWARDED = hop_headers.HOP_BY_HOP | {"content-length", "expect"}
# Request headers that the host removes or sets itself before it forwards.
_REPLACED_BY_HOST = frozenset(
    {"authorization", "tenant-id", "deadline-ms", "expect-instance"}
)
_BEARER_PREFIX = "bearer "
# Numbers of running and waiting requests, and of slots.
_LOAD = re.compile(r"\s*([0-9]{1,9})\s*,\s*([0-9]{1,9})\s*,\s*([0-9]{1,9})\s*")
# Prefix of headers by which only this system describes its answers. An
# upstream's headers with it are not forwarded.
_RESERVED_PREFIX = "gooseberryweir-"


class RequestHeaders(NamedTuple):
    """Decoded headers of a caller's request.

    Attributes:
        host: Value of the Host header.
        request_id: Identifies one attempt of the caller to run the request.
        key: API key, or empty.
        affinity_key: Identifies the object that the request is about, or empty.
        timeout_seconds: Seconds that the caller waits for the response, or
            None.
        forwarded: Headers that are sent to the upstream unchanged.
    """

    host: str
    request_id: str
    key: str
    affinity_key: str
    timeout_seconds: float | None
    forwarded: Headers


class UpstreamLoad(NamedTuple):
    """Load that an upstream reports in a response.

    Attributes:
        running: Number of requests that are running.
        waiting: Number of requests that wait for a slot.
        slots: Maximum number of requests that run concurrently.
    """

    running: int
    waiting: int
    slots: int


class ResponseHeaders(NamedTuple):
    """Decoded headers of an upstream's response.

    Attributes:
        not_executed: True if the upstream did not execute the request.
        load: Load of the upstream, or None if it reports none.
        request_limit: Requests per second that the upstream accepts from all
            hosts together; infinity if it has no limit, None if the limit
            can't be read.
        leaving: True if the upstream leaves and wants no new requests.
        pause_seconds: Seconds for which the upstream wants no requests from
            this host; 0 if it names no time that can be read.
        forwarded: Headers that are sent to the caller unchanged.
    """

    not_executed: bool
    load: UpstreamLoad | None
    request_limit: float | None
    leaving: bool
    pause_seconds: float
    forwarded: Headers


class LookUp(NamedTuple):
    """Query of a look-up: a caller asks to which hosts it should send requests.

    Attributes:
        host: Host header of the requests that the caller will send.
        region: Region of the caller.
        zone: Availability zone of the caller.
    """

    host: str
    region: str
    zone: str


def _parse_number(text: str | None) -> float | None:
    """Parses the value of a header; None if it is not a finite number."""
    try:
        number = None if text is None else float(text)
    except ValueError:
        # A malformed header is treated as absent.
        return None
    return number if number is not None and math.isfinite(number) else None


def decode_request(headers: Headers) -> RequestHeaders:
    """Decodes the headers of a caller's request."""
    first_values: dict[str, str] = {}
    for name, value in headers:
        first_values.setdefault(name.lower(), value)
    authorization = first_values.get("authorization", "")
    key = ""
    if authorization.lower().startswith(_BEARER_PREFIX):
        key = authorization[len(_BEARER_PREFIX) :].strip()
    excluded = (
        _NOT_FORWARDED
        | _REPLACED_BY_HOST
        | hop_headers.connection_options(headers)
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
        forwarded: Headers of the caller that are forwarded.
        upstream: Name of the upstream's incarnation (one run of its process);
            any other incarnation refuses the request.
        account: Client account, or empty.
        timeout_seconds: Seconds left until the deadline.
    """
    headers = list(forwarded)
    headers.append(("Expect-Instance", upstream))
    headers.append(("Deadline-Ms", str(max(1, int(timeout_seconds * 1000)))))
    if account:
        headers.append(("Tenant-Id", account))
    return headers


def encode_probe(host: str) -> list[tuple[str, str]]:
    """Returns the headers of a request that any upstream refuses at once.

    It names no incarnation that exists, so no upstream runs it.

    Args:
        host: Value of the Host header.
    """
    return [
        ("Host", host),
        ("Request-Id", "probe"),
        ("Expect-Instance", "none"),
    ]


def decode_response(status: int, headers: Headers) -> ResponseHeaders:
    """Decodes the headers of an upstream's response."""
    first_values: dict[str, str] = {}
    for name, value in headers:
        first_values.setdefault(name.lower(), value)
    excluded = _NOT_FORWARDED | hop_headers.connection_options(headers)
    return ResponseHeaders(
        not_executed="not-executed" in first_values
        or status == MISDIRECTED_STATUS,
        load=_parse_load(first_values.get("server-load", "")),
        request_limit=_parse_request_limits(headers),
        leaving=any(
            name.lower() == "server-leaving" and value.strip() == "1"
            for name, value in headers
        ),
        pause_seconds=(
            _parse_pause_seconds(headers)
            if status == OVERLOADED_STATUS
            else 0.0
        ),
        forwarded=tuple(
            (name, value)
            for name, value in headers
            if name.lower() not in excluded
            and not name.lower().startswith(_RESERVED_PREFIX)
        ),
    )


def response_request_id(headers: Headers) -> str:
    """Returns the id of the request that a response answers, or empty."""
    return _first_value(headers, "request-id")


def keep_alive_seconds(headers: Headers) -> float | None:
    """Returns the idle timeout in an upstream's Keep-Alive header, or None."""
    for part in _first_value(headers, "keep-alive").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout":
            return _parse_number(value)
    return None


def _first_value(headers: Headers, lower_name: str) -> str:
    """Returns the first value of a header, or an empty string.

    Args:
        headers: Headers of a request or response.
        lower_name: Name of the header in lower case.
    """
    return next(
        (value for name, value in headers if name.lower() == lower_name), ""
    )


def _parse_load(text: str) -> UpstreamLoad | None:
    """Parses a Server-Load header; returns None if it is malformed."""
    match = _LOAD.fullmatch(text)
    return None if match is None else UpstreamLoad(*map(int, match.groups()))


def _parse_request_limits(headers: Headers) -> float | None:
    """Returns the least limit in the Server-Limit headers of a response.

    Returns:
        Requests per second; infinity if there is no such header, None if none
        of them is a number of 0 or more.
    """
    texts = [value for name, value in headers if name.lower() == "server-limit"]
    if not texts:
        return math.inf
    limits = [_parse_number(text) for text in texts]
    valid = [limit for limit in limits if limit is not None and limit >= 0]
    return min(valid, default=None)


def _parse_pause_seconds(headers: Headers) -> float:
    """Returns the greatest time in the Retry-After headers of a response.

    The platform's times are seconds. A date is not read: the clocks of hosts
    and upstreams differ by more than such a time.

    Returns:
        Seconds; 0 if no header is a finite number above 0.
    """
    seconds = [
        _parse_number(value)
        for name, value in headers
        if name.lower() == "retry-after"
    ]
    return max(
        (each for each in seconds if each is not None and each > 0),
        default=0.0,
    )


def retry_after(seconds: float) -> tuple[str, str]:
    """Returns a Retry-After header, with fractions of a second."""
    return ("Retry-After", f"{seconds:.2f}")


def decode_look_up(query: str) -> LookUp:
    """Decodes the query string of a look-up."""
    values = {
        name: query_values[0]
        for name, query_values in parse.parse_qs(query).items()
    }
    return LookUp(
        values.get("name", ""), values.get("region", ""), values.get("zone", "")
    )


def encode_look_up(addresses: Iterable[str], ttl: float) -> bytes:
    """Returns the response body of a look-up.

    Args:
        addresses: Addresses of the hosts to use, `IP:PORT`.
        ttl: Time to live of the response, in seconds.
    """
    document = {
        "addresses": list(addresses),
        "ttl": units.render_duration(ttl),
    }
    return json.dumps(document).encode()

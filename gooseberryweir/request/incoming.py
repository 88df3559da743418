"""A caller's request as read from the WSGI environment.

The key leaves the headers here; nothing past this module but admission sees it.
"""

import hashlib
import re
from typing import Any
from typing import NamedTuple
import urllib.parse

from gooseberryweir import codes
from gooseberryweir.connection import hop_headers

# Headers that are rebuilt for the upstream rather than passed on.
REPLACED_HEADERS = frozenset(
    {"authorization", "host", "content-length", "expect", "request-timeout"}
)
RESERVED_HEADER_PREFIX = "gooseberryweir-"
TICKET_HEADER = "Idempotency-Key"
TIMEOUT_HEADER = "Request-Timeout"
DEFAULT_TIMEOUT_SECONDS = 30.0
MAX_TIMEOUT_SECONDS = 600.0
KEY_PATTERN = re.compile(r"[A-Za-z0-9._~+/=-]{16,256}\Z")
PATH_PATTERN = re.compile(r"/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*\Z")
QUERY_PATTERN = re.compile(r"[A-Za-z0-9._~!$&'()*+,;=:@%/?\[\]|{}^`\"<>\\-]*\Z")
MALFORMED_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")


class IncomingRequest(NamedTuple):
    """One request of a caller.

    Attributes:
        method: HTTP method.
        path: Path as sent, escapes kept.
        target: Path and query as sent.
        headers: Headers to pass on; hop-by-hop ones and the key left out.
        key_digest: SHA-256 of the key in hexadecimal; empty without a key.
        ticket: The ticket, or empty.
        timeout: Seconds that the caller will wait.
        content_length: Bytes of the body, or None for a chunked body.
        body_stream: The WSGI input.
        caller_socket: The caller's socket.
        caller_address: The caller's IP number.
    """

    method: str
    path: str
    target: str
    headers: tuple[tuple[str, str], ...]
    key_digest: str
    ticket: str
    timeout: float
    content_length: int | None
    body_stream: Any
    caller_socket: Any
    caller_address: str = ""


def contains_key(text: str, key: str) -> bool:
    """Returns whether a text holds a key, in any letter case or escaped."""
    if not key:
        return False
    lower_key = key.lower()
    unescaped = urllib.parse.unquote(text, encoding="latin1")
    return lower_key in text.lower() or lower_key in unescaped.lower()


def forwarded_headers(
    headers: tuple[tuple[str, str], ...], key: str
) -> tuple[tuple[str, str], ...]:
    """Returns the headers that an upstream may see.

    A header whose name or value holds the key is left out.
    """
    dropped = (
        hop_headers.HOP_BY_HOP
        | REPLACED_HEADERS
        | hop_headers.named_by(headers)
    )
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in dropped
        and "_" not in name
        and not name.lower().startswith(RESERVED_HEADER_PREFIX)
        and not contains_key(name, key)
        and not contains_key(value, key)
    )


def header_values(headers: tuple[tuple[str, str], ...], name: str) -> list[str]:
    """Returns every value of a header."""
    lower_name = name.lower()
    return [value for header, value in headers if header.lower() == lower_name]


def parse_key(headers: tuple[tuple[str, str], ...]) -> str | codes.Refusal:
    """Returns the key, empty if there is none, or a refusal."""
    values = header_values(headers, "authorization")
    if not values:
        return ""
    scheme, _, key = values[0].partition(" ")
    key = key.strip()
    if (
        len(values) > 1
        or scheme.lower() != "bearer"
        or not KEY_PATTERN.match(key)
    ):
        return codes.refuse(codes.Code.MALFORMED_KEY)
    return key


def parse_timeout(
    headers: tuple[tuple[str, str], ...],
) -> float | codes.Refusal:
    """Returns the seconds that the caller gives its request."""
    values = header_values(headers, TIMEOUT_HEADER)
    if not values:
        return DEFAULT_TIMEOUT_SECONDS
    try:
        seconds = float(values[0])
    except ValueError:
        return codes.refuse(codes.Code.BAD_TIMEOUT)
    if len(values) > 1 or not 0 < seconds <= MAX_TIMEOUT_SECONDS:
        return codes.refuse(
            codes.Code.BAD_TIMEOUT,
            f"{TIMEOUT_HEADER} takes one number of seconds, "
            f"more than 0 and at most {MAX_TIMEOUT_SECONDS:g}",
        )
    return seconds


def is_malformed_target(path: str, query: str) -> bool:
    """Returns whether a path or query is ambiguous or malformed."""
    if not PATH_PATTERN.match(path) or not QUERY_PATTERN.match(query):
        return True
    if MALFORMED_ESCAPE.search(path) or MALFORMED_ESCAPE.search(query):
        return True
    decoded = urllib.parse.unquote(path, encoding="latin1")
    if "%2f" in path.lower() or "\\" in decoded or "\0" in decoded:
        return True
    segments = decoded.split("/")
    return "." in segments or ".." in segments or "" in segments[1:-1]


def parse(environ: dict[str, Any]) -> IncomingRequest | codes.Refusal:
    """Reads a request from its WSGI environment.

    Args:
        environ: The environment that eventlet's server built.

    Returns:
        The request, or the refusal of a malformed one.
    """
    headers = environ["headers_raw"]
    path = environ["RAW_PATH_INFO"]
    query = environ.get("QUERY_STRING", "")
    if is_malformed_target(path, query):
        return codes.refuse(codes.Code.BAD_PATH)
    key = parse_key(headers)
    if isinstance(key, codes.Refusal):
        return key
    if contains_key(path, key) or contains_key(query, key):
        return codes.refuse(
            codes.Code.MALFORMED_KEY, "the key may stand in no other place"
        )
    timeout = parse_timeout(headers)
    if isinstance(timeout, codes.Refusal):
        return timeout
    tickets = header_values(headers, TICKET_HEADER)
    if len(tickets) > 1:
        return codes.refuse(codes.Code.TICKET_INVALID)
    chunked = bool(header_values(headers, "transfer-encoding"))
    return IncomingRequest(
        method=environ["REQUEST_METHOD"],
        path=path,
        target=f"{path}?{query}" if query else path,
        headers=forwarded_headers(headers, key),
        key_digest=hashlib.sha256(key.encode()).hexdigest() if key else "",
        ticket=tickets[0] if tickets else "",
        timeout=timeout,
        content_length=(
            None if chunked else int(environ.get("CONTENT_LENGTH") or 0)
        ),
        body_stream=environ["wsgi.input"],
        caller_socket=environ["eventlet.input"].get_socket(),
        caller_address=environ.get("REMOTE_ADDR", ""),
    )

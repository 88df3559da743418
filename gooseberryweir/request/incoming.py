"""Parses and validates a caller's request from the WSGI environment.

The caller's key is removed from the headers here; later code gets only its
digest. A malformed request gets a refusal, an error answer by this system.
"""

import hashlib
import re
from typing import Any
from typing import NamedTuple
import urllib.parse

from gooseberryweir import codes
from gooseberryweir.connection import hop_headers

# Headers that are not forwarded as received; those that an upstream needs are
# set by the host.
REPLACED_HEADERS = frozenset(
    {"authorization", "host", "content-length", "expect", "request-timeout"}
)
# Prefix of this system's own headers; received ones are not forwarded.
RESERVED_HEADER_PREFIX = "gooseberryweir-"
TICKET_HEADER = "Idempotency-Key"
TIMEOUT_HEADER = "Request-Timeout"
DEFAULT_TIMEOUT_SECONDS = 30.0
MAX_TIMEOUT_SECONDS = 600.0
KEY_PATTERN = re.compile(r"[A-Za-z0-9._~+/=-]{16,256}\Z")
PATH_PATTERN = re.compile(r"/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*\Z")
QUERY_PATTERN = re.compile(r"[A-Za-z0-9._~!$&'()*+,;=:@%/?\[\]|{}^`\"<>\\-]*\Z")
# A percent sign that is not followed by two hexadecimal digits.
MALFORMED_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")


class IncomingRequest(NamedTuple):
    """A caller's request.

    Attributes:
        method: HTTP method.
        path: Path as sent, with its percent escapes.
        target: Path and query as sent.
        headers: Headers to forward, without hop-by-hop headers and the key.
        key_digest: SHA-256 of the key in hexadecimal; empty for an
            unauthenticated request.
        ticket: Ticket (idempotency key) of a non-idempotent request, or empty.
        timeout: Time for which the caller waits for the answer, seconds.
        content_length: Length of the body in bytes, or None if it is chunked.
        body_stream: WSGI input stream, from which the body is read.
        caller_socket: Socket of the caller's connection.
        caller_address: IP address of the caller.
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
    """Returns True if a text contains the key.

    Ignores letter case, and also finds the key with percent escapes.
    """
    if not key:
        return False
    lower_key = key.lower()
    unescaped = urllib.parse.unquote(text, encoding="latin1")
    return lower_key in text.lower() or lower_key in unescaped.lower()


def forwarded_headers(
    headers: tuple[tuple[str, str], ...], key: str
) -> tuple[tuple[str, str], ...]:
    """Returns the headers to forward to an upstream.

    Drops hop-by-hop, replaced and reserved headers, headers whose name has an
    underscore, and headers whose name or value contains the key.
    """
    dropped = (
        hop_headers.HOP_BY_HOP
        | REPLACED_HEADERS
        | hop_headers.connection_options(headers)
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
    """Returns all values of a header; the name may be in any letter case."""
    lower_name = name.lower()
    return [value for header, value in headers if header.lower() == lower_name]


def parse_key(headers: tuple[tuple[str, str], ...]) -> str | codes.Refusal:
    """Returns the key, empty if none was sent, or a refusal if malformed."""
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
    """Returns the request's timeout in seconds, or a refusal if malformed."""
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
    """Returns True if a path or query is malformed or the path is ambiguous.

    A path is ambiguous if it contains an escaped slash, a backslash, a NUL, a
    dot segment or an empty segment other than the last.
    """
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
    """Parses a request from its WSGI environment.

    Args:
        environ: Environment that eventlet's server built.

    Returns:
        The request, or a refusal if it is malformed.
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
            codes.Code.MALFORMED_KEY,
            "the key may appear only in the Authorization header",
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

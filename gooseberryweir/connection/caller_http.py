"""The caller's side of HTTP: checks on a request head before the application.

Everything that leaves the meaning of a request open (two lengths, a folded
header, a malformed name) is refused here as not run and the connection closed.
"""

from collections.abc import Callable
import contextlib
import json
import re
from typing import Any

import eventlet
from eventlet import wsgi

from gooseberryweir import codes

TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
DIGITS = re.compile(r"[0-9]{1,15}\Z")
# Bytes; a piece of an answer is passed on at once, however small.
MINIMUM_PIECE_BYTES = 1
# Seconds that an idle or stalled caller connection is kept.
IDLE_SECONDS = 75.0


def refusal_headers(refusal: codes.Refusal) -> list[tuple[str, str]]:
    """Returns the response headers of a refusal."""
    headers = [
        ("Content-Type", "application/json"),
        ("Gooseberryweir-Code", str(int(refusal.code))),
        ("Gooseberryweir-Ran", refusal.ran.value),
    ]
    if refusal.retry_after is not None:
        # Retry-After has whole seconds (RFC 9110, 10.2.3); round up.
        headers.append(("Retry-After", str(int(-(-refusal.retry_after // 1)))))
    return headers


def refusal_body(refusal: codes.Refusal) -> bytes:
    """Returns the JSON body of a refusal."""
    document: dict[str, Any] = {
        "code": int(refusal.code),
        "error": refusal.code.name.lower(),
        "ran": refusal.ran.value,
        "detail": refusal.detail,
    }
    if refusal.retry_after is not None:
        document["retry_after"] = round(refusal.retry_after, 3)
    return json.dumps(document).encode()


def head_fault(headers: Any) -> codes.Code | None:
    """Returns what is wrong with parsed request headers, if anything.

    Args:
        headers: The `email.message.Message` of the request.
    """
    if headers.defects:
        return codes.Code.FOLDED_HEADER
    for name, value in headers.items():
        if "\n" in value or "\r" in value or not TOKEN.match(name):
            return codes.Code.FOLDED_HEADER
    lengths = headers.get_all("content-length", [])
    encodings = headers.get_all("transfer-encoding", [])
    if lengths and encodings or len(lengths) > 1 or len(encodings) > 1:
        return codes.Code.AMBIGUOUS_LENGTH
    if encodings and encodings[0].strip().lower() != "chunked":
        return codes.Code.BAD_LENGTH
    if lengths and not DIGITS.match(lengths[0].strip()):
        return codes.Code.BAD_LENGTH
    return None


def protocol_class(
    max_header_bytes: int, leaving: Callable[[], bool]
) -> type[wsgi.HttpProtocol]:
    """Builds the protocol class for one server.

    Args:
        max_header_bytes: Bound on all header lines of a request.
        leaving: Whether answers should close their connection.
    """

    class CallerProtocol(wsgi.HttpProtocol):
        """Reads request heads strictly and refuses in JSON."""

        def refuse(self, code: codes.Code) -> bool:
            """Answers a refusal and closes the connection."""
            refusal = codes.refuse(code)
            body = refusal_body(refusal)
            status = codes.TABLE[code].status
            lines = [f"HTTP/1.1 {status} Refused"]
            pairs = refusal_headers(refusal)
            lines += [f"{name}: {value}" for name, value in pairs]
            lines += [f"Content-Length: {len(body)}", "Connection: close"]
            head = "\r\n".join(lines) + "\r\n\r\n"
            with contextlib.suppress(OSError):
                self.wfile.write(head.encode() + body)
                self.wfile.flush()
            self.close_connection = True
            return False

        def parse_request(self) -> bool:
            """Parses the request head; False once it was refused."""
            self.refused = False
            try:
                parsed = super().parse_request()
            except (wsgi.HeaderLineTooLong, wsgi.HeadersTooLarge):
                return self.refuse(codes.Code.HEADERS_TOO_LARGE)
            except ValueError:
                return self.refuse(codes.Code.FOLDED_HEADER)
            if not parsed:
                return False
            size = sum(len(n) + len(v) + 4 for n, v in self.headers.items())
            if size > max_header_bytes:
                return self.refuse(codes.Code.HEADERS_TOO_LARGE)
            fault = head_fault(self.headers)
            if fault is not None:
                return self.refuse(fault)
            if leaving():
                self.close_connection = True
            return True

        def send_error(
            self, code: Any, message: Any = None, explain: Any = None
        ) -> None:
            """Replaces the library's HTML error by a refusal."""
            too_large = int(code) == 431
            self.refuse(
                codes.Code.HEADERS_TOO_LARGE
                if too_large
                else codes.Code.BAD_PATH
            )

    return CallerProtocol


def serve(
    listener: Any,
    application: Callable[..., Any],
    pool: eventlet.GreenPool,
    max_header_bytes: int,
    leaving: Callable[[], bool],
) -> None:
    """Serves callers until the task is killed; then ends idle connections.

    Returns only once every open request has its answer.
    """
    wsgi.server(
        listener,
        application,
        log_output=False,
        debug=False,
        custom_pool=pool,
        protocol=protocol_class(max_header_bytes, leaving),
        minimum_chunk_size=MINIMUM_PIECE_BYTES,
        keepalive=IDLE_SECONDS,
        socket_timeout=IDLE_SECONDS,
        url_length_limit=16384,
    )

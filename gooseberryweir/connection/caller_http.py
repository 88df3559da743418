"""The caller's side of HTTP: checks on a request head before the application.

Everything that leaves the meaning of a request open (two lengths, a folded
header, a malformed name) is refused here as not run and the connection closed.
"""

from collections.abc import Callable
import contextlib
import json
import re
import socket
from typing import Any
from typing import NamedTuple

import eventlet
from eventlet import wsgi

from gooseberryweir import codes
from gooseberryweir.connection import chunked_body

TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
REQUEST_LINE = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+ [\x21-\x7e]+ HTTP/1\.[01]\r\n\Z"
)
HEADER_LINE = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r\n\Z"
)
EMPTY_LINE = b"\r\n"
CONTENT_LENGTH_VALUE = re.compile(r"[0-9]{1,15}\Z")
# Bytes; a piece of an answer is passed on at once, however small.
MIN_CHUNK_BYTES = 1
# Seconds that an idle or stalled caller connection is kept.
IDLE_TIMEOUT_SECONDS = 75.0
MAX_REQUEST_LINE_BYTES = 16384
# How long, and for how many bytes, to read on after a refusal, so that a
# caller that still sends gets to read it.
LINGER_SECONDS = 1.0
LINGER_BYTES = 1024 * 1024


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


def find_header_error(headers: Any) -> codes.Code | None:
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
    if encodings and encodings[0].strip(" \t").lower() != "chunked":
        return codes.Code.BAD_LENGTH
    if lengths and not CONTENT_LENGTH_VALUE.match(lengths[0].strip(" \t")):
        return codes.Code.BAD_LENGTH
    return None


class HeaderLineReader:
    """The header lines of a request as sent.

    Attributes:
        source: The file to read them from.
        malformed: Whether one was no header line, or the last one was missing.
    """

    def __init__(self, source: Any) -> None:
        self.source = source
        self.malformed = False

    def readline(self, size: int = -1) -> bytes:
        """Reads one line and notes whether it is well formed."""
        line: bytes = self.source.readline(size)
        if line != EMPTY_LINE and not HEADER_LINE.match(line):
            self.malformed = True
        return line


class ServerOptions(NamedTuple):
    """What a server demands of its connections.

    Attributes:
        max_header_bytes: Bound on all header lines of a request.
        shutting_down: Whether answers should close their connection.
        on_refusal: Told of each refusal made here.
    """

    max_header_bytes: int
    shutting_down: Callable[[], bool]
    on_refusal: Callable[[codes.Refusal], None]


class CallerProtocol(wsgi.HttpProtocol):
    """Reads request heads strictly and refuses in JSON."""

    options: ServerOptions
    rfile: Any

    def refuse(self, code: codes.Code) -> bool:
        """Answers a refusal and closes the connection."""
        refusal = codes.refuse(code)
        self.options.on_refusal(refusal)
        body = refusal_body(refusal)
        status = codes.TABLE[code].status
        lines = [f"HTTP/1.1 {status} Refused"]
        headers = refusal_headers(refusal)
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [f"Content-Length: {len(body)}", "Connection: close"]
        head = "\r\n".join(lines) + "\r\n\r\n"
        if self.raw_requestline.startswith(b"HEAD "):
            body = b""
        with contextlib.suppress(OSError):
            self.wfile.write(head.encode() + body)
            self.wfile.flush()
            lingering_close(self.connection)
        self.close_connection = True
        return False

    def _read_request_line(self) -> bytes:
        """Reads the request line; empty once it was refused."""
        line: bytes = super()._read_request_line() or b""
        if len(line) < MAX_REQUEST_LINE_BYTES:
            return line
        self.raw_requestline = line
        self.refuse(codes.Code.HEADERS_TOO_LARGE)
        return b""

    def get_environ(self) -> dict[str, Any]:
        """Returns the WSGI environment with strict reading of chunks."""
        environ: dict[str, Any] = super().get_environ()
        body = environ["wsgi.input"]
        if body.chunked_input:
            body.rfile = chunked_body.ChunkedBodyReader(
                body.rfile, self.disable_keep_alive
            )
        return environ

    def disable_keep_alive(self) -> None:
        """Lets no further request be read from the connection."""
        self.close_connection = True

    def parse_request(self) -> bool:
        """Parses the request head; False once it was refused."""
        if not REQUEST_LINE.match(self.raw_requestline):
            return self.refuse(codes.Code.BAD_PATH)
        if self.raw_requestline.split()[1].startswith(b"//"):
            # The library would make it one slash.
            return self.refuse(codes.Code.BAD_PATH)
        self.rfile = reader = HeaderLineReader(self.rfile)
        try:
            parsed = super().parse_request()
        except (wsgi.HeaderLineTooLong, wsgi.HeadersTooLarge):
            return self.refuse(codes.Code.HEADERS_TOO_LARGE)
        except ValueError:
            return self.refuse(codes.Code.FOLDED_HEADER)
        if not parsed:
            return False
        if reader.malformed:
            return self.refuse(codes.Code.FOLDED_HEADER)
        error_code = self.find_error()
        if error_code is not None:
            return self.refuse(error_code)
        if self.options.shutting_down():
            self.close_connection = True
        return True

    def find_error(self) -> codes.Code | None:
        """Returns what is wrong with the parsed headers, if anything."""
        size = sum(len(n) + len(v) + 4 for n, v in self.headers.items())
        if size > self.options.max_header_bytes:
            return codes.Code.HEADERS_TOO_LARGE
        chunked = "transfer-encoding" in self.headers
        if chunked and self.request_version != "HTTP/1.1":
            return codes.Code.BAD_LENGTH
        return find_header_error(self.headers)

    def send_error(
        self, code: Any, message: Any = None, explain: Any = None
    ) -> None:
        """Replaces the library's HTML error by a refusal."""
        too_large = int(code) == 431
        self.refuse(
            codes.Code.HEADERS_TOO_LARGE if too_large else codes.Code.BAD_PATH
        )


def make_protocol_class(server_options: ServerOptions) -> type[CallerProtocol]:
    """Builds the protocol class for one server."""

    class BoundProtocol(CallerProtocol):
        """The protocol with the rules of its server."""

        options = server_options

    return BoundProtocol


def lingering_close(connection: Any) -> None:
    """Ends the sending side and reads on for a bounded time."""
    connection.shutdown(socket.SHUT_WR)
    remaining = LINGER_BYTES
    with (
        contextlib.suppress(eventlet.Timeout),
        eventlet.Timeout(LINGER_SECONDS),
    ):
        while remaining > 0:
            data = connection.recv(min(remaining, 64 * 1024))
            if not data:
                return
            remaining -= len(data)


def ignore_refusal(_: codes.Refusal) -> None:
    """Does nothing with a refusal."""


def serve(
    listener: Any,
    application: Callable[..., Any],
    pool: eventlet.GreenPool,
    max_header_bytes: int,
    shutting_down: Callable[[], bool],
    on_refusal: Callable[[codes.Refusal], None] = ignore_refusal,
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
        protocol=make_protocol_class(
            ServerOptions(max_header_bytes, shutting_down, on_refusal)
        ),
        minimum_chunk_size=MIN_CHUNK_BYTES,
        keepalive=IDLE_TIMEOUT_SECONDS,
        socket_timeout=IDLE_TIMEOUT_SECONDS,
        url_length_limit=MAX_REQUEST_LINE_BYTES,
    )

"""HTTP server for callers: checks request heads before the application runs.

An ambiguous request (two lengths, a folded header, a malformed header name) is
not run: its caller gets a refusal (an error answer of this system), and the
connection is closed.
"""

from collections.abc import Callable
import contextlib
import json
import re
import time
from typing import Any
from typing import NamedTuple

import eventlet
from eventlet import hubs
from eventlet import wsgi
import greenlet

from gooseberryweir import codes
from gooseberryweir.connection import chunked_body
from gooseberryweir.connection import delivery

HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
REQUEST_LINE = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+ [\x21-\x7e]+ HTTP/1\.[01]\r\n\Z"
)
HEADER_LINE = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r\n\Z"
)
EMPTY_LINE = b"\r\n"
CONTENT_LENGTH_VALUE = re.compile(r"[0-9]{1,15}\Z")
# eventlet holds back the chunks of an answer until they add up to this size; 1
# byte sends each chunk at once.
MIN_CHUNK_BYTES = 1
# An idle or stalled connection is closed after this time.
IDLE_TIMEOUT_SECONDS = 75.0
MAX_REQUEST_LINE_BYTES = 16384


def refusal_headers(refusal: codes.Refusal) -> list[tuple[str, str]]:
    """Returns the HTTP headers of a refusal."""
    headers = [
        ("Content-Type", "application/json"),
        ("Gooseberryweir-Code", str(int(refusal.code))),
        ("Gooseberryweir-Ran", refusal.ran.value),
    ]
    if refusal.retry_after is not None:
        # Retry-After takes whole seconds (RFC 9110, 10.2.3); round up.
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
    """Returns the error code for parsed request headers, or None if valid.

    Args:
        headers: Headers of the request, an `email.message.Message`.
    """
    if headers.defects:
        return codes.Code.FOLDED_HEADER
    for name, value in headers.items():
        if "\n" in value or "\r" in value or not HEADER_NAME.match(name):
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
    """Checks the header lines of a request while they are read.

    Attributes:
        source: File object from which the connection is read.
        malformed: True once a line was malformed or the input ended early.
    """

    def __init__(self, source: Any) -> None:
        self.source = source
        self.malformed = False

    def readline(self, size: int = -1) -> bytes:
        """Reads one line and sets `malformed` if it is not a header line."""
        line: bytes = self.source.readline(size)
        if line != EMPTY_LINE and not HEADER_LINE.match(line):
            self.malformed = True
        return line


class IdleWait(NamedTuple):
    """A wait of a connection for its next request.

    Attributes:
        timeout: Exception that ends the wait.
        has_input: Returns True if input has arrived that was not read yet.
    """

    timeout: Any
    has_input: Callable[[], bool]


class IdleWaits:
    """Waits of connections for their next request, until the server stops.

    Attributes:
        stopped: True once the server stops.
        waits: The waits by the task that waits.
    """

    def __init__(self) -> None:
        self.stopped = False
        self.waits: dict[Any, IdleWait] = {}

    def wait(
        self, read: Callable[[], bytes], has_input: Callable[[], bool]
    ) -> bytes | None:
        """Reads the start of a request; returns None if the server stops.

        Args:
            read: Waits for input and returns it.
            has_input: Returns True if input has arrived that was not read yet.
                A stop does not end the wait then.
        """
        if self.stopped:
            return None
        task = eventlet.getcurrent()
        with eventlet.Timeout(None, False) as timeout:
            self.waits[task] = IdleWait(timeout, has_input)
            try:
                return read()
            finally:
                del self.waits[task]
        return None

    def stop(self) -> None:
        """Ends the waits of connections without a request."""
        self.stopped = True
        for task in self.waits:
            hubs.get_hub().schedule_call_global(0, self._end, task)

    def _end(self, task: Any) -> None:
        """Ends the wait of a task, unless its request arrives."""
        wait = self.waits.get(task)
        if wait is not None and not wait.has_input():
            task.throw(wait.timeout)


class ServerOptions(NamedTuple):
    """Options of a server.

    Attributes:
        max_header_bytes: Limit on the total size of a request's headers.
        shutting_down: Returns True once the host is shutting down; each
            connection is then closed after its next answer.
        on_refusal: Called with each refusal that is sent by this module.
        idle_waits: Waits of the connections for their next request.
    """

    max_header_bytes: int
    shutting_down: Callable[[], bool]
    on_refusal: Callable[[codes.Refusal], None]
    idle_waits: IdleWaits


class CallerProtocol(wsgi.HttpProtocol):
    """Parses request heads strictly and sends refusals as JSON.

    Attributes:
        options: Options of the server.
        rfile: File object from which the connection is read.
        delivery: Delivery of the answers.
        lingers: False if the connection may end at once, since it ended where a
            request could begin, or the server stops and its caller has the
            answers.
    """

    options: ServerOptions
    rfile: Any
    delivery: delivery.Delivery
    lingers = True

    def setup(self) -> None:
        """Prepares the connection."""
        super().setup()
        self.delivery = delivery.Delivery(
            self.connection, time.monotonic, delivery.log_undelivered
        )

    def refuse(self, code: codes.Code) -> bool:
        """Sends a refusal and closes the connection; always returns False."""
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
        self.close_connection = True
        return False

    def finish(self) -> None:
        """Closes the connection once the caller has received the answers."""
        with contextlib.suppress(OSError):
            # The caller may have disconnected already.
            self.wfile.flush()
        if self.lingers:
            lingering_close(self.delivery)
        super().finish()

    def handle_one_response(self) -> None:
        """Runs the application and sends its answer."""
        super().handle_one_response()
        self.delivery.sent_at = time.monotonic()

    def _read_request_line(self) -> bytes:
        """Returns the request line.

        Empty if the connection or the server ends, or if the line was refused
        as too long.
        """
        # The server would shut down an idle connection in both directions when
        # it stops; what the caller sends then resets the connection.
        self.conn_state[2] = wsgi.STATE_REQUEST
        received = self.options.idle_waits.wait(
            super()._read_request_line, self.delivery.has_unread_input
        )
        line = received or b""
        self.lingers = (
            self.may_lack_answer() if received is None else bool(line)
        )
        if len(line) < MAX_REQUEST_LINE_BYTES:
            return line
        self.raw_requestline = line
        self.refuse(codes.Code.HEADERS_TOO_LARGE)
        return b""

    def may_lack_answer(self) -> bool:
        """Returns True if the caller may not have read the last answer."""
        seconds = time.monotonic() - self.delivery.sent_at
        return (
            seconds < delivery.ASSUMED_DELIVERY_SECONDS
            or self.delivery.undelivered() > 0
        )

    def get_environ(self) -> dict[str, Any]:
        """Returns the WSGI environment; chunked bodies are read strictly."""
        environ: dict[str, Any] = super().get_environ()
        body = environ["wsgi.input"]
        if body.chunked_input:
            body.rfile = chunked_body.ChunkedBodyReader(
                body.rfile, self.disable_keep_alive
            )
        return environ

    def disable_keep_alive(self) -> None:
        """Makes the server close the connection after the current request."""
        self.close_connection = True

    def parse_request(self) -> bool:
        """Parses the request head; returns False if it was refused."""
        if not REQUEST_LINE.match(self.raw_requestline):
            return self.refuse(codes.Code.BAD_PATH)
        if self.raw_requestline.split()[1].startswith(b"//"):
            # The standard library would collapse the slashes to one.
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
        """Returns the error code for the request headers, or None if valid."""
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
        """Sends a refusal instead of the standard library's HTML error."""
        too_large = int(code) == 431
        self.refuse(
            codes.Code.HEADERS_TOO_LARGE if too_large else codes.Code.BAD_PATH
        )


def make_protocol_class(server_options: ServerOptions) -> type[CallerProtocol]:
    """Returns a protocol class with the options of one server."""

    class BoundProtocol(CallerProtocol):
        """`CallerProtocol` with the options of one server."""

        options = server_options

    return BoundProtocol


def lingering_close(answer: delivery.Delivery) -> None:
    """Shuts down the sending side, then reads and discards input.

    Ends once the caller has received the answer and has closed its sending
    side, or after `delivery.MAX_DELIVERY_SECONDS`.

    Args:
        answer: Delivery of the last answer.
    """
    answer.finish()
    ended = False
    while not ended and (seconds := answer.linger_seconds()) > 0:
        if answer.discarded > delivery.MAX_UNPACED_BYTES:
            eventlet.sleep(delivery.CHECK_SECONDS)
        with eventlet.Timeout(seconds, False):
            data = answer.socket.recv(64 * 1024)
            answer.count_discarded(len(data))
            ended = not data
    if ended:
        answer.wait()
    answer.record_close("time-over", caller_closed=ended)
    answer.discard_input()


def ignore_refusal(_: codes.Refusal) -> None:
    """Does nothing; the default of `on_refusal`."""


def serve(
    listener: Any,
    application: Callable[..., Any],
    pool: eventlet.GreenPool,
    max_header_bytes: int,
    shutting_down: Callable[[], bool],
    on_refusal: Callable[[codes.Refusal], None] = ignore_refusal,
) -> None:
    """Serves callers until the calling task is killed.

    Then closes idle connections, and returns only after every open request has
    been answered and every caller has received its answers.

    Args:
        listener: Listening socket.
        application: WSGI application.
        pool: Pool of the tasks that serve connections.
        max_header_bytes: Limit on the total size of a request's headers.
        shutting_down: Returns True once the host is shutting down.
        on_refusal: Called with each refusal that is sent by this module.
    """
    idle_waits = IdleWaits()
    options = ServerOptions(
        max_header_bytes,
        lambda: idle_waits.stopped or shutting_down(),
        on_refusal,
        idle_waits,
    )
    server = eventlet.spawn(
        wsgi.server,
        listener,
        application,
        log_output=False,
        debug=False,
        custom_pool=pool,
        protocol=make_protocol_class(options),
        minimum_chunk_size=MIN_CHUNK_BYTES,
        keepalive=IDLE_TIMEOUT_SECONDS,
        socket_timeout=IDLE_TIMEOUT_SECONDS,
        url_length_limit=MAX_REQUEST_LINE_BYTES,
    )
    try:
        server.wait()
    finally:
        idle_waits.stop()
        server.kill()
        with contextlib.suppress(greenlet.GreenletExit):
            server.wait()

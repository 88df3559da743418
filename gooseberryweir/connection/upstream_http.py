"""HTTP client for upstreams, with one request at a time on a connection.

A connection is reused only after its answer was read completely. Each
non-idempotent request gets a new connection, since the upstream may have just
closed a pooled one.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import http.client
from typing import Any
from typing import NamedTuple

from eventlet import greenio
from eventlet import hubs
import urllib3
from urllib3 import connection as urllib3_connection

from gooseberryweir.connection import byte_budget
from gooseberryweir.connection import hop_headers
from gooseberryweir.connection import http_messages
from gooseberryweir.request import incoming

CONNECT_TIMEOUT_SECONDS = 1.0
READ_BYTES = 64 * 1024
# Header of a 503 answer by which an upstream says that it did not start to
# run the request.
SHED_HEADER = "Gooseberryweir-Shed"
# Headers that urllib3 adds by default.
URLLIB3_HEADERS = ("User-Agent", "Accept-Encoding")


class UpstreamRequest(NamedTuple):
    """A request to an upstream.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Names and values of all headers.
        body: Body, complete or as an iterable of pieces; None if there is no
            body.
        idempotent: True if the request may be sent again.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | Iterable[bytes] | None
    idempotent: bool


class UpstreamAnswer(NamedTuple):
    """The head of an upstream's answer; the body has not been read yet.

    Attributes:
        status: HTTP status code.
        headers: Headers to forward to the caller.
        shed: True if the upstream did not start to run the request.
        response: urllib3 response, from which the body is read.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    shed: bool
    response: Any


class NotSentError(Exception):
    """The connection could not be opened; no byte of the request was sent."""


class UpstreamDiedError(Exception):
    """The connection ended before the answer was complete."""


class UpstreamTimeoutError(Exception):
    """The upstream did not answer within the timeout."""


def answer_headers(headers: Any) -> tuple[tuple[str, str], ...]:
    """Returns the headers of an answer to forward to the caller.

    Removes hop-by-hop headers and headers with the prefix reserved for this
    system, so that an upstream's answer can't look like a refusal (an error
    answer by this host).
    """
    options = hop_headers.connection_options(headers.iteritems())
    dropped = hop_headers.HOP_BY_HOP | options
    if "chunked" in headers.get("transfer-encoding", "").lower():
        dropped |= {"content-length"}
    return tuple(
        (name, value)
        for name, value in headers.iteritems()
        if name.lower() not in dropped
        and not name.lower().startswith(incoming.RESERVED_HEADER_PREFIX)
    )


class UpstreamConnections:
    """Connection pools of the upstreams; a context manager that closes them.

    Attributes:
        pools: Pool of connections by address of the upstream, `IP:PORT`.
    """

    def __init__(self) -> None:
        self.pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def __enter__(self) -> "UpstreamConnections":
        return self

    def __exit__(self, *_: object) -> None:
        for pool in self.pools.values():
            pool.close()
        self.pools.clear()

    def close_pools(self, addresses: Iterable[str]) -> None:
        """Closes the pools of upstreams that are no longer listed."""
        for address in addresses:
            pool = self.pools.pop(address, None)
            if pool is not None:
                pool.close()

    def pool(self, address: str, connections: int) -> Any:
        """Returns the pool of an upstream, which is created on first use.

        Args:
            address: Address of the upstream, `IP:PORT`.
            connections: Largest number of idle connections in the pool.
        """
        pool = self.pools.get(address)
        if pool is None:
            pool = _new_pool(address, connections)
            self.pools[address] = pool
        return pool

    @contextlib.contextmanager
    def send(
        self,
        address: str,
        connections: int,
        request: UpstreamRequest,
        timeout: float,
    ) -> Iterator[UpstreamAnswer]:
        """Sends a request and yields the head of its answer.

        Leaving the context before the body was read completely closes the
        connection, which cancels the work at the upstream.

        Args:
            address: Address of the upstream, `IP:PORT`.
            connections: Largest number of idle connections in the upstream's
                pool.
            request: Request to send.
            timeout: Seconds for each wait for data from the upstream.

        Yields:
            The head of the answer.

        Raises:
            NotSentError: The connection could not be opened.
            UpstreamDiedError: The connection ended before the answer's head.
            UpstreamTimeoutError: A wait exceeded the timeout.
        """
        dedicated_pool = None if request.idempotent else _new_pool(address, 1)
        pool = dedicated_pool or self.pool(address, connections)
        response = None
        try:
            response = _send_request(pool, request, timeout)
            shed = response.status == 503 and SHED_HEADER in response.headers
            yield UpstreamAnswer(
                response.status,
                answer_headers(response.headers),
                shed,
                response,
            )
        finally:
            if response is not None:
                _release_connection(response)
            if dedicated_pool is not None:
                dedicated_pool.close()


class _LineRecorder:
    """Input of an answer that keeps the lines that were read.

    Attributes:
        file: The input.
        lines: The lines; each one that has an end has that of HTTP.
    """

    def __init__(self, file: Any) -> None:
        self.file = file
        self.lines: list[bytes] = []

    def readline(self, *args: int) -> bytes:
        line: bytes = self.file.readline(*args)
        self.lines.append(
            line.removesuffix(b"\n").removesuffix(b"\r") + b"\r\n"
            if line.endswith(b"\n")
            else line
        )
        return line

    def __getattr__(self, name: str) -> Any:
        return getattr(self.file, name)


class _Response(http.client.HTTPResponse):
    """Answer whose head is complete and one of HTTP/1.1.

    The base class takes the end of the connection, or a malformed header, for
    the end of the head, so such an answer would look complete and have no body
    or another one.
    """

    fp: Any

    def begin(self) -> None:
        recorder = self.fp = _LineRecorder(self.fp)
        super().begin()
        if self.fp is recorder:
            self.fp = recorder.file
        # For this method an answer is complete with its head.
        reader = http_messages.AnswerReader(
            byte_budget.MAX_ANSWER_HEADER_BYTES, 0, "HEAD"
        )
        head = b"".join(recorder.lines)
        try:
            complete = len(reader.feed(head)) == 1
        except http_messages.MessageError as error:
            self.close()
            raise http.client.HTTPException(str(error)) from error
        if not complete:
            self.close()
            raise http.client.IncompleteRead(head)

    def _read_status(self) -> tuple[str, int, str]:
        """Reads a status line; skips interim answers.

        The base class skips those with status 100 only.
        """
        while True:
            line = super()._read_status()  # type: ignore[misc]
            if not http.HTTPStatus.SWITCHING_PROTOCOLS < line[1] < 200:
                return line
            http.client.parse_headers(self.fp)


class _ResetReportingSocket(greenio.GreenSocket):
    """Green socket that reports a reset.

    The base class returns nothing, as at an orderly end, which would make an
    answer without a length look complete.
    """

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Receives bytes into a buffer and returns their number.

        Raises:
            OSError: The connection was reset, or the socket timed out.
        """
        while True:
            try:
                received: int = self.fd.recv_into(buffer, nbytes, flags)
            except BlockingIOError:
                hubs.trampoline(
                    self.fd,
                    read=True,
                    timeout=self.gettimeout(),
                    timeout_exc=TimeoutError("timed out"),
                )
                continue
            return received


class _Connection(urllib3_connection.HTTPConnection):
    response_class = _Response

    def connect(self) -> None:
        """Connects to the upstream."""
        super().connect()
        if isinstance(self.sock, greenio.GreenSocket):
            timeout = self.sock.gettimeout()
            # Detached, since a green socket that is deleted closes its file.
            self.sock = _ResetReportingSocket(fileno=self.sock.detach())
            self.sock.settimeout(timeout)


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


def _new_pool(address: str, connections: int) -> urllib3.HTTPConnectionPool:
    host, _, port = address.rpartition(":")
    return _Pool(
        host, int(port), maxsize=connections, block=False, retries=False
    )


def _send_request(pool: Any, request: UpstreamRequest, timeout: float) -> Any:
    """Sends a request and returns the urllib3 response, with its body unread.

    Raises:
        NotSentError: The connection could not be opened.
        UpstreamDiedError: The connection ended before the answer's head.
        UpstreamTimeoutError: A wait exceeded the timeout.
    """
    headers = urllib3.HTTPHeaderDict()
    for name, value in request.headers:
        headers.add(name, value)
    for name in URLLIB3_HEADERS:
        if name not in headers:
            headers.add(name, urllib3.util.SKIP_HEADER)
    try:
        return pool.urlopen(
            request.method,
            request.target,
            body=request.body,
            headers=headers,
            retries=False,
            redirect=False,
            assert_same_host=False,
            preload_content=False,
            decode_content=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_SECONDS, read=timeout
            ),
        )
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ) as error:
        raise NotSentError(str(error)) from error
    except urllib3.exceptions.TimeoutError as error:
        raise UpstreamTimeoutError(str(error)) from error
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise UpstreamDiedError(str(error)) from error


def _release_connection(response: Any) -> None:
    """Returns a connection to its pool, or closes it.

    It is closed if part of the answer is unread.
    """
    if response.closed or getattr(response, "length_remaining", None) == 0:
        response.release_conn()
        return
    connection = response.connection
    if connection is not None:
        connection.close()
    response.close()


def read_body(answer: UpstreamAnswer) -> Iterator[bytes]:
    """Yields the body of an answer in pieces.

    Raises:
        UpstreamDiedError: The connection ended before the body was complete.
        UpstreamTimeoutError: The wait for a piece exceeded the timeout.
    """
    response = answer.response
    try:
        if response.chunked:
            yield from response.read_chunked(decode_content=False)
            return
        while True:
            data = response.read1(READ_BYTES)
            if not data:
                return
            yield data
    except urllib3.exceptions.TimeoutError as error:
        raise UpstreamTimeoutError(str(error)) from error
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
        # urllib3 raises ValueError for a negative chunk size.
        raise UpstreamDiedError(str(error)) from error

"""Pool of connections to upstreams, with one request at a time on each.

A connection is reused only if its last answer was complete, no bytes followed
it, and the upstream's kernel has acknowledged the whole request. An answer is
read while the rest of its request is being sent, and ends the sending. An
answer whose request id differs from that of the request is a late answer to
another request; it is dropped and the next answer is read.
"""

import collections
from collections.abc import Callable
import contextlib
import errno
import logging
import socket
from typing import Any
from typing import NamedTuple

import eventlet
from eventlet import hubs
import greenlet

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from gooseberryweir.connection import addresses
from gooseberryweir.connection import byte_budget
from gooseberryweir.connection import delivery
from gooseberryweir.connection import http_messages

LOGGER = logging.getLogger(__name__)

# A TCP handshake takes one round trip plus a millisecond. A lost SYN is sent
# again only after a second, so the timeout ends before that and another
# upstream is tried.
CONNECT_TIMEOUT_SECONDS = 0.4
READ_BYTES = 64 * 1024
# Largest number of late answers to other requests that are dropped while one
# request waits for its answer; the request fails at the next one.
MAX_UNMATCHED_ANSWERS = 3
# Idle time after which a connection is not reused, if the upstream announces
# none.
DEFAULT_IDLE_SECONDS = 5.0
# Fraction of the announced idle time within which a connection is reused; the
# rest allows for network delay.
MAX_IDLE_TIME_FRACTION = 0.6
# Largest number of idle connections to one upstream.
MAX_IDLE_CONNECTIONS = 64


class ConnectError(Exception):
    """The connection could not be opened; nothing was sent.

    Attributes:
        refused: True if nothing listens at the address.
    """

    refused = False


class BrokenAnswerError(Exception):
    """The request was sent, perhaps in part, and no complete answer came."""


class NoAnswerError(BrokenAnswerError):
    """The connection ended before the first byte of an answer.

    Attributes:
        new_connection: True if the connection was opened for the request.
    """

    new_connection = False


class DeadlineError(Exception):
    """The request was sent and no complete answer came within the timeout.

    Attributes:
        held_up: True if the upstream's kernel has acknowledged a part of the
            request only, since the upstream does not read it.
    """

    held_up = False


class Reply(NamedTuple):
    """An upstream's answer to one request, with the time that it took.

    Attributes:
        message: The answer.
        seconds: Seconds from the start of sending the request to the end of the
            answer.
        new_connection: True if a connection was opened for the request.
        connect_seconds: Seconds in which it was opened, else 0.
    """

    message: http_messages.Message
    seconds: float
    new_connection: bool
    connect_seconds: float = 0.0


class Endpoint(NamedTuple):
    """Address of an upstream and limits on the connections to it.

    Attributes:
        name: Name of the upstream's incarnation.
        address: Address, `IP:PORT`.
        max_idle_seconds: A connection that was idle for this time is not
            reused for this request.
        max_connections: Largest number of open connections; idle connections
            beyond it are closed, the oldest first.
    """

    name: str
    address: str
    max_idle_seconds: float = DEFAULT_IDLE_SECONDS
    max_connections: int = MAX_IDLE_CONNECTIONS


class _IdleConnection(NamedTuple):
    """An idle connection.

    Attributes:
        socket: Green socket of the connection.
        idle_since: Monotonic time, in seconds, at which it became idle.
        usable_seconds: Idle time in seconds after which it is not reused.
    """

    socket: Any
    idle_since: float
    usable_seconds: float


class UpstreamPool:
    """Connections to upstreams; a context manager that closes idle ones.

    Attributes:
        clock: Source of time.
        idle: Idle connections by name of the upstream's incarnation; the most
            recently used one is last.
        in_use: Number of connections in use, by the same name.
        budget: Limits the bytes of all answers that are being received.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        budget: byte_budget.ByteBudget | None = None,
    ) -> None:
        self.clock = clock
        self.budget = budget or byte_budget.receiving_budget()
        self.idle: dict[str, collections.deque[_IdleConnection]] = {}
        self.in_use: collections.Counter[str] = collections.Counter()

    def __enter__(self) -> "UpstreamPool":
        return self

    def __exit__(self, *_: object) -> None:
        for name in list(self.idle):
            self.close_idle(name)

    def close_idle(self, name: str) -> None:
        """Closes the idle connections to an upstream.

        Args:
            name: Name of the upstream's incarnation.
        """
        for each in self.idle.pop(name, ()):
            each.socket.close()
        if not self.in_use[name]:
            del self.in_use[name]

    def exchange(
        self,
        endpoint: Endpoint,
        request: bytes,
        timeout: float,
        is_reply: Callable[[http_messages.Headers], bool],
        keep_alive_seconds: Callable[[http_messages.Headers], float | None],
    ) -> Reply:
        """Sends a request and returns its complete answer.

        Killing the calling task closes the connection, which cancels the work
        at the upstream.

        Args:
            endpoint: Upstream to which the request is sent.
            request: Encoded request.
            timeout: Seconds to connect, send the request and receive the
                answer; connecting may take `CONNECT_TIMEOUT_SECONDS` of it.
            is_reply: Returns True if an answer with these headers is the
                answer to the request.
            keep_alive_seconds: Returns the idle time that the upstream
                announces in the headers of an answer, or None.

        Raises:
            ConnectError: The connection could not be opened.
            BrokenAnswerError: The answer is missing, truncated or malformed.
            DeadlineError: No complete answer came within the timeout.
        """
        name = endpoint.name
        begun_at = self.clock.monotonic()
        deadline = begun_at + timeout
        connection = self._take_idle(name, endpoint.max_idle_seconds)
        new_connection = connection is None
        if connection is None:
            connection = self._connect(
                endpoint.address, min(timeout, CONNECT_TIMEOUT_SECONDS)
            )
        exchange = _Exchange(connection, request)
        reader = http_messages.AnswerReader(
            byte_budget.MAX_ANSWER_HEADER_BYTES,
            byte_budget.MAX_ANSWER_BYTES,
            exchange.method,
        )

        def give_up() -> None:
            # The memory is free at once, not when the task of the request runs.
            reader.close()
            _shut_down(connection)

        reusable = False
        started_at = self.clock.monotonic()
        self.in_use[name] += 1
        try:
            with (
                eventlet.Timeout(max(0.0, deadline - started_at)),
                contextlib.closing(reader),
                self.budget.open(give_up) as share,
            ):
                message, reusable = _receive_answer(
                    exchange,
                    reader,
                    is_reply,
                    lambda size: self.budget.add(share, size),
                )
        except eventlet.Timeout as error:
            deadline_error = DeadlineError(endpoint.address)
            deadline_error.held_up = (
                0 < exchange.unacknowledged() < len(request)
            )
            raise deadline_error from error
        except NoAnswerError as error:
            error.new_connection = new_connection
            raise
        finally:
            self.in_use[name] -= 1
            if not reusable:
                connection.close()
        announced = keep_alive_seconds(message.headers)
        usable_seconds = (
            DEFAULT_IDLE_SECONDS
            if announced is None
            else announced * MAX_IDLE_TIME_FRACTION
        )
        if reusable and usable_seconds > 0:
            self._store_idle(endpoint, connection, usable_seconds)
        elif reusable:
            connection.close()
        return Reply(
            message,
            self.clock.monotonic() - started_at,
            new_connection,
            started_at - begun_at if new_connection else 0.0,
        )

    def connect_ahead(self, endpoint: Endpoint) -> None:
        """Opens an idle connection to an upstream, unless there is one.

        Args:
            endpoint: The upstream.

        Raises:
            ConnectError: The connection could not be opened.
        """
        connections = self.idle.get(endpoint.name)
        while connections:
            if _is_usable(connections[-1].socket):
                return
            connections.pop().socket.close()
        connection = self._connect(endpoint.address, CONNECT_TIMEOUT_SECONDS)
        self._store_idle(endpoint, connection, DEFAULT_IDLE_SECONDS)

    def _connect(self, address: str, timeout: float) -> Any:
        """Opens a connection within a timeout in seconds."""
        try:
            with eventlet.Timeout(timeout):
                connection = addresses.connect(address)
        except (OSError, eventlet.Timeout) as error:
            connect_error = ConnectError(type(error).__name__)
            connect_error.refused = isinstance(error, ConnectionRefusedError)
            raise connect_error from error
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def _take_idle(self, name: str, max_idle_seconds: float) -> Any | None:
        """Removes and returns the most recently used connection, or None.

        Connections that can't be reused are closed. A connection that only
        exceeds `max_idle_seconds` is kept for other requests.
        """
        connections = self.idle.get(name)
        now = self.clock.monotonic()
        while connections:
            idle_seconds = now - connections[-1].idle_since
            usable = idle_seconds < connections[-1].usable_seconds
            if usable and idle_seconds >= max_idle_seconds:
                return None
            last = connections.pop()
            if usable and _is_usable(last.socket):
                return last.socket
            last.socket.close()
        return None

    def _store_idle(
        self, endpoint: Endpoint, connection: Any, usable_seconds: float
    ) -> None:
        """Keeps a connection for reuse and closes the oldest surplus ones."""
        connections = self.idle.setdefault(endpoint.name, collections.deque())
        connections.append(
            _IdleConnection(connection, self.clock.monotonic(), usable_seconds)
        )
        max_idle = max(0, endpoint.max_connections - self.in_use[endpoint.name])
        while len(connections) > min(max_idle, MAX_IDLE_CONNECTIONS):
            connections.popleft().socket.close()


def _is_usable(connection: Any) -> bool:
    """Returns True if an idle connection is open and has no unread bytes."""
    try:
        # `fd` is the non-blocking socket inside the eventlet socket.
        connection.fd.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        # The upstream reset it while it was idle.
        return False
    return False


class _Exchange:
    """A request that is being sent and the input of its connection.

    Attributes:
        connection: Green socket of the connection.
        request: Encoded request.
        unsent: Bytes of it that the kernel has not taken yet.
        send_failed: True once the connection was found broken in sending.
        reset: Error found in sending, if the upstream has reset the connection.
        has_received: True once bytes were received.
    """

    def __init__(self, connection: Any, request: bytes) -> None:
        self.connection = connection
        self.request = request
        self.unsent = memoryview(request)
        self.send_failed = False
        self.reset: OSError | None = None
        self.has_received = False

    @property
    def method(self) -> str:
        """Method of the request."""
        return self.request[: self.request.find(b" ")].decode("latin1")

    def unacknowledged(self) -> int:
        """Returns the bytes that the upstream's kernel may not have."""
        held = delivery.unacknowledged_bytes(self.connection)
        return len(self.request) if held is None else len(self.unsent) + held

    def receive(self) -> bytes:
        """Returns received bytes; empty if the upstream closed the connection.

        Goes on sending the request meanwhile, and lets other tasks run between
        two calls, as a fast upstream always has bytes. Eventlet's own `recv`
        returns nothing after a reset as well, which would make an answer
        without a length look complete.

        Raises:
            OSError: The connection was reset.
        """
        # `fd` is the non-blocking socket inside the eventlet socket.
        raw = self.connection.fd
        if self.has_received:
            eventlet.sleep(0)
        while True:
            self._send()
            try:
                data = raw.recv(READ_BYTES)
            except BlockingIOError:
                if self.unsent and not self.send_failed:
                    _wait_for_any(raw)
                else:
                    hubs.trampoline(raw, read=True)
                continue
            if not data and self.reset is not None:
                # The kernel reports a reset only once.
                raise self.reset
            self.has_received = True
            return data

    def _send(self) -> None:
        """Hands as much of the request to the kernel as it takes."""
        try:
            while self.unsent and not self.send_failed:
                sent = self.connection.fd.send(self.unsent)
                self.unsent = self.unsent[sent:]
        except BlockingIOError:
            return
        except OSError as error:
            # The upstream may have answered before it closed the connection.
            self.send_failed = True
            if error.errno != errno.EPIPE:
                # EPIPE: the upstream had ended its side in order before.
                self.reset = error
            logs.event(
                LOGGER,
                "request-not-taken",
                logging.DEBUG,
                reason=type(error).__name__,
            )


def _wait_for_any(raw: socket.socket) -> None:
    """Waits until a socket has input or takes output."""
    hub = hubs.get_hub()
    current = greenlet.getcurrent()
    listeners = []
    try:
        for kind in (hub.READ, hub.WRITE):
            listeners.append(
                hub.add(kind, raw.fileno(), current.switch, current.throw, None)
            )
        hub.switch()
    finally:
        for each in listeners:
            hub.remove(each)
            # One event may be both; the hub then calls the other one too.
            each.defang()


def _shut_down(connection: Any) -> None:
    """Ends a connection that another task reads, without closing its socket."""
    with contextlib.suppress(OSError):
        # The upstream may have closed it already.
        connection.shutdown(socket.SHUT_RDWR)


def _receive_answer(
    exchange: _Exchange,
    reader: http_messages.AnswerReader,
    is_reply: Callable[[http_messages.Headers], bool],
    count_bytes: Callable[[int], None],
) -> tuple[http_messages.Message, bool]:
    """Sends a request and receives its answer, which may come before its end.

    Args:
        exchange: The request and its connection.
        reader: Parser of the connection.
        is_reply: Returns True if an answer with these headers is the answer to
            the request.
        count_bytes: Counts received bytes; raises `TooManyBytesError`.

    Returns:
        The answer, and True if the connection may be reused.

    Raises:
        BrokenAnswerError: The answer is missing, truncated or malformed.
    """
    answer_begun = False
    unmatched = 0
    while True:
        try:
            data = exchange.receive()
            count_bytes(len(data))
        except byte_budget.TooManyBytesError as error:
            raise BrokenAnswerError(str(error)) from error
        except OSError as error:
            error_type = BrokenAnswerError if answer_begun else NoAnswerError
            raise error_type(str(error) or type(error).__name__) from error
        ended = not data
        answer_begun = answer_begun or not ended
        answers, malformed = _read_answers(reader, data)
        # Not kept while other tasks run.
        data = b""
        for index, answer in enumerate(answers):
            if is_reply(answer.headers):
                is_last = index == len(answers) - 1 and not reader.in_progress
                return answer, (
                    answer.keep_alive
                    and is_last
                    and not unmatched
                    and malformed is None
                    and not exchange.unacknowledged()
                )
            unmatched += 1
        if malformed is not None:
            raise BrokenAnswerError(str(malformed)) from malformed
        if not answer_begun:
            raise NoAnswerError("no answer")
        if ended or unmatched > MAX_UNMATCHED_ANSWERS:
            raise BrokenAnswerError("incomplete answer")


def _read_answers(
    reader: http_messages.AnswerReader, data: bytes
) -> tuple[list[http_messages.Message], http_messages.MessageError | None]:
    """Returns the answers that bytes complete, and an error behind them.

    Args:
        reader: Parser of the connection.
        data: Received bytes; empty at the end of the connection.
    """
    if not data:
        last = reader.feed_eof()
        return [last] if last is not None else [], None
    try:
        return reader.feed(data), None
    except http_messages.MessageError as error:
        return error.completed, error

"""Connections to upstreams: one request at a time on each.

A connection is used again only if its last answer was whole and nothing
followed it. Answers whose id is not that of the request are late answers to
others; they are dropped and the next answer is read.
"""

import collections
from collections.abc import Callable
import socket
from typing import Any
from typing import NamedTuple

import eventlet
from eventlet import hubs

from gooseberryweir import clock as clocks
from gooseberryweir.connection import http_messages

# A handshake takes a round trip and a millisecond; a lost opening packet is
# sent again only after a second, so another upstream is asked before that.
CONNECT_TIMEOUT_SECONDS = 0.4
READ_BYTES = 64 * 1024
# Largest answer that is passed on.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
# Answers to other requests that are dropped before the connection is.
MAX_UNMATCHED_ANSWERS = 3
# Idle time after which a connection is not used again, unless the upstream
# says another one.
DEFAULT_IDLE_SECONDS = 5.0
# Part of the upstream's own idle time that is used; the rest covers the way.
IDLE_FRACTION = 0.6
MAX_IDLE_CONNECTIONS = 64


class ConnectError(Exception):
    """No connection could be opened; nothing was sent."""


class BrokenAnswerError(Exception):
    """The request was sent, perhaps in part, and no whole answer came."""


class NoAnswerError(BrokenAnswerError):
    """The connection ended before a byte of an answer came."""


class DeadlineError(Exception):
    """The request was sent and no answer came in time."""


class Reply(NamedTuple):
    """The answer of an upstream.

    Attributes:
        message: The answer.
        seconds: Time from sending to the end of the answer.
        new_connection: Whether a new connection was opened for it.
    """

    message: http_messages.Message
    seconds: float
    new_connection: bool


class Target(NamedTuple):
    """An upstream and how its connections are used.

    Attributes:
        name: Name of this start of the upstream.
        address: `IP:PORT`.
        max_idle_seconds: Longest idle time of a connection that is reused.
        max_connections: Largest number of open connections; idle connections
            beyond it are closed, the oldest first.
    """

    name: str
    address: str
    max_idle_seconds: float = DEFAULT_IDLE_SECONDS
    max_connections: int = MAX_IDLE_CONNECTIONS


class _IdleConnection(NamedTuple):
    socket: Any
    idle_since: float
    usable_seconds: float


class UpstreamPool:
    """Idle connections to upstreams, by name of the upstream's start."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.idle: dict[str, collections.deque[_IdleConnection]] = {}
        self.in_use: collections.Counter[str] = collections.Counter()

    def __enter__(self) -> "UpstreamPool":
        return self

    def __exit__(self, *_: object) -> None:
        for name in list(self.idle):
            self.close_idle(name)

    def close_idle(self, name: str) -> None:
        """Closes the idle connections to an upstream."""
        for each in self.idle.pop(name, ()):
            each.socket.close()
        if not self.in_use[name]:
            del self.in_use[name]

    def exchange(
        self,
        target: Target,
        request: bytes,
        timeout: float,
        is_reply: Callable[[http_messages.Headers], bool],
        keep_alive_seconds: Callable[[http_messages.Headers], float | None],
    ) -> Reply:
        """Sends a request and returns its whole answer.

        Ending the calling task closes the connection, which cancels the work.

        Args:
            target: The upstream.
            request: Bytes of the request.
            timeout: Longest wait for the answer.
            is_reply: Tells from its headers whether an answer is ours.
            keep_alive_seconds: Returns how long the upstream keeps connections.

        Raises:
            ConnectError: Nothing was sent.
            BrokenAnswerError: The answer is missing, cut or malformed.
            DeadlineError: The time is over.
        """
        name = target.name
        connection = self._take_idle(name, target.max_idle_seconds)
        new_connection = connection is None
        if connection is None:
            connection = self._connect(
                target.address, min(timeout, CONNECT_TIMEOUT_SECONDS)
            )
        reusable = False
        started_at = self.clock.monotonic()
        self.in_use[name] += 1
        try:
            with eventlet.Timeout(timeout):
                message, reusable = _send_and_receive(
                    connection, request, is_reply
                )
        except eventlet.Timeout as error:
            raise DeadlineError(target.address) from error
        finally:
            self.in_use[name] -= 1
            if not reusable:
                connection.close()
        announced = keep_alive_seconds(message.headers)
        usable_seconds = (
            DEFAULT_IDLE_SECONDS
            if announced is None
            else announced * IDLE_FRACTION
        )
        if reusable and usable_seconds > 0:
            self._store_idle(target, connection, usable_seconds)
        elif reusable:
            connection.close()
        return Reply(
            message, self.clock.monotonic() - started_at, new_connection
        )

    def _connect(self, address: str, timeout: float) -> Any:
        host, _, port = address.rpartition(":")
        try:
            with eventlet.Timeout(timeout):
                connection = eventlet.connect((host, int(port)))
        except (OSError, eventlet.Timeout) as error:
            raise ConnectError(type(error).__name__) from error
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def _take_idle(self, name: str, max_idle_seconds: float) -> Any | None:
        """Returns the connection used last, if it can be used again.

        Those that are too old for this request alone are left for others.
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
        self, target: Target, connection: Any, usable_seconds: float
    ) -> None:
        connections = self.idle.setdefault(target.name, collections.deque())
        connections.append(
            _IdleConnection(connection, self.clock.monotonic(), usable_seconds)
        )
        max_idle = max(0, target.max_connections - self.in_use[target.name])
        while len(connections) > min(max_idle, MAX_IDLE_CONNECTIONS):
            connections.popleft().socket.close()


def _is_usable(connection: Any) -> bool:
    """Whether an idle connection is open and nothing came on it."""
    try:
        # The eventlet socket's own descriptor is non-blocking.
        connection.fd.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        # The upstream reset it while it was idle.
        return False
    return False


def _receive(connection: Any) -> bytes:
    """Returns the next bytes; empty at an orderly end.

    Eventlet's own `recv` also returns nothing after a reset, which would make
    an answer without a length look whole.

    Raises:
        OSError: The connection was reset.
    """
    while True:
        try:
            return connection.fd.recv(READ_BYTES)
        except BlockingIOError:
            hubs.trampoline(connection.fd, read=True)


def _send_and_receive(
    connection: Any,
    request: bytes,
    is_reply: Callable[[http_messages.Headers], bool],
) -> tuple[http_messages.Message, bool]:
    """Returns the answer, and whether the connection may be used again."""
    send_error: OSError | None = None
    answer_begun = False
    try:
        connection.sendall(request)
    except OSError as error:
        # The upstream may have answered before it broke off.
        send_error = error
    reader = http_messages.AnswerReader(MAX_ANSWER_BYTES)
    unmatched = 0
    while True:
        try:
            data = _receive(connection)
            answers = reader.feed(data) if data else []
        except http_messages.MessageError as error:
            raise BrokenAnswerError(
                str(error) or type(error).__name__
            ) from error
        except OSError as error:
            error_type = BrokenAnswerError if answer_begun else NoAnswerError
            raise error_type(str(error) or type(error).__name__) from error
        answer_begun = answer_begun or bool(data)
        if not data:
            last = reader.feed_eof()
            answers = [last] if last is not None else []
        for index, answer in enumerate(answers):
            if is_reply(answer.headers):
                is_last = index == len(answers) - 1 and not reader.in_progress
                reusable = answer.keep_alive and is_last and send_error is None
                return answer, reusable
            unmatched += 1
        if not answer_begun:
            raise NoAnswerError("no answer")
        if not data or unmatched > MAX_UNMATCHED_ANSWERS:
            raise BrokenAnswerError("no whole answer")

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
CONNECT_SECONDS = 0.4
READ_BYTES = 64 * 1024
# Largest answer that is passed on.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
# Answers to other requests that are dropped before the connection is.
MAX_FOREIGN_ANSWERS = 3
# Idle time after which a connection is not used again, unless the upstream
# says another one.
DEFAULT_IDLE_SECONDS = 5.0
# Part of the upstream's own idle time that is used; the rest covers the way.
IDLE_PART = 0.6
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
        opened: Whether a new connection was opened for it.
    """

    message: http_messages.Message
    seconds: float
    opened: bool


class Target(NamedTuple):
    """An upstream and how its connections are used.

    Attributes:
        name: Name of this start of the upstream.
        address: `IP:PORT`.
        max_idle: Seconds beyond which an idle connection is not used.
        max_open: Connections that may be open at once; an idle one beyond
            that is closed.
    """

    name: str
    address: str
    max_idle: float = DEFAULT_IDLE_SECONDS
    max_open: int = MAX_IDLE_CONNECTIONS


class _Idle(NamedTuple):
    socket: Any
    since: float
    usable_seconds: float


class UpstreamPool:
    """Idle connections to upstreams, by name of the upstream's start."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.idle: dict[str, collections.deque[_Idle]] = {}
        self.in_use: collections.Counter[str] = collections.Counter()

    def __enter__(self) -> "UpstreamPool":
        return self

    def __exit__(self, *_: object) -> None:
        for name in list(self.idle):
            self.forget(name)

    def forget(self, name: str) -> None:
        """Closes the idle connections to an upstream."""
        for each in self.idle.pop(name, ()):
            each.socket.close()
        if not self.in_use[name]:
            del self.in_use[name]

    def exchange(
        self,
        target: Target,
        request: bytes,
        seconds: float,
        reply_id: Callable[[http_messages.Headers], bool],
        idle_seconds: Callable[[http_messages.Headers], float | None],
    ) -> Reply:
        """Sends a request and returns its whole answer.

        Ending the calling task closes the connection, which cancels the work.

        Args:
            target: The upstream.
            request: Bytes of the request.
            seconds: Longest wait for the answer.
            reply_id: Tells from its headers whether an answer is ours.
            idle_seconds: Returns how long the upstream keeps connections.

        Raises:
            ConnectError: Nothing was sent.
            BrokenAnswerError: The answer is missing, cut or malformed.
            DeadlineError: The time is over.
        """
        name = target.name
        connection = self._take(name, target.max_idle)
        opened = connection is None
        if connection is None:
            connection = self._connect(
                target.address, min(seconds, CONNECT_SECONDS)
            )
        keep = False
        began = self.clock.monotonic()
        self.in_use[name] += 1
        try:
            with eventlet.Timeout(seconds):
                message, keep = _converse(connection, request, reply_id)
        except eventlet.Timeout as error:
            raise DeadlineError(target.address) from error
        finally:
            self.in_use[name] -= 1
            if not keep:
                connection.close()
        told = idle_seconds(message.headers)
        usable = DEFAULT_IDLE_SECONDS if told is None else told * IDLE_PART
        if keep and usable > 0:
            self._keep(target, connection, usable)
        elif keep:
            connection.close()
        return Reply(message, self.clock.monotonic() - began, opened)

    def _connect(self, address: str, seconds: float) -> Any:
        host, _, port = address.rpartition(":")
        try:
            with eventlet.Timeout(seconds):
                connection = eventlet.connect((host, int(port)))
        except (OSError, eventlet.Timeout) as error:
            raise ConnectError(type(error).__name__) from error
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def _take(self, name: str, max_idle: float) -> Any | None:
        """Returns the connection used last, if it can be used again.

        Those that are too old for this request alone are left for others.
        """
        waiting = self.idle.get(name)
        now = self.clock.monotonic()
        while waiting:
            unused = now - waiting[-1].since
            usable = unused < waiting[-1].usable_seconds
            if usable and unused >= max_idle:
                return None
            last = waiting.pop()
            if usable and _silent(last.socket):
                return last.socket
            last.socket.close()
        return None

    def _keep(self, target: Target, connection: Any, usable: float) -> None:
        waiting = self.idle.setdefault(target.name, collections.deque())
        waiting.append(_Idle(connection, self.clock.monotonic(), usable))
        room = max(0, target.max_open - self.in_use[target.name])
        while len(waiting) > min(room, MAX_IDLE_CONNECTIONS):
            waiting.popleft().socket.close()


def _silent(connection: Any) -> bool:
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


def _converse(
    connection: Any,
    request: bytes,
    reply_id: Callable[[http_messages.Headers], bool],
) -> tuple[http_messages.Message, bool]:
    """Returns the answer, and whether the connection may be used again."""
    broken: OSError | None = None
    begun = False
    try:
        connection.sendall(request)
    except OSError as error:
        # The upstream may have answered before it broke off.
        broken = error
    reader = http_messages.AnswerReader(MAX_ANSWER_BYTES)
    foreign = 0
    while True:
        try:
            data = _receive(connection)
            answers = reader.feed(data) if data else []
        except http_messages.MessageError as error:
            raise BrokenAnswerError(
                str(error) or type(error).__name__
            ) from error
        except OSError as error:
            kind = BrokenAnswerError if begun else NoAnswerError
            raise kind(str(error) or type(error).__name__) from error
        begun = begun or bool(data)
        if not data:
            last = reader.feed_eof()
            answers = [last] if last is not None else []
        for place, answer in enumerate(answers):
            if reply_id(answer.headers):
                alone = place == len(answers) - 1 and not reader.in_progress
                keep = answer.keep_alive and alone and broken is None
                return answer, keep
            foreign += 1
        if not begun:
            raise NoAnswerError("no answer")
        if not data or foreign > MAX_FOREIGN_ANSWERS:
            raise BrokenAnswerError("no whole answer")

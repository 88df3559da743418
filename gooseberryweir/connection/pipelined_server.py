"""Serves callers that may send further requests before an answer.

Eventlet's WSGI server reads the next request of a connection only after the
answer to the one before, so a caller that pipelines waits unread. Here each
connection has one task that reads; each request runs in a task of its own and
the answers go out in the order of the requests. A caller that closes its
connection ends the tasks of its requests.
"""

import collections
from collections.abc import Callable
import contextlib
import logging
import socket
from typing import Any
from typing import NamedTuple

import eventlet
from eventlet import event
import greenlet

from gooseberryweir import logs
from gooseberryweir.connection import http_messages
from gooseberryweir.version import traffic

LOGGER = logging.getLogger(__name__)

# Requests of one connection that are open at once; more wait unread.
MAX_PIPELINED = 32
READ_BYTES = 64 * 1024
BACKLOG = 1024
# Longest wait for a caller to take an answer.
SEND_SECONDS = 30.0
# A connection is closed a little later than callers may still use it.
IDLE_MARGIN_SECONDS = 0.5
# Time for a caller to read the last answer of a connection.
LINGER_SECONDS = 1.0
# Pause after the system refused to accept a connection.
ACCEPT_PAUSE_SECONDS = 0.05


class Answer(NamedTuple):
    """An answer to a caller.

    Attributes:
        status: HTTP status.
        headers: Headers, without those of the connection.
        body: The whole body.
        close: Whether the connection ends after it.
    """

    status: int
    headers: http_messages.Headers
    body: bytes
    close: bool = False


class Service(NamedTuple):
    """What a server serves.

    Attributes:
        handle: Answers one request; called in a task of its own.
        limits: Returns the limits of callers' connections.
        leaving: Returns whether connections shall end.
    """

    handle: Callable[[http_messages.Message], Answer]
    limits: Callable[[], traffic.CallerLimits]
    leaving: Callable[[], bool]


class _Open(NamedTuple):
    request: http_messages.Message
    answer: event.Event
    task: Any


class Server:
    """One listening address; a context manager."""

    def __init__(self, address: str, service: Service) -> None:
        self.address = address
        self.service = service
        self.connections: set[_Connection] = set()
        self.listener: Any = None
        self.task: Any = None

    @property
    def open_requests(self) -> int:
        """Requests whose answers have not gone out yet."""
        return sum(len(each.open) for each in self.connections)

    def __enter__(self) -> "Server":
        host, _, port = self.address.rpartition(":")
        self.listener = eventlet.listen((host, int(port)), backlog=BACKLOG)
        self.task = eventlet.spawn(self._accept)
        return self

    def __exit__(self, *_: object) -> None:
        self.stop_accepting()
        for connection in list(self.connections):
            connection.close()

    def stop_accepting(self) -> None:
        """Closes the listening socket."""
        if self.task is not None:
            self.task.kill()
            self.task = None
            self.listener.close()

    def close_idle(self) -> None:
        """Closes the connections that have no open request."""
        for connection in list(self.connections):
            if not connection.open and not connection.reader.begun:
                connection.close()

    def _accept(self) -> None:
        while True:
            try:
                accepted, _ = self.listener.accept()
            except OSError as error:
                logs.event(
                    LOGGER, "accept-failed", logging.WARNING, reason=error
                )
                eventlet.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            eventlet.spawn(_Connection(self, accepted).serve)


class _Connection:
    """One caller's connection."""

    def __init__(self, server: Server, accepted: Any) -> None:
        limits = server.service.limits()
        self.server = server
        self.socket = accepted
        self.limits = limits
        self.reader = http_messages.RequestReader(
            limits.max_header_bytes, limits.max_body_bytes
        )
        self.open: collections.deque[_Open] = collections.deque()
        self.writer: Any = None
        self.ended = False
        self.closing = False

    def serve(self) -> None:
        """Reads requests until the caller or the server ends."""
        self.server.connections.add(self)
        try:
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._read_forever()
        except (OSError, eventlet.Timeout) as error:
            logs.event(
                LOGGER,
                "caller-connection-ended",
                logging.DEBUG,
                reason=type(error).__name__,
            )
        finally:
            self._finish()

    def _finish(self) -> None:
        """Closes the socket and ends the tasks of the connection."""
        self.ended = True
        self.server.connections.discard(self)
        self.socket.close()
        for each in self.open:
            each.task.kill()
        if self.writer is not None:
            self.writer.kill()

    def close(self) -> None:
        """Ends the connection; the task that reads then closes the socket.

        Eventlet allows no other task to close it while that one waits.
        """
        if not self.ended:
            self.ended = True
            self._shut_down(socket.SHUT_RDWR)

    def _end_after_answer(self) -> None:
        """Lets the caller read the last answer, then ends the connection."""
        self.closing = True
        self._shut_down(socket.SHUT_WR)
        eventlet.spawn_after(LINGER_SECONDS, self.close)

    def _shut_down(self, how: int) -> None:
        with contextlib.suppress(OSError):
            # The caller may be gone already.
            self.socket.shutdown(how)

    def _read_forever(self) -> None:
        while not self.ended:
            while len(self.open) >= MAX_PIPELINED and not self.ended:
                eventlet.sleep(ACCEPT_PAUSE_SECONDS)
            data = self._receive()
            if not data:
                return
            if self.closing:
                continue
            self._take(data)

    def _take(self, data: bytes) -> None:
        """Starts the requests that these bytes complete."""
        try:
            requests = self.reader.feed(data)
        except http_messages.MessageError as error:
            refused = Answer(error.status, (), b"", close=True)
            self._enqueue(_no_request(), lambda _: refused)
            self.closing = True
            return
        for request in requests:
            self._enqueue(request, self.server.service.handle)
        if self.reader.awaits_continue and not self.open:
            self.socket.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _receive(self) -> bytes:
        """Returns the next bytes; empty at the end or after a time-out."""
        if self.reader.begun:
            self.socket.settimeout(
                max(self.limits.header_timeout_seconds, 1.0) * 4
            )
        else:
            self.socket.settimeout(
                self.limits.idle_timeout_seconds + IDLE_MARGIN_SECONDS
            )
        while True:
            try:
                return self.socket.recv(READ_BYTES)
            except TimeoutError:
                if not self.open:
                    return b""

    def _enqueue(
        self,
        request: http_messages.Message,
        handle: Callable[[http_messages.Message], Answer],
    ) -> None:
        answered = event.Event()
        task = eventlet.spawn(self._run, request, handle, answered)
        self.open.append(_Open(request, answered, task))
        if self.writer is None:
            self.writer = eventlet.spawn(self._write)

    def _run(
        self,
        request: http_messages.Message,
        handle: Callable[[http_messages.Message], Answer],
        answered: event.Event,
    ) -> None:
        answer = Answer(500, (), b"", close=True)
        try:
            answer = handle(request)
        except greenlet.GreenletExit:
            # The caller has gone.
            return
        except Exception as error:
            logs.event(
                LOGGER,
                "request-crashed",
                logging.ERROR,
                error=repr(error),
                target=request.target,
            )
        finally:
            answered.send(answer)

    def _write(self) -> None:
        """Sends answers in the order of their requests."""
        try:
            while self.open and not self.ended:
                first = self.open[0]
                answer = first.answer.wait()
                if self.ended:
                    return
                last = len(self.open) == 1
                close = last and (
                    answer.close
                    or not first.request.keep_alive
                    or self.server.service.leaving()
                )
                with eventlet.Timeout(SEND_SECONDS):
                    self.socket.sendall(
                        http_messages.encode_answer(
                            answer.status,
                            answer.headers,
                            answer.body,
                            close,
                            first.request.method == "HEAD",
                        )
                    )
                self.open.popleft()
                if close:
                    self._end_after_answer()
                    return
        except (OSError, eventlet.Timeout) as error:
            logs.event(
                LOGGER,
                "answer-not-taken",
                logging.DEBUG,
                reason=type(error).__name__,
            )
            self.close()
        finally:
            self.writer = None


def _no_request() -> http_messages.Message:
    return http_messages.Message("", "", 0, (), b"", False)

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
LISTEN_BACKLOG = 1024
# Longest wait for a caller to take an answer.
SEND_TIMEOUT_SECONDS = 30.0
# A connection is closed a little later than callers may still use it.
IDLE_MARGIN_SECONDS = 0.5
# Time for a caller to read the last answer of a connection.
LINGER_SECONDS = 1.0
# Pause after the system refused to accept a connection.
RETRY_PAUSE_SECONDS = 0.05


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


class Callbacks(NamedTuple):
    """What a server serves.

    Attributes:
        handle: Answers one request; called in a task of its own.
        limits: Returns the limits of callers' connections.
        shutting_down: Returns whether connections shall end.
    """

    handle: Callable[[http_messages.Message], Answer]
    limits: Callable[[], traffic.CallerLimits]
    shutting_down: Callable[[], bool]


class _OpenRequest(NamedTuple):
    request: http_messages.Message
    answer: event.Event
    task: Any


class Server:
    """One listening address; a context manager."""

    def __init__(self, address: str, callbacks: Callbacks) -> None:
        self.address = address
        self.callbacks = callbacks
        self.connections: set[_Connection] = set()
        self.listener: Any = None
        self.accept_task: Any = None

    @property
    def open_requests(self) -> int:
        """Requests whose answers have not gone out yet."""
        return sum(len(each.open_requests) for each in self.connections)

    def __enter__(self) -> "Server":
        host, _, port = self.address.rpartition(":")
        self.listener = eventlet.listen(
            (host, int(port)), backlog=LISTEN_BACKLOG
        )
        self.accept_task = eventlet.spawn(self._accept)
        return self

    def __exit__(self, *_: object) -> None:
        self.stop_accepting()
        for connection in list(self.connections):
            connection.close()

    def stop_accepting(self) -> None:
        """Closes the listening socket."""
        if self.accept_task is not None:
            self.accept_task.kill()
            self.accept_task = None
            self.listener.close()

    def close_idle(self) -> None:
        """Closes the connections that have no open request."""
        for connection in list(self.connections):
            if (
                not connection.open_requests
                and not connection.reader.in_progress
            ):
                connection.close()

    def _accept(self) -> None:
        while True:
            try:
                accepted, _ = self.listener.accept()
            except OSError as error:
                logs.event(
                    LOGGER, "accept-failed", logging.WARNING, reason=error
                )
                eventlet.sleep(RETRY_PAUSE_SECONDS)
                continue
            eventlet.spawn(_Connection(self, accepted).serve)


class _Connection:
    """One caller's connection."""

    def __init__(self, server: Server, accepted: Any) -> None:
        limits = server.callbacks.limits()
        self.server = server
        self.socket = accepted
        self.limits = limits
        self.reader = http_messages.RequestReader(
            limits.header_bytes, limits.body_bytes
        )
        self.open_requests: collections.deque[_OpenRequest] = (
            collections.deque()
        )
        self.writer_task: Any = None
        self.closed = False
        self.closing = False

    def serve(self) -> None:
        """Reads requests until the caller or the server ends."""
        self.server.connections.add(self)
        try:
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._read_requests()
        except (OSError, eventlet.Timeout) as error:
            logs.event(
                LOGGER,
                "caller-connection-ended",
                logging.DEBUG,
                reason=type(error).__name__,
            )
        finally:
            self._clean_up()

    def _clean_up(self) -> None:
        """Closes the socket and ends the tasks of the connection."""
        self.closed = True
        self.server.connections.discard(self)
        self.socket.close()
        for each in self.open_requests:
            each.task.kill()
        if self.writer_task is not None:
            self.writer_task.kill()

    def close(self) -> None:
        """Ends the connection; the task that reads then closes the socket.

        Eventlet allows no other task to close it while that one waits.
        """
        if not self.closed:
            self.closed = True
            self._shut_down(socket.SHUT_RDWR)

    def _close_after_answer(self) -> None:
        """Lets the caller read the last answer, then ends the connection."""
        self.closing = True
        self._shut_down(socket.SHUT_WR)
        eventlet.spawn_after(LINGER_SECONDS, self.close)

    def _shut_down(self, how: int) -> None:
        with contextlib.suppress(OSError):
            # The caller may be gone already.
            self.socket.shutdown(how)

    def _read_requests(self) -> None:
        while not self.closed:
            while len(self.open_requests) >= MAX_PIPELINED and not self.closed:
                eventlet.sleep(RETRY_PAUSE_SECONDS)
            data = self._receive()
            if not data:
                return
            if self.closing:
                continue
            self._process(data)

    def _process(self, data: bytes) -> None:
        """Starts the requests that these bytes complete."""
        try:
            requests = self.reader.feed(data)
        except http_messages.MessageError as error:
            error_answer = Answer(error.status, (), b"", close=True)
            self._enqueue(_placeholder_request(), lambda _: error_answer)
            self.closing = True
            return
        for request in requests:
            self._enqueue(request, self.server.callbacks.handle)
        if self.reader.awaits_continue and not self.open_requests:
            self.socket.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _receive(self) -> bytes:
        """Returns the next bytes; empty at the end or after a time-out."""
        if self.reader.in_progress:
            self.socket.settimeout(max(self.limits.header_seconds, 1.0) * 4)
        else:
            self.socket.settimeout(
                self.limits.idle_seconds + IDLE_MARGIN_SECONDS
            )
        while True:
            try:
                return self.socket.recv(READ_BYTES)
            except TimeoutError:
                if not self.open_requests:
                    return b""

    def _enqueue(
        self,
        request: http_messages.Message,
        handle: Callable[[http_messages.Message], Answer],
    ) -> None:
        answer_event = event.Event()
        task = eventlet.spawn(self._handle, request, handle, answer_event)
        self.open_requests.append(_OpenRequest(request, answer_event, task))
        if self.writer_task is None:
            self.writer_task = eventlet.spawn(self._write_answers)

    def _handle(
        self,
        request: http_messages.Message,
        handle: Callable[[http_messages.Message], Answer],
        answer_event: event.Event,
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
            answer_event.send(answer)

    def _write_answers(self) -> None:
        """Sends answers in the order of their requests."""
        try:
            while self.open_requests and not self.closed:
                oldest = self.open_requests[0]
                answer = oldest.answer.wait()
                if self.closed:
                    return
                is_last = len(self.open_requests) == 1
                close = is_last and (
                    answer.close
                    or not oldest.request.keep_alive
                    or self.server.callbacks.shutting_down()
                )
                with eventlet.Timeout(SEND_TIMEOUT_SECONDS):
                    self.socket.sendall(
                        http_messages.encode_answer(
                            answer.status,
                            answer.headers,
                            answer.body,
                            close,
                            oldest.request.method == "HEAD",
                        )
                    )
                self.open_requests.popleft()
                if close:
                    self._close_after_answer()
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
            self.writer_task = None


def _placeholder_request() -> http_messages.Message:
    return http_messages.Message("", "", 0, (), b"", False)

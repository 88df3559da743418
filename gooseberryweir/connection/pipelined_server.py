"""Connections of callers that pipeline: handles their requests concurrently.

Eventlet's WSGI server reads the next request of a connection only after it has
answered the previous one, which delays callers that pipeline. Here one task
reads each connection, each request runs in its own task, and the answers are
sent in the order of the requests. If the caller closes its connection, the
tasks of its requests are killed.
"""

import collections
from collections.abc import Callable
import contextlib
import itertools
import logging
import socket
import time
from typing import Any
from typing import NamedTuple
from typing import Protocol

import eventlet
from eventlet import event
from eventlet import hubs
import greenlet

from gooseberryweir import codes
from gooseberryweir import logs
from gooseberryweir import tasks
from gooseberryweir.connection import byte_budget
from gooseberryweir.connection import delivery
from gooseberryweir.connection import http_messages
from gooseberryweir.version import traffic

LOGGER = logging.getLogger(__name__)

# Number of open requests of one connection at which reading pauses.
MAX_PIPELINED = 32
READ_BYTES = 64 * 1024
# Added to the idle timeout, so that a connection is closed a little after the
# time within which callers may reuse it.
IDLE_MARGIN_SECONDS = 0.5
# Time after the accept within which the first request of a connection is
# expected; a server that stops does not close the connection before.
FIRST_REQUEST_SECONDS = 0.25
# Bytes read from a connection after which other tasks run: a fast caller always
# has more.
GIVE_WAY_BYTES = 16 * 1024
# Memory of the head of a request that does not count towards the limit on all
# requests.
UNCOUNTED_HEAD_BYTES = 4096
# Pause between checks while a connection has MAX_PIPELINED open requests.
RETRY_PAUSE_SECONDS = 0.05
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# When a caller may come back whose body had no room, seconds.
NO_ROOM_RETRY_SECONDS = 1


class Answer(NamedTuple):
    """An answer to a caller.

    Attributes:
        status: HTTP status code.
        headers: Header names and values, without Connection, and without
            Content-Length if the length is known.
        body: Complete body.
        close: True to close the connection after this answer, unless further
            requests on it are open.
        length_known: True if Content-Length is the size of the body; False for
            an answer to HEAD that another server gave.
    """

    status: int
    headers: http_messages.Headers
    body: bytes
    close: bool = False
    length_known: bool = True


def relayed_answer(
    method: str,
    answer: http_messages.Message,
    forwarded: http_messages.Headers,
) -> Answer:
    """Returns the answer to a caller for the answer of another server.

    Args:
        method: Method of the request.
        answer: Answer of the other server.
        forwarded: Its headers for the caller, without Content-Length.
    """
    if method != "HEAD":
        return Answer(answer.status, forwarded, answer.body)
    lengths = tuple(
        each for each in answer.headers if each[0].lower() == "content-length"
    )
    return Answer(answer.status, forwarded + lengths, b"", length_known=False)


class AnswerTiming(NamedTuple):
    """Where the time from a request to the end of sending its answer went.

    Attributes:
        handling: Seconds from receiving the request to its answer.
        waiting: Seconds for which the answer then waited for the answers to
            earlier requests of the connection.
        sending: Seconds that sending took, until the socket had all bytes.
    """

    handling: float
    waiting: float
    sending: float


def _ignore_timing(
    _request: http_messages.Message, _timing: AnswerTiming
) -> None:
    """Is called with the timing of each answer if nobody needs it."""


def _ignore_malformed(_error: http_messages.MessageError) -> None:
    """Is called with the errors of input if nobody counts them."""


class Callbacks(NamedTuple):
    """Functions that a server calls.

    Attributes:
        handle: Returns the answer to a request; runs in its own task.
        limits: Returns the limits for a new connection.
        shutting_down: Returns True once the host is shutting down; each
            connection is then closed after its last open request.
        sent: Is called after each answer, with its request and timing.
        now: Returns the monotonic time in seconds.
        undelivered: Is called when a connection is closed before its caller
            has received all bytes of its answers.
        malformed: Is called with the error of input that is no request.
    """

    handle: Callable[[http_messages.Message], Answer]
    limits: Callable[[], traffic.CallerLimits]
    shutting_down: Callable[[], bool]
    sent: Callable[[http_messages.Message, AnswerTiming], None] = _ignore_timing
    now: Callable[[], float] = time.monotonic
    undelivered: Callable[[delivery.Undelivered], None] = (
        delivery.log_undelivered
    )
    malformed: Callable[[http_messages.MessageError], None] = _ignore_malformed


class _OpenRequest(NamedTuple):
    """A request whose answer has not been sent yet.

    Attributes:
        request: The request.
        answer: Event that delivers the answer and the monotonic time, in
            seconds, at which it was ready.
        task: Task that handles the request.
        received_at: Monotonic time, in seconds, at which it was received.
        reserved: Bytes reserved for its body.
    """

    request: http_messages.Message
    answer: event.Event
    task: Any
    received_at: float
    reserved: int


class Owner(Protocol):
    """What a connection uses of its server.

    Attributes:
        callbacks: Functions that the server calls.
        budget: Limits the bytes of answers that wait to be sent.
        request_budget: Limits the bytes of the bodies of requests.
        connections: Connections that are being served.
        closing: Those that have their last answer, the earliest first.
    """

    callbacks: Callbacks
    budget: byte_budget.ByteBudget
    request_budget: byte_budget.RequestBudget
    connections: "set[Connection]"
    closing: "dict[Connection, None]"

    def add_closing(self, connection: "Connection") -> None:
        """Adds a connection that stays open only for its last answer."""


class Connection:
    """One caller's connection.

    Attributes:
        server: Server that accepted the connection.
        socket: Green socket of the connection.
        limits: Limits of the connection, in bytes and seconds.
        reader: Parser of the requests.
        delivery: Delivers the answers.
        open_requests: Requests not yet answered, in the order received.
        writer_task: Task that sends the answers, or None if no request is open.
        close_timer: Timer that closes the connection if its caller does not
            after its last answer, or None before that answer.
        share: Bytes of answers that wait to be sent, or None before and after
            `serve`.
        reserved: Bytes reserved for the body of the request in progress.
        read_bytes: Bytes read since other tasks were last let run.
        closed: True once the connection has been shut down or closed.
        closing: True once the last answer was queued or sent; further input
            is discarded.
        ended_idle: True once the connection was ended for being idle.
        ignores_input: True once only the requests received by then are
            answered.
        accepted_at: Monotonic time, in seconds, at which it was accepted.
        answered_at: Monotonic time, in seconds, at which the last answer was
            sent.
    """

    def __init__(self, server: Owner, accepted: Any) -> None:
        limits = server.callbacks.limits()
        self.server = server
        self.socket = accepted
        self.limits = limits
        self.reader = http_messages.RequestReader(
            limits.max_header_bytes, limits.max_body_bytes
        )
        self.delivery = delivery.Delivery(
            accepted, server.callbacks.now, server.callbacks.undelivered
        )
        self.open_requests: collections.deque[_OpenRequest] = (
            collections.deque()
        )
        self.writer_task: Any = None
        self.close_timer: Any = None
        self.share: byte_budget.Share | None = None
        self.reserved = 0
        self.read_bytes = 0
        self.closed = False
        self.closing = False
        self.ended_idle = False
        self.ignores_input = False
        self.accepted_at = server.callbacks.now()
        self.answered_at = self.accepted_at

    def has_request(self) -> bool:
        """Returns True if a request is open or partly received.

        Also if the caller may not have received an answer, or a request may be
        on its way, since the connection is new. A caller that pools connections
        notices only at its next use that an idle one has ended, so such a
        connection does not count.
        """
        age = self.server.callbacks.now() - self.accepted_at
        lingers = not self.closed and self.delivery.linger_seconds() > 0
        if self.has_answer() or (lingers and not self.ended_idle):
            return True
        return not self.closing and (
            self.reader.in_progress
            or self.delivery.has_unread_input()
            or age < FIRST_REQUEST_SECONDS
        )

    def has_answer(self) -> bool:
        """Returns True if an answer is not decided or not delivered yet."""
        return (
            bool(self.open_requests)
            or (bool(self.reader.unread) and not self.closing)
            or self.delivery.undelivered() > 0
        )

    def is_idle(self) -> bool:
        """Returns True if no request is open or partly received."""
        return not (
            self.closed or self.open_requests or self.reader.in_progress
        )

    def serve(self) -> None:
        """Reads requests until the caller or the server ends the connection."""
        budget = self.server.budget
        try:
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with budget.open(lambda: self.close("too-many-bytes")) as share:
                self.share = share
                self._read_requests()
                self._deliver_decided()
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
        """Closes the socket and kills the tasks of the connection."""
        if self.closed:
            self.delivery.discard_input()
        else:
            self.delivery.record_close("time-over", caller_closed=True)
        self.closed = True
        self.server.connections.discard(self)
        self.server.closing.pop(self, None)
        self.socket.close()
        # The answers and the connection are freed now, not when a cycle of
        # references is found.
        dropped = list(self.open_requests)
        self.open_requests.clear()
        self.share = None
        self.server.request_budget.release(
            self.reserved + sum(each.reserved for each in dropped)
        )
        self.reserved = 0
        for each in dropped:
            each.task.kill()
        if self.close_timer is not None:
            self.close_timer.cancel()
        if self.writer_task is not None:
            self.writer_task.kill()

    def close(self, reason: str) -> None:
        """Shuts the connection down; the task that reads it closes the socket.

        Eventlet does not allow another task to close a socket while a task
        waits for input on it.

        Args:
            reason: Why, for the log.
        """
        if not self.closed:
            self.delivery.record_close(reason)
            self.closed = True
            self.delivery.discard_input()
            with contextlib.suppress(OSError):
                # The caller may have disconnected already.
                self.socket.shutdown(socket.SHUT_RDWR)

    def _close_after_answer(self) -> None:
        """Lets the caller read the last answer, then closes the connection."""
        self.closing = True
        self.delivery.finish()
        self.server.add_closing(self)
        # A task is started only then; most callers close before.
        self.close_timer = hubs.get_hub().schedule_call_global(
            self.delivery.linger_seconds(),
            eventlet.spawn,
            self.close,
            "time-over",
        )

    def _deliver_decided(self) -> None:
        """Delivers decided answers to a caller that sends no more.

        Requests without an answer are dropped, as if the caller had left.
        """
        if self.closed:
            return
        self.closing = True
        if self.open_requests:
            self._drop_undecided()
        if not self.closed and self.delivery.undelivered():
            self.server.add_closing(self)
            self.delivery.wait()

    def _drop_undecided(self) -> None:
        """Drops the requests without an answer and sends the other answers."""
        decided = [
            *itertools.takewhile(
                lambda each: each.answer.ready(), self.open_requests
            )
        ]
        dropped = list(self.open_requests)[len(decided) :]
        self.open_requests = collections.deque(decided)
        # Other tasks run between two calls of `kill`, and on a busy host for
        # long, so nothing else comes first.
        for each in dropped:
            each.task.kill()
        self.server.request_budget.release(
            sum(each.reserved for each in dropped)
        )
        if decided and self.writer_task is not None:
            self.writer_task.wait()

    def _read_requests(self) -> None:
        """Reads requests until the connection ends or times out."""
        while not self.closed:
            while len(self.open_requests) >= MAX_PIPELINED and not self.closed:
                eventlet.sleep(RETRY_PAUSE_SECONDS)
            if self.closing:
                self.reader.ended = True
            elif self.reader.unread:
                self._process(b"")
                continue
            if self.read_bytes >= GIVE_WAY_BYTES:
                self.read_bytes = 0
                eventlet.sleep(0)
            data = self._receive()
            if not data:
                return
            self.read_bytes += len(data)
            if self.closing or self.ignores_input:
                self._discard(len(data))
            else:
                self._process(data)

    def _discard(self, size: int) -> None:
        """Counts discarded input; pauses if there is much of it."""
        self.delivery.count_discarded(size)
        if self.delivery.discarded > delivery.MAX_UNPACED_BYTES:
            eventlet.sleep(delivery.CHECK_SECONDS)

    def _process(self, data: bytes) -> None:
        """Starts a task for each request that is completed by these bytes.

        Requests before malformed input are handled and answered first.
        """
        error_answer = None
        try:
            requests = self.reader.feed(
                data, MAX_PIPELINED - len(self.open_requests)
            )
        except http_messages.MessageError as error:
            requests = error.completed
            error_answer = Answer(error.status, (), b"", close=True)
            self._record_malformed(error)
        for request in requests:
            if self._reserve(_memory(request.head_size, len(request.body))):
                self._enqueue(request, self.server.callbacks.handle)
            else:
                self._refuse(request._replace(body=b""))
        if error_answer is not None:
            self._enqueue(_placeholder_request(), lambda _: error_answer)
        elif not self._reserve(
            _memory(self.reader.head_size, self.reader.body_bytes)
        ):
            self.reader.give_up()
            self._refuse(_placeholder_request())
        self.closing = self.closing or self.reader.ended
        self._send_continue()

    def _record_malformed(self, error: http_messages.MessageError) -> None:
        """Logs input that is not a request, or one that is too large."""
        self.server.callbacks.malformed(error)
        try:
            caller = "{}:{}".format(*self.socket.getpeername()[:2])
        except OSError:
            caller = "gone"
        logs.event(
            LOGGER,
            "request-malformed",
            caller=caller,
            status=error.status,
            reason=str(error),
        )

    def _reserve(self, size: int) -> bool:
        """Reserves the bytes of the request in progress, or of one just read.

        Returns False if there is no room.
        """
        if size > self.reserved:
            budget = self.server.request_budget
            if not budget.reserve(size - self.reserved):
                logs.event(
                    LOGGER,
                    "body-refused",
                    logging.WARNING,
                    bytes=size,
                    reserved=budget.total,
                )
                return False
            self.reserved = size
        return True

    def _refuse(self, request: http_messages.Message) -> None:
        """Refuses a request whose body has no room; it is not run."""
        self.server.request_budget.release(self.reserved)
        self.reserved = 0
        answer = Answer(
            503,
            (
                (codes.CODE_HEADER, str(int(codes.Code.HOST_OVERLOADED))),
                ("Retry-After", str(NO_ROOM_RETRY_SECONDS)),
            ),
            b"",
            close=self.reader.ended,
        )
        self._enqueue(request, lambda _: answer)

    def _send_continue(self) -> None:
        """Sends status 100 if a caller waits for it and no answer is due."""
        if self.open_requests or self.closing or self.closed:
            return
        if self.reader.take_continue():
            self.delivery.send(CONTINUE, b"")

    def _receive(self) -> bytes:
        """Returns received bytes.

        Empty at the end of the connection, or after a timeout while no request
        is open; its time begins anew with each answer.
        """
        now = self.server.callbacks.now
        timeout = (
            max(self.limits.header_timeout_seconds, 1.0) * 4
            if self.reader.in_progress
            else self.limits.idle_timeout_seconds + IDLE_MARGIN_SECONDS
        )
        self.socket.settimeout(timeout)
        waiting_since = now()
        while True:
            try:
                return self.socket.recv(READ_BYTES)
            except TimeoutError:
                if self.open_requests or self.closing:
                    self.socket.settimeout(timeout)
                    continue
                waited = now() - max(waiting_since, self.answered_at)
                if self.delivery.has_unread_input():
                    # On a busy host they may have arrived long ago.
                    continue
                if waited < timeout:
                    self.socket.settimeout(timeout - waited)
                elif self.delivery.last_request is not None:
                    # A relay may still hold answers.
                    self.ended_idle = True
                    self._close_after_answer()
                else:
                    return b""

    def _enqueue(
        self,
        request: http_messages.Message,
        handle: Callable[[http_messages.Message], Answer],
    ) -> None:
        """Starts a task for a request and queues its answer for sending."""
        answer_event = event.Event()
        task = eventlet.spawn(self._handle, request, handle, answer_event)
        self.open_requests.append(
            _OpenRequest(
                request,
                answer_event,
                task,
                self.server.callbacks.now(),
                self.reserved,
            )
        )
        self.reserved = 0
        if self.writer_task is None:
            self.writer_task = eventlet.spawn(self._write_answers)

    def _handle(
        self,
        request: http_messages.Message,
        handle: Callable[[http_messages.Message], Answer],
        answer_event: event.Event,
    ) -> None:
        """Handles a request and delivers its answer: 500 on an exception."""
        answer = Answer(500, (), b"", close=True)
        try:
            answer = handle(request)
        except greenlet.GreenletExit:
            # The caller has disconnected.
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
            self._count_waiting(len(answer.body))
            answer_event.send((answer, self.server.callbacks.now()))

    def _count_waiting(self, size: int) -> None:
        """Counts the body of an answer that now waits to be sent."""
        self.delivery.queued += size
        if self.share is None or self.closed:
            return
        try:
            self.server.budget.add(self.share, size)
        except byte_budget.TooManyBytesError:
            self.close("too-many-bytes")

    def _write_answers(self) -> None:
        """Sends answers in the order of their requests."""
        callbacks = self.server.callbacks
        try:
            while self.open_requests and not self.closed:
                oldest = self.open_requests[0]
                answer, ready_at = oldest.answer.wait()
                if self.closed or oldest not in self.open_requests:
                    # The connection has ended, or the request was dropped.
                    return
                send_started_at = callbacks.now()
                is_last = len(self.open_requests) == 1
                close = is_last and (
                    answer.close
                    or not oldest.request.keep_alive
                    or callbacks.shutting_down()
                )
                # A request that arrives while this answer is being sent would
                # get no answer any more; its caller takes it as not read.
                self.closing = self.closing or close
                self.delivery.last_request = oldest.request
                head = http_messages.encode_answer(
                    answer.status,
                    answer.headers,
                    answer.body,
                    close,
                    head_only=True,
                    length_known=answer.length_known,
                )
                size = len(answer.body)
                self.delivery.queued -= size
                has_body = http_messages.may_have_body(
                    oldest.request.method, answer.status
                )
                self.delivery.send(head, answer.body if has_body else b"")
                if oldest not in self.open_requests:
                    # The connection has ended meanwhile.
                    return
                self.open_requests.popleft()
                self.server.request_budget.release(oldest.reserved)
                if self.share is not None:
                    self.server.budget.remove(self.share, size)
                callbacks.sent(
                    oldest.request,
                    AnswerTiming(
                        ready_at - oldest.received_at,
                        send_started_at - ready_at,
                        callbacks.now() - send_started_at,
                    ),
                )
                if close:
                    self._close_after_answer()
                    return
                self.answered_at = callbacks.now()
                self._send_continue()
        except (OSError, eventlet.Timeout) as error:
            logs.event(
                LOGGER,
                "answer-not-taken",
                logging.DEBUG,
                reason=type(error).__name__,
            )
            self.close("not-taken")
        except Exception as error:
            # The caller gets no answer to any open request of the connection.
            tasks.log_failure("send answers", error)
            self.close("failure")
        finally:
            self.writer_task = None


def _memory(head_size: int, body_size: int) -> int:
    """Returns the bytes of a request that count towards the limit on all."""
    return max(0, head_size - UNCOUNTED_HEAD_BYTES) + body_size


def _placeholder_request() -> http_messages.Message:
    """Returns an empty request, which is queued in place of malformed input."""
    return http_messages.Message("", "", 0, (), b"", False)

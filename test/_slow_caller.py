"""Callers that read their answers slowly and send on meanwhile."""

import contextlib
import itertools
import re
import socket
import threading
import time
from typing import NamedTuple

from test import _front

TIMEOUT_SECONDS = 20.0
# Segments of a usual network; the loopback's would exceed the receive buffer.
SEGMENT_BYTES = 1400
DEADLINE_MS = 60_000
_STATUS = re.compile(rb"HTTP/1.1 (\d+) ")
_LENGTH = re.compile(rb"\r\nContent-Length: (\d+)\r\n", re.IGNORECASE)
_REQUEST_ID = re.compile(rb"\r\nRequest-Id: (.+)\r\n", re.IGNORECASE)


class WholeAnswer(NamedTuple):
    """An answer that was received whole.

    Attributes:
        status: HTTP status.
        request_id: Value of its Request-Id header, or empty.
        size: Bytes of its body.
    """

    status: int
    request_id: str
    size: int


class Pace(NamedTuple):
    """How a caller reads and sends.

    Attributes:
        read_bytes: Bytes that it reads at a time.
        interval: Seconds between reads.
        buffer_bytes: Size of its receive buffer.
        send_after: Seconds from the first bytes of an answer to its next
            request; None if it sends none.
        send_interval: Seconds between further requests; None for one request.
    """

    read_bytes: int
    interval: float
    buffer_bytes: int
    send_after: float | None
    send_interval: float | None = None


class SlowCaller:
    """A caller in its own thread; a context manager.

    Attributes:
        address: Address of the host, `IP:PORT`.
        requests: Requests that it sends at once.
        pace: How it reads and sends on.
        further: Iterator over the requests that it sends on, whose answers it
            reads too; None for one request that repeats and whose answers it
            leaves.
        sent_ids: Values of Request-Id of the requests sent, in their order.
        received: Bytes received.
        whole_answers: Answers received whole, in their order.
        parsed: Length of these answers, in bytes.
        end: How the connection ended: `whole` (all answers were received),
            `end` or the name of an error.
        seconds: Time from the first bytes to the end.
        ended_at: Monotonic time of the end, seconds.
    """

    def __init__(self, address, requests, pace, further=None):
        self.address = address
        self.requests = requests
        self.pace = pace
        self.further = further
        self.sent_ids = []
        self.received = b""
        self.whole_answers = []
        self.parsed = 0
        self.end = ""
        self.seconds = 0.0
        self.ended_at = 0.0
        self.thread = threading.Thread(target=self.run, daemon=True)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.thread.join()

    def run(self):
        """Sends the requests and reads the answers."""
        with contextlib.ExitStack() as stack:
            begun_at = None
            try:
                connection = stack.enter_context(
                    connect(self.address, self.pace)
                )
                connection.sendall(b"".join(self.requests))
                self.sent_ids += map(request_id_of, self.requests)
                self.read(connection)
                begun_at = time.monotonic()
                self.end = self.read_on(connection, begun_at)
            except OSError as error:
                self.end = type(error).__name__
            self.ended_at = time.monotonic()
            if begun_at is not None:
                self.seconds = self.ended_at - begun_at

    def read(self, connection):
        """Reads once; returns False at the end of the connection."""
        data = connection.recv(self.pace.read_bytes)
        self.received += data
        self.parse()
        return bool(data)

    def read_on(self, connection, begun_at):
        """Reads and sends at its pace; returns how the connection ended."""
        further = self.further
        if further is None:
            further = itertools.repeat(
                _front.request_bytes("/read/next", request_id="next")
            )
        send_at = None
        if self.pace.send_after is not None:
            send_at = begun_at + self.pace.send_after
        read_at = begun_at
        while True:
            if self.has_all_answers():
                if self.further is None or send_at is None:
                    return "whole"
                read_at = max(read_at, send_at)
            read_at += self.pace.interval
            send_at = self.send_due(connection, further, send_at, read_at)
            time.sleep(max(0.0, read_at - time.monotonic()))
            if not self.has_all_answers() and not self.read(connection):
                return "end"

    def send_due(self, connection, further, send_at, until):
        """Sends the requests that are due until a monotonic time.

        Returns:
            The time of the next request, or None if it sends no more.
        """
        while send_at is not None and send_at <= until:
            next_request = next(further, None)
            if next_request is None:
                return None
            time.sleep(max(0.0, send_at - time.monotonic()))
            connection.sendall(next_request)
            self.sent_ids.append(request_id_of(next_request))
            if not self.pace.send_interval:
                return None
            send_at += self.pace.send_interval
        return send_at

    def has_all_answers(self):
        """Returns True if the answers that it waits for are whole."""
        if self.further is not None:
            return len(self.whole_answers) >= len(self.sent_ids)
        statuses = [each.status for each in self.whole_answers]
        count = len(self.requests)
        return statuses[:count] == [200] * count

    def parse(self):
        """Adds the answers that are whole now."""
        while (end := self.received.find(b"\r\n\r\n", self.parsed)) >= 0:
            head = self.received[self.parsed : end + 2]
            status, length = _STATUS.match(head), _LENGTH.search(head)
            if not status or not length:
                return
            size = int(length.group(1))
            if end + 4 + size > len(self.received):
                return
            self.whole_answers.append(
                WholeAnswer(int(status.group(1)), request_id_of(head), size)
            )
            self.parsed = end + 4 + size


def connect(address, pace):
    """Returns a connection with the receive buffer of a pace."""
    host, _, port = address.rpartition(":")
    with contextlib.ExitStack() as stack:
        connection = stack.enter_context(socket.socket())
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, pace.buffer_bytes
        )
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
        )
        connection.settimeout(TIMEOUT_SECONDS)
        connection.connect((host, int(port)))
        stack.pop_all()
    return connection


def request_id_of(head):
    """Returns the Request-Id of a head, or an empty text."""
    found = _REQUEST_ID.search(head)
    return found.group(1).decode() if found else ""


def request(milliseconds, size, request_id, **headers):
    """Returns a request that an upstream answers after a time with a size."""
    return _front.request_bytes(
        f"/long/body-{milliseconds}-{size}",
        request_id=request_id,
        deadline_ms=DEADLINE_MS,
        **headers,
    )

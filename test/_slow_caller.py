"""Callers that read their answers slowly and send on meanwhile."""

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
_HEAD = re.compile(
    rb"HTTP/1.1 200 .*\r\n(?:.+\r\n)*?Content-Length: (\d+)\r\n"
    rb"(?:.+\r\n)*\r\n",
    re.IGNORECASE,
)


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
        received: Bytes received.
        end: How the connection ended: `whole` (all answers were received),
            `end`, `timeout` or the name of an error.
        seconds: Time from the first bytes to the end.
    """

    def __init__(self, address, requests, pace):
        self.address = address
        self.requests = requests
        self.pace = pace
        self.received = b""
        self.end = ""
        self.seconds = 0.0
        self.thread = threading.Thread(target=self.run, daemon=True)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.thread.join()

    def run(self):
        """Sends the requests and reads the answers."""
        host, _, port = self.address.rpartition(":")
        with socket.socket() as connection:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.pace.buffer_bytes
            )
            connection.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
            )
            connection.settimeout(TIMEOUT_SECONDS)
            connection.connect((host, int(port)))
            connection.sendall(b"".join(self.requests))
            begun_at = None
            try:
                self.read(connection)
                begun_at = time.monotonic()
                self.end = self.read_on(connection, begun_at)
            except OSError as error:
                self.end = type(error).__name__
            if begun_at is not None:
                self.seconds = time.monotonic() - begun_at

    def read(self, connection):
        """Reads once; returns False at the end of the connection."""
        data = connection.recv(self.pace.read_bytes)
        self.received += data
        return bool(data)

    def read_on(self, connection, begun_at):
        """Reads and sends at its pace; returns how the connection ended."""
        next_request = _front.request_bytes("/read/next", request_id="next")
        send_at = None
        if self.pace.send_after is not None:
            send_at = begun_at + self.pace.send_after
        read_at = begun_at
        while self.answers() < len(self.requests):
            read_at += self.pace.interval
            while send_at is not None and send_at <= read_at:
                time.sleep(max(0.0, send_at - time.monotonic()))
                connection.sendall(next_request)
                send_at = (
                    send_at + self.pace.send_interval
                    if self.pace.send_interval
                    else None
                )
            time.sleep(max(0.0, read_at - time.monotonic()))
            if not self.read(connection):
                return "end"
        return "whole"

    def answers(self):
        """Returns the number of answers received whole."""
        count = start = 0
        while found := _HEAD.match(self.received, start):
            start = found.end() + int(found.group(1))
            if start > len(self.received):
                break
            count += 1
        return count


def request(milliseconds, size, request_id, **headers):
    """Returns a request that an upstream answers after a time with a size."""
    return _front.request_bytes(
        f"/long/body-{milliseconds}-{size}",
        request_id=request_id,
        deadline_ms=DEADLINE_MS,
        **headers,
    )

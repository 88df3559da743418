"""Delivers answers to a caller until it has received all of them.

The kernel takes an answer long before a caller behind a slow link has received
it. If a connection is closed then and the caller sends more, or has sent what
was not read, the kernel resets the connection and drops what is left.

An acknowledgement may come from a relay that still holds the bytes, and a reset
overtakes them. Only a caller that closes the connection is known to have read
the end, so a connection lingers after its last answer until its caller closes
it, or for `MAX_DELIVERY_SECONDS`.
"""

from collections.abc import Callable
import contextlib
import fcntl
import logging
import math
import socket
import sys
import termios
from typing import Any
from typing import NamedTuple

import eventlet
from eventlet import hubs

from gooseberryweir import logs
from gooseberryweir.connection import http_messages

LOGGER = logging.getLogger(__name__)

# Longest time for which one answer is handed to the kernel, and for which a
# connection stays open after its last answer until the caller has received it.
MAX_DELIVERY_SECONDS = 30.0
# Time for which an answer counts as not received if the kernel can't tell.
ASSUMED_DELIVERY_SECONDS = 1.0
# Interval of checks whether a caller has received an answer, and of reads from
# one that sends much behind the last answer.
CHECK_SECONDS = 0.25
# Bytes of a body that are sent together with the head.
JOINED_BYTES = 64 * 1024
DISCARD_BYTES = 64 * 1024
# Input of a closing connection that is discarded as fast as it arrives; what
# follows is read with a pause of `CHECK_SECONDS` behind each piece.
MAX_UNPACED_BYTES = 1024 * 1024
# Limit on unread input that is discarded just before a connection is closed.
MAX_DISCARDED_BYTES = 1024 * 1024
# Time for which input behind the last answer shows that the caller has not
# read the end of the connection.
SENDING_ON_SECONDS = 0.5
# Buffer for the number that the kernel returns.
_NO_BYTES = bytes(4)


class Undelivered(NamedTuple):
    """What a caller may not have received when its connection was closed.

    Attributes:
        request: Request whose answer was sent last, or None.
        size: Bytes that its kernel had not acknowledged.
        reason: Why the connection was closed.
        discarded: Bytes that it sent behind its last answer, if it did until
            shortly before the close, else 0. It may not have read the answers
            that the next kernel has acknowledged.
    """

    request: http_messages.Message | None
    size: int
    reason: str
    discarded: int = 0


def log_undelivered(undelivered: Undelivered, request_id: str = "") -> None:
    """Logs that a connection was closed before its caller had all answers."""
    logs.event(
        LOGGER,
        "answer-undelivered",
        logging.WARNING,
        request=request_id or "unknown",
        bytes=undelivered.size,
        reason=undelivered.reason,
        discarded=undelivered.discarded,
    )


def unacknowledged_bytes(connection: Any) -> int | None:
    """Returns the sent bytes that the other side's kernel has not acknowledged.

    None if this kernel can't tell.

    Args:
        connection: Socket of the connection.
    """
    try:
        # SIOCOUTQ of tcp(7).
        held = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, _NO_BYTES)
    except OSError as error:
        logs.event(LOGGER, "delivery-unknown", logging.DEBUG, reason=error)
        return None
    return int.from_bytes(held, sys.byteorder)


class Delivery:
    """The delivery of answers over one connection.

    Attributes:
        socket: Green socket of the connection.
        now: Returns the monotonic time in seconds.
        record: Is called if the connection is closed too early.
        last_request: Request whose answer is being sent or was sent last, or
            None.
        queued: Bytes of the bodies of answers that wait for an earlier one.
        unsent: Bytes of an answer that the kernel has not taken yet.
        sent_at: Monotonic time, in seconds, at which the kernel had taken the
            last answer.
        finished_at: Monotonic time, in seconds, at which the sending side was
            shut down, or None.
        discarded: Bytes of input discarded behind the last answer.
        discarded_at: Monotonic time, in seconds, at which the last of them
            were read.
    """

    def __init__(
        self,
        connection: Any,
        now: Callable[[], float],
        record: Callable[[Undelivered], None],
    ) -> None:
        self.socket = connection
        self.now = now
        self.record = record
        self.last_request: http_messages.Message | None = None
        self.queued = 0
        self.unsent = 0
        self.sent_at = -math.inf
        self.finished_at: float | None = None
        self.discarded = 0
        self.discarded_at = -math.inf

    def send(self, head: bytes, body: bytes) -> None:
        """Hands an answer to the kernel.

        Raises:
            OSError: The connection is broken.
            eventlet.Timeout: The kernel did not take it within
                `MAX_DELIVERY_SECONDS`.
        """
        self.unsent = len(head) + len(body)
        # A large body is not copied.
        joined = memoryview(head + body[:JOINED_BYTES])
        remaining = self._send_some(joined)
        if self.unsent:
            with eventlet.Timeout(MAX_DELIVERY_SECONDS):
                self._send_all(remaining)
                self._send_all(memoryview(body)[JOINED_BYTES:])
        self.sent_at = self.now()

    def _send_all(self, remaining: memoryview) -> None:
        """Hands bytes to the kernel; waits while it takes none."""
        while remaining:
            size = len(remaining)
            remaining = self._send_some(remaining)
            if len(remaining) == size:
                hubs.trampoline(self.socket.fd, write=True)

    def _send_some(self, data: memoryview) -> memoryview:
        """Hands bytes to the kernel and returns those that it did not take."""
        try:
            # `fd` is the non-blocking socket inside the eventlet socket, whose
            # timeout is that of the input.
            sent = self.socket.fd.send(data)
        except BlockingIOError:
            return data
        self.unsent -= sent
        return data[sent:]

    def undelivered(self) -> int:
        """Returns the bytes of answers that the caller has not received.

        These are bytes that the caller's kernel has not acknowledged; the end
        of the connection may count as one byte. If the kernel can't tell, an
        answer counts as one byte for `ASSUMED_DELIVERY_SECONDS` after it was
        sent.
        """
        size = self._known_size()
        if size is None:
            lingers = self.now() < self.sent_at + ASSUMED_DELIVERY_SECONDS
            return max(self.queued + self.unsent, 1 if lingers else 0)
        return size

    def _known_size(self) -> int | None:
        """Returns the bytes of `undelivered`; None if the kernel can't tell."""
        held = unacknowledged_bytes(self.socket)
        if held is None:
            return None
        size = self.queued + self.unsent + held
        if size:
            try:
                # After a reset the kernel still reports what it has dropped.
                self.socket.getpeername()
            except OSError:
                return 0
        return size

    def finish(self) -> None:
        """Shuts the sending side down, after the last answer."""
        with contextlib.suppress(OSError):
            # The caller may have disconnected already.
            self.socket.shutdown(socket.SHUT_WR)
        self.finished_at = self.now()

    def linger_seconds(self) -> float:
        """Returns how much longer the caller may take to read the last answer.

        0 if none is known to be the last.
        """
        if self.finished_at is None:
            return 0.0
        return max(0.0, self.finished_at + MAX_DELIVERY_SECONDS - self.now())

    def wait(self) -> None:
        """Waits until the caller has all answers, for a limited time.

        For a caller that sends no more but may still receive.
        """
        deadline = self.now() + MAX_DELIVERY_SECONDS
        while self.undelivered() and self.now() < deadline:
            eventlet.sleep(CHECK_SECONDS)

    def record_close(self, reason: str, caller_closed: bool = False) -> None:
        """Records what the caller may lose, just before the close.

        Args:
            reason: Why the connection is closed.
            caller_closed: True if the caller has closed its side.
        """
        end_size = 0 if self.finished_at is None else 1
        known_size = self._known_size()
        if known_size is None:
            known_size = self.queued + self.unsent
        size = max(0, known_size - end_size)
        sends_on = self.now() - self.discarded_at < SENDING_ON_SECONDS
        discarded = self.discarded if sends_on and not caller_closed else 0
        if size or discarded:
            self.record(Undelivered(self.last_request, size, reason, discarded))

    def has_unread_input(self) -> bool:
        """Returns True if input has arrived that was not read yet."""
        try:
            # `fd` is the non-blocking socket inside the eventlet socket.
            return bool(self.socket.fd.recv(1, socket.MSG_PEEK))
        except OSError:
            # Nothing has arrived, or the connection is broken.
            return False

    def count_discarded(self, size: int) -> None:
        """Counts input that was read behind the last answer."""
        self.discarded += size
        self.discarded_at = self.now()

    def discard_input(self) -> None:
        """Discards what has arrived; the kernel resets on unread input."""
        with contextlib.suppress(OSError):
            # Nothing more has arrived, or the connection is broken.
            for _ in range(MAX_DISCARDED_BYTES // DISCARD_BYTES):
                # `fd` is the non-blocking socket inside the eventlet socket.
                if not self.socket.fd.recv(DISCARD_BYTES):
                    return

"""Tells how much of its answers a caller has not received yet."""

from collections.abc import Callable
import fcntl
import logging
import socket
import struct
import termios
from typing import Any
from typing import NamedTuple

from gooseberryweir import logs
from gooseberryweir.connection import http_messages

LOGGER = logging.getLogger(__name__)


class Undelivered(NamedTuple):
    """What a caller had not received when its connection was closed.

    Attributes:
        request: Request whose answer was sent last, or None.
        size: Bytes that were not delivered.
        reason: Why the connection was closed.
    """

    request: http_messages.Message | None
    size: int
    reason: str


def log_undelivered(undelivered: Undelivered, request_id: str = "") -> None:
    """Logs that a connection was closed before its caller had all answers."""
    logs.event(
        LOGGER,
        "answer-undelivered",
        logging.WARNING,
        request=request_id or "unknown",
        bytes=undelivered.size,
        reason=undelivered.reason,
    )


class Delivery:
    """The delivery of answers over one connection.

    Attributes:
        socket: Green socket of the connection.
        record: Is called if the connection is closed too early.
        last_request: Request whose answer is being sent or was sent last, or
            None.
        finished: True once the sending side has been shut down.
    """

    def __init__(
        self, connection: Any, record: Callable[[Undelivered], None]
    ) -> None:
        self.socket = connection
        self.record = record
        self.last_request: http_messages.Message | None = None
        self.finished = False

    def undelivered(self) -> int:
        """Returns the bytes that the caller's kernel has not acknowledged.

        The end of the connection may count as one byte. Returns 0 if the kernel
        can't tell.
        """
        try:
            # SIOCOUTQ of tcp(7).
            size = fcntl.ioctl(self.socket.fileno(), termios.TIOCOUTQ, bytes(4))
        except OSError:
            return 0
        return int(struct.unpack("i", size)[0])

    def caller_left(self) -> bool:
        """Returns True if the caller has closed or reset the connection."""
        try:
            # `fd` is the non-blocking socket inside the eventlet socket.
            return not self.socket.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def record_close(self, reason: str) -> None:
        """Records bytes that the caller may lose, just before the close."""
        end_size = 1 if self.finished else 0
        size = self.undelivered() - end_size
        if size > 0 and not self.caller_left():
            self.record(Undelivered(self.last_request, size, reason))

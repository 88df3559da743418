"""Outgoing connection to a peer, with concurrent calls.

The hosts exchange `Hello` first. After that, any task may send calls and
notifications over the link; one task reads the replies. Any error closes the
link and its owner opens a new one. A link that is only slow is retired instead:
it gets no new calls, but long calls over it can still get their replies.
"""

import contextlib
from typing import Any

import eventlet
from eventlet import event as events
from eventlet import semaphore
from eventlet.green import socket

from gooseberryweir.connection import addresses
from gooseberryweir.connection import messages

RECEIVE_BYTES = 65536


class PeerError(Exception):
    """The peer could not be reached, or the call over the link failed."""


class PeerTimeoutError(PeerError):
    """Connecting, sending or the wait for the reply exceeded the timeout.

    `PeerLink.call` leaves the link open if only the reply is late.
    """


class PeerLink:
    """Connection to a peer, opened by this host; a context manager.

    Attributes:
        address: Address of the peer, `IP:PORT`.
        peer: `Hello` received from the peer.
        closed: True once the link is closed.
        retired: True once the link gets no new calls and closes after the
            last pending one.
        pending: Event for the reply to each pending call, by correlation ID.
        read_task: Task that reads replies, or None before the link is open.
    """

    def __init__(
        self, address: str, hello: messages.Hello, timeout: float
    ) -> None:
        """Connects to a peer and exchanges `Hello`.

        Args:
            address: Address of the peer, `IP:PORT`.
            hello: `Hello` of this host.
            timeout: Seconds to connect, and again for the peer's `Hello`.

        Raises:
            PeerError: The peer could not be reached or did not send a valid
                `Hello`.
        """
        self.address = address
        self.closed = False
        self.retired = False
        self.pending: dict[int, events.Event] = {}
        self.read_task: Any = None
        self._send_lock = semaphore.Semaphore()
        self._last_correlation_id = 0
        self._socket = _connect(address, timeout)
        self.read_task = eventlet.spawn(self._read)
        try:
            self.peer: messages.Hello = self.call(hello, timeout)
            self._check_peer()
        except BaseException:
            self.close()
            raise

    def __enter__(self) -> "PeerLink":
        return self

    def __exit__(self, *_exc: object) -> None:
        self.close()

    def _check_peer(self) -> None:
        """Checks the peer's `Hello`.

        Raises:
            PeerError: The reply is not a `Hello`, or the peer uses another
                version of the protocol.
        """
        is_hello = isinstance(self.peer, messages.Hello)
        if not is_hello or self.peer.protocol != messages.PROTOCOL_VERSION:
            raise PeerError(f"{self.address} uses another protocol or version")

    def call(self, message: Any, timeout: float) -> Any:
        """Sends a message and returns its reply.

        Args:
            message: Message to send.
            timeout: Seconds to wait for the reply.

        Raises:
            PeerTimeoutError: No reply came within the timeout.
            PeerError: The link is closed, or was closed before a reply came.
        """
        self._last_correlation_id += 1
        correlation_id = self._last_correlation_id
        reply = events.Event()
        self.pending[correlation_id] = reply
        try:
            with eventlet.Timeout(timeout, PeerTimeoutError("no reply")):
                self._send(messages.encode(message, correlation_id))
                return reply.wait()
        finally:
            self.pending.pop(correlation_id, None)
            if self.retired and not self.pending:
                self.close()

    def notify(self, message: Any, timeout: float) -> None:
        """Sends a message without waiting for a reply.

        Args:
            message: Message to send.
            timeout: Seconds within which the message must be sent.

        Raises:
            PeerError: The link is closed, or sending exceeded the timeout,
                which closes it.
        """
        with eventlet.Timeout(timeout, PeerTimeoutError("send timed out")):
            self._send(messages.encode(message))

    def retire(self) -> None:
        """Closes the link once the pending calls have ended."""
        self.retired = True
        if not self.pending:
            self.close()

    def close(self) -> None:
        """Closes the connection and fails all pending calls."""
        if self.closed:
            return
        self.closed = True
        _close_socket(self._socket)
        for reply in list(self.pending.values()):
            if not reply.ready():
                reply.send_exception(PeerError(f"{self.address} is closed"))
        if self.read_task is not None and self.read_task is not _current_task():
            self.read_task.kill()

    def _send(self, data: bytes) -> None:
        """Sends one message; closes the link if it was not sent completely."""
        with self._send_lock:
            if self.closed:
                raise PeerError(f"{self.address} is closed")
            sent = False
            try:
                self._socket.sendall(data)
                sent = True
            except OSError as error:
                raise PeerError(f"{self.address}: {error}") from error
            finally:
                if not sent:
                    self.close()

    def _read(self) -> None:
        """Reads replies until the connection ends or a reply is malformed."""
        unpacker = messages.make_unpacker()
        try:
            while data := self._socket.recv(RECEIVE_BYTES):
                unpacker.feed(data)
                for fields in unpacker:
                    self._deliver(*messages.decode(fields))
        except (OSError, *messages.DECODE_ERRORS):
            pass
        finally:
            self.close()

    def _deliver(self, correlation_id: int, message: Any) -> None:
        """Passes a reply to the pending call; drops a late reply."""
        reply = self.pending.get(correlation_id)
        if reply is not None and not reply.ready():
            reply.send(message)


def _current_task() -> Any:
    """Returns the running task."""
    return eventlet.getcurrent()


def _connect(address: str, timeout: float) -> Any:
    """Opens a connection to a peer.

    Args:
        address: Address of the peer, `IP:PORT`.
        timeout: Seconds to connect.
    """
    try:
        with eventlet.Timeout(timeout, PeerTimeoutError("connect timed out")):
            connection = addresses.connect(address)
    except OSError as error:
        raise PeerError(f"{address}: {error}") from error
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def _close_socket(connection: Any) -> None:
    """Closes a socket and wakes the task that reads it."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()

"""One dialled connection to a peer.

A link says `Hello` first and takes the peer's `Hello` for an answer. After
that any task may call or tell over it; one task reads the replies. Any error
closes the link for good; the owner dials a new one. A link that is only slow
is retired instead, so that long calls over it can still get their replies.
"""

import contextlib
from typing import Any

import eventlet
from eventlet import event as events
from eventlet import semaphore
from eventlet.green import socket

from gooseberryweir.connection import messages

RECEIVE_BYTES = 65536


class PeerError(Exception):
    """A peer could not be reached or did not answer in time."""


class PeerTimeoutError(PeerError):
    """A peer did not answer in time; the link is still open."""


def parse_address(address: str) -> tuple[str, int]:
    """Splits `IP:PORT`.

    Raises:
        PeerError: The address has another form.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise PeerError(f"not an address: {address}")
    return host, int(port)


class PeerLink:
    """A connection that this host dialled; a context manager.

    Attributes:
        address: Address of the peer, `IP:PORT`.
        peer: What the peer said of itself.
        closed: Whether the link can't be used any more.
        retired: Whether it takes no new calls and closes after the last.
        pending: Waiting calls by their correlation number.
        read_task: The task that reads replies, once the link is open.
    """

    def __init__(
        self, address: str, hello: messages.Hello, timeout: float
    ) -> None:
        """Dials a peer.

        Args:
            address: `IP:PORT`.
            hello: What this host says of itself.
            timeout: Seconds for the connection and the answer together.

        Raises:
            PeerError: It could not be reached, or isn't a peer.
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
        """Raises `PeerError` if the other end speaks something else."""
        is_hello = isinstance(self.peer, messages.Hello)
        if not is_hello or self.peer.protocol != messages.PROTOCOL_VERSION:
            raise PeerError(f"{self.address} speaks another protocol")

    def call(self, message: Any, timeout: float) -> Any:
        """Sends a message and returns its reply.

        Args:
            message: The message.
            timeout: Seconds to wait for the reply.

        Raises:
            PeerTimeoutError: There was no reply in time.
            PeerError: The link is closed.
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
        """Sends a message that has no reply.

        Args:
            message: The message.
            timeout: Seconds for the sending.

        Raises:
            PeerError: The link is closed, or was too slow and is closed now.
        """
        with eventlet.Timeout(timeout, PeerTimeoutError("send timed out")):
            self._send(messages.encode(message))

    def retire(self) -> None:
        """Closes the link once the calls in progress have ended."""
        self.retired = True
        if not self.pending:
            self.close()

    def close(self) -> None:
        """Closes the connection and fails all waiting calls."""
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
        """Writes one whole message; a partial one closes the link."""
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
        """Reads replies until the connection ends or breaks the protocol."""
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
        """Hands a reply to the call that waits; a late one is dropped."""
        reply = self.pending.get(correlation_id)
        if reply is not None and not reply.ready():
            reply.send(message)


def _current_task() -> Any:
    """Returns the running task."""
    return eventlet.getcurrent()


def _connect(address: str, timeout: float) -> Any:
    """Connects to a peer within a timeout in seconds."""
    try:
        with eventlet.Timeout(timeout, PeerTimeoutError("connect timed out")):
            connection = eventlet.connect(parse_address(address))
    except OSError as error:
        raise PeerError(f"{address}: {error}") from error
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def _close_socket(connection: Any) -> None:
    """Shuts a connection down so that a task reading it wakes."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()

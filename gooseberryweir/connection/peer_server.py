"""The listening end of the connections between hosts.

One task reads each connection and handles its messages in order. A message
whose handler may take long runs in a task of its own, so that it doesn't
delay the answers to pings.
"""

from collections.abc import Callable
import contextlib
import logging
from typing import Any

import eventlet
from eventlet import semaphore
from eventlet.green import socket

from gooseberryweir import logs
from gooseberryweir.connection import messages
from gooseberryweir.connection import peer_link

HANDSHAKE_TIMEOUT_SECONDS = 5.0
SEND_TIMEOUT_SECONDS = 5.0
ACCEPT_RETRY_SECONDS = 0.1

Handler = Callable[[messages.Hello, Any], Any]

LOGGER = logging.getLogger(__name__)


class PeerServer:
    """Accepts connections of peers; a context manager.

    Attributes:
        hello: Returns what this host says of itself.
        handle: Takes the peer's `Hello` and a message; returns the reply, or
            None if there is none.
        slow_types: Types of the messages that get a task of their own.
        address: Bound address, `IP:PORT`.
        tasks: The accept loop and the task of each connection.
    """

    def __init__(
        self,
        address: str,
        hello: Callable[[], messages.Hello],
        handle: Handler,
        slow_types: frozenset[type] = frozenset({messages.Forward}),
    ) -> None:
        self.hello = hello
        self.handle = handle
        self.slow_types = slow_types
        self._listener = eventlet.listen(peer_link.parse_address(address))
        host, port = self._listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self.tasks: set[Any] = set()

    def __enter__(self) -> "PeerServer":
        self._spawn(self._accept)
        return self

    def __exit__(self, *_exc: object) -> None:
        self._listener.close()
        for task in list(self.tasks):
            task.kill()

    def _spawn(self, function: Callable[..., None], *args: Any) -> None:
        """Starts a task that is ended together with the server."""
        task = eventlet.spawn(function, *args)
        self.tasks.add(task)
        task.link(lambda finished: self.tasks.discard(finished))

    def _accept(self) -> None:
        """Starts a task for each connection."""
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError as error:
                logs.event(LOGGER, "accept-failed", logging.ERROR, error=error)
                eventlet.sleep(ACCEPT_RETRY_SECONDS)
                continue
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._spawn(self._serve, connection)

    def _serve(self, connection: Any) -> None:
        """Handles one connection until it ends or breaks the protocol."""
        channel = _Channel(connection)
        try:
            with eventlet.Timeout(HANDSHAKE_TIMEOUT_SECONDS):
                peer = self._handshake(channel)
            for correlation_id, message in channel.incoming:
                self._dispatch(channel, peer, correlation_id, message)
        except eventlet.Timeout:
            logs.event(LOGGER, "peer-timeout", logging.WARNING)
        except OSError:
            pass
        except messages.DECODE_ERRORS as error:
            logs.event(LOGGER, "peer-protocol", logging.WARNING, error=error)
        finally:
            connection.close()

    def _handshake(self, channel: "_Channel") -> messages.Hello:
        """Takes the peer's `Hello` and answers it."""
        correlation_id, message = next(channel.incoming, (0, None))
        if not isinstance(message, messages.Hello):
            raise messages.ProtocolError("no Hello")
        channel.send(correlation_id, self.hello())
        if message.protocol != messages.PROTOCOL_VERSION:
            raise messages.ProtocolError("another protocol")
        return message

    def _dispatch(
        self,
        channel: "_Channel",
        peer: messages.Hello,
        correlation_id: int,
        message: Any,
    ) -> None:
        """Handles a message here, or in a task of its own if it is slow."""
        if type(message) in self.slow_types:
            self._spawn(
                self._handle_message, channel, peer, correlation_id, message
            )
        else:
            self._handle_message(channel, peer, correlation_id, message)

    def _handle_message(
        self,
        channel: "_Channel",
        peer: messages.Hello,
        correlation_id: int,
        message: Any,
    ) -> None:
        """Handles one message and sends the reply, if one is wanted."""
        try:
            reply = self.handle(peer, message)
        except Exception:
            LOGGER.exception("event=peer-handler-failed")
            return
        if reply is None or not correlation_id:
            return
        try:
            with eventlet.Timeout(SEND_TIMEOUT_SECONDS):
                channel.send(correlation_id, reply)
        except (OSError, eventlet.Timeout):
            channel.close()


class _Channel:
    """An accepted connection: its messages and a lock for its writers."""

    def __init__(self, connection: Any) -> None:
        self.connection = connection
        self.incoming = self._receive()
        self._send_lock = semaphore.Semaphore()

    def _receive(self) -> Any:
        """Yields the correlation number and message of each message."""
        unpacker = messages.make_unpacker()
        while data := self.connection.recv(peer_link.RECEIVE_BYTES):
            unpacker.feed(data)
            for fields in unpacker:
                yield messages.decode(fields)

    def send(self, correlation_id: int, message: Any) -> None:
        """Writes one message."""
        with self._send_lock:
            self.connection.sendall(messages.encode(message, correlation_id))

    def close(self) -> None:
        """Ends the connection; the task that reads it closes it."""
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_RDWR)

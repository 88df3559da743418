"""Server for connections from peers.

One task reads each connection and handles its messages in order. A message
whose handler may take long is handled in its own task, so that it does not
delay the replies to pings.
"""

from collections.abc import Callable
import contextlib
import logging
from typing import Any

import eventlet
from eventlet import semaphore
from eventlet.green import socket

from gooseberryweir import logs
from gooseberryweir import tasks
from gooseberryweir.connection import addresses
from gooseberryweir.connection import delivery
from gooseberryweir.connection import messages
from gooseberryweir.connection import peer_link

HANDSHAKE_TIMEOUT_SECONDS = 5.0
SEND_TIMEOUT_SECONDS = 5.0
ACCEPT_RETRY_SECONDS = 0.1

Handler = Callable[[messages.Hello, Any], Any]

LOGGER = logging.getLogger(__name__)


class PeerServer:
    """Accepts connections from peers and answers their messages.

    A context manager.

    Attributes:
        hello: Returns the `Hello` of this host.
        handle: Handles a message, given the peer's `Hello` and the message;
            returns the reply, or None if there is none.
        slow_types: Types of the messages that are handled in their own task.
        address: Bound address, `IP:PORT`.
        tasks: The accept loop, and the tasks of connections and slow messages.
        slow_tasks: The connection of each slow message, by its task.
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
        self._listener = eventlet.listen(addresses.parse(address))
        host, port = self._listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self.tasks: set[Any] = set()
        self.slow_tasks: dict[Any, Any] = {}

    def __enter__(self) -> "PeerServer":
        self._spawn(tasks.run, "accept", self._accept)
        return self

    def __exit__(self, *_exc: object) -> None:
        self._listener.close()
        for task in list(self.tasks):
            task.kill()

    def finish_slow_messages(self) -> None:
        """Waits until peers have the replies to the slow messages received.

        Does not wait for those that arrive later.
        """
        slow_tasks = dict(self.slow_tasks)
        while not slow_tasks.keys().isdisjoint(self.slow_tasks):
            eventlet.sleep(delivery.CHECK_SECONDS)
        for connection in set(slow_tasks.values()):
            with eventlet.Timeout(SEND_TIMEOUT_SECONDS, False):
                _wait_delivered(connection)

    def _spawn(self, function: Callable[..., None], *args: Any) -> Any:
        """Starts a task that is killed when the server is closed."""
        task = eventlet.spawn(function, *args)
        self.tasks.add(task)
        task.link(lambda finished: self.tasks.discard(finished))
        return task

    def _accept(self) -> None:
        """Accepts connections and starts a task for each."""
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
        """Handles a connection until it ends or a message is malformed."""
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
        """Receives the peer's `Hello`, replies with this host's, and checks it.

        Raises:
            messages.ProtocolError: The first message is not a `Hello`, or the
                peer uses another version of the protocol.
        """
        correlation_id, message = next(channel.incoming, (0, None))
        if not isinstance(message, messages.Hello):
            raise messages.ProtocolError("the first message is not a Hello")
        channel.send(correlation_id, self.hello())
        if message.protocol != messages.PROTOCOL_VERSION:
            raise messages.ProtocolError(
                "the peer uses another protocol version"
            )
        return message

    def _dispatch(
        self,
        channel: "_Channel",
        peer: messages.Hello,
        correlation_id: int,
        message: Any,
    ) -> None:
        """Handles a message, in its own task if its handler may be slow."""
        if type(message) in self.slow_types:
            task = self._spawn(
                self._handle_message, channel, peer, correlation_id, message
            )
            self.slow_tasks[task] = channel.connection
            task.link(lambda finished: self.slow_tasks.pop(finished))
        else:
            self._handle_message(channel, peer, correlation_id, message)

    def _handle_message(
        self,
        channel: "_Channel",
        peer: messages.Hello,
        correlation_id: int,
        message: Any,
    ) -> None:
        """Handles a message and sends the reply, if one is expected."""
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


def _wait_delivered(connection: Any) -> None:
    """Waits until the peer's kernel has what was sent, or the end."""
    while connection.fileno() >= 0 and delivery.unacknowledged_bytes(
        connection
    ):
        eventlet.sleep(delivery.CHECK_SECONDS)


class _Channel:
    """An accepted connection, over which messages are sent and received.

    Attributes:
        connection: Green socket of the connection.
        incoming: Iterator over the received messages.
    """

    def __init__(self, connection: Any) -> None:
        self.connection = connection
        self.incoming = self._receive()
        self._send_lock = semaphore.Semaphore()

    def _receive(self) -> Any:
        """Yields the correlation ID and the content of each message."""
        unpacker = messages.make_unpacker()
        while data := self.connection.recv(peer_link.RECEIVE_BYTES):
            unpacker.feed(data)
            for fields in unpacker:
                yield messages.decode(fields)

    def send(self, correlation_id: int, message: Any) -> None:
        """Sends a message."""
        with self._send_lock:
            self.connection.sendall(messages.encode(message, correlation_id))

    def close(self) -> None:
        """Shuts the connection down; the reading task closes the socket."""
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_RDWR)

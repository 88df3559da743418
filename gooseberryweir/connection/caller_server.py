"""HTTP server that accepts callers' connections and closes them in a stop."""

import itertools
import logging
import resource
import sys
from typing import Any

import eventlet
from eventlet import greenio

from gooseberryweir import logs
from gooseberryweir import tasks
from gooseberryweir.connection import byte_budget
from gooseberryweir.connection import pipelined_server

LOGGER = logging.getLogger(__name__)

LISTEN_BACKLOG = 1024
# Limit on the connections of a server that are open only until their callers
# have the last answer; beyond it the one that has waited longest is closed.
MAX_CLOSING_CONNECTIONS = 1000
# Share of the descriptors of the process that the connections of a server may
# take; the others are for upstreams, other hosts and the store.
MAX_DESCRIPTOR_SHARE = 0.75
# Number of idle connections that are closed at a time to make room.
EVICTED_CONNECTIONS = 32
# Pause after a failed accept, and while connections are closed to make room.
RETRY_SECONDS = 0.05


def max_connections() -> int:
    """Returns the limit on the connections of a server."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return sys.maxsize
    return int(descriptors * MAX_DESCRIPTOR_SHARE)


class Server:
    """HTTP server on one address; a context manager.

    Attributes:
        address: Address to listen on, `IP:PORT`.
        callbacks: Functions that the server calls.
        budget: Limits the bytes of answers that wait to be sent.
        request_budget: Limits the bytes of the bodies of requests.
        connections: Connections that are being served.
        closing: Those that have their last answer, the earliest first.
        listener: Listening socket, or None before the context is entered.
        accept_task: Task that accepts connections, or None if not accepting.
    """

    def __init__(
        self,
        address: str,
        callbacks: pipelined_server.Callbacks,
        budget: byte_budget.ByteBudget | None = None,
        request_budget: byte_budget.RequestBudget | None = None,
    ) -> None:
        self.address = address
        self.callbacks = callbacks
        self.budget = budget or byte_budget.sending_budget()
        self.request_budget = request_budget or byte_budget.RequestBudget()
        self.connections: set[pipelined_server.Connection] = set()
        self.closing: dict[pipelined_server.Connection, None] = {}
        self.listener: Any = None
        self.accept_task: Any = None

    @property
    def open_requests(self) -> int:
        """Number of requests whose answers have not been sent yet."""
        return sum(len(each.open_requests) for each in self.connections)

    def __enter__(self) -> "Server":
        host, _, port = self.address.rpartition(":")
        self.listener = eventlet.listen(
            (host, int(port)), backlog=LISTEN_BACKLOG
        )
        self.accept_task = tasks.spawn("accept", self._accept)
        return self

    def __exit__(self, *_: object) -> None:
        self.stop_accepting()
        for connection in list(self.connections):
            connection.close("server-end")

    def stop_accepting(self) -> None:
        """Closes the listening socket; open connections are still served.

        Connections that callers have opened already are accepted first, since
        the kernel would reset them.
        """
        if self.accept_task is not None:
            self.accept_task.kill()
            self.accept_task = None
            self._accept_pending()
            self.listener.close()

    def close_idle(self) -> None:
        """Closes the connections without a request.

        Those that are closing anyway end by themselves.
        """
        for connection in list(self.connections):
            if not connection.closing and not connection.has_request():
                connection.close("idle")

    def end_busy(self) -> None:
        """Ends connections with open requests after the answers to these.

        What their callers send from now on is ignored: behind the last answer
        of a connection it counts as not read.
        """
        for connection in self.connections:
            if connection.open_requests:
                connection.ignores_input = True

    def stop_reading(self) -> None:
        """Ignores further input; the requests received are still answered."""
        for connection in self.connections:
            connection.ignores_input = True

    def has_requests(self) -> bool:
        """Returns True if a request is open, or may be in a connection.

        A request is open until its caller has received the answer.
        """
        return any(each.has_request() for each in self.connections)

    def has_answers(self) -> bool:
        """Returns True if an answer is not decided or not delivered yet."""
        return any(each.has_answer() for each in self.connections)

    def add_closing(self, connection: pipelined_server.Connection) -> None:
        """Adds a connection that stays open only for its last answer."""
        self.closing[connection] = None
        if len(self.closing) > MAX_CLOSING_CONNECTIONS:
            earliest = next(iter(self.closing))
            del self.closing[earliest]
            earliest.close("too-many-closing")

    def _accept_pending(self) -> None:
        """Accepts the connections that wait in the listening socket.

        Those beyond the limit are reset when the socket is closed.
        """
        while len(self.connections) < max_connections():
            try:
                # `fd` is the non-blocking socket inside the eventlet socket.
                accepted, _ = self.listener.fd.accept()
            except OSError:
                # No connection waits any more.
                return
            self._start(greenio.GreenSocket(accepted))

    def _start(self, accepted: Any) -> None:
        """Starts the task of an accepted connection."""
        connection = pipelined_server.Connection(self, accepted)
        self.connections.add(connection)
        eventlet.spawn(connection.serve)

    def _accept(self) -> None:
        """Accepts connections and starts a task for each."""
        while True:
            try:
                accepted, _ = self.listener.accept()
            except OSError as error:
                logs.event(
                    LOGGER, "accept-failed", logging.WARNING, reason=error
                )
                eventlet.sleep(RETRY_SECONDS)
                continue
            if self._make_room():
                self._start(accepted)
            else:
                accepted.close()

    def _make_room(self) -> bool:
        """Closes the connections that have been idle longest, at the limit.

        Returns:
            True if one more connection may be served.
        """
        limit = max_connections()
        if len(self.connections) < limit:
            return True
        idle = sorted(
            (each for each in self.connections if each.is_idle()),
            key=lambda each: each.answered_at,
        )
        evicted = list(
            itertools.islice(
                (each for each in idle if not each.has_answer()),
                EVICTED_CONNECTIONS,
            )
        )
        for each in evicted:
            each.close("too-many-connections")
        logs.event(
            LOGGER,
            "connections-limited",
            logging.WARNING,
            limit=limit,
            closed=len(evicted),
        )
        # Their tasks close the sockets.
        eventlet.sleep(RETRY_SECONDS)
        return len(self.connections) < limit

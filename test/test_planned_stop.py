"""Tests of requests that reach a server while it stops as planned.

The callers' sockets block, so no task of the server runs between their calls.
"""

import contextlib
import socket
import unittest

import eventlet

from gooseberryweir.connection import caller_server
from gooseberryweir.connection import pipelined_server
from gooseberryweir.version import traffic

LIMITS = traffic.CallerLimits(8192, 8192, 3.0, 15.0)
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
SETTLE_SECONDS = 0.05
# More than the kernel's buffers of a connection hold.
LARGE_ANSWER_BYTES = 32_000_000


class PlannedStopTest(unittest.TestCase):
    """Connections and requests that had arrived when the server stopped."""

    def setUp(self):
        stack = self.enterContext(contextlib.ExitStack())
        self.handled = []
        self.body = b""
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        self.stack = stack
        self.server = stack.enter_context(
            caller_server.Server(
                f"127.0.0.1:{self.port}",
                pipelined_server.Callbacks(
                    self.handle,
                    lambda: LIMITS,
                    lambda: True,
                ),
            )
        )
        eventlet.sleep(SETTLE_SECONDS)

    def handle(self, message):
        self.handled.append(message.target)
        return pipelined_server.Answer(503, (), self.body)

    def connect(self):
        caller = socket.create_connection(("127.0.0.1", self.port), timeout=2)
        return self.stack.enter_context(caller)

    def stop(self):
        """Stops as a host does that leaves, until nothing is left."""
        self.server.stop_accepting()
        for _ in range(20):
            self.server.close_idle()
            if not self.server.has_requests():
                break
            eventlet.sleep(SETTLE_SECONDS)

    def test_connection_that_was_not_accepted_yet_gets_an_answer(self):
        caller = self.connect()
        caller.sendall(REQUEST)
        self.stop()
        self.assertIn(b"503", caller.recv(1000))

    def test_request_that_was_not_read_yet_gets_an_answer(self):
        caller = self.connect()
        eventlet.sleep(pipelined_server.FIRST_REQUEST_SECONDS + SETTLE_SECONDS)
        caller.sendall(REQUEST)
        self.stop()
        self.assertIn(b"503", caller.recv(1000))

    def test_first_request_of_a_new_connection_gets_an_answer(self):
        caller = self.connect()
        self.server.stop_accepting()
        self.server.close_idle()
        caller.sendall(REQUEST)
        self.stop()
        self.assertIn(b"503", caller.recv(1000))

    def test_idle_connections_do_not_delay_the_stop(self):
        caller = self.connect()
        eventlet.sleep(pipelined_server.FIRST_REQUEST_SECONDS + SETTLE_SECONDS)
        self.stop()
        self.assertFalse(self.server.has_requests())
        self.assertEqual(caller.recv(1000), b"")

    # Guards against LOST of review/4: a request that arrived while the last
    # answer was being sent was passed on, and its connection closed.
    def test_request_behind_the_last_answer_is_not_handled(self):
        self.body = bytes(LARGE_ANSWER_BYTES)
        caller = self.connect()
        caller.sendall(REQUEST)
        eventlet.sleep(SETTLE_SECONDS)
        head = caller.recv(1000)
        self.assertIn(b"Connection: close", head)
        caller.sendall(REQUEST)
        eventlet.sleep(SETTLE_SECONDS)
        self.assertEqual(len(self.handled), 1)
        received = len(head)
        while data := self.receive(caller):
            received += len(data)
        self.assertGreater(received, LARGE_ANSWER_BYTES)

    def receive(self, caller):
        """Lets the server send, and returns what has arrived."""
        caller.settimeout(0.01)
        for _ in range(100):
            eventlet.sleep(0.001)
            with contextlib.suppress(TimeoutError):
                return caller.recv(1 << 20)
        raise AssertionError("nothing arrived")


if __name__ == "__main__":
    unittest.main()

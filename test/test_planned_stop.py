"""Tests of requests that reach a server while it stops as planned.

The callers' sockets block, so no task of the server runs between their calls.
"""

import contextlib
import socket
import unittest

import eventlet

from gooseberryweir.connection import pipelined_server
from gooseberryweir.version import traffic

LIMITS = traffic.CallerLimits(8192, 8192, 3.0, 15.0)
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
SETTLE_SECONDS = 0.05


class PlannedStopTest(unittest.TestCase):
    """Connections and requests that had arrived when the server stopped."""

    def setUp(self):
        stack = self.enterContext(contextlib.ExitStack())
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        self.stack = stack
        self.server = stack.enter_context(
            pipelined_server.Server(
                f"127.0.0.1:{self.port}",
                pipelined_server.Callbacks(
                    lambda _message: pipelined_server.Answer(503, (), b""),
                    lambda: LIMITS,
                    lambda: True,
                ),
            )
        )
        eventlet.sleep(SETTLE_SECONDS)

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


if __name__ == "__main__":
    unittest.main()

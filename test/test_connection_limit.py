"""Tests of the limit on the connections of a server.

The server runs in the test's process.
"""

import contextlib
import socket
import unittest
from unittest import mock

import eventlet

from gooseberryweir.connection import caller_server
from gooseberryweir.connection import pipelined_server
from gooseberryweir.version import traffic

# Largest headers and body in bytes, header timeout and idle timeout in seconds.
LIMITS = traffic.CallerLimits(8192, 8192, 3.0, 15.0)
LIMIT = 6
STEP_SECONDS = 0.01
STEPS = 300
# Time until a server at its limit has accepted or refused a connection.
ROOM_SECONDS = 2 * caller_server.RETRY_SECONDS
REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
WAITING_REQUEST = b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"


class ConnectionLimitTest(unittest.TestCase):
    """A server that may serve few connections."""

    def setUp(self):
        self.stack = self.enterContext(contextlib.ExitStack())
        for name, value in (
            ("max_connections", lambda: LIMIT),
            ("EVICTED_CONNECTIONS", 2),
        ):
            self.enterContext(mock.patch.object(caller_server, name, value))
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = probe.getsockname()
        self.server = self.stack.enter_context(
            caller_server.Server(
                "{}:{}".format(*self.address),
                pipelined_server.Callbacks(
                    self.handle, lambda: LIMITS, lambda: False
                ),
            )
        )

    def handle(self, message):
        if message.target == "/wait":
            eventlet.sleep(60.0)
        return pipelined_server.Answer(200, (), b"")

    def connect(self, request=b"", seconds=STEP_SECONDS):
        """Returns a caller whose connection and request have arrived."""
        caller = self.stack.enter_context(socket.socket())
        caller.settimeout(STEP_SECONDS)
        caller.connect(self.address)
        caller.sendall(request)
        eventlet.sleep(seconds)
        return caller

    def is_open(self, caller):
        """Returns True if the server has not ended a caller's connection."""
        try:
            return bool(caller.recv(1000))
        except TimeoutError:
            return True
        except OSError:
            return False

    # Guards against a host whose descriptors are all taken by idle callers, so
    # that it reaches no upstream (seed 1002 of the fault soak).
    def test_longest_idle_connections_make_room(self):
        waiting = self.connect(WAITING_REQUEST)
        idle = [self.connect() for _ in range(LIMIT - 1)]
        idle[0].sendall(REQUEST)
        eventlet.sleep(STEP_SECONDS)
        self.assertIn(b"200", idle[0].recv(1000))
        newest = self.connect(REQUEST, ROOM_SECONDS)
        self.assertIn(b"200", newest.recv(1000))
        self.assertEqual(
            [self.is_open(each) for each in idle],
            [True, False, False, True, True],
        )
        self.assertTrue(self.is_open(waiting))
        self.assertLessEqual(len(self.server.connections), LIMIT)

    def test_busy_connections_are_kept_and_new_ones_refused(self):
        waiting = [self.connect(WAITING_REQUEST) for _ in range(LIMIT)]
        refused = self.connect(REQUEST, ROOM_SECONDS)
        self.assertFalse(self.is_open(refused))
        self.assertTrue(all(map(self.is_open, waiting)))
        waiting[0].close()
        for _ in range(STEPS):
            if len(self.server.connections) < LIMIT:
                break
            eventlet.sleep(STEP_SECONDS)
        self.assertIn(b"200", self.connect(REQUEST).recv(1000))


if __name__ == "__main__":
    unittest.main()

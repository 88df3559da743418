"""Tests of the limit on the bodies of all requests of a server.

The server runs in the test's process.
"""

import contextlib
import socket
import unittest

import eventlet
from eventlet import event

from gooseberryweir.connection import byte_budget
from gooseberryweir.connection import caller_server
from gooseberryweir.connection import pipelined_server
from gooseberryweir.version import traffic

BODY_BYTES = 5_000
# Room for two bodies.
MAX_BYTES = 2 * BODY_BYTES + 100
LIMITS = traffic.CallerLimits(8192, 2 * BODY_BYTES, 3.0, 15.0)
HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES
CHUNKED_HEAD = (
    b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
)
STEP_SECONDS = 0.02


class RequestBodiesTest(unittest.TestCase):
    """A server with room for two bodies, whose requests wait for `release`."""

    def setUp(self):
        self.stack = self.enterContext(contextlib.ExitStack())
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = probe.getsockname()
        self.release = event.Event()
        self.handled = []
        self.budget = byte_budget.RequestBudget(MAX_BYTES)
        self.stack.enter_context(
            caller_server.Server(
                f"127.0.0.1:{self.address[1]}",
                pipelined_server.Callbacks(
                    self.handle, lambda: LIMITS, lambda: False
                ),
                request_budget=self.budget,
            )
        )

    def handle(self, message):
        self.handled.append(len(message.body))
        self.release.wait()
        return pipelined_server.Answer(200, (), b"")

    def connect(self, *parts):
        """Returns a caller that has sent some bytes, which were read."""
        caller = self.stack.enter_context(
            socket.create_connection(self.address)
        )
        caller.settimeout(1.0)
        for part in parts:
            caller.sendall(part)
            eventlet.sleep(STEP_SECONDS)
        return caller

    def read(self, caller):
        """Returns what a caller has received."""
        eventlet.sleep(STEP_SECONDS)
        return caller.recv(65536)

    # Guards against a host that the platform kills, since callers that send
    # their bodies slowly fill its memory (429 MB where 300 are allowed).
    def test_body_without_room_is_refused_at_its_head(self):
        callers = [self.connect(HEAD, b"x") for _ in range(2)]
        refused = self.connect(HEAD, b"x")
        answer = self.read(refused)
        self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)
        self.assertIn(b"Connection: close", answer)
        self.assertIn(b"Retry-After: ", answer)
        for caller in callers:
            caller.sendall(b"x" * (BODY_BYTES - 1))
            eventlet.sleep(STEP_SECONDS)
        # Open requests count too.
        again = self.connect(HEAD + b"x" * BODY_BYTES)
        self.assertTrue(self.read(again).startswith(b"HTTP/1.1 503 "))
        self.release.send()
        for caller in callers:
            self.assertTrue(self.read(caller).startswith(b"HTTP/1.1 200 "))
        self.assertEqual(self.handled, [BODY_BYTES] * 2)
        self.assertEqual(self.budget.total, 0)
        # The refused request was whole, so its connection goes on.
        again.sendall(HEAD + b"x" * BODY_BYTES)
        self.assertTrue(self.read(again).startswith(b"HTTP/1.1 200 "))
        self.assertEqual(self.budget.total, 0)

    def test_chunks_without_room_are_refused(self):
        self.connect(HEAD, b"x")
        chunk = b"%x\r\n%s\r\n" % (BODY_BYTES, b"x" * BODY_BYTES)
        caller = self.connect(CHUNKED_HEAD, chunk)
        self.assertEqual(self.budget.total, 2 * BODY_BYTES)
        caller.sendall(chunk)
        self.assertTrue(self.read(caller).startswith(b"HTTP/1.1 503 "))
        self.assertEqual(self.budget.total, BODY_BYTES)
        self.assertEqual(self.handled, [])

    def test_callers_that_leave_free_the_room(self):
        for parts in (
            [HEAD, b"x"],
            [HEAD + b"x" * BODY_BYTES],
            [HEAD + b"x" * BODY_BYTES, HEAD + b"x"],
        ):
            with self.subTest(parts):
                caller = self.connect(*parts)
                self.assertGreater(self.budget.total, 0)
                caller.close()
                eventlet.sleep(STEP_SECONDS)
                self.assertEqual(self.budget.total, 0)


if __name__ == "__main__":
    unittest.main()

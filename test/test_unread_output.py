"""Tests of hosts whose standard output is not read.

The hosts are real processes, so that eventlet's patches apply.
"""

import contextlib
import fcntl
import os
import signal
import unittest

from test import _common
from test import _front
from test import _raw

# Filled by the lines of a few requests.
PIPE_BYTES = 4096
CALLERS = 10
REQUESTS_PER_CALLER = 10


class UnreadOutputTest(unittest.TestCase):
    """Two hosts, one of which writes its log to a pipe."""

    def setUp(self):
        self.stack = self.enterContext(contextlib.ExitStack())
        self.host = _front.System(self.stack, hosts=2).hosts[0]
        self.host.process.send_signal(signal.SIGTERM)
        self.host.process.wait(_front.GRACE_SECONDS)
        self.reader, writer = os.pipe()
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        self.host.start(output=writer)
        os.close(writer)

    def check_answers(self):
        """Checks that all requests get their answers, also during a stop."""
        _common.wait_until(self.host.ready, description="the host is ready")
        callers = [
            self.stack.enter_context(_raw.Connection(self.host.address))
            for _ in range(CALLERS)
        ]
        for number in range(REQUESTS_PER_CALLER):
            for caller in callers:
                caller.send(_front.request_bytes(f"/read/{number}"))
            for caller in callers:
                self.assertEqual(caller.read_answer().status, 200)
        for caller in callers:
            caller.send(_front.request_bytes("/read/last"))
        self.host.process.send_signal(signal.SIGTERM)
        for caller in callers:
            self.assertEqual(caller.read_answer().status, 200)
        self.assertEqual(self.host.process.wait(_front.GRACE_SECONDS), 0)

    # Guards against LOST: a task that logged waited for the reader of the pipe,
    # and its request with it.
    def test_full_pipe_delays_no_answer(self):
        self.stack.callback(os.close, self.reader)
        self.check_answers()

    def test_pipe_without_a_reader_delays_no_answer(self):
        os.close(self.reader)
        self.check_answers()


if __name__ == "__main__":
    unittest.main()

"""Tests of requests that outlast the grace period of a host.

The hosts are real processes.
"""

import contextlib
import signal
import unittest

from test import _common
from test import _front
from test import _raw

DEADLINE_MS = 20_000


class OutlastingRequestsTest(unittest.TestCase):
    """Three hosts, one of which stops."""

    # Guards against LOST: answers that upstreams had given long before waited
    # behind a request that took longer, and were cut off at the host's exit.
    def test_answers_behind_one_are_given_before_the_host_exits(self):
        stack = self.enterContext(contextlib.ExitStack())
        system = _front.System(stack)
        host = system.hosts[0]
        caller = stack.enter_context(_raw.Connection(host.address))
        caller.send(
            _front.request_bytes(
                "/long/wait", request_id="long", deadline_ms=DEADLINE_MS
            ),
            _front.request_bytes("/read/1", request_id="short-1"),
            _front.request_bytes("/write/1", request_id="short-2"),
        )
        _common.wait_until(lambda: len(system.runs()) == 3)
        host.process.send_signal(signal.SIGTERM)
        answers = [caller.read_answer() for _ in range(3)]
        self.assertEqual([each.status for each in answers], [502, 200, 200])
        self.assertEqual(
            [each.headers.get("request-id") for each in answers[1:]],
            ["short-1", "short-2"],
        )
        self.assertEqual(host.process.wait(_front.GRACE_SECONDS), 0)


if __name__ == "__main__":
    unittest.main()

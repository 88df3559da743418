"""Tests of what a host concludes from a request without an answer.

The host is a real process; its one upstream answers other requests at once.
"""

import contextlib
import threading
import time
import unittest

from test import _front

DEADLINE_MS = 1000
# Processing time of the request that reaches its deadline.
LONG_MS = 5000
PAUSE_SECONDS = 0.02
# Time for which other requests go on after that deadline.
AFTER_SECONDS = 1.0


class TimedOutRequestTest(unittest.TestCase):
    """One request reaches its deadline at an upstream with free slots."""

    # Guards against a host that takes one long request for a full upstream, and
    # refuses the others.
    def test_other_requests_are_served_after_it(self):
        stack = self.enterContext(contextlib.ExitStack())
        system = _front.System(stack, hosts=1, upstreams=1)
        host = system.hosts[0]
        long_statuses = []

        def call_long():
            answer = _front.call(
                host.address, f"/open/body-{LONG_MS}-1", deadline_ms=DEADLINE_MS
            )
            long_statuses.append(answer.status)

        caller = threading.Thread(target=call_long)
        caller.start()
        statuses = []
        ends_at = time.monotonic() + DEADLINE_MS / 1000 + AFTER_SECONDS
        while time.monotonic() < ends_at:
            answer = _front.call(host.address, "/open/body-5-1")
            statuses.append(answer.status)
            time.sleep(PAUSE_SECONDS)
        caller.join()
        self.assertEqual(long_statuses, [504])
        self.assertEqual(set(statuses), {200})


if __name__ == "__main__":
    unittest.main()

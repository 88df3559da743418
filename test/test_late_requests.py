"""Tests of requests that reach a host late in a planned stop.

The hosts are real processes; the upstreams answer long after the host has to
end.
"""

import contextlib
import signal
import time
import unittest

from test import _common
from test import _front
from test import _raw

# Time from SIGTERM to the late requests; the host still accepts some.
LATE_SECONDS = 2.4
DEADLINE_MS = 20_000


class LateRequestsTest(unittest.TestCase):
    """Three hosts, one of which stops."""

    # Guards against LOST: a request that may not be repeated was passed on late
    # in a planned stop, and cut off without an answer at its end.
    def test_one_that_may_not_be_repeated_is_refused_if_it_could_be_cut(self):
        stack = self.enterContext(contextlib.ExitStack())
        system = _front.System(stack)
        configuration = _front.configuration(2)
        configuration["routes"]["write"]["timeout"] = "600s"
        system.store.put("config", "main", configuration)
        time.sleep(2.5)
        host = system.hosts[0]
        before = _raw.Connection(host.address)
        with before:
            before.send(self.request("before"))
            _common.wait_until(lambda: any(e.runs for e in system.upstreams))
            host.process.send_signal(signal.SIGTERM)
            time.sleep(LATE_SECONDS)
            with _raw.Connection(host.address) as late:
                late.send(self.request("late"))
                answer = late.read_answer()
            self.assertEqual(answer.status, 503)
            # A short one still runs, and what runs already may end.
            short = _front.call(
                host.address, "/write/1", method="POST", deadline_ms=2000
            )
            self.assertEqual(short.status, 200)
            for upstream in system.upstreams:
                upstream.release.set()
            self.assertEqual(before.read_answer().status, 200)
        ran = [run for each in system.upstreams for run in each.runs]
        self.assertFalse([run for run in ran if "late" in str(run)])
        self.assertEqual(host.process.wait(_front.GRACE_SECONDS), 0)

    def request(self, request_id):
        return _front.request_bytes(
            "/write/wait",
            method="POST",
            request_id=request_id,
            deadline_ms=DEADLINE_MS,
        )


if __name__ == "__main__":
    unittest.main()

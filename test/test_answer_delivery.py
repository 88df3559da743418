"""Tests of answers that a caller reads slowly while it sends on.

The hosts are real processes. A caller behind a long trip has a small receive
window, so that most of an answer is still in the host's kernel when the host
has nothing left to send.
"""

import contextlib
import signal
import time
import unittest

from gooseberryweir.process.fleet import host_settings
from gooseberryweir.process.fleet import shutdown
from test import _front
from test import _raw
from test import _slow_caller

CALLERS = 4
# Behind a trip of 43 ms: one window each trip, and a request that was on its
# way when the answer began to arrive.
TRIP_SECONDS = 0.043
PACE = _slow_caller.Pace(8192, TRIP_SECONDS, 4096, 2 * TRIP_SECONDS)
# About 400 KB/s, pipelining on.
LARGE_PACE = _slow_caller.Pace(16384, 0.04, 32768, 0.1, 0.3)
# About 50 KB/s.
SIDE_PACE = _slow_caller.Pace(2048, TRIP_SECONDS, 4096, 0.1, 0.1)
LOOK_UPS = 200
METRICS_REQUESTS = 60
BODY_BYTES = 30_000
LARGE_BODY_BYTES = 900_000
# Time from SIGTERM to the requests of case 1, which the host still accepts.
REQUEST_SECONDS = 0.5


def stop_with_slow_callers(
    host, answer_seconds, body_bytes, pace, callers, address=None
):
    """Stops a host while callers wait for an answer.

    Args:
        host: Host that gets SIGTERM.
        answer_seconds: Time from SIGTERM to the answers.
        body_bytes: Size of an answer.
        pace: How the callers read and send.
        callers: Number of callers.
        address: Address to which they send, if not that for callers.

    Returns:
        The callers, which have ended.
    """
    host.process.send_signal(signal.SIGTERM)
    time.sleep(REQUEST_SECONDS)
    milliseconds = int((answer_seconds - REQUEST_SECONDS) * 1000)
    with contextlib.ExitStack() as stack:
        result = [
            stack.enter_context(
                _slow_caller.SlowCaller(
                    address or host.address,
                    [
                        _slow_caller.request(
                            milliseconds, body_bytes, f"slow-{number}"
                        )
                    ],
                    pace,
                )
            )
            for number in range(callers)
        ]
    return result


class AnswerDeliveryTest(unittest.TestCase):
    """Three hosts and callers with small receive buffers."""

    def setUp(self):
        stack = self.enterContext(contextlib.ExitStack())
        self.system = _front.System(stack)

    def assert_whole(self, callers):
        """Checks that each caller received all answers."""
        self.assertEqual(
            [each.end for each in callers],
            ["whole"] * len(callers),
            [len(each.received) for each in callers],
        )

    # Guards against LOST of issue 35: at the end of a planned stop, the process
    # ended before callers had the last answers.
    def test_last_answer_of_a_stop_reaches_a_caller_that_sends_on(self):
        host = self.system.hosts[0]
        callers = stop_with_slow_callers(host, 3.5, BODY_BYTES, PACE, CALLERS)
        self.assert_whole(callers)
        self.assertEqual(host.process.wait(_front.GRACE_SECONDS), 0)
        self.assertFalse(host.log_lines("event=answer-undelivered"))

    # Guards against the same for requests that another host forwarded.
    def test_last_answer_of_a_stop_reaches_a_host_that_forwarded(self):
        host = self.system.hosts[0]
        callers = stop_with_slow_callers(
            host, 3.5, BODY_BYTES, PACE, CALLERS, host.forward_address
        )
        self.assert_whole(callers)
        self.assertEqual(host.process.wait(_front.GRACE_SECONDS), 0)

    # Guards against the same for look-ups and metrics.
    def test_look_ups_and_metrics_are_delivered_when_a_host_stops(self):
        host = self.system.hosts[0]
        look_up = f"{_front.HOST_HEADER}&region=north&zone=north-a"
        metrics_address = f"{host.ip}:{host_settings.METRICS_PORT}"
        host.process.send_signal(signal.SIGTERM)
        time.sleep(shutdown.SERVE_AFTER_SIGTERM_SECONDS - 0.2)
        with contextlib.ExitStack() as stack:
            callers = [
                stack.enter_context(
                    _slow_caller.SlowCaller(
                        address,
                        [_raw.head("GET", target)] * count,
                        SIDE_PACE,
                    )
                )
                for address, target, count in (
                    (
                        host.directory_address,
                        f"/-/resolve?name={look_up}",
                        LOOK_UPS,
                    ),
                    (metrics_address, "/metrics", METRICS_REQUESTS),
                )
            ]
        self.assert_whole(callers)
        self.assertEqual(host.process.wait(_front.GRACE_SECONDS), 0)

    # Guards against LOST of issue 35: a connection that the host closes was
    # ended after a fixed time, with large answers still on their way.
    def test_pipelined_answers_reach_a_caller_that_sends_on_over_a_stop(self):
        host = self.system.hosts[0]
        requests = [
            _slow_caller.request(500, LARGE_BODY_BYTES, f"large-{number}")
            for number in range(2)
        ]
        with _slow_caller.SlowCaller(
            host.address, requests, LARGE_PACE
        ) as caller:
            time.sleep(0.3)
            host.process.send_signal(signal.SIGTERM)
        self.assert_whole([caller])

    # Guards against the same where an answer closes its connection in calm.
    def test_answer_that_closes_reaches_a_caller_that_sends_on(self):
        host = self.system.hosts[0]
        request = _slow_caller.request(
            0, LARGE_BODY_BYTES, "closing", Connection="close"
        )
        with _slow_caller.SlowCaller(
            host.address, [request], LARGE_PACE
        ) as caller:
            pass
        self.assert_whole([caller])


if __name__ == "__main__":
    unittest.main()

"""Tests of upstreams that send bytes without end, in a head or a body.

They send until the caller of the upstream, a host, closes the connection.
"""

import contextlib
import pathlib
import threading
import time
import unittest

from gooseberryweir.connection import byte_budget
from gooseberryweir.connection import http_messages
from test import _common
from test import _front

# Memory of the smallest hosts of the platform.
HOST_MEMORY_BYTES = 200_000_000
# Requests at the same time, which at 16 MiB each would exceed that memory.
CONCURRENT_REQUESTS = 48
# The routes' timeout, and the time after it within which the platform wants an
# answer; the rest allows for 48 connections at full speed on one core.
TIMEOUT_SECONDS = 2.0
MAX_LATE_SECONDS = 0.5
KINDS = ("endless-head", "endless-line", "endless-body")


def peak_memory(process):
    """Returns the largest memory of a process so far, in bytes."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    (line,) = [each for each in status.splitlines() if each.startswith("VmHWM")]
    return int(line.split()[1]) * 1024


class EndlessAnswersTest(unittest.TestCase):
    """A host whose upstreams answer some requests without end."""

    def setUp(self):
        stack = self.enterContext(contextlib.ExitStack())
        self.system = _front.System(stack, hosts=1, upstreams=2)
        self.host = self.system.hosts[0]

    def call_concurrently(self, kind):
        """Returns the status and duration of requests sent at the same time."""
        outcomes = []

        def call(number):
            started_at = time.monotonic()
            answer = _front.call(
                self.host.address,
                f"/read/{number}/{kind}",
                request_id=f"{kind}-{number}",
                Affinity_Key=str(number),
            )
            outcomes.append((answer.status, time.monotonic() - started_at))

        threads = [
            threading.Thread(target=call, args=(number,))
            for number in range(CONCURRENT_REQUESTS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return outcomes

    # Guards against a host that runs out of memory, as one answer alone may
    # have been as large as all of it.
    def test_answers_without_end_keep_memory_and_time_bounded(self):
        for kind in KINDS:
            outcomes = self.call_concurrently(kind)
            self.assertEqual(len(outcomes), CONCURRENT_REQUESTS)
            self.assertNotIn(200, [status for status, _ in outcomes])
            self.assertLess(
                max(seconds for _, seconds in outcomes),
                TIMEOUT_SECONDS + MAX_LATE_SECONDS,
                kind,
            )
            self.assertLess(
                peak_memory(self.host.process), HOST_MEMORY_BYTES, kind
            )
        _common.wait_until(
            lambda: _front.call(self.host.address, "/read/1").status == 200,
            description="sound answers are delivered again",
        )


class ByteBudgetTest(unittest.TestCase):
    """Which answer is given up if too many bytes are being received."""

    def test_largest_answer_is_given_up_for_the_others(self):
        budget = byte_budget.ByteBudget(100, 150)
        aborted = []
        with contextlib.ExitStack() as stack:
            small, large = (
                stack.enter_context(budget.open(lambda n=n: aborted.append(n)))
                for n in ("small", "large")
            )
            budget.add(small, 60)
            budget.add(large, 80)
            budget.add(small, 15)
            self.assertEqual(aborted, ["large"])
            with self.assertRaises(byte_budget.TooManyBytesError):
                budget.add(large, 1)
            with self.assertRaises(byte_budget.TooManyBytesError):
                budget.add(small, 30)
        self.assertEqual((budget.total, budget.shares), (0, set()))

    def test_line_without_end_in_a_head_is_refused(self):
        for reader in (
            http_messages.AnswerReader(1000, 1000, "GET"),
            http_messages.RequestReader(1000, 1000),
        ):
            start = (
                b"HTTP/1.1 200 OK\r\nX: "
                if isinstance(reader, http_messages.AnswerReader)
                else b"GET / HTTP/1.1\r\nX: "
            )
            reader.feed(start)
            with self.assertRaises(http_messages.MessageError):
                for _ in range(100):
                    reader.feed(b"x" * 1000)


if __name__ == "__main__":
    unittest.main()

"""Tests of the request rates that upstreams name, with nine real hosts.

The platform's rule: in any window of `WINDOW_SECONDS` that ends later than
`SETTLE_SECONDS` after an upstream first named a limit, it gets at most one and
a half times what the limit allows and `MARGIN_REQUESTS` more. Requests of a
host count from `TOLD_SECONDS` after it first passed on an answer with the
limit.
"""

import contextlib
import itertools
import random
import threading
import time
import unittest

from test import _common
from test import _front
from test import _raw

WINDOW_SECONDS = 4.0
SETTLE_SECONDS = 3.0
TOLD_SECONDS = 0.5
LIMIT_FACTOR = 1.5
MARGIN_REQUESTS = 5
LIMIT_HEADER = "Server-Limit"
HOSTS = 9
UPSTREAMS = 6
CALLERS = 20
REQUESTS_PER_SECOND = 110
OBJECTS = 300


class Load:
    """Callers that send requests to all hosts; a context manager.

    Attributes:
        told_at: Time of the first answer with a limit, by host and upstream.
        statuses: Status and time of each answer.
    """

    def __init__(self, system):
        self.system = system
        self.told_at = {}
        self.statuses = []
        self.ended = threading.Event()
        self.threads = [
            threading.Thread(target=self.call_forever, args=(number,))
            for number in range(CALLERS)
        ]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.ended.set()
        for thread in self.threads:
            thread.join()

    def call_forever(self, number):
        rng = random.Random(number)
        with contextlib.ExitStack() as stack:
            connections = {}
            for count in itertools.count():
                if self.ended.wait(CALLERS / REQUESTS_PER_SECOND):
                    return
                index = (number + count) % HOSTS
                host = self.system.hosts[index]
                if index not in connections:
                    connections[index] = stack.enter_context(
                        _raw.Connection(host.address)
                    )
                self.call(
                    connections[index],
                    host.name,
                    f"{host.name}.{number}.{count}",
                    rng,
                )

    def call(self, connection, host_name, request_id, rng):
        connection.send(
            _front.request_bytes(
                "/read/x",
                request_id=request_id,
                Affinity_Key=str(rng.randrange(OBJECTS)),
            )
        )
        answer = connection.read_answer()
        now = time.monotonic()
        self.statuses.append((answer.status, now))
        if LIMIT_HEADER.lower() in answer.headers:
            upstream = answer.headers["server-stamp"]
            self.told_at.setdefault((host_name, upstream), now)

    def counted_runs(self, upstream):
        """Returns the times of the requests of hosts that knew the limit."""
        return sorted(
            run.at
            for run in list(upstream.runs)
            if run.at
            >= self.told_at.get(
                (run.request_id.partition(".")[0], upstream.name), float("inf")
            )
            + TOLD_SECONDS
        )

    def most_in_window(self, upstream, named_at):
        """Returns the most counted requests in a window that the rule binds."""
        times = self.counted_runs(upstream)
        return max(
            (
                sum(1 for each in times if end - WINDOW_SECONDS < each <= end)
                for end in times
                if end >= named_at + SETTLE_SECONDS
            ),
            default=0,
        )

    def served_fraction(self, since):
        statuses = [status for status, at in self.statuses if at >= since]
        return statuses.count(200) / len(statuses)


def allowed(limit):
    """Returns the most requests that the rule allows in a window."""
    return LIMIT_FACTOR * limit * WINDOW_SECONDS + MARGIN_REQUESTS


class UpstreamLimitTest(unittest.TestCase):
    """Nine hosts and six upstreams, of which some name a limit."""

    def setUp(self):
        stack = self.enterContext(contextlib.ExitStack())
        self.system = _front.System(stack, hosts=HOSTS, upstreams=UPSTREAMS)
        self.load = stack.enter_context(Load(self.system))
        time.sleep(1.0)

    def name_limit(self, upstream, *values):
        upstream.answer_headers = [(LIMIT_HEADER, each) for each in values]
        return time.monotonic()

    # Guards against LIMIT of issue 20: 114 requests in 4 s where 33 are
    # allowed, since hosts did not read the limits that upstreams name.
    def test_upstream_gets_no_more_requests_than_the_limit_it_names(self):
        slow, other, *free = self.system.upstreams
        named_at = self.name_limit(slow, "4.7")
        self.name_limit(other, "9.8")
        time.sleep(9.0)
        for upstream, limit in ((slow, 4.7), (other, 9.8)):
            self.assertLessEqual(
                self.load.most_in_window(upstream, named_at), allowed(limit)
            )
            # The upstream is not left without requests either.
            recent = [r for r in upstream.runs if r.at >= named_at + 4.0]
            self.assertGreater(len(recent), limit * 5.0 / 2)
        # The other upstreams take the rest.
        self.assertGreater(self.load.served_fraction(named_at + 1.0), 0.99)
        self.assert_used_again(slow)

    def assert_used_again(self, upstream):
        """Checks that an upstream that names no limit any more is used."""
        upstream.answer_headers = ()
        lifted_at = time.monotonic()
        _common.wait_until(
            lambda: (
                len([r for r in upstream.runs if r.at >= lifted_at + 1.0]) > 40
            ),
            timeout=8.0,
            description="the upstream is used as before",
        )


if __name__ == "__main__":
    unittest.main()

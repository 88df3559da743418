"""Tests of upstreams that leave or name a time, with nine real hosts.

The platform's rules, counted by host: a request that its caller sent later than
`DRAIN_SECONDS` after the host passed on an answer with `Server-Leaving` does
not reach that upstream; and at most two requests reach an upstream between half
a second after it answered 503 with `Retry-After` and the end of that time.
"""

import collections
import contextlib
import itertools
import random
import signal
import threading
import time
import unittest

from test import _common
from test import _front
from test import _raw

HOSTS = 9
UPSTREAMS = 6
CALLERS = 20
REQUESTS_PER_SECOND = 110
OBJECTS = 300
PAUSE_SECONDS = 3.0
REACTION_SECONDS = 0.5
ALLOWED_REQUESTS = 2


class Load:
    """Callers that send requests to hosts in turn; a context manager.

    Attributes:
        leaving_at: Time of the first answer that says that the upstream leaves,
            by host and upstream.
        answers: Time, status and Retry-After of each answer.
    """

    def __init__(self, hosts):
        self.hosts = hosts
        self.leaving_at = {}
        self.answers = []
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
        for count in itertools.count():
            if self.ended.wait(CALLERS / REQUESTS_PER_SECOND):
                return
            host = self.hosts[(number + count) % len(self.hosts)]
            with contextlib.suppress(OSError, AssertionError):
                # A host of the test may just be restarting.
                self.call(host, f"{host.name}.{number}.{count}", rng)

    def call(self, host, request_id, rng):
        with _raw.Connection(host.address) as connection:
            connection.send(
                _front.request_bytes(
                    "/read/x",
                    request_id=request_id,
                    Affinity_Key=str(rng.randrange(OBJECTS)),
                )
            )
            answer = connection.read_answer()
        now = time.monotonic()
        retry_after = float(answer.headers.get("retry-after", "0"))
        self.answers.append((now, answer.status, retry_after))
        if "server-leaving" in answer.headers:
            upstream = answer.headers["server-stamp"]
            self.leaving_at.setdefault((host.name, upstream), now)

    def since(self, start):
        """Returns status and Retry-After of the answers after a time."""
        return [each[1:] for each in self.answers if each[0] >= start]


def host_name(request_id):
    return request_id.partition(".")[0]


def late_runs(load, upstream, seconds):
    """Returns requests sent some time after their host had been told."""
    return [
        run
        for run in list(upstream.runs)
        if run.at
        > load.leaving_at.get(
            (host_name(run.request_id), upstream.name), float("inf")
        )
        + seconds
    ]


class UpstreamSignalsTest(unittest.TestCase):
    """Nine hosts and six upstreams, of which some leave or name a time."""

    def setUp(self):
        stack = self.enterContext(contextlib.ExitStack())
        self.system = _front.System(stack, hosts=HOSTS, upstreams=UPSTREAMS)
        self.load = stack.enter_context(Load(self.system.hosts))
        time.sleep(1.0)

    def turned_away_in_a_pause(self, upstream, restarted=None, since=0.0):
        """Returns the most requests of one host inside one named time.

        Args:
            upstream: The upstream that names the time.
            restarted: Name of a host that knows nothing of earlier times.
            since: Monotonic time, in seconds, of its restart.
        """
        by_host = collections.defaultdict(list)
        for request_id, at in list(upstream.turned_away):
            name = host_name(request_id)
            if name != restarted or at >= since:
                by_host[name].append(at)
        return max(
            sum(
                1
                for each in times
                if start + REACTION_SECONDS < each < start + PAUSE_SECONDS
            )
            for times in by_host.values()
            for start in times
        )

    def test_host_sends_nothing_more_to_an_upstream_that_says_it_leaves(self):
        leaving, *others = self.system.upstreams
        # The store lists it as ready all the time.
        leaving.answer_headers = [("Server-Leaving", "1")]
        time.sleep(_front.DRAIN_SECONDS + 1.5)
        told = {host for host, _ in self.load.leaving_at}
        self.assertGreaterEqual(len(told), HOSTS // 2)
        # One answer may be on its way while the next request is sent.
        self.assertEqual(late_runs(self.load, leaving, REACTION_SECONDS), [])
        self.assertTrue(all(each.runs for each in others))
        # A host that restarts learns it again from the first answer.
        host = self.system.hosts[0]
        host.process.send_signal(signal.SIGKILL)
        host.process.wait()
        self.load.leaving_at.pop((host.name, leaving.name), None)
        host.start()
        _common.wait_until(host.ready, description="the host is ready again")
        time.sleep(_front.DRAIN_SECONDS)
        self.assertEqual(late_runs(self.load, leaving, REACTION_SECONDS), [])

    def test_upstream_gets_nothing_from_a_host_for_the_time_it_names(self):
        busy, *_ = self.system.upstreams
        began_at = time.monotonic()
        busy.pause_seconds = PAUSE_SECONDS
        time.sleep(2 * PAUSE_SECONDS + 0.5)
        self.assertLessEqual(
            self.turned_away_in_a_pause(busy), ALLOWED_REQUESTS
        )
        # The others take its requests, and it is asked again at the end.
        statuses = [status for status, _ in self.load.since(began_at)]
        self.assertGreater(statuses.count(200) / len(statuses), 0.98)
        hosts = {host_name(request_id) for request_id, _ in busy.turned_away}
        self.assertGreater(len(busy.turned_away), len(hosts))

    def test_host_that_restarts_inside_the_time_learns_it_anew(self):
        busy, *_ = self.system.upstreams
        busy.pause_seconds = PAUSE_SECONDS
        time.sleep(1.0)
        host = self.system.hosts[0]
        host.process.send_signal(signal.SIGKILL)
        host.process.wait()
        restarted_at = time.monotonic()
        host.start()
        _common.wait_until(host.ready, description="the host is ready again")
        time.sleep(PAUSE_SECONDS)
        self.assertLessEqual(
            self.turned_away_in_a_pause(busy, host.name, restarted_at),
            ALLOWED_REQUESTS,
        )

    def test_callers_learn_when_the_first_of_all_paused_upstreams_is_back(self):
        for upstream in self.system.upstreams:
            upstream.pause_seconds = PAUSE_SECONDS
        began_at = time.monotonic()
        time.sleep(PAUSE_SECONDS + 2.0)
        for upstream in self.system.upstreams:
            self.assertLessEqual(
                self.turned_away_in_a_pause(upstream), ALLOWED_REQUESTS
            )
        refused = self.load.since(began_at + 1.0)
        self.assertEqual({status for status, _ in refused}, {503})
        times = [retry_after for _, retry_after in refused]
        self.assertLessEqual(max(times), PAUSE_SECONDS + 1.0)
        # Callers do not return all at once.
        self.assertGreater(len(set(times)), len(times) // 10)


class CutHostTest(unittest.TestCase):
    """A host that reaches no upstream gets its answers through other hosts."""

    def test_host_that_forwarded_a_request_learns_that_the_upstream_leaves(
        self,
    ):
        stack = self.enterContext(contextlib.ExitStack())
        system = _front.System(stack, hosts=3, upstreams=4, proxied=True)
        # The other hosts get forwarded requests only, so the first answer that
        # says so goes to the cut host.
        load = stack.enter_context(Load(system.hosts[:1]))
        cut, leaving = system.hosts[0], system.upstreams[0]
        system.set_faults([cut], cut=True)
        _common.wait_until(
            lambda: cut.log_lines("event=upstreams-unreachable"),
            description="the host knows that it is cut off",
        )
        leaving.answer_headers = [("Server-Leaving", "1")]
        _common.wait_until(
            lambda: cut.log_lines("event=upstream-leaving"),
            description="another host told it that the upstream leaves",
        )
        system.set_faults([cut])
        _common.wait_until(
            lambda: cut.log_lines("event=upstreams-reachable"),
            description="the host reaches upstreams again",
        )
        time.sleep(_front.DRAIN_SECONDS)
        self.assertEqual(late_runs(load, leaving, REACTION_SECONDS), [])


if __name__ == "__main__":
    unittest.main()

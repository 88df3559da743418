"""Tests that hosts refuse a request that crashes each upstream that runs it."""

import concurrent.futures
import itertools
import time
import unittest

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.shares import suspects
from test import _deployments
from test import _load

CRASHING_TARGET = "/contracts?crash=1"
# Ends the upstream amid its answer.
EXITING_TARGET = "/contracts?exit=1&bytes=200000"
CRASH_LIMIT = 2
REQUESTS_PER_HOST = 4
# Each region may run the request once before the first crash is known; then the
# declared limit holds.
MAX_ENDED_UPSTREAMS = CRASH_LIMIT + len(_deployments.REGIONS) - 1


class CrashingTest(unittest.TestCase):
    """Number of upstreams that a crashing request ends, and answers to others.

    Hosts and upstreams are real processes. The request is sent to all hosts at
    once, to one after another, or beside other requests.
    """

    def start(self, hosts=9, upstreams=12):
        self.running = self.enterContext(
            _deployments.deployment(hosts, upstreams, 4)
        )
        _deployments.wait_serving(self.running)
        self.host_names = list(self.running.host_specs)

    def count_ended(self):
        """Returns the number of upstreams that have ended."""
        return sum(
            not process.alive() for process in self.running.upstreams.values()
        )

    def send_crashing(self, host, target=CRASHING_TARGET):
        """Sends a request that crashes upstreams to a host."""
        stream = _load.Stream("ada", 1.0, lambda number: host, target)
        return _load.send(self.running, host, stream)

    def test_a_crashing_request_to_all_hosts_at_once_ends_few_upstreams(self):
        self.start()
        with concurrent.futures.ThreadPoolExecutor(27) as pool:
            calls = [
                pool.submit(self.send_crashing, name)
                for _, name in itertools.product(
                    range(REQUESTS_PER_HOST), self.host_names
                )
            ]
            results = [call.result() for call in calls]
        self.assertLessEqual(self.count_ended(), MAX_ENDED_UPSTREAMS)
        for name in self.host_names:
            # A host that got no CPU time for seconds may refuse requests as
            # stale, which can be retried, until its state is fresh again.
            answer = self.send_crashing(name)
            while answer.code == codes.Code.HOST_STALE:
                time.sleep(0.2)
                answer = self.send_crashing(name)
            self.assertEqual(answer.code, codes.Code.SUSPECT_REQUEST)
        self.assertNotIn(200, {result.status for result in results})
        self.assertLessEqual(self.count_ended(), MAX_ENDED_UPSTREAMS)

    def test_a_crashing_request_to_host_after_host_ends_few_upstreams(self):
        self.start(3, 6)
        for name in itertools.islice(itertools.cycle(self.host_names), 9):
            self.send_crashing(name)
        self.assertLessEqual(self.count_ended(), CRASH_LIMIT)

    # Guards against a request that ends upstreams amid their answers and is
    # sent on and on, since the head of each answer counts as a success.
    def test_a_request_that_ends_upstreams_amid_answers_is_refused(self):
        self.start(3, 6)
        for name in itertools.islice(itertools.cycle(self.host_names), 9):
            self.send_crashing(name, EXITING_TARGET)
        self.assertLessEqual(self.count_ended(), CRASH_LIMIT)

    def test_requests_in_flight_are_served_and_not_suspected(self):
        self.start(3, 6)
        slow = "/contracts?sleep_ms=1000"
        streams = [
            _load.Stream(
                "ben",
                2.0,
                lambda number: self.host_names[number % 3],
                f"{slow}&bytes={size}",
            )
            for size in (10, 20)
        ]

        def crash_twice():
            time.sleep(1.5)
            self.send_crashing(self.host_names[0])
            self.send_crashing(self.host_names[1])

        results = _load.run(self.running, streams, 4.0, faults=crash_twice)
        self.assertGreaterEqual(self.count_ended(), 1)
        self.assertEqual({result.status for result in results}, {200})


class PermitsStandIn:
    """Stand-in for `Permits` that grants each request for a permit at once.

    A host needs a permit to run a request that may crash an upstream.
    """

    def acquire(self, fingerprint, fleet_wide, timeout):
        return True

    def release(self, fingerprint, fleet_wide):
        pass


class SuspectsTest(unittest.TestCase):
    """Crashes that one host counts for a request, with a manual clock.

    Each crash is a fact (an entry that all hosts replicate). Two hosts see the
    same crash, the request is answered, or an hour passes.
    """

    def setUp(self):
        self.clock = clocks.ManualClock(1_000_000.0)
        self.facts = facts_module.Facts()
        self.suspects = suspects.Suspects(
            self.facts, self.clock.interface(), PermitsStandIn()
        )

    def test_one_crash_seen_by_two_hosts_counts_once(self):
        wall_ms = int(self.clock.now * 1000)
        for crash_ms in (wall_ms, wall_ms + 300):
            self.facts.add(f"crash/f/u1/{crash_ms}", crash_ms)
        self.assertEqual(self.suspects.crash_count("f"), 1)
        self.clock.advance(10)
        self.suspects.record_crash("f", "u1")
        self.suspects.record_crash("f", "u2")
        self.assertEqual(self.suspects.crash_count("f"), 3)

    def test_success_clears_and_crashes_expire_after_an_hour(self):
        self.suspects.record_crash("f", "u1")
        self.clock.advance(1)
        self.suspects.record_success("f")
        self.assertEqual(self.suspects.crash_count("f"), 0)
        self.suspects.record_crash("g", "u1")
        self.clock.advance(3601)
        self.assertEqual(self.suspects.crash_count("g"), 0)

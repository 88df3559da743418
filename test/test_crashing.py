"""A request that ends each upstream that runs it is stopped by the fleet."""

import concurrent.futures
import itertools
import time
import unittest

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.shares import suspects
from test import _declared
from test import _load

CRASH = "/contracts?crash=1"
CRASH_LIMIT = 2
ROUNDS = 4
# One run in each region before the first crash is known, then as declared.
LOST_LIMIT = CRASH_LIMIT + len(_declared.REGIONS) - 1


class CrashingTest(unittest.TestCase):
    """Real hosts and upstreams; those that ended are counted."""

    def start(self, hosts=9, upstreams=12):
        self.running = self.enterContext(
            _declared.deployment(hosts, upstreams, 4)
        )
        _declared.wait_serving(self.running)
        self.names = list(self.running.host_specs)

    def lost(self):
        return sum(not each.alive() for each in self.running.upstreams.values())

    def crash(self, host):
        stream = _load.Stream("ada", 1.0, lambda number: host, CRASH)
        return _load.send(self.running, host, stream)

    def test_sent_over_and_over_to_all_hosts_at_once(self):
        self.start()
        with concurrent.futures.ThreadPoolExecutor(27) as pool:
            calls = [
                pool.submit(self.crash, name)
                for _, name in itertools.product(range(ROUNDS), self.names)
            ]
            seen = [call.result() for call in calls]
        self.assertLessEqual(self.lost(), LOST_LIMIT)
        for name in self.names:
            # A host that got no processor for seconds may say that it is stale
            # (not run, come back) before it says what it knows.
            told = self.crash(name)
            while told.code == codes.Code.HOST_STALE:
                time.sleep(0.2)
                told = self.crash(name)
            self.assertEqual(told.code, codes.Code.SUSPECT_REQUEST)
        self.assertNotIn(200, {each.status for each in seen})
        self.assertLessEqual(self.lost(), LOST_LIMIT)

    def test_sent_again_by_its_caller_to_one_host_after_another(self):
        self.start(3, 6)
        for name in itertools.islice(itertools.cycle(self.names), 9):
            self.crash(name)
        self.assertLessEqual(self.lost(), CRASH_LIMIT)

    def test_bystanders_are_served_and_not_condemned(self):
        self.start(3, 6)
        slow = "/contracts?sleep_ms=1000"
        streams = [
            _load.Stream(
                "ben",
                2.0,
                lambda number: self.names[number % 3],
                f"{slow}&bytes={size}",
            )
            for size in (10, 20)
        ]

        def crash_twice():
            time.sleep(1.5)
            self.crash(self.names[0])
            self.crash(self.names[1])

        seen = _load.run(self.running, streams, 4.0, faults=crash_twice)
        self.assertGreaterEqual(self.lost(), 1)
        self.assertEqual({each.status for each in seen}, {200})


class AlwaysPermits:
    """Stands in for the permits of the fleet."""

    def acquire(self, fingerprint, fleet_wide, timeout):
        return True

    def release(self, fingerprint, fleet_wide):
        pass


class SuspectsTest(unittest.TestCase):
    """The count alone, with a clock passed in."""

    def setUp(self):
        self.clock = clocks.ManualClock(1_000_000.0)
        self.facts = facts_module.Facts()
        self.suspects = suspects.Suspects(
            self.facts, self.clock.interface(), AlwaysPermits()
        )

    def test_one_crash_seen_by_two_hosts_counts_once(self):
        at = int(self.clock.now * 1000)
        for moment in (at, at + 300):
            self.facts.add(f"crash/f/u1/{moment}", moment)
        self.assertEqual(self.suspects.crash_count("f"), 1)
        self.clock.advance(10)
        self.suspects.record_crash("f", "u1")
        self.suspects.record_crash("f", "u2")
        self.assertEqual(self.suspects.crash_count("f"), 3)

    def test_a_success_clears_and_an_hour_forgets(self):
        self.suspects.record_crash("f", "u1")
        self.clock.advance(1)
        self.suspects.record_success("f")
        self.assertEqual(self.suspects.crash_count("f"), 0)
        self.suspects.record_crash("g", "u1")
        self.clock.advance(3601)
        self.assertEqual(self.suspects.crash_count("g"), 0)

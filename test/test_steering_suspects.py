"""Requests that end each upstream that runs them, over all hosts.

Pattern: a circuit breaker for one request, shared by gossip.
"""

import unittest

from gooseberryweir import clock as clocks
from gooseberryweir.request.steering import suspects

HOSTS = tuple(f"h{number}" for number in range(9))


class Fleet:
    """Hosts that hear each other's last beat."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.beats = {name: {} for name in HOSTS}
        self.hosts = {
            name: suspects.Suspects(
                name,
                lambda: HOSTS,
                lambda name=name: [
                    told for other, told in self.beats.items() if other != name
                ],
                self.clock.interface().monotonic,
            )
            for name in HOSTS
        }

    def beat(self):
        """Lets each host tell all others."""
        for name, host in self.hosts.items():
            self.beats[name] = host.told()
            for other in self.hosts.values():
                if other is not host:
                    other.forgive(host.answered())

    def crash(self, name, host, start):
        self.hosts[host].crashed(name, start)
        self.beat()

    def may_run(self, name):
        """Returns the hosts that would run a request now."""
        return [host for host in HOSTS if self.hosts[host].wait(name) == 0.0]


class SuspectsTest(unittest.TestCase):
    """A request that ends upstreams is stopped by the whole fleet."""

    def setUp(self):
        self.fleet = Fleet()

    def condemn(self, name="f"):
        for host, start in (("h1", "u1/1"), ("h2", "u2/1"), ("h3", "u3/1")):
            self.assertEqual(len(self.fleet.may_run(name)), len(HOSTS))
            self.fleet.crash(name, host, start)

    def test_after_the_third_crash_no_host_runs_it(self):
        self.condemn()
        self.assertEqual(self.fleet.may_run("f"), [])
        self.assertGreater(self.fleet.hosts["h5"].wait("f"), 0.0)

    def test_others_run_on(self):
        self.condemn()
        self.assertEqual(len(self.fleet.may_run("g")), len(HOSTS))

    def test_at_most_three_tries_in_a_minute_over_all_hosts(self):
        self.condemn()
        tries = 0
        for _ in range(600):
            self.fleet.clock.advance(0.1)
            for host in self.fleet.may_run("f"):
                tries += 1
                self.fleet.crash("f", host, f"u{tries}/2")
        self.assertLessEqual(tries, 3)
        self.assertGreaterEqual(tries, 1)

    def test_one_answer_clears_it_on_all_hosts(self):
        self.condemn()
        self.fleet.hosts["h7"].succeeded("f")
        self.fleet.beat()
        self.fleet.beat()
        self.assertEqual(len(self.fleet.may_run("f")), len(HOSTS))
        self.assertFalse(
            any(each.exist() for each in self.fleet.hosts.values())
        )

    def test_one_crash_seen_by_many_hosts_counts_once(self):
        for host in HOSTS:
            self.fleet.crash("f", host, "u1/1")
        self.assertEqual(len(self.fleet.may_run("f")), len(HOSTS))

    def test_beats_and_memory_stay_small(self):
        host = self.fleet.hosts["h1"]
        for number in range(5000):
            host.crashed(f"f{number}", "u1/1")
        self.assertLessEqual(len(host.own), suspects.MAX_SUSPECTS)
        self.assertLessEqual(len(host.told()), suspects.MAX_TOLD)

    def test_a_suspect_that_does_not_come_again_is_forgotten(self):
        self.condemn()
        self.fleet.clock.advance(suspects.FORGET_SECONDS + 1)
        self.fleet.beat()
        self.assertEqual(len(self.fleet.may_run("f")), len(HOSTS))


if __name__ == "__main__":
    unittest.main()

"""Tests that all hosts refuse a request that crashes upstreams.

Pattern: a circuit breaker for one request, shared by gossip.
"""

import unittest

from gooseberryweir import clock as clocks
from gooseberryweir.request.steering import suspects

HOSTS = tuple(f"h{number}" for number in range(9))


class Fleet:
    """Suspect trackers of hosts that exchange heartbeats.

    A suspect is a request that may have crashed an upstream. A fingerprint
    identifies a request and its retries.
    """

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.heartbeats = {name: {} for name in HOSTS}
        self.hosts = {name: self.new_tracker(name) for name in HOSTS}
        self.restarted = set()

    def new_tracker(self, host):
        return suspects.SuspectTracker(
            host,
            lambda _: HOSTS,
            lambda: [
                crashes
                for other, crashes in self.heartbeats.items()
                if other != host
            ],
            self.clock.interface().monotonic,
        )

    def restart(self, host):
        """Restarts a host, which then sends its first heartbeat."""
        self.hosts[host] = self.new_tracker(host)
        self.restarted.add(host)
        self.exchange_heartbeats()

    def exchange_heartbeats(self):
        """Sends the heartbeat of each host to all others."""
        for name, host in self.hosts.items():
            old_crashes = self.heartbeats[name]
            self.heartbeats[name] = host.recent_crashes()
            if name in self.restarted:
                self.restarted.discard(name)
                for other in self.hosts.values():
                    if other is not host:
                        other.adopt(old_crashes)
            for other in self.hosts.values():
                if other is not host:
                    other.clear(host.recently_cleared())

    def record_crash(self, fingerprint, host, incarnation):
        self.hosts[host].record_crash(fingerprint, incarnation)
        self.exchange_heartbeats()

    def hosts_that_run(self, fingerprint):
        """Returns the hosts that would run a request now."""
        return [
            host
            for host in HOSTS
            if self.hosts[host].begin_attempt(fingerprint) == 0.0
        ]


class SuspectTrackerTest(unittest.TestCase):
    """When nine hosts refuse a suspect, try it again, and clear it."""

    def setUp(self):
        self.fleet = Fleet()

    def crash_three_upstreams(self, fingerprint="f"):
        for host, incarnation in (
            ("h1", "u1/1"),
            ("h2", "u2/1"),
            ("h3", "u3/1"),
        ):
            self.assertEqual(
                len(self.fleet.hosts_that_run(fingerprint)), len(HOSTS)
            )
            self.fleet.record_crash(fingerprint, host, incarnation)

    def test_withdrawn_crashes_count_at_no_host(self):
        host = self.fleet.hosts["h1"]
        host.record_crash("f", "u1/1")
        cut_at = host.now() + 1.0
        self.fleet.clock.advance(1.0)
        for incarnation in ("u2/1", "u3/1", "u4/1"):
            host.record_crash("f", incarnation)
        self.fleet.exchange_heartbeats()
        self.assertEqual(self.fleet.hosts_that_run("f"), [])
        host.withdraw_crashes(cut_at)
        self.fleet.exchange_heartbeats()
        self.assertEqual(len(self.fleet.hosts_that_run("f")), len(HOSTS))
        self.assertEqual(host.recent_crashes(), {"f": ("u1/1",)})

    def test_after_the_third_crash_no_host_runs_the_request(self):
        self.crash_three_upstreams()
        self.assertEqual(self.fleet.hosts_that_run("f"), [])
        self.assertGreater(self.fleet.hosts["h5"].retry_delay("f"), 0.0)

    def test_requests_other_than_the_suspect_run(self):
        self.crash_three_upstreams()
        self.assertEqual(len(self.fleet.hosts_that_run("g")), len(HOSTS))

    def test_all_hosts_retry_a_suspect_at_most_three_times_in_a_minute(self):
        self.crash_three_upstreams()
        retries = 0
        for _ in range(600):
            self.fleet.clock.advance(0.1)
            for host in self.fleet.hosts_that_run("f"):
                retries += 1
                self.fleet.record_crash("f", host, f"u{retries}/2")
        self.assertLessEqual(retries, 3)
        self.assertGreaterEqual(retries, 1)

    # Guards against BUDGET of review/5: restarts of all hosts in turn made the
    # fleet forget a request that crashes upstreams.
    def test_restarts_in_turn_allow_no_further_retries(self):
        self.crash_three_upstreams()
        retries = 0
        for step in range(1200):
            self.fleet.clock.advance(0.1)
            if step % 40 == 39:
                self.fleet.restart(HOSTS[step // 40 % len(HOSTS)])
            for host in self.fleet.hosts_that_run("f"):
                retries += 1
                self.fleet.record_crash("f", host, f"u{retries}/2")
            self.fleet.exchange_heartbeats()
        self.assertLessEqual(retries, suspects.MAX_TRIALS)
        self.assertGreaterEqual(retries, 1)

    def test_a_trial_that_no_upstream_ran_does_not_count(self):
        self.crash_three_upstreams()
        trials = 0
        for _ in range(600):
            self.fleet.clock.advance(0.1)
            for host in self.fleet.hosts_that_run("f"):
                trials += 1
                self.fleet.hosts[host].end_unexecuted("f")
            self.fleet.exchange_heartbeats()
        self.assertGreater(trials, suspects.MAX_TRIALS)

    # Guards against crashes that count again since a host that is down reported
    # them last.
    def test_an_answer_clears_what_a_host_that_is_down_reported(self):
        self.crash_three_upstreams()
        lost = self.fleet.heartbeats["h1"]
        self.fleet.hosts["h7"].record_success("f")
        self.fleet.exchange_heartbeats()
        self.fleet.exchange_heartbeats()
        self.fleet.heartbeats["h1"] = lost
        self.fleet.hosts["h2"].adopt(lost)
        self.fleet.record_crash("f", "h3", "u8/1")
        self.fleet.record_crash("f", "h3", "u9/1")
        running = set(HOSTS) - {"h1"}
        self.assertLessEqual(running, set(self.fleet.hosts_that_run("f")))

    def test_one_answer_clears_the_suspect_on_all_hosts(self):
        self.crash_three_upstreams()
        self.fleet.hosts["h7"].record_success("f")
        self.fleet.exchange_heartbeats()
        self.fleet.exchange_heartbeats()
        self.assertEqual(len(self.fleet.hosts_that_run("f")), len(HOSTS))
        self.assertFalse(
            any(each.any_suspects() for each in self.fleet.hosts.values())
        )

    def test_one_crash_seen_by_many_hosts_counts_once(self):
        for host in HOSTS:
            self.fleet.record_crash("f", host, "u1/1")
        self.assertEqual(len(self.fleet.hosts_that_run("f")), len(HOSTS))

    def test_heartbeats_and_memory_are_bounded(self):
        host = self.fleet.hosts["h1"]
        for number in range(5000):
            host.record_crash(f"f{number}", "u1/1")
        self.assertLessEqual(len(host.own_crashes), suspects.MAX_SUSPECTS)
        self.assertLessEqual(
            len(host.recent_crashes()), suspects.MAX_HEARTBEAT_SUSPECTS
        )

    def test_a_suspect_without_new_crashes_expires(self):
        self.crash_three_upstreams()
        self.fleet.clock.advance(suspects.SUSPECT_TTL_SECONDS + 1)
        self.fleet.exchange_heartbeats()
        self.assertEqual(len(self.fleet.hosts_that_run("f")), len(HOSTS))


if __name__ == "__main__":
    unittest.main()

"""Failure of one of nine hosts: only tokens of its buckets are refused.

A bucket limits a rate, here that of an account. The bucket belongs to its home,
the host that grants its tokens.
"""

import logging
import unittest

from gooseberryweir import clock as clocks
from gooseberryweir.connection import messages
from gooseberryweir.process.membership import home_leases
from gooseberryweir.process.shares import bucket_home
from gooseberryweir.process.shares import timing
from test import simulated_hosts

BUCKETS = tuple(f"account/a{number}" for number in range(40))
LIMITS = bucket_home.Limits(20.0, 20)
STEP_SECONDS = 0.1
HEARTBEAT_STEPS = round(timing.HEARTBEAT_SECONDS / STEP_SECONDS)


class HostDeathTest(unittest.TestCase):
    """One host dies or restarts; tokens of the other buckets are still granted.

    Nine hosts are simulated; a token of each bucket is requested every 0.1 s.
    """

    def setUp(self):
        logging.getLogger("gooseberryweir").setLevel(logging.CRITICAL)
        self.addCleanup(
            logging.getLogger("gooseberryweir").setLevel, logging.NOTSET
        )
        self.clock = clocks.ManualClock()
        entries = {f"c{i}": simulated_hosts.Entry(f"c{i}") for i in range(9)}
        self.hosts = {
            name: simulated_hosts.Host(name, self.clock, entries)
            for name in entries
        }
        self.homes = {
            name: home_leases.HomeStates(
                home_leases.HomeLeases(
                    name, self.clock.interface(), host.membership
                )
            )
            for name, host in self.hosts.items()
        }
        self.sequence = 0

    def take_token(self, bucket):
        """Gets a token of a bucket from its home and reports it spent.

        Returns:
            True if the home granted the token.
        """
        self.sequence += 2
        now = self.clock.now
        membership = self.hosts["c0"].membership
        homes = self.homes.get(membership.home_of(bucket))
        home = homes and homes.get(
            bucket, lambda: bucket_home.BucketHome(LIMITS, now)
        )
        if not home:
            return False
        for sequence, requested, spent in (
            (self.sequence, 1, {}),
            (self.sequence + 1, 0, {self.sequence: 1}),
        ):
            request = messages.Draw(
                bucket, "d", 1, 1, requested, spent, sequence
            )
            grant = home.handle(request, now)
            granted = grant.granted or sequence != self.sequence
        return granted

    def run_for(self, seconds):
        """Advances the time in steps; takes a token of each bucket in each.

        Returns:
            Seconds from the start at which a token was refused, by bucket;
            without the buckets of which none was refused.
        """
        refused = {bucket: [] for bucket in BUCKETS}
        for step in range(round(seconds / STEP_SECONDS)):
            if step % HEARTBEAT_STEPS == 0:
                simulated_hosts.heartbeat(list(self.hosts.values()))
            for homes in self.homes.values():
                homes.home_leases.refresh()
            for bucket in BUCKETS:
                if not self.take_token(bucket):
                    refused[bucket].append(step * STEP_SECONDS)
            self.clock.advance(STEP_SECONDS)
        return {bucket: times for bucket, times in refused.items() if times}

    def test_only_the_buckets_of_the_dead_host_are_refused(self):
        self.run_for(8.0)
        self.assertEqual(self.run_for(2.0), {})
        affected = {
            bucket
            for bucket in BUCKETS
            if self.hosts["c0"].membership.home_of(bucket) == "c5"
        }
        del self.hosts["c5"], self.homes["c5"]
        refused = self.run_for(12.0)
        self.assertEqual(set(refused), affected)
        max_refusal_seconds = (
            timing.SETTLE_SECONDS + 2 * timing.HEARTBEAT_SECONDS
        )
        self.assertLess(
            max(times[-1] for times in refused.values()), max_refusal_seconds
        )

    def test_only_the_buckets_of_a_restarted_host_are_refused(self):
        self.run_for(8.0)
        entries = self.hosts["c0"].tables.hosts
        host = simulated_hosts.Host("c5", self.clock, entries)
        self.hosts["c5"] = host
        self.homes["c5"] = home_leases.HomeStates(
            home_leases.HomeLeases(
                "c5", self.clock.interface(), host.membership
            )
        )
        refused = self.run_for(12.0)
        homes = {self.hosts["c0"].membership.home_of(b) for b in refused}
        self.assertEqual(homes, {"c5"})


if __name__ == "__main__":
    unittest.main()

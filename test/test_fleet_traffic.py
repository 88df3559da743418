"""Tests of what hosts of the `front` command send each other.

Messages between hosts share the links with callers' answers. All run in virtual
time, without a network.
"""

import unittest

from gooseberryweir.process.fleet import store_cache
from test import simulated_fleet
from test import virtual_time

# The platform accepts an answer half a second after its route's timeout, so no
# byte may wait longer than that for its link.
MAX_BACKLOG_SECONDS = 0.5
# Time from the acknowledgement of a change until it is active on all hosts.
CHANGE_SECONDS = 2.5
# Bytes per second that a host may send for control; see docs/CAPACITY.md.
CONTROL_BYTES_PER_SECOND = 9000
# Size of a list of 280 upstreams, and of a configuration with 74 accounts.
SNAPSHOT_BYTES = 21000
POLL_SECONDS = 0.5
# Age of a host's configuration from which on it looks for the host that polls.
HEALTHY_AGE_SECONDS = 1.7


class SnapshotsTest(unittest.TestCase):
    """Snapshots (lists of upstreams) that change with every poll."""

    def test_lists_that_change_with_each_poll_do_not_delay_answers(self):
        """Guards against CONFIG of inc1: answers a second behind lists.

        Each host sent every list to every other host once the lists had changed
        for a second, which filled all links.
        """
        with virtual_time.virtual_time() as clock:
            fleet = simulated_fleet.Fleet(40, clock)
            clock.sleep(6.0)
            fleet.reset_counts()
            sent_at = {}
            for _ in range(8):
                revision = fleet.change_upstreams(SNAPSHOT_BYTES)
                sent_at[revision] = clock.monotonic()
                clock.sleep(POLL_SECONDS)
            clock.sleep(CHANGE_SECONDS)
            backlogs = {
                host.entry.name: link.longest_backlog
                for host in fleet.running()
                for link in (host.outgoing, host.incoming)
            }
            self.assertLess(max(backlogs.values()), MAX_BACKLOG_SECONDS)
            for host in fleet.running():
                for revision, changed_at in sent_at.items():
                    later = [
                        at
                        for number, at in host.reached_at.items()
                        if number >= revision
                    ]
                    self.assertTrue(later, (host.entry.name, revision))
                    self.assertLess(min(later) - changed_at, CHANGE_SECONDS)

    def test_hosts_hear_each_other_while_all_upstreams_register(self):
        """Guards against SHORT of inc1: hosts that count each other as down.

        The links were full of lists, so heartbeats were late, connections timed
        out, and hosts refused callers since nobody confirmed their
        configuration.
        """
        with virtual_time.virtual_time() as clock:
            fleet = simulated_fleet.Fleet(40, clock)
            clock.sleep(6.0)
            for count in range(1, 11):
                fleet.change_upstreams(count * SNAPSHOT_BYTES // 4)
                clock.sleep(POLL_SECONDS)
                self.assertLess(
                    fleet.oldest_confirmation(), HEALTHY_AGE_SECONDS, count
                )
                for host in fleet.running():
                    listed = {
                        each.name for each in host.mesh.view.ready_hosts()
                    }
                    region_hosts = {
                        each.entry.name
                        for each in fleet.running()
                        if each.entry.region == host.entry.region
                    }
                    self.assertLessEqual(
                        region_hosts - {host.entry.name}, listed, count
                    )

    def test_a_list_is_sent_to_each_host_about_once(self):
        with virtual_time.virtual_time() as clock:
            fleet = simulated_fleet.Fleet(40, clock)
            clock.sleep(6.0)
            fleet.reset_counts()
            clock.sleep(2.0)
            idle = sum(host.incoming.carried for host in fleet.running())
            fleet.reset_counts()
            fleet.change_upstreams(SNAPSHOT_BYTES)
            clock.sleep(2.0)
            carried = sum(host.incoming.carried for host in fleet.running())
            size = len(fleet.store.snapshots[store_cache.UPSTREAMS].content)
            self.assertLess((carried - idle) / size, 2 * len(fleet.hosts))


class GrowthTest(unittest.TestCase):
    """Bytes that hosts send while nothing changes."""

    def idle_bytes_per_second(self, size):
        """Returns the bytes that a fleet of hosts sends in a second."""
        with virtual_time.virtual_time() as clock:
            fleet = simulated_fleet.Fleet(size, clock)
            clock.sleep(6.0)
            fleet.reset_counts()
            clock.sleep(2.0)
            return sum(host.outgoing.carried for host in fleet.running()) / 2

    def test_heartbeats_grow_with_the_hosts_not_with_their_square(self):
        """Guards against the cause of inc1: heartbeats from all to all.

        Twice the hosts may send twice the bytes, and half as much again.
        """
        small = self.idle_bytes_per_second(24)
        large = self.idle_bytes_per_second(48)
        self.assertLess(large / small, 3.0)
        self.assertLess(large / 48, CONTROL_BYTES_PER_SECOND)


if __name__ == "__main__":
    unittest.main()

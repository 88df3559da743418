"""Tests that freshness and leases expire and no resource has two homes.

A host is fresh, and may serve requests, while its objects were confirmed as
current recently enough. The home of a resource, which is a rate limit or a
pool of slots, is the host that grants shares of it to the other hosts.
"""

import logging
import unittest
from unittest import mock

from gooseberryweir import clock as clocks
from gooseberryweir.process.membership import neighbours
from gooseberryweir.process.membership import view
from gooseberryweir.process.shares import timing
from gooseberryweir.process.upkeep import relay
from test import simulated_hosts

SEEDS = range(12)
RUN_SECONDS = 90.0


def setUpModule():
    logging.getLogger("gooseberryweir").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("gooseberryweir").setLevel(logging.NOTSET)


class HostsTest(unittest.TestCase):
    """Freshness, homes and incarnations of hosts without lost messages."""

    def setUp(self):
        self.clock = clocks.ManualClock()
        entries = {f"c{i}": simulated_hosts.Entry(f"c{i}") for i in range(3)}
        self.hosts = [
            simulated_hosts.Host(name, self.clock, entries) for name in entries
        ]
        self.first = self.hosts[0].membership

    def run_heartbeats(self, count, hosts=None):
        for _ in range(count):
            simulated_hosts.heartbeat(self.hosts if hosts is None else hosts)
            self.clock.advance(timing.HEARTBEAT_SECONDS)

    def make_all_fresh(self):
        """Gives each host a platform confirmation, then runs two heartbeats."""
        for host in self.hosts:
            host.membership.platform_answered(self.clock.now)
        self.run_heartbeats(2)

    def source(self, host=None):
        return (host or self.first).freshness().source

    def test_platform_confirmation_age_counts_from_before_the_request(self):
        self.make_all_fresh()
        self.clock.advance(1.5)
        self.first.platform_answered(self.clock.now - 2.0)
        self.assertEqual(self.source(), "platform")
        self.clock.advance(1.5)
        self.assertFalse(self.first.freshness().fresh)

    def test_a_peer_with_the_same_state_relays_the_confirmation_age(self):
        second, third = self.hosts[1].membership, self.hosts[2]
        self.make_all_fresh()
        self.clock.advance(timing.FRESH_SECONDS)
        self.first.platform_answered(self.clock.now - 1.0)
        third.store.version = 7
        self.run_heartbeats(2)
        self.assertEqual(self.source(second), "relayed")
        self.assertEqual(self.source(third.membership), "none")
        self.clock.advance(timing.FRESH_SECONDS)
        self.assertEqual(self.source(second), "none")

    def test_a_host_is_not_fresh_after_a_pause(self):
        self.first.platform_answered(self.clock.now)
        self.run_heartbeats(12)
        self.first.platform_answered(self.clock.now)
        self.assertTrue(self.first.may_grant())
        sent_at, late_pong = self.clock.now, self.hosts[1].membership.pong()
        self.clock.advance(timing.FRESH_SECONDS + 0.1)
        self.assertFalse(self.first.freshness().fresh)
        self.assertFalse(self.first.may_grant())
        self.first.on_pong(sent_at, late_pong)
        self.assertFalse(self.first.freshness().fresh)
        self.assertFalse(self.first.has_majority())

    def test_a_majority_with_the_same_state_confirms_an_outage(self):
        self.first.platform_answered(self.clock.now)
        self.run_heartbeats(5)
        self.assertEqual(self.source(), "platform")
        self.run_heartbeats(5)
        self.assertEqual(self.source(), "outage")
        self.run_heartbeats(7, self.hosts[:1])
        self.assertEqual(self.source(), "none")

    def test_no_outage_while_the_platform_confirms_a_peers_newer_state(self):
        self.make_all_fresh()
        self.run_heartbeats(8)
        self.assertEqual(self.source(), "outage")
        self.hosts[2].store.version = 7
        self.hosts[2].membership.platform_answered(self.clock.now)
        self.run_heartbeats(1)
        self.assertEqual(self.source(), "none")

    def test_a_new_process_needs_peers_and_platform_to_be_fresh(self):
        self.first.platform_answered(self.clock.now)
        self.assertEqual(self.source(), "none")
        simulated_hosts.ping_and_repair(self.hosts[0], self.hosts[1])
        self.assertEqual(self.source(), "none")
        simulated_hosts.ping_and_repair(self.hosts[0], self.hosts[2])
        self.assertEqual(self.source(), "platform")

    def test_a_host_without_peers_is_fresh_after_unbroken_confirmations(self):
        for _ in range(int(timing.JOIN_SECONDS)):
            self.first.platform_answered(self.clock.now)
            self.assertEqual(self.source(), "none")
            self.clock.advance(1.0)
        self.first.platform_answered(self.clock.now)
        self.assertEqual(self.source(), "platform")
        self.clock.advance(timing.FRESH_SECONDS + 0.1)
        self.first.platform_answered(self.clock.now)
        self.assertEqual(self.source(), "none")

    def test_a_new_process_does_not_count_in_an_outage_majority(self):
        self.make_all_fresh()
        self.run_heartbeats(8)
        entries = self.hosts[0].tables.hosts
        restarted = simulated_hosts.Host("c2", self.clock, entries)
        self.run_heartbeats(8, [self.hosts[0], restarted])
        self.assertEqual(self.source(), "none")
        self.assertEqual(self.source(restarted.membership), "none")
        self.run_heartbeats(2, [*self.hosts[:2], restarted])
        self.assertEqual(self.source(), "outage")
        self.assertEqual(self.source(restarted.membership), "outage")

    def test_a_host_without_a_host_list_is_never_fresh(self):
        for host in self.hosts:
            host.store.version = 0
        self.first.platform_answered(self.clock.now)
        self.run_heartbeats(1)
        self.assertFalse(self.first.freshness().fresh)

    def test_an_old_pong_does_not_replace_a_newer_one(self):
        self.run_heartbeats(12)
        old_at, old_pong = self.clock.now, self.hosts[1].membership.pong()
        self.run_heartbeats(3, self.hosts[:2])
        digest = self.first.view().digest
        self.first.on_pong(
            old_at - 1.0, old_pong._replace(views=((1, 9.0, ()),))
        )
        self.assertEqual(self.first.quorum.votes["c1"].digest, digest)

    def test_a_home_that_lost_a_resource_briefly_waits_for_old_grants(self):
        self.run_heartbeats(12)
        names = (f"account/a{number}" for number in range(100))
        own_resource = next(n for n in names if self.first.home_of(n) == "c0")
        self.assertTrue(self.first.may_grant(own_resource))
        quorum, original_view = self.first.quorum, self.first.view()
        view_without_host = view.View(7, original_view.members[1:])
        for new_view in (view_without_host, original_view):
            quorum.adopt(new_view, quorum.voters, {})
        self.assertFalse(self.first.may_grant(own_resource))
        self.run_heartbeats(5)
        self.assertTrue(self.first.may_grant(own_resource))

    def test_a_silent_host_is_declared_dead_and_renews_its_incarnation(self):
        self.run_heartbeats(3)
        self.run_heartbeats(6, self.hosts[:2])
        members = dict(self.first.view().members)
        self.assertEqual(sorted(members), ["c0", "c1"])
        third = self.hosts[2].membership
        before = third.incarnation
        self.run_heartbeats(3)
        self.assertGreater(third.incarnation, before)
        self.assertEqual(
            dict(self.first.view().members)["c2"], third.incarnation
        )

    def test_a_dead_host_without_a_majority_keeps_its_incarnation(self):
        entries = {f"c{i}": simulated_hosts.Entry(f"c{i}") for i in range(5)}
        hosts = [
            simulated_hosts.Host(name, self.clock, entries) for name in entries
        ]
        self.run_heartbeats(3, hosts)
        last = hosts[4].membership
        before = last.incarnation
        for _ in range(20):
            simulated_hosts.heartbeat(hosts[:4])
            simulated_hosts.ping_and_repair(hosts[0], hosts[4])
            simulated_hosts.ping_and_repair(hosts[4], hosts[0])
            last.tick()
            self.clock.advance(timing.HEARTBEAT_SECONDS)
        self.assertEqual(last.incarnation, before)
        self.assertTrue(last.own_incarnation.is_dead())
        self.assertTrue(hosts[0].membership.may_grant())

    def test_one_host_alone_declares_no_host_dead(self):
        self.run_heartbeats(3)
        self.run_heartbeats(12, self.hosts[:1])
        self.assertEqual(self.first.suspected_hosts(), ("c1", "c2"))
        self.assertEqual(len(self.first.view().members), 3)
        self.assertFalse(self.first.has_majority())

    def test_no_peer_is_suspected_right_after_a_pause(self):
        self.run_heartbeats(3)
        self.clock.advance(60.0)
        self.first.tick()
        self.assertEqual(self.first.suspected_hosts(), ())

    def test_a_later_process_of_the_same_name_supersedes_this_one(self):
        self.run_heartbeats(3)
        newer = self.first.incarnation + 5
        self.hosts[1].facts.add("incarnation/c0", newer)
        self.run_heartbeats(1)
        self.assertTrue(self.first.own_incarnation.superseded)
        self.assertFalse(self.first.freshness().fresh)

    def test_a_leaving_host_is_no_longer_a_home(self):
        self.run_heartbeats(1)
        home = self.first.home_of("account/valle")
        host = next(h for h in self.hosts if h.membership.host == home)
        host.membership.leave()
        self.run_heartbeats(1)
        self.assertNotEqual(self.first.home_of("account/valle"), home)


class LongOutageTest(unittest.TestCase):
    """Nine hosts stay fresh while the platform is down for ten minutes."""

    def setUp(self):
        self.clock = clocks.ManualClock()
        self.entries = {
            f"c{number}": simulated_hosts.Entry(f"c{number}")
            for number in range(9)
        }
        self.hosts = [
            simulated_hosts.Host(name, self.clock, self.entries)
            for name in self.entries
        ]

    def run_heartbeats(self, seconds):
        """Runs heartbeats for some seconds and yields after each."""
        for _ in range(int(seconds / timing.HEARTBEAT_SECONDS)):
            simulated_hosts.heartbeat(self.hosts)
            yield
            self.clock.advance(timing.HEARTBEAT_SECONDS)

    def sources(self):
        return {host.membership.freshness().source for host in self.hosts}

    def acting_homes(self, resource):
        return [
            host.membership.host
            for host in self.hosts
            if host.membership.may_grant()
            and host.membership.home_of(resource) == host.membership.host
        ]

    def test_hosts_stay_fresh_and_a_restarted_one_joins(self):
        for host in self.hosts:
            host.membership.platform_answered(self.clock.now)
        for _ in self.run_heartbeats(
            timing.FRESH_SECONDS + timing.SETTLE_SECONDS
        ):
            pass
        for _ in self.run_heartbeats(300.0):
            self.assertEqual(self.sources(), {"outage"})
            self.assertEqual(len(self.acting_homes("account/valle")), 1)
        self.hosts[0].facts.add("withdrawn/key", 1)
        restarted = simulated_hosts.Host("c4", self.clock, {}, version=0)
        self.hosts[4] = restarted
        for _ in self.run_heartbeats(timing.FRESH_SECONDS):
            self.assertEqual(restarted.membership.freshness().source, "none")
        restarted.apply_host_list(1, self.entries)
        for _ in self.run_heartbeats(
            timing.FRESH_SECONDS + 2 * timing.SETTLE_SECONDS
        ):
            self.assertLessEqual(len(self.acting_homes("account/valle")), 1)
        for _ in self.run_heartbeats(300.0):
            self.assertEqual(self.sources(), {"outage"})
            self.assertEqual(len(self.acting_homes("account/valle")), 1)
        self.assertEqual(restarted.facts.get("withdrawn/key"), 1)
        for host in self.hosts:
            host.membership.platform_answered(self.clock.now)
        self.assertEqual(self.sources(), {"platform"})


class OneHomeTest(unittest.TestCase):
    """Under faults, no two hosts have valid grants of a resource at once."""

    def run_simulations(self, faults):
        violations, handovers = [], 0
        for seed in SEEDS:
            simulation = simulated_hosts.Simulation(seed)
            simulation.run(
                RUN_SECONDS, [getattr(simulation, name) for name in faults]
            )
            violations += [(seed, found) for found in simulation.violations]
            handovers += simulation.handovers
        return violations, handovers

    def test_one_home_under_pauses_partitions_restarts_and_leaving(self):
        faults = ("pause", "partition", "restart", "toggle_leaving")
        violations, handovers = self.run_simulations(faults)
        self.assertEqual(violations, [])
        self.assertGreater(handovers, 20)

    def test_one_home_under_host_lists_without_a_common_majority(self):
        violations, handovers = self.run_simulations(
            ("pause", "partition", "replace_host_list")
        )
        self.assertEqual(violations, [])
        self.assertGreater(handovers, 10)

    def test_without_the_settle_time_two_homes_grant_at_once(self):
        with mock.patch.object(timing, "SETTLE_SECONDS", 0.0):
            violations, _ = self.run_simulations(
                ("pause", "partition", "toggle_leaving")
            )
        self.assertTrue(violations)


class NeighboursTest(unittest.TestCase):
    """Relays and the trees of hosts below them, with more than nine hosts."""

    def test_the_tree_reaches_every_host_from_the_relays(self):
        entries = {
            f"h{i}": simulated_hosts.Entry(f"h{i}", f"r{i % 4}")
            for i in range(500)
        }
        found = {
            name: neighbours.find(name, entries, entries) for name in entries
        }
        relays = {name for name in found if found[name].relays}
        self.assertEqual(relays, neighbours.voters(entries))
        self.assertEqual(len(relays), 12)
        for name, neighbourhood in found.items():
            self.assertEqual(
                len(neighbourhood.parents), 0 if name in relays else 2
            )
            self.assertLessEqual(len(neighbourhood.children), 8)
            for parent in neighbourhood.parents:
                self.assertIn(name, found[parent].children)
            self.assertLessEqual(
                set(neighbourhood.first_children), set(neighbourhood.children)
            )
        pushed = [
            child
            for neighbourhood in found.values()
            for child in neighbourhood.first_children
        ]
        self.assertEqual(sorted(pushed), sorted(set(entries) - relays))
        reached = set(relays)
        for _ in range(6):
            for name in tuple(reached):
                reached.update(found[name].first_children)
        self.assertEqual(reached, set(entries))

    def test_only_a_leaf_accepts_an_outage_confirmation_from_a_relay(self):
        clock = clocks.ManualClock()
        entries = {f"h{i}": simulated_hosts.Entry(f"h{i}") for i in range(12)}
        hosts = {n: simulated_hosts.Host(n, clock, entries) for n in entries}
        voters = neighbours.voters(entries)
        leaf = next(hosts[n] for n in sorted(entries) if n not in voters)
        relays = [hosts[name] for name in sorted(voters)]
        for host in relays:
            host.membership.platform_answered(clock.now)
        for _ in range(2):
            simulated_hosts.heartbeat(relays)
        clock.advance(timing.FRESH_SECONDS + 0.1)
        is_relay = relay.relay_predicate(
            leaf.membership.host,
            "centro",
            leaf.tables,
            leaf.membership,
            clock.interface(),
        )
        self.assertTrue(is_relay())
        for _ in range(2):
            simulated_hosts.heartbeat(relays)
            simulated_hosts.ping_and_repair(leaf, relays[0])
        simulated_hosts.heartbeat(relays)
        self.assertEqual(leaf.membership.freshness().source, "outage")
        self.assertEqual(leaf.membership.view(), relays[0].membership.view())
        self.assertFalse(leaf.membership.has_majority())
        self.assertFalse(is_relay())
        clock.advance(timing.FRESH_SECONDS + 0.1)
        simulated_hosts.ping_and_repair(relays[1], relays[0])
        simulated_hosts.ping_and_repair(relays[0], leaf)
        self.assertFalse(relays[0].membership.freshness().fresh)

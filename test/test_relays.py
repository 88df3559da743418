"""Tests of a fleet that exchanges heartbeats through relays.

All run in virtual time, without a network (see `simulated_fleet`).
"""

import unittest

from gooseberryweir.process.fleet import digests
from gooseberryweir.process.fleet import fleet_demand
from gooseberryweir.process.fleet import fleet_view
from gooseberryweir.process.fleet import reader
from gooseberryweir.process.fleet import relays
from gooseberryweir.process.fleet import store_cache
from test import simulated_fleet
from test import virtual_time

# Longest age of a confirmation with which authenticated requests are served.
MAX_CONFIRMATION_AGE_SECONDS = 4.5
# Age of a confirmation at which the first relay, or the first other host, takes
# over the polling.
RELAY_TAKEOVER_SECONDS = 1.7
OTHER_TAKEOVER_SECONDS = 3.2
# Time from the acknowledgement of a change until it is active on all hosts.
CHANGE_SECONDS = 2.5
# The same on the platform's deployments of 64 and 82 hosts.
LARGE_FLEET_CHANGE_SECONDS = 3.0
# Time from the failure to the change.
DELAY_SECONDS = 0.5
# Time after which a look-up must not name a host that was killed.
DEAD_HOST_SECONDS = 6.0
# Time after an outage within which live upstreams register again.
REGISTRATION_SECONDS = 2.0
# Hosts of the platform start at least 10 s before callers.
SETTLE_SECONDS = 8.0
STEP_SECONDS = 0.1


class SelectionTest(unittest.TestCase):
    """Which hosts of a region are its relays."""

    def candidates(self, **states):
        return [
            relays.Candidate(name, state, 10.0)
            for name, state in states.items()
        ]

    def test_ready_hosts_with_a_fast_link_come_first(self):
        hosts = [
            relays.Candidate("small", relays.READY, 10.0),
            relays.Candidate("large", relays.READY, 200.0),
            relays.Candidate("starting", relays.STARTING, 200.0),
            relays.Candidate("unknown", relays.UNKNOWN, 200.0),
            relays.Candidate("silent", relays.SILENT, 200.0),
        ]
        self.assertEqual(
            relays.rank("r", hosts),
            ["large", "small", "starting", "unknown", "silent"],
        )
        self.assertEqual(
            relays.rank("r", reversed(hosts)), relays.rank("r", hosts)
        )

    def test_each_silent_host_adds_one_to_the_relays_that_are_tried(self):
        states = dict.fromkeys("abcdef", relays.UNKNOWN)
        self.assertEqual(len(relays.select("r", self.candidates(**states))), 2)
        states["a"] = states["b"] = relays.SILENT
        selected = relays.select("r", self.candidates(**states))
        self.assertEqual(len(selected), 4)
        self.assertFalse({"a", "b"} & set(selected))
        states["c"] = states["d"] = relays.READY
        selected = relays.select("r", self.candidates(**states))
        self.assertEqual(set(selected), {"c", "d"})


class FailureTest(unittest.TestCase):
    """Relays that fail, and a store that refuses them."""

    def setUp(self):
        self.clock = self.enterContext(virtual_time.virtual_time())
        self.fleet = simulated_fleet.Fleet(30, self.clock)
        self.clock.sleep(SETTLE_SECONDS)
        self.assertEqual(len(self.relays()), 6)

    def relays(self):
        return [each for each in self.fleet.running() if each.mesh.is_relay]

    def kill(self, hosts):
        for host in hosts:
            host.kill()

    def watch(self, seconds):
        """Returns the greatest age of a confirmation within some time."""
        oldest = 0.0
        for _ in range(int(seconds / STEP_SECONDS)):
            self.clock.sleep(STEP_SECONDS)
            oldest = max(oldest, self.fleet.oldest_confirmation())
        return oldest

    def assert_settled(self):
        """Checks that each host is confirmed and lists its live region."""
        for host in self.fleet.running():
            self.assertLess(
                host.cache.confirmed_age(),
                RELAY_TAKEOVER_SECONDS
                if host.mesh.is_relay
                else OTHER_TAKEOVER_SECONDS,
            )
        running = self.fleet.running()
        for host in running:
            listed = {
                each.name
                for each in host.mesh.view.ready_hosts()
                if each.region == host.entry.region
            }
            expected = {
                each.entry.name
                for each in running
                if each.entry.region == host.entry.region
            }
            self.assertEqual(listed | {host.entry.name}, expected)

    def test_keys_stay_usable_while_both_relays_of_a_region_are_killed(self):
        for region in simulated_fleet.REGIONS:
            self.kill(
                each for each in self.relays() if each.entry.region == region
            )
            self.assertLess(
                self.watch(DEAD_HOST_SECONDS), MAX_CONFIRMATION_AGE_SECONDS
            )
            self.assert_settled()

    def test_all_relays_killed_at_once_are_replaced(self):
        self.kill(self.relays())
        self.clock.sleep(DEAD_HOST_SECONDS)
        self.assert_settled()
        self.assertEqual(len(self.relays()), 6)

    def test_half_of_all_hosts_killed_at_once_are_not_listed(self):
        hosts = self.fleet.running()
        self.kill(self.fleet.rng.sample(hosts, len(hosts) // 2))
        self.clock.sleep(DEAD_HOST_SECONDS)
        self.assert_settled()

    def test_a_change_is_active_in_time_though_the_polling_host_is_killed(self):
        (poller,) = (each for each in self.relays() if each.reader.polling)
        self.kill([poller])
        revision = self.fleet.change_upstreams(simulated_fleet.UPSTREAM_BYTES)
        self.clock.sleep(CHANGE_SECONDS)
        for host in self.fleet.running():
            self.assertGreaterEqual(max(host.reached_at), revision)

    def test_a_change_is_active_in_time_though_two_regions_lose_their_relays(
        self,
    ):
        """Guards against a region that hears of no change for seconds.

        A new relay knows no host of the other regions, and the first ones that
        it asks may be down too.
        """
        for seed in (1, 2):
            with (
                self.subTest(seed=seed),
                virtual_time.virtual_time(seed) as clock,
            ):
                fleet = simulated_fleet.Fleet(30, clock, seed)
                clock.sleep(SETTLE_SECONDS)
                down = {
                    host.entry.name
                    for host in fleet.running()
                    if not host.reader.polling
                    and host.entry.region != "golfo"
                    and host.mesh.is_relay
                }
                others = sorted(set(fleet.hosts) - down)
                down.update(fleet.rng.sample(others, len(others) // 4))
                for name in down:
                    if not fleet.hosts[name].reader.polling:
                        fleet.hosts[name].kill()
                clock.sleep(DELAY_SECONDS)
                revision = fleet.change_upstreams(
                    simulated_fleet.UPSTREAM_BYTES
                )
                clock.sleep(LARGE_FLEET_CHANGE_SECONDS)
                for host in fleet.running():
                    self.assertGreaterEqual(
                        max(host.reached_at, default=0),
                        revision,
                        host.entry.name,
                    )

    def test_another_host_polls_if_the_store_refuses_all_relays(self):
        self.fleet.store.refused = {each.entry.name for each in self.relays()}
        self.assertLess(
            self.watch(DEAD_HOST_SECONDS), MAX_CONFIRMATION_AGE_SECONDS
        )
        polling = [
            each
            for each in self.fleet.running()
            if each.reader.polling and not each.mesh.is_relay
        ]
        self.assertTrue(polling)
        self.assertLess(len(polling), 4)

    def test_groups_of_a_region_find_each_other_after_a_partition(self):
        hosts = sorted(self.fleet.hosts)
        self.fleet.groups = [hosts[::2], hosts[1::2]]
        self.clock.sleep(2 * DEAD_HOST_SECONDS)
        self.fleet.groups = []
        self.clock.sleep(2 * DEAD_HOST_SECONDS)
        self.assert_settled()
        self.assertEqual(len(self.relays()), 6)

    def test_calls_to_the_store_do_not_grow_with_the_hosts(self):
        calls = self.fleet.store.calls
        self.clock.sleep(5.0)
        # Two polls a second.
        self.assertLess(self.fleet.store.calls - calls, 12)


class LostRelaysTest(unittest.TestCase):
    """Hosts that outlive the relays of their region, or those of all regions.

    Fleets of nine hosts, as on the platform's small deployments.
    """

    def start(self, seed):
        clock = self.enterContext(virtual_time.virtual_time(seed))
        fleet = simulated_fleet.Fleet(9, clock, seed)
        clock.sleep(SETTLE_SECONDS)
        return clock, fleet

    def kill_relays(self, fleet, region):
        """Kills the relays of a region; returns its other host."""
        hosts = [
            each for each in fleet.running() if each.entry.region == region
        ]
        for each in hosts:
            if each.mesh.is_relay:
                each.kill()
        (left,) = (each for each in hosts if each.running)
        return left

    # Guards against a region that has no relay for seconds, since hosts replace
    # silent relays an interval or two later than they notice them.
    def test_a_host_replaces_silent_relays_at_once(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                clock, fleet = self.start(seed)
                clock.sleep(seed * STEP_SECONDS)
                left = self.kill_relays(fleet, "golfo")
                clock.sleep(fleet_view.RELAY_TIMEOUT_SECONDS + STEP_SECONDS)
                self.assertTrue(left.mesh.is_relay)

    # Guards against hosts that go back to relays that are down, since a host
    # that found them silent reports them as live.
    def test_digests_do_not_list_silent_relays(self):
        _, fleet = self.start(seed=1)
        left = self.kill_relays(fleet, "golfo")
        fleet.clock.sleep(fleet_view.RELAY_TIMEOUT_SECONDS + STEP_SECONDS)
        receiver = left.mesh.view.peers["norte-00"]
        digest = digests.build(left.mesh.view, receiver)
        self.assertEqual(
            [each.name for each in digest.hosts], [left.entry.name]
        )

    # Guards against DRAIN of review 10: hosts go on sending to an upstream
    # whose entry was removed, after the polling host and relays lost power.
    def test_a_removal_is_in_force_in_time_though_relays_are_killed(self):
        for seed in range(20):
            for share in ("relays", "all but two"):
                with self.subTest(seed=seed, share=share):
                    self.check_removal(seed, share)

    def check_removal(self, seed, share):
        """Kills hosts right after an upstream was removed.

        Args:
            seed: Seed of the fleet, and of the times and hosts.
            share: `relays`, or `all but two` for the polling host and others.
        """
        clock, fleet = self.start(seed)
        fleet.set_upstreams("staying", "leaving")
        clock.sleep(SETTLE_SECONDS + fleet.rng.random())
        fleet.set_upstreams("staying")
        removed_at = clock.monotonic()
        # Before or after the next poll.
        clock.sleep(fleet.rng.random() * reader.POLL_SECONDS)
        hosts = sorted(
            fleet.running(),
            key=lambda each: (not each.reader.polling, fleet.rng.random()),
        )
        for host in hosts if share == "relays" else hosts[:-2]:
            if share != "relays" or host.mesh.is_relay:
                host.kill()
        clock.sleep(removed_at + CHANGE_SECONDS - clock.monotonic())
        for host in fleet.running():
            self.assertEqual(
                set(host.cache.upstreams), {"staying"}, host.entry.name
            )


class OutageTest(unittest.TestCase):
    """An outage of the store, in which entries of upstreams expire."""

    # Guards against live upstreams that get no requests after an outage, since
    # hosts drop them before they have read that they registered again.
    def test_live_upstreams_stay_known_after_an_outage(self):
        for seed in range(20):
            for kills in (False, True):
                with self.subTest(seed=seed, kills=kills):
                    self.check_outage(seed, kills)

    def check_outage(self, seed, kills):
        """Checks the upstreams that hosts know in and after an outage.

        Args:
            seed: Seed of the fleet and the times.
            kills: True if the polling host and others are killed in it.
        """
        clock = self.enterContext(virtual_time.virtual_time(seed))
        fleet = simulated_fleet.Fleet(9, clock, seed)
        rng = fleet.rng
        clock.sleep(SETTLE_SECONDS)
        fleet.set_upstreams("first", "second")
        clock.sleep(SETTLE_SECONDS + rng.random())
        fleet.store.refused = set(fleet.hosts)
        begins_at = clock.monotonic()
        returns_at = begins_at + rng.uniform(5.0, 7.0)
        events = [
            (returns_at - rng.random(), lambda: fleet.set_upstreams("first")),
            (returns_at, fleet.store.refused.clear),
            (
                returns_at + rng.uniform(0.5, REGISTRATION_SECONDS),
                lambda: fleet.set_upstreams("first", "second"),
            ),
            (returns_at + DEAD_HOST_SECONDS, lambda: None),
        ]
        if kills:
            events.append(
                (
                    rng.uniform(begins_at, returns_at),
                    lambda: self.kill_half(fleet),
                )
            )
        for at, action in sorted(events, key=lambda event: event[0]):
            while (left := at - clock.monotonic()) > 0:
                clock.sleep(min(STEP_SECONDS / 2, left))
                for host in fleet.running():
                    self.assertEqual(
                        set(host.cache.upstreams),
                        {"first", "second"},
                        f"{host.entry.name} at {clock.monotonic()}",
                    )
            action()

    def kill_half(self, fleet):
        """Kills the polling host and some others."""
        hosts = sorted(
            fleet.running(),
            key=lambda each: (not each.reader.polling, fleet.rng.random()),
        )
        for host in hosts[: len(hosts) // 2]:
            host.kill()


class PollingTest(unittest.TestCase):
    """Which hosts poll the store once a start is over."""

    # Guards against hosts that are no relays and go on polling, since they hear
    # only the relays of their region and the polling host is in another one.
    def test_one_host_polls_after_all_hosts_were_listed_at_once(self):
        with virtual_time.virtual_time() as clock:
            fleet = simulated_fleet.Fleet(82, clock)
            entries = fleet.store.snapshots[store_cache.HOSTS].content
            nobody = store_cache.encode_content(())
            fleet.store.write(store_cache.HOSTS, nobody)
            clock.sleep(1.0)
            fleet.store.write(store_cache.HOSTS, entries)
            clock.sleep(SETTLE_SECONDS)
            polling = [each for each in fleet.running() if each.reader.polling]
            self.assertEqual(len(polling), 1)


class DemandTest(unittest.TestCase):
    """The demand of client accounts that each host knows of the others."""

    def test_each_host_knows_the_demand_of_all_others(self):
        with virtual_time.virtual_time() as clock:
            fleet = simulated_fleet.Fleet(30, clock)
            clock.sleep(SETTLE_SECONDS)
            for host in fleet.running():
                for account in host.demand:
                    expected = sum(
                        each.demand[account]
                        for each in fleet.running()
                        if each is not host
                    )
                    demand = fleet_demand.elsewhere(
                        host.mesh.view, account, 0.0
                    )
                    self.assertAlmostEqual(demand.rate, expected, delta=0.4)
                    self.assertEqual(demand.hosts, 29)

    def test_hosts_that_were_killed_do_not_count_for_long(self):
        with virtual_time.virtual_time() as clock:
            fleet = simulated_fleet.Fleet(30, clock)
            clock.sleep(SETTLE_SECONDS)
            for host in fleet.running()[::3]:
                host.kill()
            clock.sleep(2 * SETTLE_SECONDS)
            for host in fleet.running():
                self.assertEqual(
                    fleet_demand.elsewhere(host.mesh.view, "", 0.0).hosts, 19
                )


class EarlierBuildTest(unittest.TestCase):
    """Hosts of this build beside a host of the build before digests."""

    def test_hosts_of_both_builds_hear_each_other(self):
        with virtual_time.virtual_time() as clock:
            fleet = simulated_fleet.Fleet(12, clock)
            old = fleet.hosts["norte-03"]
            simulated_fleet.use_earlier_build(old)
            clock.sleep(SETTLE_SECONDS)
            self.assertLess(fleet.oldest_confirmation(), RELAY_TAKEOVER_SECONDS)
            for host in fleet.running():
                listed = {e.name for e in host.mesh.view.ready_hosts()}
                if host is not old:
                    self.assertIn(old.entry.name, listed)
                    self.assertEqual(
                        fleet_demand.elsewhere(
                            host.mesh.view, "account-0", 0.0
                        ).hosts,
                        11,
                        host.entry.name,
                    )
            self.assertEqual(
                len({e.name for e in old.mesh.view.ready_hosts()}), 11
            )


if __name__ == "__main__":
    unittest.main()

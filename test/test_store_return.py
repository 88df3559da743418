"""Tests of hosts whose store returns from an older copy, without processes.

The copy lacks the last changes, its revisions are given out again, and its era
is higher by one. `test_store_era` has the same with real processes.
"""

import unittest

from hypothesis import given
from hypothesis import strategies

from gooseberryweir import clock as clocks
from gooseberryweir.platform import store as platform_store
from gooseberryweir.process.fleet import heartbeat as heartbeat_module
from gooseberryweir.process.fleet import reader as reader_module
from gooseberryweir.process.fleet import store_cache
from gooseberryweir.process.fleet import store_return
from test import simulated_fleet
from test import test_fleet_knowledge
from test import test_steering_properties
from test import virtual_time

FLEET_HOSTS = 82
FLEET_SIZES = (9, FLEET_HOSTS)
# The platform's bound on a change of the configuration.
APPLY_SECONDS = 2.5
# Calls a second of all hosts together in steady operation: one host polls each
# half second, and reads the three other kinds after a change.
MAX_CALLS_PER_SECOND = 8
# Time until the store lists the hosts that have registered.
LISTED_SECONDS = 1.0
# Number of the configuration that the store loses, and of the next one.
LAST_NUMBER = 19
NEXT_NUMBER = 20


def version(revision, era):
    return test_fleet_knowledge.version(revision, era)


class ReturnCase(unittest.TestCase):
    """One host in era 1 with configuration 5, two upstreams, one evacuation."""

    def setUp(self):
        self.host = test_fleet_knowledge.Host()
        self.cache = self.host.store_cache
        self.accept(store_cache.CONFIGURATION, 600, 1, b"5")
        self.accept_upstreams(600, 1, "u1", "u2")
        self.accept_value(store_cache.EVACUATIONS, 600, 1, ("a",))
        self.accept_value(store_cache.HOSTS, 600, 1, ())
        self.confirm(5, 600, 1)
        self.advance(4.0)

    def accept(self, kind, revision, era, content, source="store"):
        return self.cache.accept(kind, version(revision, era), content, source)

    def accept_value(self, kind, revision, era, value):
        content = store_cache.encode_content(value)
        return self.accept(kind, revision, era, content)

    def accept_upstreams(self, revision, era, *names, **changes):
        upstreams = [
            test_fleet_knowledge.upstream(name)._replace(**changes)
            for name in names
        ]
        self.accept_value(store_cache.UPSTREAMS, revision, era, upstreams)

    def confirm(self, number, revision, era, as_of=None):
        now = self.host.clock.now
        self.cache.confirm(
            store_cache.Rank(number, version(revision, era)),
            now if as_of is None else as_of,
        )

    def advance(self, seconds):
        """Lets time pass; the newest configuration is confirmed meanwhile."""
        if self.cache.version(store_cache.CONFIGURATION).era < self.cache.era:
            self.accept(store_cache.CONFIGURATION, 500, self.cache.era, b"5")
        for _ in range(round(seconds * 2)):
            self.host.clock.advance(0.5)
            rank = self.cache.rank(store_cache.CONFIGURATION)
            self.cache.confirm(rank, self.host.clock.now)

    def used(self):
        """Returns the names of upstreams that get new requests."""
        return {
            name
            for name, each in self.cache.upstreams.items()
            if not each.draining
        }


class ConfigurationTest(ReturnCase):
    """The configuration in force, and how long it counts as the newest one."""

    # Guards against CONFIG of review/1: a revoked key accepted without end.
    def test_a_later_configuration_with_a_lower_revision_is_in_force(self):
        self.accept(store_cache.CONFIGURATION, 510, 2, b"6")
        self.assertEqual(self.cache.configuration.version, 6)

    def test_an_earlier_one_of_the_copy_does_not_replace_it(self):
        self.assertFalse(self.accept(store_cache.CONFIGURATION, 510, 2, b"4"))
        self.assertEqual(self.cache.configuration.version, 5)
        # The same until operators have written it or a later one again.
        self.accept(store_cache.CONFIGURATION, 520, 2, b"4")
        self.assertEqual(self.cache.configuration.version, 5)
        self.accept(store_cache.CONFIGURATION, 530, 2, b"6")
        self.assertEqual(self.cache.configuration.version, 6)

    def test_a_kept_configuration_is_confirmed_by_the_new_era(self):
        self.accept(store_cache.CONFIGURATION, 510, 2, b"4")
        self.host.clock.advance(1.0)
        self.confirm(5, 510, 2)
        self.assertEqual(self.cache.confirmed_age(), 0.0)

    # Guards against keys accepted on the word of the earlier era.
    def test_late_answers_of_the_earlier_era_confirm_nothing(self):
        confirmed_at = self.cache.confirmed_at
        self.accept(store_cache.CONFIGURATION, 510, 2, b"6")
        self.host.clock.advance(1.0)
        self.confirm(5, 600, 1)
        self.confirm(6, 700, 1)
        self.assertEqual(self.cache.confirmed_at, confirmed_at)
        self.assertFalse(self.accept(store_cache.CONFIGURATION, 700, 1, b"9"))
        self.accept_upstreams(700, 1, "u9")
        self.assertEqual(self.cache.configuration.version, 6)
        self.assertEqual(set(self.cache.upstreams), {"u1", "u2"})

    # Guards against a host that confirms the copy's configuration while a peer
    # still has a later one in force.
    def test_a_peer_with_a_later_configuration_confirms_no_earlier_one(self):
        started = test_fleet_knowledge.Host()
        cache = started.store_cache
        cache.accept(store_cache.CONFIGURATION, version(510, 2), b"4", "store")
        revisions = {
            store_cache.CONFIGURATION: 510,
            heartbeat_module.ERA_KEY: 2,
            heartbeat_module.NUMBER_KEY: 5,
        }
        echo = started.clock.now
        started.receive("h2", echo=echo, revisions=revisions, confirmed_age=0.0)
        self.assertEqual(cache.confirmed_age(), float("inf"))
        sent = {
            store_cache.CONFIGURATION: heartbeat_module.SentSnapshot(510, b"5")
        }
        started.receive(
            "h2",
            echo=echo,
            revisions=revisions,
            confirmed_age=0.0,
            snapshots=sent,
        )
        self.assertEqual(cache.configuration.version, 5)
        self.assertEqual(cache.confirmed_age(), 0.0)

    def test_two_returns_in_a_row(self):
        self.accept(store_cache.CONFIGURATION, 510, 2, b"4")
        self.accept(store_cache.CONFIGURATION, 400, 3, b"3")
        self.assertEqual(self.cache.configuration.version, 5)
        self.assertFalse(self.accept(store_cache.CONFIGURATION, 520, 2, b"5"))
        self.accept(store_cache.CONFIGURATION, 410, 3, b"6")
        self.assertEqual(self.cache.configuration.version, 6)


class UpstreamsTest(ReturnCase):
    """Upstreams that the copy lacks, and those that it should not list."""

    def test_missing_ones_are_kept_until_they_could_register_again(self):
        self.accept_upstreams(510, 2, "u1")
        self.advance(store_cache.REREGISTRATION_SECONDS - 0.5)
        self.assertEqual(self.used(), {"u1", "u2"})
        self.advance(1.0)
        self.assertEqual(self.used(), {"u1"})

    # Guards against DRAIN: work for upstreams that left before the return.
    def test_those_that_had_left_get_nothing_while_the_copy_lists_them(self):
        self.accept_upstreams(610, 1, "u1")
        self.accept_upstreams(510, 2, "u1", "u2")
        self.assertEqual(self.used(), {"u1"})
        self.advance(store_return.COPY_ENTRY_SECONDS - 0.5)
        self.assertEqual(self.used(), {"u1"})
        # An entry that the store still has belongs to a live upstream.
        self.advance(1.0)
        self.assertEqual(self.used(), {"u1", "u2"})

    def test_a_draining_one_is_not_used_again(self):
        self.accept_upstreams(610, 1, "u1", "u2", draining=True)
        self.accept_upstreams(510, 2, "u1", "u2")
        self.assertEqual(self.used(), set())

    def test_a_restarted_one_is_used_at_once(self):
        self.accept_upstreams(610, 1, "u1")
        self.accept_upstreams(510, 2, "u1", "u2", started_at_ms=7)
        self.assertEqual(self.used(), {"u1", "u2"})

    # Guards against FAILBACK: a cold upstream that is taken for a warm one.
    def test_an_entry_with_the_same_revision_in_a_new_era_is_another(self):
        self.accept_upstreams(610, 1, "u1", cold_seconds=1.0)
        self.advance(3.0)
        self.accept_upstreams(510, 2, "u1", cold_seconds=3.0)
        self.assertEqual(self.cache.cold_until["u1"], self.host.clock.now + 3.0)


class EvacuationsTest(ReturnCase):
    """Evacuations from before the return."""

    # Guards against EVAC: an evacuation that ends since the copy lacks it.
    def test_one_that_the_copy_lacks_stands_until_it_is_taken_back(self):
        self.accept_value(store_cache.EVACUATIONS, 510, 2, ())
        self.assertEqual(self.cache.evacuated_zones, {"a"})
        self.accept_value(store_cache.EVACUATIONS, 511, 2, ("a",))
        self.accept_value(store_cache.EVACUATIONS, 512, 2, ())
        self.assertEqual(self.cache.evacuated_zones, set())

    def test_one_that_the_copy_has_ends_when_it_is_taken_back(self):
        self.accept_value(store_cache.EVACUATIONS, 510, 2, ("a",))
        self.accept_value(store_cache.EVACUATIONS, 511, 2, ())
        self.assertEqual(self.cache.evacuated_zones, set())

    def test_one_that_is_never_written_again_ends(self):
        self.accept_value(store_cache.EVACUATIONS, 510, 2, ())
        self.advance(store_return.EVACUATION_SECONDS - 0.5)
        self.assertEqual(self.cache.evacuated_zones, {"a"})
        self.advance(1.0)
        self.assertEqual(self.cache.evacuated_zones, set())


class EarlierBuildTest(ReturnCase):
    """Heartbeats of hosts of earlier builds, which do not know eras."""

    def receive(self, number):
        content = b"%d" % number
        revision = 600 + number
        self.host.receive(
            "h2",
            echo=self.host.clock.now,
            confirmed_age=0.0,
            revisions={store_cache.CONFIGURATION: revision},
            snapshots={
                store_cache.CONFIGURATION: heartbeat_module.SentSnapshot(
                    revision, content
                )
            },
        )

    def test_they_count_before_the_first_return(self):
        self.host.clock.advance(1.0)
        self.receive(6)
        self.assertEqual(self.cache.configuration.version, 6)
        self.assertEqual(self.cache.confirmed_age(), 0.0)

    # Guards against a host that starts beside them and takes the first era that
    # it hears of for a return.
    def test_the_first_era_after_their_snapshots_is_no_return(self):
        host = test_fleet_knowledge.Host()
        sent = heartbeat_module.SentSnapshot(
            7, store_cache.encode_content(("a",))
        )
        host.receive("h2", snapshots={store_cache.EVACUATIONS: sent})
        cache = host.store_cache
        self.assertEqual(cache.evacuated_zones, {"a"})
        cache.accept(
            store_cache.EVACUATIONS,
            version(8, 1),
            store_cache.encode_content(()),
            "store",
        )
        self.assertEqual(cache.evacuated_zones, set())

    def test_they_change_and_confirm_nothing_after_a_return(self):
        self.accept(store_cache.CONFIGURATION, 510, 2, b"5")
        self.host.clock.advance(1.0)
        self.receive(6)
        self.assertEqual(self.cache.configuration.version, 5)
        self.assertEqual(self.cache.confirmed_age(), 1.0)


class OrderProperties(unittest.TestCase):
    """Any sequence of answers of the store and of returns."""

    @test_steering_properties.REPEATABLE
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(1, 4),
                strategies.integers(1, 20),
                strategies.integers(1, 20),
            ),
            max_size=40,
        )
    )
    def test_neither_the_era_nor_the_configuration_goes_back(self, answers):
        cache = store_cache.StoreCache(
            test_fleet_knowledge.decode, clocks.ManualClock().interface()
        )
        newest_era, newest_number = 0, 0
        for era, revision, number in answers:
            cache.accept(
                store_cache.CONFIGURATION,
                version(revision, era),
                b"%d" % number,
                "store",
            )
            if era >= newest_era:
                newest_number = max(newest_number, number)
            newest_era = max(newest_era, era)
            self.assertEqual(cache.era, newest_era)
            self.assertEqual(cache.configuration_number, newest_number)


class EraHeaderTest(unittest.TestCase):
    """The header with the era in answers of the store."""

    def test_a_missing_header_is_the_oldest_era(self):
        self.assertEqual(platform_store._parse_era(None), 0)
        self.assertEqual(platform_store._parse_era("12"), 12)

    def test_an_answer_with_an_unreadable_header_is_not_used(self):
        for text in ("", "x", "-1", "1.5", "9" * 20, "1, 2"):
            with (
                self.subTest(text),
                self.assertRaises(platform_store.StoreError),
            ):
                platform_store._parse_era(text)


class FleetTest(unittest.TestCase):
    """A return of the store at many hosts, in virtual time."""

    def start(self, clock, size):
        """Returns a fleet, and the times and hosts of its registrations."""
        fleet = simulated_fleet.Fleet(size, clock)
        registered = []
        for name, host in fleet.hosts.items():
            host.reader.register = lambda name=name: registered.append(
                (clock.monotonic(), name)
            )
        return fleet, registered

    def run_return(self, clock, size=FLEET_HOSTS, refused_region=""):
        """Runs a return that loses a configuration and all hosts' entries.

        Returns:
            The fleet, and the times and hosts of registrations since then.
        """
        fleet, registered = self.start(clock, size)
        clock.sleep(6.0)
        entries = fleet.store.snapshots[store_cache.HOSTS].content
        fleet.store.write(store_cache.HOSTS, store_cache.encode_content(()))
        copy = fleet.store.copy()
        fleet.store.write(store_cache.HOSTS, entries)
        for number in range(2, LAST_NUMBER + 1):
            fleet.store.write(store_cache.CONFIGURATION, b"%d" % number)
        clock.sleep(3.0)
        if refused_region:
            fleet.store.refused = {
                name
                for name, host in fleet.hosts.items()
                if host.entry.region == refused_region
            }
        registered.clear()
        fleet.store.return_from(copy)
        return fleet, registered

    def assert_followed(self, fleet, number):
        for host in fleet.running():
            self.assertEqual(
                host.cache.configuration_number, number, host.entry.name
            )
            self.assertEqual(host.cache.era, fleet.store.era)

    def test_all_hosts_keep_the_configuration_and_follow_the_next(self):
        for size in FLEET_SIZES:
            with self.subTest(size), virtual_time.virtual_time() as clock:
                fleet, _ = self.run_return(clock, size)
                calls = fleet.store.calls
                for _ in range(8):
                    clock.sleep(0.5)
                    for host in fleet.running():
                        self.assertEqual(
                            host.cache.configuration_number, LAST_NUMBER
                        )
                self.assertLessEqual(
                    fleet.store.calls - calls, 4 * MAX_CALLS_PER_SECOND
                )
                self.assertLess(
                    fleet.oldest_confirmation(), reader_module.TAKEOVER_SECONDS
                )
                fleet.store.write(
                    store_cache.CONFIGURATION, b"%d" % NEXT_NUMBER
                )
                clock.sleep(APPLY_SECONDS)
                self.assert_followed(fleet, NEXT_NUMBER)

    def test_hosts_register_once_at_the_start(self):
        with virtual_time.virtual_time() as clock:
            fleet, registered = self.start(clock, FLEET_HOSTS)
            entries = fleet.store.snapshots[store_cache.HOSTS].content
            nobody = store_cache.encode_content(())
            fleet.store.write(store_cache.HOSTS, nobody)
            clock.sleep(LISTED_SECONDS)
            fleet.store.write(store_cache.HOSTS, entries)
            clock.sleep(5.0)
            names = sorted(name for _, name in registered)
            self.assertEqual(names, sorted(fleet.hosts))

    # Guards against a storm of writes, or a second one of the same entry.
    def test_hosts_that_the_store_lost_write_their_entries_again_once(self):
        for size in FLEET_SIZES:
            with self.subTest(size), virtual_time.virtual_time() as clock:
                fleet, registered = self.run_return(clock, size)
                clock.sleep(6.0)
                names = sorted(name for _, name in registered)
                self.assertEqual(names, sorted(fleet.hosts))
                for start, _ in registered:
                    burst = [
                        at for at, _ in registered if start <= at < start + 0.25
                    ]
                    # A quarter of a second has an eighth of them on the mean.
                    self.assertLessEqual(len(burst), max(6, size // 3))

    # Guards against hosts that stay in the earlier era since the store refuses
    # the one that polls.
    def test_hosts_that_the_store_refuses_learn_the_era_from_others(self):
        with virtual_time.virtual_time() as clock:
            fleet, _ = self.run_return(
                clock, refused_region=simulated_fleet.REGIONS[0]
            )
            clock.sleep(2.0 + APPLY_SECONDS)
            fleet.store.write(store_cache.CONFIGURATION, b"%d" % NEXT_NUMBER)
            clock.sleep(APPLY_SECONDS)
            self.assert_followed(fleet, NEXT_NUMBER)


if __name__ == "__main__":
    unittest.main()

"""Tests of what hosts learn from the platform's store and from each other.

One host polls the store; all hosts cache its content and exchange it with
their heartbeats.
"""

import unittest

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir.process.fleet import fleet_view
from gooseberryweir.process.fleet import heartbeat as heartbeat_module
from gooseberryweir.process.fleet import host_settings
from gooseberryweir.process.fleet import local_state
from gooseberryweir.process.fleet import mesh
from gooseberryweir.process.fleet import reader
from gooseberryweir.process.fleet import store_cache
from gooseberryweir.request.steering import account_demand
from gooseberryweir.request.steering import admission
from gooseberryweir.request.steering import limits
from gooseberryweir.version import store_version
from gooseberryweir.version import traffic


def version(revision, era=store_version.NO_ERA):
    """Returns a version of the store."""
    return store_version.StoreVersion(era, revision)


def rank(number, era=store_version.NO_ERA):
    """Returns the order of a configuration with its number as revision."""
    return store_cache.Rank(number, version(number, era))


def decode(content):
    """Returns a configuration with only its version set."""
    return traffic.Configuration(
        int(content), {}, {}, {}, {}, False, traffic.CallerLimits(1, 1, 1, 1)
    )


def upstream(name, cold=0.0, revision=1):
    return traffic.Upstream(
        name, "s", "10.0.0.1:80", "a", 8, False, cold, 0, revision
    )


def entry(name):
    return traffic.HostEntry(
        name, "i1", "10.0.0.1:1", "10.0.0.1:2", "a", "north"
    )


def settings(name):
    return host_settings.HostSettings(
        host=name,
        incarnation="i1",
        zone="a",
        region="north",
        region_by_zone={"a": "north"},
        front_address="10.0.0.1:1",
        ready_address="10.0.0.1:3",
        directory_address="10.0.0.1:4",
        peer_address="10.0.0.1:2",
        metrics_address="10.0.0.1:5",
        store_address="10.0.0.1:6",
        first_start=True,
        bounds=host_settings.Bounds(),
    )


class Host:
    """A host without sockets, for one test; the test passes it heartbeats."""

    def __init__(self, name="h1"):
        self.clock = clocks.ManualClock()
        clock = self.clock.interface()
        self.store_cache = store_cache.StoreCache(decode, clock)
        self.reader = reader.Reader(
            lambda kind: None, lambda: None, self.store_cache, clock
        )
        state = local_state.LocalState(
            ready=lambda: True,
            shutting_down=lambda: False,
            polling=lambda: self.reader.polling,
            store_seconds=lambda: self.reader.store_seconds,
            demand=dict,
            refresh_demand=lambda: None,
            crashes=dict,
            answered=tuple,
        )
        self.mesh = mesh.Mesh(settings(name), self.store_cache, state, clock)
        self.view = self.mesh.view
        # No connections are opened.
        self.mesh._update_links = lambda: None
        self.reader.mesh = self.mesh

    def receive(self, name, **changes):
        """Delivers a heartbeat of a peer with some fields changed."""
        heartbeat = heartbeat_module.Heartbeat(
            entry=entry(name),
            sent_at=5.0,
            echo=0.0,
            ready=True,
            shutting_down=False,
            polling=False,
            store_seconds=reader.UNKNOWN_LATENCY_SECONDS,
            confirmed_age=1e9,
            revisions={},
            demand={},
            snapshots={},
            crashes={},
            answered=(),
        )
        self.mesh._on_heartbeat(heartbeat._replace(**changes))

    def set_configuration(self, revision):
        self.store_cache.accept(
            store_cache.CONFIGURATION,
            version(revision),
            b"%d" % revision,
            "test",
        )


class VersionsTest(unittest.TestCase):
    """Snapshots that arrive from the store or from a peer.

    A snapshot (all objects of one kind at one revision) never replaces a newer
    one. A new upstream is cold (its cache is not filled yet) for some time.
    """

    def test_an_older_snapshot_is_ignored_from_any_source(self):
        host = Host()
        host.set_configuration(10)
        host.receive(
            "h2",
            snapshots={"configuration": heartbeat_module.SentSnapshot(9, b"9")},
        )
        self.assertEqual(host.store_cache.configuration.version, 10)
        host.receive(
            "h2",
            snapshots={
                "configuration": heartbeat_module.SentSnapshot(11, b"11")
            },
        )
        self.assertEqual(host.store_cache.configuration.version, 11)

    def test_an_invalid_snapshot_keeps_the_earlier_one(self):
        host = Host()
        host.set_configuration(10)
        host.receive(
            "h2",
            snapshots={
                "configuration": heartbeat_module.SentSnapshot(12, b"bad")
            },
        )
        self.assertEqual(host.store_cache.configuration.version, 10)
        self.assertEqual(host.store_cache.version("configuration"), version(10))

    def test_the_cold_time_starts_once_for_each_revision_of_an_entry(self):
        host = Host()

        def accept(revision, *upstreams):
            host.store_cache.accept(
                store_cache.UPSTREAMS,
                version(revision),
                store_cache.encode_content(upstreams),
                "test",
            )
            return host.store_cache.cold_until.get("u1")

        first = accept(1, upstream("u1", cold=3.0))
        self.assertEqual(first, host.clock.now + 3.0)
        host.clock.advance(1)
        self.assertEqual(
            accept(2, upstream("u1", cold=3.0), upstream("u2")), first
        )
        self.assertEqual(
            accept(3, upstream("u1", cold=3.0, revision=2)),
            host.clock.now + 3.0,
        )
        self.assertIsNone(accept(4, upstream("u1", revision=3)))


class ExpiredEntriesTest(unittest.TestCase):
    """Upstreams missing from a snapshot, without or after an outage.

    During an outage of the store the entries of live upstreams expire.
    """

    def setUp(self):
        self.host = Host()
        self.host.set_configuration(10)
        self.cache = self.host.store_cache
        self.confirm()
        for _ in range(4):
            self.host.clock.advance(1.0)
            self.confirm()
        self.accept(1, "u1", "u2")

    def confirm(self):
        self.cache.confirm(rank(10), self.host.clock.now)

    def accept(self, revision, *names):
        content = store_cache.encode_content([upstream(name) for name in names])
        self.cache.accept(
            store_cache.UPSTREAMS, version(revision), content, "test"
        )

    def test_without_an_outage_an_unlisted_upstream_is_dropped_at_once(self):
        self.accept(2, "u2")
        self.assertEqual(set(self.cache.upstreams), {"u2"})

    def test_after_an_outage_upstreams_have_time_to_register_again(self):
        self.host.clock.advance(6.0)
        self.accept(2)
        self.confirm()
        self.assertEqual(set(self.cache.upstreams), {"u1", "u2"})
        self.host.clock.advance(1.0)
        self.accept(3, "u1")
        self.confirm()
        self.assertEqual(set(self.cache.upstreams), {"u1", "u2"})
        changed = []
        self.cache.listeners.append(changed.append)
        # Without a confirmation between, this would be another outage.
        self.host.clock.advance(store_cache.REREGISTRATION_SECONDS / 2)
        self.confirm()
        self.assertEqual(changed, [])
        self.host.clock.advance(store_cache.REREGISTRATION_SECONDS / 2)
        self.confirm()
        # Upstreams still missing are dropped, without a further snapshot.
        self.assertEqual(set(self.cache.upstreams), {"u1"})
        self.assertEqual(changed, [store_cache.UPSTREAMS])

    def test_a_gap_at_this_host_alone_does_not_retain_upstreams(self):
        """Guards against DRAIN of hunt 13d4: work for an upstream that left.

        The relays of a host were suspended for so long that it took its own
        gap for an outage of the store, though the peer that sent the next list
        had polled the store all the time.
        """
        self.host.clock.advance(store_cache.OUTAGE_SECONDS + 0.2)
        content = store_cache.encode_content([upstream("u2")])
        self.host.receive(
            "h2",
            polling=True,
            store_seconds=0.004,
            echo=self.host.clock.now - 0.1,
            confirmed_age=0.1,
            revisions={"configuration": 10},
            snapshots={
                store_cache.UPSTREAMS: heartbeat_module.SentSnapshot(2, content)
            },
            relaying=heartbeat_module.Relaying(
                link_mbps=10.0,
                is_relay=True,
                wants_answer=True,
                wants_digest=False,
                takes_tokens=False,
                stable_seconds=60.0,
                digest=None,
            ),
        )
        self.assertEqual(set(self.cache.upstreams), {"u2"})

    def test_upstreams_retained_after_an_own_gap_are_dropped_by_a_peers_word(
        self,
    ):
        """Guards against DRAIN of hunt 13d4, at a host that reads the store.

        After its gap the host polls the store itself and can't know whether the
        store was out; a peer that was confirmed all the time can.
        """
        self.host.clock.advance(store_cache.OUTAGE_SECONDS + 0.2)
        self.accept(2, "u2")
        self.confirm()
        self.assertEqual(set(self.cache.upstreams), {"u1", "u2"})
        self.host.clock.advance(0.1)
        self.cache.confirm(rank(10), self.host.clock.now, stable_seconds=60.0)
        self.assertEqual(set(self.cache.upstreams), {"u2"})

    def test_an_outage_that_the_peer_saw_too_retains_upstreams(self):
        self.host.clock.advance(store_cache.OUTAGE_SECONDS + 0.2)
        self.accept(2, "u2")
        self.cache.confirm(rank(10), self.host.clock.now, stable_seconds=0.5)
        self.assertEqual(set(self.cache.upstreams), {"u1", "u2"})
        self.assertAlmostEqual(self.cache.stable_seconds(), 0.5)

    def test_a_draining_upstream_is_not_retained(self):
        upstreams = [upstream("u1")._replace(draining=True), upstream("u2")]
        self.cache.accept(
            store_cache.UPSTREAMS,
            version(2),
            store_cache.encode_content(upstreams),
            "test",
        )
        self.host.clock.advance(6.0)
        self.accept(3)
        self.assertEqual(set(self.cache.upstreams), {"u2"})


class FreshnessTest(unittest.TestCase):
    """Age of the last confirmation that a host's configuration is the newest.

    A peer confirms a revision by a heartbeat, which echoes the time at which
    this host sent its latest one. The age is the time since then plus the age
    of the peer's own confirmation.
    """

    def test_network_delay_adds_to_the_age(self):
        host = Host()
        host.set_configuration(10)
        requested_at = host.clock.now
        host.clock.advance(7)
        host.receive(
            "h2",
            echo=requested_at,
            confirmed_age=0.5,
            revisions={"configuration": 10},
        )
        self.assertEqual(host.store_cache.confirmed_age(), 7.5)

    def test_confirming_a_newer_configuration_has_no_effect(self):
        host = Host()
        host.set_configuration(10)
        host.receive(
            "h2",
            echo=host.clock.now,
            confirmed_age=0.0,
            revisions={"configuration": 11},
        )
        self.assertEqual(host.store_cache.confirmed_age(), float("inf"))

    def test_an_echo_of_an_earlier_incarnation_has_no_effect(self):
        host = Host()
        host.set_configuration(10)
        host.clock.advance(1)
        for echo in (host.view.started_at - 0.1, host.clock.now + 1, 0.0):
            host.receive(
                "h2",
                echo=echo,
                confirmed_age=0.0,
                revisions={"configuration": 10},
            )
        self.assertEqual(host.store_cache.confirmed_age(), float("inf"))

    def test_an_older_confirmation_is_ignored(self):
        host = Host()
        host.set_configuration(10)
        host.store_cache.confirm(rank(10), 999.0)
        host.store_cache.confirm(rank(10), 990.0)
        self.assertEqual(host.store_cache.confirmed_at, 999.0)


class PollingTest(unittest.TestCase):
    """When a host starts to poll the store, and when a peer makes it stop."""

    def test_a_host_confirmed_by_peers_does_not_poll(self):
        host = Host()
        host.set_configuration(10)
        host.store_cache.confirm(rank(10), host.clock.now)
        host.clock.advance(1.2)
        self.assertFalse(host.reader._should_poll())

    def test_a_host_takes_over_when_confirmations_stop(self):
        host = Host()
        host.set_configuration(10)
        host.store_cache.confirm(rank(10), host.clock.now)
        host.clock.advance(reader.TAKEOVER_SECONDS + 0.1)
        self.assertTrue(host.reader._should_poll())

    def test_hosts_with_a_lower_store_latency_take_over_first(self):
        host = Host()
        host.reader.store_seconds = 0.045
        host.set_configuration(10)
        host.store_cache.confirm(rank(10), host.clock.now)
        host.clock.advance(reader.TAKEOVER_SECONDS + 0.1)
        host.receive("h2", store_seconds=0.004)
        self.assertFalse(host.reader._should_poll())
        host.clock.advance(reader.TAKEOVER_STEP_SECONDS)
        self.assertTrue(host.reader._should_poll())

    def test_one_of_two_polling_hosts_stops(self):
        first, second = Host("h1"), Host("h2")
        for host, peer_name in ((first, "h2"), (second, "h1")):
            host.reader.store_seconds = 0.004
            host.reader.polling = True
            host.set_configuration(10)
            host.store_cache.confirm(rank(10), host.clock.now)
            host.receive(
                peer_name, polling=True, store_seconds=0.004, confirmed_age=0.1
            )
        self.assertTrue(first.reader._should_poll())
        self.assertFalse(second.reader._should_poll())

    def test_a_polling_peer_with_an_old_confirmation_does_not_end_polling(self):
        host = Host("h2")
        host.reader.polling = True
        host.reader.store_seconds = 0.004
        host.receive("h1", polling=True, store_seconds=0.004, confirmed_age=3.0)
        self.assertTrue(host.reader._should_poll())


class StartTest(unittest.TestCase):
    """Refusals and assumed demand of a host that has just started."""

    def test_a_host_serves_nothing_before_it_has_all_snapshots(self):
        host = Host()
        admission_control = admission.Admission(host.store_cache, None, 5.0)

        def code():
            refusal = admission_control.admit("h", "/", "")
            return refusal.code

        starting = codes.Code.HOST_STARTING
        self.assertEqual(code(), starting)
        host.set_configuration(10)
        for kind in (
            store_cache.UPSTREAMS,
            store_cache.EVACUATIONS,
            store_cache.HOSTS,
        ):
            self.assertEqual(code(), starting, kind)
            host.store_cache.accept(
                kind, version(1), store_cache.encode_content(()), "test"
            )
        self.assertEqual(code(), codes.Code.UNKNOWN_ROUTE)

    def test_peers_without_a_heartbeat_are_assumed_to_have_equal_demand(self):
        host = Host()
        entries = tuple(entry(name) for name in ("h1", "h2", "h3"))
        host.store_cache.hosts = {each.name: each for each in entries}
        meter = limits.RateMeter(host.mesh.clock.monotonic)
        meter.announced = {"a": 40.0}
        demand = account_demand.AccountDemand(
            meter, host.view, lambda: True, host.mesh.clock.monotonic
        )

        def others():
            return demand.local("a")[1]

        self.assertEqual(others(), (80.0, 2))
        host.receive("h2", demand={"a": 5.0})
        self.assertEqual(others(), (45.0, 2))
        # Registered hosts that sent no heartbeat for this time count as down.
        host.clock.advance(fleet_view.SHARE_EXPIRY_SECONDS + 0.1)
        self.assertEqual(others(), (0.0, 0))


class DemandTest(unittest.TestCase):
    """How long without heartbeats a peer's demand counts and it is listed."""

    def test_the_demand_of_a_host_without_heartbeats_is_ignored(self):
        host = Host()
        host.receive("h2", demand={"a": 5.0})
        host.clock.advance(fleet_view.SHARE_EXPIRY_SECONDS - 0.1)
        self.assertEqual(
            len(host.view.recent_heartbeats(fleet_view.SHARE_EXPIRY_SECONDS)), 1
        )
        host.clock.advance(0.2)
        self.assertEqual(
            host.view.recent_heartbeats(fleet_view.SHARE_EXPIRY_SECONDS), []
        )

    def test_a_host_is_not_listed_as_ready_after_the_peer_timeout(self):
        host = Host()
        host.receive("h2")
        self.assertEqual([h.name for h in host.view.ready_hosts()], ["h2"])
        host.clock.advance(fleet_view.PEER_TIMEOUT_SECONDS + 0.1)
        self.assertEqual(host.view.ready_hosts(), [])
        self.assertEqual(host.view.fleet_size(), 2)


if __name__ == "__main__":
    unittest.main()

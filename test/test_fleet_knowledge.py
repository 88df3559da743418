"""What hosts know and tell each other: versions, freshness, turns."""

import unittest

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir import front
from gooseberryweir.process.fleet import host_settings
from gooseberryweir.process.fleet import knowledge
from gooseberryweir.process.fleet import mesh
from gooseberryweir.process.fleet import reader
from gooseberryweir.request.steering import admission
from gooseberryweir.request.steering import limits
from gooseberryweir.version import traffic


def decode(content):
    """Decodes a configuration of which only the version matters."""
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
    """One host without sockets; beats are handed to it."""

    def __init__(self, name="h1"):
        self.clock = clocks.ManualClock()
        clock = self.clock.interface()
        self.knowledge = knowledge.Knowledge(decode, clock)
        self.reader = reader.Reader(
            lambda kind: None, lambda: None, self.knowledge, clock
        )
        state = mesh.OwnState(
            ready=lambda: True,
            leaving=lambda: False,
            reading=lambda: self.reader.reading,
            store_seconds=lambda: self.reader.store_seconds,
            demand=dict,
            announce=lambda: None,
            crashes=dict,
            answered=tuple,
        )
        self.mesh = mesh.Mesh(settings(name), self.knowledge, state, clock)
        self.mesh.meet = self.meet
        self.reader.mesh = self.mesh

    def meet(self, found):
        """Notes a host without opening a connection to it."""
        return self.mesh.peers.setdefault(found.name, mesh.Peer(found))

    def hear(self, name, **changes):
        beat = mesh.Beat(
            entry=entry(name),
            sent=5.0,
            echo=0.0,
            ready=True,
            leaving=False,
            reading=False,
            store_seconds=reader.UNKNOWN_SECONDS,
            confirmed_age=1e9,
            revisions={},
            demand={},
            parts={},
            crashes={},
            answered=(),
        )
        self.mesh._heard(beat._replace(**changes))

    def configure(self, revision):
        self.knowledge.accept(
            knowledge.CONFIGURATION, revision, b"%d" % revision, "test"
        )


class VersionsTest(unittest.TestCase):
    """Parts only go forward."""

    def test_an_older_part_changes_nothing_whoever_sends_it(self):
        host = Host()
        host.configure(10)
        host.hear("h2", parts={"configuration": knowledge.Part(9, b"9")})
        self.assertEqual(host.knowledge.configuration.version, 10)
        host.hear("h2", parts={"configuration": knowledge.Part(11, b"11")})
        self.assertEqual(host.knowledge.configuration.version, 11)

    def test_a_part_that_is_not_valid_leaves_the_earlier_one(self):
        host = Host()
        host.configure(10)
        host.hear("h2", parts={"configuration": knowledge.Part(12, b"bad")})
        self.assertEqual(host.knowledge.configuration.version, 10)
        self.assertEqual(host.knowledge.revision("configuration"), 10)

    def test_a_cold_time_is_counted_once_for_each_entry(self):
        host = Host()

        def accept(revision, *found):
            host.knowledge.accept(
                knowledge.UPSTREAMS, revision, knowledge.encode(found), "test"
            )
            return host.knowledge.cold_until.get("u1")

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


class LapsedEntriesTest(unittest.TestCase):
    """Entries of upstreams that ran out while the store was away."""

    def setUp(self):
        self.host = Host()
        self.host.configure(10)
        self.known = self.host.knowledge
        self.confirm()
        for _ in range(4):
            self.host.clock.advance(1.0)
            self.confirm()
        self.accept(1, "u1", "u2")

    def confirm(self):
        self.known.confirm(10, self.host.clock.now)

    def accept(self, revision, *names):
        content = knowledge.encode([upstream(name) for name in names])
        self.known.accept(knowledge.UPSTREAMS, revision, content, "test")

    def test_one_that_goes_while_the_store_is_there_is_gone_at_once(self):
        self.accept(2, "u2")
        self.assertEqual(set(self.known.upstreams), {"u2"})

    def test_after_the_store_was_away_they_have_time_to_come_back(self):
        self.host.clock.advance(6.0)
        self.accept(2)
        self.confirm()
        self.assertEqual(set(self.known.upstreams), {"u1", "u2"})
        self.host.clock.advance(1.0)
        self.accept(3, "u1")
        self.confirm()
        self.assertEqual(set(self.known.upstreams), {"u1", "u2"})
        changed = []
        self.known.listeners.append(changed.append)
        self.host.clock.advance(knowledge.RETURN_SECONDS)
        self.confirm()
        # What is missing after that is gone, without a further list.
        self.assertEqual(set(self.known.upstreams), {"u1"})
        self.assertEqual(changed, [knowledge.UPSTREAMS])

    def test_one_that_leaves_is_not_held(self):
        leaving = [upstream("u1")._replace(draining=True), upstream("u2")]
        self.known.accept(
            knowledge.UPSTREAMS, 2, knowledge.encode(leaving), "test"
        )
        self.host.clock.advance(6.0)
        self.accept(3)
        self.assertEqual(set(self.known.upstreams), {"u2"})


class FreshnessTest(unittest.TestCase):
    """How old a confirmation is, whatever way it took."""

    def test_a_beat_that_was_long_on_its_way_is_no_fresher_for_it(self):
        host = Host()
        host.configure(10)
        asked_at = host.clock.now
        host.clock.advance(7)
        host.hear(
            "h2",
            echo=asked_at,
            confirmed_age=0.5,
            revisions={"configuration": 10},
        )
        self.assertEqual(host.knowledge.age(), 7.5)

    def test_a_confirmation_of_a_newer_configuration_confirms_nothing(self):
        host = Host()
        host.configure(10)
        host.hear(
            "h2",
            echo=host.clock.now,
            confirmed_age=0.0,
            revisions={"configuration": 11},
        )
        self.assertEqual(host.knowledge.age(), float("inf"))

    def test_an_echo_of_an_earlier_process_confirms_nothing(self):
        host = Host()
        host.configure(10)
        host.clock.advance(1)
        for echo in (host.mesh.started_at - 0.1, host.clock.now + 1, 0.0):
            host.hear(
                "h2",
                echo=echo,
                confirmed_age=0.0,
                revisions={"configuration": 10},
            )
        self.assertEqual(host.knowledge.age(), float("inf"))

    def test_a_confirmation_never_gets_older(self):
        host = Host()
        host.configure(10)
        host.knowledge.confirm(10, 999.0)
        host.knowledge.confirm(10, 990.0)
        self.assertEqual(host.knowledge.confirmed_at, 999.0)


class TurnTest(unittest.TestCase):
    """Which host polls the store."""

    def test_a_host_that_is_confirmed_by_others_does_not_poll(self):
        host = Host()
        host.configure(10)
        host.knowledge.confirm(10, host.clock.now)
        host.clock.advance(1.2)
        self.assertFalse(host.reader._is_turn())

    def test_it_takes_over_once_nothing_is_confirmed(self):
        host = Host()
        host.configure(10)
        host.knowledge.confirm(10, host.clock.now)
        host.clock.advance(reader.TAKEOVER_SECONDS + 0.1)
        self.assertTrue(host.reader._is_turn())

    def test_hosts_that_reach_the_store_sooner_go_first(self):
        host = Host()
        host.reader.store_seconds = 0.045
        host.configure(10)
        host.knowledge.confirm(10, host.clock.now)
        host.clock.advance(reader.TAKEOVER_SECONDS + 0.1)
        host.hear("h2", store_seconds=0.004)
        self.assertFalse(host.reader._is_turn())
        host.clock.advance(reader.TAKEOVER_STEP_SECONDS)
        self.assertTrue(host.reader._is_turn())

    def test_one_of_two_that_poll_stops(self):
        first, second = Host("h1"), Host("h2")
        for host, other in ((first, "h2"), (second, "h1")):
            host.reader.store_seconds = 0.004
            host.reader.reading = True
            host.configure(10)
            host.knowledge.confirm(10, host.clock.now)
            host.hear(
                other, reading=True, store_seconds=0.004, confirmed_age=0.1
            )
        self.assertTrue(first.reader._is_turn())
        self.assertFalse(second.reader._is_turn())

    def test_a_poller_without_answers_keeps_no_other_from_polling(self):
        host = Host("h2")
        host.reader.reading = True
        host.reader.store_seconds = 0.004
        host.hear("h1", reading=True, store_seconds=0.004, confirmed_age=3.0)
        self.assertTrue(host.reader._is_turn())


class StartTest(unittest.TestCase):
    """What a host that has just started may do."""

    def test_it_serves_nothing_before_it_knows_all_parts(self):
        host = Host()
        admitting = admission.Admission(host.knowledge, None, 5.0)

        def code():
            found = admitting.admit("h", "/", "")
            return found.code

        starting = codes.Code.HOST_STARTING
        self.assertEqual(code(), starting)
        host.configure(10)
        for kind in (
            knowledge.UPSTREAMS,
            knowledge.EVACUATIONS,
            knowledge.HOSTS,
        ):
            self.assertEqual(code(), starting, kind)
            host.knowledge.accept(kind, 1, knowledge.encode(()), "test")
        self.assertEqual(code(), codes.Code.UNKNOWN_ROUTE)

    def test_hosts_not_heard_yet_count_as_much_as_this_one(self):
        host = Host()
        entries = tuple(entry(name) for name in ("h1", "h2", "h3"))
        host.knowledge.hosts = {each.name: each for each in entries}
        meter = limits.RateMeter(host.mesh.clock.monotonic)
        meter.announced = {"a": 40.0}
        others = front.others_demand(host.mesh, meter)
        self.assertEqual(others("a"), [40.0, 40.0])
        host.hear("h2", demand={"a": 5.0})
        self.assertEqual(sorted(others("a")), [5.0, 40.0])
        # A host that is still registered but long gone has no part.
        host.clock.advance(mesh.DEAD_SECONDS + 0.1)
        self.assertEqual(others("a"), [])


class DemandTest(unittest.TestCase):
    """Whose demand counts."""

    def test_a_host_silent_for_long_has_no_part_any_more(self):
        host = Host()
        host.hear("h2", demand={"a": 5.0})
        host.clock.advance(mesh.DEAD_SECONDS - 0.1)
        self.assertEqual(len(host.mesh.heard_within(mesh.DEAD_SECONDS)), 1)
        host.clock.advance(0.2)
        self.assertEqual(host.mesh.heard_within(mesh.DEAD_SECONDS), [])

    def test_a_host_silent_for_a_moment_is_not_named(self):
        host = Host()
        host.hear("h2")
        self.assertEqual([h.name for h in host.mesh.ready_hosts()], ["h2"])
        host.clock.advance(mesh.ALIVE_SECONDS + 0.1)
        self.assertEqual(host.mesh.ready_hosts(), [])
        self.assertEqual(host.mesh.fleet_size(), 2)


if __name__ == "__main__":
    unittest.main()

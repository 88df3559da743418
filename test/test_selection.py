"""From an admitted request to the upstream that it goes to."""

import random
import unittest

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir.connection import http_messages
from gooseberryweir.process.fleet import store_cache as store_cache_module
from gooseberryweir.request.steering import admission
from gooseberryweir.request.steering import limits
from gooseberryweir.request.steering import selection
from gooseberryweir.request.steering import serving
from gooseberryweir.request.steering import suspects
from gooseberryweir.request.steering import telemetry
from gooseberryweir.request.steering import upstream_state
from gooseberryweir.request.steering import work as work_module
from gooseberryweir.version import traffic
from test import test_fleet_knowledge

ZONES = {"n-a": "north", "s-a": "south", "m-a": "mid"}


def route(**changes):
    values = {
        "name": "r",
        "host": "h",
        "path_prefix": "/",
        "targets": (traffic.RouteTarget("s", 1.0),),
        "idempotent": True,
        "timeout": 1.0,
        "objective": 0.4,
        "max_attempts": 2,
        "importance": 1,
        "public": True,
        "affinity": True,
        "regions": frozenset(),
    }
    return traffic.Route(**{**values, **changes})


class Choosing:
    """A host in the north; four upstreams in the north, six in the south."""

    def __init__(self, **changes):
        self.clock = clocks.ManualClock()
        clock = self.clock.interface()
        self.knowledge = store_cache_module.StoreCache(None, clock)
        self.knowledge.configuration = traffic.Configuration(
            1,
            {"h": (route(**changes),)},
            {"s": traffic.Service("s", 11.0, 300)},
            {},
            {},
            False,
            traffic.CallerLimits(1, 1, 1, 1),
        )
        names = [f"n{i}" for i in range(4)] + [f"s{i}" for i in range(6)]
        self.knowledge.upstreams = {
            name: traffic.Upstream(
                name, "s", "10.0.0.1:80", f"{name[0]}-a", 8, False, 0.0, 0, 1
            )
            for name in names
        }
        self.states = upstream_state.UpstreamStates(clock.monotonic)
        self.selection = selection.Selection(
            selection.SelectionParts(
                test_fleet_knowledge.settings("h1")._replace(
                    zone="n-a", region_by_zone=ZONES
                ),
                clock,
                self.knowledge,
                self.states,
                limits.ColdLimit(
                    "h1", lambda: ["h1"], 1.5, 5.0, clock.monotonic
                ),
                random.Random(1),
                lambda: 1,
            )
        )

    def work(self, name="", deadline=1.0):
        found = self.knowledge.configuration.routes["h"][0]
        return work_module.Work(
            http_messages.Message("GET", "/", 0, (), b"", True),
            None,
            admission.Admitted(found, None, found.regions, 1),
            "s",
            self.clock.now,
            self.clock.now + deadline,
            name,
            "",
        )

    def choose(self, name="", tried=()):
        return self.selection.choose(self.work(name), set(tried))

    def chosen(self, objects=200):
        return [self.choose(f"o{i}").upstream.name[0] for i in range(objects)]


class SelectionTest(unittest.TestCase):
    """Which upstreams may run a request, and how it spreads."""

    def test_a_region_keeps_what_its_slots_can_take(self):
        # Four of ten upstreams stand here, and a third of the zones.
        self.assertEqual(set(Choosing().chosen()), {"n"})

    def test_a_poor_region_sends_the_rest_where_there_is_room(self):
        host = Choosing()
        for name in ("n0", "n1"):
            del host.knowledge.upstreams[name]
        away = host.chosen(400).count("s") / 400
        # Two of eight upstreams for a third of the work: a quarter goes.
        self.assertAlmostEqual(away, 0.25, delta=0.06)

    def test_objects_keep_their_homes_after_a_restart(self):
        before, after = Choosing(), Choosing()
        for index in range(100):
            before.choose(f"o{index}")
        self.assertEqual(before.chosen(), after.chosen())

    def test_leaving_evacuated_ejected_and_tried_ones_get_nothing(self):
        host = Choosing()
        upstreams = host.knowledge.upstreams
        upstreams["n0"] = upstreams["n0"]._replace(leaving=True)
        state = host.states.get("n1", 8)
        for _ in range(2):
            state.failed(host.clock.now, "broken", 1)
        host.knowledge.evacuated_zones = frozenset({"s-a"})
        for index in range(50):
            found = host.choose(f"o{index}", tried={"n2"})
            self.assertEqual(found.upstream.name, "n3")

    def test_a_route_with_regions_runs_only_there(self):
        host = Choosing(regions=frozenset({"south"}))
        self.assertEqual(set(host.chosen(50)), {"s"})
        host = Choosing(regions=frozenset({"mid"}))
        self.assertIsNone(host.choose("o1"))

    def test_a_cold_upstream_gets_its_part_and_no_more(self):
        host = Choosing()
        host.knowledge.cold_until = {
            name: host.clock.now + 3 for name in host.knowledge.upstreams
        }
        sent = 0
        for index in range(400):
            choice = host.choose(f"o{index}")
            if choice is None:
                break
            host.selection.sent(choice)
            sent += 1
        # 11 x 1.5 + 5, whole requests, at each of ten upstreams.
        self.assertLessEqual(sent, 21 * 10)

    def test_what_cannot_end_in_time_is_refused_at_once(self):
        host = Choosing()
        for name in host.knowledge.upstreams:
            host.states.get(name, 8).load_reported(40, 8, host.clock.now)
        choice = host.choose("o1")
        self.assertTrue(host.selection.overloaded(host.work("o1"), choice))

    def test_a_free_upstream_takes_work_however_little_time_is_left(self):
        host = Choosing()
        choice = host.choose("o1")
        work = host.work("o1", deadline=0.05)
        self.assertFalse(host.selection.overloaded(work, choice))


class ServingTest(unittest.TestCase):
    """What one request counts for."""

    def test_without_an_upstream_it_is_refused_as_not_run(self):
        host = Choosing()
        clock = host.clock.interface()
        host.knowledge.upstreams.clear()
        for kind in store_cache_module.KINDS:
            host.knowledge.snapshots[kind] = store_cache_module.Snapshot(1, b"")
        server = serving.Serving(
            serving.Parts(
                clock,
                host.knowledge,
                admission.Admission(host.knowledge, None, 5.0),
                host.selection,
                None,
                limits.RetryBudget(10, 0.2, 58, lambda: 1, clock.monotonic),
                telemetry.Telemetry(),
                lambda: False,
                random.Random(1),
                suspects.Suspects("h1", lambda: [], lambda: [], lambda: 0.0),
            )
        )
        message = http_messages.Message(
            "GET", "/x", 0, (("Host", "h"),), b"", True
        )
        answer = server.serve(message)
        self.assertEqual(answer.status, 503)
        headers = dict(answer.headers)
        self.assertEqual(
            int(headers["Gooseberryweir-Code"]), codes.Code.NO_HEADROOM
        )
        self.assertIn("Retry-After", headers)


if __name__ == "__main__":
    unittest.main()

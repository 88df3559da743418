"""Tests of the selection of upstreams for admitted requests."""

import random
import unittest

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir.connection import http_messages
from gooseberryweir.connection import upstream_pool
from gooseberryweir.process.fleet import peer_calls
from gooseberryweir.process.fleet import store_cache as store_cache_module
from gooseberryweir.process.fleet import upstream_limits
from gooseberryweir.process.fleet import upstream_tokens
from gooseberryweir.request.steering import admission
from gooseberryweir.request.steering import forwarding
from gooseberryweir.request.steering import limits
from gooseberryweir.request.steering import pending_request
from gooseberryweir.request.steering import reachability
from gooseberryweir.request.steering import selection
from gooseberryweir.request.steering import serving
from gooseberryweir.request.steering import suspects
from gooseberryweir.request.steering import telemetry
from gooseberryweir.request.steering import upstream_notices
from gooseberryweir.request.steering import upstream_state
from gooseberryweir.version import store_version
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


class SelectingHost:
    """A host in the region north that selects among ten upstreams.

    Upstreams n0 to n3 are in the north, s0 to s5 in the south.
    """

    def __init__(self, manual_clock=None, **changes):
        self.clock = manual_clock or clocks.ManualClock()
        clock = self.clock.interface()
        self.store_cache = store_cache_module.StoreCache(None, clock)
        self.store_cache.configuration = traffic.Configuration(
            1,
            {"h": (route(**changes),)},
            {"s": traffic.Service("s", 11.0, 300)},
            {},
            {},
            False,
            traffic.CallerLimits(1, 1, 1, 1),
        )
        names = [f"n{i}" for i in range(4)] + [f"s{i}" for i in range(6)]
        self.store_cache.upstreams = {
            name: traffic.Upstream(
                name,
                "s",
                "10.0.0.1:80",
                f"{name[0]}-a",
                8,
                False,
                0.0,
                0,
                1,
            )
            for name in names
        }
        self.states = upstream_state.UpstreamStates(clock.monotonic)
        self.upstream_tokens = upstream_tokens.UpstreamTokens(
            upstream_limits.UpstreamLimits(clock.monotonic),
            peer_calls.PeerCalls(lambda host, message: False),
            upstream_tokens.Neighbours(
                host="h1",
                region="north",
                token_source=lambda: "h1",
                relay_of=lambda region: None,
                linked=tuple,
                regions=lambda: 1,
                fleet_size=lambda: 1,
            ),
            clock,
        )
        self.notices = upstream_notices.UpstreamNotices(clock.monotonic)
        self.selection = selection.Selection(
            selection.SelectionDependencies(
                test_fleet_knowledge.settings("h1")._replace(
                    zone="n-a", region_by_zone=ZONES
                ),
                clock,
                self.store_cache,
                self.states,
                limits.ColdUpstreamLimit(
                    "h1", lambda: ["h1"], 1.5, 5.0, clock.monotonic
                ),
                random.Random(1),
                lambda: 1,
                self.upstream_tokens,
                self.notices,
            )
        )

    def request(self, object_name="", deadline=1.0):
        request_route = self.store_cache.configuration.routes["h"][0]
        return pending_request.PendingRequest(
            http_messages.Message("GET", "/", 0, (), b"", True),
            None,
            admission.AdmissionResult(
                request_route, None, request_route.regions, 1
            ),
            "s",
            self.clock.now,
            self.clock.now + deadline,
            object_name,
            "",
        )

    def choose(self, object_name="", tried=()):
        return self.selection.choose(self.request(object_name), set(tried))

    def chosen_regions(self, object_count=200):
        return [
            self.choose(f"o{i}").upstream.name[0] for i in range(object_count)
        ]


class SelectionTest(unittest.TestCase):
    """Which of ten upstreams in two regions a host selects, and how often.

    Upstreams may be drained, ejected, cold (their cache is not filled yet) or
    busy. A slot is capacity for one request at a time.
    """

    def test_a_region_with_enough_slots_keeps_its_requests(self):
        # The north has four of ten upstreams and one of three zones.
        self.assertEqual(set(SelectingHost().chosen_regions()), {"n"})

    def test_a_region_short_of_slots_sends_the_excess_elsewhere(self):
        host = SelectingHost()
        for name in ("n0", "n1"):
            del host.store_cache.upstreams[name]
        south_fraction = host.chosen_regions(400).count("s") / 400
        # The north has two of eight upstreams, so a quarter of the slots, for a
        # third of the demand: a quarter of its requests run elsewhere.
        self.assertAlmostEqual(south_fraction, 0.25, delta=0.06)

    def test_objects_keep_their_upstreams_after_a_restart(self):
        before, after = SelectingHost(), SelectingHost()
        for index in range(100):
            before.choose(f"o{index}")
        self.assertEqual(before.chosen_regions(), after.chosen_regions())

    def test_upstream_without_a_token_is_skipped_until_the_next_one(self):
        host = SelectingHost()
        limited = host.choose("o1")
        host.upstream_tokens.limits.record_answer(
            limited.upstream.incarnation, 1.0, host.clock.now
        )
        taken = [host.selection.take_token(limited) for _ in range(2)]
        host.clock.advance(0.6)
        taken.append(host.selection.take_token(limited))
        # A new bucket holds the tokens of half a second.
        self.assertEqual(taken, [False, False, True])
        self.assertFalse(host.selection.take_token(limited))
        self.assertNotEqual(
            host.choose("o1").upstream.name, limited.upstream.name
        )
        host.clock.advance(1.0)
        self.assertEqual(host.choose("o1").upstream.name, limited.upstream.name)

    def test_draining_evacuated_ejected_and_tried_upstreams_are_skipped(self):
        host = SelectingHost()
        upstreams = host.store_cache.upstreams
        upstreams["n0"] = upstreams["n0"]._replace(draining=True)
        state = host.states.get("n1", 8)
        for _ in range(2):
            state.record_failure(host.clock.now, "broken", 1)
        host.store_cache.evacuated_zones = frozenset({"s-a"})
        for index in range(50):
            choice = host.choose(f"o{index}", tried={"n2"})
            self.assertEqual(choice.upstream.name, "n3")

    def test_upstream_that_leaves_is_skipped_until_its_next_start(self):
        host = SelectingHost()
        upstreams = host.store_cache.upstreams
        left = host.choose("o1").upstream
        host.notices.record_leaving(left.incarnation, "answer")
        # The store still lists it as ready, and lists it again after an outage.
        host.store_cache.upstreams = {
            name: each for name, each in upstreams.items() if name != left.name
        }
        successor = host.choose("o1").upstream
        host.store_cache.upstreams = dict(upstreams)
        self.assertEqual(host.choose("o1").upstream, successor)
        host.store_cache.upstreams = {
            **upstreams,
            left.name: left._replace(started_at_ms=left.started_at_ms + 1),
        }
        self.assertEqual(host.choose("o1").upstream.name, left.name)

    def test_paused_upstream_gets_nothing_until_the_named_time_is_over(self):
        host = SelectingHost()
        paused = host.choose("o1").upstream
        host.notices.record_pause(paused.incarnation, 2.0)
        host.clock.advance(1.99)
        self.assertNotEqual(host.choose("o1").upstream, paused)
        host.clock.advance(0.02)
        self.assertEqual(host.choose("o1").upstream, paused)

    def test_time_until_a_place_is_free_if_all_upstreams_ask_for_a_pause(self):
        host = SelectingHost()
        names = list(host.store_cache.upstreams)
        for index, name in enumerate(names[1:]):
            host.notices.record_pause(f"{name}/0", 1.0 + index)
        self.assertEqual(host.selection.pause_seconds(host.request()), 0.0)
        host.notices.record_pause(f"{names[0]}/0", 5.0)
        self.assertEqual(host.selection.pause_seconds(host.request()), 1.0)
        self.assertIsNone(host.choose("o1"))

    def test_a_route_restricted_to_regions_runs_only_there(self):
        host = SelectingHost(regions=frozenset({"south"}))
        self.assertEqual(set(host.chosen_regions(50)), {"s"})
        host = SelectingHost(regions=frozenset({"mid"}))
        self.assertIsNone(host.choose("o1"))

    def test_a_cold_upstream_gets_at_most_its_rate_limit(self):
        host = SelectingHost()
        host.store_cache.cold_until = {
            name: host.clock.now + 3 for name in host.store_cache.upstreams
        }
        sent = 0
        for index in range(400):
            choice = host.choose(f"o{index}")
            if choice is None:
                break
            host.selection.record_sent(choice)
            sent += 1
        # 11 x 1.5 + 5 requests, rounded down, at each of ten upstreams.
        self.assertLessEqual(sent, 21 * 10)

    def test_a_long_expected_wait_counts_as_overload(self):
        host = SelectingHost()
        for name in host.store_cache.upstreams:
            host.states.get(name, 8).record_load(40, 8, host.clock.now)
        choice = host.choose("o1")
        self.assertTrue(
            host.selection.is_overloaded(host.request("o1"), choice)
        )

    def test_an_idle_upstream_takes_requests_with_short_deadlines(self):
        host = SelectingHost()
        choice = host.choose("o1")
        request = host.request("o1", deadline=0.05)
        self.assertFalse(host.selection.is_overloaded(request, choice))


class RequestHandlerTest(unittest.TestCase):
    """Answer of a host to a request while no upstream is registered."""

    def test_without_an_upstream_the_request_is_refused_as_not_run(self):
        host = SelectingHost()
        clock = host.clock.interface()
        host.store_cache.upstreams.clear()
        for kind in store_cache_module.KINDS:
            host.store_cache.snapshots[kind] = store_cache_module.Snapshot(
                store_version.StoreVersion(1, 1), b""
            )
        reachable = reachability.UpstreamReachability(
            reachability.Probing(list, lambda *_: False),
            clock,
            random.Random(1),
        )
        handler = serving.RequestHandler(
            serving.ServingDependencies(
                clock,
                host.store_cache,
                admission.Admission(host.store_cache, None, 5.0),
                host.selection,
                None,
                limits.RetryBudget(10, 0.2, 58, lambda: 1, clock.monotonic),
                telemetry.Telemetry(),
                lambda: False,
                random.Random(1),
                suspects.SuspectTracker(
                    "h1", lambda _: ["h1"], lambda: [], lambda: 0.0
                ),
                forwarding.Forwarder(
                    forwarding.ForwardingDependencies(
                        clock,
                        "north",
                        reachable,
                        list,
                        upstream_pool.UpstreamPool(clock),
                        random.Random(1),
                        host.notices,
                    )
                ),
                reachable,
            )
        )
        message = http_messages.Message(
            "GET", "/x", 0, (("Host", "h"),), b"", True
        )
        answer = handler.serve(message)
        self.assertEqual(answer.status, 503)
        headers = dict(answer.headers)
        self.assertEqual(
            int(headers["Gooseberryweir-Code"]), codes.Code.NO_HEADROOM
        )
        self.assertIn("Retry-After", headers)


if __name__ == "__main__":
    unittest.main()

"""Where work goes. Pattern: consistent hashing with bounded load."""

import collections
import random
import unittest

from gooseberryweir.request.steering import overload
from gooseberryweir.request.steering import placement
from gooseberryweir.request.steering import upstream_state
from gooseberryweir.version import traffic

TIMES = placement.WorkTimes(warm=0.1, cold=0.36, mean=0.1)
SLOTS = 8


def upstream(name):
    return traffic.Upstream(
        name, "s", "10.0.0.1:80", "a", SLOTS, False, 0.0, 0, 1
    )


def candidate(name, busy=0.0, slowness=1.0, failing=0.0, trip=0.0, warm=False):
    return placement.Candidate(
        upstream(name),
        upstream_state.Estimate(busy, SLOTS, slowness, failing),
        trip,
        float(SLOTS),
        warm,
    )


def homes(names, objects=400):
    idle = [candidate(name) for name in names]
    return {
        f"o{i}": placement.choose_affine(f"o{i}", idle, TIMES).upstream.name
        for i in range(objects)
    }


NAMES = [f"u{i}" for i in range(12)]


class PlacementTest(unittest.TestCase):
    """One choice at a time."""

    def test_hosts_agree_whatever_the_order_of_their_lists(self):
        shuffled = random.Random(3).sample(NAMES, len(NAMES))
        self.assertEqual(homes(NAMES), homes(shuffled))

    def test_objects_spread_evenly(self):
        counts = collections.Counter(homes(NAMES, 2400).values())
        self.assertGreater(min(counts.values()), 200 * 0.7)
        self.assertLess(max(counts.values()), 200 * 1.3)

    def test_a_loss_moves_only_the_objects_of_the_lost_one(self):
        before, after = homes(NAMES), homes(NAMES[1:])
        moved = {name for name in before if before[name] != after[name]}
        lost = {name for name in before if before[name] == NAMES[0]}
        self.assertEqual(moved, lost)

    def test_a_new_one_takes_its_part_and_no_other_moves(self):
        before, after = homes(NAMES), homes([*NAMES, "new"])
        moved = [name for name in before if before[name] != after[name]]
        self.assertTrue(moved)
        self.assertEqual({after[name] for name in moved}, {"new"})

    def home_and_rest(self):
        home = homes(NAMES)["o1"]
        return home, [name for name in NAMES if name != home]

    def test_a_short_wait_at_the_warm_one_beats_cold_work(self):
        home, rest = self.home_and_rest()
        found = placement.choose_affine(
            "o1",
            [candidate(home, busy=2 * SLOTS), *map(candidate, rest)],
            TIMES,
        )
        self.assertEqual(found.upstream.name, home)
        self.assertTrue(found.warm)

    def test_a_long_wait_at_the_warm_one_does_not(self):
        home, rest = self.home_and_rest()
        found = placement.choose_affine(
            "o1",
            [candidate(home, busy=6 * SLOTS), *map(candidate, rest)],
            TIMES,
        )
        self.assertEqual(found.place, 1)

    def test_a_slow_or_failing_one_is_left(self):
        home, rest = self.home_and_rest()
        for bad in (
            candidate(home, slowness=6.0),
            candidate(home, failing=0.9),
        ):
            found = placement.choose_affine(
                "o1", [bad, *map(candidate, rest)], TIMES
            )
            self.assertNotEqual(found.upstream.name, home)

    def test_where_it_was_handled_lately_counts_as_warm(self):
        home, rest = self.home_and_rest()
        near = [candidate(name, warm=name == rest[4]) for name in rest]
        found = placement.choose_affine(
            "o1", [candidate(home, busy=6 * SLOTS), *near], TIMES
        )
        self.assertEqual(found.upstream.name, rest[4])

    def test_without_an_object_the_least_cost_wins(self):
        found = placement.choose_least(
            [candidate("a", busy=9), candidate("b"), candidate("c", trip=0.2)],
            TIMES,
            lambda _: 0,
        )
        self.assertEqual(found.upstream.name, "b")


class TurnsTest(unittest.TestCase):
    """Requests shared by weight."""

    def test_any_run_of_requests_has_its_parts(self):
        route = traffic.Route(
            "r",
            "h",
            "/",
            (traffic.RouteTarget("a", 90), traffic.RouteTarget("b", 10)),
            True,
            1.0,
            1.0,
            1,
            0,
            True,
            False,
            frozenset(),
        )
        turns = placement.WeightedTurns()
        taken = [turns.next(route) for _ in range(1000)]
        self.assertEqual(taken.count("b"), 100)
        for start in range(0, 1000, 50):
            self.assertEqual(taken[start : start + 50].count("b"), 5)


class OverloadTest(unittest.TestCase):
    """Early refusal. Pattern: CoDel-like queue."""

    def test_less_important_work_is_turned_away_first(self):
        waits = [
            overload.longest_wait(0.6, 0.04, 0.26, 0.3, rank)
            for rank in range(4)
        ]
        self.assertEqual(waits, sorted(waits, reverse=True))
        self.assertEqual(len(set(waits)), 4)

    def test_a_moment_of_queue_is_always_allowed(self):
        self.assertGreater(overload.longest_wait(0.1, 0.0, 0.3, 0.3, 3), 0.0)

    def test_while_upstreams_are_cold_work_queues_to_warm_them(self):
        warm = overload.longest_wait(0.25, 0.0, 0.1, 0.12, 2)
        cold = overload.longest_wait(0.25, 0.0, 0.1, 0.36, 2)
        self.assertGreater(cold, 5 * warm)

    def test_returns_are_spread(self):
        told = [overload.retry_after(0.8, i / 10) for i in range(11)]
        self.assertGreater(max(told) - min(told), 0.5)
        self.assertGreaterEqual(min(told), overload.MIN_RETRY_SECONDS)


class UpstreamStateTest(unittest.TestCase):
    """Load and failures as seen. Pattern: outlier ejection."""

    def state(self):
        return upstream_state.UpstreamState("u", SLOTS, 0.0)

    def test_load_is_what_was_told_plus_what_was_sent_since(self):
        state = self.state()
        for _ in range(3):
            state.sent()
        state.load_reported(5, SLOTS, 1.0)
        state.sent()
        self.assertEqual(state.estimate(1.0).busy, 6.0)

    def test_a_queue_that_nobody_confirms_fades(self):
        state = self.state()
        state.load_reported(30, SLOTS, 1.0)
        self.assertGreater(state.estimate(1.1).busy, 20.0)
        self.assertLess(state.estimate(3.0).busy, SLOTS)

    def test_the_load_of_other_hosts_comes_back_after_a_report(self):
        # Another host keeps ten requests there; one report finds none.
        state = self.state()
        for step in range(40):
            state.load_reported(10, SLOTS, step * 0.25)
        state.load_reported(0, SLOTS, 10.0)
        self.assertEqual(state.estimate(10.0).busy, 0.0)
        self.assertGreater(state.estimate(10.8).busy, 6.0)
        # Without any report it fades in the end.
        self.assertLess(state.estimate(30.0).busy, 1.0)

    def test_one_that_keeps_too_few_objects_counts_as_partly_cold(self):
        # Cache of a size: what was warm is evicted by other objects.
        state = self.state()
        for step in range(40):
            state.succeeded(step * 0.1, None)
            state.found(step % 2 == 0)
        estimate = state.estimate(4.0)
        self.assertAlmostEqual(estimate.missing, 0.5, delta=0.15)
        found = candidate("u")._replace(estimate=estimate)
        work = placement.expected_work(found, True, TIMES)
        self.assertGreater(work, 1.8 * TIMES.warm)
        self.assertLess(work, TIMES.cold)
        self.assertEqual(
            placement.expected_work(found, False, TIMES), TIMES.cold
        )

    def test_an_ejected_one_gets_one_request_until_it_answers(self):
        state = self.state()
        state.failed(1.0, "broken", 1)
        self.assertTrue(state.usable(1.0))
        state.failed(1.0, "broken", 1)
        self.assertFalse(state.usable(1.1))
        self.assertTrue(state.usable(2.0))
        state.sent()
        self.assertFalse(state.usable(2.0))
        state.ended()
        state.succeeded(2.1, None)
        state.sent()
        self.assertTrue(state.usable(2.0))

    def test_timeouts_count_only_if_nothing_else_is_answered(self):
        state = self.state()
        state.succeeded(5.0, None)
        for _ in range(5):
            state.timed_out(5.5, 0.8, 0.1)
        self.assertTrue(state.usable(5.5))
        self.assertEqual(state.estimate(5.5).failing, 0.0)
        for _ in range(2):
            state.timed_out(7.0, 0.8, 0.1)
        self.assertFalse(state.usable(7.0))

    def test_an_upstream_that_answers_nothing_in_time_counts_as_full(self):
        state = self.state()
        state.succeeded(1.0, None)
        state.sent()
        state.timed_out(1.5, 0.8, 0.1)
        state.ended()
        busy = state.estimate(1.5).busy
        self.assertGreater(busy, 5 * SLOTS)
        home = homes(NAMES)["o1"]
        full = candidate(home, busy=busy)
        rest = [candidate(name) for name in NAMES if name != home]
        found = placement.choose_affine("o1", [full, *rest], TIMES)
        self.assertNotEqual(found.upstream.name, home)

    def test_requests_that_fail_together_eject_once(self):
        state = self.state()
        for _ in range(10):
            state.failed(1.0, "connect", 2)
        self.assertTrue(state.usable(1.0 + upstream_state.EJECT_SECONDS + 0.01))

    def test_failures_after_each_ejection_make_the_next_one_longer(self):
        state = self.state()
        now, lengths = 1.0, []
        for _ in range(5):
            state.failed(now, "connect", 2)
            lengths.append(state.ejected_until - now)
            now = state.ejected_until
        self.assertEqual(lengths, [0.5, 1.0, 2.0, 4.0, 4.0])

    def test_a_soft_failure_does_not_eject(self):
        state = self.state()
        for _ in range(9):
            state.failed(1.0, "status 500", 0)
        self.assertTrue(state.usable(1.0))
        self.assertGreater(state.estimate(1.0).failing, 0.5)

    def test_shedding_alone_does_not_drive_objects_to_cold_upstreams(self):
        state = self.state()
        for _ in range(50):
            state.shed(1.0)
        home = homes(NAMES)["o1"]
        shedding = candidate(home, failing=state.estimate(1.0).failing)
        rest = [candidate(name) for name in NAMES if name != home]
        found = placement.choose_affine("o1", [shedding, *rest], TIMES)
        self.assertEqual(found.upstream.name, home)


if __name__ == "__main__":
    unittest.main()

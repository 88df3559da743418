"""Tests of the choice of upstreams, early refusal and the state of upstreams.

An object is the data that a request's affinity key identifies. It is warm at an
upstream that has it in its cache, and cold at the others.

Patterns: consistent hashing with bounded load, CoDel-like queue limit, outlier
ejection.
"""

import collections
import random
import unittest

from gooseberryweir.request.steering import overload
from gooseberryweir.request.steering import placement
from gooseberryweir.request.steering import upstream_state
from gooseberryweir.version import traffic

TIMES = placement.ProcessingTimes(warm=0.1, cold=0.36, mean=0.1)
SLOTS = 8


def upstream(name):
    return traffic.Upstream(
        name, "s", "10.0.0.1:80", "a", SLOTS, False, 0.0, 0, 1
    )


def candidate(
    name,
    outstanding=0.0,
    slowness=1.0,
    failure_ratio=0.0,
    round_trip=0.0,
    handled_recently=False,
):
    return placement.Candidate(
        upstream(name),
        upstream_state.Estimate(outstanding, SLOTS, slowness, failure_ratio),
        round_trip,
        float(SLOTS),
        handled_recently,
    )


def preferred_upstreams(names, object_count=400):
    idle = [candidate(name) for name in names]
    return {
        f"o{i}": placement.choose_by_affinity(
            f"o{i}", idle, TIMES
        ).upstream.name
        for i in range(object_count)
    }


NAMES = [f"u{i}" for i in range(12)]


class PlacementTest(unittest.TestCase):
    """Upstream chosen for a request, by its object or by the least cost."""

    def test_the_choice_does_not_depend_on_the_order_of_candidates(self):
        shuffled = random.Random(3).sample(NAMES, len(NAMES))
        self.assertEqual(
            preferred_upstreams(NAMES), preferred_upstreams(shuffled)
        )

    def test_objects_spread_evenly(self):
        counts = collections.Counter(preferred_upstreams(NAMES, 2400).values())
        self.assertGreater(min(counts.values()), 200 * 0.7)
        self.assertLess(max(counts.values()), 200 * 1.3)

    def test_losing_an_upstream_moves_only_its_objects(self):
        before, after = (
            preferred_upstreams(NAMES),
            preferred_upstreams(NAMES[1:]),
        )
        moved = {name for name in before if before[name] != after[name]}
        lost = {name for name in before if before[name] == NAMES[0]}
        self.assertEqual(moved, lost)

    def test_adding_an_upstream_moves_objects_only_to_it(self):
        before, after = (
            preferred_upstreams(NAMES),
            preferred_upstreams([*NAMES, "new"]),
        )
        moved = [name for name in before if before[name] != after[name]]
        self.assertTrue(moved)
        self.assertEqual({after[name] for name in moved}, {"new"})

    def preferred_and_other_names(self):
        preferred = preferred_upstreams(NAMES)["o1"]
        return preferred, [name for name in NAMES if name != preferred]

    def test_a_short_wait_at_the_warm_upstream_is_accepted(self):
        preferred, others = self.preferred_and_other_names()
        choice = placement.choose_by_affinity(
            "o1",
            [
                candidate(preferred, outstanding=2 * SLOTS),
                *map(candidate, others),
            ],
            TIMES,
        )
        self.assertEqual(choice.upstream.name, preferred)
        self.assertTrue(choice.warm)

    def test_a_long_wait_at_the_warm_upstream_moves_the_object(self):
        preferred, others = self.preferred_and_other_names()
        choice = placement.choose_by_affinity(
            "o1",
            [
                candidate(preferred, outstanding=6 * SLOTS),
                *map(candidate, others),
            ],
            TIMES,
        )
        self.assertEqual(choice.rank, 1)

    def test_a_slow_or_failing_upstream_is_avoided(self):
        preferred, others = self.preferred_and_other_names()
        for unhealthy in (
            candidate(preferred, slowness=6.0),
            candidate(preferred, failure_ratio=0.9),
        ):
            choice = placement.choose_by_affinity(
                "o1", [unhealthy, *map(candidate, others)], TIMES
            )
            self.assertNotEqual(choice.upstream.name, preferred)

    def test_an_upstream_that_handled_the_object_recently_counts_as_warm(self):
        preferred, others = self.preferred_and_other_names()
        recent = [
            candidate(name, handled_recently=name == others[4])
            for name in others
        ]
        choice = placement.choose_by_affinity(
            "o1", [candidate(preferred, outstanding=6 * SLOTS), *recent], TIMES
        )
        self.assertEqual(choice.upstream.name, others[4])

    def test_a_request_without_an_object_goes_to_the_upstream_of_least_cost(
        self,
    ):
        choice = placement.choose_least_cost(
            [
                candidate("a", outstanding=9),
                candidate("b"),
                candidate("c", round_trip=0.2),
            ],
            TIMES,
            lambda _: 0,
        )
        self.assertEqual(choice.upstream.name, "b")


class RankedChoiceTest(unittest.TestCase):
    """The choice among many upstreams, of which most rank too low."""

    def test_the_choice_is_the_least_cost_of_all_candidates(self):
        """Guards against a choice that stops before the best candidate."""
        rng = random.Random(3)
        for count in (2, 40, 300):
            for _ in range(60):
                ordered = [
                    candidate(
                        f"u{i}",
                        outstanding=rng.choice((0, 6, 12, 30)),
                        slowness=rng.uniform(0.5, 3.0),
                        failure_ratio=rng.choice((0.0, 0.0, 0.5)),
                        round_trip=rng.choice((0.0, 0.05)),
                        handled_recently=rng.random() < 0.05,
                    )
                    for i in range(count)
                ]
                chosen = placement.choose_ranked(ordered, count, TIMES)

                def penalised_cost(rank):
                    each = ordered[rank]  # noqa: B023, called in this loop
                    warm = rank == 0 or each.handled_recently
                    seconds = placement.expected_processing_time(
                        each, warm, TIMES
                    )
                    wait = placement.expected_wait(each, TIMES.mean)
                    cost = placement.expected_cost(each, seconds, wait)
                    return cost * (1 + placement.RANK_PENALTY * rank)

                self.assertEqual(
                    chosen.rank, min(range(count), key=penalised_cost)
                )

    def test_most_of_many_idle_upstreams_are_not_evaluated(self):
        """Guards against requests that cost time for each of 300 upstreams."""
        evaluated = []

        def candidates():
            for i in range(300):
                evaluated.append(i)
                yield candidate(f"u{i}")

        placement.choose_ranked(candidates(), 300, TIMES)
        self.assertLess(len(evaluated), 40)


class WeightedRoundRobinTest(unittest.TestCase):
    """Distribution of requests over two services with weights 90 and 10."""

    def test_every_50_requests_are_split_by_weight(self):
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
        round_robin = placement.WeightedRoundRobin()
        services = [round_robin.next(route) for _ in range(1000)]
        self.assertEqual(services.count("b"), 100)
        for start in range(0, 1000, 50):
            self.assertEqual(services[start : start + 50].count("b"), 5)


class OverloadTest(unittest.TestCase):
    """Longest accepted wait for a slot, and Retry-After of refused requests."""

    def test_less_important_requests_are_refused_first(self):
        waits = [
            overload.max_queue_wait(0.6, 0.04, 0.26, 0.3, rank)
            for rank in range(4)
        ]
        self.assertEqual(waits, sorted(waits, reverse=True))
        self.assertEqual(len(set(waits)), 4)

    def test_a_short_queue_is_always_allowed(self):
        self.assertGreater(overload.max_queue_wait(0.1, 0.0, 0.3, 0.3, 3), 0.0)

    def test_while_upstreams_are_cold_a_queue_of_one_request_is_allowed(self):
        # Each waiting request takes a whole cold processing time of a slot.
        cold = overload.max_queue_wait(0.25, 0.0, 0.1, 0.36, 1)
        self.assertGreater(cold, 0.25 - 0.1)
        self.assertLess(cold, 0.36)

    def test_retry_delays_are_spread(self):
        delays = [overload.retry_after(0.8, i / 10) for i in range(11)]
        self.assertGreater(max(delays) - min(delays), 0.5)
        self.assertGreaterEqual(min(delays), overload.MIN_RETRY_AFTER_SECONDS)


class UpstreamStateTest(unittest.TestCase):
    """Estimates of an upstream's load and failures, and its ejection.

    An ejected upstream gets no requests for some time. An upstream sheds a
    request if it refuses it without processing it.
    """

    def state(self):
        return upstream_state.UpstreamState("u", SLOTS, 0.0)

    def test_load_is_the_report_plus_requests_sent_since(self):
        state = self.state()
        for _ in range(3):
            state.record_sent()
        state.record_load(5, SLOTS, 1.0)
        state.record_sent()
        self.assertEqual(state.estimate(1.0).outstanding, 6.0)

    def test_a_reported_queue_decays_without_new_reports(self):
        state = self.state()
        state.record_load(30, SLOTS, 1.0)
        self.assertGreater(state.estimate(1.1).outstanding, 20.0)
        self.assertLess(state.estimate(3.0).outstanding, SLOTS)

    def test_a_single_low_report_lowers_the_load_estimate_only_briefly(self):
        # A peer has ten requests at the upstream; a single report shows none.
        state = self.state()
        for step in range(40):
            state.record_load(10, SLOTS, step * 0.25)
        state.record_load(0, SLOTS, 10.0)
        self.assertEqual(state.estimate(10.0).outstanding, 0.0)
        self.assertGreater(state.estimate(10.8).outstanding, 6.0)
        # Without further reports the load decays.
        self.assertLess(state.estimate(30.0).outstanding, 1.0)

    def test_an_upstream_that_evicts_objects_counts_as_partly_cold(self):
        # In a cache of limited size, other objects evict warm ones.
        state = self.state()
        for step in range(40):
            state.record_success(step * 0.1, None)
            state.record_affinity_result(step % 2 == 0)
        estimate = state.estimate(4.0)
        self.assertAlmostEqual(estimate.miss_ratio, 0.5, delta=0.15)
        evicting = candidate("u")._replace(estimate=estimate)
        processing_time = placement.expected_processing_time(
            evicting, True, TIMES
        )
        self.assertGreater(processing_time, 1.8 * TIMES.warm)
        self.assertLess(processing_time, TIMES.cold)
        self.assertEqual(
            placement.expected_processing_time(evicting, False, TIMES),
            TIMES.cold,
        )

    def test_an_ejected_upstream_gets_one_request_until_it_answers(self):
        state = self.state()
        state.record_failure(1.0, "broken", 1)
        self.assertTrue(state.is_usable(1.0))
        state.record_failure(1.0, "broken", 1)
        self.assertFalse(state.is_usable(1.1))
        self.assertTrue(state.is_usable(2.0))
        state.record_sent()
        self.assertFalse(state.is_usable(2.0))
        state.record_ended()
        state.record_success(2.1, None)
        state.record_sent()
        self.assertTrue(state.is_usable(2.0))

    def test_timeouts_count_only_if_no_other_request_is_answered(self):
        state = self.state()
        state.record_success(5.0, None)
        for _ in range(5):
            state.record_timeout(5.5, 0.8, 0.1)
        self.assertTrue(state.is_usable(5.5))
        self.assertEqual(state.estimate(5.5).failure_ratio, 0.0)
        for _ in range(2):
            state.record_timeout(7.0, 0.8, 0.1)
        self.assertFalse(state.is_usable(7.0))

    # Guards against a host that refuses requests of others, since its upstreams
    # do not read an upload (issue 40).
    def test_an_upstream_that_does_not_read_a_request_is_not_full(self):
        state = self.state()
        state.record_success(1.0, None)
        state.record_timeout(1.5, 0.8, 0.1, held_up=True)
        self.assertEqual(state.estimate(1.5).outstanding, 0)
        # It still counts as silent if it answers no request at all.
        for _ in range(2):
            state.record_timeout(7.0, 0.8, 0.1, held_up=True)
        self.assertFalse(state.is_usable(7.0))

    def test_an_upstream_whose_requests_time_out_counts_as_full(self):
        state = self.state()
        state.record_success(1.0, None)
        state.record_sent()
        state.record_timeout(1.5, 0.8, 0.1)
        state.record_ended()
        outstanding = state.estimate(1.5).outstanding
        self.assertGreater(outstanding, 5 * SLOTS)
        preferred = preferred_upstreams(NAMES)["o1"]
        full = candidate(preferred, outstanding=outstanding)
        others = [candidate(name) for name in NAMES if name != preferred]
        choice = placement.choose_by_affinity("o1", [full, *others], TIMES)
        self.assertNotEqual(choice.upstream.name, preferred)

    # Guards against requests that are refused since one took too long.
    def test_a_timeout_is_no_queue_if_a_later_request_was_answered(self):
        state = self.state()
        state.record_run(1.2, 0.9)
        state.record_run(1.4, 1.3)
        state.record_run(1.45, 1.0)
        state.record_timeout(1.5, 0.8, 0.1)
        self.assertLessEqual(state.estimate(1.5).outstanding, SLOTS)
        # One that was sent earlier says nothing of the queue behind it.
        state.record_timeout(2.2, 0.8, 0.1)
        self.assertGreater(state.estimate(2.2).outstanding, 5 * SLOTS)

    def test_simultaneous_failures_eject_once(self):
        state = self.state()
        for _ in range(10):
            state.record_failure(1.0, "connect", 2)
        self.assertTrue(
            state.is_usable(1.0 + upstream_state.MIN_EJECTION_SECONDS + 0.01)
        )

    def test_consecutive_ejections_double_up_to_the_maximum(self):
        state = self.state()
        now, durations = 1.0, []
        for _ in range(5):
            state.record_failure(now, "connect", 2)
            durations.append(state.ejected_until - now)
            now = state.ejected_until
        self.assertEqual(durations, [0.5, 1.0, 2.0, 4.0, 4.0])

    def test_error_answers_do_not_eject(self):
        state = self.state()
        for _ in range(9):
            state.record_failure(1.0, "status 500", 0)
        self.assertTrue(state.is_usable(1.0))
        self.assertGreater(state.estimate(1.0).failure_ratio, 0.5)

    def test_shed_requests_alone_do_not_move_objects_to_cold_upstreams(self):
        state = self.state()
        for _ in range(50):
            state.record_shed(1.0)
        preferred = preferred_upstreams(NAMES)["o1"]
        shedding = candidate(
            preferred, failure_ratio=state.estimate(1.0).failure_ratio
        )
        others = [candidate(name) for name in NAMES if name != preferred]
        choice = placement.choose_by_affinity("o1", [shedding, *others], TIMES)
        self.assertEqual(choice.upstream.name, preferred)


if __name__ == "__main__":
    unittest.main()

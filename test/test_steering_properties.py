"""Tests properties of steering decisions with generated sequences of events."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from gooseberryweir import clock as clocks
from gooseberryweir.process.fleet import store_cache
from gooseberryweir.request.steering import limits
from gooseberryweir.request.steering import placement
from gooseberryweir.request.steering import upstream_state
from test import test_fleet_knowledge
from test import test_placement

# Each run generates the same examples, so that a failure can be reproduced.
REPEATABLE = settings(derandomize=True, deadline=None, max_examples=100)
STEP_SECONDS = strategies.floats(0.0, 1.5)


class StoreCacheProperties(unittest.TestCase):
    """Configuration of a host after snapshots or confirmations in any order.

    A snapshot holds the objects of one kind at one revision. A confirmation
    says at which time a revision was the newest.
    """

    @REPEATABLE
    @given(strategies.lists(strategies.integers(1, 30), max_size=40))
    def test_versions_never_go_back_and_the_newest_is_kept(self, revisions):
        clock = clocks.ManualClock().interface()
        cache = store_cache.StoreCache(test_fleet_knowledge.decode, clock)
        newest = 0
        for revision in revisions:
            cache.accept(
                store_cache.CONFIGURATION,
                test_fleet_knowledge.version(revision),
                b"%d" % revision,
                "test",
            )
            newest = max(newest, revision)
            self.assertEqual(cache.configuration.version, newest)

    @REPEATABLE
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(1, 5), strategies.floats(0, 100)
            ),
            max_size=40,
        )
    )
    def test_a_confirmation_of_a_newer_configuration_is_ignored(self, events):
        clock = clocks.ManualClock().interface()
        cache = store_cache.StoreCache(test_fleet_knowledge.decode, clock)
        cache.accept(
            store_cache.CONFIGURATION,
            test_fleet_knowledge.version(3),
            b"3",
            "test",
        )
        latest = float("-inf")
        for revision, time in events:
            cache.confirm(test_fleet_knowledge.rank(revision), time)
            if revision <= 3:
                latest = max(latest, time)
            self.assertEqual(cache.confirmed_at, latest)


class LimitProperties(unittest.TestCase):
    """Limits that all hosts share hold in every sliding window."""

    @REPEATABLE
    @given(
        strategies.integers(1, 70),
        strategies.floats(1.0, 60.0),
        strategies.lists(
            strategies.tuples(STEP_SECONDS, strategies.integers(0, 69)),
            max_size=120,
        ),
    )
    def test_a_cold_upstream_gets_at_most_its_rate_limit(
        self, host_count, rate, events
    ):
        clock = clocks.ManualClock()
        now = clock.interface().monotonic
        names = [f"h{i}" for i in range(host_count)]
        fleet = [
            limits.ColdUpstreamLimit(name, lambda: names, 1.5, 5.0, now)
            for name in names
        ]
        sent = []
        for step, index in events:
            clock.advance(step)
            host = fleet[index % host_count]
            for _ in range(30):
                if host.has_capacity("u", rate):
                    host.record_request("u")
                    sent.append(clock.now)
        for start in sent:
            in_window = sum(start <= time < start + 1.0 for time in sent)
            self.assertLessEqual(in_window, rate * 1.5 + 5.0)

    @REPEATABLE
    @given(
        strategies.lists(
            strategies.tuples(
                STEP_SECONDS, strategies.integers(0, 8), strategies.booleans()
            ),
            max_size=300,
        )
    )
    def test_retries_stay_within_the_budget(self, events):
        clock = clocks.ManualClock()
        now = clock.interface().monotonic
        fleet = [
            limits.RetryBudget(10.0, 0.2, 58.0, lambda: 9, now)
            for _ in range(9)
        ]
        requests, retries = [], []
        for step, index, is_retry in events:
            clock.advance(step / 10)
            if is_retry and fleet[index].try_acquire("s"):
                retries.append(clock.now)
            elif not is_retry:
                fleet[index].record_request("s")
                requests.append(clock.now)
        for end in retries:
            in_window = sum(end - 10 < time <= end for time in retries)
            requests_in_window = sum(
                end - 10 <= time <= end for time in requests
            )
            self.assertLessEqual(in_window, 0.2 * requests_in_window + 58)


class PlacementProperties(unittest.TestCase):
    """The cost of a choice is bounded for any state of the upstreams.

    It is at most the least cost that any upstream has for an object that is not
    in its cache, times 1 + `RANK_PENALTY` x number of upstreams.
    """

    @REPEATABLE
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0, 40),
                strategies.floats(0.5, 20),
                strategies.floats(0, 1),
                strategies.booleans(),
                strategies.floats(0, 1),
            ),
            min_size=1,
            max_size=30,
        ),
        strategies.text(max_size=5),
    )
    def test_the_cost_of_a_choice_is_bounded_by_the_least_cold_cost(
        self, states, object_name
    ):
        candidates = [
            placement.Candidate(
                test_placement.upstream(f"u{index}"),
                upstream_state.Estimate(
                    outstanding, 8, slowness, failure_ratio, miss_ratio
                ),
                0.0,
                8.0,
                handled_recently,
            )
            for index, (
                outstanding,
                slowness,
                failure_ratio,
                handled_recently,
                miss_ratio,
            ) in enumerate(states)
        ]
        times = test_placement.TIMES
        choice = placement.choose_by_affinity(object_name, candidates, times)
        least_cold_cost = min(
            placement.expected_cost(
                each,
                placement.expected_processing_time(each, False, times),
                placement.expected_wait(each, times.mean),
            )
            for each in candidates
        )
        max_penalty = 1 + placement.RANK_PENALTY * len(candidates)
        self.assertLessEqual(choice.cost, least_cold_cost * max_penalty + 1e-9)


if __name__ == "__main__":
    unittest.main()

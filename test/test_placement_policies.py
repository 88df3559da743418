"""Compares placement policies in a simulation with virtual time.

Pattern: consistent hashing with bounded load and early refusal, against random
choice, power of two choices, least expected time and the threshold rule.
"""

import functools
import unittest

from bench import placement as simulation

SEEDS = (1, 2, 3)
NORMAL_REQUESTS_PER_SECOND, HEAVY_REQUESTS_PER_SECOND = 310.0, 620.0
ARRIVAL_DURATION_SECONDS = 12.0


@functools.cache
def objective_fraction(policy, seed, rate):
    """Returns the fraction of requests that met the latency objective."""
    outcomes = simulation.simulate(
        simulation.POLICIES[policy], seed, rate, ARRIVAL_DURATION_SECONDS
    )
    return outcomes["in objective"] / outcomes["asked"]


class PoliciesTest(unittest.TestCase):
    """Which of two policies meets the latency objective for more requests.

    Both get the same requests, at a normal or a heavy rate.
    """

    def check_better(self, rate, better, worse):
        for seed in SEEDS:
            self.assertGreater(
                objective_fraction(better, seed, rate),
                objective_fraction(worse, seed, rate),
                seed,
            )

    def test_affinity_beats_the_least_expected_time(self):
        self.check_better(
            NORMAL_REQUESTS_PER_SECOND,
            "affinity by region",
            "least expected time",
        )
        self.check_better(
            HEAVY_REQUESTS_PER_SECOND,
            "affinity by region",
            "least expected time",
        )

    def test_affinity_beats_the_power_of_two_choices(self):
        self.check_better(
            NORMAL_REQUESTS_PER_SECOND,
            "affinity by region",
            "two choices in the region",
        )
        self.check_better(
            HEAVY_REQUESTS_PER_SECOND,
            "affinity by region",
            "two choices in the region",
        )

    def test_affinity_beats_the_threshold_rule(self):
        self.check_better(
            NORMAL_REQUESTS_PER_SECOND,
            "affinity by region",
            "threshold for far regions",
        )

    def test_early_refusal_meets_more_objectives_under_heavy_load(self):
        self.check_better(
            HEAVY_REQUESTS_PER_SECOND,
            "affinity by region, early refusal",
            "affinity by region",
        )

    def test_a_seed_gives_the_same_outcomes_each_time(self):
        policy = simulation.POLICIES["affinity by region, early refusal"]
        first = simulation.simulate(policy, 5, HEAVY_REQUESTS_PER_SECOND, 3.0)
        self.assertEqual(
            first,
            simulation.simulate(policy, 5, HEAVY_REQUESTS_PER_SECOND, 3.0),
        )


if __name__ == "__main__":
    unittest.main()

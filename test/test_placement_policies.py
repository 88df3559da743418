"""Ways to place work against each other, emulated in virtual time.

Pattern: consistent hashing with bounded load and early refusal, against random,
power of two choices, least expected time and the threshold rule.
"""

import functools
import unittest

from bench import placement as experiment

SEEDS = (1, 2, 3)
USUAL, HEAVY = 310.0, 620.0
LENGTH_SECONDS = 12.0


@functools.cache
def share(policy, seed, rate):
    """Returns the part of all requests that kept the objective."""
    found = experiment.play(
        experiment.POLICIES[policy], seed, rate, LENGTH_SECONDS
    )
    return found["in objective"] / found["asked"]


class PoliciesTest(unittest.TestCase):
    """The same arrivals, one policy after the other."""

    def check(self, rate, better, worse):
        for seed in SEEDS:
            self.assertGreater(
                share(better, seed, rate), share(worse, seed, rate), seed
            )

    def test_homes_beat_the_least_expected_time(self):
        self.check(USUAL, "homes by region", "least expected time")
        self.check(HEAVY, "homes by region", "least expected time")

    def test_homes_beat_two_choices(self):
        self.check(USUAL, "homes by region", "two choices in the region")
        self.check(HEAVY, "homes by region", "two choices in the region")

    def test_homes_beat_the_threshold_rule(self):
        self.check(USUAL, "homes by region", "threshold for far regions")

    def test_under_heavy_load_early_refusal_keeps_more_objectives(self):
        self.check(HEAVY, "homes by region, early refusal", "homes by region")

    def test_a_seed_gives_the_same_outcome_each_time(self):
        policy = experiment.POLICIES["homes by region, early refusal"]
        first = experiment.play(policy, 5, HEAVY, 3.0)
        self.assertEqual(first, experiment.play(policy, 5, HEAVY, 3.0))


if __name__ == "__main__":
    unittest.main()

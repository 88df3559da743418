"""Callers that read slowly and pipeline, over planned stops of real processes.

`python -m bench.slow_callers FIRST_SEED COUNT` runs more seeds.
"""

import unittest

from test import _slow_soak

SEEDS = (1, 2)


class SlowCallersSoakTest(unittest.TestCase):
    """Six hosts, of which two stop one after another and three at once."""

    @classmethod
    def setUpClass(cls):
        cls.results = {seed: _slow_soak.run(seed) for seed in SEEDS}

    # Guards against LOST of issue 35: what ran got no complete answer when a
    # host stopped while its callers read slowly and sent on.
    def test_what_ran_is_answered(self):
        for seed, result in self.results.items():
            with self.subTest(seed):
                self.assertEqual(result.violations, [], result.counts)
                self.assertGreater(result.counts["large"], 0)
                self.assertGreater(result.counts["status_200"], 500)

    # Guards against a host that the platform kills, since callers that never
    # read make it stay until the end of the grace period.
    def test_stops_end_within_the_grace_period(self):
        for seed, result in self.results.items():
            with self.subTest(seed):
                self.assertEqual(result.late_stops, [], result.counts)


if __name__ == "__main__":
    unittest.main()

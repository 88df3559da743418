"""Runs real processes under random faults and checks all conditions.

The conditions are those of `_invariants` and `_operation_checks`.

`python -m bench.faults FIRST COUNT` runs more seeds.
"""

import unittest

from test import _faults

SCHEDULE_SECONDS = 6.0


class FaultsTest(unittest.TestCase):
    """Schedules of two fixed seeds violate no condition."""

    def check(self, seed):
        result = _faults.run(seed, SCHEDULE_SECONDS)
        self.assertEqual(result.violations, [], result.spans)
        self.assertGreater(result.counts["signed"], 0)
        self.assertGreater(result.counts["accepted"], 0)

    def test_seed_2(self):
        self.check(2)

    def test_seed_4(self):
        self.check(4)

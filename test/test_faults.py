"""All conditions under seeded random faults, with real processes.

More seeds by hand: `python -m bench.faults FIRST COUNT`.
"""

import unittest

from test import _faults

SCHEDULE_SECONDS = 6.0


class FaultsTest(unittest.TestCase):
    """Two fixed seeds; judged by the conditions alone."""

    def check(self, seed):
        verdict = _faults.run(seed, SCHEDULE_SECONDS)
        self.assertEqual(verdict.violations, [], verdict.spans)
        self.assertGreater(verdict.figures["signed"], 0)
        self.assertGreater(verdict.figures["accepted"], 0)

    def test_seed_2(self):
        self.check(2)

    def test_seed_4(self):
        self.check(4)

"""Random faults and planned work on real hosts, judged by the users' rules.

`python -m bench.front_faults --seeds A-B` runs more seeds.
"""

import unittest

from test import _soak_runner

# With unplanned faults, and with planned work alone.
SEEDS = (2, 4)
SECONDS = 8.0
MIN_SERVED = 500


class FrontFaultsTest(unittest.TestCase):
    """Six hosts behind relays, with a schedule drawn from each seed."""

    # Guards against what issue 38 lost, and against all other broken rules
    # that callers and upstreams can see.
    def test_no_rule_is_broken(self):
        for seed in SEEDS:
            with self.subTest(seed):
                result = _soak_runner.run(seed, seconds=SECONDS)
                self.assertEqual(result.failures, [])
                self.assertEqual(
                    result.verdict.violations, [], result.records.spans
                )
                served = [a for a in result.records.attempts if a.status == 200]
                self.assertGreater(len(served), MIN_SERVED)


if __name__ == "__main__":
    unittest.main()

"""Planned stops of real hosts, judged by the users' rules."""

import unittest

from test import test_front_faults

CASES = (
    # Answers that a relay holds while its caller is silent, at stops.
    test_front_faults.Case(1, "stop", 12.0),
    test_front_faults.Case(3, "stop", 12.0),
)


class FrontStopsTest(unittest.TestCase):
    """Six hosts behind relays, with stops drawn from each seed."""

    # Guards against LOST of issue 39: answers of a stop that a relay held were
    # reset while their callers were silent.
    def test_no_rule_is_broken(self):
        test_front_faults.assert_no_rule_is_broken(self, CASES)


if __name__ == "__main__":
    unittest.main()

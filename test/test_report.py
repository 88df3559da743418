"""Tests of the numbers and names of tests that the whole run prints."""

import types
import unittest

from nose2 import result

from test import report


class OutcomeCollectorTest(unittest.TestCase):
    """A test counts as failed if one of its subtests fails.

    The recorded events have only those attributes of nose2's that are read.
    """

    def setUp(self):
        self.saved_outcomes = (
            set(report.OutcomeCollector.passed),
            set(report.OutcomeCollector.failed),
        )
        self.addCleanup(self.restore_outcomes)

    def restore_outcomes(self):
        report.OutcomeCollector.passed.clear()
        report.OutcomeCollector.failed.clear()
        report.OutcomeCollector.passed.update(self.saved_outcomes[0])
        report.OutcomeCollector.failed.update(self.saved_outcomes[1])

    def record(self, name, outcome, exc_info):
        test = types.SimpleNamespace(id=lambda: name)
        event = types.SimpleNamespace(
            outcome=outcome, exc_info=exc_info, test=test
        )
        collector = types.SimpleNamespace(
            passed=report.OutcomeCollector.passed,
            failed=report.OutcomeCollector.failed,
        )
        report.OutcomeCollector.testOutcome(collector, event)

    def test_a_failing_subtest_fails_its_test(self):
        self.record("test.x (seed=3)", result.SUBTEST, (ValueError,))
        self.record("test.y (seed=1)", result.SUBTEST, None)
        self.assertIn("test.x", report.OutcomeCollector.failed)
        self.assertNotIn("test.y", report.OutcomeCollector.failed)


class ModuleOutcomeTest(unittest.TestCase):
    """What the run of all modules concludes from the output of one."""

    def test_failed_tests_are_named(self):
        output = "noise\nfailed: test.m.T.test_x\n3 passed, 1 failed\n"
        self.assertEqual(
            report.outcome("test.m", output, 1), (3, ["test.m.T.test_x"])
        )

    def test_known_failures_alone_are_none(self):
        output = "known red: test.m.T.test_x\n3 passed, 0 failed\n"
        self.assertEqual(report.outcome("test.m", output, 0), (3, []))

    # Guards against a failed run whose output does not say what failed.
    def test_a_process_that_fails_without_a_failed_test_is_named(self):
        for output in ("", "Killed\n", "3 passed, 0 failed\n"):
            with self.subTest(output):
                _, failed = report.outcome("test.m", output, -9)
                self.assertEqual(failed, ["test.m, exit code -9"])


if __name__ == "__main__":
    unittest.main()

"""Tests that a failing subtest counts as a failing test."""

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

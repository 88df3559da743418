"""The verdict counts a failing subtest as a failing test."""

import types
import unittest

from nose2 import result

from test import report


class VerdictTest(unittest.TestCase):
    """Outcomes as nose2 hands them over."""

    def setUp(self):
        self.saved = set(report.Verdict.passed), set(report.Verdict.failed)
        self.addCleanup(self.restore)

    def restore(self):
        report.Verdict.passed.clear()
        report.Verdict.failed.clear()
        report.Verdict.passed.update(self.saved[0])
        report.Verdict.failed.update(self.saved[1])

    def outcome(self, name, kind, error):
        test = types.SimpleNamespace(id=lambda: name)
        event = types.SimpleNamespace(outcome=kind, exc_info=error, test=test)
        verdict = types.SimpleNamespace(
            passed=report.Verdict.passed, failed=report.Verdict.failed
        )
        report.Verdict.testOutcome(verdict, event)

    def test_a_failing_subtest_fails_its_test(self):
        self.outcome("test.x (seed=3)", result.SUBTEST, (ValueError,))
        self.outcome("test.y (seed=1)", result.SUBTEST, None)
        self.assertIn("test.x", report.Verdict.failed)
        self.assertNotIn("test.y", report.Verdict.failed)

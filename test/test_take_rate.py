"""Tests the result code if a request gets no token of its account's rate limit.

The home of the limit is the host that grants its tokens.
"""

import types
import unittest
from unittest import mock

from gooseberryweir import codes
from gooseberryweir.process.shares import bucket_waiters
from gooseberryweir.request import dispatch


class TakeRateTest(unittest.TestCase):
    """Result codes if the rate is exceeded and if no home grants tokens."""

    def code(self, over_rate):
        refused = bucket_waiters.Refused(0.5, over_rate)
        context = types.SimpleNamespace(
            shares=mock.Mock(**{"take.return_value": refused}),
            metrics=mock.Mock(),
        )
        admitted = types.SimpleNamespace(account="valle")
        with self.assertRaises(dispatch.RefusedError) as caught:
            dispatch.take_rate_token(context, admitted, 1.0)
        self.assertEqual(caught.exception.refusal.ran, codes.ExecutionState.NO)
        self.assertFalse(caught.exception.retryable)
        return caught.exception.refusal.code

    def test_a_missing_home_is_not_reported_as_exceeded_rate(self):
        self.assertEqual(self.code(True), codes.Code.RATE_EXCEEDED)
        self.assertEqual(self.code(False), codes.Code.NO_HOME)

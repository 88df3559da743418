"""Tests of the result codes, and of refusals: error answers with a code."""

import unittest

from gooseberryweir import codes


class CodesTest(unittest.TestCase):
    """The table has a row for each code, with default fields of refusals."""

    def test_every_code_has_a_row(self):
        self.assertEqual(set(codes.Code), set(codes.TABLE))

    def test_a_refusal_has_the_field_values_of_its_row(self):
        refusal = codes.refuse(codes.Code.RATE_EXCEEDED)
        self.assertEqual(refusal.ran, codes.ExecutionState.NO)
        self.assertEqual(refusal.retry_after, 1)

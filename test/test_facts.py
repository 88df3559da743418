"""Facts converge whatever the order in which they arrive."""

import random
import unittest

from gooseberryweir.process import facts as facts_module


class FactsTest(unittest.TestCase):
    """Merging and digests."""

    def test_any_order_and_repetition_converges(self):
        source = random.Random(1)
        pairs = [(f"incarnation/c{i % 5}", i) for i in range(1, 40)]
        results = []
        for _ in range(5):
            facts = facts_module.Facts()
            for key, value in source.sample(pairs, len(pairs)) + pairs[:7]:
                facts.add(key, value)
            results.append((facts.digest, facts.snapshot()))
        self.assertEqual(results, results[:1] * 5)
        self.assertNotEqual(results[0][0], 0)

    def test_listeners_hear_only_what_is_new(self):
        facts = facts_module.Facts()
        heard = []
        facts.listeners.append(heard.append)
        facts.merge({"dead/c1": 5, "withdrawn/ab": 1})
        self.assertEqual(facts.merge({"dead/c1": 5}), {})
        self.assertEqual(facts.merge({"dead/c1": 4, "x": 0}), {})
        facts.merge({"dead/c1": 6, "withdrawn/ab": 1})
        self.assertEqual(
            heard, [{"dead/c1": 5, "withdrawn/ab": 1}, {"dead/c1": 6}]
        )
        self.assertEqual(facts.get("absent"), 0)

"""Facts converge whatever the order in which they arrive."""

import hashlib
import random
import unittest

from gooseberryweir import clock as clocks
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.membership import forgetting
from gooseberryweir.process.shares import suspects
from gooseberryweir.version import objects
from gooseberryweir.version import tables as tables_module


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


class ForgettingTest(unittest.TestCase):
    """Facts end when the platform, or the hour, makes them needless."""

    def setUp(self):
        self.clock = clocks.ManualClock()
        self.store = objects.ObjectStore()
        tables = tables_module.Tables(self.store)
        self.facts = facts_module.Facts()
        self.facts.needless = forgetting.rule(tables, self.clock.interface())
        self.digest = hashlib.sha256(b"key").hexdigest()
        self.withdrawn = {f"withdrawn/{self.digest}": 1}

    def write_keys(self, version, state):
        spec = {"id": "x", "digests": {self.digest: state}}
        self.store.apply("steeringobjects/keys.ada", version, spec)
        self.facts.forget()

    def test_a_withdrawal_lasts_until_the_platform_holds_it(self):
        empty = self.facts.digest
        self.facts.merge(self.withdrawn)
        self.write_keys(1, "issued")
        self.assertEqual(self.facts.snapshot(), self.withdrawn)
        self.write_keys(2, "withdrawn")
        self.assertEqual(self.facts.snapshot(), {})
        self.assertEqual(self.facts.digest, empty)
        self.assertEqual(self.facts.merge(self.withdrawn), {})
        self.assertEqual(self.facts.reply(self.withdrawn), self.withdrawn)
        self.assertEqual(self.facts.digest, empty)

    def test_a_crash_lasts_for_as_long_as_it_counts(self):
        at = int(self.clock.interface().wall() * 1000)
        self.facts.add("crash/f/u/1", at)
        self.clock.advance(suspects.CRASH_RETENTION_MS / 1000)
        self.assertEqual(self.facts.forget(), 0)
        self.clock.advance(forgetting.CRASH_HOURS * 3600)
        self.assertEqual(self.facts.forget(), 1)

"""Tests that facts converge in any order of arrival, and expire.

Facts are small key-value entries that all hosts replicate and merge.
"""

import hashlib
import random
import unittest

from gooseberryweir import clock as clocks
from gooseberryweir.process.membership import fact_expiry
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.shares import suspects
from gooseberryweir.process.upkeep import withdrawals
from gooseberryweir.version import objects
from gooseberryweir.version import store_version
from gooseberryweir.version import tables as tables_module


class FactsTest(unittest.TestCase):
    """Merging of new, repeated and outdated facts in any order."""

    def test_facts_converge_in_any_order_and_if_repeated(self):
        rng = random.Random(1)
        pairs = [(f"incarnation/c{i % 5}", i) for i in range(1, 40)]
        results = []
        for _ in range(5):
            facts = facts_module.Facts()
            for key, value in rng.sample(pairs, len(pairs)) + pairs[:7]:
                facts.add(key, value)
            results.append((facts.digest, facts.snapshot()))
        self.assertEqual(results, results[:1] * 5)
        self.assertNotEqual(results[0][0], 0)

    def test_listeners_get_only_new_facts(self):
        facts = facts_module.Facts()
        notified = []
        facts.listeners.append(notified.append)
        facts.merge({"dead/c1": 5, "withdrawn/ab": 1})
        self.assertEqual(facts.merge({"dead/c1": 5}), {})
        self.assertEqual(facts.merge({"dead/c1": 4, "x": 0}), {})
        facts.merge({"dead/c1": 6, "withdrawn/ab": 1})
        self.assertEqual(
            notified, [{"dead/c1": 5, "withdrawn/ab": 1}, {"dead/c1": 6}]
        )
        self.assertEqual(facts.get("absent"), 0)


class FactExpiryTest(unittest.TestCase):
    """Facts are dropped once the platform has them or they are too old."""

    def setUp(self):
        self.clock = clocks.ManualClock()
        self.store = objects.ObjectStore()
        tables = tables_module.Tables(self.store)
        self.facts = facts_module.Facts()
        self.facts.is_obsolete = fact_expiry.obsolete_predicate(
            tables, self.clock.interface()
        )
        self.digest = hashlib.sha256(b"key").hexdigest()
        self.key_withdrawal = {f"withdrawn/{self.digest}": 1}

    def write_keys(self, version, state):
        spec = {"id": "x", "digests": {self.digest: state}}
        self.store.apply("steeringobjects/keys.ada", version, spec)
        self.facts.drop_obsolete()

    def test_a_key_withdrawal_is_kept_until_the_platform_has_it(self):
        empty_digest = self.facts.digest
        self.facts.merge(self.key_withdrawal)
        self.write_keys(1, "issued")
        self.assertEqual(self.facts.snapshot(), self.key_withdrawal)
        self.write_keys(2, "withdrawn")
        self.assertEqual(self.facts.snapshot(), {})
        self.assertEqual(self.facts.digest, empty_digest)
        self.assertEqual(self.facts.merge(self.key_withdrawal), {})
        self.assertEqual(
            self.facts.reply(self.key_withdrawal), self.key_withdrawal
        )
        self.assertEqual(self.facts.digest, empty_digest)

    def test_a_crash_fact_is_kept_for_its_retention_time(self):
        crashed_at_ms = int(self.clock.interface().wall() * 1000)
        self.facts.add("crash/f/u/1", crashed_at_ms)
        self.clock.advance(suspects.CRASH_RETENTION_MS / 1000)
        self.assertEqual(self.facts.drop_obsolete(), 0)
        self.clock.advance(fact_expiry.CRASH_RETENTION_HOURS * 3600)
        self.assertEqual(self.facts.drop_obsolete(), 1)


class ReturnedKeysTest(unittest.TestCase):
    """Withdrawn keys that an older copy of the store has as issued."""

    def setUp(self):
        self.store = objects.ObjectStore()
        self.tables = tables_module.Tables(self.store)
        self.facts = facts_module.Facts()
        self.facts.is_obsolete = fact_expiry.obsolete_predicate(
            self.tables, clocks.ManualClock().interface()
        )
        self.store.listeners.append(
            withdrawals.restorer(self.store, self.tables, self.facts)
        )
        self.digest = hashlib.sha256(b"key").hexdigest()
        self.fact = f"withdrawn/{self.digest}"
        self.write_keys(1, 5, "issued")
        self.write_keys(1, 7, "withdrawn")

    def write_keys(self, era, revision, state):
        spec = {"id": "x", "digests": {self.digest: state}}
        version = store_version.StoreVersion(era, revision)
        self.store.apply(
            "steeringobjects/keys.ada",
            objects.encode_version(version),
            None if state is None else spec,
        )
        self.facts.drop_obsolete()

    # Guards against a withdrawn key that is accepted again, and against its
    # withdrawal that nobody writes again.
    def test_a_key_stays_withdrawn_over_a_return(self):
        self.write_keys(2, 5, "issued")
        self.assertEqual(self.facts.get(self.fact), 1)
        self.assertEqual(
            withdrawals.unwritten_withdrawals(
                self.facts.snapshot(), self.tables.keys
            ),
            {"ada": {self.digest}},
        )
        self.write_keys(2, 6, "withdrawn")
        self.assertEqual(self.facts.snapshot(), {})

    def test_a_key_stays_withdrawn_if_the_copy_lacks_it_at_first(self):
        self.write_keys(2, 4, None)
        self.assertNotIn(self.digest, self.tables.keys)
        self.write_keys(2, 5, "issued")
        self.assertEqual(self.facts.get(self.fact), 1)

    # Guards against an era that is taken from another client account.
    def test_other_accounts_may_follow_the_return_first(self):
        other = {"id": "y", "digests": {"0" * 64: "issued"}}
        version = store_version.StoreVersion(2, 4)
        self.store.apply(
            "steeringobjects/keys.ben", objects.encode_version(version), other
        )
        self.write_keys(2, 5, "issued")
        self.assertEqual(self.facts.snapshot(), {self.fact: 1})

    def test_a_change_in_the_same_era_counts(self):
        self.write_keys(1, 8, "issued")
        self.assertEqual(self.facts.snapshot(), {})
        self.write_keys(2, 5, "issued")
        self.assertEqual(self.facts.snapshot(), {})

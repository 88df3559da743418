"""Tests of the object store and of the look-up tables built from it."""

import copy
import logging
import random
import unittest

from gooseberryweir.version import declarations
from gooseberryweir.version import objects
from gooseberryweir.version import store_version
from gooseberryweir.version import tables
from test import test_declarations

_DIGEST_1, _DIGEST_2 = "1" * 64, "2" * 64
_KEYS_PREFIX = objects.KEYS_PREFIX


def _upstream(name, leaving=False, **changes):
    return {
        "name": name, "region": "centro", "zone": "centro-a", "slots": 8,
        "address": "127.0.0.1:9", "connections": 330, "leaving": leaving,
        **changes,
    }  # fmt: skip


def _host(name, **changes):
    return {
        "name": name, "region": "centro", "zone": "centro-a",
        "caller": "127.0.0.1:1", "peer": "127.0.0.1:2",
        "operator": "127.0.0.1:3", "leaving": False, **changes,
    }  # fmt: skip


def _digest_of(store):
    digest = 0
    for name, version in store.versions().items():
        digest ^= objects.object_digest(name, version)
    return digest


class ObjectStoreTest(unittest.TestCase):
    """A stored object is replaced only by a newer version."""

    def test_stores_converge_whatever_the_order_of_arrival(self):
        rng = random.Random(7)
        history = [
            (f"kind/{rng.randrange(5)}", version, rng.choice([None, version]))
            for version in range(1, 60)
        ]
        stores = []
        for _ in range(3):
            store = objects.ObjectStore()
            for entry in rng.sample(history * 2, len(history) * 2):
                before = store.version(entry[0])
                self.assertEqual(store.apply(*entry), entry[1] > before)
                self.assertEqual(store.digest, _digest_of(store))
            stores.append(store)
        self.assertEqual(stores[0].objects, stores[1].objects)
        self.assertEqual({store.digest for store in stores}, {stores[0].digest})

    def test_a_deleted_object_keeps_the_version_of_its_deletion(self):
        store = objects.ObjectStore()
        store.apply("kind/a", 3, {})
        store.apply("kind/a", 5, None)
        self.assertFalse(store.apply("kind/a", 4, {}))
        self.assertIsNone(store.get("kind/a"))
        self.assertEqual(store.versions(), {"kind/a": 5})

    def test_newer_than_returns_changes_that_another_store_lacks(self):
        store, other = objects.ObjectStore(), objects.ObjectStore()
        store.apply("kind/b", 2, {})
        store.apply("kind/a", 9, None)
        other.apply("kind/b", 2, {})
        newer = store.newer_than(other.versions())
        self.assertEqual(newer, (("kind/a", 9, None),))
        for entry in newer:
            other.apply(*entry)
        self.assertEqual(store.digest, other.digest)


class TablesTest(unittest.TestCase):
    """Tables built from valid, malformed, changed and deleted objects."""

    def setUp(self):
        self.store = objects.ObjectStore()
        self.tables = tables.Tables(self.store)
        self.version = 0
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def put(self, name, content):
        self.version += 1
        self.store.apply(name, self.version, content)

    def test_tables_are_built_from_objects_already_stored(self):
        self.put(
            objects.CONFIG, {"declarations": test_declarations.VALID_DOCUMENT}
        )
        self.put(objects.HOSTS, {"endpoints": [_host("c1", extra=1)]})
        drains = {"region/norte": True, "upstream/m1": False}
        self.put(objects.DRAINS, {"drains": drains})
        self.put("steeringobjects/other", {})
        built = tables.Tables(self.store)
        expected = declarations.parse(test_declarations.VALID_DOCUMENT).unwrap()
        self.assertEqual(built.declarations, expected)
        self.assertEqual(built.config_version, 1)
        self.assertEqual(built.hosts["c1"].peer, "127.0.0.1:2")
        self.assertEqual(built.drains, {"region/norte"})

    def test_a_malformed_object_never_replaces_a_valid_one(self):
        valid = {
            objects.CONFIG: {"declarations": test_declarations.VALID_DOCUMENT},
            objects.HOSTS: {"endpoints": [_host("c1")]},
            objects.DRAINS: {"drains": {"region/norte": True}},
            f"{objects.SERVICE_PREFIX}maps": {"endpoints": [_upstream("m1")]},
            f"{_KEYS_PREFIX}televalle": {"digests": {_DIGEST_1: "issued"}},
        }
        malformed = {
            objects.CONFIG: [None, {}, {"declarations": {"regions": {}}}],
            objects.HOSTS: [{"endpoints": [_host("c2"), _host("", zone=3)]}],
            objects.DRAINS: [
                {"drains": {"norte": True}},
                {"drains": {"region/golfo": "yes"}},
            ],
            f"{objects.SERVICE_PREFIX}maps": [
                {"endpoints": [_upstream("m2", address="upstream:80")]},
                {"endpoints": [_upstream("m2", slots=True)]},
            ],
            f"{_KEYS_PREFIX}televalle": [{"digests": {"a key": "issued"}}],
        }
        for name, content in valid.items():
            self.put(name, content)
        before = self.table_contents()
        for name, contents in malformed.items():
            for content in [*contents, 3, []]:
                self.put(name, content)
                self.assertEqual(self.table_contents(), before)
                self.assertEqual(self.tables.malformed[name], self.version)
            self.put(name, valid[name])
        self.assertEqual(self.tables.malformed, {})

    def table_contents(self):
        return (
            self.tables.declarations, self.tables.hosts, self.tables.drains,
            dict(self.tables.upstreams), dict(self.tables.keys),
        )  # fmt: skip

    def test_a_change_rebuilds_only_the_entries_of_its_object(self):
        self.put(f"{objects.SERVICE_PREFIX}maps", {"endpoints": []})
        self.put(
            f"{objects.SERVICE_PREFIX}radar", {"endpoints": [_upstream("r1")]}
        )
        self.put(f"{_KEYS_PREFIX}televalle", {"digests": {_DIGEST_1: "issued"}})
        radar, key = self.tables.upstreams["radar"], self.tables.keys[_DIGEST_1]
        self.put(
            f"{objects.SERVICE_PREFIX}maps", {"endpoints": [_upstream("m1")]}
        )
        self.put(f"{_KEYS_PREFIX}bahia-tv", {"digests": {_DIGEST_2: "issued"}})
        self.assertIs(self.tables.upstreams["radar"], radar)
        self.assertIs(self.tables.keys[_DIGEST_1], key)
        self.put(f"{objects.SERVICE_PREFIX}maps", None)
        self.put(f"{_KEYS_PREFIX}televalle", None)
        self.assertEqual(set(self.tables.upstreams), {"radar"})
        self.assertEqual(set(self.tables.keys), {_DIGEST_2})

    def test_of_two_entries_with_one_name_the_serving_one_is_kept(self):
        serving, leaving = _upstream("m1", slots=9), _upstream("m1", True)
        for endpoints in ([serving, leaving], [leaving, serving]):
            self.put(f"{objects.SERVICE_PREFIX}maps", {"endpoints": endpoints})
            (entry,) = self.tables.upstreams["maps"]
            self.assertEqual((entry.slots, entry.leaving), (9, False))

    def test_a_key_of_two_accounts_is_valid_for_neither(self):
        self.put(f"{_KEYS_PREFIX}televalle", {"digests": {_DIGEST_1: "issued"}})
        self.put(f"{_KEYS_PREFIX}bahia-tv", {"digests": {_DIGEST_1: "issued"}})
        self.assertTrue(self.tables.keys[_DIGEST_1].withdrawn)
        self.put(f"{_KEYS_PREFIX}bahia-tv", {"digests": {}})
        self.assertEqual(
            self.tables.keys[_DIGEST_1], tables.KeyEntry("televalle", False)
        )


class StoreReturnTest(unittest.TestCase):
    """The platform's store returns with earlier declarations and drains."""

    def setUp(self):
        self.store = objects.ObjectStore()
        self.tables = tables.Tables(self.store)
        self.apply(1, 5, "one", (), 100.0)
        self.apply(1, 7, "two", ("one",), 200.0)

    def apply(self, era, revision, write_id, earlier, latency):
        """Stores declarations and drains that name the value `latency`."""
        document = copy.deepcopy(test_declarations.VALID_DOCUMENT)
        document["links"][0]["latency_ms"] = latency
        written = {"id": write_id, "earlier": list(earlier)}
        version = objects.encode_version(
            store_version.StoreVersion(era, revision)
        )
        self.store.apply(
            objects.CONFIG, version, {**written, "declarations": document}
        )
        drains = {f"upstream/{latency:.0f}": True}
        self.store.apply(objects.DRAINS, version, {**written, "drains": drains})

    def assert_in_force(self, latency):
        declared = self.tables.declarations
        self.assertEqual(declared.links[0].latency_ms, latency)
        self.assertEqual(self.tables.drains, {f"upstream/{latency:.0f}"})

    # Guards against declarations and drains that go back with the store.
    def test_what_came_before_does_not_replace_what_is_in_force(self):
        self.apply(2, 5, "one", (), 100.0)
        self.assert_in_force(200.0)
        self.apply(3, 5, "one", (), 100.0)
        self.assert_in_force(200.0)

    def test_what_operators_write_after_the_return_is_in_force(self):
        self.apply(2, 5, "one", (), 100.0)
        self.apply(2, 6, "three", ("one",), 300.0)
        self.assert_in_force(300.0)
        self.apply(2, 7, "four", ("one", "three"), 400.0)
        self.assert_in_force(400.0)

    def test_the_same_once_more_is_in_force(self):
        self.apply(2, 7, "two", ("one",), 200.0)
        self.assert_in_force(200.0)
        self.assertEqual(
            self.tables.config_version, self.store.version(objects.CONFIG)
        )

    def test_drains_that_the_copy_lacks_stand(self):
        version = objects.encode_version(store_version.StoreVersion(2, 5))
        self.store.apply(objects.DRAINS, version, None)
        self.assert_in_force(200.0)

"""Tests of the watcher, which copies the platform's objects to a host.

A list, an answer with all objects of a kind, confirms that the host's objects
are current unless it is older than they are.
"""

import time
import unittest
import unittest.mock

from gooseberryweir.connection import messages
from gooseberryweir.platform import store as platform_store
from gooseberryweir.process.upkeep import watcher as watcher_module
from gooseberryweir.version import objects
from gooseberryweir.version import store_version
from test import _common
from test import _odd_entries
from test import test_platform_client

KIND = objects.STEERING_OBJECTS
SLICES = objects.ENDPOINT_SLICES
CONFIG = f"{KIND}/config"
# Age of the copy from which the store returns.
LOST_SECONDS = 0.5


class StopLoop(BaseException):
    """Raised by a test to stop the endless loop of a task."""


class WatcherCase(test_platform_client.PlatformCase):
    """A watcher whose calls are made one by one, without its tasks."""

    def setUp(self):
        super().setUp()
        self.store = objects.ObjectStore()
        self.confirmed_at = []
        self.watcher = watcher_module.Watcher(
            self.api,
            self.store,
            self.confirmed_at.append,
            lambda: True,
            self.clock.interface(),
            jitter=lambda: 0.5,
        )
        self.watcher.watch_seconds = 1.0
        self.put("config", {"value": 1})

    def config_value(self):
        return self.store.get(CONFIG)["value"]

    def call_count(self, verb):
        return self.control()["calls"].get(f"{KIND} {verb}", 0)


class WatcherTest(WatcherCase):
    """Lists, watches and polls with late, stale or missing changes."""

    def test_a_list_confirms_the_objects_as_of_its_request(self):
        requested_at = self.clock.now
        self.assertEqual(self.watcher.list_kind(KIND), 1)
        self.assertEqual(self.confirmed_at, [requested_at])
        self.watcher.list_kind(SLICES)
        self.assertEqual(self.confirmed_at, [requested_at])

    def test_late_duplicated_and_reordered_events_leave_the_newest_object(self):
        self.control(watch_late_ms=100, watch_twice=True, watch_shuffled=True)
        for value in range(2, 6):
            self.put("config", {"value": value})
        self.put("drains", {"drains": {}})
        self.assertEqual(self.watcher.watch_once(KIND, 0), 6)
        self.assertEqual(self.config_value(), 5)
        self.assertEqual(self.store.versions()[f"{KIND}/drains"], 6)

    def test_a_stale_read_changes_and_confirms_nothing(self):
        self.watcher.list_kind(KIND)
        self.control(stale_reads=True)
        self.put("config", {"value": 2})
        self.put("new", {})
        self.watcher.watch_once(KIND, 1)
        self.confirmed_at.clear()
        self.watcher.list_kind(KIND)
        self.watcher.list_kind(KIND)
        self.assertEqual(self.config_value(), 2)
        self.assertIsNotNone(self.store.get(f"{KIND}/new"))
        self.assertEqual(self.confirmed_at, [])
        self.control(stale_reads=False)
        self.watcher.list_kind(KIND)
        self.assertEqual(len(self.confirmed_at), 1)

    def test_a_list_older_than_an_earlier_list_confirms_nothing(self):
        self.control(stale_reads=True)
        self.put("hosts", {"endpoints": []}, SLICES)
        self.watcher.newest_listed[KIND] = 2
        self.watcher.list_kind(KIND)
        self.assertEqual(self.confirmed_at, [])

    def test_a_list_contains_changes_that_a_watch_missed(self):
        self.watcher.list_kind(KIND)
        self.put("config", {"value": 2})
        self.watcher.poll_once()
        self.assertEqual(self.config_value(), 2)
        self.assertEqual(len(self.confirmed_at), 2)

    def test_a_poll_lists_other_kinds_only_after_a_change(self):
        def list_calls():
            return self.control()["calls"].get(f"{SLICES} list", 0)

        self.watcher.poll_once()
        self.assertEqual(list_calls(), 1)
        self.watcher.poll_once()
        self.assertEqual(list_calls(), 1)
        self.put("hosts", {"endpoints": []}, SLICES)
        self.watcher.poll_once()
        self.assertEqual(list_calls(), 2)
        self.assertIsNotNone(self.store.get(f"{SLICES}/hosts"))

    def test_a_list_with_a_malformed_object_confirms_nothing(self):
        self.watcher.list_kind(KIND)
        self.put("config", {"value": 2})
        malformed = platform_store.Listing([b'{"spec": {}}'], 2, 0.0)
        with unittest.mock.patch.object(
            self.api, "list", return_value=malformed
        ):
            self.watcher.poll_once()
        self.assertEqual((self.config_value(), len(self.confirmed_at)), (1, 1))

    # Guards against hosts that stop following the upstreams after an odd entry
    # of another writer, and hosts that can't send their objects to others.
    def test_odd_entries_do_not_hide_the_others(self):
        values = {
            **dict(_odd_entries.nested_values()),
            **_odd_entries.NUMBERS,
            "600 lists": _odd_entries.nested_lists(600),
        }
        for number, (description, value) in enumerate(values.items()):
            document = _odd_entries.stored("odd", {}, 2 + 2 * number)
            text = _odd_entries.with_value(document, ("spec", "a"), value)
            self.control(put_raw={"kind": SLICES, "name": "odd", "text": text})
            self.put(f"new-{number}", {"endpoints": []}, SLICES)
            with self.subTest(description):
                self.watcher.poll_once()
                self.assertIsNotNone(self.store.get(f"{SLICES}/new-{number}"))
                self.assertEqual(len(self.confirmed_at), number + 1)
                messages.encode(
                    messages.StateObjects(self.store.newer_than({}))
                )
        _common.request("DELETE", self.server.url(f"/-/objects/{SLICES}/new-0"))
        self.watcher.list_kind(SLICES)
        self.assertIsNone(self.store.get(f"{SLICES}/new-0"))

    # Guards against a key that a host accepts since it could not read that the
    # key is withdrawn.
    def test_a_list_with_an_odd_object_confirms_nothing(self):
        self.watcher.list_kind(KIND)
        for value in ("1e400", str(2**64), _odd_entries.nested_lists(100_000)):
            document = _odd_entries.stored("config", {}, 9)
            text = _odd_entries.with_value(document, ("spec", "a"), value)
            self.control(put_raw={"kind": KIND, "name": "config", "text": text})
            self.watcher.poll_once()
            self.assertEqual(
                (self.config_value(), len(self.confirmed_at)), (1, 1)
            )

    def test_a_list_follows_a_watch_with_an_odd_event(self):
        error = platform_store.MalformedError("odd")
        outcomes = unittest.mock.Mock(side_effect=[error, StopLoop()])
        with unittest.mock.patch.object(self.watcher, "watch_once", outcomes):
            self.assertRaises(StopLoop, self.watcher.watch_kind, KIND)
        self.assertEqual(self.call_count("list"), 2)

    def test_a_list_applies_a_missed_deletion_and_a_later_creation(self):
        self.watcher.list_kind(KIND)
        _common.request(
            "DELETE",
            self.server.url("/-/objects/" + CONFIG),
        )
        self.watcher.list_kind(KIND)
        self.assertIsNone(self.store.get(CONFIG))
        self.assertEqual(self.store.versions()[CONFIG], 2)
        self.put("config", {"value": 3})
        self.watcher.list_kind(KIND)
        self.assertEqual(self.config_value(), 3)
        self.watcher.watch_once(KIND, 0)
        self.assertEqual(self.config_value(), 3)

    def test_an_expired_watch_revision_leads_to_a_full_list(self):
        self.watcher.list_kind(KIND)
        self.put("config", {"value": 2})
        self.control(compact=True)
        with self.assertRaises(platform_store.StoreError) as caught:
            self.watcher.watch_once(KIND, 1)
        self.assertEqual(caught.exception.status, 410)
        outcomes = unittest.mock.Mock(
            side_effect=[caught.exception, StopLoop()]
        )
        with unittest.mock.patch.object(self.watcher, "watch_once", outcomes):
            self.assertRaises(StopLoop, self.watcher.watch_kind, KIND)
        self.assertEqual(self.config_value(), 2)
        self.assertEqual(self.call_count("list"), 3)

    def test_a_poll_detects_an_outage_and_its_end(self):
        self.control(outage="refuse")
        self.watcher.poll_once()
        self.assertFalse(self.watcher.platform_reachable)
        self.assertEqual(
            (self.confirmed_at, self.watcher.running_polls), ([], 0)
        )
        self.control(outage="")
        self.watcher.poll_once()
        self.assertTrue(self.watcher.platform_reachable)
        self.assertEqual(len(self.confirmed_at), 1)
        self.assertEqual(self.config_value(), 1)

    def test_a_delayed_host_list_is_stored_when_it_arrives(self):
        self.control(list_lag_ms=300)
        self.put("hosts", {"endpoints": []}, SLICES)
        self.watcher.list_kind(SLICES)
        self.assertIsNone(self.store.get("endpointslices/hosts"))

        def arrived():
            self.watcher.list_kind(SLICES)
            return self.store.get("endpointslices/hosts") is not None

        _common.wait_until(arrived)


class VersionTest(unittest.TestCase):
    """Integers of versions."""

    def test_they_order_by_era_and_then_by_revision(self):
        versions = [
            store_version.StoreVersion(era, revision)
            for era in (1, 2, 3, 2**15)
            for revision in (0, 1, 50, 2**48 - 1)
        ]
        encoded = [objects.encode_version(each) for each in versions]
        self.assertEqual(encoded, sorted(set(encoded)))
        self.assertLess(encoded[-1], 2**63)
        self.assertEqual(
            [objects.decode_version(each) for each in encoded], versions
        )

    def test_the_first_era_and_none_are_the_revision(self):
        for era in (store_version.NO_ERA, store_version.FIRST_ERA):
            version = store_version.StoreVersion(era, 7)
            self.assertEqual(objects.encode_version(version), 7)

    def test_versions_that_cannot_be_ordered_are_refused(self):
        for era, revision in ((1, 2**48), (2**15 + 1, 1)):
            with self.subTest(era), self.assertRaises(ValueError):
                objects.encode_version(
                    store_version.StoreVersion(era, revision)
                )


class StoreReturnTest(WatcherCase):
    """The platform's store returns from an older copy, in a new era."""

    def setUp(self):
        super().setUp()
        time.sleep(LOST_SECONDS)
        self.put("lost", {})
        for value in range(2, 6):
            self.put("config", {"value": value})
        self.watcher.list_kind(KIND)
        self.old_listing = self.api.list(KIND)
        self.old_version = self.store.version(CONFIG)
        self.control(return_from_copy=LOST_SECONDS)
        self.confirmed_at.clear()

    # Guards against hosts that ignore the store until its revisions pass those
    # of the earlier era, and are refused meanwhile.
    def test_a_list_of_the_new_era_is_taken(self):
        self.put("config", {"value": 6})
        self.watcher.poll_once()
        self.assertEqual(self.config_value(), 6)
        self.assertIsNone(self.store.get(f"{KIND}/lost"))
        self.assertEqual(len(self.confirmed_at), 1)

    def test_a_watch_of_the_new_era_goes_on_after_its_list(self):
        version = self.watcher.list_kind(KIND)
        self.put("config", {"value": 6})
        self.watcher.watch_once(KIND, version)
        self.assertEqual(self.config_value(), 6)

    def test_a_late_list_of_the_earlier_era_changes_and_confirms_nothing(self):
        self.put("config", {"value": 6})
        self.watcher.poll_once()
        self.confirmed_at.clear()
        listed = dict(self.watcher.newest_listed)
        with unittest.mock.patch.object(
            self.api, "list", return_value=self.old_listing
        ):
            self.watcher.list_kind(KIND)
        self.assertEqual(self.config_value(), 6)
        self.assertIsNone(self.store.get(f"{KIND}/lost"))
        self.assertEqual(self.confirmed_at, [])
        self.assertEqual(self.watcher.newest_listed, listed)

    # Guards against changes of another era that are taken as the next ones
    # after a revision that was given out again.
    def test_a_watch_of_another_era_changes_nothing_and_is_begun_again(self):
        version = self.watcher.list_kind(KIND)
        value = self.config_value()
        for era in (1, 3):
            late = platform_store.Changes(
                tuple(
                    platform_store.Change(
                        False,
                        platform_store.StoredObject(name, 50, {"value": 9}),
                    )
                    for name in ("config", "other")
                ),
                50,
                era,
            )
            with (
                self.subTest(era),
                unittest.mock.patch.object(
                    self.api, "watch", return_value=late
                ),
            ):
                with self.assertRaises(platform_store.StoreError) as caught:
                    self.watcher.watch_once(KIND, version)
                self.assertEqual(caught.exception.status, 410)
                self.assertEqual(self.config_value(), value)
                self.assertIsNone(self.store.get(f"{KIND}/other"))

    # Guards against a peer that has not heard of the return.
    def test_objects_of_the_earlier_era_from_a_peer_change_nothing(self):
        self.watcher.poll_once()
        value = self.config_value()
        for name in (CONFIG, f"{KIND}/lost", f"{KIND}/never-seen"):
            applied = self.store.apply(
                name, self.old_version + 50, {"value": 9}
            )
            self.assertFalse(applied, name)
        self.assertEqual(self.config_value(), value)

    def test_a_host_that_hears_of_the_return_from_a_peer_follows_it(self):
        self.watcher.poll_once()
        other = objects.ObjectStore()
        for name, version, content in self.old_objects():
            other.apply(name, version, content)
        for name, version, content in self.store.newer_than(other.versions()):
            other.apply(name, version, content)
        self.assertEqual(other.objects, self.store.objects)
        self.assertEqual(other.digest, self.store.digest)

    def old_objects(self):
        """Returns the objects before the return, as a peer has them."""
        return [
            (f"{KIND}/{each.name}", each.version, each.spec)
            for each in self.old_listing.objects()
        ]

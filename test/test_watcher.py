"""Tests of the watcher, which copies the platform's objects to a host.

A list, an answer with all objects of a kind, confirms that the host's objects
are current unless it is older than they are.
"""

import unittest.mock

from gooseberryweir.connection import messages
from gooseberryweir.platform import store as platform_store
from gooseberryweir.process.upkeep import watcher as watcher_module
from gooseberryweir.version import objects
from test import _common
from test import _odd_entries
from test import test_platform_client

KIND = objects.STEERING_OBJECTS
SLICES = objects.ENDPOINT_SLICES
CONFIG = f"{KIND}/config"


class StopLoop(BaseException):
    """Raised by a test to stop the endless loop of a task."""


class WatcherTest(test_platform_client.PlatformCase):
    """Lists, watches and polls with late, repeated, stale or missing changes.

    They are called one by one, without the tasks of the watcher.
    """

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

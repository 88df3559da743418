"""The watcher: watches and lists that are late, doubled, old or missing."""

import unittest.mock

from gooseberryweir.platform import store as platform_store
from gooseberryweir.process.upkeep import watcher as watchers
from gooseberryweir.version import objects
from test import _common
from test import test_platform_client

KIND = objects.STEERING_OBJECTS
SLICES = objects.ENDPOINT_SLICES
CONFIG = f"{KIND}/config"


class Stop(BaseException):
    """Ends a task's loop."""


class WatcherTest(test_platform_client.PlatformCase):
    """One watcher, its steps called one by one."""

    def setUp(self):
        super().setUp()
        self.store = objects.ObjectStore()
        self.answered = []
        self.watcher = watchers.Watcher(
            self.api,
            self.store,
            self.answered.append,
            lambda: True,
            self.clock.interface(),
            jitter=lambda: 0.5,
        )
        self.watcher.watch_seconds = 1.0
        self.put("config", {"value": 1})

    def value(self):
        return self.store.get(CONFIG)["value"]

    def calls(self, verb):
        return self.control()["calls"].get(f"{KIND} {verb}", 0)

    def test_a_list_is_proof_from_before_the_question(self):
        asked = self.clock.now
        self.assertEqual(self.watcher.list_kind(KIND), 1)
        self.assertEqual(self.answered, [asked])
        self.watcher.list_kind(SLICES)
        self.assertEqual(self.answered, [asked])

    def test_watches_late_doubled_and_shuffled_end_at_the_newest(self):
        self.control(watch_late_ms=100, watch_twice=True, watch_shuffled=True)
        for value in range(2, 6):
            self.put("config", {"value": value})
        self.put("drains", {"drains": {}})
        self.assertEqual(self.watcher.watch_once(KIND, 0), 6)
        self.assertEqual(self.value(), 5)
        self.assertEqual(self.store.versions()[f"{KIND}/drains"], 6)

    def test_an_old_read_undoes_and_proves_nothing(self):
        self.watcher.list_kind(KIND)
        self.control(stale_reads=True)
        self.put("config", {"value": 2})
        self.put("new", {})
        self.watcher.watch_once(KIND, 1)
        self.answered.clear()
        self.watcher.list_kind(KIND)
        self.watcher.list_kind(KIND)
        self.assertEqual(self.value(), 2)
        self.assertIsNotNone(self.store.get(f"{KIND}/new"))
        self.assertEqual(self.answered, [])
        self.control(stale_reads=False)
        self.watcher.list_kind(KIND)
        self.assertEqual(len(self.answered), 1)

    def test_a_list_older_than_an_earlier_list_proves_nothing(self):
        self.control(stale_reads=True)
        self.put("hosts", {"endpoints": []}, SLICES)
        self.watcher.newest_listed[KIND] = 2
        self.watcher.list_kind(KIND)
        self.assertEqual(self.answered, [])

    def test_what_a_silent_watch_missed_is_in_the_next_list(self):
        self.watcher.list_kind(KIND)
        self.put("config", {"value": 2})
        self.watcher.poll_once()
        self.assertEqual(self.value(), 2)
        self.assertEqual(len(self.answered), 2)

    def test_a_poll_lists_the_rest_only_if_the_store_has_changed(self):
        def lists():
            return self.control()["calls"].get(f"{SLICES} list", 0)

        self.watcher.poll_once()
        self.assertEqual(lists(), 1)
        self.watcher.poll_once()
        self.assertEqual(lists(), 1)
        self.put("hosts", {"endpoints": []}, SLICES)
        self.watcher.poll_once()
        self.assertEqual(lists(), 2)
        self.assertIsNotNone(self.store.get(f"{SLICES}/hosts"))

    def test_an_object_that_cannot_be_read_leaves_no_proof(self):
        self.watcher.list_kind(KIND)
        self.put("config", {"value": 2})
        malformed = platform_store.Listing([b'{"spec": {}}'], 2, 0.0)
        with unittest.mock.patch.object(
            self.api, "list", return_value=malformed
        ):
            self.watcher.poll_once()
        self.assertEqual((self.value(), len(self.answered)), (1, 1))

    def test_a_deletion_missed_is_found_and_a_new_creation_wins(self):
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
        self.assertEqual(self.value(), 3)
        self.watcher.watch_once(KIND, 0)
        self.assertEqual(self.value(), 3)

    def test_a_watch_too_old_leads_to_a_full_list(self):
        self.watcher.list_kind(KIND)
        self.put("config", {"value": 2})
        self.control(compact=True)
        with self.assertRaises(platform_store.StoreError) as caught:
            self.watcher.watch_once(KIND, 1)
        self.assertEqual(caught.exception.status, 410)
        steps = unittest.mock.Mock(side_effect=[caught.exception, Stop()])
        with unittest.mock.patch.object(self.watcher, "watch_once", steps):
            self.assertRaises(Stop, self.watcher.watch_kind, KIND)
        self.assertEqual(self.value(), 2)
        self.assertEqual(self.calls("list"), 3)

    def test_an_outage_and_its_end(self):
        self.control(outage="refuse")
        self.watcher.poll_once()
        self.assertFalse(self.watcher.platform_reachable)
        self.assertEqual((self.answered, self.watcher.running_polls), ([], 0))
        self.control(outage="")
        self.watcher.poll_once()
        self.assertTrue(self.watcher.platform_reachable)
        self.assertEqual(len(self.answered), 1)
        self.assertEqual(self.value(), 1)

    def test_a_lagging_list_of_hosts_is_taken_in_when_it_comes(self):
        self.control(list_lag_ms=300)
        self.put("hosts", {"endpoints": []}, SLICES)
        self.watcher.list_kind(SLICES)
        self.assertIsNone(self.store.get("endpointslices/hosts"))

        def arrived():
            self.watcher.list_kind(SLICES)
            return self.store.get("endpointslices/hosts") is not None

        _common.wait_until(arrived)

"""Tests of the store client, and of writes that check if they took effect."""

import contextlib
import pathlib
import tempfile
import unittest

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir.platform import store as platform_store
from gooseberryweir.process.upkeep import idempotent_writes
from gooseberryweir.version import objects
from gooseberryweir.version import store_version
from test import _common

KIND = objects.STEERING_OBJECTS


class PlatformCase(unittest.TestCase):
    """Runs the stand-in of the platform's store as a separate process."""

    def setUp(self):
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.directory = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.server = stack.enter_context(
            _common.Process(
                self.directory, "platform", "test.standins.platform"
            )
        ).wait_ready()
        self.clock = clocks.ManualClock()
        self.api = stack.enter_context(self.connect())

    def connect(self, kind=platform_store.Store):
        return kind(self.server.url(), self.clock.interface(), "c1")

    def control(self, **switches):
        return _common.fetch_json(self.server.url("/_control"), switches)

    def put(self, name, spec, kind=KIND):
        self.control(put={"kind": kind, "name": name, "spec": spec})

    def assert_fails(self, code, call, *arguments, **options):
        with self.assertRaises(codes.UserError) as caught:
            call(*arguments, **options)
        self.assertEqual(caught.exception.code, code)
        return caught.exception.message


class LossyStore(platform_store.Store):
    """Store client whose first `replace` fails as if the response were lost.

    Attributes:
        instead_of_write: Called instead of sending the write, if set.
        after_write: Called after the write took effect; used if
            `instead_of_write` is not set.
        has_failed: True once the first `replace` has failed.
    """

    instead_of_write = None
    after_write = None
    has_failed = False

    def replace(self, *arguments):
        if self.has_failed:
            return super().replace(*arguments)
        self.has_failed = True
        if self.instead_of_write:
            self.instead_of_write()
        else:
            super().replace(*arguments)
            self.after_write()
        raise platform_store.StoreError(0, "lost")


class IdempotentWritesTest(PlatformCase):
    """Each write takes effect once or fails with a conflict.

    Its request or response is lost, another writer changes the object, or reads
    are stale.
    """

    def replace(self, current, value, api=None):
        return idempotent_writes.replace_object(
            api or self.api,
            KIND,
            current,
            {"value": value},
            self.clock.interface(),
        )

    def create_config(self):
        return idempotent_writes.create_object(
            self.api, KIND, "config", {"value": 0}, self.clock.interface()
        )

    def test_write_id_confirms_a_write_whose_response_was_lost(self):
        self.control(lose_answers=1)
        current = self.create_config()
        self.control(lose_answers=1)
        written = self.replace(current, 1)
        self.assertEqual((current.version, written.version), (1, 2))
        self.assertEqual(self.control()["version"], 2)
        self.assertEqual(self.api.get(KIND, "config").spec["value"], 1)

    def test_write_id_is_found_after_a_later_write(self):
        current = self.create_config()
        lossy_store = self.connect(LossyStore)
        lossy_store.after_write = lambda: self.replace(
            self.api.get(KIND, "config"), "other"
        )
        self.replace(current, "mine", lossy_store)
        self.assertEqual(self.api.get(KIND, "config").version, 3)

    def test_a_lost_request_is_sent_again(self):
        current = self.create_config()
        lossy_store = self.connect(LossyStore)
        lossy_store.instead_of_write = lambda: None
        self.assertEqual(self.replace(current, 1, lossy_store).version, 2)

    def test_the_later_of_two_writes_fails_with_a_conflict(self):
        current = self.create_config()
        self.replace(current, "first")
        message = self.assert_fails(
            codes.Code.CONFLICT, self.replace, current, "second"
        )
        self.assertIn("version 2", message)
        lossy_store = self.connect(LossyStore)
        newest = self.api.get(KIND, "config")
        lossy_store.instead_of_write = lambda: self.replace(newest, "third")
        message = self.assert_fails(
            codes.Code.CONFLICT, self.replace, newest, "fourth", lossy_store
        )
        self.assertIn("version 3", message)
        self.assertEqual(self.api.get(KIND, "config").spec["value"], "third")

    def test_the_later_of_two_creations_fails_with_a_conflict(self):
        self.create_config()
        message = self.assert_fails(codes.Code.CONFLICT, self.create_config)
        self.assertIn("version 1", message)

    def test_a_stale_read_does_not_hide_a_conflict(self):
        current = self.create_config()
        self.control(stale_reads=True)
        self.put("config", {"value": "other"})
        message = self.assert_fails(
            codes.Code.CONFLICT, self.replace, current, "mine"
        )
        self.assertIn("after 1", message)

    def test_an_outage_is_reported_as_an_unknown_outcome(self):
        current = self.create_config()
        self.control(outage="refuse")
        message = self.assert_fails(
            codes.Code.PLATFORM_UNREACHABLE, self.replace, current, 1
        )
        self.assertIn("not known", message)

    def test_changes_that_commute_are_merged(self):
        self.create_config()
        seen_specs = []

        def change(spec):
            if not seen_specs:
                self.put("config", {"value": 0, "other": 1})
            seen_specs.append(spec)
            return {**spec, "mine": 1}

        merged = idempotent_writes.update_object(
            self.api, KIND, "config", change, self.clock.interface()
        )
        self.assertEqual(len(seen_specs), 2)
        self.assertLessEqual({"other", "mine"}, set(merged.spec))


class ClientTest(PlatformCase):
    """Results of single calls to the store, and of a write during an outage."""

    def test_calls_return_objects_and_send_a_user_agent(self):
        self.assertIsNone(self.api.get(KIND, "config"))
        created_object = self.api.create(KIND, "keys.a/b", {"digests": {}})
        self.assertEqual(created_object.version, 1)
        listing = self.api.list(KIND)
        self.assertEqual(listing.objects(), (created_object,))
        self.assertEqual(listing.revision, 1)
        changes = self.api.watch(KIND, 0, 1.0)
        self.assertEqual(
            changes,
            (
                (platform_store.Change(False, created_object),),
                listing.revision,
                store_version.FIRST_ERA,
            ),
        )
        self.assertEqual(self.api.watch(KIND, 1, 0.05), ((), 1, listing.era))
        self.assertEqual(list(self.control()["callers"]), ["gooseberryweir/c1"])

    def test_an_unanswered_write_has_an_unknown_outcome(self):
        self.control(outage="refuse")
        with self.assertRaises(platform_store.StoreError) as caught:
            self.api.create(KIND, "config", {})
        self.assertTrue(caught.exception.outcome_unknown)
        self.assertEqual(self.control()["unanswered"], 1)

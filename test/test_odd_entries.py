"""Tests of reading lists that hold one odd entry of another writer.

It is very deeply nested, or has a number that is too large or a port out of
range. The other entries have to be read all the same.
"""

import json
import re
import unittest

import eventlet
import msgspec

from gooseberryweir import clock as clocks
from gooseberryweir.platform import records
from gooseberryweir.platform import store as platform_store
from gooseberryweir.process.fleet import heartbeat
from gooseberryweir.process.fleet import reader as reader_module
from gooseberryweir.process.fleet import store_cache
from gooseberryweir.version import store_version
from test import _odd_entries
from test import test_platform_pages
from test import test_platform_records

UPSTREAM = test_platform_records.UPSTREAM
HOST = ["h1", "1", "127.0.0.1:80", "127.0.0.1:81", "north-a", "north"]
# Places of an object that may hold anything: unknown fields and the status.
IGNORED = (("spec", "other"), ("metadata", "other"), ("other",), ("status",))
KINDS = {
    store_cache.UPSTREAMS: UPSTREAM,
    store_cache.HOSTS: HOST,
    store_cache.EVACUATIONS: {},
}


def name_of(entry):
    """Returns the name of a decoded entry of any kind."""
    return entry if isinstance(entry, str) else entry[0]


class OddEntriesCase(test_platform_pages.StoreCase):
    """A client of the store, in a green thread as in a host."""

    def read_names(self, kind, item):
        """Reads a list with an odd object between two others.

        Returns:
            The names in the snapshot that is sent to other hosts.
        """
        names = ["h1", "h3"] if kind == store_cache.HOSTS else ["i-1", "i-3"]
        valid = [
            json.dumps(_odd_entries.stored(name, self.spec(kind, name)))
            for name in names
        ]
        body = test_platform_pages.page(
            valid[0].encode(), item.encode(), valid[1].encode()
        )
        with self.answer(body):
            result = eventlet.spawn(self.read, kind).wait()
        content = msgspec.msgpack.decode(result.snapshot.content)
        return [name_of(each) for each in content]

    def spec(self, kind, name):
        if kind == store_cache.HOSTS:
            return [name, *HOST[1:]]
        return KINDS[kind]

    def assert_others_are_read(self, kind, item):
        """Checks that the others are read, and an evacuation by its name."""
        names = self.read_names(kind, item)
        self.assertLessEqual(
            {"h1", "h3"} if kind == store_cache.HOSTS else {"i-1", "i-3"},
            set(names),
        )
        if kind == store_cache.EVACUATIONS:
            self.assertIn("odd", names)
        return names


class NestingTest(OddEntriesCase):
    """Entries of all kinds that are very deeply nested."""

    # Guards against an evacuation that does not count since it is nested too
    # deeply for a decoder, and against lists that such an entry spoils.
    def test_the_other_entries_are_read(self):
        for kind, spec in KINDS.items():
            document = _odd_entries.stored("odd", spec)
            for place in (("spec",), *IGNORED):
                if place == ("spec", "other") and kind == store_cache.HOSTS:
                    continue
                for description, value in _odd_entries.nested_values():
                    with self.subTest(
                        kind=kind, place=place, value=description
                    ):
                        self.assert_others_are_read(
                            kind,
                            _odd_entries.with_value(document, place, value),
                        )

    # Guards against hosts that serve nobody while they read such a list.
    def test_other_tasks_run_while_such_a_list_is_read(self):
        turns = []

        def run_others():
            while True:
                turns.append(1)
                eventlet.sleep(0)

        for description, value in _odd_entries.nested_values():
            item = _odd_entries.with_value(
                _odd_entries.stored("odd", UPSTREAM), ("spec", "other"), value
            )
            turns.clear()
            others = eventlet.spawn(run_others)
            self.addCleanup(others.kill)
            self.read_names(store_cache.UPSTREAMS, item)
            others.kill()
            with self.subTest(description):
                tokens = len(re.findall(r'"a"|[\[{]+|[\]}]+', value))
                self.assertGreaterEqual(len(turns), tokens // 20_000)

    # Guards against a list that can't be read on from a page whose last object
    # is nested too deeply.
    def test_the_next_page_follows_a_page_of_one_such_object(self):
        document = _odd_entries.stored("i-0", UPSTREAM)
        for place in IGNORED:
            for description, value in _odd_entries.nested_values():
                with self.subTest(place=place, value=description):
                    item = _odd_entries.with_value(document, place, value)
                    names = self.list_names(
                        test_platform_pages.page(item.encode(), more=True),
                        test_platform_pages.page(
                            test_platform_pages.upstream("i-1")
                        ),
                    )
                    self.assertEqual(names, ["i-1"])

    # Guards against a configuration that can't be read and is taken for none,
    # which confirms the one in force as the newest: keys that it revokes would
    # be accepted.
    def test_such_a_configuration_is_an_error(self):
        document = _odd_entries.stored(
            "main", test_platform_records.CONFIGURATION
        )
        for place in IGNORED:
            for description, value in _odd_entries.nested_values():
                item = _odd_entries.with_value(document, place, value)
                body = test_platform_pages.page(item.encode())
                with self.subTest(place=place, value=description):
                    self.assert_unreadable(body)

    def assert_unreadable(self, body):
        """Checks that a list of configurations is an error of its content."""
        with (
            self.answer(body),
            self.assertRaises(reader_module.ReadError) as caught,
        ):
            eventlet.spawn(self.read, store_cache.CONFIGURATION).wait()
        self.assertTrue(caught.exception.answered)

    def test_a_deep_value_in_a_configuration_is_rejected(self):
        for description, value in _odd_entries.nested_values():
            content = _odd_entries.with_value(
                test_platform_records.CONFIGURATION, ("other",), value
            )
            with self.subTest(description), self.assertRaises(ValueError):
                records.decode_configuration(content.encode())

    def test_another_object_of_the_kind_does_not_hide_the_configuration(self):
        document = _odd_entries.stored("other", {})
        main = json.dumps(
            _odd_entries.stored("main", test_platform_records.CONFIGURATION)
        )
        for description, value in _odd_entries.nested_values():
            item = _odd_entries.with_value(document, ("spec",), value)
            body = test_platform_pages.page(item.encode(), main.encode())
            with self.subTest(description), self.answer(body):
                result = eventlet.spawn(
                    self.read, store_cache.CONFIGURATION
                ).wait()
                self.assertEqual(result.snapshot.version.revision, 7)


class NumbersTest(OddEntriesCase):
    """Entries of all kinds with a number that is too large in any field."""

    def test_the_other_entries_are_read(self):
        for kind, spec in KINDS.items():
            document = _odd_entries.stored("odd", spec)
            document["metadata"]["created"] = 1
            places = [*_odd_entries.number_paths(document), *IGNORED]
            if kind == store_cache.HOSTS:
                places += [("spec", index) for index in range(len(HOST))]
                places.remove(("spec", "other"))
            for place in places:
                for description, value in _odd_entries.NUMBERS.items():
                    with self.subTest(
                        kind=kind, place=place, value=description
                    ):
                        self.assert_others_are_read(
                            kind,
                            _odd_entries.with_value(document, place, value),
                        )

    def test_an_upstream_with_such_a_number_is_skipped(self):
        document = _odd_entries.stored("odd", UPSTREAM)
        for place in (("metadata", "revision"), ("spec", "slots")):
            for description, value in _odd_entries.NUMBERS.items():
                with self.subTest(place=place, value=description):
                    item = _odd_entries.with_value(document, place, value)
                    names = self.read_names(store_cache.UPSTREAMS, item)
                    self.assertEqual(names, ["i-1", "i-3"])

    def test_an_upstream_with_such_a_duration_is_skipped(self):
        document = _odd_entries.stored("odd", UPSTREAM)
        for text in _odd_entries.DURATIONS:
            with self.subTest(text[:20]):
                item = _odd_entries.with_value(
                    document, ("spec", "coldRemaining"), json.dumps(text)
                )
                names = self.read_names(store_cache.UPSTREAMS, item)
                self.assertEqual(names, ["i-1", "i-3"])

    def test_a_configuration_with_such_a_number_is_rejected(self):
        document = test_platform_records.CONFIGURATION
        places = list(_odd_entries.number_paths(document))
        places += [
            ("limits", "maxHeaderBytes"),
            ("limits", "maxBodyBytes"),
            ("tenants", "t1", "priority"),
        ]
        for place in places:
            for description, value in _odd_entries.NUMBERS.items():
                content = _odd_entries.with_value(document, place, value)
                with (
                    self.subTest(place=place, value=description),
                    self.assertRaises(ValueError),
                ):
                    records.decode_configuration(content.encode())

    def test_a_configuration_with_such_a_text_is_rejected(self):
        document = test_platform_records.CONFIGURATION
        cases = [(("version",), text) for text in _odd_entries.VERSIONS]
        for place in (
            ("routes", "short", "timeout"),
            ("routes", "short", "targetLatency"),
            ("limits", "headerTimeout"),
            ("limits", "idleTimeout"),
        ):
            cases += [(place, text) for text in _odd_entries.DURATIONS]
        for place, text in cases:
            content = _odd_entries.with_value(document, place, json.dumps(text))
            with (
                self.subTest(place=place, text=text[:20]),
                self.assertRaises(ValueError),
            ):
                records.decode_configuration(content.encode())

    def test_a_revision_of_the_store_out_of_range_is_an_error(self):
        for description, value in _odd_entries.NUMBERS.items():
            body = f'{{"currentRev":{value},"items":[]}}'.encode()
            with (
                self.subTest(description),
                self.answer(body),
                self.assertRaises(platform_store.StoreError),
            ):
                self.store.list(records.UPSTREAMS)


class AddressesTest(OddEntriesCase):
    """Entries with an address whose port is out of range or no port."""

    def test_upstreams_with_such_an_address_are_skipped(self):
        document = _odd_entries.stored("odd", UPSTREAM)
        for address in _odd_entries.ADDRESSES:
            with self.subTest(address[:30]):
                item = _odd_entries.with_value(
                    document, ("spec", "address"), json.dumps(address)
                )
                names = self.read_names(store_cache.UPSTREAMS, item)
                self.assertEqual(names, ["i-1", "i-3"])

    def test_hosts_with_such_an_address_are_skipped(self):
        document = _odd_entries.stored("odd", ["odd", *HOST[1:]])
        for index in (2, 3):
            for address in _odd_entries.ADDRESSES:
                with self.subTest(index=index, address=address[:30]):
                    item = _odd_entries.with_value(
                        document, ("spec", index), json.dumps(address)
                    )
                    names = self.read_names(store_cache.HOSTS, item)
                    self.assertEqual(names, ["h1", "h3"])


class HeartbeatsTest(unittest.TestCase):
    """Messages between hosts that hold such values."""

    # Guards against an exception that nobody foresaw for garbage.
    def test_deep_garbage_is_no_heartbeat(self):
        for levels in _odd_entries.LEVELS:
            deep = b"\x91" * levels + b"\x90"
            # The first of these is an array of as many fields as a heartbeat
            # of a later build may have.
            for content in (b"\xdc\x00\x20" + deep * 32, deep):
                with self.subTest(levels), self.assertRaises(ValueError):
                    heartbeat.decode(content)

    # Guards against a snapshot that ends the task that receives it.
    def test_an_odd_snapshot_is_rejected_and_the_next_one_accepted(self):
        deep = b"\x91" * 100_000 + b"\x90"
        clock = clocks.ManualClock().interface()
        cache = store_cache.StoreCache(records.decode_configuration, clock)
        contents = {
            store_cache.CONFIGURATION: msgspec.json.encode(
                test_platform_records.CONFIGURATION
            ),
            store_cache.UPSTREAMS: store_cache.encode_content(()),
            store_cache.EVACUATIONS: store_cache.encode_content(()),
            store_cache.HOSTS: store_cache.encode_content(()),
        }
        deep_json = _odd_entries.nested_lists(100_000).encode()
        for kind, valid in contents.items():
            for content in (deep, deep_json, b"", b"\xc1", b"\xff" * 9):
                version = store_version.StoreVersion(1, 5)
                self.assertFalse(cache.accept(kind, version, content, "h2"))
            version = store_version.StoreVersion(1, 6)
            self.assertTrue(cache.accept(kind, version, valid, "h2"))


if __name__ == "__main__":
    unittest.main()

"""Tests of lists of the store with objects that can't be read."""

import json
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies
import msgspec

from gooseberryweir import clock as clocks
from gooseberryweir import store_snapshots
from gooseberryweir.platform import pages
from gooseberryweir.platform import records
from gooseberryweir.platform import store as platform_store
from gooseberryweir.process.fleet import reader as reader_module
from gooseberryweir.process.fleet import store_cache
from test import test_platform_records

NESTED_LEVELS = 20_000
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text()
    | strategies.text(strategies.characters(categories=["Cs"])),
    lambda children: (
        strategies.lists(children)
        | strategies.dictionaries(strategies.text(), children)
    ),
)


def upstream(name, **changes):
    """Returns the JSON of an upstream's object."""
    return json.dumps(
        {
            "metadata": {"name": name, "revision": 7},
            "spec": {**test_platform_records.UPSTREAM, **changes},
        }
    ).encode()


NOT_TEXT = upstream("i-b", service="worn\udcff\udcfe")
DEEP = (
    b'{"metadata":{"name":"i-b","revision":7},"spec":'
    + b"[" * NESTED_LEVELS
    + b"]" * NESTED_LEVELS
    + b"}"
)
NOT_UTF8 = upstream("i-b").replace(b"s1", b"\xff\xfe")
UNREADABLE = {"not text": NOT_TEXT, "deep": DEEP, "not UTF-8": NOT_UTF8}


def page(*items, more=False):
    return (
        b'{"currentRev":9,"items":['
        + b",".join(items)
        + b'],"hasMore":'
        + (b"true" if more else b"false")
        + b"}"
    )


class StoreCase(unittest.TestCase):
    """A client of the store whose answers the test gives."""

    def setUp(self):
        self.store = platform_store.Store(
            "127.0.0.1:1", clocks.ManualClock().interface()
        )
        self.read = store_snapshots.snapshot_reader(self.store)

    def answer(self, *bodies):
        """Gives the answers to the next calls; returns the mock."""
        return mock.patch.object(
            self.store,
            "_call",
            side_effect=[platform_store._Answer(each, 1) for each in bodies],
        )

    def list_names(self, *bodies):
        with self.answer(*bodies):
            listing = self.store.list(records.UPSTREAMS)
        upstreams = records.decode_upstreams(listing.items)
        return [each.name for each in upstreams]


class SplitTest(unittest.TestCase):
    """Splitting a list into its objects."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(
        strategies.lists(
            strategies.dictionaries(strategies.text(), JSON_VALUES)
        ),
        strategies.dictionaries(strategies.text(), JSON_VALUES),
    )
    def test_the_parts_are_those_of_the_list(self, items, others):
        others.pop("items", None)
        text = json.dumps({**others, "items": items, "currentRev": 1})
        rest, parts = pages.split(text.encode())
        # Decoding joins two surrogates that belong together.
        whole = json.loads(text)
        self.assertEqual(
            [json.loads(bytes(each)) for each in parts], whole["items"]
        )
        self.assertEqual(json.loads(rest), {**whole, "items": []})

    def test_a_list_that_does_not_end_is_refused(self):
        for body in (b"", b"{}", b'{"items":[{"a":1}', b'{"items":1}'):
            with self.subTest(body), self.assertRaises(ValueError):
                pages.split(body)


class ListTest(StoreCase):
    """Lists in which one object can't be read."""

    # Guards against EVAC of review/3: one such object made the list unreadable.
    def test_the_other_objects_are_read(self):
        for name, item in UNREADABLE.items():
            with self.subTest(name):
                body = page(upstream("i-a"), item, upstream("i-c"))
                self.assertEqual(self.list_names(body), ["i-a", "i-c"])

    def test_the_next_page_follows_an_unreadable_last_object(self):
        for name, item in UNREADABLE.items():
            with self.subTest(name):
                names = self.list_names(
                    page(upstream("i-a"), item, more=True),
                    page(upstream("i-c")),
                )
                self.assertEqual(names, ["i-a", "i-c"])

    def test_pages_of_different_eras_are_no_list(self):
        answers = [
            platform_store._Answer(page(upstream("i-a"), more=True), 1),
            platform_store._Answer(page(upstream("i-b")), 2),
        ]
        with (
            mock.patch.object(self.store, "_call", side_effect=answers),
            self.assertRaises(platform_store.StoreError),
        ):
            self.store.list(records.UPSTREAMS)

    def test_an_evacuation_counts_whatever_its_object_holds(self):
        item = b'{"metadata":{"name":"a","revision":7},"spec":"\\udcff"}'
        with self.answer(page(item)):
            result = self.read(store_cache.EVACUATIONS)
        self.assertEqual(msgspec.msgpack.decode(result.snapshot.content), ["a"])

    # Guards against a configuration that can't be read and is taken for none,
    # which would confirm the cached one as the newest.
    def test_an_unreadable_configuration_is_an_error(self):
        item = b'{"metadata":{"name":"main","revision":7},"spec":"\\udcff"}'
        with (
            self.answer(page(item)),
            self.assertRaises(reader_module.ReadError) as caught,
        ):
            self.read(store_cache.CONFIGURATION)
        self.assertTrue(caught.exception.answered)


class SyncTest(unittest.TestCase):
    """Reads of several kinds, one of which fails."""

    def read_all(self, failing):
        """Returns the kinds that were read in one round."""
        read = []

        def read_kind(kind):
            read.append(kind)
            if kind == failing:
                raise reader_module.ReadError("refused")
            raise OverflowError

        reader = reader_module.Reader(
            read_kind,
            lambda: None,
            store_cache.StoreCache(None, clocks.ManualClock().interface()),
            clocks.ManualClock().interface(),
        )
        for kind in store_cache.KINDS[1:]:
            self.assertFalse(reader._sync(kind))
        return read

    def test_a_failed_read_does_not_hold_back_the_other_kinds(self):
        for failing in store_cache.KINDS[1:]:
            self.assertEqual(
                set(self.read_all(failing)), set(store_cache.KINDS[1:])
            )


if __name__ == "__main__":
    unittest.main()

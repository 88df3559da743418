"""Tests of decoding the objects of the platform's store."""

import json
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from gooseberryweir.platform import records
from gooseberryweir.platform import units
from gooseberryweir.process.fleet import store_cache

CONFIGURATION = {
    "version": "r12",
    "routes": {
        "short": {
            "host": "a.example",
            "pathPrefix": "/x/",
            "kind": "idempotent",
            "timeout": "800ms",
            "targetLatency": "250ms",
            "priority": 2,
            "trafficSplit": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
            "maxAttempts": 2,
            "public": False,
            "sessionAffinity": True,
            "allowedRegions": ["north"],
        },
        "long": {
            "host": "a.example",
            "pathPrefix": "/x/y/",
            "kind": "non_idempotent",
            "timeout": "2.5s",
            "service": "s2",
            "public": True,
        },
    },
    "services": {"s1": {"maxConnections": 330, "cold": "3s", "coldPerS": 11.0}},
    "limits": {"idleTimeout": "15000ms"},
    "tenants": {"t1": {"apiKeys": ["k1", "k2"], "ratePerS": 203, "burst": 100}},
    "baseVersion": "r5",
}
UPSTREAM = {
    "service": "s1",
    "address": "10.0.0.9:8080",
    "zone": "north-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemaining": "1500ms",
    "sequence": 4,
    "born": 1790000000000,
}


def raw_json(document):
    return msgspec.Raw(msgspec.json.encode(document))


def stored_object(name, spec, revision=7, **metadata):
    return raw_json(
        {
            "metadata": {"name": name, "revision": revision, **metadata},
            "spec": spec,
            "status": None,
        }
    )


class ConfigurationTest(unittest.TestCase):
    """Decoding of valid and invalid configurations, which operators write."""

    def decode(self, document=CONFIGURATION):
        return records.decode_configuration(msgspec.json.encode(document))

    def test_the_route_with_the_longest_matching_prefix_is_found(self):
        decoded = self.decode()
        self.assertEqual(decoded.find_route("a.example", "/x/y/1").name, "long")
        self.assertEqual(decoded.find_route("a.example", "/x/z").name, "short")
        self.assertIsNone(decoded.find_route("b.example", "/x/z"))
        self.assertIsNone(decoded.find_route("a.example", "/xy"))

    def test_durations_weights_and_keys_are_decoded(self):
        decoded = self.decode()
        route = decoded.find_route("a.example", "/x/")
        self.assertEqual((route.timeout, route.objective), (0.8, 0.25))
        self.assertEqual([each.weight for each in route.targets], [90, 10])
        self.assertEqual(route.regions, {"north"})
        self.assertEqual(decoded.account_by_key, {"k1": "t1", "k2": "t1"})
        self.assertEqual(decoded.version, 12)
        self.assertEqual(decoded.services["s1"].cold_rate, 11.0)
        self.assertEqual(decoded.limits.idle_timeout_seconds, 15.0)

    def test_without_accounts_no_key_is_needed(self):
        document = {
            key: value
            for key, value in CONFIGURATION.items()
            if key != "tenants"
        }
        self.assertFalse(self.decode(document).requires_keys)

    def test_an_invalid_configuration_raises_value_error(self):
        for change in (
            {"version": "12"},
            {"routes": {"r": {"host": "a"}}},
            {"services": {"s1": {"coldPerS": "fast"}}},
        ):
            with self.assertRaises(ValueError):
                self.decode({**CONFIGURATION, **change})


class UpstreamsTest(unittest.TestCase):
    """Decoding of upstream entries, some of which are malformed."""

    def test_a_valid_entry_is_decoded(self):
        (upstream,) = records.decode_upstreams([stored_object("i-1", UPSTREAM)])
        self.assertEqual(upstream.name, "i-1")
        self.assertEqual(upstream.cold_seconds, 1.5)
        self.assertEqual((upstream.slots, upstream.draining), (8, False))

    def test_state_draining_or_a_pending_deletion_means_draining(self):
        upstreams = records.decode_upstreams(
            [
                stored_object("i-1", {**UPSTREAM, "state": "draining"}),
                stored_object("i-2", UPSTREAM, deletionPending=True),
            ]
        )
        self.assertEqual([each.draining for each in upstreams], [True, True])

    # Guards against CONFIG of review/2: a number that no snapshot can hold
    # ended the task that reads the upstreams.
    def test_entries_with_values_out_of_range_are_skipped(self):
        for change in (
            {"slots": 2**64},
            {"slots": 2**63},
            {"slots": 10**400},
            {"slots": records.MAX_SLOTS + 1},
            {"slots": 0},
            {"born": 2**64},
            {"born": -(2**70)},
            {"coldRemaining": "9" * 400 + "s"},
            {"coldRemaining": "-1s"},
            {"address": "10.0.0.9:65536"},
            {"address": "10.0.0.9:0"},
            {"address": "10.0.0.256:80"},
            {"address": "10.0.0.9:80\n"},
            {"address": "\u0661.0.0.9:80"},
        ):
            item = msgspec.Raw(
                json.dumps(
                    {
                        "metadata": {"name": "i-1", "revision": 7},
                        "spec": {**UPSTREAM, **change},
                    }
                ).encode()
            )
            valid = stored_object("i-2", UPSTREAM)
            with self.subTest(change):
                decoded = records.decode_upstreams([item, valid])
                self.assertEqual([each.name for each in decoded], ["i-2"])

    def test_an_object_with_a_revision_out_of_range_is_skipped(self):
        items = [
            msgspec.Raw(
                b'{"metadata":{"name":"i-1","revision":%d},"spec":%s}'
                % (revision, msgspec.json.encode(UPSTREAM))
            )
            for revision in (2**64, -1)
        ]
        self.assertEqual(records.decode_upstreams(items), ())

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(sorted(UPSTREAM)),
            strategies.recursive(
                strategies.none()
                | strategies.booleans()
                | strategies.integers()
                | strategies.integers(2**60, 2**70)
                | strategies.floats(allow_nan=False, allow_infinity=False)
                | strategies.text(),
                strategies.lists,
            ),
        )
    )
    def test_whatever_is_decoded_can_be_sent_to_other_hosts(self, changes):
        item = json.dumps(
            {
                "metadata": {"name": "i-1", "revision": 7},
                "spec": {**UPSTREAM, **changes},
            }
        )
        decoded = records.decode_upstreams([msgspec.Raw(item.encode())])
        store_cache.encode_content(decoded)

    def test_malformed_entries_are_skipped_and_the_others_kept(self):
        without_address = {k: v for k, v in UPSTREAM.items() if k != "address"}
        malformed = [
            stored_object("a", without_address),
            stored_object("b", {**UPSTREAM, "slots": "8"}),
            stored_object("c", {**UPSTREAM, "state": "asleep"}),
            stored_object("d", {**UPSTREAM, "coldRemaining": "soon"}),
            stored_object("e", "\x00\ufffd"),
            stored_object("f", None),
            raw_json("no object"),
        ]
        upstreams = records.decode_upstreams(
            [*malformed, stored_object("good", UPSTREAM)]
        )
        self.assertEqual([each.name for each in upstreams], ["good"])


class UnitsTest(unittest.TestCase):
    """Parsing of valid and invalid durations and version numbers."""

    def test_valid_durations_are_parsed_and_others_rejected(self):
        self.assertEqual(units.parse_duration("1500ms"), 1.5)
        self.assertEqual(units.parse_duration("2.5s"), 2.5)
        self.assertEqual(units.render_duration(2.0), "2000ms")
        for text in ("", "5", "s", "-1s", "1m"):
            with self.assertRaises(ValueError):
                units.parse_duration(text)

    def test_versions_compare_as_numbers(self):
        self.assertLess(units.parse_version("r2"), units.parse_version("r10"))
        with self.assertRaises(ValueError):
            units.parse_version("v2")


if __name__ == "__main__":
    unittest.main()

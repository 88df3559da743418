"""Tests of the steering table, which finds the site for a caller's address."""

import ipaddress
import random
import unittest

from gooseberryweir.version import objects
from gooseberryweir.version import steering_table
from gooseberryweir.version import tables
from test import _common
from test import _deployments

SITES = {
    0: steering_table.Site("s1", "north"),
    1: steering_table.Site("s2", "south"),
}
SITES_CONTENT = {"sites": {"0": ["s1", "north"], "1": ["s2", "south"]}}
SHARD_NAME = objects.BLOCKS_PREFIX + "10"


def _table(*prefixes):
    blocks = [
        steering_table.block_from_prefix(prefix, number % 2)
        for number, prefix in enumerate(prefixes)
    ]
    return steering_table.SteeringTable(blocks)


class SteeringTableTest(unittest.TestCase):
    """Look-ups in shards, and shards built from valid and malformed objects.

    A shard holds all blocks of addresses with the same first octet.
    """

    def test_a_look_up_agrees_with_a_search_through_all_blocks(self):
        rng = random.Random(7)
        edges = sorted(rng.sample(range(10 << 24, 11 << 24), 400))
        blocks = [
            steering_table.Block(first, last - 1, number % 2)
            for number, (first, last) in enumerate(
                zip(edges[::2], edges[1::2], strict=True)
            )
        ]
        shards = {10: steering_table.SteeringTable(blocks)}
        near_edges = [edge + step for edge in edges for step in (-1, 0, 1)]
        for number in near_edges:
            expected = [
                SITES[block.site]
                for block in blocks
                if block.first <= number <= block.last
            ]
            address = str(ipaddress.IPv4Address(number))
            found = steering_table.find_site(shards, SITES, address)
            self.assertEqual([found] if found else [], expected)
        for address in ("", "::1", "11.0.0.0", "name", "10.0.0.0/8"):
            self.assertIsNone(steering_table.find_site(shards, SITES, address))

    def test_a_shard_is_built_from_its_object_and_deleted_with_it(self):
        store = objects.ObjectStore()
        built = tables.Tables(store)
        shard = _table("10.1.0.0/16", "10.2.0.0/24")
        store.apply(SHARD_NAME, 1, steering_table.pack(shard))
        self.assertEqual(
            list(built.block_shards[10].blocks()), list(shard.blocks())
        )
        store.apply(objects.SITES, 1, SITES_CONTENT)
        self.assertEqual(built.sites, SITES)
        store.apply(SHARD_NAME, 2, None)
        self.assertEqual(built.block_shards, {})

    def test_a_malformed_shard_never_replaces_an_earlier_one(self):
        good = steering_table.pack(_table("10.1.0.0/16"))
        duplicate = steering_table.ROW_FORMAT.pack(10 << 24, 10 << 24, 0) * 2
        outside = steering_table.pack(_table("10.1.0.0/16", "11.1.0.0/16"))
        malformed = [
            {**good, "rows": "AAAA"},
            {**good, "rows": "not base64"},
            {
                **good,
                "rows": steering_table.base64.b64encode(duplicate).decode(),
            },
            {},
            outside,
            [],
        ]
        store = objects.ObjectStore()
        built = tables.Tables(store)
        store.apply(SHARD_NAME, 1, good)
        before = built.block_shards[10]
        for version, content in enumerate(malformed, 2):
            with self.assertLogs(level="ERROR"):
                store.apply(SHARD_NAME, version, content)
            self.assertIs(built.block_shards[10], before)
        for sites in ({"x": ["a", "b"]}, {"0": ["a"]}, {"65536": ["a", "b"]}):
            with self.assertLogs(level="ERROR"):
                version += 1
                store.apply(objects.SITES, version, {"sites": sites})
        for shard in ("256", "010", "x", ""):
            name = objects.BLOCKS_PREFIX + shard
            with self.assertLogs(level="ERROR"):
                store.apply(name, 1, good)
            self.assertIn(name, built.malformed)


class CallerRegionTest(unittest.TestCase):
    """Region of a caller that a host finds by address or reads in the query."""

    def test_the_region_follows_from_the_address_unless_given(self):
        running = self.enterContext(_deployments.deployment())
        _deployments.wait_hosts_listed(running)
        host = next(iter(running.host_specs))

        def nearest_region(query=""):
            answer = running.call(host, "GET", f"/v1/hosts{query}")
            return answer.json()["hosts"][0]["region"]

        host_region = running.host_specs[host].region
        self.assertEqual(nearest_region(), host_region)
        block = steering_table.block_from_prefix("127.0.0.0/24", 1)
        shard = steering_table.SteeringTable([block])
        spec = steering_table.pack(shard)
        running.put("steeringobjects", "blocks.127", spec)
        running.put("steeringobjects", "sites", SITES_CONTENT)
        _common.wait_until(
            lambda: nearest_region() == "south",
            description="the new block is used",
        )
        self.assertEqual(nearest_region("?region=mid"), "mid")


if __name__ == "__main__":
    unittest.main()

"""The table of client blocks: look-ups, shards and malformed shards."""

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
NAMED = {"sites": {"0": ["s1", "north"], "1": ["s2", "south"]}}
NAME = objects.BLOCKS_PREFIX + "10"


def table(*prefixes):
    blocks = [
        steering_table.from_prefix(prefix, number % 2)
        for number, prefix in enumerate(prefixes)
    ]
    return steering_table.SteeringTable(blocks)


class SteeringTableTest(unittest.TestCase):
    """Look-ups in one shard and through the tables."""

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
        near = [edge + step for edge in edges for step in (-1, 0, 1)]
        for number in near:
            wanted = [
                SITES[block.site]
                for block in blocks
                if block.first <= number <= block.last
            ]
            address = str(ipaddress.IPv4Address(number))
            found = steering_table.site_of(shards, SITES, address)
            self.assertEqual([found] if found else [], wanted)
        for address in ("", "::1", "11.0.0.0", "name", "10.0.0.0/8"):
            self.assertIsNone(steering_table.site_of(shards, SITES, address))

    def test_a_shard_comes_back_from_its_object_and_goes_with_it(self):
        store = objects.ObjectStore()
        built = tables.Tables(store)
        shard = table("10.1.0.0/16", "10.2.0.0/24")
        store.apply(NAME, 1, steering_table.pack(shard))
        self.assertEqual(list(built.blocks[10].blocks()), list(shard.blocks()))
        store.apply(objects.SITES, 1, NAMED)
        self.assertEqual(built.sites, SITES)
        store.apply(NAME, 2, None)
        self.assertEqual(built.blocks, {})

    def test_a_malformed_shard_leaves_the_earlier_one_in_force(self):
        good = steering_table.pack(table("10.1.0.0/16"))
        twice = steering_table.ROW.pack(10 << 24, 10 << 24, 0) * 2
        outside = steering_table.pack(table("10.1.0.0/16", "11.1.0.0/16"))
        faults = [
            {**good, "rows": "AAAA"},
            {**good, "rows": "not base64"},
            {**good, "rows": steering_table.base64.b64encode(twice).decode()},
            {},
            outside,
            [],
        ]
        store = objects.ObjectStore()
        built = tables.Tables(store)
        store.apply(NAME, 1, good)
        before = built.blocks[10]
        for version, fault in enumerate(faults, 2):
            with self.assertLogs(level="ERROR"):
                store.apply(NAME, version, fault)
            self.assertIs(built.blocks[10], before)
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
    """The region of a caller, at a real host."""

    def test_the_block_gives_the_region_unless_the_caller_names_one(self):
        running = self.enterContext(_deployments.deployment())
        _deployments.wait_hosts_listed(running)
        host = next(iter(running.host_specs))

        def nearest(query=""):
            answer = running.call(host, "GET", f"/v1/hosts{query}")
            return answer.json()["hosts"][0]["region"]

        own = running.host_specs[host].region
        self.assertEqual(nearest(), own)
        block = steering_table.from_prefix("127.0.0.0/24", 1)
        shard = steering_table.SteeringTable([block])
        spec = steering_table.pack(shard)
        running.put("steeringobjects", "blocks.127", spec)
        running.put("steeringobjects", "sites", NAMED)
        _common.wait_until(lambda: nearest() == "south", description="in force")
        self.assertEqual(nearest("?region=mid"), "mid")


if __name__ == "__main__":
    unittest.main()

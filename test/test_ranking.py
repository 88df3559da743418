"""Tests of the ranking of hosts for look-ups: order, length and updates."""

import json
import logging
import unittest

from gooseberryweir import clock as clocks
from gooseberryweir import rendezvous
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.membership import membership as memberships
from gooseberryweir.process.membership import neighbours
from gooseberryweir.request import ranking
from gooseberryweir.version import objects
from gooseberryweir.version import tables as tables_module
from test import _fleet

LINK_MS = 20.0


class RankingTest(unittest.TestCase):
    """Rankings for small, large and changing fleets, with a real membership."""

    def setUp(self):
        log = logging.getLogger("gooseberryweir")
        log.setLevel(logging.CRITICAL)
        self.addCleanup(log.setLevel, logging.NOTSET)

    def build(self, regions, hosts_per_region):
        """Builds rankings for a fleet of the given size."""
        self.regions = {f"r{number}": ("a",) for number in range(regions)}
        self.store = objects.ObjectStore()
        self.tables = tables_module.Tables(self.store)
        self.facts = facts_module.Facts()
        self.clock = clocks.ManualClock()
        specs = _fleet.place_hosts(self.regions, regions * hosts_per_region)
        self.declare_links(1, LINK_MS)
        ports = dict.fromkeys(("caller", "peer", "operator"), "10.0.0.1:1")
        listed = [
            {**spec._asdict(), **ports, "leaving": False} for spec in specs
        ]
        self.store.apply(objects.HOSTS, 1, {"endpoints": listed})
        self.membership = memberships.Membership(
            specs[-1].name,
            1,
            self.clock.interface(),
            self.tables,
            self.facts,
            self.store,
        )
        for spec in specs:
            self.facts.add(facts_module.incarnation_key(spec.name), 1)
        self.rankings = ranking.Rankings(self.tables, self.membership)

    def declare_links(self, version, link_ms):
        """Applies declarations with a latency for the links of region r1."""
        document = _fleet.declare(self.regions, ("s",), {"ada": (1, 1)})
        for link in document["links"]:
            link["latency_ms"] = link_ms if "r1" in link["between"] else LINK_MS
        content = {"declarations": document}
        self.store.apply(objects.CONFIG, version, content)

    def names(self, account, region):
        """Returns the names in the ranking for an account and region."""
        text = self.rankings.ranked_json(account, region)
        return [host["name"] for host in json.loads(text)]

    def expected(self, account, region):
        """Returns all hosts in the order expected of the ranking.

        Hosts of the region come first; within each group the home of the
        account (the host that grants its tokens), then the others by score.
        """
        home = self.membership.home_of(f"account/{account}")
        return sorted(
            self.tables.hosts,
            key=lambda name: (
                self.tables.hosts[name].region != region,
                name != home,
                -rendezvous.score(account, name),
            ),
        )

    def test_small_fleet_is_listed_completely_in_order(self):
        self.build(3, 3)
        for account in ("", "ada", "ben"):
            for region in self.regions:
                expected = self.expected(account, region)
                self.assertEqual(self.names(account, region), expected)

    def test_large_fleet_is_limited_and_includes_other_regions(self):
        self.build(6, 20)
        self.declare_links(2, LINK_MS / 2)
        names = self.names("ada", "r2")
        expected = self.expected("ada", "r2")
        self.assertEqual(names[:12], expected[:12])
        regions = {self.tables.hosts[name].region for name in names[12:]}
        self.assertEqual(len(names), 16)
        self.assertEqual(len(regions), 4)
        self.assertIn("r1", regions)
        self.assertNotIn("r2", regions)
        voters = neighbours.voters(self.tables.hosts)
        removed = next(name for name in names if name not in voters)
        self.facts.add(facts_module.leaving_key(removed), 1)
        self.assertNotIn(removed, self.names("ada", "r2"))

    def test_ranking_follows_changes_of_hosts_and_latencies(self):
        self.build(3, 3)
        removed = self.names("", "r0")[0]
        self.facts.add(facts_module.leaving_key(removed), 1)
        self.assertNotIn(removed, self.names("", "r0"))
        removed = self.names("", "r0")[0]
        self.membership.transitions.update_silent_hosts([removed])
        self.membership.reachable = lambda: self.membership.live() - {removed}
        self.assertNotIn(removed, self.names("", "r0"))
        last = self.names("", "r0")[-1]
        self.declare_links(2, 500.0)
        self.assertTrue(self.names("", "r0")[-1].startswith("r1-"), last)
        self.store.apply(objects.HOSTS, 2, {"endpoints": []})
        self.assertEqual(self.names("", "r0"), [])


if __name__ == "__main__":
    unittest.main()

"""Tests of entries of other programs among the upstreams, with real processes.

The store takes any JSON. What such an entry holds must not keep hosts from
learning of the other entries.
"""

import contextlib
import time
import unittest

from test import _front
from test.standins import threaded_upstream

# The platform's bound on a change of the configuration or of the upstreams.
APPLY_SECONDS = 2.5
# The platform's bound on an evacuation.
EVACUATION_SECONDS = 5.0
# Time for which the entry is in the store.
ENTRY_SECONDS = 2.0


class ForeignEntriesTest(unittest.TestCase):
    """Three hosts."""

    def setUp(self):
        self.stack = self.enterContext(contextlib.ExitStack())
        self.system = _front.System(self.stack)
        self.store = self.system.store

    def put_entry(self, **changes):
        """Writes the entry of another program."""
        entry = {**self.system.upstreams[0].entry(), **changes}
        self.store.put("servers", "i-other", entry)

    def assert_learns_of_a_new_service(self, zone="north-a"):
        """Checks that all hosts serve a route whose upstream is new."""
        configuration = _front.configuration_with_route("new", 2, "new")
        self.store.put("config", "main", configuration)
        upstream = self.stack.enter_context(
            threaded_upstream.ThreadedUpstream("i-new", "new", zone)
        )
        self.store.put("servers", upstream.name, upstream.entry())
        _front.wait_until_served(self.system.hosts, "/new/1", APPLY_SECONDS)

    # Guards against CONFIG of review/2: no host learned of upstreams any more
    # after an entry with such a number.
    def test_upstreams_are_read_after_an_entry_with_a_huge_number(self):
        self.put_entry(slots=2**64)
        time.sleep(ENTRY_SECONDS)
        self.store.delete("servers", "i-other")
        self.assert_learns_of_a_new_service()
        for host in self.system.hosts:
            self.assertFalse(host.log_lines("task-failed"), host.name)

    # Guards against EVAC of review/3: while such an entry was in the store,
    # hosts could read neither upstreams nor evacuations.
    def test_evacuations_are_read_beside_an_entry_that_is_no_text(self):
        other = self.stack.enter_context(
            threaded_upstream.ThreadedUpstream("i-b", "work", "south-a")
        )
        self.store.put("servers", other.name, other.entry())
        self.put_entry(service="worn\udcff\udcfe")
        self.store.put("evacuations", "north-a", {})
        time.sleep(EVACUATION_SECONDS)
        before = [len(each.runs) for each in self.system.upstreams]
        for _ in range(10):
            self.call_all()
        after = [len(each.runs) for each in self.system.upstreams]
        self.assertEqual(before, after)
        self.assert_learns_of_a_new_service("south-a")

    def call_all(self):
        """Sends a request to each host; returns True."""
        for host in self.system.hosts:
            self.assertEqual(_front.call(host.address, "/read/1").status, 200)
        return True


if __name__ == "__main__":
    unittest.main()

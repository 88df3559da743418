"""Tests of a store that comes back from an older copy, with real processes.

The store then lacks the changes of its last seconds and gives out their
revisions again; the header `Store-Era` rises by one. Operators and upstreams
write their objects again.
"""

import contextlib
import time
import unittest
from unittest import mock

from test import _common
from test import _front
from test.standins import store
from test.standins import threaded_upstream

LOST_SECONDS = 1.5
# Changes that are lost; so many revisions are given out again.
LOST_CHANGES = 20
# The platform's bound on a change of the configuration, and the longest time
# by which a disruption of the store may extend it.
APPLY_SECONDS = 2.5 + 5.0


class StoreEraTest(unittest.TestCase):
    """Three hosts whose store returns from a copy."""

    def setUp(self):
        stack = self.enterContext(contextlib.ExitStack())
        self.stack = stack
        self.system = _front.System(stack)
        self.store = self.system.store
        time.sleep(LOST_SECONDS)
        for number in range(LOST_CHANGES):
            lost = _front.configuration_with_route("lost", number + 2)
            self.store.put("config", "main", lost)
        # All hosts know the latest revision before it is lost.
        time.sleep(1.0)
        self.store.control(
            self.store.port_names[0], return_from_copy=LOST_SECONDS
        )

    # Guards against hosts that keep what they had until the revisions of the
    # new era pass those of the old one.
    def test_configuration_written_after_the_return_is_in_force(self):
        new = _front.configuration_with_route("new", LOST_CHANGES + 2)
        self.store.put("config", "main", new)
        _front.wait_until_served(self.system.hosts, "/new/1", APPLY_SECONDS)

    # Guards against CONFIG of review/1: a key that is revoked after the return
    # stays accepted, since each poll confirms the configuration before it.
    def test_key_revoked_after_the_return_is_refused(self):
        revoked = _front.configuration(
            LOST_CHANGES + 2, tenants={"t1": {"apiKeys": ["k1"]}}
        )
        self.store.put("config", "main", revoked)
        for host in self.system.hosts:
            _common.wait_until(
                lambda host=host: (
                    _front.call(host.address, "/read/1", key="k2").status == 401
                ),
                timeout=_front.KEY_REVOCATION_SECONDS,
                description=f"{host.name} refuses the key",
            )
            answer = _front.call(host.address, "/read/1")
            self.assertEqual(answer.status, 200)

    # Guards against hosts that go back to the configuration of the copy.
    def test_configuration_that_the_copy_lacks_stays_in_force(self):
        for host in self.system.hosts:
            _common.wait_until(
                lambda host=host: host.log_lines("store-era-changed"),
                timeout=APPLY_SECONDS,
                description=f"{host.name} learns of the return",
            )
        for _ in range(10):
            for host in self.system.hosts:
                answer = _front.call(host.address, "/lost/1")
                self.assertEqual(answer.status, 200, host.name)
            time.sleep(0.1)

    # The same for the list of upstreams.
    def test_upstream_that_registers_after_the_return_is_used(self):
        for upstream in self.system.upstreams:
            self.store.delete("servers", upstream.name)
        new = self.stack.enter_context(
            threaded_upstream.ThreadedUpstream("i-new", "work", "north-a")
        )
        self.store.put("servers", new.name, new.entry())

        def is_used():
            for host in self.system.hosts:
                _front.call(host.address, "/read/1")
            return new.runs

        _common.wait_until(
            is_used, timeout=APPLY_SECONDS, description="it gets requests"
        )


class ReturnFromCopyTest(unittest.TestCase):
    """The stand-in of the store itself."""

    def test_return_from_a_copy_gives_out_revisions_again(self):
        now = 100.0
        with mock.patch.object(store.time, "monotonic", lambda: now):
            objects = store.Store()
            objects.commit("config", "main", {"a": 1})
            now = 105.0
            lost = objects.commit("config", "main", {"a": 2})
            objects.commit("servers", "i-1", {})
            now = 106.0
            objects.return_from_copy(2.0)
            self.assertEqual(objects.era, 2)
            self.assertEqual(
                objects.objects["config", "main"]["spec"], {"a": 1}
            )
            self.assertNotIn(("servers", "i-1"), objects.objects)
            again = objects.commit("config", "main", {"a": 3})
        self.assertEqual(
            again["metadata"]["revision"], lost["metadata"]["revision"]
        )


if __name__ == "__main__":
    unittest.main()

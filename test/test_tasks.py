"""Tests of long-lived tasks and exceptions that nobody foresaw."""

import unittest

from gooseberryweir import tasks
from gooseberryweir.process.fleet import reader
from gooseberryweir.process.fleet import store_cache
from test import simulated_fleet
from test import test_fleet_knowledge
from test import virtual_time

FAULT_SECONDS = 3.0


class SpawnTest(unittest.TestCase):
    """A single task."""

    def test_a_task_runs_again_until_it_returns(self):
        calls = []

        def fail_twice(argument):
            calls.append(argument)
            if len(calls) < 3:
                raise OverflowError("integer out of range")

        with virtual_time.virtual_time() as clock:
            task = tasks.spawn("test", fail_twice, "a")
            clock.sleep(5 * tasks.RESTART_SECONDS)
            self.assertTrue(task.dead)
        self.assertEqual(calls, ["a", "a", "a"])

    def test_a_killed_task_does_not_run_again(self):
        calls = []
        with virtual_time.virtual_time() as clock:

            def wait():
                calls.append(1)
                clock.sleep(10.0)

            task = tasks.spawn("test", wait)
            clock.sleep(1.0)
            task.kill()
            clock.sleep(15.0)
        self.assertEqual(calls, [1])


class ListenerTest(unittest.TestCase):
    """Functions that are called when a snapshot changes."""

    def test_one_that_fails_does_not_affect_the_others(self):
        host = test_fleet_knowledge.Host()
        changed = []
        host.store_cache.listeners += [lambda kind: 1 / 0, changed.append]
        host.set_configuration(2)
        self.assertEqual(changed, [store_cache.CONFIGURATION])


class ReaderTest(unittest.TestCase):
    """Reads of the store that fail in a way that nobody foresaw."""

    # Guards against CONFIG of review/2: an exception while the upstreams were
    # read ended that task for good, and the host went on as the one that polls.
    def test_changes_reach_all_hosts_after_such_a_failure(self):
        with virtual_time.virtual_time() as clock:
            fleet = simulated_fleet.Fleet(9, clock)
            clock.sleep(4.0)
            read = fleet.store.read
            failing = {store_cache.UPSTREAMS, store_cache.CONFIGURATION}

            def read_or_fail(host, kind):
                if kind in failing:
                    raise OverflowError("integer out of range")
                return read(host, kind)

            fleet.store.read = read_or_fail
            fleet.change_upstreams(1000)
            clock.sleep(FAULT_SECONDS)
            failing.clear()
            revision = fleet.change_upstreams(1000)
            clock.sleep(2.5)
            for host in fleet.running():
                self.assertEqual(
                    host.cache.version(store_cache.UPSTREAMS).revision,
                    revision,
                    host.entry.name,
                )
                self.assertLess(
                    host.cache.confirmed_age(), reader.TAKEOVER_SECONDS
                )


if __name__ == "__main__":
    unittest.main()

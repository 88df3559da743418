"""Keys: withdrawn within 5 s under faults."""

import time
import unittest

from test import _common
from test import _deployments
from test import _probe

# The users' bound from withdrawal to the last accepted request, seconds.
BOUND_SECONDS = 5.0


class WithdrawalTest(unittest.TestCase):
    """Each case has a key and a path of its own, on shared processes.

    The time runs from before the withdrawal is sent to the last start of work
    on the case's path at any upstream, and to the last answer of a host that
    had admitted the key, be it a refusal for its rate.
    """

    @classmethod
    def setUpClass(cls):
        cls.running = cls.enterClassContext(
            _deployments.deployment(3, 3, 9, proxied=True)
        )
        _deployments.wait_serving(cls.running)
        cls.keys = _probe.AccountKeys(cls.running, "ada")
        cls.names = list(cls.running.host_specs)
        cls.withdrawn = {}

    def setUp(self):
        self.path = f"/contracts/{self.id().rpartition('.')[2]}"
        self.addCleanup(_probe.remove_faults, self.running)
        self.key = self.keys.issue()
        self.prober = self.enterContext(
            _probe.Prober(self.running, self.key, (self.path,))
        )
        self.prober.wait_accepted()

    def in_platform(self):
        return self.keys.withdraw_in_platform(self.key)

    def at_host(self, number=1):
        return self.keys.withdraw_at_host(self.key, self.names[number])

    def check(self, withdrawn_at):
        """Checks the bound, also for what comes after the faults."""
        self.prober.wait_refused()
        self.check_starts(withdrawn_at)
        _probe.remove_faults(self.running)
        self.wait_withdrawn()
        self.check_starts(withdrawn_at)

    def wait_withdrawn(self):
        """Waits until every host refuses the key because it is withdrawn."""
        for host in self.names:
            _common.wait_until(
                lambda host=host: (
                    self.prober.samples_since(host, 0)[-1].status == 401
                ),
                description=f"{host} knows of the withdrawal",
            )

    def check_starts(self, withdrawn_at):
        began = _probe.run_starts(self.running, self.path)
        self.assertTrue(began)
        self.assertLess(began[-1] - withdrawn_at, BOUND_SECONDS)
        admitted_at = self.prober.last_admitted(self.path)
        self.assertLess(admitted_at - withdrawn_at, BOUND_SECONDS)

    def restart(self, host):
        """Starts a host again, at its old listed addresses."""
        self.running.hosts[host].kill()
        self.running.start_host(host)

    def test_on_open_connections(self):
        opened = dict(self.prober.connections)
        self.check(self.in_platform())
        self.assertEqual(self.prober.connections, opened)
        self.assertEqual(set(opened.values()), {1})

    def test_at_one_host(self):
        self.check(self.at_host())

    def test_host_cut_off_from_platform(self):
        _probe.cut_from_platform(self.running, self.names[0])
        self.check(self.in_platform())

    def test_host_cut_off_from_peers(self):
        _probe.cut_from_peers(self.running, self.names[0])
        self.check(self.at_host())

    def test_host_cut_off_from_both(self):
        _probe.cut_from_platform(self.running, self.names[0])
        _probe.cut_from_peers(self.running, self.names[0])
        self.check(self.in_platform())

    def test_platform_down(self):
        self.running.control(outage="hang")
        self.check(self.at_host())

    def test_platform_down_and_host_cut_off(self):
        self.running.control(outage="refuse")
        _probe.cut_from_peers(self.running, self.names[0])
        self.check(self.at_host())

    def test_while_a_host_starts(self):
        host = self.names[0]
        self.restart(host)
        withdrawn_at = self.in_platform()
        self.running.wait_host_ready(host)
        self.check(withdrawn_at)

    def test_frozen_host_woken(self):
        host, others = self.names[0], self.names[1:]
        self.running.hosts[host].freeze()
        self.addCleanup(self.running.hosts[host].wake)
        withdrawn_at = self.in_platform()
        self.prober.wait_refused(hosts=others)
        _common.wait_until(
            lambda: (
                host
                not in [
                    each["name"]
                    for each in _deployments.look_up(
                        self.running, others[0], "ben"
                    )["hosts"]
                ]
            )
        )
        self.running.hosts[host].unfreeze()
        self.check(withdrawn_at)

    def test_old_reads_and_a_late_watch(self):
        self.running.control(stale_reads=True, watch_late_ms=20_000)
        withdrawn_at = self.at_host()
        self.keys.write()
        self.check(withdrawn_at)

    def test_old_reads(self):
        self.running.control(stale_reads=True)
        self.check(self.in_platform())

    def test_late_watch(self):
        self.running.control(watch_late_ms=20_000)
        self.check(self.in_platform())

    def test_withdrawn_in_an_outage_then_host_started_again(self):
        """The new process hears the platform before those that know."""
        host, others = self.names[0], self.names[1:]
        self.running.control(outage="refuse")
        withdrawn_at = self.at_host()
        self.prober.wait_refused()
        for other in others:
            _probe.cut_from_platform(self.running, other)
        self.running.set_rules(f"{host}>peer:*", f"*>peer:{host}", delay_ms=100)
        self.running.control(outage="")
        restarted_at = time.monotonic()
        self.restart(host)
        self.running.wait_host_ready(host)
        self.wait_withdrawn()
        admitted_at = self.prober.last_admitted(self.path)
        self.assertLess(admitted_at, restarted_at)
        self.check(withdrawn_at)


if __name__ == "__main__":
    unittest.main()

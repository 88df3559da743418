"""Tests that a withdrawn key is refused within 5 s during faults."""

import time
import unittest

from test import _common
from test import _deployments
from test import _probe

# Required limit from a key's withdrawal to the last accepted request.
KEY_WITHDRAWAL_BOUND_SECONDS = 5.0


class WithdrawalTest(unittest.TestCase):
    """Withdraws a key during a fault and checks the time until it is refused.

    Each test has its own key and path; all tests share the processes. The time
    is measured from before the withdrawal is sent until the last request for
    the test's path starts at any upstream, and until the last answer of a host
    that still accepted the key. A refusal because of the rate counts as such an
    answer.
    """

    @classmethod
    def setUpClass(cls):
        cls.deployment = cls.enterClassContext(
            _deployments.deployment(3, 3, 9, proxied=True)
        )
        _deployments.wait_serving(cls.deployment)
        cls.keys = _probe.AccountKeys(cls.deployment, "ada")
        cls.host_names = list(cls.deployment.host_specs)
        cls.withdrawn = {}

    def setUp(self):
        self.path = f"/contracts/{self.id().rpartition('.')[2]}"
        self.addCleanup(_probe.remove_faults, self.deployment)
        self.key = self.keys.issue()
        self.prober = self.enterContext(
            _probe.Prober(self.deployment, self.key, (self.path,))
        )
        self.prober.wait_accepted()

    def withdraw_in_platform(self):
        return self.keys.withdraw_in_platform(self.key)

    def withdraw_at_host(self, number=1):
        return self.keys.withdraw_at_host(self.key, self.host_names[number])

    def check_withdrawal(self, withdrawn_at):
        """Checks the time limit during the fault, ends it and checks again."""
        self.prober.wait_refused()
        self.check_bound(withdrawn_at)
        _probe.remove_faults(self.deployment)
        self.wait_withdrawn()
        self.check_bound(withdrawn_at)

    def wait_withdrawn(self):
        """Waits until every host refuses the key as withdrawn."""
        for host in self.host_names:
            _common.wait_until(
                lambda host=host: (
                    self.prober.samples_since(host, 0)[-1].status == 401
                ),
                description=f"{host} refuses the withdrawn key",
            )

    def check_bound(self, withdrawn_at):
        request_starts = _probe.run_starts(self.deployment, self.path)
        self.assertTrue(request_starts)
        self.assertLess(
            request_starts[-1] - withdrawn_at, KEY_WITHDRAWAL_BOUND_SECONDS
        )
        admitted_at = self.prober.last_admitted(self.path)
        self.assertLess(
            admitted_at - withdrawn_at, KEY_WITHDRAWAL_BOUND_SECONDS
        )

    def restart(self, host):
        """Restarts a host; the host list keeps its old addresses."""
        self.deployment.hosts[host].kill()
        self.deployment.start_host(host)

    def test_withdrawn_while_connections_are_open(self):
        connections = dict(self.prober.connections)
        self.check_withdrawal(self.withdraw_in_platform())
        self.assertEqual(self.prober.connections, connections)
        self.assertEqual(set(connections.values()), {1})

    def test_withdrawn_at_one_host(self):
        self.check_withdrawal(self.withdraw_at_host())

    def test_host_cut_off_from_platform(self):
        _probe.cut_from_platform(self.deployment, self.host_names[0])
        self.check_withdrawal(self.withdraw_in_platform())

    def test_host_cut_off_from_peers(self):
        _probe.cut_from_peers(self.deployment, self.host_names[0])
        self.check_withdrawal(self.withdraw_at_host())

    def test_host_cut_off_from_both(self):
        _probe.cut_from_platform(self.deployment, self.host_names[0])
        _probe.cut_from_peers(self.deployment, self.host_names[0])
        self.check_withdrawal(self.withdraw_in_platform())

    def test_platform_down(self):
        self.deployment.control(outage="hang")
        self.check_withdrawal(self.withdraw_at_host())

    def test_platform_down_and_host_cut_off(self):
        self.deployment.control(outage="refuse")
        _probe.cut_from_peers(self.deployment, self.host_names[0])
        self.check_withdrawal(self.withdraw_at_host())

    def test_withdrawn_while_a_host_starts(self):
        host = self.host_names[0]
        self.restart(host)
        withdrawn_at = self.withdraw_in_platform()
        self.deployment.wait_host_ready(host)
        self.check_withdrawal(withdrawn_at)

    def test_frozen_host_resumes(self):
        host, others = self.host_names[0], self.host_names[1:]
        self.deployment.hosts[host].freeze()
        self.addCleanup(self.deployment.hosts[host].unfreeze)
        withdrawn_at = self.withdraw_in_platform()
        self.prober.wait_refused(hosts=others)
        _common.wait_until(
            lambda: (
                host
                not in [
                    each["name"]
                    for each in _deployments.look_up(
                        self.deployment, others[0], "ben"
                    )["hosts"]
                ]
            )
        )
        self.deployment.hosts[host].unfreeze()
        self.check_withdrawal(withdrawn_at)

    def test_stale_reads_and_late_watch_events(self):
        self.deployment.control(stale_reads=True, watch_late_ms=20_000)
        withdrawn_at = self.withdraw_at_host()
        self.keys.write()
        self.check_withdrawal(withdrawn_at)

    def test_stale_reads(self):
        self.deployment.control(stale_reads=True)
        self.check_withdrawal(self.withdraw_in_platform())

    def test_late_watch_events(self):
        self.deployment.control(watch_late_ms=20_000)
        self.check_withdrawal(self.withdraw_in_platform())

    def test_withdrawn_in_an_outage_then_host_restarted(self):
        """A restarted host gets the platform's objects before the withdrawal.

        The peers that know of the withdrawal are cut off from the platform and
        answer the host late.
        """
        host, others = self.host_names[0], self.host_names[1:]
        self.deployment.control(outage="refuse")
        withdrawn_at = self.withdraw_at_host()
        self.prober.wait_refused()
        for other in others:
            _probe.cut_from_platform(self.deployment, other)
        self.deployment.set_rules(
            f"{host}>peer:*", f"*>peer:{host}", delay_ms=100
        )
        self.deployment.control(outage="")
        restarted_at = time.monotonic()
        self.restart(host)
        self.deployment.wait_host_ready(host)
        self.wait_withdrawn()
        admitted_at = self.prober.last_admitted(self.path)
        self.assertLess(admitted_at, restarted_at)
        self.check_withdrawal(withdrawn_at)


if __name__ == "__main__":
    unittest.main()

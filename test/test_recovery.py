"""Hosts are replaced, or two faults occur at once, while clients send requests.

Each test checks the conditions that must always hold (`_invariants`). Most
also check that in the end every host serves again.
"""

import hashlib
import threading
import time
import unittest

from gooseberryweir import rendezvous
from test import _callers
from test import _common
from test import _deployments
from test import _invariants
from test import _operators

ACCOUNTS = {"ada": (10.0, 5), "ben": (30.0, 20)}
TRAFFIC = [_callers.Traffic("ada", 20.0, 0.2), _callers.Traffic("ben", 10.0)]
# Duration of the pauses and outages that the tests inject.
FAULT_SECONDS = 4.0
LOOK_UP_TTL_SECONDS = 1.0


class RecoveryTest(unittest.TestCase):
    """Base of tests with real hosts behind the fault proxy and a light load."""

    hosts = 3

    def setUp(self):
        self.running = self.enterContext(
            _deployments.deployment(
                self.hosts,
                3,
                6,
                *("--service-ms", "20", "--journal"),
                document=_deployments.declarations(ACCOUNTS),
                proxied=True,
                settings={"look_up_seconds": LOOK_UP_TTL_SECONDS},
            )
        )
        _deployments.wait_serving(self.running)
        self.names = list(self.running.host_specs)
        self.callers = _callers.Callers(self.running, 1)

    def run_under_load(self, action):
        """Calls a function under load, then checks that `_invariants` hold."""
        stopped = threading.Event()
        load = threading.Thread(
            target=self.callers.run, args=(TRAFFIC, stopped.is_set)
        )
        load.start()
        try:
            _common.wait_until(lambda: self.was_served(0.0))
            action()
        finally:
            stopped.set()
            load.join()
            self.callers.finish()
        checker = _invariants.InvariantChecker(
            self.running, self.callers.attempts, ACCOUNTS, FAULT_SECONDS
        )
        self.assertEqual(checker.check_all(), [])

    def was_served(self, since):
        """Returns True if a request sent since a monotonic time succeeded."""
        return any(
            each.status == 200 and each.sent_at >= since
            for each in self.callers.attempts
        )

    def wait_recovered(self):
        """Waits until every host serves requests with and without tickets.

        A ticket is an idempotency key, issued by a host.
        """
        for name in self.names:
            _common.wait_until(
                lambda name=name: self.runs_request_with_ticket(name),
                description=name,
            )
        _deployments.wait_serving(self.running)

    def runs_request_with_ticket(self, host):
        """Returns True if a host runs a request with a ticket it issued."""
        tickets = _deployments.look_up(self.running, host, "ben")["tickets"]
        answer = self.running.call(
            host,
            "POST",
            "/contracts/orders/probe",
            "ben",
            body=b"order",
            headers={"Idempotency-Key": f"{tickets['prefix']}0"},
        )
        return answer.status == 200

    def restart(self, name):
        self.running.start_host(name)
        self.running.wait_host_ready(name)

    def stop(self, name):
        """Stops a host with SIGTERM; returns once it has ended."""
        process = self.running.hosts[name]
        process.terminate()
        self.assertEqual(process.wait(), 0)
        self.assertIn("cut_off=0", process.output())


class ReplacementTest(RecoveryTest):
    """Every host serves again after hosts were stopped or killed and restarted.

    Planned stops, one after another, cut off no request. Kills hit each host in
    turn, or a majority at once.
    """

    hosts = 5

    def test_one_after_another_as_planned_cuts_nobody_off(self):
        def replace():
            for name in self.names:
                self.stop(name)
                self.restart(name)
                _deployments.look_up(self.running, name, "ben")

        self.run_under_load(replace)
        cut_off = [
            _invariants.describe(each)
            for each in self.callers.attempts
            if not each.status and each.sent_at <= each.look_up_expires_at
        ]
        self.assertEqual(cut_off, [])
        self.wait_recovered()

    def test_hosts_killed_one_after_another_recover(self):
        def replace():
            for name in self.names:
                self.running.hosts[name].kill()
                self.restart(name)
                _deployments.look_up(self.running, name, "ben")

        self.run_under_load(replace)
        self.wait_recovered()

    def test_a_lost_majority_comes_back(self):
        majority = self.names[:3]

        def kill_majority():
            for name in majority:
                self.running.hosts[name].kill()
            time.sleep(FAULT_SECONDS)
            for name in majority:
                self.restart(name)
            restarted_at = time.monotonic()
            _common.wait_until(lambda: self.was_served(restarted_at))

        self.run_under_load(kill_majority)
        self.wait_recovered()


class OutageTest(RecoveryTest):
    """Two faults at once break no condition, and hosts recover.

    The pairs are a platform outage and a killed host, which must keep the
    withdrawal of a key; a region cut and a slow platform; a frozen home of an
    account (the host that owns its rate limit) and two operators' conflicting
    declarations; a crashed and a drained upstream.
    """

    def test_a_host_restarts_in_an_outage_and_keeps_a_key_withdrawal(self):
        running = self.running
        digest = hashlib.sha256(running.keys["ada"].encode()).hexdigest()

        def inject_faults():
            running.control(outage="refuse")
            time.sleep(FAULT_SECONDS)
            address = running.addresses[f"operator:{self.names[0]}"]
            answer = _common.request(
                "POST",
                f"http://{address}/v1/withdraw",
                body={"digest": digest},
                key=running.operator_token,
            )
            self.assertEqual(answer.json()["missing"], [])
            self.running.hosts[self.names[0]].kill()
            self.restart(self.names[0])
            self.wait_account_served("ben")
            self.assertEqual(self.status(self.names[0], "ada"), 401)
            running.control(outage="")
            _common.wait_until(self.key_withdrawal_written)

        self.run_under_load(inject_faults)
        statuses = [self.status(name, "ada") for name in self.names]
        self.assertEqual(statuses, [401] * len(self.names))

    def wait_account_served(self, account):
        """Waits until every host serves a request of an account."""
        for name in self.names:
            _common.wait_until(
                lambda name=name: self.status(name, account) == 200,
                description=name,
            )

    def status(self, host, account):
        """Returns the status of a request with the key of an account."""
        return self.running.call(host, "GET", "/contracts", account).status

    def key_withdrawal_written(self):
        """Returns True if the platform has stored the key withdrawal."""
        path = "/-/objects/steeringobjects/keys.ada"
        stored = _common.fetch_json(self.running.platform.url(path))
        return "withdrawn" in stored["spec"]["digests"].values()

    def test_hosts_recover_from_a_region_cut_with_a_slow_platform(self):
        region = next(iter(_deployments.REGIONS))

        def set_region_rules(**fields):
            for other in list(_deployments.REGIONS)[1:]:
                self.running.set_rules_between(
                    f"{region}-*", f"{other}-*", **fields
                )

        def inject_faults():
            self.running.control(delay_ms=1500)
            set_region_rules(blackhole="both")
            time.sleep(FAULT_SECONDS)
            set_region_rules()
            self.running.control(delay_ms=0)

        self.run_under_load(inject_faults)
        self.wait_recovered()

    def test_one_of_two_declarations_wins_while_a_home_is_frozen(self):
        home = rendezvous.first("account/ada", self.names)
        process = self.running.hosts[home]
        apply_attempts = []

        def inject_faults():
            process.freeze()
            apply_attempts.extend(_operators.race_to_apply(self.running, 1)[0])
            process.unfreeze()

        self.run_under_load(inject_faults)
        accepted = [each for each in apply_attempts if each.accepted_at]
        self.assertEqual(len(accepted), 1)
        rejected = next(each for each in apply_attempts if not each.accepted_at)
        for name in self.names:
            _common.wait_until(
                lambda name=name: (
                    self.running.call(name, "GET", accepted[0].path).status
                    == 200
                )
            )
            answer = self.running.call(name, "GET", rejected.path)
            self.assertEqual(answer.status, 404)
        self.wait_recovered()

    def test_drained_upstream_stays_unused_while_another_crashes(self):
        drained, crashed = list(self.running.upstreams)[:2]

        def inject_faults():
            outcome = _operators.run(
                self.running, "drain", f"upstream/{drained}"
            )
            self.assertEqual(outcome.exit_code, 0, outcome.lines)
            self.running.upstreams[crashed].kill()
            killed_at = time.monotonic()
            _common.wait_until(lambda: self.was_served(killed_at))
            self.running.start_upstream(crashed)
            self.running.wait_upstream_ready(crashed)
            before = self.running.reports()[drained]["accounts"]
            time.sleep(1.0)
            after = self.running.reports()[drained]["accounts"]
            self.assertEqual(before, after)

        self.run_under_load(inject_faults)
        self.wait_recovered()

"""Hosts replaced one after another, outages, and two faults at once.

Judged by the conditions from what callers and upstreams saw, and by recovery:
in the end every host serves again.
"""

import hashlib
import threading
import time
import unittest

from gooseberryweir import rendezvous
from test import _callers
from test import _common
from test import _declared
from test import _judge
from test import _operators

ACCOUNTS = {"ada": (10.0, 5), "ben": (30.0, 20)}
TRAFFIC = [_callers.Traffic("ada", 20.0, 0.2), _callers.Traffic("ben", 10.0)]
# Pauses that the tests inject, seconds.
HOLD_SECONDS = 4.0
LOOK_UP_SECONDS = 1.0


class RecoveryTest(unittest.TestCase):
    """Real hosts behind the fault proxy, with a light load."""

    hosts = 3

    def setUp(self):
        self.running = self.enterContext(
            _declared.deployment(
                self.hosts,
                3,
                6,
                *("--service-ms", "20", "--journal"),
                document=_declared.declarations(ACCOUNTS),
                proxied=True,
                settings={"look_up_seconds": LOOK_UP_SECONDS},
            )
        )
        _declared.wait_serving(self.running)
        self.names = list(self.running.host_specs)
        self.callers = _callers.Callers(self.running, 1)

    def under_load(self, act):
        """Acts beside the load, and judges the conditions afterwards."""
        over = threading.Event()
        load = threading.Thread(
            target=self.callers.run, args=(TRAFFIC, over.is_set)
        )
        load.start()
        try:
            _common.wait_until(lambda: self.served(0.0))
            act()
        finally:
            over.set()
            load.join()
            self.callers.finish()
        judged = _judge.Judge(
            self.running, self.callers.seen, ACCOUNTS, HOLD_SECONDS
        )
        self.assertEqual(judged.common(), [])

    def served(self, since):
        """Returns whether a request sent since an instant was answered."""
        return any(
            each.status == 200 and each.sent_at >= since
            for each in self.callers.seen
        )

    def wait_recovered(self):
        """Waits until every host serves reads and signings."""
        for name in self.names:
            _common.wait_until(lambda name=name: self.signs(name), what=name)
        _declared.wait_serving(self.running)

    def signs(self, host):
        """Returns whether a host runs a signing of its own look-up."""
        tickets = _declared.look_up(self.running, host, "ben")["tickets"]
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
        self.running.host_ready(name)

    def stop(self, name):
        """Stops a host as planned; returns once it ended."""
        process = self.running.hosts[name]
        process.terminate()
        self.assertEqual(process.wait(), 0)
        self.assertIn("cut_off=0", process.text())


class ReplacementTest(RecoveryTest):
    """All hosts are replaced."""

    hosts = 5

    def test_one_after_another_as_planned_cuts_nobody_off(self):
        def replace():
            for name in self.names:
                self.stop(name)
                self.restart(name)
                _declared.look_up(self.running, name, "ben")

        self.under_load(replace)
        cut = [
            _judge.describe(each)
            for each in self.callers.seen
            if not each.status and each.sent_at <= each.named_until
        ]
        self.assertEqual(cut, [])
        self.wait_recovered()

    def test_one_after_another_by_kill(self):
        def replace():
            for name in self.names:
                self.running.hosts[name].kill()
                self.restart(name)
                _declared.look_up(self.running, name, "ben")

        self.under_load(replace)
        self.wait_recovered()

    def test_a_lost_majority_comes_back(self):
        lost = self.names[:3]

        def lose():
            for name in lost:
                self.running.hosts[name].kill()
            time.sleep(HOLD_SECONDS)
            for name in lost:
                self.restart(name)
            began = time.monotonic()
            _common.wait_until(lambda: self.served(began))

        self.under_load(lose)
        self.wait_recovered()


class OutageTest(RecoveryTest):
    """The platform is down, and more goes wrong."""

    def test_a_host_restarts_in_an_outage_and_keeps_a_withdrawal(self):
        running = self.running
        digest = hashlib.sha256(running.keys["ada"].encode()).hexdigest()

        def fail():
            running.control(outage="refuse")
            time.sleep(HOLD_SECONDS)
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
            self.wait_recovered_for("ben")
            self.assertEqual(self.status(self.names[0], "ada"), 401)
            running.control(outage="")
            _common.wait_until(self.written)

        self.under_load(fail)
        statuses = [self.status(name, "ada") for name in self.names]
        self.assertEqual(statuses, [401] * len(self.names))

    def wait_recovered_for(self, account):
        for name in self.names:
            _common.wait_until(
                lambda name=name: self.status(name, account) == 200, what=name
            )

    def status(self, host, account):
        return self.running.call(host, "GET", "/contracts", account).status

    def written(self):
        """Returns whether the platform holds the withdrawal."""
        kind = "/-/objects/steeringobjects/keys.ada"
        found = _common.fetch_json(self.running.platform.url(kind))
        return "withdrawn" in found["spec"]["digests"].values()

    def test_a_region_cut_off_while_the_platform_is_slow(self):
        region = next(iter(_declared.REGIONS))

        def cut(**fields):
            for other in list(_declared.REGIONS)[1:]:
                self.running.between(f"{region}-*", f"{other}-*", **fields)

        def fail():
            self.running.control(delay_ms=1500)
            cut(blackhole="both")
            time.sleep(HOLD_SECONDS)
            cut()
            self.running.control(delay_ms=0)

        self.under_load(fail)
        self.wait_recovered()

    def test_the_home_of_an_account_frozen_while_operators_race(self):
        home = rendezvous.first("account/ada", self.names)
        process = self.running.hosts[home]
        raced = []

        def fail():
            process.freeze()
            raced.extend(_operators.race_to_apply(self.running, 1)[0])
            process.wake()

        self.under_load(fail)
        accepted = [epoch for epoch in raced if epoch.accepted_at]
        self.assertEqual(len(accepted), 1)
        loser = next(epoch for epoch in raced if not epoch.accepted_at)
        for name in self.names:
            _common.wait_until(
                lambda name=name: (
                    self.running.call(name, "GET", accepted[0].path).status
                    == 200
                )
            )
            answer = self.running.call(name, "GET", loser.path)
            self.assertEqual(answer.status, 404)
        self.wait_recovered()

    def test_an_upstream_crashes_while_another_is_drained(self):
        drained, crashed = list(self.running.upstreams)[:2]

        def fail():
            out = _operators.run(self.running, "drain", f"upstream/{drained}")
            self.assertEqual(out.exit_code, 0, out.lines)
            self.running.upstreams[crashed].kill()
            began = time.monotonic()
            _common.wait_until(lambda: self.served(began))
            self.running.start_upstream(crashed)
            self.running.upstream_ready(crashed)
            before = self.running.reports()[drained]["accounts"]
            time.sleep(1.0)
            after = self.running.reports()[drained]["accounts"]
            self.assertEqual(before, after)

        self.under_load(fail)
        self.wait_recovered()

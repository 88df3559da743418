"""No client account gets more than its rate and burst across all hosts."""

import time
import unittest

from test import _deployments
from test import _load

RATE_PER_SECOND = 20.0
BURST = 10
# Longest time from the admission of a request to its start at an upstream.
MAX_TRANSIT_SECONDS = 0.2
LOAD_SECONDS = 5.0


class RateTest(unittest.TestCase):
    """Hosts together keep an account's rate and burst in every time window.

    Accounts send five times their rate to nine real hosts, also while hosts are
    killed or frozen, a region is cut off or the platform is down. Upstreams
    record the starts of requests.
    """

    def start(self, accounts, hosts=9):
        document = _deployments.declarations(accounts)
        self.running = self.enterContext(
            _deployments.deployment(
                hosts,
                3,
                60,
                "--service-ms",
                "2",
                document=document,
                proxied=True,
            )
        )
        _deployments.wait_hosts_listed(self.running)
        self.names = list(self.running.host_specs)

    def check_rate(self, account, rate, burst):
        """Checks the rate and burst of an account in every time window.

        Returns:
            Number of starts at all upstreams.
        """
        times = [
            at
            for report in self.running.reports().values()
            for at, name, *_ in report["starts"]
            if name == account
        ]
        excess = _load.worst_excess(times, rate, burst)
        self.assertLessEqual(excess, rate * MAX_TRANSIT_SECONDS)
        return len(times)

    def send_overload(self, host, faults=None, seconds=LOAD_SECONDS):
        """Sends requests of one account at five times its rate.

        Args:
            host: Function from the number of a request to the name of its
                host.
            faults: Function that injects faults during the load.
            seconds: Duration of the load, seconds.

        Returns:
            The results of the requests.
        """
        stream = _load.Stream("ada", 5 * RATE_PER_SECOND, host)
        return _load.run(self.running, [stream], seconds, faults=faults)

    def round_robin(self, number):
        """Returns the name of the host for a request, given its number."""
        return self.names[number % len(self.names)]

    def test_five_times_the_rate_to_one_to_all_and_moving(self):
        self.start(
            {"ada": (RATE_PER_SECOND, BURST), "ben": (RATE_PER_SECOND, BURST)}
        )
        self.send_overload(lambda number: self.names[0])
        self.send_overload(self.round_robin)
        requests_per_host = 5 * RATE_PER_SECOND / 2
        self.send_overload(
            lambda number: self.round_robin(int(number / requests_per_host))
        )
        count = self.check_rate("ada", RATE_PER_SECOND, BURST)
        # Hosts grant more than half of the rate, however the load is spread.
        self.assertGreater(count, 3 * LOAD_SECONDS * RATE_PER_SECOND * 0.5)

    def test_rate_holds_during_kills_and_restarts(self):
        self.start(
            {"ada": (RATE_PER_SECOND, BURST), "ben": (RATE_PER_SECOND, BURST)}
        )

        def restart():
            for name in self.names[:3]:
                time.sleep(LOAD_SECONDS / 5)
                self.running.hosts[name].kill()
                self.running.start_host(name)
                self.running.wait_host_ready(name)
                self.running.write_lists()

        self.send_overload(self.round_robin, restart)
        self.send_overload(self.round_robin)
        self.check_rate("ada", RATE_PER_SECOND, BURST)

    def test_rate_holds_during_freezes_and_a_region_cut(self):
        self.start(
            {"ada": (RATE_PER_SECOND, BURST), "ben": (RATE_PER_SECOND, BURST)}
        )

        def inject_faults():
            frozen = [self.running.hosts[name] for name in self.names[:2]]
            for host in frozen:
                host.freeze()
            time.sleep(LOAD_SECONDS / 2)
            for host in frozen:
                host.unfreeze()
            for other in ("mid", "south"):
                self.running.set_rules_between(
                    "north-*", f"{other}-*", blackhole="both"
                )
            time.sleep(LOAD_SECONDS / 2)
            for other in ("mid", "south"):
                self.running.set_rules_between("north-*", f"{other}-*")

        self.send_overload(self.round_robin, inject_faults)
        self.send_overload(self.round_robin)
        self.check_rate("ada", RATE_PER_SECOND, BURST)

    def test_rate_holds_while_platform_is_down_and_host_is_killed(self):
        self.start(
            {"ada": (RATE_PER_SECOND, BURST), "ben": (RATE_PER_SECOND, BURST)}
        )

        def inject_faults():
            self.running.control(outage=True)
            time.sleep(LOAD_SECONDS / 2)
            self.running.hosts[self.names[4]].kill()

        self.send_overload(self.round_robin, inject_faults)
        results = self.send_overload(self.round_robin)
        self.check_rate("ada", RATE_PER_SECOND, BURST)
        self.assertGreater(sum(each.status == 200 for each in results), 0)

    def test_rate_holds_for_small_bursts_with_nine_hosts(self):
        accounts = {"ada": (5.0, 1), "ben": (5.0, 2), "cid": (5.0, 5)}
        self.start(accounts)
        streams = [
            _load.Stream(name, 5 * rate, self.round_robin)
            for name, (rate, _) in accounts.items()
        ]
        _load.run(self.running, streams, LOAD_SECONDS)
        for name, (rate, burst) in accounts.items():
            count = self.check_rate(name, rate, burst)
            self.assertGreater(count, LOAD_SECONDS * rate * 0.5)


class WorstExcessTest(unittest.TestCase):
    """The calculation of the largest excess over a rate limit."""

    def test_finds_the_worst_window(self):
        self.assertLessEqual(_load.worst_excess([0, 1, 2], 1.0, 1), 0)
        self.assertEqual(_load.worst_excess([0, 5, 5, 5], 1.0, 1), 2)

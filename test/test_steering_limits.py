"""Tests of the limits that all hosts share, with a manual clock.

Patterns: token buckets with shares by demand, retry budget, slow start.
"""

import random
import unittest

from gooseberryweir import clock as clocks
from gooseberryweir.process.fleet import fleet_demand
from gooseberryweir.request.steering import limits

RATE_PER_SECOND, BURST_REQUESTS = 200.0, 200.0
# Required bound on the requests of a client account in any window: rate x
# window + burst, plus a tenth of that, plus 20 requests.
WINDOW_SECONDS, OVERAGE_FACTOR, MARGIN_REQUESTS = 5.0, 1.1, 20


class Fleet:
    """Hosts that tell each other the rates of their requests every 0.5 s."""

    def __init__(self, host_count):
        self.clock = clocks.ManualClock()
        self.now = self.clock.interface().monotonic
        self.meters = [limits.RateMeter(self.now) for _ in range(host_count)]
        self.announced_rates = [{} for _ in range(host_count)]
        self.limits = [self.account_limits(i) for i in range(host_count)]

    def account_limits(self, index):
        return limits.AccountLimits(
            lambda account: (
                fleet_demand.Demand(
                    self.meters[index].announced.get(account, 0.0), 1
                ),
                fleet_demand.Demand(
                    sum(
                        rates.get(account, 0.0)
                        for peer_index, rates in enumerate(self.announced_rates)
                        if peer_index != index
                    ),
                    len(self.meters) - 1,
                ),
            ),
            self.now,
            limits.RateTolerance(
                OVERAGE_FACTOR - 1, MARGIN_REQUESTS, lambda: len(self.meters)
            ),
        )

    def announce_rates(self):
        for meter in self.meters:
            meter.announce()
        self.announced_rates = [meter.announced for meter in self.meters]

    def offer(self, seconds, rates, step=0.01, seed=1):
        """Offers requests to each host; returns the times of admitted ones."""
        rng = random.Random(seed)
        admitted = []
        next_exchange_at = self.now()
        end_at = self.now() + seconds
        while self.now() < end_at:
            if self.now() >= next_exchange_at:
                self.announce_rates()
                next_exchange_at += 0.5
            for index, rate in enumerate(rates(self.now())):
                for _ in range(int(rate * step + rng.random())):
                    self.meters[index].add("a")
                    if (
                        self.limits[index].take_token(
                            "a", RATE_PER_SECOND, BURST_REQUESTS
                        )
                        == 0.0
                    ):
                        admitted.append(self.now())
            self.clock.advance(step)
        return admitted


def max_in_window(times):
    maximum, oldest = 0, 0
    for index, time in enumerate(times):
        while times[oldest] < time - WINDOW_SECONDS:
            oldest += 1
        maximum = max(maximum, index - oldest + 1)
    return maximum


class AccountLimitsTest(unittest.TestCase):
    """Requests of a client account that nine hosts admit in total.

    The demand is above or within the rate, moves between hosts, or continues
    after a restart of all hosts.
    """

    max_requests = (
        RATE_PER_SECOND * WINDOW_SECONDS + BURST_REQUESTS
    ) * OVERAGE_FACTOR + MARGIN_REQUESTS

    def test_an_account_at_nine_times_its_rate_stays_within_the_limit(self):
        admitted = Fleet(9).offer(20, lambda _: [RATE_PER_SECOND] * 9)
        self.assertLessEqual(max_in_window(admitted), self.max_requests)
        self.assertGreater(len(admitted), RATE_PER_SECOND * 20 * 0.95)

    def test_demand_that_moves_between_hosts_stays_within_the_limit(self):
        def rates(now):
            busy_group = int(now / 3) % 3
            return [
                RATE_PER_SECOND if i // 3 == busy_group else 5.0
                for i in range(9)
            ]

        admitted = Fleet(9).offer(30, rates)
        self.assertLessEqual(max_in_window(admitted), self.max_requests)

    def test_an_account_within_its_rate_at_one_host_is_served(self):
        fleet = Fleet(9)
        fleet.offer(3, lambda _: [RATE_PER_SECOND * 0.8] + [0.0] * 8)
        before = fleet.now()
        admitted = fleet.offer(
            10, lambda _: [RATE_PER_SECOND * 0.8] + [0.0] * 8, seed=2
        )
        self.assertGreater(fleet.now(), before)
        self.assertGreater(len(admitted), RATE_PER_SECOND * 0.8 * 10 * 0.97)

    def test_a_restart_of_all_hosts_stays_within_the_limit(self):
        fleet = Fleet(9)
        admitted = fleet.offer(10, lambda _: [RATE_PER_SECOND] * 9)
        # The start of a process takes longer than this.
        fleet.clock.advance(limits.INITIAL_FILL_SECONDS)
        restarted = Fleet(9)
        restarted.clock.now = fleet.clock.now
        admitted += restarted.offer(10, lambda _: [RATE_PER_SECOND] * 9)
        self.assertLessEqual(max_in_window(admitted), self.max_requests)

    def test_the_first_start_of_the_system_allows_one_full_burst(self):
        fleet = Fleet(9)
        for each in fleet.limits:
            each.first_start = True
        admitted = fleet.offer(5, lambda _: [RATE_PER_SECOND] * 9)
        self.assertLessEqual(len(admitted), self.max_requests)
        self.assertGreater(
            len(admitted), RATE_PER_SECOND * 5 + 0.9 * BURST_REQUESTS
        )

    def test_a_rate_of_zero_is_unlimited(self):
        fleet = Fleet(1)
        taken = {fleet.limits[0].take_token("a", 0, 0) for _ in range(1000)}
        self.assertEqual(taken, {0.0})


class RetryBudgetTest(unittest.TestCase):
    """Retries of a service that nine hosts allow in any 10 s."""

    def test_nine_hosts_stay_within_the_limit(self):
        clock = clocks.ManualClock()
        now = clock.interface().monotonic
        budgets = [
            limits.RetryBudget(10.0, 0.2, 58.0, lambda: 9, now)
            for _ in range(9)
        ]
        requests, retries = [], []
        for _ in range(3000):
            clock.advance(0.01)
            for budget in budgets:
                budget.record_request("s")
                requests.append(now())
                if budget.try_acquire("s"):
                    retries.append(now())
        for end in range(1000, 1031, 5):
            in_window = [time for time in retries if end - 10 < time <= end]
            requests_in_window = [
                time for time in requests if end - 10 < time <= end
            ]
            self.assertLessEqual(
                len(in_window), 0.2 * len(requests_in_window) + 58
            )

    def test_without_recorded_requests_only_the_margin_is_allowed(self):
        now = clocks.ManualClock().interface().monotonic
        budget = limits.RetryBudget(10.0, 0.2, 58.0, lambda: 9, now)
        taken = sum(budget.try_acquire("s") for _ in range(100))
        self.assertLessEqual(taken * 9, 58)


class ColdUpstreamLimitTest(unittest.TestCase):
    """Requests that 1, 9 or 64 hosts send to a cold upstream in any second.

    The cache of a cold upstream is not filled yet.
    """

    def check_rate_limit(self, host_count, rate, factor, margin):
        clock = clocks.ManualClock()
        now = clock.interface().monotonic
        names = [f"host-{i}" for i in range(host_count)]
        fleet = [
            limits.ColdUpstreamLimit(name, lambda: names, factor, margin, now)
            for name in names
        ]
        sent = []
        for _ in range(300):
            clock.advance(0.01)
            for host in fleet:
                while host.has_capacity("u", rate):
                    host.record_request("u")
                    sent.append(now())
        max_requests = rate * factor + margin
        for start in sent:
            in_window = [time for time in sent if start <= time < start + 1.0]
            self.assertLessEqual(len(in_window), max_requests)
        self.assertGreater(len(sent), 0)

    def test_nine_hosts_stay_within_the_limit(self):
        self.check_rate_limit(9, 11.0, 1.5, 5.0)

    def test_more_hosts_than_allowed_requests_stay_within_the_limit(self):
        self.check_rate_limit(64, 11.0, 1.5, 8.0)

    def test_one_host_stays_within_the_limit(self):
        self.check_rate_limit(1, 11.0, 1.5, 5.0)


if __name__ == "__main__":
    unittest.main()

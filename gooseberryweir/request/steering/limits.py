"""Limits that all hosts share: rates, retries and requests to cold upstreams.

No host asks another one before it admits a request. Each host computes its
share of a rate from the demand (recent requests per second) that all hosts send
in their heartbeats. At any moment the shares add up to the limit. The excess
that is admitted while shares change stays within the margin that the configured
bounds allow. A cold upstream has started recently, and its cache is not filled.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import NamedTuple

from gooseberryweir import rendezvous
from gooseberryweir.process.fleet import fleet_demand

# Time constant of the decaying average of requests per second.
DEMAND_DECAY_SECONDS = 1.0
# Typical age of what a host knows of the demand at hosts of other regions.
DEMAND_DELAY_SECONDS = 0.75
# Least demand assumed at each host, as a fraction of a client account's rate,
# so that a host without earlier requests of the account admits some before its
# peers receive its new demand.
MIN_DEMAND_RATE_FRACTION = 0.01
# Least mean rate of a client account at each host, in requests per second, at
# which each host has a token bucket of its own for it.
MIN_HOST_RATE = 4.0
# Wait that is reported if no host takes tokens from this one.
UNKNOWN_SHARE_RETRY_SECONDS = 0.5
# Fraction of the allowed overage and margin (see `RateTolerance`) that buckets
# use; the rest covers the time in which shares move between hosts.
USED_RATE_TOLERANCE_FRACTION = 0.5
# A process that has just started has admitted nothing for at least this time,
# so each of its token buckets starts with the tokens added in this time.
INITIAL_FILL_SECONDS = 0.5
# Fraction of the allowed retries that is used; the rest covers requests at
# hosts that die, which no host counts.
RETRY_SAFETY_FACTOR = 0.75
# Window in which requests to a cold upstream are counted.
COLD_WINDOW_SECONDS = 1.0


class RateMeter:
    """Requests per second of each client account, as a decaying average.

    Peers receive the rates as of the last call of `announce`. This host
    computes its share from the same rates, so that the shares of all hosts add
    up to 1.

    Attributes:
        now: Returns the monotonic time in seconds.
        rates: Average and time of its last update, by client account.
        announced: Rates by client account as of the last `announce`.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.rates: dict[str, tuple[float, float]] = {}
        self.announced: dict[str, float] = {}

    def add(self, account: str) -> None:
        """Records one request."""
        self.rates[account] = (
            self.rate(account) + 1 / DEMAND_DECAY_SECONDS,
            self.now(),
        )

    def rate(self, account: str) -> float:
        """Returns the current requests per second of a client account."""
        rate, updated_at = self.rates.get(account, (0.0, 0.0))
        return rate * math.exp(
            -(self.now() - updated_at) / DEMAND_DECAY_SECONDS
        )

    def announce(self) -> None:
        """Updates the announced rates; call it before each heartbeat."""
        rates = {name: round(self.rate(name), 1) for name in self.rates}
        self.announced = {
            name: rate for name, rate in rates.items() if rate > 0
        }


class DelayedRates:
    """Rates by client account as they were some time ago.

    The demand of other hosts is known with a delay. A share computed from newer
    demand at this host would be too large while demand grows everywhere, and
    the shares of all hosts would add up to more than 1.

    Attributes:
        now: Returns the monotonic time in seconds.
        records: Rates and the time at which they were recorded, oldest first.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.records: collections.deque[tuple[float, Mapping[str, float]]]
        self.records = collections.deque()

    def record(self, rates: Mapping[str, float]) -> None:
        """Records the current rates; call it at regular intervals."""
        self.records.append((self.now(), rates))
        cutoff = self.now() - DEMAND_DELAY_SECONDS
        # The first record is the latest one that is old enough.
        while len(self.records) > 1 and self.records[1][0] <= cutoff:
            self.records.popleft()

    def rate(self, account: str) -> float:
        """Returns the rate of an account, 0 before the first record."""
        if not self.records:
            return 0.0
        return self.records[0][1].get(account, 0.0)


class RateTolerance(NamedTuple):
    """Excess over a client account's rate that the configured bounds allow.

    Attributes:
        overage: Allowed excess as a fraction of the rate.
        margin: Additional requests that all hosts together may admit.
        fleet_size: Returns the number of hosts that may be serving.
    """

    overage: float
    margin: float
    fleet_size: Callable[[], int]


class AccountLimits:
    """Token buckets for a share of each client account's rate.

    The share is the demand at the hosts that take tokens from these buckets
    divided by the demand at all hosts. Nobody knows which requests were
    admitted before this host started, so a bucket starts nearly empty, unless
    the whole system starts for the first time.

    Attributes:
        buckets: Tokens and time of their last update, by client account.
    """

    def __init__(
        self,
        demand: Callable[
            [str], tuple[fleet_demand.Demand, fleet_demand.Demand]
        ],
        now: Callable[[], float],
        tolerance: RateTolerance,
        first_start: bool = False,
    ) -> None:
        """Creates the limits without any bucket.

        Args:
            demand: Returns the demand for a client account at the hosts that
                take tokens from these buckets, and at all other hosts.
            now: Returns the monotonic time in seconds.
            tolerance: Excess that the configured bounds allow.
            first_start: True if the whole system starts for the first time, so
                that buckets start full.
        """
        self.demand = demand
        self.tolerance = tolerance
        self.first_start = first_start
        self.now = now
        self.buckets: dict[str, tuple[float, float]] = {}

    def share(self, account: str, rate: float) -> float:
        """Returns the share of an account's rate, from 0 to 1."""
        return _share(*self.demand(account), rate)

    def take_token(self, account: str, rate: float, burst: float) -> float:
        """Takes a token for a request if one is available.

        Args:
            account: Name of the client account.
            rate: Requests per second over all hosts; 0 for no limit.
            burst: Requests beyond the rate, over all hosts.

        Returns:
            0 if a token was taken or there is no limit, else the seconds until
            a token is available.
        """
        if rate <= 0:
            return 0.0
        own, others = self.demand(account)
        share = _share(own, others, rate)
        if share <= 0:
            return UNKNOWN_SHARE_RETRY_SECONDS
        now = self.now()
        rate *= 1 + USED_RATE_TOLERANCE_FRACTION * self.tolerance.overage
        extra_tokens = (
            USED_RATE_TOLERANCE_FRACTION
            * self.tolerance.margin
            * own.hosts
            / self.tolerance.fleet_size()
        )
        capacity = max(1.0, burst * share + extra_tokens)
        initial_tokens = (
            capacity
            if self.first_start
            else INITIAL_FILL_SECONDS * rate * share
        )
        tokens, updated_at = self.buckets.get(account, (initial_tokens, now))
        tokens = min(capacity, tokens + (now - updated_at) * rate * share)
        if tokens < 1.0:
            self.buckets[account] = (tokens, now)
            return (1.0 - tokens) / (rate * share)
        self.buckets[account] = (tokens - 1.0, now)
        return 0.0


def _share(
    own: fleet_demand.Demand, others: fleet_demand.Demand, rate: float
) -> float:
    """Returns the share of a rate that is due to a part of the demand."""
    min_demand = MIN_DEMAND_RATE_FRACTION * rate
    own_rate = own.rate + own.hosts * min_demand
    total_rate = own_rate + others.rate + others.hosts * min_demand
    return own_rate / total_rate if total_rate > 0 else 0.0


def is_pooled(rate: float, fleet_size: int) -> bool:
    """Returns True if an account's tokens are held by relays.

    If a host's mean share of the rate is small, few of its requests would find
    a whole token in a bucket of its own.

    Args:
        rate: Requests per second of the account, over all hosts.
        fleet_size: Number of hosts.
    """
    return 0 < rate < MIN_HOST_RATE * fleet_size


class SlidingWindowCounter:
    """Counts events by name in a sliding time window."""

    def __init__(self, window_seconds: float, now: Callable[[], float]) -> None:
        """Creates a counter without any event.

        Args:
            window_seconds: Length of the window.
            now: Returns the monotonic time in seconds.
        """
        self.window_seconds = window_seconds
        self.now = now
        self.event_times: dict[str, collections.deque[float]] = {}

    def add(self, name: str) -> None:
        """Records one event."""
        self.event_times.setdefault(name, collections.deque()).append(
            self.now()
        )

    def count(self, name: str) -> int:
        """Returns the number of events in the window that ends now."""
        times = self.event_times.get(name)
        if not times:
            return 0
        window_start = self.now() - self.window_seconds
        while times and times[0] <= window_start:
            times.popleft()
        return len(times)

    def remove(self, names: Iterable[str]) -> None:
        """Removes the counts of the given names."""
        for name in names:
            self.event_times.pop(name, None)


class RetryBudget:
    """This host's share of the retries allowed for each service.

    Attributes:
        requests: Counter of callers' requests by service.
        retries: Counter of retries by service.
        ratio: Retries allowed per request at this host.
        margin: Additional retries allowed in a window, over all hosts.
        fleet_size: Returns the number of hosts that may be serving.
    """

    def __init__(
        self,
        window_seconds: float,
        ratio: float,
        margin: float,
        fleet_size: Callable[[], int],
        now: Callable[[], float],
    ) -> None:
        self.ratio = ratio
        self.margin = margin
        self.fleet_size = fleet_size
        self.requests = SlidingWindowCounter(window_seconds, now)
        self.retries = SlidingWindowCounter(window_seconds, now)

    def record_request(self, service: str) -> None:
        """Records a caller's request."""
        self.requests.add(service)

    def try_acquire(self, service: str) -> bool:
        """Returns True and records a retry if the budget allows one."""
        allowed = RETRY_SAFETY_FACTOR * (
            self.ratio * self.requests.count(service)
            + self.margin / self.fleet_size()
        )
        if self.retries.count(service) + 1 > allowed:
            return False
        self.retries.add(service)
        return True


class ColdUpstreamLimit:
    """This host's share of the request rate to each cold upstream.

    A cold upstream tolerates a limited rate of requests. Rendezvous hashing
    selects the hosts that may send to it. Each of them may send a whole number
    of requests in any second; the other hosts may send none.
    """

    def __init__(
        self,
        host: str,
        hosts: Callable[[], Iterable[str]],
        factor: float,
        margin: float,
        now: Callable[[], float],
    ) -> None:
        """Creates the limit without any request counted.

        Args:
            host: Name of this host.
            hosts: Returns the names of all hosts.
            factor: Multiple of the declared cold rate that is allowed.
            margin: Additional requests per second that are allowed.
            now: Returns the monotonic time in seconds.
        """
        self.host = host
        self.hosts = hosts
        self.factor = factor
        self.margin = margin
        self.sent = SlidingWindowCounter(COLD_WINDOW_SECONDS, now)

    def share(self, upstream: str, cold_rate: float) -> int:
        """Returns the requests per second that this host may send.

        Args:
            upstream: Name of the upstream.
            cold_rate: Declared requests per second to a cold upstream.
        """
        limit = int(cold_rate * self.factor + self.margin)
        host_names = set(self.hosts()) | {self.host}
        permitted_hosts = rendezvous.order(upstream, host_names)[:limit]
        if self.host not in permitted_hosts:
            return 0
        return limit // len(permitted_hosts)

    def has_capacity(self, upstream: str, cold_rate: float) -> bool:
        """Returns True if this host may send one more request now."""
        return self.sent.count(upstream) < self.share(upstream, cold_rate)

    def record_request(self, upstream: str) -> None:
        """Records a request sent to a cold upstream."""
        self.sent.add(upstream)

    def remove(self, names: Iterable[str]) -> None:
        """Removes the counts of upstreams that no longer exist."""
        self.sent.remove(names)

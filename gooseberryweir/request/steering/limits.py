"""Limits that hold for all hosts together, kept without asking anybody.

Each host takes a part of a limit that it works out from what all hosts tell
each other in their beats. The parts of one moment add up to the limit; what a
change of the parts lets through besides stays within the margin that the
users' bounds leave.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import NamedTuple

from gooseberryweir import rendezvous

# Weight of a second's worth of requests in the average that is told to others.
DEMAND_DECAY_SECONDS = 1.0
# Part of a client account's rate that each host counts as its demand at least,
# so that a new caller is admitted before the others know of it.
MIN_DEMAND_FRACTION = 0.01
# Part of the users' overage and margin on a rate that is used; the rest covers
# the time in which parts move between hosts.
USED_TOLERANCE_FRACTION = 0.5
# Time, in seconds, in which a process that starts has certainly spent nothing:
# its bucket starts with as much.
INITIAL_FILL_SECONDS = 0.5
# Part of a service's requests that may be sent again; below the bound, since
# requests at hosts that die are counted by nobody.
RETRY_SAFETY_FACTOR = 0.75
# Span, in seconds, in which the requests at a cold upstream are counted.
COLD_WINDOW_SECONDS = 1.0


class RateMeter:
    """Requests per second of each client account, as an average that decays.

    What the other hosts are told changes only with `announce`, and this host
    works with the same figures, so that the parts of all hosts add up.

    Attributes:
        announced: What the other hosts are told.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.rates: dict[str, tuple[float, float]] = {}
        self.announced: dict[str, float] = {}

    def add(self, account: str) -> None:
        """Counts one request."""
        self.rates[account] = (
            self.rate(account) + 1 / DEMAND_DECAY_SECONDS,
            self.now(),
        )

    def rate(self, account: str) -> float:
        """Returns the requests per second of a client account."""
        rate, updated_at = self.rates.get(account, (0.0, 0.0))
        return rate * math.exp(
            -(self.now() - updated_at) / DEMAND_DECAY_SECONDS
        )

    def announce(self) -> None:
        """Renews what the other hosts are told; call it before each beat."""
        rates = {name: round(self.rate(name), 1) for name in self.rates}
        self.announced = {
            name: rate for name, rate in rates.items() if rate > 0
        }


class RateTolerance(NamedTuple):
    """What the users' bound on a rate leaves for inexact parts.

    Attributes:
        overage: Part of the rate.
        margin: Requests besides, for all hosts.
        fleet_size: Returns how many hosts there may be.
    """

    overage: float
    margin: float
    fleet_size: Callable[[], int]


class AccountLimits:
    """This host's part of the rate of each client account: token buckets.

    The part goes by this host's demand over that of all hosts. Nobody knows
    what was spent before the start, so a bucket begins nearly empty, unless
    the whole system starts for the first time.
    """

    def __init__(
        self,
        meter: RateMeter,
        peer_demands: Callable[[str], Iterable[float]],
        now: Callable[[], float],
        tolerance: RateTolerance,
        first_start: bool = False,
    ) -> None:
        self.meter = meter
        self.tolerance = tolerance
        self.first_start = first_start
        self.peer_demands = peer_demands
        self.now = now
        self.buckets: dict[str, tuple[float, float]] = {}

    def share(self, account: str, rate: float) -> float:
        """Returns this host's part of the limit of a client account."""
        min_demand = MIN_DEMAND_FRACTION * rate
        own_demand = self.meter.announced.get(account, 0.0) + min_demand
        total_peer_demand = sum(
            demand + min_demand for demand in self.peer_demands(account)
        )
        return own_demand / (own_demand + total_peer_demand)

    def take_token(self, account: str, rate: float, burst: float) -> float:
        """Takes a token; returns 0, or the seconds until there is one.

        Args:
            account: Name of the client account.
            rate: Requests per second over all hosts; 0 for no limit.
            burst: Requests beyond the rate.
        """
        self.meter.add(account)
        if rate <= 0:
            return 0.0
        share = self.share(account, rate)
        now = self.now()
        rate *= 1 + USED_TOLERANCE_FRACTION * self.tolerance.overage
        extra_tokens = (
            USED_TOLERANCE_FRACTION
            * self.tolerance.margin
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


class SlidingWindowCounter:
    """Counts what happened in a window that slides, by name."""

    def __init__(self, window_seconds: float, now: Callable[[], float]) -> None:
        """Starts at zero.

        Args:
            window_seconds: Length of the window.
            now: Reads the clock.
        """
        self.window_seconds = window_seconds
        self.now = now
        self.event_times: dict[str, collections.deque[float]] = {}

    def add(self, name: str) -> None:
        """Counts one event."""
        self.event_times.setdefault(name, collections.deque()).append(
            self.now()
        )

    def count(self, name: str) -> int:
        """Returns the events in the window that ends now."""
        times = self.event_times.get(name)
        if not times:
            return 0
        window_start = self.now() - self.window_seconds
        while times and times[0] <= window_start:
            times.popleft()
        return len(times)

    def forget(self, names: Iterable[str]) -> None:
        """Drops the counts of some names."""
        for name in names:
            self.event_times.pop(name, None)


class RetryBudget:
    """This host's part of the repeats of each service.

    Attributes:
        requests: Requests of callers, by service.
        repeats: Those that were sent again, by service.
        ratio: Repeats allowed for each request of this host.
        margin: Repeats allowed besides in a window, for all hosts.
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
        """Counts a caller's request."""
        self.requests.add(service)

    def try_acquire(self, service: str) -> bool:
        """Counts a repeat if the budget allows it; returns whether it does."""
        allowed = RETRY_SAFETY_FACTOR * (
            self.ratio * self.requests.count(service)
            + self.margin / self.fleet_size()
        )
        if self.retries.count(service) + 1 > allowed:
            return False
        self.retries.add(service)
        return True


class ColdUpstreamLimit:
    """This host's part of the requests to each cold upstream.

    Some hosts, by rendezvous hashing, may each send a whole number of requests
    in any second; the others send none.
    """

    def __init__(
        self,
        host: str,
        hosts: Callable[[], Iterable[str]],
        factor: float,
        margin: float,
        now: Callable[[], float],
    ) -> None:
        self.host = host
        self.hosts = hosts
        self.factor = factor
        self.margin = margin
        self.sent = SlidingWindowCounter(COLD_WINDOW_SECONDS, now)

    def share(self, upstream: str, cold_rate: float) -> int:
        """Returns the requests that this host may send in a second."""
        limit = int(cold_rate * self.factor + self.margin)
        host_names = set(self.hosts()) | {self.host}
        permitted_hosts = rendezvous.order(upstream, host_names)[:limit]
        if self.host not in permitted_hosts:
            return 0
        return limit // len(permitted_hosts)

    def has_capacity(self, upstream: str, cold_rate: float) -> bool:
        """Whether this host may send one more request now."""
        return self.sent.count(upstream) < self.share(upstream, cold_rate)

    def record_request(self, upstream: str) -> None:
        """Counts a request to a cold upstream."""
        self.sent.add(upstream)

    def forget(self, names: Iterable[str]) -> None:
        """Drops the counts of upstreams that are gone."""
        self.sent.forget(names)

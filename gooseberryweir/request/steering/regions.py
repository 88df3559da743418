"""Computes how requests are distributed over regions, and limits shifts.

The distribution assumes that all slots (places of one running request each at
the upstreams) are busy. Requests stay in the caller's region as far as its
upstreams have enough slots; the rest goes to other regions in proportion to
their spare slots (water filling). The demand of a region is not measured but
assumed to be proportional to its number of availability zones. So the requests
for an object stay at their upstream while traffic varies, and after a restart,
before any demand could be measured.

Slots for the requests of client accounts that may run in some regions only are
reserved first, according to the accounts' declared rates; other requests get
the remaining slots.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

# The platform's requirements compare the distribution of requests in windows of
# this length. This host counts requests in shorter time buckets, which together
# form the windows.
WINDOW_SECONDS = 2.0
BUCKET_SECONDS = 0.25
# A region's fraction of the requests may grow by at most this much from one
# window to the next. Some more requests are allowed, since small counts vary
# randomly.
MAX_SHIFT_FRACTION = 0.07
SHIFT_EXTRA_REQUESTS = 3
# The limit on this growth applies only if the previous window has at least this
# many requests.
MIN_WINDOW_REQUESTS = 20
# Least fraction of a region's requests that stays in the region, so that the
# weights of other regions remain finite.
MIN_LOCAL_REQUEST_FRACTION = 0.02
# Least fraction of a region's slots that counts as spare, even if it is full.
MIN_SPARE_SLOT_FRACTION = 0.01
# Least fraction of a region's slots that is kept for unrestricted requests.
MIN_UNRESERVED_SLOT_FRACTION = 0.05
# Least weight of a region, since an upstream without weight can't be ranked.
MIN_REGION_WEIGHT = 1e-6


class RegionLoad(NamedTuple):
    """Demand and capacity of one region for a service.

    Attributes:
        demand: Slots used by requests from the region that may run in any
            region.
        slots: Slots of the upstreams in the region that take new requests.
        unreserved_slots: Slots that are not reserved for requests restricted to
            the region.
    """

    demand: float
    slots: float
    unreserved_slots: float


def restricted_fractions(
    accounts: Iterable[tuple[float, frozenset[str]]],
    slots: Mapping[str, float],
) -> dict[str, float]:
    """Returns the fraction of all requests restricted to each region.

    Requests restricted to several regions are split between these in proportion
    to their slots. Accounts without a declared rate reserve nothing.

    Args:
        accounts: Rate of each client account, and the regions in which it may
            run; empty for all.
        slots: Slots of the upstreams in each region.
    """
    total = 0.0
    restricted: dict[str, float] = {}
    for rate, allowed in accounts:
        total += rate
        allowed_slots = sum(slots.get(region, 0.0) for region in allowed)
        for region in allowed if allowed_slots > 0 else ():
            region_rate = rate * slots.get(region, 0.0) / allowed_slots
            restricted[region] = restricted.get(region, 0.0) + region_rate
    return {
        region: rate / total for region, rate in restricted.items() if total
    }


def region_loads(
    slots: Mapping[str, float],
    zone_counts: Mapping[str, int],
    restricted: Mapping[str, float],
) -> dict[str, RegionLoad]:
    """Returns demand and capacity of each region when all slots are busy.

    Args:
        slots: Slots of the upstreams in each region.
        zone_counts: Number of availability zones in each region.
        restricted: Fraction of all requests that is restricted to each region.
    """
    total_slots = sum(slots.values())
    total_zones = sum(zone_counts.values())
    unrestricted_slots = total_slots * (1 - sum(restricted.values()))
    loads = {}
    for region, zone_count in zone_counts.items():
        own_slots = slots.get(region, 0.0)
        reserved_slots = total_slots * restricted.get(region, 0.0)
        loads[region] = RegionLoad(
            unrestricted_slots * zone_count / total_zones,
            own_slots,
            max(
                MIN_UNRESERVED_SLOT_FRACTION * own_slots,
                own_slots - reserved_slots,
            ),
        )
    return loads


def local_fraction(region: str, loads: Mapping[str, RegionLoad]) -> float:
    """Returns the fraction of a region's requests that stays in the region."""
    load = loads.get(region)
    if load is None or load.demand <= 0:
        return 1.0
    return max(
        MIN_LOCAL_REQUEST_FRACTION,
        min(1.0, load.unreserved_slots / load.demand),
    )


def region_weights(
    region: str, loads: Mapping[str, RegionLoad]
) -> dict[str, float]:
    """Returns the weights of regions when upstreams are chosen.

    The share of the objects that an upstream gets is proportional to its slots
    times the weight of its region.

    Args:
        region: Region of the callers.
        loads: Demand and capacity of each region.
    """
    spare_by_region = {
        name: max(
            MIN_SPARE_SLOT_FRACTION * each.slots,
            each.unreserved_slots - each.demand,
        )
        for name, each in loads.items()
        if name != region and each.slots > 0
    }
    load = loads.get(region)
    if load is None or load.slots <= 0 or not spare_by_region:
        return dict.fromkeys(loads, 1.0)
    local = local_fraction(region, loads)
    remote_scale = (
        (1 - local) / local * load.slots / sum(spare_by_region.values())
    )
    weights = {
        name: max(
            MIN_REGION_WEIGHT, remote_scale * spare_slots / loads[name].slots
        )
        for name, spare_slots in spare_by_region.items()
    }
    return {region: 1.0, **weights}


class RegionShiftLimiter:
    """Limits the increase of a region's fraction of requests per window.

    Attributes:
        now: Returns the monotonic time in seconds.
        buckets: Number of each time bucket and its requests by region, oldest
            first.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.buckets: collections.deque[tuple[int, collections.Counter[str]]]
        self.buckets = collections.deque()

    def _window_counts(self) -> tuple[collections.Counter[str], ...]:
        """Returns requests by region in the previous and the current window."""
        window_buckets = int(WINDOW_SECONDS / BUCKET_SECONDS)
        current_bucket = int(self.now() / BUCKET_SECONDS)
        while (
            self.buckets
            and self.buckets[0][0] <= current_bucket - 2 * window_buckets
        ):
            self.buckets.popleft()
        previous: collections.Counter[str] = collections.Counter()
        recent: collections.Counter[str] = collections.Counter()
        for bucket, counts in self.buckets:
            (
                previous
                if bucket <= current_bucket - window_buckets
                else recent
            ).update(counts)
        return previous, recent

    def allowed_regions(self, regions: set[str]) -> set[str]:
        """Returns those of the given regions that may get another request."""
        previous, recent = self._window_counts()
        previous_total, recent_total = previous.total(), recent.total()
        if previous_total < MIN_WINDOW_REQUESTS:
            return regions
        expected_total = max(previous_total, recent_total + 1)
        return {
            region
            for region in regions
            if recent[region] + 1
            <= (previous[region] / previous_total + MAX_SHIFT_FRACTION)
            * expected_total
            + SHIFT_EXTRA_REQUESTS
        }

    def record(self, region: str) -> None:
        """Records a request that is sent to an upstream in a region."""
        current_bucket = int(self.now() / BUCKET_SECONDS)
        if not self.buckets or self.buckets[-1][0] != current_bucket:
            self.buckets.append((current_bucket, collections.Counter()))
        self.buckets[-1][1][region] += 1

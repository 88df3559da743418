"""How much of a region's work runs in other regions, and how fast that moves.

Work stays in the caller's region as far as its upstreams have room for it when
all of them are busy; the rest goes to the regions that have room to spare, in
proportion (water filling). Demand is taken to go with the availability zones,
not with what is measured: so objects keep their homes while traffic comes and
goes and after a restart, when nobody knows the demand.

Client accounts that may run in few regions only have their part of these set
aside first, by their declared rates; other work makes room for them there.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

# Span over which the users compare where work runs, and the parts of it in
# which this host counts.
WINDOW_SECONDS = 2.0
BUCKET_SECONDS = 0.25
# Part of the requests that single choices may move between two windows, and a
# number of them besides, since small counts vary by chance.
MAX_SHIFT_FRACTION = 0.07
SHIFT_EXTRA_REQUESTS = 3
# Requests in the earlier window from which the bound is kept.
MIN_WINDOW_REQUESTS = 20
# Part that stays at least, so that the weights of others remain finite.
MIN_LOCAL_FRACTION = 0.02
# Part of its slots that a full region still counts as spare.
MIN_SPARE_FRACTION = 0.01
# Part of its slots that a region keeps for work that may run anywhere.
MIN_UNRESERVED_FRACTION = 0.05
# An upstream without any weight could not be ranked.
MIN_WEIGHT = 1e-6


class RegionLoad(NamedTuple):
    """The work and the room of one region for a service.

    Attributes:
        demand: Slots that its callers keep busy with work that may run in
            any region.
        slots: Slots of its upstreams that may be used.
        free: Slots that are not set aside for work bound to the region.
    """

    demand: float
    slots: float
    unreserved_slots: float


def restricted_fractions(
    accounts: Iterable[tuple[float, frozenset[str]]],
    slots: Mapping[str, float],
) -> dict[str, float]:
    """Returns the part of all work that is bound to each region.

    Work bound to several regions is split by their slots. Accounts without a
    declared rate say nothing of their part.

    Args:
        accounts: Rate of each client account and the regions in which it may
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
    """Returns the work and the room of each region when all slots are busy.

    Args:
        slots: Slots of the upstreams in each region.
        zone_counts: Availability zones in each region.
        restricted: Part of all work that is bound to each region.
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
                MIN_UNRESERVED_FRACTION * own_slots, own_slots - reserved_slots
            ),
        )
    return loads


def local_fraction(region: str, loads: Mapping[str, RegionLoad]) -> float:
    """Returns the part of a region's work that its own upstreams take."""
    load = loads.get(region)
    if load is None or load.demand <= 0:
        return 1.0
    return max(
        MIN_LOCAL_FRACTION, min(1.0, load.unreserved_slots / load.demand)
    )


def region_weights(
    region: str, loads: Mapping[str, RegionLoad]
) -> dict[str, float]:
    """Returns the weight of a slot in each region, for callers of one.

    Args:
        region: Region of the callers.
        loads: Work and room of each region.
    """
    spare_by_region = {
        name: max(
            MIN_SPARE_FRACTION * each.slots, each.unreserved_slots - each.demand
        )
        for name, each in loads.items()
        if name != region and each.slots > 0
    }
    load = loads.get(region)
    if load is None or load.slots <= 0 or not spare_by_region:
        return dict.fromkeys(loads, 1.0)
    local = local_fraction(region, loads)
    remote_weight = (
        (1 - local) / local * load.slots / sum(spare_by_region.values())
    )
    weights = {
        name: max(MIN_WEIGHT, remote_weight * spare_slots / loads[name].slots)
        for name, spare_slots in spare_by_region.items()
    }
    return {region: 1.0, **weights}


class RegionShiftLimiter:
    """Bounds what changes its region from one window to the next."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.buckets: collections.deque[tuple[int, collections.Counter[str]]]
        self.buckets = collections.deque()

    def _window_counts(self) -> tuple[collections.Counter[str], ...]:
        """Returns the counts of the earlier and of the current window."""
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
        """Returns the regions that one more request may run in."""
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
        """Counts a request that runs in a region."""
        current_bucket = int(self.now() / BUCKET_SECONDS)
        if not self.buckets or self.buckets[-1][0] != current_bucket:
            self.buckets.append((current_bucket, collections.Counter()))
        self.buckets[-1][1][region] += 1

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
SHIFT_PART = 0.07
SHIFT_REQUESTS = 3
# Requests in the earlier window from which the bound is kept.
LEAST_REQUESTS = 20
# Part that stays at least, so that the weights of others remain finite.
LEAST_STAY = 0.02
# Part of its slots that a full region still counts as spare.
LEAST_SPARE = 0.01
# Part of its slots that a region keeps for work that may run anywhere.
LEAST_FREE = 0.05
# An upstream without any weight could not be ranked.
LEAST_WEIGHT = 1e-6


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
    free: float


def bound_parts(
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
    bound: dict[str, float] = {}
    for rate, allowed in accounts:
        total += rate
        room = sum(slots.get(region, 0.0) for region in allowed)
        for region in allowed if room > 0 else ():
            part = rate * slots.get(region, 0.0) / room
            bound[region] = bound.get(region, 0.0) + part
    return {region: rate / total for region, rate in bound.items() if total}


def region_loads(
    slots: Mapping[str, float],
    zones: Mapping[str, int],
    bound: Mapping[str, float],
) -> dict[str, RegionLoad]:
    """Returns the work and the room of each region when all slots are busy.

    Args:
        slots: Slots of the upstreams in each region.
        zones: Availability zones in each region.
        bound: Part of all work that is bound to each region.
    """
    total_slots = sum(slots.values())
    total_zones = sum(zones.values())
    anywhere = total_slots * (1 - sum(bound.values()))
    loads = {}
    for region, count in zones.items():
        own = slots.get(region, 0.0)
        set_aside = total_slots * bound.get(region, 0.0)
        loads[region] = RegionLoad(
            anywhere * count / total_zones,
            own,
            max(LEAST_FREE * own, own - set_aside),
        )
    return loads


def staying_part(region: str, loads: Mapping[str, RegionLoad]) -> float:
    """Returns the part of a region's work that its own upstreams take."""
    own = loads.get(region)
    if own is None or own.demand <= 0:
        return 1.0
    return max(LEAST_STAY, min(1.0, own.free / own.demand))


def region_weights(
    region: str, loads: Mapping[str, RegionLoad]
) -> dict[str, float]:
    """Returns the weight of a slot in each region, for callers of one.

    Args:
        region: Region of the callers.
        loads: Work and room of each region.
    """
    spare = {
        name: max(LEAST_SPARE * each.slots, each.free - each.demand)
        for name, each in loads.items()
        if name != region and each.slots > 0
    }
    own = loads.get(region)
    if own is None or own.slots <= 0 or not spare:
        return dict.fromkeys(loads, 1.0)
    stay = staying_part(region, loads)
    elsewhere = (1 - stay) / stay * own.slots / sum(spare.values())
    weights = {
        name: max(LEAST_WEIGHT, elsewhere * room / loads[name].slots)
        for name, room in spare.items()
    }
    return {region: 1.0, **weights}


class ShiftBound:
    """Bounds what changes its region from one window to the next."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.buckets: collections.deque[tuple[int, collections.Counter[str]]]
        self.buckets = collections.deque()

    def _windows(self) -> tuple[collections.Counter[str], ...]:
        """Returns the counts of the earlier and of the current window."""
        span = int(WINDOW_SECONDS / BUCKET_SECONDS)
        current = int(self.now() / BUCKET_SECONDS)
        while self.buckets and self.buckets[0][0] <= current - 2 * span:
            self.buckets.popleft()
        earlier: collections.Counter[str] = collections.Counter()
        later: collections.Counter[str] = collections.Counter()
        for bucket, counts in self.buckets:
            (earlier if bucket <= current - span else later).update(counts)
        return earlier, later

    def allowed(self, regions: set[str]) -> set[str]:
        """Returns the regions that one more request may run in."""
        earlier, later = self._windows()
        before, now = earlier.total(), later.total()
        if before < LEAST_REQUESTS:
            return regions
        expected = max(before, now + 1)
        return {
            region
            for region in regions
            if later[region] + 1
            <= (earlier[region] / before + SHIFT_PART) * expected
            + SHIFT_REQUESTS
        }

    def add(self, region: str) -> None:
        """Counts a request that runs in a region."""
        current = int(self.now() / BUCKET_SECONDS)
        if not self.buckets or self.buckets[-1][0] != current:
            self.buckets.append((current, collections.Counter()))
        self.buckets[-1][1][region] += 1

"""How much of a region's work runs in other regions, and how fast that moves.

Work stays in the caller's region as far as its upstreams have room for it; the
rest goes to the regions that have room to spare, in proportion. All hosts work
it out from the same demand and slots (water filling), so that they need not
agree on anything.

The part that runs elsewhere moves in small steps, and what single requests may
add to it beyond that is bounded, so that no region's caches and links meet a
sudden shift.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

# Use of a region's slots up to which its work stays, while other regions are
# less used: beyond it waits for slots grow quickly.
COMFORTABLE_USE = 0.55
# How fast the part of the work that stays may move, per second; a fraction of
# the users' bound of 0.15 in 2 s.
STEP_PER_SECOND = 0.03
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


class RegionLoad(NamedTuple):
    """The work and the room of one region for a service.

    Attributes:
        demand: Slots that the requests of its callers keep busy.
        slots: Slots of its upstreams that may be used.
    """

    demand: float
    slots: float


def use_limit(loads: Mapping[str, RegionLoad]) -> float:
    """Returns the use of slots up to which work stays in its region."""
    demand = sum(each.demand for each in loads.values())
    slots = sum(each.slots for each in loads.values())
    return max(COMFORTABLE_USE, demand / slots if slots else 0.0)


def staying_part(region: str, loads: Mapping[str, RegionLoad]) -> float:
    """Returns the part of a region's work that its own upstreams take."""
    own = loads.get(region)
    if own is None or own.slots <= 0:
        return LEAST_STAY
    if own.demand <= 0:
        return 1.0
    return max(LEAST_STAY, min(1.0, own.slots * use_limit(loads) / own.demand))


def region_weights(
    region: str, loads: Mapping[str, RegionLoad], stay: float
) -> dict[str, float]:
    """Returns the weight of a slot in each region, for callers of one.

    Args:
        region: Region of the callers.
        loads: Work and room of each region.
        stay: Part of the work that stays.
    """
    limit = use_limit(loads)
    spare = {
        name: max(0.01 * each.slots, each.slots * limit - each.demand)
        for name, each in loads.items()
        if name != region and each.slots > 0
    }
    own = loads.get(region)
    if own is None or own.slots <= 0 or not spare:
        return {name: 1.0 for name in loads}
    elsewhere = (1 - stay) / stay * own.slots / sum(spare.values())
    weights = {
        name: elsewhere * room / loads[name].slots
        for name, room in spare.items()
    }
    # An upstream without any weight could not be ranked.
    return {region: 1.0, **{n: max(w, 1e-6) for n, w in weights.items()}}


class StayingParts:
    """The part of this region's work that stays, moved in small steps."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.parts: dict[str, tuple[float, float]] = {}

    def part(self, service: str, wanted: float) -> float:
        """Returns the part now, moved towards the wanted one."""
        now = self.now()
        old, at = self.parts.get(service, (wanted, now))
        step = STEP_PER_SECOND * (now - at)
        part = min(old + step, max(old - step, wanted))
        self.parts[service] = (part, now)
        return part


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

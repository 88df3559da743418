"""How many slots each upstream of a pool has for use now.

Leaving, drained and unhealthy upstreams have none. One that was listed or
became healthy while this process ran has few at first and gains the rest.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir.version import tables

COLD_RAMP_SECONDS = 10.0
COLD_SHARE = 0.25
REPORT_FRESH_SECONDS = 3.0
FOREIGN_SHARE = 0.5


class Report(NamedTuple):
    """What an upstream said of its load.

    Attributes:
        busy: Slots in use, by anybody.
        slots: Slots that it says it has.
        age: Seconds since before it was asked.
    """

    busy: int
    slots: int
    age: float


class Sources(NamedTuple):
    """Where the knowledge of upstreams comes from.

    Attributes:
        upstreams: Returns the listed upstreams of a service.
        drains: Returns names such as `upstream/u1` and `region/norte`.
        healthy: Whether an upstream is thought to be healthy.
        reported: Returns the newest load report of an upstream, or None.
    """

    upstreams: Callable[[str], Iterable[tables.UpstreamEntry]]
    drains: Callable[[], frozenset[str]]
    healthy: Callable[[str], bool]
    reported: Callable[[str], Report | None]


class Capacities:
    """Slots for use by upstream, with the cold ramp of this process."""

    def __init__(self, clock: clocks.Clock, sources: Sources) -> None:
        self.clock = clock
        self.sources = sources
        self.warm_since: dict[str, dict[str, float]] = {}

    def refresh(self, service: str) -> dict[str, float]:
        """Notes which upstreams are new or healthy again.

        Returns:
            The instant since which each healthy upstream gains its slots;
            minus infinity for those that were there at the start.
        """
        now = self.clock.monotonic()
        earlier = self.warm_since.get(service)
        since = -math.inf if not earlier else now
        listed = {
            upstream.name: (earlier or {}).get(upstream.name, since)
            for upstream in self.sources.upstreams(service)
            if self.sources.healthy(upstream.name)
        }
        if listed or earlier:
            self.warm_since[service] = listed
        return listed

    def entries(
        self, service: str, region: str
    ) -> dict[str, tables.UpstreamEntry]:
        """Returns the upstreams of a region that take new work."""
        drains = self.sources.drains()
        if f"region/{region}" in drains:
            return {}
        return {
            upstream.name: upstream
            for upstream in self.sources.upstreams(service)
            if upstream.region == region
            and not upstream.leaving
            and f"upstream/{upstream.name}" not in drains
            and self.sources.healthy(upstream.name)
        }

    def usable(self, service: str, region: str) -> dict[str, int]:
        """Returns the slots of each upstream that takes new work."""
        warm_since = self.refresh(service)
        now = self.clock.monotonic()
        return {
            name: ramp(entry.slots, now - warm_since[name])
            for name, entry in self.entries(service, region).items()
        }

    def foreign(self, upstream: str, slots: int, own_peak: int) -> int:
        """Returns slots to leave free for load that is not ours.

        A report can lower what is granted, never raise it; the older it is,
        the less it counts, and it takes at most half of the slots, so that
        reports that mislead cannot close a region.

        Args:
            upstream: Name of the upstream.
            slots: Its slots.
            own_peak: The most slots that we held there lately.
        """
        report = self.sources.reported(upstream)
        if report is None or report.age >= REPORT_FRESH_SECONDS:
            return 0
        others = max(0, report.busy - own_peak)
        missing = max(0, slots - report.slots)
        weight = 1.0 - max(0.0, report.age) / REPORT_FRESH_SECONDS
        return int(min((others + missing) * weight, slots * FOREIGN_SHARE))


def ramp(slots: int, age: float) -> int:
    """Returns the slots of an upstream that is cold for `age` seconds."""
    if slots <= 0:
        return 0
    share = COLD_SHARE + (1.0 - COLD_SHARE) * age / COLD_RAMP_SECONDS
    return max(1, int(slots * min(1.0, share)))

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
INITIAL_FRACTION = 0.25
MAX_REPORT_AGE_SECONDS = 3.0
MAX_OTHER_LOAD_FRACTION = 0.5


class LoadReport(NamedTuple):
    """What an upstream said of its load.

    Attributes:
        busy: Slots in use, by anybody.
        slots: Slots that it says it has.
        age: Seconds since before it was asked.
    """

    busy: int
    slots: int
    age: float


class UpstreamSources(NamedTuple):
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
    reported: Callable[[str], LoadReport | None]


class Capacities:
    """Slots for use by upstream, with the cold ramp of this process."""

    def __init__(self, clock: clocks.Clock, sources: UpstreamSources) -> None:
        self.clock = clock
        self.sources = sources
        self.ramp_started_at: dict[str, dict[str, float]] = {}

    def update_ramps(self, service: str) -> dict[str, float]:
        """Notes which upstreams are new or healthy again.

        Returns:
            The instant since which each healthy upstream gains its slots;
            minus infinity for those that were there at the start.
        """
        now = self.clock.monotonic()
        previous = self.ramp_started_at.get(service)
        default_start = -math.inf if not previous else now
        started_at = {
            upstream.name: (previous or {}).get(upstream.name, default_start)
            for upstream in self.sources.upstreams(service)
            if self.sources.healthy(upstream.name)
        }
        if started_at or previous:
            self.ramp_started_at[service] = started_at
        return started_at

    def available_upstreams(
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
        ramp_started_at = self.update_ramps(service)
        now = self.clock.monotonic()
        return {
            name: ramped_slots(entry.slots, now - ramp_started_at[name])
            for name, entry in self.available_upstreams(service, region).items()
        }

    def slots_for_other_clients(
        self, upstream: str, slots: int, recent_peak: int
    ) -> int:
        """Returns slots to leave free for load that is not ours.

        A report can lower what is granted, never raise it; the older it is,
        the less it counts, and it takes at most half of the slots, so that
        reports that mislead cannot close a region.

        Args:
            upstream: Name of the upstream.
            slots: Its slots.
            recent_peak: The most slots that we held there lately.
        """
        report = self.sources.reported(upstream)
        if report is None or report.age >= MAX_REPORT_AGE_SECONDS:
            return 0
        other_load = max(0, report.busy - recent_peak)
        missing_slots = max(0, slots - report.slots)
        weight = 1.0 - max(0.0, report.age) / MAX_REPORT_AGE_SECONDS
        return int(
            min(
                (other_load + missing_slots) * weight,
                slots * MAX_OTHER_LOAD_FRACTION,
            )
        )


def ramped_slots(slots: int, age: float) -> int:
    """Returns the slots of an upstream that is cold for `age` seconds."""
    if slots <= 0:
        return 0
    fraction = (
        INITIAL_FRACTION + (1.0 - INITIAL_FRACTION) * age / COLD_RAMP_SECONDS
    )
    return max(1, int(slots * min(1.0, fraction)))

"""Computes how many slots of each upstream may be used now.

Leaving, draining and unhealthy upstreams have none. An upstream that is newly
listed or becomes healthy while this process runs is cold: its cache may be
empty. It has few slots at first and gains the rest over `COLD_RAMP_SECONDS`,
its ramp.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir.version import tables

COLD_RAMP_SECONDS = 10.0
# Fraction of its slots that a cold upstream has at first.
INITIAL_COLD_SLOT_FRACTION = 0.25
# Load reports of this age or older are ignored.
MAX_REPORT_AGE_SECONDS = 3.0
# Largest fraction of the slots that load reports can leave to other clients.
MAX_OTHER_LOAD_FRACTION = 0.5


class LoadReport(NamedTuple):
    """Load that an upstream reported.

    Attributes:
        busy: Number of slots in use, by this fleet and by other clients.
        slots: Number of slots that the upstream reports to have.
        age: Seconds since the instant before the report was requested.
    """

    busy: int
    slots: int
    age: float


class UpstreamSources(NamedTuple):
    """Functions that describe the upstreams.

    Attributes:
        upstreams: Returns the listed upstreams of a service.
        drains: Returns the drained upstreams and regions, such as
            `upstream/u1` and `region/norte`.
        healthy: Returns True if an upstream is considered healthy.
        reported: Returns the latest load report of an upstream, or None.
    """

    upstreams: Callable[[str], Iterable[tables.UpstreamEntry]]
    drains: Callable[[], frozenset[str]]
    healthy: Callable[[str], bool]
    reported: Callable[[str], LoadReport | None]


class Capacities:
    """Tracks the usable slots of upstreams and their ramps.

    Attributes:
        clock: Source of time.
        sources: Functions that describe the upstreams.
        ramp_started_at: Monotonic instant at which the ramp of each healthy
            upstream began, by service and upstream name.
    """

    def __init__(self, clock: clocks.Clock, sources: UpstreamSources) -> None:
        self.clock = clock
        self.sources = sources
        self.ramp_started_at: dict[str, dict[str, float]] = {}

    def update_ramps(self, service: str) -> dict[str, float]:
        """Records which upstreams of a service are new or healthy again.

        Returns:
            Monotonic instant at which the ramp of each healthy upstream began.
            It is minus infinity (no ramp) for those found when the previous
            call found no healthy upstream of the service, or there was none.
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
        """Returns the upstreams of a region that accept new requests."""
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

    def usable_slots(self, service: str, region: str) -> dict[str, int]:
        """Returns the usable slots of each upstream that is available."""
        ramp_started_at = self.update_ramps(service)
        now = self.clock.monotonic()
        return {
            name: ramped_slots(entry.slots, now - ramp_started_at[name])
            for name, entry in self.available_upstreams(service, region).items()
        }

    def slots_for_other_clients(
        self, upstream: str, slots: int, recent_peak: int
    ) -> int:
        """Returns the slots of an upstream to leave free for other clients.

        A load report can only lower the number of slots that are granted. Its
        effect decreases with its age and is limited to half of the slots, so
        that misleading reports cannot stop all requests to a region.

        Args:
            upstream: Name of the upstream.
            slots: Number of its slots.
            recent_peak: Most of its slots that this fleet allocated at once
                recently.
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
    """Returns the number of usable slots of an upstream during its ramp.

    Args:
        slots: Number of its slots.
        age: Seconds since the ramp began.
    """
    if slots <= 0:
        return 0
    fraction = (
        INITIAL_COLD_SLOT_FRACTION
        + (1.0 - INITIAL_COLD_SLOT_FRACTION) * age / COLD_RAMP_SECONDS
    )
    return max(1, int(slots * min(1.0, fraction)))

"""Measures the round trips to upstreams, by availability zone.

Opening a connection takes one round trip. The least of these times is kept; it
rises slowly, so that a time spent waiting at a busy upstream does not count.
"""

from collections.abc import Mapping

# Round trips until a connection has been opened.
INITIAL_ZONE_SECONDS = 0.002
INITIAL_REGION_SECONDS = 0.05
# Weight of a sample above the estimate.
RISE_WEIGHT = 0.02


class RoundTrips:
    """Round trips from this host.

    Attributes:
        zone: Availability zone of this host.
        region_by_zone: Region of each availability zone.
        seconds: Measured round trips by availability zone.
    """

    def __init__(self, zone: str, region_by_zone: Mapping[str, str]) -> None:
        self.zone = zone
        self.region_by_zone = region_by_zone
        self.seconds: dict[str, float] = {}

    def record(self, zone: str, seconds: float) -> None:
        """Records the time in which a connection to an upstream was opened."""
        known = self.seconds.get(zone)
        if known is None or seconds < known:
            self.seconds[zone] = seconds
        else:
            self.seconds[zone] = known + RISE_WEIGHT * (seconds - known)

    def is_remote(self, zone: str) -> bool:
        """Returns True if a zone is in another region than this host."""
        return self.region_by_zone.get(zone) != self.region_by_zone.get(
            self.zone
        )

    def estimate(self, zone: str) -> float:
        """Returns the seconds to an upstream in a zone and back."""
        known = self.seconds.get(zone)
        if known is not None:
            return known
        if zone == self.zone:
            return 0.0
        return (
            INITIAL_REGION_SECONDS
            if self.is_remote(zone)
            else INITIAL_ZONE_SECONDS
        )

"""Knowledge that a host keeps when the store returns from an older copy.

The copy lacks the latest changes, until operators and upstreams have written
them again. It may list an upstream as ready that has left, and lack an
evacuation that is in force.
"""

from collections.abc import Iterable

from gooseberryweir import clock as clocks
from gooseberryweir.version import traffic

# Time after the return for which the copy may list an upstream that had left:
# the store removes the entry of an upstream that was silent for three of its
# heartbeats, which are 1.5 s apart.
COPY_ENTRY_SECONDS = 6.0
# Time after the return for which an evacuation stands that the copy lacks, so
# that operators can write it again.
EVACUATION_SECONDS = 30.0
# Time for which a host remembers upstreams that left; greater than the age of a
# copy.
GONE_MEMORY_SECONDS = 60.0


class StoreReturn:
    """Knowledge of the time before the last return of the store.

    Attributes:
        clock: Source of time.
        gone_at: Monotonic time, in seconds, at which an upstream left, by its
            incarnation.
        returned_at: Monotonic time, in seconds, at which the last return became
            known; negative infinity before the first one.
        left: Incarnations that had left or were draining before the return.
        zones: Evacuated availability zones from before the return that the
            store has not listed since.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.gone_at: dict[str, float] = {}
        self.returned_at = float("-inf")
        self.left: frozenset[str] = frozenset()
        self.zones: frozenset[str] = frozenset()

    def record_gone(self, incarnations: Iterable[str]) -> None:
        """Records upstreams that are no longer listed."""
        now = self.clock.monotonic()
        self.gone_at = {
            incarnation: at
            for incarnation, at in self.gone_at.items()
            if now - at < GONE_MEMORY_SECONDS
        }
        self.gone_at.update(dict.fromkeys(incarnations, now))

    def begin(
        self, upstreams: Iterable[traffic.Upstream], zones: frozenset[str]
    ) -> None:
        """Records a return of the store.

        Args:
            upstreams: Upstreams before the return.
            zones: Evacuated availability zones before the return.
        """
        self.record_gone(())
        listed = tuple(upstreams)
        used = {each.incarnation for each in listed if not each.draining}
        draining = {each.incarnation for each in listed if each.draining}
        self.left = (
            self.left | frozenset(self.gone_at) | draining
        ) - frozenset(used)
        self.zones = zones
        self.returned_at = self.clock.monotonic()

    def correct_upstreams(
        self, entries: tuple[traffic.Upstream, ...]
    ) -> tuple[traffic.Upstream, ...]:
        """Marks entries of upstreams that had left as draining."""
        if not self.left:
            return entries
        return tuple(
            each._replace(draining=True)
            if each.incarnation in self.left
            else each
            for each in entries
        )

    def add_zones(self, listed: frozenset[str]) -> frozenset[str]:
        """Returns the evacuated zones.

        An evacuation that the store lists again stands only as long as the
        store lists it.

        Args:
            listed: Evacuated zones that the store lists.
        """
        self.zones -= listed
        return listed | self.zones

    def expire_upstreams(self) -> bool:
        """Forgets upstreams that had left, once the copy's entries expired.

        Returns:
            True if there were any.
        """
        if not self.left or self._seconds() < COPY_ENTRY_SECONDS:
            return False
        self.left = frozenset()
        return True

    def expire_zones(self) -> bool:
        """Forgets evacuations that operators did not write again in time.

        Returns:
            True if there were any.
        """
        if not self.zones or self._seconds() < EVACUATION_SECONDS:
            return False
        self.zones = frozenset()
        return True

    def _seconds(self) -> float:
        """Returns the time since the return in seconds."""
        return self.clock.monotonic() - self.returned_at

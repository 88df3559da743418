"""The home of a pool of upstreams: it grants slots to the hosts that draw.

Every slot that a host may hold is counted until that host says that it gave
it back, so the slots in use on an upstream never exceed those it has.
"""

from collections.abc import Callable
import logging
import math
from typing import NamedTuple

from gooseberryweir import logs
from gooseberryweir import rendezvous
from gooseberryweir.connection import messages
from gooseberryweir.process.shares import decay
from gooseberryweir.process.shares import slot_capacity
from gooseberryweir.process.shares import slot_limits
from gooseberryweir.process.shares import timing

LOGGER = logging.getLogger(__name__)
MARGIN_SECONDS = 0.05
MAX_REQUEST_SECONDS = 600.0
# Time after which a silent host of the view has nothing left at an upstream:
# the longest timeout of a request, at which upstreams end their work.
REPORT_WAIT_SECONDS = MAX_REQUEST_SECONDS
PEAK_SECONDS = 3.0
FREED_SECONDS = 2.0
UNMET_SECONDS = 0.25
UNKNOWN_RETRY_SECONDS = 0.5
SHORTEST_RETRY_SECONDS = 0.02
LONGEST_RETRY_SECONDS = 1.0


class Pool(NamedTuple):
    """Where a home learns of its pool.

    Attributes:
        service: Name of the service.
        region: Name of the region.
        capacities: The slots of its upstreams.
        classes: Returns the classes of work that use the service.
        members: Returns the hosts of the view with their incarnations.
    """

    service: str
    region: str
    capacities: slot_capacity.Capacities
    classes: Callable[[], dict[str, slot_limits.WorkClass]]
    members: Callable[[], tuple[tuple[str, int], ...]]


class Holding:
    """What one incarnation of a host holds."""

    def __init__(self) -> None:
        self.sequence = 0
        self.reply = messages.SlotGrant({}, 0.0, 0.0, True, 0, False)
        self.counted: dict[str, int] = {}
        self.ends_at = -math.inf
        self.unmet: dict[str, int] = {}
        self.unmet_until = -math.inf


class SlotHome:
    """State of one pool at its home."""

    def __init__(self, pool: Pool, now: float) -> None:
        self.pool = pool
        self.started_at = now
        self.holdings: dict[tuple[str, int], Holding] = {}
        # Hosts of the view at the start that have not said what they use; one
        # that joins later has nothing in use.
        self.unreported = {host for host, _ in pool.members()}
        self.peaks: dict[str, tuple[int, float]] = {}
        self.freed = decay.DecayingCount(FREED_SECONDS, now)

    def counted(self) -> dict[str, int]:
        """Returns the slots counted on each upstream."""
        total: dict[str, int] = {}
        for holding in self.holdings.values():
            for upstream, slots in holding.counted.items():
                total[upstream] = total.get(upstream, 0) + slots
        return total

    def draw(
        self, message: messages.DrawSlots, now: float
    ) -> messages.SlotGrant:
        """Answers one draw; a repeated sequence gets the same grant."""
        self.discard(now)
        key = (message.host, message.incarnation)
        holding = self.holdings.setdefault(key, Holding())
        if message.sequence == holding.sequence:
            return holding.reply
        if message.sequence < holding.sequence:
            return messages.SlotGrant({}, 0.0, 0.0, False, 0, False)
        self.unreported.discard(message.host)
        self.count_freed(holding.counted, message.held, now)
        holding.counted = dict(message.held)
        holding.sequence = message.sequence
        holding.ends_at = now + timing.GRANT_SECONDS + MARGIN_SECONDS
        holding.reply = self.answer(holding, message, now)
        return holding.reply

    def answer(
        self, holding: Holding, message: messages.DrawSlots, now: float
    ) -> messages.SlotGrant:
        """Trims what a host keeps, grants what it wants, and counts both."""
        usable = self.usable(now)
        keep = self.trim(holding, message, usable, now)
        granted, retry_after = self.grant(holding, message, usable, now)
        if message.requested:
            self.log_placement(holding, message, usable, granted)
        slots = {
            upstream: keep.get(upstream, 0) + granted.get(upstream, 0)
            for upstream in keep.keys() | granted.keys()
        }
        for upstream, more in granted.items():
            kept = holding.counted.get(upstream, 0)
            holding.counted[upstream] = kept + more
        self.note_peaks(now)
        return messages.SlotGrant(
            {upstream: count for upstream, count in slots.items() if count > 0},
            timing.GRANT_SECONDS,
            retry_after,
            True,
            self.lowest_importance(usable),
            bool(self.unmet_elsewhere(holding, slot_limits.ALL_CLASSES, now)),
        )

    def log_placement(
        self,
        holding: Holding,
        message: messages.DrawSlots,
        usable: dict[str, int],
        granted: dict[str, int],
    ) -> None:
        """Logs which upstreams were chosen for a host, and what was weighed."""
        logs.event(
            LOGGER,
            "slots-placed",
            pool=message.pool,
            drawer=message.host,
            want=message.requested,
            granted=granted,
            held=self.counted(),
            usable=usable,
            limits=self.limits(usable),
            reason="no-slot" if holding.unmet else "least-share-held",
        )

    def usable(self, now: float) -> dict[str, int]:
        """Returns the slots of each usable upstream, less foreign load."""
        pool = self.pool
        usable = pool.capacities.usable(pool.service, pool.region)
        return {
            upstream: slots
            - pool.capacities.foreign(upstream, slots, self.peak(upstream, now))
            for upstream, slots in usable.items()
        }

    def limits(self, usable: dict[str, int]) -> dict[str, int]:
        """Returns up to how many slots held each class is granted."""
        total = sum(usable.values())
        return slot_limits.region_limits(total, self.pool.classes())

    def lowest_importance(self, usable: dict[str, int]) -> int:
        """Returns the lowest importance that may use a slot now."""
        counted = self.counted()
        held = sum(counted.get(upstream, 0) for upstream in usable)
        return slot_limits.lowest_importance(
            held, self.limits(usable), self.pool.classes()
        )

    def trim(
        self,
        holding: Holding,
        message: messages.DrawSlots,
        usable: dict[str, int],
        now: float,
    ) -> dict[str, int]:
        """Returns what a host may keep of the slots that it holds.

        Slots in reserve go when their upstream takes no new work, when more
        is counted than there is, or when other hosts wait; slots in use are
        not used again when other hosts wait and this one has more than its
        part.
        """
        counted = self.counted()
        limits = self.limits(usable)
        held = sum(counted.get(upstream, 0) for upstream in usable)
        surplus = held - max(limits.values(), default=0)
        best = self.best_importance(message.requested)
        unmet = self.unmet_elsewhere(holding, best, now)
        coming = max(0, -surplus) + self.coming_back(holding)
        surplus = max(0, surplus, unmet - coming)
        keep: dict[str, int] = {}
        for upstream, slots in message.held.items():
            busy = min(slots, message.in_use.get(upstream, 0))
            over = counted.get(upstream, 0) - usable.get(upstream, 0)
            spare = max(0, min(slots - busy, slots - busy - over))
            taken = min(spare, surplus)
            surplus -= taken
            keep[upstream] = busy + spare - taken
        excess = sum(keep.values()) - self.fair_share(limits, now)
        return recall(keep, min(surplus, excess))

    def coming_back(self, holding: Holding) -> int:
        """Returns the slots that other hosts were told to give back."""
        return sum(
            max(0, slots - other.reply.slots.get(upstream, 0))
            for other in self.holdings.values()
            if other is not holding
            for upstream, slots in other.counted.items()
        )

    def best_importance(self, want: dict[str, int]) -> int:
        """Returns the highest importance among the classes wanted."""
        classes = self.pool.classes()
        return min(
            (classes[name].importance for name in want if name in classes),
            default=slot_limits.ALL_CLASSES,
        )

    def unmet_elsewhere(self, holding: Holding, lowest: int, now: float) -> int:
        """Returns the slots that other hosts wait for.

        Args:
            holding: The host left out.
            lowest: The lowest importance (largest number) counted.
            now: The time.
        """
        classes = self.pool.classes()
        return sum(
            count
            for other in self.holdings.values()
            if other is not holding and other.unmet_until > now
            for name, count in other.unmet.items()
            if name in classes and classes[name].importance <= lowest
        )

    def fair_share(self, limits: dict[str, int], now: float) -> int:
        """Returns an equal part of the slots for each host with demand."""
        active = sum(
            bool(holding.counted) or holding.unmet_until > now
            for holding in self.holdings.values()
        )
        return max(limits.values(), default=0) // max(1, active)

    def grant(
        self,
        holding: Holding,
        message: messages.DrawSlots,
        usable: dict[str, int],
        now: float,
    ) -> tuple[dict[str, int], float]:
        """Grants wanted slots, the most important class first."""
        counted = self.counted()
        limits = self.limits(usable)
        held = sum(counted.get(upstream, 0) for upstream in usable)
        granted: dict[str, int] = {}
        unmet: dict[str, int] = {}
        for name in self.by_importance(message.requested):
            limit = limits.get(name, 0) - self.unmet_above(holding, name, now)
            for _ in range(message.requested[name]):
                upstream = self.least_loaded(counted, usable, message)
                if upstream is None or held >= limit:
                    unmet[name] = unmet.get(name, 0) + 1
                    continue
                counted[upstream] = counted.get(upstream, 0) + 1
                granted[upstream] = granted.get(upstream, 0) + 1
                held += 1
        unmet.pop(slot_limits.RESERVE_CLASS, None)
        holding.unmet = unmet
        if not unmet:
            holding.unmet_until = -math.inf
            return granted, 0.0
        retry_after = self.retry_after(holding, usable, now)
        holding.unmet_until = now + UNMET_SECONDS
        return granted, retry_after

    def unmet_above(self, holding: Holding, name: str, now: float) -> int:
        """Returns the slots that others want for more important work."""
        row = self.pool.classes().get(name)
        lowest = slot_limits.ALL_CLASSES if row is None else row.importance - 1
        return self.unmet_elsewhere(holding, lowest, now)

    def by_importance(self, want: dict[str, int]) -> list[str]:
        """Returns the classes wanted, the most important first."""
        classes = self.pool.classes()
        known = [name for name in want if name in classes]
        known.sort(key=lambda name: (classes[name].importance, name))
        return known + [
            name for name in want if name == slot_limits.RESERVE_CLASS
        ]

    def least_loaded(
        self,
        counted: dict[str, int],
        usable: dict[str, int],
        message: messages.DrawSlots,
    ) -> str | None:
        """Returns the upstream with the smallest part of its slots held."""
        if not self.open():
            return None
        free = [
            upstream
            for upstream, slots in usable.items()
            if counted.get(upstream, 0) < slots
            and upstream not in message.avoid
        ]
        return min(
            free,
            key=lambda upstream: (
                counted.get(upstream, 0) / usable[upstream],
                -rendezvous.score(message.host, upstream),
            ),
            default=None,
        )

    def open(self) -> bool:
        """Whether every host of the view has reported what it uses.

        A host that died leaves the view; one that is paused or out of reach
        may still have requests at upstreams.
        """
        now = self.pool.capacities.clock.monotonic()
        if now - self.started_at >= REPORT_WAIT_SECONDS:
            return True
        return self.unreported.isdisjoint(
            host for host, _ in self.pool.members()
        )

    def retry_after(
        self, holding: Holding, usable: dict[str, int], now: float
    ) -> float:
        """Returns seconds until a slot is expected for this host."""
        if not usable:
            return LONGEST_RETRY_SECONDS
        classes = self.pool.classes()
        lowest = min(classes[name].importance for name in holding.unmet)
        ahead = self.unmet_elsewhere(holding, lowest, now)
        rate = self.freed.rate(now)
        if rate * LONGEST_RETRY_SECONDS <= 1:
            return UNKNOWN_RETRY_SECONDS
        delay = (1 + ahead) / rate
        return min(LONGEST_RETRY_SECONDS, max(SHORTEST_RETRY_SECONDS, delay))

    def count_freed(
        self, before: dict[str, int], held: dict[str, int], now: float
    ) -> None:
        """Adds slots given back to their decaying count."""
        freed = sum(
            max(0, slots - held.get(upstream, 0))
            for upstream, slots in before.items()
        )
        self.freed.add(freed, now)

    def peak(self, upstream: str, now: float) -> int:
        """Returns the most slots counted lately on an upstream."""
        count, at = self.peaks.get(upstream, (0, -math.inf))
        return count if now - at <= PEAK_SECONDS else 0

    def note_peaks(self, now: float) -> None:
        """Remembers the most slots counted on each upstream."""
        for upstream, count in self.counted().items():
            if count >= self.peak(upstream, now):
                self.peaks[upstream] = (count, now)

    def discard(self, now: float) -> None:
        """Forgets hosts that are dead, and requests that must have ended."""
        members = set(self.pool.members())
        gone = [
            key
            for key, holding in self.holdings.items()
            if (holding.ends_at < now and key not in members)
            or holding.ends_at + MAX_REQUEST_SECONDS < now
        ]
        for key in gone:
            del self.holdings[key]


def recall(keep: dict[str, int], count: int) -> dict[str, int]:
    """Takes slots off what a host may keep, where it keeps the most."""
    keep = dict(keep)
    for _ in range(max(0, count)):
        upstream = max(keep, key=lambda name: (keep[name], name), default=None)
        if upstream is None or keep[upstream] <= 0:
            break
        keep[upstream] -= 1
    return keep
